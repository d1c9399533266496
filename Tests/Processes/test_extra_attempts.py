#!/usr/bin/env python3
"""The budget of extra attempts over a fleet, also one whose instances do not know each other."""
import pathlib
import sys
import tempfile
import threading
import time
import unittest

sys.path.insert(0, str(pathlib.Path(__file__).resolve().parent))
sys.path.insert(0, str(pathlib.Path(__file__).resolve().parents[2] / "Meta"))
sys.path.insert(0, str(pathlib.Path(__file__).resolve().parents[1] / "Meta"))
import fleet as fleets  # noqa: E402
import test_log_events  # noqa: E402
from platform_stand_in import (  # noqa: E402
    ForwardingInstance, PlatformStore, StoreView, TargetStandIn, make_manifest, make_route, make_target_entry)

LISTENERS = ("callers", "readiness", "addresses", "peers", "metrics")
WINDOW_S, RATIO, SLACK = 10, 0.2, 20  # Extra attempts that the fleet may make in a window: of the requests, and beyond.
# The settings use a part of the limits. So many requests to an instance fill the largest balance that it may have.
FILL_REQUESTS = 80


class ExtraAttempts(unittest.TestCase):
    def setUp(self):
        folder = tempfile.TemporaryDirectory()
        self.addCleanup(folder.cleanup)
        self.folder = folder.name
        self.store = PlatformStore()
        self.addCleanup(self.store.close)
        self.targets = [TargetStandIn(f"i-{i}") for i in range(6)]
        for target in self.targets:
            self.store.put("servers", target.name, make_target_entry(target, "s"))
        self.store.put("op", "config", make_manifest(3, [make_route("r", "safe", "s")], ["s"]))
        self.ports = {name: fleets.free_port() for name in LISTENERS}
        self.instances = []

    def tearDown(self):
        for instance in self.instances:
            instance.kill()
        for instance in self.instances:
            test_log_events.check_log_lines(instance.log_path.read_text().splitlines()[:-1])

    def start(self, count, can_see):
        """Starts instances. `can_see(own, other)`: whether one sees the other one's row in the list of members."""
        hosts = [f"127.0.37.{number + 1}" for number in range(count)]
        for own in range(count):
            def is_hidden(row, own=own):
                return row["table"] == "members" and not any(
                    row["key"].startswith(host + ":") and can_see(own, other) for other, host in enumerate(hosts))
            view = StoreView(self.store, is_hidden)
            self.addCleanup(view.close)
            self.instances.append(ForwardingInstance(
                hosts[own], self.ports, view, self.folder,
                settings={"own_zone": f"z{own % 3}", "processors": 0.2, "extra_share": RATIO, "extra_slack": SLACK}))
        for instance in self.instances:
            instance.wait_until_ready()

    def holds_part(self, instance):
        division = instance.status()["rate_division"]
        return division["holds_part"] and division["settled"] and division["holders"] == len(self.instances)

    def send(self, path, count_each, per_second):
        """Sends requests to the instances in turn."""
        threads = []
        began = time.monotonic()
        for i in range(count_each * len(self.instances)):
            time.sleep(max(0, began + i / per_second - time.monotonic()))
            threads.append(threading.Thread(target=self.instances[i % len(self.instances)].send_request,
                                            args=(path, f"q{i}-{time.monotonic_ns()}")))
            threads[-1].start()
        for thread in threads:
            thread.join()

    def count_extra_attempts(self):
        """Fills the balances, lets the windows of these requests pass, and sends requests that each target refuses.
        Returns the number of these and of their attempts beyond the first."""
        self.send("/r/plain", FILL_REQUESTS, 150)
        time.sleep(2 * WINDOW_S)
        for target in self.targets:
            target.arrivals.clear()
        self.send("/r/shed", 20, 40)
        arrived_ids = [request_id for target in self.targets for request_id, _ in target.arrivals]
        return len(set(arrived_ids)), len(arrived_ids) - len(set(arrived_ids))

    # Guards against instances that each take the fleet's whole burst, since they do not know each other (BUDGET).
    def test_instances_that_do_not_know_each_other_keep_the_budget_of_the_fleet(self):
        self.start(6, can_see=lambda own, other: own == other)
        time.sleep(5)  # As long as a fleet that knows itself takes to divide the burst.
        requests, extra = self.count_extra_attempts()
        self.assertLessEqual(extra, RATIO * requests + SLACK)
        self.assertGreaterEqual(extra, RATIO * requests / 2)

    def test_instances_that_know_each_other_use_the_burst_of_the_fleet(self):
        self.start(3, can_see=lambda own, other: True)
        deadline = time.monotonic() + 20
        while not all(map(self.holds_part, self.instances)):
            self.assertLess(time.monotonic(), deadline, "the burst is not divided")
            time.sleep(0.1)
        requests, extra = self.count_extra_attempts()
        self.assertLessEqual(extra, RATIO * requests + SLACK)
        self.assertGreaterEqual(extra, RATIO * requests / 2 + SLACK / 2)


if __name__ == "__main__":
    unittest.main(verbosity=2)

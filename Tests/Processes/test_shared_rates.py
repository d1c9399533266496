#!/usr/bin/env python3
"""The rate of a workspace over a fleet whose instances are lost, start again and are replaced."""
import json
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
    ForwardingInstance, PlatformStore, TargetStandIn, make_manifest, make_route, make_target_entry)

LISTENERS = ("callers", "readiness", "addresses", "peers", "metrics")
KEY = "key-of-w"
RECOVERY_S = 15  # A fleet serves again so long after its machines are back.
FIND_S = 25  # Within which instances that do not know each other find each other: four mean intervals and a margin.
WINDOW_S, OVER, SLACK = 5, 0.1, 20  # What the fleet may run beyond a rate in a window.


class SharedRates(unittest.TestCase):
    def setUp(self):
        folder = tempfile.TemporaryDirectory()
        self.addCleanup(folder.cleanup)
        self.folder = folder.name
        self.store = PlatformStore()
        self.addCleanup(self.store.close)
        self.targets = [TargetStandIn(f"i-{i}", faults_enabled=False) for i in range(4)]
        for target in self.targets:
            self.store.put("servers", target.name, make_target_entry(target, "s"))
        self.ports = {name: fleets.free_port() for name in LISTENERS}
        self.instances = {}
        self.logs = []

    def tearDown(self):
        for instance in self.instances.values():
            instance.kill()
        for path in self.logs:
            test_log_events.check_log_lines(path.read_text().splitlines()[:-1])

    def put_tables(self, rate, burst):
        tables = make_manifest(3, [make_route("r", "safe", "s")], ["s"])
        tables["tenants"] = [{"name": "w", "api_keys": [KEY], "priority": 0, "rate_per_s": rate, "burst": burst}]
        self.store.put("op", "config", tables)

    def start(self, number, zone="z", processors=0.2):
        host = f"127.0.36.{number}"
        instance = ForwardingInstance(host, self.ports, self.store, self.folder, seeds="127.0.36.1:1,127.0.36.2:1",
                                      settings={"own_zone": zone, "processors": processors, "workspace_slack": SLACK})
        self.instances[number] = instance
        self.logs.append(instance.log_path)

    def wait_until_ready(self):
        for instance in self.instances.values():
            instance.wait_until_ready()

    def kill(self, *numbers):
        for number in numbers:
            self.instances.pop(number).kill()

    def send(self, numbers, per_second, seconds):
        """Sends requests to the instances in turn. Returns their statuses; 0 where the connection ended."""
        statuses, threads = [], []

        def send_one(instance, request_id):
            try:
                statuses.append(instance.send_request("/r/plain", request_id, headers=f"Api-Key: {KEY}\r\n")[0])
            except OSError:
                statuses.append(0)

        began = time.monotonic()
        for i in range(int(per_second * seconds)):
            time.sleep(max(0, began + i / per_second - time.monotonic()))
            instance = self.instances[numbers[i % len(numbers)]]
            threads.append(threading.Thread(target=send_one, args=(instance, f"q{time.monotonic_ns()}")))
            threads[-1].start()
        for thread in threads:
            thread.join()
        return statuses

    def most_in_a_window(self):
        """The most requests that arrived at targets within a window."""
        arrivals = sorted(at for target in self.targets for _, at in target.arrivals)
        return max(sum(1 for at in arrivals if start <= at <= start + WINDOW_S) for start in arrivals)

    # Guards against a workspace that gets 429 for an hour after the holders of its rate were lost for good (RECOVER).
    def test_rate_comes_back_after_its_holders_are_lost_for_good(self):
        self.put_tables(rate=50, burst=20)
        for number, processors in ((1, 0.5), (2, 0.5), (3, 0.2), (4, 0.2)):
            self.start(number, processors=processors)
        self.wait_until_ready()
        time.sleep(4)
        self.assertEqual(set(self.send((1, 2), 20, 3)), {200})
        self.kill(1, 2, 3, 4)
        time.sleep(1)
        for number in (3, 4):
            self.start(number)
        self.wait_until_ready()
        time.sleep(RECOVERY_S)
        statuses = self.send((3, 4), 20, 5)
        self.assertGreaterEqual(statuses.count(200), 0.9 * len(statuses), {each: statuses.count(each) for each in set(statuses)})

    # Guards against instances that divide a rate among the few members that they know while a slow store keeps them
    # from the list (QUOTA).
    def test_rate_holds_while_the_fleet_starts_beside_a_slow_store(self):
        rate, burst = 100, 20
        self.put_tables(rate, burst)
        zones = {number: f"z{number % 3}" for number in range(1, 7)}
        for number, zone in zones.items():
            self.start(number, zone)
        self.wait_until_ready()
        time.sleep(4)
        for target in self.targets:
            target.arrivals.clear()
        self.store.response_delay_s, self.store.transaction_s = 0.24, 0.5
        self.kill(*zones)
        time.sleep(0.5)
        for number, zone in zones.items():
            self.start(number, zone)
        self.wait_until_ready()
        threading.Timer(4, setattr, (self.store, "transaction_s", 0)).start()
        statuses = self.send(tuple(zones), 3 * rate, 8)
        self.assertLessEqual(self.most_in_a_window(), (rate * WINDOW_S + burst) * (1 + OVER) + SLACK)
        self.assertGreaterEqual(statuses.count(200), rate * 4)

    def addresses(self, number):
        """The instances that the directory of an instance names."""
        _, _, body = self.instances[number].exchange(
            "addresses", b"GET /pomelospread/resolve?name=a.example&region=r&zone=z HTTP/1.1\r\nHost: x\r\n\r\n")
        return {address.split(":")[0] for address in json.loads(body)["addresses"]}

    def wait_until_all_know_all(self, timeout):
        hosts = {instance.host for instance in self.instances.values()}
        deadline = time.monotonic() + timeout
        while any(self.addresses(number) != hosts for number in self.instances):
            self.assertLess(time.monotonic(), deadline, {number: self.addresses(number) for number in self.instances})
            time.sleep(0.2)

    # Guards against a late deregistration that removes the row of the next process at the address, and splits the
    # fleet (QUOTA).
    def test_fleet_stays_whole_after_a_deregistration_that_is_performed_late(self):
        rate, burst = 50, 20
        self.put_tables(rate, burst)
        for number in (1, 2):
            self.start(number)
        self.wait_until_ready()
        time.sleep(2)
        self.store.late_removals_s = 3
        self.instances.pop(1).stop()
        self.store.late_removals_s = 0
        self.start(1)
        self.wait_until_ready()
        time.sleep(3)
        self.instances.pop(2).stop()
        self.start(3)
        self.wait_until_ready()
        self.wait_until_all_know_all(FIND_S)
        for target in self.targets:
            target.arrivals.clear()
        statuses = self.send((1, 3), 3 * rate, 8)
        self.assertLessEqual(self.most_in_a_window(), (rate * WINDOW_S + burst) * (1 + OVER) + SLACK)
        self.assertGreaterEqual(statuses.count(200), rate * 6)

    # Guards against instances that never find each other again after a row was lost.
    def test_instances_whose_rows_were_lost_find_each_other(self):
        self.put_tables(rate=50, burst=20)
        self.start(1)
        self.wait_until_ready()
        time.sleep(1)
        with self.store.lock:
            for name in [name for name in self.store.rows if name[0] == "members"]:
                del self.store.rows[name]
        self.start(2)
        self.wait_until_ready()
        self.wait_until_all_know_all(FIND_S)


if __name__ == "__main__":
    unittest.main(verbosity=2)

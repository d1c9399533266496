"""A store that leaves calls unanswered while their connections stay open, as review/1 and incident "unanswered"."""
import pathlib
import sys
import tempfile
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
CHANGE_BOUND_S = 2  # Within which a change that the store accepted is in force everywhere.
STABLE_S = 3  # After an outage of the store the bound holds again.
INSTANCES = 3
HOMES = 2  # Of a zone, by default; they hold the parts of the burst of extra attempts.


class SilentStore(unittest.TestCase):
    def setUp(self):
        folder = tempfile.TemporaryDirectory()
        self.addCleanup(folder.cleanup)
        self.store = PlatformStore()
        self.addCleanup(self.store.close)
        self.version = 5
        self.put_manifest("first")
        self.target = TargetStandIn("i-1", faults_enabled=False)
        self.store.put("servers", "i-1", make_target_entry(self.target, "s"))
        ports = {name: fleets.free_port() for name in LISTENERS}
        hosts = [f"127.0.31.{number + 1}" for number in range(INSTANCES)]
        self.instances = [ForwardingInstance(host, ports, self.store, folder.name,
                                             seeds=",".join(f"{each}:1" for each in hosts)) for host in hosts]
        for instance in self.instances:
            self.addCleanup(instance.kill)
        for instance in self.instances:
            instance.wait_until_ready()
        self.wait_until(lambda: self.store.feed_calls >= INSTANCES, 4)

    def tearDown(self):
        for instance in self.instances:
            instance.kill()
            test_log_events.check_log_lines(instance.log_path.read_text().splitlines()[:-1])

    def wait_until(self, condition, timeout=CHANGE_BOUND_S):
        deadline = time.monotonic() + timeout
        while not condition():
            self.assertLess(time.monotonic(), deadline)
            time.sleep(0.02)

    def put_manifest(self, name):
        self.version += 2
        self.store.put("op", "config", make_manifest(self.version, [make_route(name, "safe", "s")], ["s"]))

    def is_served_everywhere(self, name):
        return all(instance.send_request(f"/{name}/plain", f"q{time.monotonic_ns()}")[0] == 200
                   for instance in self.instances)

    def apply_change(self, name):
        self.put_manifest(name)
        self.wait_until(lambda: self.is_served_everywhere(name))

    # Guards against long polls that the store received while it was silent and that hid all later changes
    # (review/1: 20 s with the old tables).
    def test_change_after_an_outage_that_swallowed_the_long_polls_takes_effect(self):
        for silent_s in (0.5, 4.5):
            with self.subTest(silent_s=silent_s):
                time.sleep(1)
                self.put_manifest(f"before{silent_s}")
                time.sleep(0.1)  # The next long polls are not sent yet.
                self.store.unanswered_path = ""
                time.sleep(silent_s)
                self.store.unanswered_path = None
                time.sleep(STABLE_S)
                self.apply_change(f"after{silent_s}")

    # Guards against a lost long poll that no failure of another call points to.
    def test_change_takes_effect_when_only_the_long_polls_are_lost(self):
        self.put_manifest("before")
        time.sleep(0.1)
        self.store.unanswered_path = "wait_ms=20000"
        time.sleep(2)
        self.store.unanswered_path = None
        self.apply_change("after")
        self.apply_change("last")

    # Guards against open connections to the store that fall silent for good while new ones work.
    def test_change_takes_effect_when_open_connections_fall_silent(self):
        for round_number in range(2):
            with self.subTest(round_number=round_number):
                self.store.silence_open_connections()
                time.sleep(STABLE_S)
                self.apply_change(f"silent{round_number}")
                time.sleep(1)

    def is_burst_divided(self):
        """Whether the homes know the last division of the burst of extra attempts, after which nothing is written."""
        divisions = [instance.status()["rate_division"] for instance in self.instances]
        return sum(each["holders"] == HOMES and each["settled"] for each in divisions) >= HOMES

    def test_unanswered_long_polls_cost_few_calls(self):
        self.wait_until(self.is_burst_divided, 20)
        self.store.unanswered_path = "wait_ms=20000"
        self.store.silence_open_connections()
        time.sleep(2)
        before, members_before = self.store.total_calls, self.store.members_reads
        division_before = self.store.division_reads
        time.sleep(4)
        # The fleet reads its members each 4 s on average, at exponentially distributed intervals.
        members_reads = self.store.members_reads - members_before
        self.assertLessEqual(members_reads, 6)
        # One instance reads the division of the burst each 2 s; each may read it once more.
        division_reads = self.store.division_reads - division_before
        self.assertLessEqual(division_reads, 4 / 2 + 1 + INSTANCES)
        # One instance reads the list each 0.8 s; each may start its long poll once more.
        self.assertLessEqual(self.store.total_calls - before - members_reads - division_reads, 4 / 0.8 + 1 + INSTANCES)


if __name__ == "__main__":
    unittest.main(verbosity=2)

"""A fleet that distributes changes through relays: nine instances in three zones, with faults of relays and the store."""
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
ZONES = ("a", "b", "c")
INSTANCES_PER_ZONE = 3
CHANGE_BOUND_S = 2  # Within which a change that the store accepted is in force everywhere.


class Relays(unittest.TestCase):
    def setUp(self):
        folder = tempfile.TemporaryDirectory()
        self.addCleanup(folder.cleanup)
        self.folder = folder.name
        self.store = PlatformStore()
        self.addCleanup(self.store.close)
        self.routes = [make_route("read", "safe", "s")]
        self.store.put("op", "config", make_manifest(3, self.routes, ["s"]))
        self.targets = [TargetStandIn(f"i-{i}", faults_enabled=False) for i in range(2)]
        for target in self.targets:
            self.store.put("servers", target.name, make_target_entry(target, "s"))
        self.ports = {name: fleets.free_port() for name in LISTENERS}
        self.instances = {}
        for zone_index, zone in enumerate(ZONES):
            for i in range(INSTANCES_PER_ZONE):
                # The first two of each zone are the largest and so its relays.
                self.start_instance(f"127.0.{zone_index + 20}.{i + 1}", zone, 0.5 if i < 2 else 0.1)
        self.wait_until(lambda: all(instance.is_ready() for instance in self.instances.values()), 15)
        # Until every instance knows the others by their own messages.
        time.sleep(1.5)

    def start_instance(self, host, zone, processors):
        settings = {"own_zone": zone, "processors": processors, "direct_fleet_size": 2, "account_flush_s": 1}
        instance = ForwardingInstance(host, self.ports, self.store, self.folder, "127.0.20.1:1", settings)
        self.addCleanup(instance.kill)
        self.instances[host] = instance
        return instance

    def tearDown(self):
        for instance in self.instances.values():
            instance.kill()
            test_log_events.check_log_lines(instance.log_path.read_text().splitlines()[:-1])

    def wait_until(self, condition, timeout):
        deadline = time.monotonic() + timeout
        while not condition():
            self.assertLess(time.monotonic(), deadline)
            time.sleep(0.02)

    def put_manifest(self, version, name):
        self.routes.append(make_route(name, "safe", "s"))
        self.store.put("op", "config", make_manifest(version, self.routes, ["s"]))

    def is_served_everywhere(self, name):
        return all(instance.send_request(f"/{name}/plain", f"q{time.monotonic_ns()}")[0] == 200
                   for instance in self.instances.values())

    def kill_instances(self, hosts):
        for host in hosts:
            self.instances.pop(host).kill()

    def check_withdrawn_target_is_not_used(self, target):
        accepted = time.monotonic()
        while time.monotonic() < accepted + CHANGE_BOUND_S + 1.5:
            for instance in self.instances.values():
                instance.send_request("/read/plain", f"d{time.monotonic_ns()}")
        self.assertEqual([at for _, at in target.arrivals if at > accepted + CHANGE_BOUND_S], [])

    def test_changes_reach_every_instance_with_few_store_calls(self):
        before = self.store.total_calls
        self.put_manifest(4, "more")
        self.wait_until(lambda: self.is_served_everywhere("more"), CHANGE_BOUND_S)
        self.store.put("servers", "i-0", make_target_entry(self.targets[0], "s", "draining"))
        self.check_withdrawn_target_is_not_used(self.targets[0])
        # Eight of the nine hold a question for tables; one reads the list; three collect account objects.
        self.assertLessEqual(self.store.total_calls - before, 45)

    def test_changes_reach_every_instance_while_relays_are_dead(self):
        self.kill_instances(["127.0.21.1", "127.0.21.2", "127.0.22.1"])
        self.put_manifest(4, "more")
        self.wait_until(lambda: self.is_served_everywhere("more"), 5)
        self.store.put("servers", "i-0", make_target_entry(self.targets[0], "s", "draining"))
        self.check_withdrawn_target_is_not_used(self.targets[0])

    def test_a_restarted_instance_does_not_use_a_withdrawn_target_while_the_store_is_down(self):
        self.store.remove("servers", "i-0")
        self.check_withdrawn_target_is_not_used(self.targets[0])
        self.store.start_outage()
        for host, zone in (("127.0.20.1", "a"), ("127.0.21.1", "b"), ("127.0.22.3", "c")):
            self.kill_instances([host])
            self.start_instance(host, zone, 0.5).wait_until_ready(8)
        self.check_withdrawn_target_is_not_used(self.targets[0])

    def test_account_objects_of_a_zone_are_stored_together(self):
        for instance in self.instances.values():
            self.assertEqual(instance.send_request("/read/plain", f"a{time.monotonic_ns()}")[0], 200)
        before = len(self.store.object_names)
        time.sleep(5)
        names = self.store.object_names[before:]
        self.assertTrue(names and all(name.startswith("account-groups.") for name in names), names)
        self.assertLessEqual(len(names), 2 * len(ZONES), names)


if __name__ == "__main__":
    unittest.main(verbosity=2)

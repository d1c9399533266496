"""A store that comes back from an older copy: it begins a new era and gives version numbers out again."""
import json
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


class RestoredStore(unittest.TestCase):
    def setUp(self):
        folder = tempfile.TemporaryDirectory()
        self.addCleanup(folder.cleanup)
        self.folder = folder.name
        self.store = PlatformStore()
        self.store.era = 1
        self.addCleanup(self.store.close)
        self.put_manifest(7, "first")
        self.target = TargetStandIn("i-0", faults_enabled=False)
        self.store.put("servers", "i-0", make_target_entry(self.target, "s"))
        self.ports = {name: fleets.free_port() for name in LISTENERS}
        self.instances = []
        self.start_instances(2)

    def start_instances(self, count):
        for _ in range(count):
            instance = ForwardingInstance(f"127.0.30.{len(self.instances) + 1}", self.ports, self.store, self.folder,
                                          seeds="127.0.30.1:1")
            self.addCleanup(instance.kill)
            self.instances.append(instance)
        self.wait_until(lambda: all(instance.is_ready() for instance in self.instances), 15)

    def tearDown(self):
        for instance in self.instances:
            instance.kill()
            test_log_events.check_log_lines(instance.log_path.read_text().splitlines()[:-1])

    def wait_until(self, condition, timeout=CHANGE_BOUND_S, description=""):
        deadline = time.monotonic() + timeout
        while not condition():
            self.assertLess(time.monotonic(), deadline, description or "the condition")
            time.sleep(0.02)

    def status(self, instance):
        return json.loads(instance.exchange("metrics", b"GET /status HTTP/1.1\r\nHost: x\r\n\r\n")[2])

    def put_manifest(self, version, *names):
        self.store.put("op", "config", make_manifest(version, [make_route(name, "safe", "s") for name in names], ["s"]))

    def is_served_everywhere(self, name):
        return all(instance.send_request(f"/{name}/plain", f"q{time.monotonic_ns()}")[0] == 200
                   for instance in self.instances)

    def logged(self, event):
        return sum(instance.log_path.read_text().count(f"event={event} ") for instance in self.instances)

    def test_the_era_is_in_the_status_and_the_log(self):
        copy = self.store.take_copy()
        self.store.restore(copy)
        self.wait_until(lambda: any(self.status(instance)["store_era"] == 2 for instance in self.instances))
        self.wait_until(lambda: self.logged("store_era_changed") >= 3)


if __name__ == "__main__":
    unittest.main(verbosity=2)

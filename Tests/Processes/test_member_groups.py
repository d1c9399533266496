#!/usr/bin/env python3
"""Instances that know only a part of the fleet, and find the rest."""
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
from platform_stand_in import ForwardingInstance, PlatformStore, StoreView, make_manifest, make_route  # noqa: E402

LISTENERS = ("callers", "readiness", "addresses", "peers", "metrics")
APART_S = 6
FIND_S = 25  # Within which instances that do not know each other find each other: four mean intervals and a margin.


class MemberGroups(unittest.TestCase):
    def setUp(self):
        folder = tempfile.TemporaryDirectory()
        self.addCleanup(folder.cleanup)
        self.folder = folder.name
        self.store = PlatformStore()
        self.addCleanup(self.store.close)
        self.store.put("op", "config", make_manifest(3, [make_route("r", "safe", "s")], ["s"]))
        self.instances = []

    def tearDown(self):
        for instance in self.instances:
            instance.kill()
        for instance in self.instances:
            test_log_events.check_log_lines(instance.log_path.read_text().splitlines()[:-1])

    def known_counts(self):
        """How many members each instance counts alive."""
        return [sum(member["status"] == "alive" for member in instance.status()["members"]) for instance in self.instances]

    def check_groups_find_each_other(self, sizes, has_same_ports):
        common_ports = {name: fleets.free_port() for name in LISTENERS}
        groups = [number for number, size in enumerate(sizes) for _ in range(size)]
        hosts = [f"127.0.38.{number + 1}" for number in range(len(groups))]
        is_apart = True
        for own, host in enumerate(hosts):
            def is_hidden(row, own=own):
                other = next((n for n, each in enumerate(hosts) if row["key"].startswith(each + ":")), None)
                return is_apart and row["table"] == "members" and other is not None and groups[other] != groups[own]
            view = StoreView(self.store, is_hidden)
            self.addCleanup(view.close)
            ports = common_ports if has_same_ports else {name: fleets.free_port() for name in LISTENERS}
            self.instances.append(ForwardingInstance(host, ports, view, self.folder, settings={"processors": 0.2}))
        for instance in self.instances:
            instance.wait_until_ready()
        time.sleep(APART_S)
        self.assertEqual(self.known_counts(), [sizes[group] for group in groups])
        is_apart = False
        deadline = time.monotonic() + FIND_S
        while self.known_counts() != [len(groups)] * len(groups):
            self.assertLess(time.monotonic(), deadline, self.known_counts())
            time.sleep(0.5)

    # Guards against groups that stay apart since an instance takes its own peer port for every other one's (FAILBACK).
    def test_groups_find_each_other_also_when_their_ports_differ(self):
        self.check_groups_find_each_other((6, 11), has_same_ports=False)

    def test_groups_with_the_same_ports_find_each_other(self):
        self.check_groups_find_each_other((6, 11), has_same_ports=True)


if __name__ == "__main__":
    unittest.main(verbosity=2)

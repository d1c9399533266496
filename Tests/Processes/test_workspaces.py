#!/usr/bin/env python3
"""Workspaces, their keys and rates, and evacuated zones, with real forwarding instances."""
import pathlib
import socket
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
    ForwardingInstance, PlatformStore, TargetStandIn, make_manifest, make_route, make_target_entry, read_http_message)

LISTENERS = ("callers", "readiness", "addresses", "peers", "metrics")
CHANGE_BOUND_S = 2.5  # Within which a change of the tables is in force everywhere.
EVACUATION_BOUND_S = 5
KEYS = ("key-of-first-1", "key-of-first-2", "key-of-second")


class Workspaces(unittest.TestCase):
    def setUp(self):
        folder = tempfile.TemporaryDirectory()
        self.addCleanup(folder.cleanup)
        self.folder = folder.name
        self.store = PlatformStore()
        self.addCleanup(self.store.close)
        self.version = 5
        self.put_tables({"first": KEYS[:2], "second": KEYS[2:]})
        self.targets = {zone: TargetStandIn(f"i-{zone}", faults_enabled=False) for zone in ("z", "y")}
        for zone, target in self.targets.items():
            self.store.put("servers", target.name, make_target_entry(target, "s", zone=zone))
        self.ports = {name: fleets.free_port() for name in LISTENERS}
        self.hosts = ["127.0.33.1", "127.0.33.2"]
        self.instances = [self.start(host) for host in self.hosts]
        for instance in self.instances:
            instance.wait_until_ready()

    def start(self, host):
        instance = ForwardingInstance(host, self.ports, self.store, self.folder,
                                      seeds=",".join(f"{each}:1" for each in self.hosts))
        self.addCleanup(instance.kill)
        return instance

    def tearDown(self):
        for instance in self.instances:
            instance.kill()
            log = instance.log_path.read_text()
            test_log_events.check_log_lines(log.splitlines()[:-1])
            for key in KEYS:  # A key in a log can be used by everybody who reads it.
                self.assertNotIn(key, log)

    def put_tables(self, keys, rate=0, burst=0):
        self.version += 2
        public = make_route("public", "safe", "s") | {"public": True}
        tables = make_manifest(self.version, [make_route("r", "safe", "s"), public], ["s"])
        tables["tenants"] = [{"name": name, "api_keys": list(held), "priority": 0, "rate_per_s": rate, "burst": burst}
                             for name, held in keys.items()]
        self.store.put("op", "config", tables)

    def status(self, instance, key, path="/r/plain", more=""):
        self.last_id = f"q{time.monotonic_ns()}"
        header = f"Api-Key: {key}\r\n" if key else ""
        return instance.send_request(path, self.last_id, headers=header + more)[0]

    def headers_at_target(self):
        return next(target.headers_by_id[self.last_id] for target in self.targets.values()
                    if self.last_id in target.headers_by_id)

    def wait_until(self, condition, timeout):
        deadline = time.monotonic() + timeout
        while not condition():
            self.assertLess(time.monotonic(), deadline)
            time.sleep(0.02)

    # Guards against keys that are passed on, and against callers who name a workspace themselves.
    def test_key_decides_about_the_workspace_and_never_reaches_a_target(self):
        for key, path, status, workspace in ((KEYS[0], "/r/plain", 200, "first"), (KEYS[2], "/r/plain", 200, "second"),
                                             (None, "/r/plain", 401, None), ("unknown", "/r/plain", 401, None),
                                             (None, "/public/plain", 200, None), ("unknown", "/public/plain", 200, None)):
            with self.subTest(key=key, path=path):
                self.assertEqual(self.status(self.instances[0], key, path, "Tenant-Id: second\r\n"), status)
                if status == 200:
                    self.assertNotIn("api-key", self.headers_at_target())
                    self.assertEqual(self.headers_at_target().get("tenant-id"), workspace)
        self.assertEqual(self.status(self.instances[0], KEYS[0], more=f"Api-Key: {KEYS[2]}\r\n"), 401)

    # Guards against a withdrawn key that goes on working on a connection that is already open.
    def test_withdrawn_key_ends_on_open_connections_of_every_instance(self):
        request = (f"GET /r/plain HTTP/1.1\r\nHost: a.example\r\nRequest-Id: q1\r\nDeadline-Ms: 1500\r\n"
                   f"Api-Key: {KEYS[1]}\r\nContent-Length: 0\r\n\r\n").encode()
        for instance in self.instances:
            connection = socket.create_connection((instance.host, self.ports["callers"]), 5)
            self.addCleanup(connection.close)
            stream = connection.makefile("rb")

            def status_on_open_connection():
                connection.sendall(request)
                return read_http_message(stream)[0][1]
            # The tables that hold the key again may reach the second instance later than the first.
            self.wait_until(lambda: status_on_open_connection() == "200", CHANGE_BOUND_S)
            self.put_tables({"first": KEYS[:1], "second": KEYS[2:]})
            self.wait_until(lambda: status_on_open_connection() == "401", CHANGE_BOUND_S)
            self.assertEqual(self.status(instance, KEYS[0]), 200)
            self.put_tables({"first": KEYS[:2], "second": KEYS[2:]})
            self.wait_until(lambda: status_on_open_connection() == "200", CHANGE_BOUND_S)

    # Guards against an instance that takes every key for unknown because it has no tables yet.
    def test_instance_without_tables_responds_with_503(self):
        self.store.start_outage()
        alone = ForwardingInstance("127.0.33.9", self.ports, self.store, self.folder)
        self.addCleanup(alone.kill)
        deadline = time.monotonic() + 5
        while time.monotonic() < deadline:
            try:
                self.assertEqual(self.status(alone, KEYS[0]), 503)
                break
            except OSError:
                time.sleep(0.05)
        self.store.end_outage()

    # Guards against callers of one workspace that together get more than its rate at several instances.
    def test_instances_keep_a_rate_together(self):
        self.put_tables({"first": KEYS[:2], "second": KEYS[2:]}, rate=10, burst=10)
        time.sleep(CHANGE_BOUND_S)
        began = time.monotonic()
        statuses = []
        while time.monotonic() - began < 5:
            statuses.append(self.status(self.instances[len(statuses) % 2], KEYS[0]))
            time.sleep(0.01)
        self.assertEqual(set(statuses), {200, 429})
        self.assertLessEqual(statuses.count(200), (10 * 5 + 10) * 1.1 + 20)
        self.assertGreaterEqual(statuses.count(200), 10 * 5 * 0.8)
        status, headers, _ = self.instances[0].send_request("/r/plain", "q-last", headers=f"Api-Key: {KEYS[0]}\r\n")
        if status == 429:
            time.sleep(float(headers["retry-after"]) + 0.2)
            self.assertEqual(self.status(self.instances[0], KEYS[0]), 200)

    # Guards against requests to an evacuated zone, also by an instance that starts while the store is away.
    def test_evacuated_zone_gets_no_request_until_the_evacuation_ends(self):
        def zones_of_20_requests(instance):
            self.last_ids = set()
            for _ in range(20):
                self.assertEqual(self.status(instance, KEYS[0]), 200)
                self.last_ids.add(self.last_id)
            return {zone for zone, target in self.targets.items() if self.last_ids & set(target.headers_by_id)}

        self.store.put("op", "evacuate/z", {})
        time.sleep(EVACUATION_BOUND_S - 2)
        for instance in self.instances:
            self.assertEqual(zones_of_20_requests(instance), {"y"})
        checks = len(self.targets["z"].health_check_times)
        self.store.start_outage()
        self.instances[1].kill()
        self.instances[1] = self.start(self.hosts[1])
        self.instances[1].wait_until_ready()
        self.assertEqual(zones_of_20_requests(self.instances[1]), {"y"})
        self.assertEqual(len(self.targets["z"].health_check_times), checks)
        self.store.end_outage()
        time.sleep(1)
        self.store.remove("op", "evacuate/z")
        for instance in self.instances:
            self.wait_until(lambda: "z" in zones_of_20_requests(instance), EVACUATION_BOUND_S + 5)


if __name__ == "__main__":
    unittest.main(verbosity=2)

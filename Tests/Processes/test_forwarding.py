"""Forwarding over the users' platform, with faults of targets, callers and the store."""
import json
import signal
import socket
import sys
import pathlib
import tempfile
import threading
import time
import unittest

sys.path.insert(0, str(pathlib.Path(__file__).resolve().parent))
sys.path.insert(0, str(pathlib.Path(__file__).resolve().parents[2] / "Meta"))
sys.path.insert(0, str(pathlib.Path(__file__).resolve().parents[1] / "Meta"))
import fleet as fleets  # noqa: E402
import test_log_events  # noqa: E402
from platform_stand_in import Forwarder, Store, Target, entry, manifest, read_message, route  # noqa: E402

NAMES = ("callers", "readiness", "addresses", "peers", "metrics")


class Forwarding(unittest.TestCase):
    def setUp(self):
        folder = tempfile.TemporaryDirectory()
        self.addCleanup(folder.cleanup)
        self.folder = folder.name
        self.store = Store()
        self.addCleanup(self.store.close)
        self.faulty = Target("i-faulty")
        self.sound = Target("i-sound", faulty=False)
        self.store.put("op", "config", manifest(3, [route("read", "safe", "s"), route("write", "unsafe", "only"),
                                                    route("both", "unsafe", "s")], ["s", "only"]))
        self.list_target(self.faulty, "s")
        self.list_target(self.sound, "s")
        self.alone = Target("i-alone")
        self.list_target(self.alone, "only")
        self.ports = {name: fleets.free_port() for name in NAMES}
        self.node = self.start("127.0.0.11")
        self.node.wait_ready()

    def start(self, host, seeds=""):
        node = Forwarder(host, self.ports, self.store, self.folder, seeds)
        self.addCleanup(node.kill)
        return node

    def tearDown(self):
        self.node.kill()
        lines = self.node.log.read_text().splitlines()
        # A line may be cut where the process was killed.
        test_log_events.check_lines(lines[:-1])

    def list_target(self, target, service, state="ready"):
        self.store.put("servers", target.name, entry(target, service, state))

    def until(self, condition, limit=4):
        end = time.monotonic() + limit
        while not condition():
            self.assertLess(time.monotonic(), end, self.node.log.read_text()[-3000:])
            time.sleep(0.02)

    def test_requests_reach_targets_and_answers_come_back_unchanged(self):
        status, fields, body = self.node.call("/read/plain", "q1")
        self.assertEqual((status, fields["request-id"]), (200, "q1"))
        self.assertTrue(fields["server-signature"].startswith("s.i-") and body.endswith(b"q1"))
        self.assertEqual(self.node.call("/write/echo", "q2", "POST", b"x" * 5000)[2], b"x" * 5000)
        self.assertEqual(self.node.call("/nowhere/1", "q3")[0], 404)
        self.assertEqual(self.node.call("/write/unframed", "q4")[2], b"until the end")

    def test_answers_of_one_connection_keep_their_order(self):
        paths = ["/read/slow0.4", "/read/plain", "/read/slow0.2", "/read/plain"]
        wanted = [f"p{i}" for i in range(len(paths))]
        begin = time.monotonic()
        with socket.create_connection((self.node.host, self.ports["callers"]), 5) as connection:
            for name, path in zip(wanted, paths):
                connection.sendall(f"GET {path} HTTP/1.1\r\nHost: a.example\r\nRequest-Id: {name}\r\n\r\n".encode())
            with connection.makefile("rb") as stream:
                seen = [read_message(stream)[1]["request-id"] for _ in paths]
        self.assertEqual(seen, wanted)
        self.assertLess(time.monotonic() - begin, 0.9)

    def test_an_unsafe_request_that_may_have_run_is_never_sent_again(self):
        for fault in ("die", "cut", "unmarked"):
            status, fields, _ = self.node.call(f"/both/{fault}", f"b-{fault}", "POST", b"x")
            self.assertIn(status, (200, 502))
            self.assertNotIn("retry-after", fields)
            self.assertLessEqual((self.faulty.ran + self.sound.ran).count(f"b-{fault}"), 1)
            self.assertEqual(self.node.call(f"/write/{fault}", f"w-{fault}", "POST", b"x")[0], 502)
            self.assertEqual(self.alone.ran.count(f"w-{fault}"), 1)

    def test_a_safe_request_is_tried_elsewhere(self):
        for i in range(6):
            for fault in ("die", "cut", "shed"):
                status, _, body = self.node.call(f"/read/{fault}", f"r{i}{fault}")
                # Retries are bounded by a share of the requests, so some may end with the target's failure.
                self.assertIn(status, (200, 502, 503))
                if status == 200:
                    self.assertEqual(body, f"i-sound r{i}{fault}".encode())

    def test_what_was_not_run_is_said_with_a_time_to_come_back(self):
        status, fields, _ = self.node.call("/write/shed", "s1", "POST", b"x")
        self.assertEqual(status, 503)
        self.assertGreater(float(fields["retry-after"]), 0)
        self.assertNotIn("server-signature", fields)
        self.assertEqual(self.alone.ran, [])

    def test_the_answer_to_another_request_is_not_taken(self):
        status, fields, body = self.node.call("/write/foreign", "f1", "POST", b"x")
        self.assertEqual((status, fields["request-id"], body), (200, "f1", b"i-alone f1"))

    def test_a_target_that_is_not_the_one_expected_runs_nothing(self):
        stranger = Target("i-stranger")
        self.store.put("servers", "i-alone", entry(stranger, "only"))
        self.until(lambda: self.node.call("/write/plain", "e", "POST")[0] == 503)
        self.assertEqual(stranger.ran, [])

    def test_a_caller_that_leaves_ends_the_work_for_it(self):
        with socket.create_connection((self.node.host, self.ports["callers"]), 5) as connection:
            connection.sendall(b"GET /write/slow3 HTTP/1.1\r\nHost: a.example\r\nRequest-Id: gone\r\n\r\n")
            self.until(lambda: "gone" in self.alone.ran)
        self.until(lambda: "gone" in self.alone.cut, 0.5)

    def test_a_leaving_target_gets_nothing_after_the_bound(self):
        self.list_target(self.faulty, "s", "draining")
        accepted = time.monotonic()
        while time.monotonic() < accepted + 3:
            self.node.call("/read/plain", f"d{time.monotonic_ns()}")
        late = [at for _, at in self.faulty.seen if at > accepted + 2]
        self.assertEqual(late, [])

    def test_a_new_manifest_is_in_force_and_a_bad_one_changes_nothing(self):
        self.store.put("op", "config", manifest(4, [route("more", "safe", "s")], ["s"]))
        self.until(lambda: self.node.call("/more/plain", "m")[0] == 200, 2)
        self.assertEqual(self.node.call("/read/plain", "m")[0], 404)
        for bad in (b"{", b'{"version":"r9"}', manifest(2, [route("read", "safe", "s")], ["s"])):
            self.store.put("op", "config", bad)
        self.store.put("servers", "i-forged", b"\xff not an entry")
        self.store.oddity = {"truncated": "no", "removed": 7}
        time.sleep(1.5)
        self.assertEqual(self.node.call("/more/plain", "m")[0], 200)
        self.assertEqual(self.node.call("/read/plain", "m")[0], 404)
        self.assertIsNone(self.node.child.poll())

    def test_a_newborn_learns_from_a_peer_while_the_store_is_down(self):
        self.store.stop_answering()
        time.sleep(1)
        self.assertEqual(self.node.call("/read/plain", "o1")[0], 200)
        newborn = self.start("127.0.0.12", seeds="127.0.0.11:1")
        newborn.wait_ready(8)
        self.assertEqual(newborn.call("/read/plain", "o2")[0], 200)

    def test_changes_are_in_force_while_answers_of_the_store_are_late(self):
        self.store.late_s = 0.3
        self.list_target(self.faulty, "s", "draining")
        self.store.put("op", "config", manifest(5, [route("late", "safe", "s")], ["s"]))
        self.until(lambda: self.node.call("/late/plain", "l")[0] == 200, 3)
        self.until(lambda: not [at for _, at in self.faulty.seen if at > time.monotonic() - 1], 4)

    def test_lost_answers_of_the_store_take_nothing_that_is_known(self):
        self.store.lose = "rows-"
        time.sleep(1.5)
        # The announcement of a newborn runs although its answer is lost; it is repeated without harm.
        newborn = self.start("127.0.0.12", seeds="127.0.0.11:1")
        newborn.wait_ready(8)
        for i in range(10):
            self.assertEqual(self.node.call("/read/plain", f"k{i}")[0], 200)
        self.store.lose = ""
        # Only one of the two asks for the list; both follow the tables.
        self.store.put("op", "config", manifest(5, [route("again", "safe", "s")], ["s"]))
        for node in (self.node, newborn):
            self.until(lambda: node.call("/again/plain", "g")[0] == 200, 4)
        rows = self.store.of_table("members")
        self.assertEqual(len({row["key"] for row in rows}), len(rows))
        self.assertEqual(len(rows), 2)

    def test_lost_history_is_read_anew_without_a_storm_of_calls(self):
        self.store.drop_history()
        before = self.store.feeds
        self.store.put("op", "config", manifest(6, [route("anew", "safe", "s")], ["s"]))
        self.until(lambda: self.node.call("/anew/plain", "h")[0] == 200, 2)
        time.sleep(1.5)
        self.assertLessEqual(self.store.feeds - before, 8)
        self.assertEqual(self.node.call("/read/plain", "h2")[0], 404)

    def test_one_of_two_instances_reads_the_list(self):
        other = self.start("127.0.0.12")
        other.wait_ready()
        time.sleep(1)
        before = self.store.calls
        time.sleep(4)
        # One reading each 0.8 s by one instance; a question for tables may end meanwhile.
        self.assertLessEqual(self.store.calls - before, 8)

    def test_addresses_are_those_of_live_instances_and_change_with_a_stop(self):
        ask = b"GET /pomelospread/resolve?name=a.example&region=r&zone=z HTTP/1.1\r\nHost: x\r\n\r\n"
        other = self.start("127.0.0.12")
        other.wait_ready()
        wanted = {f"{node.host}:{self.ports['callers']}" for node in (self.node, other)}
        self.until(lambda: set(json.loads(self.node.ask("addresses", ask)[2])["addresses"]) == wanted)
        other.child.send_signal(signal.SIGTERM)
        self.until(lambda: json.loads(self.node.ask("addresses", ask)[2])["addresses"] ==
                   [f"{self.node.host}:{self.ports['callers']}"], 1)

    def test_the_logs_explain_how_a_request_ended(self):
        self.node.call("/write/shed", "e-shed", "POST")
        self.node.call("/write/slow3", "e-slow", "POST", deadline=300)
        self.node.call("/read/plain", "e-plain")
        self.node.call("/nowhere", "e-none")
        self.node.stop()
        for request, cause in (("e-shed", "refused"), ("e-slow", "i-alone took the request and gave no answer"),
                               ("e-plain", "answered by i-"), ("e-none", "no route of tables 3")):
            said = fleets.subprocess.run([fleets.BUILD / "Programs/pomelospreadctl", "explain", f"--request={request}",
                                          self.node.log], capture_output=True, text=True, timeout=10)
            self.assertIn("cause: ", said.stdout, request)
            self.assertIn(cause, said.stdout.rsplit("cause: ", 1)[1], said.stdout)
        summary = fleets.subprocess.run([fleets.BUILD / "Programs/pomelospreadctl", "summarize", self.node.log,
                                         f"--picture={self.folder}/s.svg"], capture_output=True, text=True, timeout=10)
        self.assertIn("tables 3", summary.stdout)
        self.assertTrue((pathlib.Path(self.folder) / "s.svg").read_text().startswith("<svg"))

    def test_a_stop_cuts_no_request(self):
        seen = []
        with_answer = threading.Thread(target=lambda: seen.append(self.node.call("/write/slow1.5", "t1", "POST")[0]))
        with_answer.start()
        self.until(lambda: "t1" in self.alone.ran)
        self.node.child.send_signal(signal.SIGTERM)
        self.until(lambda: not self.node.is_ready(), 1)
        self.assertEqual(self.node.call("/read/plain", "t2")[0], 200)
        with_answer.join()
        self.assertEqual(seen, [200])
        self.assertEqual(self.node.child.wait(10), 0)

    def test_bad_settings_name_field_and_range(self):
        bad = fleets.subprocess.run(
            [fleets.BUILD / "Programs/pomelospread", "forward", "--check_settings", "--callers=here",
             "--extra_share=7"], capture_output=True, text=True, timeout=10)
        self.assertEqual(bad.returncode, 64)
        self.assertIn("--callers", bad.stderr)
        self.assertIn("--extra_share: 7.000000 is out of range", bad.stderr)


if __name__ == "__main__":
    unittest.main(verbosity=2)

"""One lookup and one payment through separate processes, and the operators' and callers' interfaces."""
import json
import pathlib
import sys
import unittest

sys.path.insert(0, str(pathlib.Path(__file__).resolve().parents[2] / "Meta"))
import fleet as fleets  # noqa: E402


class WholePath(unittest.TestCase):
    @classmethod
    def setUpClass(cls):
        cls.fleet = fleets.Fleet()
        cls.addClassCleanup(cls.fleet.kill_all)
        fleets.trading_office(cls.fleet)

    def ask(self, query, headers=None, method="GET", path="/.pomelospread/addresses"):
        status, fields, text = fleets.get(self.fleet.instances[0].caller, path + query, method, headers=headers)
        return status, fields, json.loads(text)

    def test_lookups_and_payments_are_served_whole_and_once(self):
        before = self.fleet.executions()
        lookups = fleets.summary(self.fleet.caller(name="lookups", count=200, concurrency=8))
        payments = fleets.summary(self.fleet.caller(
            name="payments", method="POST", path="/renewals/7", count=100, concurrency=8))
        for seen in (lookups, payments):
            self.assertEqual((seen["failed"], seen["foreign"]), (0, 0), seen)
        paid = {key: count for key, count in self.fleet.executions().items()
                if key.startswith("k1-") and key not in before}
        self.assertEqual(set(paid.values()), {1})
        self.assertEqual(len(paid), 100)

    def test_a_retry_with_the_same_key_is_answered_from_memory(self):
        _, _, asked = self.ask("?path=/renewals/1&method=POST")
        headers = {"Idempotency-Key": asked["key_prefix"] + "-again", "Pomelospread-Customer": "retry"}
        first = self.ask("", headers, "POST", "/renewals/1")
        for instance in self.fleet.instances:
            again = fleets.get(instance.caller, "/renewals/1", "POST", headers=headers)
            self.assertEqual((again[0], json.loads(again[2])), (first[0], first[2]))
        self.assertEqual(self.fleet.executions()[headers["Idempotency-Key"]], 1)

    def test_bad_requests_are_told_field_and_range(self):
        cases = [
            ("/renewals/1", "POST", {"Idempotency-Key": "mine"}, 400, "Idempotency-Key"),
            ("/renewals/1", "POST", {"Idempotency-Key": "k1-zz"}, 400, "Idempotency-Key"),
            ("/renewals/1", "POST", {"Pomelospread-Deadline-Ms": "0"}, 400, "Pomelospread-Deadline-Ms"),
            ("/renewals/1", "POST", {"Pomelospread-Customer": "a b"}, 400, "Pomelospread-Customer"),
            ("/nowhere", "GET", {}, 404, "path"),
            ("/.pomelospread/other", "GET", {}, 404, "path"),
        ]
        for path, method, headers, status, field in cases:
            seen = self.ask("", headers, method, path)
            self.assertEqual((seen[0], seen[2]["field"]), (status, field))
            self.assertEqual(seen[1]["Pomelospread-Outcome"], "not-run")

    def test_a_key_from_the_future_is_refused_and_leaves_nothing_in_progress(self):
        instance = self.fleet.instances[0]
        key = f"k1-{instance.status()['id']}-{'0' * 16}-ffffffff-mine"
        for _ in range(3):
            seen = self.ask("", {"Idempotency-Key": key}, "POST", "/renewals/1")
            self.assertEqual((seen[0], seen[2]["field"]), (400, "Idempotency-Key"))
        self.assertEqual(instance.status()["requests_in_progress"], 0)

    def test_operators_see_versions_differences_and_history(self):
        shown = json.loads(self.fleet.control("status", "--output=json").stdout)
        self.assertEqual({one["tables_version"] for one in shown}, {1})
        self.assertEqual(self.fleet.control("diff").stdout, "no difference\n")
        self.assertEqual(len(json.loads(self.fleet.control("history", "--output=json").stdout)), 1)
        self.assertIn("badge-lookup", self.fleet.control("show").stdout)

    def test_bad_settings_are_all_listed_with_their_own_exit_code(self):
        program = fleets.BUILD / "Programs/pomelospread"
        bad = fleets.subprocess.run(
            [program, "--check_settings", "--threads=0", "--listen=here", "--no_such=1"],
            capture_output=True, text=True, timeout=10)
        self.assertEqual(bad.returncode, 64)
        self.assertIn("--no_such", bad.stderr)
        bad = fleets.subprocess.run(
            [program, "--check_settings", "--threads=0", "--listen=here"], capture_output=True, text=True, timeout=10)
        self.assertIn("--threads: 0 is out of range (allowed: 1 to 64)", bad.stderr)
        self.assertIn("--listen", bad.stderr)
        conflict = self.fleet.control("validate", "--routes=/nowhere", check=False)
        self.assertEqual(conflict.returncode, 64)


if __name__ == "__main__":
    unittest.main(verbosity=2)

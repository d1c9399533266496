"""Lookups and payments through separate processes, and the interfaces for callers and operators."""
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
        fleets.start_sample_fleet(cls.fleet)

    def send_json_request(self, query, headers=None, method="GET", path="/.pomelospread/addresses"):
        status, response_headers, text = fleets.http_exchange(
            self.fleet.instances[0].caller_address, path + query, method, headers=headers)
        return status, response_headers, json.loads(text)

    def test_lookups_and_payments_are_served_and_each_payment_runs_once(self):
        before = self.fleet.execution_counts()
        lookups = fleets.wait_for_caller_summary(self.fleet.start_caller(name="lookups", count=200, concurrency=8))
        payments = fleets.wait_for_caller_summary(self.fleet.start_caller(
            name="payments", method="POST", path="/renewals/7", count=100, concurrency=8))
        for summary in (lookups, payments):
            self.assertEqual((summary["failed"], summary["foreign"]), (0, 0), summary)
        paid = {key: count for key, count in self.fleet.execution_counts().items()
                if key.startswith("k1-") and key not in before}
        self.assertEqual(set(paid.values()), {1})
        self.assertEqual(len(paid), 100)

    def test_a_retry_with_the_same_key_gets_the_stored_response(self):
        _, _, placement = self.send_json_request("?path=/renewals/1&method=POST")
        headers = {"Idempotency-Key": placement["key_prefix"] + "-again", "Pomelospread-Customer": "retry"}
        first = self.send_json_request("", headers, "POST", "/renewals/1")
        for instance in self.fleet.instances:
            repeated = fleets.http_exchange(instance.caller_address, "/renewals/1", "POST", headers=headers)
            self.assertEqual((repeated[0], json.loads(repeated[2])), (first[0], first[2]))
        self.assertEqual(self.fleet.execution_counts()[headers["Idempotency-Key"]], 1)

    def test_bad_requests_are_refused_with_the_name_of_the_field(self):
        cases = [
            ("/renewals/1", "POST", {"Idempotency-Key": "mine"}, 400, "Idempotency-Key"),
            ("/renewals/1", "POST", {"Idempotency-Key": "k1-zz"}, 400, "Idempotency-Key"),
            ("/renewals/1", "POST", {"Pomelospread-Deadline-Ms": "0"}, 400, "Pomelospread-Deadline-Ms"),
            ("/renewals/1", "POST", {"Pomelospread-Customer": "a b"}, 400, "Pomelospread-Customer"),
            ("/nowhere", "GET", {}, 404, "path"),
            ("/.pomelospread/other", "GET", {}, 404, "path"),
        ]
        for path, method, headers, status, field in cases:
            response = self.send_json_request("", headers, method, path)
            self.assertEqual((response[0], response[2]["field"]), (status, field))
            self.assertEqual(response[1]["Pomelospread-Outcome"], "not-run")

    def test_a_key_with_a_future_epoch_is_refused_and_leaves_no_request_in_progress(self):
        instance = self.fleet.instances[0]
        key = f"k1-{instance.status()['id']}-{'0' * 16}-ffffffff-mine"
        for _ in range(3):
            response = self.send_json_request("", {"Idempotency-Key": key}, "POST", "/renewals/1")
            self.assertEqual((response[0], response[2]["field"]), (400, "Idempotency-Key"))
        self.assertEqual(instance.status()["requests_in_progress"], 0)

    def test_operators_see_versions_differences_and_history(self):
        statuses = json.loads(self.fleet.run_ctl("status", "--output=json").stdout)
        self.assertEqual({status["tables_version"] for status in statuses}, {1})
        self.assertEqual(self.fleet.run_ctl("diff").stdout, "no difference\n")
        self.assertEqual(len(json.loads(self.fleet.run_ctl("history", "--output=json").stdout)), 1)
        self.assertIn("badge-lookup", self.fleet.run_ctl("show").stdout)

    def test_bad_settings_are_all_listed_with_their_own_exit_code(self):
        program = fleets.BUILD / "Programs/pomelospread"
        rejected = fleets.subprocess.run(
            [program, "--check_settings", "--threads=0", "--listen=here", "--no_such=1"],
            capture_output=True, text=True, timeout=10)
        self.assertEqual(rejected.returncode, 64)
        self.assertIn("--no_such", rejected.stderr)
        rejected = fleets.subprocess.run(
            [program, "--check_settings", "--threads=0", "--listen=here"], capture_output=True, text=True, timeout=10)
        self.assertIn("--threads: 0 is out of range (allowed: 1 to 64)", rejected.stderr)
        self.assertIn("--listen", rejected.stderr)
        conflict = self.fleet.run_ctl("validate", "--routes=/nowhere", check=False)
        self.assertEqual(conflict.returncode, 64)


if __name__ == "__main__":
    unittest.main(verbosity=2)

#!/usr/bin/env python3
"""Checks that docs/LOG-EVENTS.md lists exactly the events and fields that the code logs, with their types."""
import pathlib
import re
import unittest

ROOT = pathlib.Path(__file__).resolve().parents[2]
SOURCES = [*ROOT.glob("Libraries/*/*/*.cpp"), *ROOT.glob("platform/*.cpp"), *ROOT.glob("Programs/pomelospread/*.cpp")]
STATEMENT = re.compile(r"log_line\(((?:[^()]|\([^()]*\))*)\)(.*?)\.write\(\)", re.S)
ROW = re.compile(r"^\| `([a-z_]+)` \| (.*?) \| (.+?) \|$", re.M)


def events_in_source():
    events = {}
    for path in SOURCES:
        text = path.read_text()
        statements = STATEMENT.findall(text)
        # A statement that the pattern does not match would not be checked.
        assert len(statements) == text.count("log_line(log_level::") + text.count("log_line(answered ?"), path
        for call, rest in statements:
            for event in re.findall(r'"([a-z_]+)"', call):
                fields = events.setdefault(event, set())
                fields.update(re.findall(r'\.field\(\s*"([a-z_0-9]+)"', rest))
    return events


def documented_events():
    table = {}
    for event, fields, _ in ROW.findall((ROOT / "docs/LOG-EVENTS.md").read_text()):
        table[event] = dict(re.findall(r"`([a-z_0-9]+)` (number|text)", fields))
    return table


def check_log_lines(lines):
    """Raises an exception at the first line that does not match the documented events, fields and types."""
    table = documented_events()
    for line in lines:
        event = re.search(r" event=([a-z_]+)", line)
        assert event and event.group(1) in table, line
        for name, value in re.findall(r' ([a-z_0-9]+)=("(?:[^"\\]|\\.)*"|\S*)', line):
            if name in ("level", "event"):
                continue
            assert name in table[event.group(1)], line
            if table[event.group(1)][name] == "number":
                float(value)


class LogEvents(unittest.TestCase):
    def test_documented_events_match_the_source(self):
        logged, table = events_in_source(), documented_events()
        self.assertGreater(len(logged), 40)
        self.assertEqual(sorted(logged), sorted(table))
        for event, fields in logged.items():
            self.assertEqual(sorted(fields), sorted(table[event]), event)


if __name__ == "__main__":
    unittest.main(verbosity=2)

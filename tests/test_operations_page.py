"""Tests that the operators' page lists all metrics, and only events that the code logs."""

import pathlib
import re
import unittest

ROOT = pathlib.Path(__file__).parent.parent
PAGE = (ROOT / "docs" / "OPERATIONS.md").read_text()
FOLDERS = ("src/snowdock/entry", "src/snowdock/http_server")
SOURCES = "".join(path.read_text() for f in FOLDERS for path in sorted((ROOT / f).glob("*.py")))
METRIC = re.compile(r"\.(?:count|time|set|ratio)\(\s*\"([a-z_]+)\"")


class TestOperationsPage(unittest.TestCase):
    def test_every_metric_is_documented(self) -> None:
        """Every metric of the entry daemon is on the page, and no others."""
        names = set(METRIC.findall(SOURCES))
        self.assertGreater(len(names), 8)
        table = PAGE.partition("## Figures")[2].partition("## Running")[0]
        documented = set(re.findall(r"`([a-z_]+)(?:\{[a-z,]+\})?`", table))
        self.assertEqual(names - documented, set())
        self.assertEqual(documented - names, {"process_cpu_seconds", "snowdock_"} & documented)

    def test_every_event_is_one_that_is_logged(self) -> None:
        """Every event on the page is logged in the code."""
        jobs = "".join(p.read_text() for p in sorted((ROOT / "src/snowdock/jobs").glob("*.py")))
        folders = ("src/snowdock/node", "src/snowdock")
        node = "".join(p.read_text() for f in folders for p in sorted((ROOT / f).glob("*.py")))
        table = PAGE.partition("## What the lines say")[2].partition("## Figures")[0]
        events = {name for row in table.splitlines() for name in re.findall(r"`([a-z_]+)`", row)}
        self.assertGreater(len(events), 30)
        missing = {name for name in events if f"{name}" not in SOURCES + jobs + node}
        self.assertEqual(missing, set())


if __name__ == "__main__":
    unittest.main()

"""Tests of the table of the slowest tests."""

import collections
import io
import sys
import types
import unittest

from tests import slow_tests
from tests.slow_tests import SlowTests, TestCost, format_costs


def make_event(test: str = "") -> types.SimpleNamespace:
    stream = io.StringIO()
    stream.writeln = lambda text: stream.write(text + "\n")
    return types.SimpleNamespace(test=types.SimpleNamespace(id=lambda: test), stream=stream)


class TestTable(unittest.TestCase):
    def test_slowest_tests_come_first(self) -> None:
        """Rows are sorted by wall time and limited, and show the line with the most samples."""
        samples = collections.Counter({"test_x.py:1 `wait()`": 3, "test_x.py:2 `work()`": 1})
        costs = [
            TestCost("quick", 0.1, 0.1, collections.Counter()),
            TestCost("slow", 9.0, 0.2, samples),
            TestCost("middle", 2.0, 2.0, collections.Counter()),
        ]
        _, first, second = format_costs(costs, count=2)
        self.assertEqual(first.split()[:3], ["9.0", "0.2", "slow:"])
        self.assertIn("test_x.py:1 `wait()`", first)
        self.assertEqual(second.split(), ["2.0", "2.0", "middle:", "-"])

    def test_line_is_in_a_test_module(self) -> None:
        """Frames of other modules are skipped; a stack without a test module has no line."""
        frame = eval(compile("get_frame()", "helper.py", "eval"), {"get_frame": sys._getframe})
        self.assertEqual(frame.f_code.co_filename, "helper.py")
        found = slow_tests._find_test_line(frame)
        self.assertTrue(found.startswith("test_slow_tests.py:"), found)
        self.assertIsNone(slow_tests._find_test_line(None))

    def test_tests_and_their_fixtures_are_listed(self) -> None:
        """Each test has a row, and the time before it counts as its fixtures'."""
        plugin = SlowTests()
        plugin._wall -= 5.0
        plugin.startTest(make_event("tests.test_x.TestX.test_y"))
        plugin._wall -= 7.0
        plugin.stopTest(make_event("tests.test_x.TestX.test_y"))
        plugin._sampler.start()
        event = make_event()
        plugin.afterSummaryReport(event)
        rows = event.stream.getvalue().splitlines()
        self.assertEqual(len(rows), 3)
        self.assertTrue(rows[1].endswith("  tests.test_x.TestX.test_y: -"), rows)
        self.assertTrue(rows[2].endswith("fixtures before tests.test_x.TestX.test_y: -"), rows)


if __name__ == "__main__":
    unittest.main()

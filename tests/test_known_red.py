"""Tests that only the tests listed as known failures are excluded from the result."""

import io
import pathlib
import tempfile
import types
import unittest
import unittest.mock

from tests import known_red

LINE = "tests.test_x.TestX.test_y: cause; command; seen; issue 1"


class TestKnownRed(unittest.TestCase):
    def write(self, *lines: str) -> pathlib.Path:
        folder = self.enterContext(tempfile.TemporaryDirectory())
        path = pathlib.Path(folder, "KNOWN-RED.txt")
        path.write_text("\n".join(lines))
        return path

    def test_list(self) -> None:
        """Lines are indexed by test; a missing file lists none; more than three are an error."""
        self.assertEqual(known_red.read_known_red(self.write(LINE)), {LINE.split(":")[0]: LINE})
        self.assertEqual(known_red.read_known_red(pathlib.Path("/no/such/file")), {})
        with self.assertRaises(ValueError):
            known_red.read_known_red(self.write(*(f"t{n}: x" for n in range(4))))

    def test_cap_leaves_out_tests_of_hostile_clients(self) -> None:
        """Tests of hostile clients are listed without a cap; the cap holds for all others."""
        hostile = [f"tests.test_hostile_clients.TestX.test_{n}: x" for n in range(9)]
        self.assertEqual(len(known_red.read_known_red(self.write(LINE, *hostile))), 10)
        with self.assertRaises(ValueError):
            known_red.read_known_red(self.write(*hostile, *(f"t{n}: x" for n in range(4))))

    def failure_outcome(self, test: str) -> str:
        """Return the outcome that is recorded for a failure of a test."""
        listed = known_red.read_known_red(self.write(LINE))
        with unittest.mock.patch.object(known_red, "read_known_red", lambda: listed):
            plugin = known_red.KnownRed()
        event = types.SimpleNamespace(
            test=types.SimpleNamespace(id=lambda: test), outcome="failed", metadata={}, reason=None
        )
        plugin.setTestOutcome(event)
        stream = io.StringIO()
        stream.writeln = lambda text: stream.write(text)
        plugin.afterSummaryReport(types.SimpleNamespace(stream=stream))
        self.assertIn(LINE, stream.getvalue())
        return event.outcome

    def test_only_listed_tests_are_passed_over(self) -> None:
        """The failure of a listed test is skipped and printed; any other failure counts."""
        self.assertEqual(self.failure_outcome("tests.test_x.TestX.test_y"), "skipped")
        self.assertEqual(self.failure_outcome("tests.test_x.TestX.test_y (seed=1)"), "skipped")
        self.assertEqual(self.failure_outcome("tests.test_x.TestX.test_z"), "failed")


if __name__ == "__main__":
    unittest.main()

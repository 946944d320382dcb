"""Tests of learned time limits."""

import unittest

from snowdock.entry.adaptive_timeout import AdaptiveTimeout


class TestAdaptiveTimeout(unittest.TestCase):
    def test_limit_follows_answer_times(self) -> None:
        """The limit is some times the usual time, within its bounds."""
        patience = AdaptiveTimeout(0.25, 1.5)
        self.assertEqual(patience.limit_s, 0.25)
        for _ in range(50):
            patience.record_answer(0.2)
        self.assertAlmostEqual(patience.limit_s, 1.0, places=2)
        for _ in range(50):
            patience.record_answer(9.0)
        self.assertEqual(patience.limit_s, 1.5)

    def test_limit_doubles_after_each_timeout(self) -> None:
        """A store that has become slow is given more time with each try, and less later."""
        patience = AdaptiveTimeout(0.25, 1.5)
        limits = []
        for _ in range(5):
            limits.append(patience.limit_s)
            patience.record_timeout()
        self.assertEqual(limits, [0.25, 0.5, 1.0, 1.5, 1.5])
        for _ in range(10):
            patience.record_answer(0.01)
        self.assertLess(patience.limit_s, 0.5)


if __name__ == "__main__":
    unittest.main()

"""Tests of adaptive call timeouts."""

import unittest

from snowdock.entry.adaptive_timeout import AdaptiveTimeout


class TestAdaptiveTimeout(unittest.TestCase):
    def test_limit_follows_answer_times(self) -> None:
        """The timeout is a multiple of the average response time, within its bounds."""
        timeout = AdaptiveTimeout(0.25, 1.5)
        self.assertEqual(timeout.limit_s, 0.25)
        for _ in range(50):
            timeout.record_answer(0.2)
        self.assertAlmostEqual(timeout.limit_s, 1.0, places=2)
        for _ in range(50):
            timeout.record_answer(9.0)
        self.assertEqual(timeout.limit_s, 1.5)

    def test_limit_doubles_after_each_timeout(self) -> None:
        """Timeouts double the limit up to its bound; fast answers reduce it again."""
        timeout = AdaptiveTimeout(0.25, 1.5)
        limits = []
        for _ in range(5):
            limits.append(timeout.limit_s)
            timeout.record_timeout()
        self.assertEqual(limits, [0.25, 0.5, 1.0, 1.5, 1.5])
        for _ in range(10):
            timeout.record_answer(0.01)
        self.assertLess(timeout.limit_s, 0.5)


if __name__ == "__main__":
    unittest.main()

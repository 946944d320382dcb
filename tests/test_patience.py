"""Tests of adaptive call timeouts."""

import unittest

from snowdock.entry.patience import Patience


class TestPatience(unittest.TestCase):
    def test_limit_follows_the_answers(self) -> None:
        """The timeout is a multiple of the average response time, within its bounds."""
        patience = Patience(0.25, 1.5)
        self.assertEqual(patience.limit, 0.25)
        for _ in range(50):
            patience.note(0.2)
        self.assertAlmostEqual(patience.limit, 1.0, places=2)
        for _ in range(50):
            patience.note(9.0)
        self.assertEqual(patience.limit, 1.5)

    def test_limit_doubles_with_each_try(self) -> None:
        """Timeouts double the limit up to its bound; fast answers reduce it again."""
        patience = Patience(0.25, 1.5)
        limits = []
        for _ in range(5):
            limits.append(patience.limit)
            patience.miss()
        self.assertEqual(limits, [0.25, 0.5, 1.0, 1.5, 1.5])
        for _ in range(10):
            patience.note(0.01)
        self.assertLess(patience.limit, 0.5)


if __name__ == "__main__":
    unittest.main()

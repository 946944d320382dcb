"""Short soak runs with fixed seeds, including all seeds that have failed before."""

import unittest

from tests.soak import FAILED_SEEDS, Soak

SEEDS = (1, 2, 3000)
SECONDS = 8.0


class TestSoak(unittest.TestCase):
    def test_promises_hold(self) -> None:
        """Under random faults no task runs twice, accepted jobs end and refused jobs never run."""
        for seed, seconds in {**dict.fromkeys(SEEDS, SECONDS), **FAILED_SEEDS}.items():
            with self.subTest(seed=seed):
                self.assertEqual(Soak(seed, seconds).run(), [])


if __name__ == "__main__":
    unittest.main()

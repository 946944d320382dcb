"""A short seeded run of the soak, and each seed that ever failed."""

import unittest

from tests.soak import FAILED_SEEDS, Soak

SEEDS = (1, 2, 3000)
SECONDS = 8.0


class TestSoak(unittest.TestCase):
    def test_promises_hold(self) -> None:
        """Under drawn faults nothing runs twice, accepted jobs end, and refused ones never ran."""
        for seed, seconds in {**dict.fromkeys(SEEDS, SECONDS), **FAILED_SEEDS}.items():
            with self.subTest(seed=seed):
                self.assertEqual(Soak(seed, seconds).run(), [])


if __name__ == "__main__":
    unittest.main()

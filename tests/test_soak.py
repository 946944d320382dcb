"""Short soak runs with fixed seeds, including all seeds that have failed before."""

import unittest

from tests.soak import (
    EXPANDING_FROM_SEED,
    FAILED_SEEDS,
    LONG_RUNNING_FROM_SEED,
    SHORT_RECORDS_FROM_SEED,
    Soak,
)

SEEDS = (1, 2, 3000)
SECONDS = 8.0
OVERLAPPING_SECONDS = 4.0

GROUP_CUT_SEED = 6073
"""A seed that first cuts the leader off with two followers and two workers, for 11.5 s."""

GROUP_CUT_SECONDS = 2.0


class TestSoak(unittest.TestCase):
    def test_promises_hold(self) -> None:
        """Under random faults no task runs twice, accepted jobs end and refused jobs never run."""
        for seed, seconds in {**dict.fromkeys(SEEDS, SECONDS), **FAILED_SEEDS}.items():
            with self.subTest(seed=seed):
                self.assertEqual(Soak(seed, seconds).run(), [])


class TestSoakWithShortRecords(unittest.TestCase):
    def test_promises_hold(self) -> None:
        """No task runs twice and accepted jobs end if the progress takes several records."""
        soak = Soak(SHORT_RECORDS_FROM_SEED, OVERLAPPING_SECONDS)
        self.assertEqual(soak.run(), [])


class TestSoakWithExpandingJobs(unittest.TestCase):
    def test_jobs_that_expand_to_millions_of_tasks(self) -> None:
        """Beside such jobs accepted ones end, through changes of leader and cuts."""
        self.assertEqual(Soak(EXPANDING_FROM_SEED, OVERLAPPING_SECONDS).run(), [])


class TestSoakWithGroupCuts(unittest.TestCase):
    def test_tasks_run_twice_after_their_leader_was_cut_off(self) -> None:
        """No task runs on both sides of a cut, and all accepted jobs end after it."""
        self.assertEqual(Soak(GROUP_CUT_SEED, GROUP_CUT_SECONDS, nodes=4).run(), [])


class TestSoakWithOverlappingFaults(unittest.TestCase):
    soak: Soak
    violations: list[str]

    @classmethod
    def setUpClass(cls) -> None:
        cls.soak = Soak(LONG_RUNNING_FROM_SEED, OVERLAPPING_SECONDS)
        cls.violations = cls.soak.run()

    def test_long_running_jobs_and_lookups(self) -> None:
        """After overlapping faults, long-running tasks run and all nodes know all accepted jobs."""
        unknown = self.soak.unknown_job_violations
        self.assertEqual([each for each in self.violations if each not in unknown], [])

    def test_unknown_jobs_are_called_gone(self) -> None:
        """After overlapping faults, callers learn within five tries that a job doesn't exist."""
        self.assertTrue(self.soak.reports)
        self.assertEqual(self.soak.unknown_job_violations, [])


if __name__ == "__main__":
    unittest.main()

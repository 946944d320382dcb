"""Tests of the assignment of jobs to partitions."""

import unittest

from snowdock.entry.topics import job_partition


class TestJobPartition(unittest.TestCase):
    def test_jobs_are_spread_evenly(self) -> None:
        """Jobs are spread evenly, and a job always has the same partition."""
        jobs = [f"{number * 0x9E3779B97F4A7C15 % 2**64:016x}" for number in range(1200)]
        counts = [0] * 12
        for job in jobs:
            self.assertEqual(job_partition(job, 12), job_partition(job, 12))
            counts[job_partition(job, 12)] += 1
        self.assertGreater(min(counts), 60)
        self.assertEqual({job_partition(job, 1) for job in jobs}, {0})


if __name__ == "__main__":
    unittest.main()

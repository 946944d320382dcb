"""Emulated days of a small service with few requests to the advice service at a time."""

import dataclasses
import unittest

from snowdock.emulator import Emulator, WorkloadOptions, draw_workload
from snowdock.emulator.imaging import imaging_mixes, imaging_options

WORKERS = 19
SECONDS = 24.0


def run_day_with_standing_watchers(seed: int, nodes: int) -> Emulator:
    """Run a service whose watchers are too wide for the workers that admit them."""
    watchers, reviews, checks = imaging_mixes()
    mixes = (
        dataclasses.replace(
            watchers, per_second=1.2, width=10, cpu=200, memory=400, failing_share=0.0,
            lasting_s=60.0, most_per_worker=1,
        ),
        dataclasses.replace(reviews, per_second=0.4, width=14, cpu=2000, memory=4000),
        dataclasses.replace(checks, per_second=2.0),
    )  # fmt: skip
    workload = WorkloadOptions(SECONDS, 1.0, mixes)
    jobs = draw_workload(seed, workload)
    emulator = Emulator(seed, imaging_options(workload, WORKERS, nodes), jobs)
    emulator.run_until(SECONDS + 4.0)
    return emulator


class TestAskingDays(unittest.TestCase):
    def test_jobs_stand_beside_watchers_at_their_limit(self) -> None:
        """Watchers that wait at their limit of tasks on each worker starve no other job."""
        for seed, nodes in ((1, 4), (2, 4), (3, 4)):
            with self.subTest(seed=seed, nodes=nodes):
                emulator = run_day_with_standing_watchers(seed, nodes)
                self.assertEqual(emulator.starvation.starved_jobs, {})
                self.assertEqual(emulator.waiting_tasks.waiting_tasks, {})
                self.assertEqual(emulator.checks.violations, [])


if __name__ == "__main__":
    unittest.main()

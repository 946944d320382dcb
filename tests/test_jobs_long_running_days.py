"""Emulated days of a line imaging service whose long-running tasks must not stand beside room."""

import dataclasses
import random
import unittest

from snowdock.emulator import Emulator, WorkloadOptions, draw_workload
from snowdock.emulator.imaging import imaging_mixes, imaging_options

WORKERS = 32
FAILING_WORKERS = 5
SECONDS = 26.0
SEEDS = (3, 10, 13)


def run_day_with_failing_workers(seed: int) -> Emulator:
    """Run a small service, some of whose workers fail all runs after 3 s."""
    watchers, reviews, checks = imaging_mixes()
    mixes = (
        dataclasses.replace(watchers, per_second=1 / 4, width=5, lasting_s=15.0, most_per_worker=1),
        dataclasses.replace(reviews, per_second=0.42, width=24),
        dataclasses.replace(checks, per_second=3.0),
    )
    workload = WorkloadOptions(SECONDS, 1.0, mixes)
    jobs = draw_workload(seed, workload)
    emulator = Emulator(seed, imaging_options(workload, WORKERS, advice_node_count=8), jobs)
    emulator.run_until(3.0)
    for life in random.Random(seed).sample(list(emulator.workers), FAILING_WORKERS):
        emulator.workers[life].fails_all_runs = True
    emulator.run_until(SECONDS + 4.0)
    return emulator


class TestLongRunningDays(unittest.TestCase):
    def test_long_running_tasks_stand_beside_failing_workers(self) -> None:
        """A task whose siblings run is not kept from the only workers that have room for it."""
        for seed in SEEDS:
            with self.subTest(seed=seed):
                emulator = run_day_with_failing_workers(seed)
                self.assertEqual(emulator.waiting_tasks.waiting_tasks, {})
                self.assertEqual(emulator.checks.violations, [])


if __name__ == "__main__":
    unittest.main()

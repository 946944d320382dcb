"""Tests of leaders that are cut off together with workers, on the emulator."""

import dataclasses
import random
import unittest

from snowdock.emulator import Emulator, EmulatorOptions, WorkloadOptions, draw_workload
from snowdock.emulator.workload import DrawnJob, default_mixes
from snowdock.jobs.timeouts import AUTHORITY_SECONDS, OUTAGE_AUTHORITY_SECONDS
from tests.jobs_tools import find_unended_jobs

SECONDS = 30
SETTLE_SECONDS = 90
LOAD = 0.1
WORK_FACTOR = 3.0
"""Factor on the work of tasks, so that runs outlast the successor's wait for their leases."""

SEEDS = range(500, 536)
EXCEEDING_SEEDS = range(500, 504)

AUTHORITIES = (AUTHORITY_SECONDS, OUTAGE_AUTHORITY_SECONDS)
"""How long after its successor's claim an old leader may send orders, in seconds."""


def run_with_group_cuts(
    seed: int, exceeds_authority: bool = False
) -> tuple[Emulator, list[DrawnJob]]:
    """Run the emulator while its leader is cut off with a random group of workers, repeatedly."""
    rng = random.Random(seed)
    mixes = tuple(
        dataclasses.replace(mix, work_s=mix.work_s * WORK_FACTOR)
        for mix in default_mixes(with_advice=False)[:2]
    )
    workload = WorkloadOptions(SECONDS, LOAD, mixes)
    jobs = draw_workload(seed, workload)
    emulator = Emulator(seed, EmulatorOptions(workload), jobs)
    emulator.checks.is_undisturbed = False
    at = 0.0
    while at < SECONDS:
        at += rng.uniform(2.0, 6.0)
        emulator.run_until(at)
        lives = [life for life, model in emulator.workers.items() if model.is_up]
        emulator.cut_off_leader(
            rng.sample(lives, rng.randrange(1, len(lives))),
            rng.uniform(0.5, 2.5),
            rng.choice(AUTHORITIES),
            exceeds_authority,
        )
        at += rng.uniform(2.0, 20.0)
        emulator.run_until(at)
        emulator.heal_cut()
        if rng.random() < 0.3:
            emulator.kill_leader(rng.uniform(0.1, 2.0))
    emulator.run_until(at + SETTLE_SECONDS)
    return emulator, jobs


class TestGroupCuts(unittest.TestCase):
    def test_task_runs_twice_after_its_leader_was_cut_off_with_workers(self) -> None:
        """A leader that stops in time has no task run twice, and all jobs end."""
        for seed in SEEDS:
            with self.subTest(seed=seed):
                emulator, jobs = run_with_group_cuts(seed)
                self.assertEqual(emulator.checks.violations, [])
                self.assertEqual(find_unended_jobs(emulator, jobs), [])

    def test_leader_that_goes_on_until_the_cut_heals_is_found(self) -> None:
        """The checks report a second run if the old leader exceeds its authority."""
        for seed in EXCEEDING_SEEDS:
            with self.subTest(seed=seed):
                emulator, _ = run_with_group_cuts(seed, exceeds_authority=True)
                rules = {violation.rule for violation in emulator.checks.violations}
                self.assertEqual(rules, {"twice"})


if __name__ == "__main__":
    unittest.main()

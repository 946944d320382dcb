"""Tests of the emulator's options for uneven workers and run times."""

import dataclasses
import unittest

from snowdock.emulator import Emulator, EmulatorOptions, WorkloadOptions, draw_workload
from snowdock.emulator.worker_model import WorkerTimings
from snowdock.emulator.workload import log_mixes

SLOWNESS = (0.7, 0.7, 1.7)


def make_mixes(tail_share: float, **changes: object):
    return tuple(
        dataclasses.replace(mix, tail_share=tail_share, failing_share=0.0, **changes)
        for mix in log_mixes()
    )


class TestLastingSlowness(unittest.TestCase):
    """A machine that changed its speed with its life would make all learned speeds worthless."""

    def test_machines_keep_their_factor_across_lives_and_replacements(self) -> None:
        options = EmulatorOptions(WorkloadOptions(), workers=6, lasting_slowness=SLOWNESS)
        emulator = Emulator(1, options, [])
        third, sixth = list(emulator.workers)[2::3]
        emulator.fleet.restart(third, 0.5)
        emulator.fleet.crash(sixth, 0.5)
        emulator.run_until(5.0)
        found = {model.entry.address: set() for model in emulator.workers.values()}
        for model in emulator.workers.values():
            found[model.entry.address].add(model.slowness)
        self.assertEqual([{each} for each in SLOWNESS * 2], list(found.values()))
        self.assertEqual(8, len(emulator.workers))


class TestTails(unittest.TestCase):
    """A tail that changed other draws would make days with and without it incomparable."""

    def test_tail_changes_only_the_times_of_its_share_of_tasks(self) -> None:
        with_tail, without = (
            draw_workload(1, WorkloadOptions(10.0, 1.0, make_mixes(share))) for share in (0.03, 0.0)
        )
        ratios = [
            long_s / s
            for long_job, job in zip(with_tail, without, strict=True)
            for long_step, step in zip(long_job.work_s, job.work_s, strict=True)
            for long_s, s in zip(long_step, step, strict=True)
        ]
        self.assertEqual([job.spec for job in without], [job.spec for job in with_tail])
        self.assertEqual({1.0, 7.0}, {round(ratio, 6) for ratio in ratios})
        self.assertAlmostEqual(0.03, ratios.count(7.0) / len(ratios), delta=0.01)


class TestSharedPace(unittest.TestCase):
    """With its first member completing it, a gang would be placed best on one fast worker."""

    def test_gang_ends_with_its_slowest_member(self) -> None:
        mix = make_mixes(0.0, gang_share=1.0, fit_share=1.0, steps=0.1)[2]
        workload = WorkloadOptions(0.2, 1.0, (mix,))
        jobs = [job for job in draw_workload(1, workload) if job.spec.steps[0].count > 1]
        options = EmulatorOptions(
            workload, 30, timings=WorkerTimings(gangs_share_pace=True), lasting_slowness=(1.0,)
        )
        emulator = Emulator(1, options, jobs)
        emulator.run_until(10.0)
        self.assertTrue(jobs)
        for job in jobs:
            self.assertGreater(emulator.finished_at[job.job] - job.at, max(job.work_s[0]))

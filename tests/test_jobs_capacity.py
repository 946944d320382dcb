"""Tests of workers whose capacity shrinks and grows at run time."""

import dataclasses
import random
import unittest

import msgspec

from snowdock.declarations import ZERO, Size
from snowdock.emulator import Emulator, EmulatorOptions, WorkloadOptions, draw_workload
from snowdock.emulator.workload import default_mixes
from snowdock.jobs.events import Persist, Persisted, WorkerListed
from snowdock.jobs.model import JobStatus
from tests.jobs_tools import DONE, SMALL, Bench, filter_by_type, find_unended_jobs

SECONDS = 20
SETTLE_SECONDS = 30
SEEDS = range(6)

PAIR = msgspec.structs.replace(SMALL, count=2)


class TestStarts(unittest.TestCase):
    def setUp(self) -> None:
        self.bench = Bench()
        self.bench.add_worker("w", cpu=2000)

    def resize(self, capacity: Size) -> list:
        entry = self.bench.cell.workers["w"].entry
        return self.bench.feed(WorkerListed(dataclasses.replace(entry, capacity=capacity)))

    def place_with_paused_store(self) -> Persist:
        """Place two tasks while the store does not confirm their placement."""
        self.bench.is_store_paused = True
        self.bench.submit(PAIR)
        (batch,) = filter_by_type(self.bench.effects, Persist)
        return batch

    def test_room_that_shrinks_before_a_start_goes_out(self) -> None:
        """If the capacity shrinks after the placement of two tasks, only those that fit start."""
        batch = self.place_with_paused_store()
        self.resize(Size(1000, 9000))
        found = self.bench.feed(Persisted(batch.number))
        self.assertEqual(len(self.bench.starts(found)), 1)

    def test_no_start_on_a_worker_without_capacity(self) -> None:
        """If the worker has no capacity left, no task starts and all of them are requeued."""
        batch = self.place_with_paused_store()
        self.resize(ZERO)
        found = self.bench.feed(Persisted(batch.number))
        self.assertEqual(self.bench.starts(found), [])
        self.bench.is_store_paused = False
        self.bench.feed(Persisted(self.bench.cell.batch_number))
        self.resize(Size(2000, 9000))
        self.bench.tick(0.3)
        self.assertEqual(len(self.bench.starts(self.bench.all_effects)), 2)

    def test_runs_over_capacity_continue(self) -> None:
        """Runs that exceed a shrunk capacity continue; nothing starts before they end."""
        job = self.bench.submit(PAIR)
        starts = self.bench.starts()
        for start in starts:
            self.bench.confirm(start)
        self.resize(Size(1000, 9000))
        self.bench.submit(SMALL)
        self.assertEqual(self.bench.starts(), [])
        self.bench.report("w", ended=[(starts[0].order.task, 1, DONE)])
        self.bench.tick(0.2)
        self.bench.all_effects.clear()
        self.bench.report("w", ended=[(starts[1].order.task, 1, DONE)])
        self.bench.tick(0.2)
        self.assertEqual(self.bench.cell.jobs[job].status, JobStatus.COMPLETED)
        self.assertEqual(len(self.bench.starts(self.bench.all_effects)), 1)

    def test_room_that_grows_is_used_at_once(self) -> None:
        """Waiting tasks start as soon as the worker's entry has more capacity."""
        self.bench.submit(msgspec.structs.replace(SMALL, count=4))
        self.assertEqual(len(self.bench.starts(self.bench.all_effects)), 2)
        self.bench.now += 0.1
        self.resize(Size(4000, 9000))
        self.bench.tick(0.1)
        self.assertEqual(len(self.bench.starts(self.bench.all_effects)), 4)


class TestFaults(unittest.TestCase):
    def test_no_start_exceeds_capacity(self) -> None:
        """Capacities shrink, also to zero, and grow, with lost answers and leader changes."""
        for seed in SEEDS:
            with self.subTest(seed=seed):
                emulator, jobs = self.run_emulation(seed)
                self.assertEqual(emulator.checks.violations, [])
                self.assertEqual(find_unended_jobs(emulator, jobs), [])

    @staticmethod
    def run_emulation(seed: int):
        rng = random.Random(seed)
        workload = WorkloadOptions(SECONDS, 0.4, default_mixes(seed % 2 == 0))
        jobs = draw_workload(seed, workload)
        options = EmulatorOptions(workload)
        emulator = Emulator(seed, options, jobs)
        emulator.checks.is_calm = False
        at = 0.0
        while at < SECONDS:
            at += rng.uniform(0.1, 0.6)
            emulator.run_until(at)
            life = rng.choice(list(emulator.workers))
            share = rng.choice((0.0, 0.1, 0.3, 0.6, 1.0))
            emulator.fleet.resize(life, options.capacity.scaled(share))
            emulator.faults.lost_answers = rng.choice((0.0, 0.0, 0.2))
            if rng.random() < 0.05:
                emulator.kill_leader(0.5)
            if rng.random() < 0.05:
                # Placements are recorded long after the capacity of their workers has shrunk.
                emulator.faults.store_down = True
                emulator.timeline.after(6.0, lambda: _restore_store(emulator))
        emulator.faults.store_down = False
        emulator.faults.lost_answers = 0.0
        for life in list(emulator.workers):
            emulator.fleet.resize(life, options.capacity)
        emulator.run_until(SECONDS + SETTLE_SECONDS)
        return emulator, jobs


def _restore_store(emulator: Emulator) -> None:
    emulator.faults.store_down = False


if __name__ == "__main__":
    unittest.main()

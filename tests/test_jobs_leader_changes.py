"""Tests of tasks that crash their workers while leaders change."""

import dataclasses
import random
import unittest

import msgspec

from snowdock.emulator import Emulator, EmulatorOptions, WorkloadOptions, draw_workload
from snowdock.emulator.workload import default_mixes
from snowdock.jobs.events import SendStart
from snowdock.jobs.forecast import upcoming_free_room
from snowdock.jobs.model import JobStatus
from snowdock.jobs.orders import EndKind
from tests.jobs_tools import SMALL, LeaderSequence, find_unended_jobs

MOST_STARTS = 5
"""After three crashes under a task, fewer than three more starts."""

GANG = msgspec.structs.replace(SMALL, count=2, gang=True, most_per_worker=1)
LONG_RUNNING = msgspec.structs.replace(SMALL, long_running=True)

ROUNDS = 12
SECONDS = 20
SETTLE_SECONDS = 140
DRAINING_SEEDS = (167, 266, 271)
"""Days on which runs were lost with draining workers under a new leader."""

GANG_SEEDS = (1, 50, 82, 88)
"""Days on which a gang broke off just as one of its members ended its own worker."""

FEW_CRASHING = 0.04
MANY_CRASHING = 0.15
"""Shares of jobs with a task that ends its workers."""


class TestDrainingWorkers(unittest.TestCase):
    def test_crash_of_a_draining_worker_under_a_new_leader(self) -> None:
        """It is charged, though the new leader does not know when the run began."""
        leaders = LeaderSequence(SMALL)
        self.assertLessEqual(self.count_starts(leaders), MOST_STARTS)
        self.assertEqual(leaders.status, JobStatus.FAILED)

    def test_long_running_task(self) -> None:
        """One that lasts is charged as well where its worker went before it told of the run."""
        self.assertLessEqual(self.count_starts(LeaderSequence(LONG_RUNNING)), MOST_STARTS)

    @staticmethod
    def count_starts(leaders: LeaderSequence) -> int:
        """Have each worker drain, and crash as the leader changes; give how often one is tried."""
        starts = 0
        while starts < ROUNDS and (found := leaders.next_starts()):
            (start,) = found
            starts += 1
            leaders.replace_leader()
            leaders.list_worker(start.life, draining=True)
            leaders.bench.end_life(start.life)
        return starts

    def test_stalled_leader(self) -> None:
        """A leader that stood still knows not when the worker went: what it heard last counts."""
        leaders = LeaderSequence(SMALL)
        (start,) = leaders.next_starts()
        leaders.bench.confirm(start)
        leaders.list_worker(start.life, draining=True)
        leaders.bench.now += 5.0
        leaders.bench.end_life(start.life)
        task = leaders.bench.cell.find_task(start.order.task)
        self.assertEqual(task.lost_runs, {1})

    def test_days_with_draining_workers(self) -> None:
        """On emulated days no task is started three times after it crashed three workers."""
        check_days(self, DRAINING_SEEDS)


class TestRecoveredRuns(unittest.TestCase):
    """What a new leader goes by that finds a run on record."""

    def test_long_running_task_is_cleared_by_its_work(self) -> None:
        """A takeover does not count as 30 seconds of work."""
        leaders = LeaderSequence(LONG_RUNNING)
        for _ in range(2):
            (start,) = leaders.next_starts()
            leaders.bench.confirm(start)
            leaders.bench.end_life(start.life)
        (start,) = leaders.next_starts()
        leaders.replace_leader()
        leaders.list_worker(start.life)
        running = [(start.order.task, start.order.run, 100.0)]
        leaders.bench.report(start.life, running=running)
        task = leaders.bench.cell.find_task(start.order.task)
        self.assertEqual(task.lost_runs, {1, 2})
        for _ in range(62):
            leaders.bench.tick(0.5)
            leaders.bench.report(start.life, running=running)
        self.assertEqual(task.lost_runs, frozenset())

    def test_run_lost_after_a_report(self) -> None:
        """On a draining worker it is charged, however old the new leader's machine is."""
        leaders = LeaderSequence(SMALL)
        (start,) = leaders.next_starts()
        leaders.replace_leader()
        leaders.list_worker(start.life, draining=True)
        leaders.bench.report(start.life, running=[(start.order.task, 1, 1.0)])
        leaders.bench.end_life(start.life)
        task = leaders.bench.cell.find_task(start.order.task)
        self.assertEqual(task.lost_runs, {1})

    def test_crash_counts_survive_leader_changes(self) -> None:
        """Three crashes that were seen as such are the most, though a new leader saw the third."""
        leaders = LeaderSequence(SMALL)
        starts = 0
        while starts < ROUNDS and (found := leaders.next_starts()):
            starts += 1
            if starts == 3:
                leaders.replace_leader()
                leaders.list_worker(found[0].life)
                running = [(found[0].order.task, found[0].order.run, 1.0)]
                leaders.bench.report(found[0].life, running=running)
            else:
                leaders.bench.confirm(found[0])
            leaders.bench.end_life(found[0].life)
        self.assertEqual(starts, 3)
        self.assertEqual(leaders.status, JobStatus.FAILED)

    def test_member_that_is_done(self) -> None:
        """Its worker may never become known to a new leader, which charges nobody."""
        leaders = LeaderSequence(GANG, msgspec.structs.replace(SMALL, after=(0,)))
        one, other = leaders.next_starts()
        losses = frozenset({-1, -2, -3, -4})
        leaders.bench.cell.find_task(other.order.task).lost_runs = losses
        for start in (one, other):
            leaders.bench.confirm(start)
        leaders.bench.report(one.life, ended=[(one.order.task, one.order.run, EndKind.DONE)])
        leaders.replace_leader()
        leaders.bench.tick(12.0)
        self.assertEqual(leaders.bench.cell.find_task(other.order.task).lost_runs, losses)
        self.assertEqual(leaders.status, JobStatus.RUNNING)

    def test_expected_end_of_a_recovered_run(self) -> None:
        """Room that a run takes is expected back after its estimate, not after days."""
        leaders = LeaderSequence(SMALL)
        (start,) = leaders.next_starts()
        leaders.replace_leader()
        leaders.list_worker(start.life)
        worker = leaders.bench.cell.workers[start.life]
        ((at, _),) = upcoming_free_room(leaders.bench.cell, worker, leaders.bench.now)
        self.assertLessEqual(at - leaders.bench.now, SMALL.estimate_ms / 1000 + 1)


class TestGangs(unittest.TestCase):
    """A start that ends in another way than with its worker."""

    def test_member_that_is_broken_off(self) -> None:
        """After three losses under a member, a start of it counts though the gang broke first."""
        leaders = LeaderSequence(GANG)
        for _ in range(3):
            starts = self.start_all(leaders)
            leaders.replace_leader()
            for start in starts:
                leaders.list_worker(start.life)
            leaders.bench.report(starts[0].life, ended=[self.gang_broken_end(starts[0])])
            leaders.bench.end_life(starts[1].life)
        more = 0
        while more < ROUNDS and (starts := self.start_all(leaders)):
            more += 1
            leaders.bench.report(starts[1].life, ended=[self.gang_broken_end(starts[1])])
            leaders.bench.report(starts[0].life, ended=[self.gang_broken_end(starts[0])])
        self.assertLessEqual(more, MOST_STARTS - 3)
        self.assertEqual(leaders.status, JobStatus.FAILED)

    @staticmethod
    def start_all(leaders: LeaderSequence) -> list[SendStart]:
        """Start both members, the guilty one last; give none once the job is given up."""
        starts = sorted(leaders.next_starts(), key=lambda start: start.order.task.index)
        for start in starts:
            leaders.bench.confirm(start)
        return starts

    @staticmethod
    def gang_broken_end(start: SendStart) -> tuple:
        return (start.order.task, start.order.run, EndKind.GANG_BROKEN)

    def test_days_with_gangs(self) -> None:
        """On emulated days no member is started three times after it crashed three workers."""
        check_days(self, GANG_SEEDS, MANY_CRASHING)


def check_days(
    test: unittest.TestCase, seeds: tuple[int, ...], crashing_share: float = FEW_CRASHING
) -> None:
    for seed in seeds:
        with test.subTest(seed=seed):
            emulator, hanging = run_with_leader_changes(seed, crashing_share)
            test.assertEqual(emulator.checks.violations, [])
            test.assertEqual(hanging, [])


def run_with_leader_changes(
    seed: int, crashing_share: float = FEW_CRASHING
) -> tuple[Emulator, list[str]]:
    """Play a day on which leaders change every second or so; give the jobs that did not end too."""
    rng = random.Random(seed)
    mixes = [
        dataclasses.replace(mix, crashing_share=crashing_share)
        for mix in default_mixes(with_advice=False)
    ]
    workload = WorkloadOptions(SECONDS, rng.choice([0.2, 0.35]), tuple(mixes))
    jobs = draw_workload(seed, workload)
    emulator = Emulator(seed, EmulatorOptions(workload, entries_linger=True), jobs)
    emulator.checks.is_calm = False
    at = 0.0
    while at < SECONDS + 25:
        at += rng.uniform(0.2, 2.0)
        emulator.run_until(at)
        inject_change(emulator, rng)
    emulator.run_until(SECONDS + SETTLE_SECONDS)
    return emulator, find_unended_jobs(emulator, jobs)


def inject_change(emulator: Emulator, source: random.Random) -> None:
    """Change the leader, or have a worker drain."""
    kind = source.random()
    lives = [life for life, model in emulator.workers.items() if model.takes_work]
    if kind < 0.5:
        emulator.kill_leader(source.uniform(0.1, 2))
    elif kind < 0.65:
        emulator.depose_leader()
    elif len(lives) > 15:
        emulator.fleet.drain(source.choice(lives))
        emulator.fleet.add(source.randrange(4))


if __name__ == "__main__":
    unittest.main()

"""Tests of tasks that crash their workers while the leader changes."""

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
from tests.jobs_tools import SMALL, LeaderSequence, charge_task, find_unended_jobs

MAX_STARTS = 5
"""Limit of a crashing task's starts: at most two more after its third crash."""

GANG = msgspec.structs.replace(SMALL, count=2, gang=True, most_per_worker=1)
LONG_RUNNING = msgspec.structs.replace(SMALL, long_running=True)

ROUNDS = 12
SECONDS = 20
SETTLE_SECONDS = 140
DRAINING_SEEDS = (167, 266, 271)
"""Seeds with runs lost on draining workers under a new leader."""

GANG_SEEDS = (1, 50, 82, 88)
"""Seeds with a gang that breaks just as one of its members crashes its worker."""

LOW_CRASHING_SHARE = 0.04
HIGH_CRASHING_SHARE = 0.15
"""Shares of jobs with a task that crashes its workers."""


class TestDrainingWorkers(unittest.TestCase):
    def test_crash_of_a_draining_worker_under_a_new_leader(self) -> None:
        """A lost run is charged although the new leader does not know when it began."""
        leaders = LeaderSequence(SMALL)
        self.assertLessEqual(self.count_starts(leaders), MAX_STARTS)
        self.assertEqual(leaders.status, JobStatus.FAILED)

    def test_long_running_task(self) -> None:
        """A long-running task is charged too if its worker ended before reporting the run."""
        self.assertLessEqual(self.count_starts(LeaderSequence(LONG_RUNNING)), MAX_STARTS)

    @staticmethod
    def count_starts(leaders: LeaderSequence) -> int:
        """Count the starts while each worker drains, and crashes as the leader changes."""
        starts = 0
        while starts < ROUNDS and (found := leaders.next_starts()):
            (start,) = found
            starts += 1
            leaders.replace_leader()
            leaders.list_worker(start.life, draining=True)
            leaders.bench.end_life(start.life)
        return starts

    def test_stalled_leader(self) -> None:
        """After a stall of the leader, a run's age is based on the worker's last report."""
        leaders = LeaderSequence(SMALL)
        (start,) = leaders.next_starts()
        leaders.bench.confirm(start)
        leaders.list_worker(start.life, draining=True)
        leaders.bench.now += 5.0
        leaders.bench.end_life(start.life)
        task = leaders.bench.cell.find_task(start.order.task)
        self.assertEqual(task.lost_runs, {1})

    def test_seeds_with_draining_workers(self) -> None:
        """In the emulator, no task exceeds its limit of starts."""
        check_seeds(self, DRAINING_SEEDS)


class TestRecoveredRuns(unittest.TestCase):
    """Runs that a new leader restores from durable records."""

    def test_long_running_task_is_cleared_by_its_work(self) -> None:
        """Losses are not cleared by a takeover, only by 30 seconds of running afterwards."""
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
        """A reported run lost on a draining worker is charged, however long the node is up."""
        leaders = LeaderSequence(SMALL)
        (start,) = leaders.next_starts()
        leaders.replace_leader()
        leaders.list_worker(start.life, draining=True)
        leaders.bench.report(start.life, running=[(start.order.task, 1, 1.0)])
        leaders.bench.end_life(start.life)
        task = leaders.bench.cell.find_task(start.order.task)
        self.assertEqual(task.lost_runs, {1})

    def test_crash_counts_survive_leader_changes(self) -> None:
        """The task is given up at its third crash, even if a new leader detected that one."""
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
        """A member that is done is not charged if its worker stays unknown to a new leader."""
        leaders = LeaderSequence(GANG, msgspec.structs.replace(SMALL, after=(0,)))
        one, other = leaders.next_starts()
        losses = {-1, -2, -3, -4}
        charge_task(leaders.bench.cell.find_task(other.order.task), *losses)
        for start in (one, other):
            leaders.bench.confirm(start)
        leaders.bench.report(one.life, ended=[(one.order.task, one.order.run, EndKind.DONE)])
        leaders.replace_leader()
        leaders.bench.tick(12.0)
        self.assertEqual(leaders.bench.cell.find_task(other.order.task).lost_runs, losses)
        self.assertEqual(leaders.status, JobStatus.RUNNING)

    def test_expected_end_of_a_recovered_run(self) -> None:
        """A restored run's room is expected to be free after the run's estimated time."""
        leaders = LeaderSequence(SMALL)
        (start,) = leaders.next_starts()
        leaders.replace_leader()
        leaders.list_worker(start.life)
        worker = leaders.bench.cell.workers[start.life]
        ((at, _),) = upcoming_free_room(leaders.bench.cell, worker, leaders.bench.now)
        self.assertLessEqual(at - leaders.bench.now, SMALL.estimate_ms / 1000 + 1)


class TestGangs(unittest.TestCase):
    """Starts of gang members that end without the loss of their worker."""

    def test_member_of_a_broken_gang(self) -> None:
        """After three losses, each start of a member is charged even if the gang broke first."""
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
        self.assertLessEqual(more, MAX_STARTS - 3)
        self.assertEqual(leaders.status, JobStatus.FAILED)

    @staticmethod
    def start_all(leaders: LeaderSequence) -> list[SendStart]:
        """Confirm the starts of both members; return none once the job is given up."""
        starts = sorted(leaders.next_starts(), key=lambda start: start.order.task.index)
        for start in starts:
            leaders.bench.confirm(start)
        return starts

    @staticmethod
    def gang_broken_end(start: SendStart) -> tuple:
        return (start.order.task, start.order.run, EndKind.GANG_BROKEN)

    def test_seeds_with_gangs(self) -> None:
        """In the emulator, no member of a gang exceeds its limit of starts."""
        check_seeds(self, GANG_SEEDS, HIGH_CRASHING_SHARE)


def check_seeds(
    test: unittest.TestCase, seeds: tuple[int, ...], crashing_share: float = LOW_CRASHING_SHARE
) -> None:
    for seed in seeds:
        with test.subTest(seed=seed):
            emulator, unfinished = run_with_leader_changes(seed, crashing_share)
            test.assertEqual(emulator.checks.violations, [])
            test.assertEqual(unfinished, [])


def run_with_leader_changes(
    seed: int, crashing_share: float = LOW_CRASHING_SHARE
) -> tuple[Emulator, list[str]]:
    """Run the emulator with frequent leader changes; also return the jobs that did not end."""
    rng = random.Random(seed)
    mixes = [
        dataclasses.replace(mix, crashing_share=crashing_share)
        for mix in default_mixes(with_advice=False)
    ]
    workload = WorkloadOptions(SECONDS, rng.choice([0.2, 0.35]), tuple(mixes))
    jobs = draw_workload(seed, workload)
    emulator = Emulator(seed, EmulatorOptions(workload, lists_crashed_workers=True), jobs)
    emulator.checks.is_undisturbed = False
    at = 0.0
    while at < SECONDS + 25:
        at += rng.uniform(0.2, 2.0)
        emulator.run_until(at)
        inject_change(emulator, rng)
    emulator.run_until(SECONDS + SETTLE_SECONDS)
    return emulator, find_unended_jobs(emulator, jobs)


def inject_change(emulator: Emulator, rng: random.Random) -> None:
    """Change the leader, or drain and replace a worker."""
    kind = rng.random()
    lives = [life for life, model in emulator.workers.items() if model.accepts_runs]
    if kind < 0.5:
        emulator.kill_leader(rng.uniform(0.1, 2))
    elif kind < 0.65:
        emulator.depose_leader()
    elif len(lives) > 15:
        emulator.fleet.drain(rng.choice(lives))
        emulator.fleet.add(rng.randrange(4))


if __name__ == "__main__":
    unittest.main()

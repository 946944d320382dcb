"""Tests of waiting long-running tasks whose steps have other tasks running."""

import dataclasses
import unittest

import msgspec

from snowdock.declarations import Size
from snowdock.jobs.events import SendStart
from snowdock.jobs.model import StepSpec, TaskId
from snowdock.jobs.orders import EndKind
from snowdock.jobs.quarantine import quarantine
from snowdock.jobs.workers import QuarantineCause
from tests.jobs_tools import Bench
from tests.test_quotas import QuotaBench, make_team

TOLERATED_WAIT_SECONDS = 3.0
"""How long a long-running task may wait while workers have room for it."""

WORKERS = ("w1", "w2", "w3")
WORKER_CPU = 4000
LONG_RUNNING = StepSpec(count=2, size=Size(1000, 1000), long_running=True, most_per_worker=1)
OTHER_WORK = StepSpec(count=3, size=Size(500, 500), estimate_ms=60_000, most_per_worker=1)
BULKY = StepSpec(count=3, size=Size(WORKER_CPU, 1000), estimate_ms=1000)


class LongRunningTestCase(unittest.TestCase):
    """Workers that confirm all starts and report their runs, which end only if the test says so."""

    workers = WORKERS

    def setUp(self) -> None:
        self.bench = self.make_bench()
        self.running: dict[TaskId, SendStart] = {}
        self.failing_worker = ""
        self.failed_starts = 0
        for life in self.workers:
            self.bench.add_worker(life, cpu=WORKER_CPU, address=life)

    def make_bench(self) -> Bench:
        return Bench()

    def run_for(self, seconds: float) -> None:
        for _ in range(round(seconds * 10)):
            self.bench.tick(0.1)
            self.accept_starts()
            for life in list(self.bench.renewals):
                self.bench.report(life, running=self.rows(life))

    def accept_starts(self) -> None:
        for start in self.bench.new_starts():
            self.bench.confirm(start)
            self.running[start.order.task] = start
            if start.life == self.failing_worker:
                self.end_run(start.order.task)
                self.failed_starts += 1

    def rank_first(self, cpu: int) -> None:
        """Rank the steps whose tasks have a size above all others."""
        self.bench.cell.policy = dataclasses.replace(
            self.bench.cell.policy, rank=lambda step, now: float(step.spec.size.cpu == cpu)
        )

    def tasks_of(self, job: str) -> list[TaskId]:
        return sorted(task for task in self.running if task.job == job)

    def rows(self, life: str) -> list[tuple[TaskId, int, float]]:
        starts = [each for each in self.running.values() if each.life == life]
        return [(each.order.task, each.order.run, 1.0) for each in starts]

    def end_run(self, task: TaskId, kind: EndKind = EndKind.FAILED) -> TaskId:
        """End a task's run, and return the task."""
        start = self.running.pop(task)
        end = (task, start.order.run, kind)
        self.bench.report(start.life, running=self.rows(start.life), ended=[end])
        return task


class TestTaskOfARunningStep(LongRunningTestCase):
    def test_long_running_task_stands_beside_reserved_room(self) -> None:
        """Reservations for other steps keep one of several tasks waiting for a short time only."""
        self.rank_first(WORKER_CPU)
        self.bench.submit(OTHER_WORK)
        self.run_for(0.3)
        job = self.bench.submit(LONG_RUNNING)
        self.run_for(0.3)
        self.bench.submit(BULKY)
        self.run_for(0.5)
        task = self.end_run(self.tasks_of(job)[-1])
        self.run_for(TOLERATED_WAIT_SECONDS)
        self.assertIn(task, self.running)

    def test_long_running_task_stands_beside_quarantined_workers(self) -> None:
        """Quarantine of all possible workers keeps one of several tasks waiting briefly only."""
        job = self.bench.submit(LONG_RUNNING)
        self.run_for(0.3)
        for worker in self.bench.cell.workers.values():
            quarantine(self.bench.cell, worker, QuarantineCause.FAILURES, 8.0, self.bench.now)
        task = self.end_run(self.tasks_of(job)[-1])
        self.run_for(TOLERATED_WAIT_SECONDS)
        self.assertIn(task, self.running)

    def test_long_running_task_stands_beside_workers_that_refused_others(self) -> None:
        """Workers that refuse starts of other steps again and again are tried after a while."""
        job = self.bench.submit(LONG_RUNNING)
        self.run_for(0.3)
        task = self.tasks_of(job)[-1]
        for number in range(6):
            for worker in self.bench.cell.workers.values():
                quarantine(self.bench.cell, worker, QuarantineCause.REFUSED, 1.0, self.bench.now)
            if not number:
                self.end_run(task)
            self.run_for(TOLERATED_WAIT_SECONDS / 6)
        self.assertIn(task, self.running)

    def test_gang_loses_its_reserved_room_to_new_long_running_tasks(self) -> None:
        """Long-running tasks that have never run leave a gang the room that it has reserved."""
        self.rank_first(1500)
        filler = self.bench.submit(StepSpec(count=1, size=Size(3000, 500), estimate_ms=4000))
        self.run_for(0.3)
        gang = self.bench.submit(
            StepSpec(count=3, size=Size(1500, 100), estimate_ms=1000, gang=True, most_per_worker=1)
        )
        self.run_for(0.3)
        self.bench.submit(StepSpec(count=12, size=Size(1000, 100), long_running=True))
        self.run_for(2.5)
        self.end_run(self.tasks_of(filler)[0], EndKind.DONE)
        self.run_for(6.0)
        self.assertEqual(len(self.tasks_of(gang)), 3)


class TestFailingWorker(LongRunningTestCase):
    workers = ("w1", "w2")

    def test_task_that_never_fits_lifts_the_caution_of_the_others(self) -> None:
        """A worker on which all runs fail is tried seldom, although one task always waits."""
        self.failing_worker = "w2"
        self.bench.submit(msgspec.structs.replace(LONG_RUNNING, count=3))
        self.run_for(20.0)
        self.assertLess(self.failed_starts, 20)


class TestMoves(LongRunningTestCase):
    def test_long_running_task_without_progress_makes_its_worker_slow(self) -> None:
        """The percentage of a long-running task says nothing about its worker's speed."""
        step = msgspec.structs.replace(LONG_RUNNING, estimate_ms=100)
        self.bench.submit(step)
        self.run_for(5.0)
        self.assertEqual({worker.slowness for worker in self.bench.cell.workers.values()}, {1.0})
        self.assertEqual({start.order.run for start in self.running.values()}, {1})


class TestQuota(LongRunningTestCase):
    def make_bench(self) -> Bench:
        return QuotaBench(make_team(6000))

    def test_gang_that_never_gets_its_quota_reserves_it_for_ever(self) -> None:
        """Quota that is reserved for a gang keeps a long-running task waiting briefly only."""
        job = self.bench.submit_as("a", msgspec.structs.replace(LONG_RUNNING, count=3))
        self.run_for(0.3)
        self.rank_first(1501)
        gang = StepSpec(count=3, size=Size(1501, 10), estimate_ms=1000, gang=True)
        self.bench.submit_as("a", gang)
        self.run_for(1.0)
        task = self.end_run(self.tasks_of(job)[0])
        self.run_for(TOLERATED_WAIT_SECONDS)
        self.assertIn(task, self.running)


if __name__ == "__main__":
    unittest.main()

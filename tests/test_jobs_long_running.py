"""Tests of waiting long-running tasks whose steps have other tasks running."""

import dataclasses
import unittest

from snowdock.declarations import Size
from snowdock.jobs.events import SendStart
from snowdock.jobs.model import StepSpec, TaskId
from snowdock.jobs.orders import EndKind
from snowdock.jobs.quarantine import quarantine
from snowdock.jobs.workers import QuarantineCause
from tests.jobs_tools import Bench

TOLERATED_WAIT_SECONDS = 3.0
"""How long a long-running task may wait while workers have room for it."""

WORKERS = ("w1", "w2", "w3")
WORKER_CPU = 4000
LONG_RUNNING = StepSpec(count=2, size=Size(1000, 1000), long_running=True, most_per_worker=1)
OTHER_WORK = StepSpec(count=3, size=Size(500, 500), estimate_ms=60_000, most_per_worker=1)
BULKY = StepSpec(count=3, size=Size(WORKER_CPU, 1000), estimate_ms=1000)


class TestTaskOfARunningStep(unittest.TestCase):
    def setUp(self) -> None:
        self.bench = Bench()
        self.running: dict[TaskId, SendStart] = {}
        for life in WORKERS:
            self.bench.add_worker(life, cpu=WORKER_CPU, address=life)

    def run_for(self, seconds: float) -> None:
        """Let time pass; workers confirm all starts and report their runs."""
        for _ in range(round(seconds * 10)):
            self.bench.tick(0.1)
            for start in self.bench.new_starts():
                self.bench.confirm(start)
                self.running[start.order.task] = start
            for life in list(self.bench.renewals):
                self.bench.report(life, running=self.rows(life))

    def rows(self, life: str) -> list[tuple[TaskId, int, float]]:
        starts = [each for each in self.running.values() if each.life == life]
        return [(each.order.task, each.order.run, 1.0) for each in starts]

    def end_one_task(self, job: str) -> TaskId:
        """End the run of one of a job's tasks, and return the task."""
        task = max(task for task in self.running if task.job == job)
        start = self.running.pop(task)
        end = (task, start.order.run, EndKind.FAILED)
        self.bench.report(start.life, running=self.rows(start.life), ended=[end])
        return task

    def test_long_running_task_stands_beside_reserved_room(self) -> None:
        """Reservations for other steps keep one of several tasks waiting for a short time only."""
        policy = self.bench.cell.policy
        self.bench.cell.policy = dataclasses.replace(
            policy, rank=lambda step, now: float(step.spec.size.cpu == WORKER_CPU)
        )
        self.bench.submit(OTHER_WORK)
        self.run_for(0.3)
        job = self.bench.submit(LONG_RUNNING)
        self.run_for(0.3)
        self.bench.submit(BULKY)
        self.run_for(0.5)
        task = self.end_one_task(job)
        self.run_for(TOLERATED_WAIT_SECONDS)
        self.assertIn(task, self.running)

    def test_long_running_task_stands_beside_quarantined_workers(self) -> None:
        """Quarantine of all possible workers keeps one of several tasks waiting briefly only."""
        job = self.bench.submit(LONG_RUNNING)
        self.run_for(0.3)
        for worker in self.bench.cell.workers.values():
            quarantine(self.bench.cell, worker, QuarantineCause.FAILURES, 8.0, self.bench.now)
        task = self.end_one_task(job)
        self.run_for(TOLERATED_WAIT_SECONDS)
        self.assertIn(task, self.running)


if __name__ == "__main__":
    unittest.main()

"""Tests that what runs or waits elsewhere keeps a long-running task waiting for a bounded time."""

import dataclasses
import unittest

import msgspec

from snowdock.declarations import Size
from snowdock.jobs.events import SendStart
from snowdock.jobs.model import StepSpec, TaskId
from snowdock.jobs.orders import EndKind
from tests.jobs_tools import Bench

TOLERATED_WAIT_SECONDS = 3.0
"""How long a long-running task may wait while workers have room for it."""

LONG_RUNNING = StepSpec(count=1, size=Size(1000, 1000), long_running=True)


class LongRunningTestCase(unittest.TestCase):
    """Workers that confirm all starts and report their runs."""

    def setUp(self) -> None:
        self.bench = Bench()
        self.running: dict[TaskId, SendStart] = {}

    def run_for(self, seconds: float, interval: float = 0.1) -> None:
        for _ in range(round(seconds / interval)):
            self.bench.tick(interval)
            self.accept_starts()
            for life in list(self.bench.renewals):
                self.bench.report(life, running=self.rows(life))

    def accept_starts(self) -> None:
        for start in self.bench.new_starts():
            self.bench.confirm(start)
            self.running[start.order.task] = start

    def rows(self, life: str) -> list[tuple[TaskId, int, float]]:
        starts = [each for each in self.running.values() if each.life == life]
        return [(each.order.task, each.order.run, 1.0) for each in starts]


class TestTaskBesideIsolatedRun(LongRunningTestCase):
    def test_long_running_task_stands_beside_isolated_run(self) -> None:
        """A run that needs a worker of its own keeps others away for a short time only."""
        for life in ("w1", "w2"):
            self.bench.add_worker(life, address=life)
        suspect = self.bench.submit(LONG_RUNNING)
        self.run_for(0.3)
        (task,) = self.running
        lost = frozenset((101, 102))
        self.bench.cell.find_task(task).lost_runs = lost
        start = self.running.pop(task)
        self.bench.report(start.life, ended=[(task, start.order.run, EndKind.STOPPED)])
        self.run_for(0.3)
        self.assertEqual({each.job for each in self.running}, {suspect})
        other_life = ({"w1", "w2"} - {self.running[task].life}).pop()
        self.bench.drain(other_life)
        other = self.bench.submit(LONG_RUNNING)
        self.run_for(2 * TOLERATED_WAIT_SECONDS)
        self.assertIn(other, {each.job for each in self.running})


class TestTaskBesideFailingSiblings(LongRunningTestCase):
    def test_long_running_task_stands_behind_a_failing_sibling(self) -> None:
        """A task whose runs fail at once doesn't take the next slot before one that waits."""
        self.bench.add_worker("w1", address="w1")
        self.bench.submit(msgspec.structs.replace(LONG_RUNNING, count=2, most_per_worker=1))
        self.run_for(0.3)
        (task,) = self.running
        start = self.running.pop(task)
        self.bench.report(start.life, ended=[(task, start.order.run, EndKind.FAILED)])
        self.run_for(0.3)
        (second,) = self.running
        self.assertNotEqual(second, task)


class TestTaskBehindOthersInTheQueue(LongRunningTestCase):
    def test_long_running_task_is_never_searched(self) -> None:
        """A few steps that can't be placed don't use up each pass before a lower-ranked one."""
        policy = self.bench.cell.policy
        self.bench.cell.policy = dataclasses.replace(
            policy, rank=lambda step, now: -float(step.spec.long_running)
        )
        for number in range(200):
            self.bench.add_worker(f"w{number}", address=f"w{number}", cpu=1000)
        for _ in range(8):
            self.bench.submit(StepSpec(count=1, size=Size(1000, 8999), label="x"))
        job = self.bench.submit(LONG_RUNNING)
        self.run_for(TOLERATED_WAIT_SECONDS)
        self.assertIn(job, {each.job for each in self.running})


if __name__ == "__main__":
    unittest.main()

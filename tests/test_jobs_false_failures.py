"""Tests that a job is not shown as failed for runs that were lost without a crash."""

import unittest

from snowdock.jobs.events import SendStart, WorkerDelisted
from snowdock.jobs.job_state import Task
from tests.jobs_tools import SMALL, Bench, LeaderSequence, disconnect_worker

ROUNDS = 8
"""More losses than a task that crashes its workers is allowed."""

OLD_RUN_SECONDS = 3.0
"""Age from which a run cannot be the reason for its worker's planned end."""


class LostRunsTestCase(unittest.TestCase):
    def setUp(self) -> None:
        self.leaders = LeaderSequence(SMALL)

    @property
    def bench(self) -> Bench:
        return self.leaders.bench

    @property
    def task(self) -> Task:
        (task,) = self.bench.cell.jobs[self.leaders.job].all_tasks()
        return task

    def next_start(self) -> SendStart:
        """Return the task's next start, confirmed by its worker."""
        for _ in range(40):
            found = self.leaders.next_starts()
            if found or self.leaders.status.is_final:
                break
        self.assertEqual(len(found), 1, self.leaders.status)
        self.bench.confirm(found[0])
        return found[0]

    def work(self, start: SendStart, seconds: float = OLD_RUN_SECONDS) -> None:
        """Advance time while a start's worker reports its run."""
        for _ in range(round(seconds * 2)):
            self.bench.tick(0.5)
            self.bench.report(start.life, running=[(self.task.id, start.order.run, 1.0)])

    def delist(self, life: str) -> None:
        self.bench.feed(WorkerDelisted(life, may_return=False))

    def assert_may_run(self) -> None:
        self.assertFalse(self.leaders.status.is_final)


class TestPlannedEnds(LostRunsTestCase):
    """Workers that leave, having said so or not."""

    def test_worker_leaves_without_draining(self) -> None:
        """A run is not charged if its worker's entry went while the worker still answered."""
        for _ in range(ROUNDS):
            start = self.next_start()
            self.work(start)
            self.delist(start.life)
            self.work(start)
            disconnect_worker(self.bench, start.life)
        self.assert_may_run()
        self.assertEqual(len(self.task.lost_runs), 0)

    def test_next_life_after_leaving_without_draining(self) -> None:
        """Another life at the address of a worker that had left is no sign of a crash."""
        for _ in range(ROUNDS):
            start = self.next_start()
            self.work(start)
            self.delist(start.life)
            self.work(start)
            self.bench.end_life(start.life)
        self.assert_may_run()
        self.assertEqual(len(self.task.lost_runs), 0)


if __name__ == "__main__":
    unittest.main()

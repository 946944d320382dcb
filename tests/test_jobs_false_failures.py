"""Tests that a job is not shown as failed for runs that were lost without a crash."""

import unittest

from snowdock.jobs.events import SendStart, WorkerDelisted, WorkerListed
from snowdock.jobs.job_state import Task
from snowdock.jobs.orders import EndKind
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


class TestPartitionedWorkers(LostRunsTestCase):
    """Workers that are cut off until their leases expire, and then answer in the same life."""

    def test_worker_answers_the_next_leader(self) -> None:
        """A loss is revoked by a worker's answer also if the leader has changed in between."""
        for _ in range(ROUNDS):
            start = self.next_start()
            disconnect_worker(self.bench, start.life)
            self.leaders.replace_leader()
            self.bench.add_worker(start.life)
            self.bench.tick(0.2)
        self.assert_may_run()
        self.assertEqual(len(self.task.lost_runs), 0)

    def test_worker_is_listed_again(self) -> None:
        """A loss is revoked by a worker that was delisted and forgotten in between."""
        for _ in range(ROUNDS):
            start = self.next_start()
            entry = self.bench.cell.workers[start.life].entry
            disconnect_worker(self.bench, start.life)
            self.delist(start.life)
            disconnect_worker(self.bench, start.life, 1.0)
            self.assertNotIn(start.life, self.bench.cell.workers)
            self.bench.feed(WorkerListed(entry))
            self.bench.report(start.life)
        self.assert_may_run()
        self.assertEqual(len(self.task.lost_runs), 0)

    def test_workers_that_never_return(self) -> None:
        """Losses are no proof of crashes if no worker is heard of again."""
        for _ in range(ROUNDS):
            start = self.next_start()
            self.delist_after_silence(start)
        self.assert_may_run()

    def delist_after_silence(self, start: SendStart) -> None:
        disconnect_worker(self.bench, start.life)
        self.delist(start.life)
        self.bench.tick(0.5)

    def test_workers_that_no_leader_knows(self) -> None:
        """Runs that are lost with each change of leader do not fail their job."""
        for _ in range(ROUNDS):
            self.next_start()
            self.leaders.replace_leader()
            self.bench.tick(12.0)
        self.assert_may_run()


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

    def test_draining_is_seen_after_the_loss(self) -> None:
        """A loss is not taken for a crash if its worker turns out to drain."""
        for _ in range(ROUNDS):
            start = self.next_start()
            self.work(start)
            disconnect_worker(self.bench, start.life)
            self.bench.drain(start.life)
            self.bench.end_life(start.life)
        self.assert_may_run()
        self.assertEqual(len(self.task.lost_runs), 0)


class TestEnds(LostRunsTestCase):
    def test_ends_after_three_losses(self) -> None:
        """Runs that end at once without having failed do not fail their job, also after losses."""
        kinds = (
            EndKind.STOPPED,
            EndKind.LEASE_EXPIRED,
            EndKind.GANG_BROKEN,
            EndKind.GANG_TIMEOUT,
        )
        for kind in kinds:
            with self.subTest(kind=kind):
                self.leaders = LeaderSequence(SMALL)
                for _ in range(3):
                    TestPartitionedWorkers.delist_after_silence(self, self.next_start())
                for _ in range(ROUNDS):
                    start = self.next_start()
                    end = (self.task.id, start.order.run, kind)
                    self.bench.report(start.life, ended=[end])
                self.assert_may_run()


if __name__ == "__main__":
    unittest.main()

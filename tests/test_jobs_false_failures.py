"""Tests that a job is not shown as failed for runs that were lost without a crash."""

import dataclasses
import unittest

import msgspec

from snowdock.jobs.events import (
    ConfigurationChanged,
    Persist,
    Persisted,
    SendStart,
    WorkerDelisted,
    WorkerListed,
)
from snowdock.jobs.evidence import Evidence
from snowdock.jobs.job_state import Task
from snowdock.jobs.model import Configuration, JobStatus, Queue
from snowdock.jobs.orders import EndKind
from snowdock.jobs.progress import decode_progress
from snowdock.jobs.takeover import RecordedJobs
from tests.jobs_tools import (
    FAILED,
    SMALL,
    Bench,
    LeaderSequence,
    charge_task,
    disconnect_worker,
    make_accepted_job,
)

ROUNDS = 8
"""More losses than a task that crashes its workers is allowed."""

MAX_HOLD_AFTER_CHANGE_SECONDS = 6.5
"""Time in which a task with many lost runs must start under a new leader."""

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

    def test_hold_begins_anew_with_each_leader(self) -> None:
        """Losses that an earlier leader recorded hold up a task for a few seconds only."""
        for _ in range(ROUNDS):
            start = self.next_start()
            self.delist_after_silence(start)
        self.leaders.replace_leader()
        changed_at = self.bench.now
        self.next_start()
        self.assertLess(self.bench.now - changed_at, MAX_HOLD_AFTER_CHANGE_SECONDS)


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

    def test_draining_is_forgotten_with_the_worker(self) -> None:
        """Draining that a leader has read counts when the worker's next life is listed later."""
        for _ in range(ROUNDS):
            start = self.next_start()
            self.work(start)
            disconnect_worker(self.bench, start.life)
            self.bench.drain(start.life)
            self.delist(start.life)
            disconnect_worker(self.bench, start.life, 1.0)
            self.assertNotIn(start.life, self.bench.cell.workers)
            self.leaders.replace_leader()
            self.bench.add_worker(f"{start.life}@1")
        self.assert_may_run()
        self.assertFalse(any(charge.is_crash for charge in self.task.charges))


class TestFinishedTasks(unittest.TestCase):
    def test_crashes_that_are_seen_after_the_task_is_done(self) -> None:
        """Late evidence about a task that is done does not fail its job."""
        bench = Bench()
        job = bench.submit(SMALL, msgspec.structs.replace(SMALL, after=(0,)))
        for life in ("w1", "w2", "w3"):
            bench.add_worker(life)
            bench.tick(1.0)
            (start,) = bench.new_starts()
            bench.confirm(start)
            disconnect_worker(bench, start.life)
        bench.add_worker("w4")
        bench.tick(1.0)
        (start,) = bench.new_starts()
        bench.confirm(start)
        bench.report("w4", ended=[(start.order.task, start.order.run, EndKind.DONE)])
        for life in ("w1", "w2", "w3"):
            bench.add_worker(f"{life}@1")
        self.assertFalse(bench.cell.jobs[job].status.is_final)


class TestLateEvidence(LostRunsTestCase):
    """Evidence about a lost run that only a later leader sees."""

    def lose_run(self) -> SendStart:
        """Lose a run by the expiry of its lease, and change the leader."""
        start = self.next_start()
        self.work(start)
        disconnect_worker(self.bench, start.life)
        self.leaders.replace_leader()
        self.assertEqual(self.evidence(), Evidence.LOSS)
        return start

    def evidence(self) -> Evidence:
        (charge,) = self.task.charges
        return charge.evidence

    def test_next_life_under_the_same_id(self) -> None:
        """An earlier leader's loss is a crash once the next life of the worker is listed."""
        start = self.lose_run()
        self.bench.add_worker(f"{start.life}@1")
        self.assertIs(self.evidence(), Evidence.CRASH)

    def test_another_worker_at_the_address(self) -> None:
        """It is only a possible crash if another worker is listed at the address."""
        start = self.lose_run()
        self.bench.add_worker("other", address=f"{start.life}:1")
        self.assertIs(self.evidence(), Evidence.POSSIBLE_CRASH)

    def test_evidence_survives_changes_of_leader(self) -> None:
        """What is known about a run is the same for the next leader."""
        start = self.lose_run()
        self.bench.add_worker(f"{start.life}@1", is_synced=False)
        before = [dataclasses.replace(each, charged_at=0.0) for each in self.task.charges]
        self.leaders.replace_leader()
        after = [dataclasses.replace(each, charged_at=0.0) for each in self.task.charges]
        self.assertEqual(after, before)

    def test_entry_of_another_writer(self) -> None:
        """An entry with the address of a worker that turns out to be up is no sign of a crash."""
        start = self.lose_run()
        self.bench.add_worker("other", address=f"{start.life}:1", is_synced=False)
        self.bench.add_worker(start.life)
        self.assertEqual(self.task.charges, ())

    def test_run_of_an_earlier_leader(self) -> None:
        """A run is a possible crash if only a worker at its worker's address is listed."""
        start = self.next_start()
        self.leaders.replace_leader()
        self.bench.add_worker("other", address=f"{start.life}:1", is_synced=False)
        self.bench.tick(0.2)
        self.assertIs(self.evidence(), Evidence.POSSIBLE_CRASH)

    def test_start_after_the_worker_fell_silent(self) -> None:
        """A start that was ordered after its worker had fallen silent is no possible crash."""
        self.leaders = LeaderSequence(SMALL, workers=0)
        self.bench.is_store_paused = True
        self.leaders.add_worker()
        self.bench.tick(0.1)
        self.bench.leave_unanswered(self.task.life)
        self.bench.tick(0.2)
        (batch,) = [each for each in self.bench.all_effects if isinstance(each, Persist)][-1:]
        self.bench.feed(Persisted(batch.number))
        self.assertEqual(len(self.bench.starts()), 1)
        self.bench.end_life(self.task.life)
        self.assertIs(self.evidence(), Evidence.UNCERTAIN_LOSS)


class TestHold(LostRunsTestCase):
    """Losses that may all be crashes delay the next start for a bounded time."""

    def setUp(self) -> None:
        super().setUp()
        start = self.next_start()
        charge_task(self.task, -1, -2, -3, -4)
        disconnect_worker(self.bench, start.life)
        self.life = start.life
        self.leaders.add_worker()
        self.bench.new_starts()

    def test_start_is_delayed(self) -> None:
        """A fifth possible crash delays the next start, and does not fail the job."""
        self.bench.tick(10.0)
        self.assertEqual(self.bench.new_starts(), [])
        self.assert_may_run()
        (line,) = [each for each in self.bench.decisions if each.decision == "task_on_hold"]
        self.assertEqual(dict(line.fields)["losses"], 1)

    def test_delay_is_bounded(self) -> None:
        """Without a sign of the worker, the task starts again."""
        self.bench.tick(16.0)
        self.assertEqual(len(self.bench.new_starts()), 1)

    def test_worker_answers(self) -> None:
        """Once the worker answers, the task starts again at once."""
        self.bench.report(self.life)
        self.bench.tick(2.0)
        self.assertEqual(len(self.bench.new_starts()), 1)

    def test_worker_has_crashed(self) -> None:
        """Once the worker is known to have crashed, the job is shown as failed."""
        self.bench.end_life(self.life)
        self.assertIs(self.leaders.status, JobStatus.FAILED)
        self.assertEqual(self.bench.cell.charged_lives, {})


class TestAttempts(LostRunsTestCase):
    """What uses up the attempts that a queue permits: three here."""

    def fail_runs(self, count: int) -> None:
        for _ in range(count):
            start = self.next_start()
            self.bench.report(start.life, ended=[(self.task.id, start.order.run, FAILED)])

    def configure(self, *queues: Queue) -> None:
        version = self.bench.cell.configuration.version + 1
        configuration = Configuration(version, queues, self.bench.cell.configuration.services)
        self.bench.feed(ConfigurationChanged(configuration))

    def test_attempts_are_raised(self) -> None:
        """The attempts that the queue permits when a run fails count."""
        self.fail_runs(2)
        (queue,) = self.bench.cell.configuration.queues
        self.configure(msgspec.structs.replace(queue, max_attempts=4))
        self.fail_runs(1)
        self.assert_may_run()
        self.fail_runs(1)
        self.assertIs(self.leaders.status, JobStatus.FAILED)

    def test_queue_is_removed(self) -> None:
        """The attempts at the job's acceptance count once its queue is removed."""
        self.configure()
        self.fail_runs(2)
        self.assert_may_run()
        self.fail_runs(1)
        self.assertIs(self.leaders.status, JobStatus.FAILED)

    def test_end_of_an_earlier_job(self) -> None:
        """A failed run of an earlier job under the same identifier is no attempt."""
        start = self.next_start()
        self.bench.add_worker("v")
        for run in (start.order.run, start.order.run + 1):
            self.bench.report("v", ended=[(self.task.id, run, FAILED)])
        self.assertEqual(self.task.failures, 0)

    def test_failure_is_listed_again_to_the_next_leader(self) -> None:
        """A failed run counts once, though the next leader hears of it again."""
        start = self.next_start()
        end = (self.task.id, start.order.run, FAILED)
        self.bench.report(start.life, ended=[end])
        for _ in range(3):
            self.leaders.replace_leader()
            self.leaders.list_worker(start.life, draining=True)
            self.bench.report(start.life, ended=[end])
        self.assertEqual(self.task.failures, 1)
        self.assert_may_run()


class TestRecordsOfEarlierVersions(LostRunsTestCase):
    def test_losses_of_unknown_workers(self) -> None:
        """Losses that an earlier version charged do not fail the job, and crashes still count."""
        for lost, crashed, expected in (
            ([1, 2, 3, 4, 5, 6], [], Evidence.LOSS),
            ([1, 2], [1, 2], Evidence.CRASH),
        ):
            with self.subTest(lost=lost):
                record = [0, 0, 0, 6, "", False, [], "", lost, crashed]
                progress = decode_progress(msgspec.msgpack.encode([1, [record], ""]))
                bench = Bench(2)
                accepted = {"a" * 16: make_accepted_job(SMALL)}
                bench.restore(RecordedJobs(accepted, set(), {"a" * 16: progress}))
                bench.add_worker("w")
                bench.tick(40.0)
                (task,) = bench.cell.jobs["a" * 16].all_tasks()
                self.assertEqual({each.evidence for each in task.charges}, {expected})
                self.assertEqual(task.run, 7)


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

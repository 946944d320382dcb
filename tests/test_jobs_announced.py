"""Tests of jobs that are placed while their submissions are being recorded."""

import unittest

import msgspec

from snowdock.jobs.events import (
    AdviceAnswered,
    AskAdvice,
    JobAccepted,
    JobAnnounced,
    JobCancelled,
    JobWithdrawn,
    Persist,
    Persisted,
    PublishStatus,
)
from snowdock.jobs.model import AdviceTerms, JobStatus
from snowdock.jobs.orders import AdviceResult
from tests.jobs_tools import DONE, SMALL, Bench, filter_by_type, make_accepted_job

JOB = "00000000000000aa"
WHOLE_WORKER = msgspec.structs.replace(SMALL, count=4)


class TestAnnouncedJob(unittest.TestCase):
    def setUp(self) -> None:
        self.bench = Bench()
        self.bench.add_worker()
        self.bench.all_effects.clear()

    def announce(self, *steps) -> list:
        return self.bench.feed(JobAnnounced(JOB, make_accepted_job(*steps)))

    def accept(self, *steps, **fields) -> list:
        accepted = msgspec.structs.replace(make_accepted_job(*steps), **fields)
        return self.bench.feed(JobAccepted(JOB, accepted))

    def count_starts(self) -> int:
        return len(self.bench.new_starts())

    def test_job_starts_only_once_both_records_are_stored(self) -> None:
        """The placement is recorded meanwhile; the start follows the submission's record."""
        effects = self.announce()
        self.assertEqual(len(filter_by_type(effects, Persist)), 1)
        self.assertEqual(filter_by_type(effects, PublishStatus), [])
        self.bench.tick(1.0)
        self.assertEqual(self.count_starts(), 0)
        effects = self.accept()
        self.assertEqual(len(self.bench.starts(effects)), 1)
        self.assertEqual(filter_by_type(effects, PublishStatus)[0].status, JobStatus.PENDING)

    def test_start_waits_for_the_placement_too(self) -> None:
        """A submission that is recorded first does not start a placement without a record."""
        self.bench.is_store_paused = True
        self.announce()
        self.accept()
        self.assertEqual(self.count_starts(), 0)
        effects = self.bench.feed(Persisted(self.bench.cell.batch_number))
        self.assertEqual(len(self.bench.starts(effects)), 1)

    def test_withdrawn_job_frees_its_room_and_never_starts(self) -> None:
        """A refused submission leaves nothing behind, also with its placement on its way."""
        self.bench.is_store_paused = True
        self.announce(WHOLE_WORKER)
        self.bench.feed(JobWithdrawn(JOB))
        self.bench.feed(Persisted(self.bench.cell.batch_number))
        self.bench.is_store_paused = False
        self.bench.submit(WHOLE_WORKER)
        self.bench.tick(0.5)
        starts = self.bench.new_starts()
        self.assertEqual(len(starts), 4)
        self.assertNotIn(JOB, {start.order.task.job for start in starts})
        self.assertNotIn(JOB, self.bench.cell.jobs)

    def test_job_without_a_record_is_withdrawn_in_time(self) -> None:
        """An append of unknown outcome holds room for some seconds only."""
        self.announce()
        self.bench.tick(6.0)
        self.assertNotIn(JOB, self.bench.cell.jobs)
        self.accept()
        self.assertEqual(self.count_starts(), 1)

    def test_record_of_another_job_replaces_the_announced_one(self) -> None:
        """What is on record runs, not what was announced under the same identifier."""
        for change in ({"team": "other"}, {"spec": make_accepted_job(WHOLE_WORKER).spec}):
            with self.subTest(change=change):
                self.setUp()
                self.announce()
                self.accept(**change)
                self.bench.tick(0.2)
                job = self.bench.cell.jobs[JOB]
                self.assertTrue(job.is_recorded)
                self.assertEqual(
                    (job.team, job.accepted.spec),
                    (change.get("team", ""), change.get("spec", make_accepted_job().spec)),
                )
                self.assertEqual(self.count_starts(), len(list(job.all_tasks())))

    def test_late_announcement_of_a_known_job_changes_nothing(self) -> None:
        """A repeated submission neither restarts a job nor withdraws it."""
        self.accept()
        (start,) = self.bench.new_starts()
        self.bench.confirm(start)
        self.announce()
        self.bench.feed(JobWithdrawn(JOB))
        self.bench.report("w", ended=[(start.order.task, 1, DONE)])
        self.assertEqual(self.bench.cell.jobs[JOB].status, JobStatus.COMPLETED)
        self.announce()
        self.bench.tick(0.5)
        self.assertEqual(self.count_starts(), 0)

    def test_cancelled_before_its_record(self) -> None:
        """A cancellation that is read before the job's record still cancels it."""
        self.announce()
        self.bench.feed(JobCancelled(JOB))
        self.accept()
        self.bench.tick(0.5)
        self.assertEqual(self.count_starts(), 0)
        self.assertEqual(self.bench.cell.jobs[JOB].status, JobStatus.CANCELLED)

    def test_expired_ticket_is_renewed_after_the_record(self) -> None:
        """A start that was held for longer than its ticket is valid is placed again."""
        self.bench = Bench(advice=AdviceTerms(10.0, 1.0, 500.0))
        self.bench.add_worker()
        (question,) = filter_by_type(self.announce(), AskAdvice)
        advice = AdviceAnswered(AdviceResult(question.request, {"w": "ticket"}))
        self.bench.feed(advice)
        self.bench.tick(1.0)
        self.accept()
        self.assertEqual(self.count_starts(), 0)
        self.bench.feed(advice)
        self.bench.tick(0.1)
        self.assertEqual(self.count_starts(), 1)


if __name__ == "__main__":
    unittest.main()

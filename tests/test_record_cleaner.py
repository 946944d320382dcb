"""Tests of deleting obsolete job records."""

import unittest
from unittest import mock

from snowdock.entry import record_cleaner
from snowdock.entry.progress_partitions import ProgressPartitions
from snowdock.entry.record_cleaner import RecordCleaner
from snowdock.entry.topics import JOBS_TOPIC, PROGRESS_TOPIC, job_partition
from snowdock.errors import StoreRefused
from snowdock.jobs.events import (
    DropJobs,
    DropProgress,
    ForgetAccepted,
    Persist,
    ProgressRecord,
)
from snowdock.jobs.progress import block_key, cancel_key, record_name
from snowdock.platform.store import AppendLimits, KeyedRecord, StoreClient
from tests.standins.entry_cluster import wait_until
from tests.standins.platform import StoreStandin

PARTITIONS = 3
ENDED, DROPPED, OPEN = (f"{number:08x}{'0' * 8}" for number in range(3))


class TestRecordCleaner(unittest.TestCase):
    def setUp(self) -> None:
        self.enterContext(mock.patch.object(record_cleaner, "_BATCH_SECONDS", 0.05))
        self.standin = StoreStandin()
        self.addCleanup(self.standin.close)
        self.store = StoreClient(self.standin.address, 4)
        for job in (ENDED, DROPPED, OPEN):
            keys = (job, cancel_key(job))
            records = [KeyedRecord(key, b"x") for key in keys]
            self.store.append(JOBS_TOPIC, job_partition(job, PARTITIONS), records, 5.0)
            self.store.append(PROGRESS_TOPIC, 0, [KeyedRecord(job, b"x")], 5.0)
        self.partitions = ProgressPartitions(PARTITIONS, {DROPPED: (2, 1, 0)})
        self.cleaner = RecordCleaner(self.store, PARTITIONS, self.partitions)
        self.cleaner.start()
        self.addCleanup(self.cleaner.stop)

    def keys(self, topic: str) -> set[str]:
        pages = [self.store.newest(topic, partition, 5.0) for partition in range(PARTITIONS)]
        return {record.key for page in pages for record in page.records}

    def test_ended_and_dropped_jobs(self) -> None:
        """An ended job keeps its progress, a dropped one keeps nothing, an open one keeps all."""
        self.cleaner.clean(ForgetAccepted((ENDED,)))
        self.cleaner.clean(DropJobs((DROPPED,)))
        self.assertTrue(wait_until(lambda: self.keys(JOBS_TOPIC) == {OPEN, cancel_key(OPEN)}))
        self.assertTrue(wait_until(lambda: self.keys(PROGRESS_TOPIC) == {ENDED, OPEN}))

    def test_store_that_refuses(self) -> None:
        """Records whose deletion failed stay, and later records are deleted."""
        self.standin.refuse = True
        calls = len(self.standin.calls)
        self.cleaner.clean(ForgetAccepted((ENDED,)))
        self.assertTrue(wait_until(lambda: len(self.standin.calls) > calls))
        self.standin.refuse = False
        self.cleaner.clean(ForgetAccepted((DROPPED,)))
        self.assertTrue(wait_until(lambda: DROPPED not in self.keys(JOBS_TOPIC)))
        self.assertIn(ENDED, self.keys(JOBS_TOPIC))

    def test_progress_is_kept_with_a_submission_that_is_not_deleted(self) -> None:
        """If a dropped job's submission may remain, so does its progress."""
        append = self.store.append

        def refuse_jobs(topic, *arguments, **options) -> int:
            if topic == JOBS_TOPIC:
                raise StoreRefused("refused")
            return append(topic, *arguments, **options)

        with mock.patch.object(self.store, "append", refuse_jobs):
            self.cleaner.clean(DropJobs((DROPPED,)))
            self.assertTrue(wait_until(self.cleaner._pending.empty))
            self.assertFalse(wait_until(lambda: DROPPED not in self.keys(PROGRESS_TOPIC), 0.5))
        self.assertIn(DROPPED, self.keys(JOBS_TOPIC))

    def test_dropped_job_of_a_team(self) -> None:
        """A dropped job's submission is deleted by its team's name for it."""
        name = record_name(DROPPED, "ana")
        self.store.append(
            JOBS_TOPIC, job_partition(DROPPED, PARTITIONS), [KeyedRecord(name, b"x")], 5.0
        )
        self.cleaner.clean(DropJobs((DROPPED,), (name,)))
        self.assertTrue(wait_until(lambda: DROPPED not in self.keys(PROGRESS_TOPIC)))
        self.assertNotIn(name, self.keys(JOBS_TOPIC))

    def put_older_progress(self) -> None:
        for part in (1, 2):
            self.store.append(PROGRESS_TOPIC, part, [KeyedRecord(DROPPED, b"old")], 5.0)

    def test_more_deletions_than_one_append_holds(self) -> None:
        """Deletions that filled more than one append were refused as a whole, each time again."""
        jobs = [f"{number:016x}" for number in range(1, 301)]
        records = [KeyedRecord(job, b"x") for job in jobs]
        self.store.append(PROGRESS_TOPIC, 0, records, 5.0)
        self.standin.call_bytes = 1000
        self.store.set_limits(AppendLimits(call_bytes=1000))
        self.cleaner.clean(DropJobs(tuple(jobs)))
        self.assertTrue(wait_until(lambda: self.keys(PROGRESS_TOPIC) == {ENDED, DROPPED, OPEN}))
        self.assertEqual(self.standin.rejected, [])

    def test_blocks_of_a_job(self) -> None:
        """Blocks are deleted; if one may remain, so does its job's record."""
        block = block_key(DROPPED, 0, 0, 0)
        self.store.append(PROGRESS_TOPIC, 0, [KeyedRecord(block, b"x")], 5.0)
        append = self.partitions.next_append(Persist(1, (ProgressRecord(block, b"x"),)))
        for _ in range(2):
            self.cleaner.clean(DropProgress((block,)))
            self.cleaner.clean(DropJobs((DROPPED,)))
            self.assertTrue(wait_until(lambda: DROPPED not in self.keys(JOBS_TOPIC)))
            self.assertFalse(wait_until(lambda: DROPPED not in self.keys(PROGRESS_TOPIC), 0.3))
        self.partitions.settle(append)
        self.cleaner.clean(DropProgress((block,)))
        self.cleaner.clean(DropJobs((DROPPED,)))
        self.assertTrue(wait_until(lambda: self.keys(PROGRESS_TOPIC) == {ENDED, OPEN}))

    def test_progress_in_several_partitions(self) -> None:
        """A dropped job's progress is deleted from all of its partitions."""
        self.put_older_progress()
        self.cleaner.clean(DropJobs((DROPPED,)))
        self.assertTrue(wait_until(lambda: DROPPED not in self.keys(PROGRESS_TOPIC)))

    def test_newest_progress_stays_with_an_older_one(self) -> None:
        """If an older record may remain, the newest one does: the older one is not the job's."""
        self.put_older_progress()
        self.standin.part_faults[PROGRESS_TOPIC, 1] = "refuse"
        self.cleaner.clean(DropJobs((DROPPED,)))
        parts = [self.standin.part(PROGRESS_TOPIC, number) for number in range(PARTITIONS)]
        self.assertTrue(wait_until(lambda: DROPPED.encode() not in parts[2].newest))
        self.assertFalse(wait_until(lambda: DROPPED.encode() not in parts[0].newest, 0.3))

    def test_progress_of_an_open_append_stays(self) -> None:
        """An append without an answer could bring the record back, so nothing is deleted."""
        append = self.partitions.next_append(Persist(1, (ProgressRecord(DROPPED, b"x"),)))
        self.cleaner.clean(DropJobs((DROPPED,)))
        self.assertTrue(wait_until(lambda: DROPPED not in self.keys(JOBS_TOPIC)))
        self.assertFalse(wait_until(lambda: DROPPED not in self.keys(PROGRESS_TOPIC), 0.3))
        self.partitions.settle(append)
        self.cleaner.clean(DropJobs((DROPPED,)))
        self.assertTrue(wait_until(lambda: DROPPED not in self.keys(PROGRESS_TOPIC)))


if __name__ == "__main__":
    unittest.main()

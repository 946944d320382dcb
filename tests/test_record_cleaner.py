"""Tests of deleting obsolete job records."""

import unittest
from unittest import mock

from snowdock.entry import record_cleaner
from snowdock.entry.record_cleaner import RecordCleaner
from snowdock.entry.topics import JOBS_TOPIC, PROGRESS_TOPIC, job_partition
from snowdock.errors import StoreRefused
from snowdock.jobs.events import DropJobs, ForgetAccepted
from snowdock.jobs.progress import cancel_key, record_name
from snowdock.platform.store import KeyedRecord, StoreClient
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
        self.cleaner = RecordCleaner(self.store, PARTITIONS)
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


if __name__ == "__main__":
    unittest.main()

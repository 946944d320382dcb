"""Tests of a leader's answers about unknown jobs."""

import types
import unittest

from snowdock.clocks import steady_seconds
from snowdock.entry.job_status_table import JobStatusTable
from snowdock.entry.leader_handle import LeaderHandle
from snowdock.entry.leader_queries import LeaderQueries
from snowdock.jobs.events import PublishStatus
from snowdock.jobs.model import JobStatus

JOB = "0123456789abcdef"


class TestUnknownJobs(unittest.TestCase):
    def setUp(self) -> None:
        self.statuses = JobStatusTable()
        store = types.SimpleNamespace()
        context = types.SimpleNamespace(store=store, parts=3)
        self.handle = LeaderHandle(context, None, self.statuses)
        self.set_read_at(steady_seconds())
        election = types.SimpleNamespace(renewed_s=0.1)
        leadership = types.SimpleNamespace(handle=self.handle)
        self.queries = LeaderQueries("node", election, leadership, None)

    def set_read_at(self, at: float) -> None:
        for tail in self.handle._job_tails:
            tail._read_at = at

    def test_unknown_job_is_certain_when_leader_is_current(self) -> None:
        """An unknown job is reported as certain if the leader's reads are recent."""
        self.assertEqual(self.queries.local_status(JOB), (None, True))

    def test_unknown_job_is_uncertain_when_leader_lags(self) -> None:
        """An unknown job is uncertain if events with new jobs may still be queued."""
        self.statuses.mark_processed_until(steady_seconds() - 2.0)
        self.assertEqual(self.queries.local_status(JOB), (None, False))

    def test_unknown_job_is_uncertain_after_old_reads(self) -> None:
        """An unknown job is uncertain if new jobs may not have been read yet."""
        self.statuses.mark_processed_until(steady_seconds())
        self.set_read_at(steady_seconds() - 2.0)
        self.assertEqual(self.queries.local_status(JOB), (None, False))

    def test_known_job_has_status_when_leader_lags(self) -> None:
        """The status of a known job is reported even if the leader lags."""
        self.statuses.publish(PublishStatus(JOB, "q", JobStatus.RUNNING))
        self.statuses.mark_processed_until(steady_seconds() - 60.0)
        self.assertEqual(self.queries.local_status(JOB), (JobStatus.RUNNING, True))


if __name__ == "__main__":
    unittest.main()

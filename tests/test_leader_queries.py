"""Tests of a leader's answers about unknown jobs."""

import types
import unittest

from snowdock.clocks import steady_seconds
from snowdock.entry.leader_handle import LeaderHandle
from snowdock.entry.leader_queries import LeaderQueries
from snowdock.entry.statuses import StatusBook
from snowdock.jobs.events import PublishStatus
from snowdock.jobs.model import JobStatus

JOB = "0123456789abcdef"


class TestUnknownJobs(unittest.TestCase):
    def setUp(self) -> None:
        self.statuses = StatusBook()
        store = types.SimpleNamespace()
        context = types.SimpleNamespace(store=store, parts=3)
        self.handle = LeaderHandle(context, None, self.statuses)
        self.read_at(steady_seconds())
        election = types.SimpleNamespace(renewed_s=0.1)
        leadership = types.SimpleNamespace(handle=self.handle)
        self.queries = LeaderQueries("node", election, leadership, None)

    def read_at(self, at: float) -> None:
        for tail in self.handle._jobs:
            tail._read_at = at

    def test_leader_that_keeps_up(self) -> None:
        """An unknown job is reported as certain if the leader's reads are recent."""
        self.assertEqual(self.queries.own_status(JOB), (None, True))

    def test_leader_that_is_behind(self) -> None:
        """An unknown job is uncertain if events with new jobs may still be queued."""
        self.statuses.take_until(steady_seconds() - 2.0)
        self.assertEqual(self.queries.own_status(JOB), (None, False))

    def test_reads_that_are_old(self) -> None:
        """An unknown job is uncertain if new jobs may not have been read yet."""
        self.statuses.take_until(steady_seconds())
        self.read_at(steady_seconds() - 2.0)
        self.assertEqual(self.queries.own_status(JOB), (None, False))

    def test_job_that_is_known(self) -> None:
        """The status of a known job is reported even if the leader lags."""
        self.statuses.publish(PublishStatus(JOB, "q", JobStatus.RUNNING))
        self.statuses.take_until(steady_seconds() - 60.0)
        self.assertEqual(self.queries.own_status(JOB), (JobStatus.RUNNING, True))


if __name__ == "__main__":
    unittest.main()

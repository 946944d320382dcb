"""Tests of a leader's answers about unknown jobs."""

import types
import unittest

from snowdock.clocks import steady_seconds
from snowdock.entry.job_status_table import JobStatusTable
from snowdock.entry.leader_handle import LeaderHandle
from snowdock.entry.leader_queries import LeaderQueries
from snowdock.entry.leader_record import LeaderRecord
from snowdock.entry.messages import RecordOutcome, StatusRequest
from snowdock.entry.peer_requests import make_request_handler
from snowdock.errors import CallUnanswered, Starting
from snowdock.jobs.events import PublishStatus
from snowdock.jobs.model import JobStatus
from snowdock.platform.store import KeyedRecord

JOB = "0123456789abcdef"


class TestUnknownJobs(unittest.TestCase):
    def setUp(self) -> None:
        self.statuses = JobStatusTable()
        store = types.SimpleNamespace()
        context = types.SimpleNamespace(store=store, parts=3)
        self.handle = LeaderHandle(context, None, self.statuses)
        self.set_read_at(steady_seconds())
        self.election = types.SimpleNamespace(renewed_s=0.1, leader=None)
        self.leadership = types.SimpleNamespace(handle=self.handle)
        self.queries = LeaderQueries("node", self.election, self.leadership, None)

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

    def test_refusal_names_why_the_status_is_unknown(self) -> None:
        """The error of an uncertain answer names the age of the reads, or the missing leader."""
        self.set_read_at(steady_seconds() - 2.0)
        with self.assertRaisesRegex(
            Starting, r"node leads and read new jobs 2\.\d s ago, renewed 0\.1"
        ):
            self.queries.find_status(JOB, "", 0.1)
        self.statuses.add_unreadable([JOB])
        with self.assertRaisesRegex(Starting, f"cannot decode the record of job {JOB}"):
            self.queries.find_status(JOB, "", 0.1)
        self.leadership.handle = None
        with self.assertRaisesRegex(Starting, "node knows no leader"):
            self.queries.find_status(JOB, "", 0.1)
        self.election.leader = LeaderRecord("node", "an earlier process", "a:1", 7)
        with self.assertRaisesRegex(Starting, "node was the last leader, in epoch 7"):
            self.queries.find_status(JOB, "", 0.1)

    def test_refusal_names_a_node_that_does_not_lead(self) -> None:
        """A node that is asked as the leader but does not lead says so in its reply."""
        self.leadership.handle = None
        handle_request = make_request_handler(self.queries, None, None, None)
        reply = handle_request(StatusRequest(1, JOB))
        self.assertEqual((reply.is_certain, reply.doubt), (False, "node does not lead"))
        self.election.leader = LeaderRecord("other", "1", "a:1", 7)
        peers = types.SimpleNamespace(ask=lambda node, make, seconds: reply)
        queries = LeaderQueries("asking", self.election, self.leadership, peers)
        with self.assertRaisesRegex(Starting, "right now: node does not lead"):
            queries.find_status(JOB, "", 0.1)

    def test_known_job_has_status_when_leader_lags(self) -> None:
        """The status of a known job is reported even if the leader lags."""
        self.statuses.publish(PublishStatus(JOB, "q", JobStatus.RUNNING))
        self.statuses.mark_processed_until(steady_seconds() - 60.0)
        self.assertEqual(self.queries.local_status(JOB), (JobStatus.RUNNING, True))

    def test_unsent_record_is_answered_as_unknown(self) -> None:
        """A record that was not sent to the leader is certainly not recorded by it."""
        self.election.leader = LeaderRecord("other", "1", "a:1", 7)
        self.election.leader_is_alive = True

        def fail(*_: object) -> None:
            raise CallUnanswered("there is no connection to peer other", unsent=True)

        queries = LeaderQueries(
            "node", self.election, self.leadership, types.SimpleNamespace(ask=fail)
        )
        outcome = queries.relay_record(JOB, KeyedRecord(JOB, b"1"), 0.1)
        self.assertIs(outcome, RecordOutcome.NOT_DONE)


if __name__ == "__main__":
    unittest.main()

"""Tests of claims to the leadership whose append fails, by themselves."""

import unittest
from unittest import mock

import msgspec

from snowdock.clocks import steady_seconds
from snowdock.entry.election import Election
from snowdock.entry.lag_monitor import LagMonitor
from snowdock.entry.leader_record import LeaderRecord, NodeIdentity
from snowdock.entry.messages import Heartbeat, Statement
from snowdock.entry.topics import LEADER_KEY, LEADERS_TOPIC
from snowdock.errors import AppendConflict, CallUnanswered, PlatformError, StoreRefused
from snowdock.jobs.timeouts import OUTAGE_AUTHORITY_SECONDS
from snowdock.node.metrics import Metrics
from snowdock.platform.store import StoreClient
from tests.standins.platform import StoreStandin


class TestClaims(unittest.TestCase):
    def setUp(self) -> None:
        self.store = StoreStandin()
        self.addCleanup(self.store.close)
        self.put(LeaderRecord("leader", "leader-1", "127.0.0.1:1", 1, roster=1))
        self.election = Election(
            StoreClient(self.store.address, 1),
            NodeIdentity("node", "node-1", "127.0.0.1:2"),
            0.0,
            lambda: True,
            lambda epoch: None,
            lambda reason: None,
            lambda leader: None,
            lambda: None,
            LagMonitor(Metrics()),
        )
        self.election._watch.read_newest()

    def put(self, record: LeaderRecord) -> None:
        self.store.put_raw(LEADERS_TOPIC, LEADER_KEY, msgspec.msgpack.encode(record))

    def claim(self, *outcomes: PlatformError) -> bool:
        """Claim with each outcome; return whether the node states that it may have claimed."""
        self.store.refuse = True
        with mock.patch.object(self.election._log, "append", side_effect=outcomes):
            for _ in outcomes:
                with self.assertRaises(PlatformError):
                    self.election._claim()
        return self.election.make_heartbeat("leader", 0.2, None).statement.may_have_claimed

    def test_claim_that_was_not_made_ends_the_authority_of_the_leader(self) -> None:
        """A claim that was certainly not appended leaves the statements of its node valid."""
        for outcome in (
            StoreRefused("status 503"),
            CallUnanswered("no connection", unsent=True),
            AppendConflict("another end", 7),
        ):
            with self.subTest(outcome=outcome):
                self.assertFalse(self.claim(outcome))

    def test_refused_claim_hides_one_without_an_answer(self) -> None:
        """A claim without an answer stays open when the next one is refused."""
        unanswered = CallUnanswered("no answer", unsent=False)
        self.assertTrue(self.claim(unanswered, StoreRefused("status 503")))

    def test_claim_at_an_outdated_end_hides_a_later_one(self) -> None:
        """A claim without an answer stays open although an earlier end was read and claimed at."""
        self.put(LeaderRecord("leader", "leader-1", "127.0.0.1:1", 1, roster=1))
        self.election._watch.read_new(0.0)
        self.assertTrue(self.claim(CallUnanswered("no answer", unsent=False)))
        self.store.refuse = False
        self.election._log._next_offset -= 1
        self.election._claim()
        statement = self.election.make_heartbeat("leader", 0.2, None).statement
        self.assertTrue(statement.may_have_claimed)

    def test_leader_behind_an_unreadable_record_is_waited_for_too_briefly(self) -> None:
        """A place on the roster of the last readable record says nothing of a later leader."""
        self.election._place.record_place(1, 1, steady_seconds())
        self.store.put_raw(LEADERS_TOPIC, LEADER_KEY, b"odd")
        self.election._watch.read_new(0.0)
        self.election._claim()
        waits_s = self.election.earlier_authority_until - steady_seconds()
        self.assertGreater(waits_s, OUTAGE_AUTHORITY_SECONDS / 2)

    def test_end_of_the_last_readable_leader_hides_a_later_one(self) -> None:
        """The wait for a leader whose record cannot be read outlasts the one before it."""
        self.store.put_raw(LEADERS_TOPIC, LEADER_KEY, b"odd")
        self.election._watch.read_new(0.0)
        self.election._claim()
        statement = Statement("leader-2", 1.0, "node-1", steady_seconds(), 1, False)
        self.election.handle_heartbeat(
            Heartbeat("leader", "127.0.0.1:1", 0, 0.0, statement=statement)
        )
        waits_s = self.election.earlier_authority_until - steady_seconds()
        self.assertGreater(waits_s, OUTAGE_AUTHORITY_SECONDS / 2)


if __name__ == "__main__":
    unittest.main()

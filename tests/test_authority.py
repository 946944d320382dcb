"""Tests of a leader's authority and of what a claimant may assume of it."""

import unittest

from snowdock.entry.authority import Authority, Basis, RosterPlace
from snowdock.entry.earlier_leaders import EarlierLeaders
from snowdock.entry.leader_record import EarlierLeader, LeaderRecord, NodeIdentity
from snowdock.entry.messages import Heartbeat, Statement
from snowdock.jobs.timeouts import AUTHORITY_SECONDS, OUTAGE_AUTHORITY_SECONDS

EPOCH = 7
CLAIMED_AT = 100.0
RENEWED_AT = CLAIMED_AT + 1.0
OUTAGE_AT = RENEWED_AT + AUTHORITY_SECONDS


class TestAuthority(unittest.TestCase):
    def setUp(self) -> None:
        self.authority = Authority("leader-1")
        self.authority.start_term(EPOCH, CLAIMED_AT)

    def hear(
        self,
        node: str,
        echoed_at: float,
        now: float | None = None,
        reaches_store: bool = True,
        **changes: object,
    ) -> None:
        """Record a statement that echoes the leader's heartbeat of a time."""
        now = echoed_at if now is None else now
        fields = {
            "incarnation": f"{node}-1",
            "sent_at": now,
            "heard_incarnation": "leader-1",
            "heard_at": echoed_at,
            "newest_epoch": EPOCH,
            "may_have_claimed": False,
        }
        statement = Statement(**(fields | changes))
        self.authority.record_statement(node, statement, reaches_store, now)

    def renew(self, at: float) -> int:
        """Record a renewal, and return the version of the roster that it states."""
        roster = self.authority.next_roster(at)
        self.authority.record_renewal(at, roster)
        return roster

    def assert_ends(self, last: float, basis: Basis) -> None:
        """Check that the authority has a basis just before a time, and none from it on."""
        self.assertIs(self.authority.basis_at(last - 0.01), basis)
        self.assertIs(self.authority.basis_at(last), Basis.NONE)

    def test_claim_alone(self) -> None:
        """A claim gives no authority before the first renewal."""
        self.assertIs(self.authority.basis_at(CLAIMED_AT), Basis.NONE)

    def test_renewal(self) -> None:
        """A renewal counts from when it was sent; then a member that is not heard ends it."""
        self.hear("a", RENEWED_AT)
        self.hear("b", RENEWED_AT)
        self.renew(RENEWED_AT)
        self.hear("a", OUTAGE_AT)
        self.assert_ends(OUTAGE_AT, Basis.RENEWAL)

    def test_statements(self) -> None:
        """Statements of all members extend the authority, up to the longest bound."""
        self.hear("a", RENEWED_AT)
        self.renew(RENEWED_AT)
        self.hear("a", OUTAGE_AT)
        self.assert_ends(OUTAGE_AT + AUTHORITY_SECONDS, Basis.STATEMENTS)
        last = RENEWED_AT + OUTAGE_AUTHORITY_SECONDS
        self.hear("a", last)
        self.assert_ends(last, Basis.STATEMENTS)

    def test_late_statement_proves_its_arrival(self) -> None:
        """A statement that was queued for seconds counts from the heartbeat that it echoes."""
        self.hear("a", RENEWED_AT)
        self.renew(RENEWED_AT)
        self.hear("a", RENEWED_AT + 0.1, now=OUTAGE_AT + 3.0)
        self.assertIs(self.authority.basis_at(OUTAGE_AT + 3.0), Basis.NONE)

    def test_statement_that_proves_nothing_extends_authority(self) -> None:
        """Neither an open claim, an echo of another process nor an echo of the future counts."""
        for changes in (
            {"may_have_claimed": True},
            {"heard_incarnation": "leader-0"},
            {"heard_at": OUTAGE_AT + 9.0},
            {"heard_at": CLAIMED_AT - 1.0},
        ):
            with self.subTest(changes=changes):
                self.setUp()
                self.hear("a", RENEWED_AT)
                self.renew(RENEWED_AT)
                self.hear("a", OUTAGE_AT, **changes)
                self.assertIs(self.authority.basis_at(OUTAGE_AT), Basis.NONE)

    def test_later_epoch(self) -> None:
        """A peer that knows of a later epoch ends the authority, whatever the last renewal."""
        self.renew(RENEWED_AT)
        self.hear("a", RENEWED_AT, newest_epoch=EPOCH + 1)
        self.assertIs(self.authority.basis_at(RENEWED_AT), Basis.NONE)

    def test_member_without_the_store_falls_silent(self) -> None:
        """A member may fall silent once it has said that it does not reach the store."""
        self.hear("a", RENEWED_AT)
        self.renew(RENEWED_AT)
        self.hear("a", RENEWED_AT + 0.5, reaches_store=False)
        self.assertEqual(self.authority.place_of("a")[0], 0)
        self.assert_ends(RENEWED_AT + OUTAGE_AUTHORITY_SECONDS, Basis.STATEMENTS)

    def test_member_down_before_the_outage_ends_authority(self) -> None:
        """A silent member counts until a renewal without it is on record."""
        self.hear("a", CLAIMED_AT)
        self.assertEqual(self.renew(RENEWED_AT), 1)
        removed = self.authority.next_roster(RENEWED_AT + 1.0)
        self.assertEqual(removed, 2)
        self.assertIs(self.authority.basis_at(OUTAGE_AT), Basis.NONE)
        self.authority.record_renewal(RENEWED_AT, removed)
        self.assertIs(self.authority.basis_at(OUTAGE_AT), Basis.STATEMENTS)

    def test_member_that_answers_before_its_removal_is_recorded(self) -> None:
        """A member that is heard again stays, and is told the new version."""
        self.hear("a", CLAIMED_AT)
        removed = self.authority.next_roster(RENEWED_AT + 1.0)
        self.assertEqual(self.authority.place_of("a")[0], 0)
        self.hear("a", RENEWED_AT + 1.0)
        self.authority.record_renewal(RENEWED_AT, removed)
        self.assertEqual(self.authority.place_of("a")[0], removed)
        self.assertIs(self.authority.basis_at(RENEWED_AT + 3.0), Basis.NONE)

    def test_place_names_the_accepted_statement(self) -> None:
        """The place names the newest statement that counts, not one that came later."""
        self.hear("a", RENEWED_AT)
        self.hear("a", RENEWED_AT + 1.0, may_have_claimed=True)
        self.assertEqual(self.authority.place_of("a"), (1, "a-1", RENEWED_AT))
        self.assertEqual(self.authority.place_of("unknown"), (0, "", 0.0))

    def test_restarted_member_vouches_for_the_claim_of_its_earlier_process(self) -> None:
        """A member's next process does not stand for the one that was on the roster."""
        self.hear("a", RENEWED_AT)
        self.renew(RENEWED_AT)
        # The first process may have claimed here, as a member, and ended.
        self.hear("a", OUTAGE_AT, incarnation="a-2")
        self.assertIs(self.authority.basis_at(OUTAGE_AT), Basis.NONE)

    def test_late_statement_of_an_ended_process_makes_a_member_blind(self) -> None:
        """A late statement of an ended process does not count for the one after it."""
        self.hear("a", RENEWED_AT, incarnation="a-2")
        self.renew(RENEWED_AT)
        self.hear("a", RENEWED_AT + 0.1, reaches_store=False)
        self.assertIs(self.authority.basis_at(OUTAGE_AT), Basis.NONE)


class TestRosterPlace(unittest.TestCase):
    def setUp(self) -> None:
        self.place = RosterPlace()

    def make_record(self, roster: int, **changes: object) -> LeaderRecord:
        return NodeIdentity("l", "l-1", "a:1").make_record(EPOCH, roster=roster, **changes)

    def bound(self, record: LeaderRecord | None, node: str = "c") -> float:
        bound_s = self.place.begin_claim(record, node)
        self.place.end_claim()
        return bound_s

    def test_claimant_on_the_roster(self) -> None:
        """A member of the version on record, or of a later one, has the shorter bound."""
        self.place.record_place(EPOCH, 3, 1.0)
        for roster, expected_s in ((2, AUTHORITY_SECONDS), (3, AUTHORITY_SECONDS)):
            self.assertEqual(self.bound(self.make_record(roster)), expected_s)
        self.assertEqual(self.bound(self.make_record(4)), OUTAGE_AUTHORITY_SECONDS)

    def test_claimant_without_a_place_starts_tasks_too_early(self) -> None:
        """A claimant that the leader does not count has the longer bound."""
        self.assertEqual(self.bound(self.make_record(1)), OUTAGE_AUTHORITY_SECONDS)
        self.place.record_place(EPOCH - 1, 9, 1.0)
        self.assertEqual(self.bound(self.make_record(1)), OUTAGE_AUTHORITY_SECONDS)

    def test_blind_statement_forfeits_the_place(self) -> None:
        """Only a place that answers a later statement counts after one without the store."""
        self.place.record_place(EPOCH, 1, 1.0)
        self.assertFalse(self.place.begin_statement(2.0, reaches_store=False))
        self.assertEqual(self.bound(self.make_record(1)), OUTAGE_AUTHORITY_SECONDS)
        self.place.record_place(EPOCH, 1, 1.5)
        self.assertEqual(self.bound(self.make_record(1)), OUTAGE_AUTHORITY_SECONDS)
        self.place.record_place(EPOCH, 1, 2.5)
        self.assertEqual(self.bound(self.make_record(1)), AUTHORITY_SECONDS)

    def test_leader_that_has_ended(self) -> None:
        """A leader without a roster, that resigned, or of this node has the shorter bound."""
        self.assertEqual(self.bound(None), AUTHORITY_SECONDS)
        self.assertEqual(self.bound(self.make_record(0)), AUTHORITY_SECONDS)
        self.assertEqual(self.bound(self.make_record(1, resigned=True)), AUTHORITY_SECONDS)
        self.assertEqual(self.bound(self.make_record(1), node="l"), AUTHORITY_SECONDS)

    def test_record_of_an_earlier_release(self) -> None:
        """A record without a roster has the longer bound, or the one that it states."""
        for authority_s in (1.5, 60.0):
            record = LeaderRecord("l", "l-1", "a:1", EPOCH, authority_s=authority_s)
            expected_s = max(authority_s, OUTAGE_AUTHORITY_SECONDS)
            self.assertEqual(self.bound(record), expected_s)

    def test_statement_during_a_claim(self) -> None:
        """Statements tell of a claim until its outcome is known."""
        self.place.begin_claim(None, "c")
        self.assertTrue(self.place.begin_statement(1.0, reaches_store=True))
        self.place.end_claim()
        self.assertFalse(self.place.begin_statement(2.0, reaches_store=True))


class TestEarlierLeaders(unittest.TestCase):
    NOW = 100.0

    def setUp(self) -> None:
        self.earlier = EarlierLeaders(NodeIdentity("me", "me-1", "a:1"))

    def claim(self, incarnation: str = "l-1", earlier: tuple[EarlierLeader, ...] = ()) -> None:
        identity = NodeIdentity("l", incarnation, "a:1")
        record = identity.make_record(EPOCH, earlier=earlier)
        self.earlier.begin_claim(record, AUTHORITY_SECONDS, self.NOW)

    def hear(self, node: str, incarnation: str, epoch: int, echoed_at: float) -> bool:
        """Handle a heartbeat a second after the claim; return whether the last leader ended."""
        now = self.NOW + 1.0
        statement = Statement(incarnation, now, "me-1", echoed_at, EPOCH, False)
        heartbeat = Heartbeat(node, "a:2", epoch, 0.0, statement=statement)
        return bool(self.earlier.handle_statement(heartbeat, statement, now))

    def test_leaders_before_the_last_one(self) -> None:
        """What is left of the bound of leaders before the last one counts, too."""
        self.claim(earlier=(EarlierLeader("k", "k-1", 3, 9.0),))
        self.assertEqual(self.earlier.until, self.NOW + 9.0)
        self.assertTrue(self.hear("l", "l-1", 0, self.NOW))
        self.assertEqual(self.earlier.until, self.NOW + 9.0)

    def test_resignation_of_an_earlier_release_hides_the_leader_before_it(self) -> None:
        """A leader of an earlier release that has ended passes its predecessors' bound on."""
        record = LeaderRecord("l", "l-1", "a:1", EPOCH, resigned=True, authority_s=12.0)
        self.earlier.begin_claim(record, AUTHORITY_SECONDS, self.NOW)
        self.assertEqual(self.earlier.until, self.NOW + 12.0)

    def test_leader_whose_record_cannot_be_read(self) -> None:
        """An unreadable record stands for the longest bound, and no node ends the wait for it."""
        self.earlier.begin_claim(None, AUTHORITY_SECONDS, self.NOW, is_readable=False)
        self.assertFalse(self.hear("l", "l-1", 0, self.NOW))
        self.assertEqual(self.earlier.until, self.NOW + OUTAGE_AUTHORITY_SECONDS)

    def test_wait_is_passed_on_for_a_leader_that_has_ended(self) -> None:
        """The node of a leader before the last one ends the wait for it, also as the claimant."""
        self.claim(earlier=(EarlierLeader("k", "k-1", 3, 9.0),))
        self.assertTrue(self.hear("k", "k-2", 0, self.NOW))
        self.assertEqual(self.earlier.until, self.NOW + AUTHORITY_SECONDS)
        self.assertEqual([each.node for each in self.earlier.list_at(self.NOW + 1.1)], ["l"])
        self.claim(earlier=(EarlierLeader("me", "me-0", 3, 9.0),))
        self.assertEqual(self.earlier.until, self.NOW + AUTHORITY_SECONDS)

    def test_last_leader_is_heard_to_lead_no_more(self) -> None:
        """The wait ends with a heartbeat of another process, or that no longer leads."""
        for incarnation, epoch in (("l-2", 0), ("l-1", 0), ("l-1", EPOCH + 5)):
            with self.subTest(incarnation=incarnation, epoch=epoch):
                self.claim()
                self.assertTrue(self.hear("l", incarnation, epoch, self.NOW))
                self.assertEqual(self.earlier.until, self.NOW + 1.0)

    def test_wait_ends_without_proof(self) -> None:
        """Neither another node, the leader itself nor an answer to an earlier heartbeat counts."""
        for node, epoch, echoed_at in (("k", 0, 100.0), ("l", EPOCH, 100.0), ("l", 0, 99.9)):
            with self.subTest(node=node, epoch=epoch, echoed_at=echoed_at):
                self.claim()
                self.assertFalse(self.hear(node, "l-1", epoch, echoed_at))
                self.assertEqual(self.earlier.until, self.NOW + AUTHORITY_SECONDS)


if __name__ == "__main__":
    unittest.main()

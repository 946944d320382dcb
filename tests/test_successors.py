"""Tests of the choice of a successor by a leader on a weak node."""

import unittest

from snowdock.entry.messages import Heartbeat
from snowdock.entry.successors import SuccessorTracker


def make_heartbeat(node: str, claim_delay_s: float = 0.0, reaches_store: bool = True) -> Heartbeat:
    return Heartbeat(node, "a:1", 0, 0.0, False, claim_delay_s, reaches_store)


class TestSuccessorTracker(unittest.TestCase):
    def choose_successor(
        self, *heartbeats: Heartbeat, seconds: float = 3.0, own_delay_s: float = 0.36
    ) -> str | None:
        """Return the successor after heartbeats of some peers every 0.2 s."""
        tracker = SuccessorTracker()
        now = 100.0
        for _ in range(round(seconds / 0.2)):
            now += 0.2
            for heartbeat in heartbeats:
                tracker.record_heartbeat(heartbeat, now)
        return tracker.choose_successor(now, own_delay_s)

    def test_strongest_peer_is_chosen(self) -> None:
        """The strongest of several stronger peers is chosen."""
        self.assertEqual(
            self.choose_successor(
                make_heartbeat("a", 0.2), make_heartbeat("b", 0.05), make_heartbeat("c", 0.3)
            ),
            "b",
        )

    def test_similar_peer_is_not_chosen(self) -> None:
        """A slightly stronger peer does not justify a handover."""
        self.assertIsNone(self.choose_successor(make_heartbeat("a", 0.3)))

    def test_strong_leader_has_no_successor(self) -> None:
        """A leader without a claim delay has no stronger peer."""
        self.assertIsNone(self.choose_successor(make_heartbeat("a", 0.0), own_delay_s=0.0))

    def test_peer_without_store_is_not_chosen(self) -> None:
        """A peer that cannot reach the store could not claim, and is not chosen."""
        self.assertIsNone(self.choose_successor(make_heartbeat("a", reaches_store=False)))

    def test_recently_started_peer_is_not_chosen(self) -> None:
        """A peer that has sent heartbeats only for a short time is not chosen."""
        self.assertIsNone(self.choose_successor(make_heartbeat("a"), seconds=1.0))

    def test_silent_peer_is_not_chosen(self) -> None:
        """A peer whose heartbeats have stopped is not chosen."""
        tracker = SuccessorTracker()
        for step in range(20):
            tracker.record_heartbeat(make_heartbeat("a"), 100.0 + step * 0.2)
        self.assertEqual(tracker.choose_successor(104.0, 0.36), "a")
        self.assertIsNone(tracker.choose_successor(105.0, 0.36))

    def test_peer_with_heartbeat_gaps_is_not_chosen(self) -> None:
        """A gap in a peer's heartbeats restarts the time for which it must be stable."""
        tracker = SuccessorTracker()
        for step in range(10):
            tracker.record_heartbeat(make_heartbeat("a"), 100.0 + step)
        self.assertIsNone(tracker.choose_successor(109.1, 0.36))

    def test_late_node_still_finds_a_successor(self) -> None:
        """A node that reads heartbeats late takes the gaps for its own."""
        tracker = SuccessorTracker()
        for step in range(4):
            tracker.record_heartbeat(make_heartbeat("a"), 100.0 + 1.5 * step, is_late=True)
        self.assertEqual(tracker.choose_successor(105.0, 0.36, is_late=True), "a")
        self.assertIsNone(tracker.choose_successor(106.0, 0.36, is_late=True), "no news")

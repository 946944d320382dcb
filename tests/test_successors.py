"""Tests of the choice of a successor by a leader on a weak node."""

import unittest

from snowdock.entry.messages import Heartbeat
from snowdock.entry.successors import SuccessorTracker


def beat(node: str, claim_delay_s: float = 0.0, reaches_store: bool = True) -> Heartbeat:
    return Heartbeat(node, "a:1", 0, 0.0, False, claim_delay_s, reaches_store)


class TestSuccessorTracker(unittest.TestCase):
    def choose_successor(
        self, *beats: Heartbeat, seconds: float = 3.0, own_delay_s: float = 0.36
    ) -> str | None:
        """Give the successor after hearing some peers every 0.2 s for a while."""
        succession = SuccessorTracker(own_delay_s)
        now = 100.0
        for _ in range(round(seconds / 0.2)):
            now += 0.2
            for each in beats:
                succession.record_heartbeat(each, now)
        return succession.choose_successor(now)

    def test_strongest_peer_is_chosen(self) -> None:
        """Of several stronger peers the strongest is named."""
        self.assertEqual(
            self.choose_successor(beat("a", 0.2), beat("b", 0.05), beat("c", 0.3)), "b"
        )

    def test_similar_peer_is_not_chosen(self) -> None:
        """A peer that bears hardly more is not worth a takeover."""
        self.assertIsNone(self.choose_successor(beat("a", 0.3)))

    def test_strong_leader_has_no_successor(self) -> None:
        """A leader that can bear everything hands over to nobody."""
        self.assertIsNone(self.choose_successor(beat("a", 0.0), own_delay_s=0.0))

    def test_peer_without_store_is_not_chosen(self) -> None:
        """A peer that the store does not answer could not claim."""
        self.assertIsNone(self.choose_successor(beat("a", reaches_store=False)))

    def test_recently_started_peer_is_not_chosen(self) -> None:
        """A peer that has just come back may go again."""
        self.assertIsNone(self.choose_successor(beat("a"), seconds=1.0))

    def test_silent_peer_is_not_chosen(self) -> None:
        """A peer that is no longer heard is not named."""
        succession = SuccessorTracker(0.36)
        for step in range(20):
            succession.record_heartbeat(beat("a"), 100.0 + step * 0.2)
        self.assertEqual(succession.choose_successor(104.0), "a")
        self.assertIsNone(succession.choose_successor(105.0))

    def test_peer_with_heartbeat_gaps_is_not_chosen(self) -> None:
        """A peer that is silent for a second now and then has to prove itself anew."""
        succession = SuccessorTracker(0.36)
        for step in range(10):
            succession.record_heartbeat(beat("a"), 100.0 + step)
        self.assertIsNone(succession.choose_successor(109.1))

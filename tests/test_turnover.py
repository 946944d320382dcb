"""Tests of how long a leader that says nothing is waited for."""

import random
import unittest
import unittest.mock

from snowdock.entry.leader_record import LeaderRecord, NodeIdentity
from snowdock.entry.leader_signs import LeaderLiveness
from snowdock.entry.messages import Heartbeat
from snowdock.entry.turnover import MAX_TIMEOUT_FACTOR, next_turnover, timeout_factor

BASE_TIMEOUT_S = 0.85
"""Silence after which a settled leader is missed, and the watch over the store after it."""

CLAIM_JITTER_S = 0.08


def simulate_election(
    silence_s: float, factor_of=timeout_factor, end_s: float = 120.0
) -> float | None:
    """Give when somebody leads whose claims are each followed by a silence.

    Parameters
    ----------
    silence_s
        How long each new leader gives no sign: it reads, restores, and its processor is busy.
    factor_of
        Gives how many times longer than usual a new leader is waited for.
    end_s
        When to give up: nobody has led until then.

    Returns
    -------
    float or None
        Seconds from the first claim; None where nobody leads.
    """
    rng = random.Random(1)
    now, turnover = 0.0, 0
    while now < end_s:
        wait_s = BASE_TIMEOUT_S * factor_of(turnover, 0.0)
        if silence_s <= wait_s:
            return now + silence_s
        led_s = wait_s + rng.uniform(0, CLAIM_JITTER_S)
        now += led_s
        turnover = next_turnover(turnover, led_s, is_evident=False)
    return None


class TestTurnover(unittest.TestCase):
    def test_slow_nodes_elect_a_leader(self) -> None:
        """From nodes that need 0.3 s to nodes that need 13 s, within four times as long."""
        for silence_s in (0.3, 0.9, 1.7, 3.4, 6.8, 13.0):
            with self.subTest(silence_s=silence_s):
                took_s = simulate_election(silence_s)
                self.assertIsNotNone(took_s)
                self.assertLess(took_s, 4 * silence_s + BASE_TIMEOUT_S)

    def test_no_leader_with_constant_timeout(self) -> None:
        """Where each claimant is waited for as long as a settled leader, it never ends."""
        for silence_s in (0.9, 1.7, 3.4):
            with self.subTest(silence_s=silence_s):
                self.assertIsNone(simulate_election(silence_s, lambda turnover, led_s: 1.0))

    def test_settled_leader_has_base_timeout(self) -> None:
        """What was waited for longer at its beginning is not, once it has led for a while."""
        for turnover in range(6):
            self.assertEqual(timeout_factor(turnover, 10.0 * MAX_TIMEOUT_FACTOR), 1.0)
        self.assertEqual(timeout_factor(0, 0.0), 1.0)

    def test_evident_end_resets_turnover(self) -> None:
        """A leader that is evidently gone, or has resigned, makes the others no more patient."""
        self.assertEqual(next_turnover(3, 0.5, is_evident=True), 0)

    def test_unknown_term_start_keeps_turnover(self) -> None:
        """A node that has just started passes on what it found on record."""
        self.assertEqual(next_turnover(2, None, is_evident=False), 2)

    def test_long_term_resets_turnover(self) -> None:
        """Its loss is the first of a new series."""
        self.assertEqual(next_turnover(1, 60.0, is_evident=False), 0)

    def test_record_without_turnover_defaults_to_zero(self) -> None:
        """A record without a turnover counts as one of a settled leader."""
        record = NodeIdentity("n", "n-1", "a:1").make_record(3)
        self.assertEqual(record.turnover, 0)
        self.assertEqual(LeaderRecord("n", "n-1", "a:1", 3), record)


class TestLeaderLiveness(unittest.TestCase):
    """A leader that was late and came back is waited for longer; one that never was is not."""

    def setUp(self) -> None:
        self.now = 1000.0
        clock = unittest.mock.patch("snowdock.entry.leader_signs.steady_seconds", lambda: self.now)
        self.enterContext(clock)
        self.liveness = LeaderLiveness()
        self.liveness.start_term()

    def receive_heartbeat(self, after_s: float, renewed_s: float = 0.1) -> None:
        self.now += after_s
        self.liveness.record_heartbeat(Heartbeat("n", "a:1", 1, renewed_s))

    def is_alive_after(self, seconds: float) -> bool:
        """Whether the leader still counts as heard after so long a silence."""
        before, self.now = self.now, self.now + seconds
        heard = self.liveness.is_alive()
        self.now = before
        return heard

    def test_punctual_leader_has_base_silence_limit(self) -> None:
        """Two missing heartbeats are enough."""
        for _ in range(10):
            self.receive_heartbeat(0.2)
        self.assertTrue(self.is_alive_after(0.39))
        self.assertFalse(self.is_alive_after(0.41))

    def test_silence_limit_grows_after_gap_and_decays(self) -> None:
        """After a gap of a second that ended, a gap of 1.2 s is nothing; that fades."""
        self.receive_heartbeat(0.2)
        self.receive_heartbeat(1.0)
        self.assertTrue(self.is_alive_after(1.2))
        self.assertFalse(self.is_alive_after(1.4))
        for _ in range(100):
            self.receive_heartbeat(0.2)
        self.assertFalse(self.is_alive_after(0.41))

    def test_renewal_age_limit_grows_after_late_renewal(self) -> None:
        """The age of a renewal counts once the next one has come, not while it is missing."""
        self.receive_heartbeat(0.2, renewed_s=0.1)
        self.receive_heartbeat(0.2, renewed_s=2.0)
        self.assertFalse(self.liveness.is_alive())
        self.receive_heartbeat(0.2, renewed_s=0.1)
        self.receive_heartbeat(0.2, renewed_s=2.0)
        self.assertTrue(self.liveness.is_alive())

    def test_new_leader_starts_with_base_limits(self) -> None:
        """What the one before was late with does not count for the next one."""
        self.receive_heartbeat(1.0)
        self.liveness.start_term()
        self.assertFalse(self.is_alive_after(0.41))


if __name__ == "__main__":
    unittest.main()

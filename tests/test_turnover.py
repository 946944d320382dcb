"""Tests of the timeouts for a silent leader."""

import random
import unittest
import unittest.mock

from snowdock.entry.leader_liveness import LeaderLiveness
from snowdock.entry.leader_record import LeaderRecord, NodeIdentity
from snowdock.entry.messages import Heartbeat
from snowdock.entry.turnover import MAX_TIMEOUT_FACTOR, next_turnover, timeout_factor

BASE_TIMEOUT_S = 0.85
"""Timeout for a leader after no short term: the silence limit and the wait for a renewal."""

CLAIM_JITTER_S = 0.08


def simulate_election(
    silence_s: float, factor_of=timeout_factor, end_s: float = 120.0
) -> float | None:
    """Simulate elections of nodes that are silent for some time after each claim.

    Parameters
    ----------
    silence_s
        How long each new leader sends no heartbeat, in seconds.
    factor_of
        Returns the factor by which the timeout for a new leader is extended.
    end_s
        When the simulation ends, in seconds.

    Returns
    -------
    float or None
        Seconds from the first claim until a leader is established; None if none is.
    """
    rng = random.Random(1)
    now, turnover = 0.0, 0
    while now < end_s:
        wait_s = BASE_TIMEOUT_S * factor_of(turnover, 0.0)
        if silence_s <= wait_s:
            return now + silence_s
        term_s = wait_s + rng.uniform(0, CLAIM_JITTER_S)
        now += term_s
        turnover = next_turnover(turnover, term_s, is_evident=False)
    return None


class TestTurnover(unittest.TestCase):
    def test_slow_nodes_elect_a_leader(self) -> None:
        """A leader is established within four times the nodes' silence, from 0.3 s to 13 s."""
        for silence_s in (0.3, 0.9, 1.7, 3.4, 6.8, 13.0):
            with self.subTest(silence_s=silence_s):
                elapsed_s = simulate_election(silence_s)
                self.assertIsNotNone(elapsed_s)
                self.assertLess(elapsed_s, 4 * silence_s + BASE_TIMEOUT_S)

    def test_no_leader_with_constant_timeout(self) -> None:
        """Without backoff of the timeout, no leader is ever established."""
        for silence_s in (0.9, 1.7, 3.4):
            with self.subTest(silence_s=silence_s):
                self.assertIsNone(simulate_election(silence_s, lambda turnover, term_s: 1.0))

    def test_stable_leader_has_base_timeout(self) -> None:
        """The timeout is not extended once a leader has led for long enough."""
        for turnover in range(6):
            self.assertEqual(timeout_factor(turnover, 10.0 * MAX_TIMEOUT_FACTOR), 1.0)
        self.assertEqual(timeout_factor(0, 0.0), 1.0)

    def test_evident_end_resets_turnover(self) -> None:
        """A term that ended by a resignation or with evidence does not extend the timeout."""
        self.assertEqual(next_turnover(3, 0.5, is_evident=True), 0)

    def test_unknown_term_start_keeps_turnover(self) -> None:
        """A claimant that did not see the term start records the number it has read."""
        self.assertEqual(next_turnover(2, None, is_evident=False), 2)

    def test_long_term_resets_turnover(self) -> None:
        """The count restarts after a long term."""
        self.assertEqual(next_turnover(1, 60.0, is_evident=False), 0)

    def test_record_without_turnover_defaults_to_zero(self) -> None:
        """A record without a turnover has a turnover of zero."""
        record = NodeIdentity("n", "n-1", "a:1").make_record(3)
        self.assertEqual(record.turnover, 0)
        expected = LeaderRecord("n", "n-1", "a:1", 3, authority_s=record.authority_s, roster=0)
        self.assertEqual(expected, record)


class TestLeaderLiveness(unittest.TestCase):
    """The failure detector's limits adapt to the leader's recent delays."""

    def setUp(self) -> None:
        self.now = 1000.0
        clock = unittest.mock.patch(
            "snowdock.entry.leader_liveness.steady_seconds", lambda: self.now
        )
        self.enterContext(clock)
        self.liveness = LeaderLiveness()
        self.liveness.start_term()

    def receive_heartbeat(self, after_s: float, renewal_age_s: float = 0.1) -> None:
        self.now += after_s
        self.liveness.record_heartbeat(Heartbeat("n", "a:1", 1, renewal_age_s))

    def is_alive_after(self, seconds: float) -> bool:
        """Return whether the leader counts as alive after the given silence."""
        previous_now, self.now = self.now, self.now + seconds
        is_alive = self.liveness.is_alive()
        self.now = previous_now
        return is_alive

    def test_punctual_leader_has_base_silence_limit(self) -> None:
        """A punctual leader is not alive after two missed heartbeats."""
        for _ in range(10):
            self.receive_heartbeat(0.2)
        self.assertTrue(self.is_alive_after(0.39))
        self.assertFalse(self.is_alive_after(0.41))

    def test_silence_limit_grows_after_gap_and_decays(self) -> None:
        """A gap of 1 s extends the silence limit to 1.5 s; the extension decays with time."""
        self.receive_heartbeat(0.2)
        self.receive_heartbeat(1.0)
        self.assertTrue(self.is_alive_after(1.2))
        self.assertFalse(self.is_alive_after(1.4))
        for _ in range(100):
            self.receive_heartbeat(0.2)
        self.assertFalse(self.is_alive_after(0.41))

    def test_leader_is_awaited_for_as_long_as_an_earlier_cut(self) -> None:
        """A gap of 9 s extends no limit beyond the time of a takeover."""
        self.receive_heartbeat(0.2)
        self.receive_heartbeat(9.0, renewal_age_s=9.0)
        self.receive_heartbeat(0.2)
        self.assertTrue(self.is_alive_after(3.3))
        self.assertFalse(self.is_alive_after(3.5))
        self.receive_heartbeat(0.2, renewal_age_s=3.5)
        self.assertFalse(self.liveness.is_alive())

    def test_renewal_age_limit_grows_after_late_renewal(self) -> None:
        """A late renewal extends the limit for renewals only after it has arrived."""
        self.receive_heartbeat(0.2, renewal_age_s=0.1)
        self.receive_heartbeat(0.2, renewal_age_s=2.0)
        self.assertFalse(self.liveness.is_alive())
        self.receive_heartbeat(0.2, renewal_age_s=0.1)
        self.receive_heartbeat(0.2, renewal_age_s=2.0)
        self.assertTrue(self.liveness.is_alive())

    def test_new_leader_starts_with_base_limits(self) -> None:
        """Delays of the previous leader do not extend the limits for a new one."""
        self.receive_heartbeat(1.0)
        self.liveness.start_term()
        self.assertFalse(self.is_alive_after(0.41))


if __name__ == "__main__":
    unittest.main()

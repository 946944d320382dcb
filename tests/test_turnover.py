"""Tests of the timeouts for a silent leader."""

import random
import unittest
import unittest.mock

from snowdock.entry.leader_record import Identity, LeaderRecord
from snowdock.entry.leader_signs import LeaderSigns
from snowdock.entry.messages import Beat
from snowdock.entry.turnover import MOST_PATIENCE, next_turnover, patience_factor

USUAL_WAIT_S = 0.85
"""Timeout for a leader after no short term: the silence limit and the wait for a renewal."""

CLAIM_SPREAD_S = 0.08


def time_to_lead(silence_s: float, factor_of=patience_factor, end_s: float = 120.0) -> float | None:
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
    draw = random.Random(1)
    now, turnover = 0.0, 0
    while now < end_s:
        wait_s = USUAL_WAIT_S * factor_of(turnover, 0.0)
        if silence_s <= wait_s:
            return now + silence_s
        led_s = wait_s + draw.uniform(0, CLAIM_SPREAD_S)
        now += led_s
        turnover = next_turnover(turnover, led_s, is_evident=False)
    return None


class TestTurnover(unittest.TestCase):
    def test_somebody_leads_however_slow_the_nodes_are(self) -> None:
        """A leader is established within four times the nodes' silence, from 0.3 s to 13 s."""
        for silence_s in (0.3, 0.9, 1.7, 3.4, 6.8, 13.0):
            with self.subTest(silence_s=silence_s):
                took_s = time_to_lead(silence_s)
                self.assertIsNotNone(took_s)
                self.assertLess(took_s, 4 * silence_s + USUAL_WAIT_S)

    def test_nobody_ever_leads_without_the_rule(self) -> None:
        """Without backoff of the timeout, no leader is ever established."""
        for silence_s in (0.9, 1.7, 3.4):
            with self.subTest(silence_s=silence_s):
                self.assertIsNone(time_to_lead(silence_s, lambda turnover, led_s: 1.0))

    def test_settled_leader_is_missed_as_soon_as_ever(self) -> None:
        """The timeout is not extended once a leader has led for long enough."""
        for turnover in range(6):
            self.assertEqual(patience_factor(turnover, 10.0 * MOST_PATIENCE), 1.0)
        self.assertEqual(patience_factor(0, 0.0), 1.0)

    def test_evident_end_counts_for_nothing(self) -> None:
        """A term that ended by a resignation or with evidence does not extend the timeout."""
        self.assertEqual(next_turnover(3, 0.5, is_evident=True), 0)

    def test_unknown_beginning(self) -> None:
        """A claimant that did not see the term start records the number it has read."""
        self.assertEqual(next_turnover(2, None, is_evident=False), 2)

    def test_leadership_that_has_lasted(self) -> None:
        """The count restarts after a long term."""
        self.assertEqual(next_turnover(1, 60.0, is_evident=False), 0)

    def test_older_records(self) -> None:
        """A record without a turnover has a turnover of zero."""
        record = Identity("n", "n-1", "a:1").lead(3)
        self.assertEqual(record.turnover, 0)
        self.assertEqual(LeaderRecord("n", "n-1", "a:1", 3), record)


class TestLateness(unittest.TestCase):
    """The failure detector's limits adapt to the leader's recent delays."""

    def setUp(self) -> None:
        self.now = 1000.0
        clock = unittest.mock.patch("snowdock.entry.leader_signs.steady_seconds", lambda: self.now)
        self.enterContext(clock)
        self.signs = LeaderSigns()
        self.signs.expect()

    def hear(self, after_s: float, renewed_s: float = 0.1) -> None:
        self.now += after_s
        self.signs.hear(Beat("n", "a:1", 1, renewed_s))

    def silent_for(self, seconds: float) -> bool:
        """Return whether the leader counts as alive after the given silence."""
        before, self.now = self.now, self.now + seconds
        heard = self.signs.is_heard()
        self.now = before
        return heard

    def test_punctual_leader(self) -> None:
        """A punctual leader is not alive after two missed heartbeats."""
        for _ in range(10):
            self.hear(0.2)
        self.assertTrue(self.silent_for(0.39))
        self.assertFalse(self.silent_for(0.41))

    def test_late_leader(self) -> None:
        """A gap of 1 s extends the silence limit to 1.5 s; the extension decays with time."""
        self.hear(0.2)
        self.hear(1.0)
        self.assertTrue(self.silent_for(1.2))
        self.assertFalse(self.silent_for(1.4))
        for _ in range(100):
            self.hear(0.2)
        self.assertFalse(self.silent_for(0.41))

    def test_late_renewals(self) -> None:
        """A late renewal extends the limit for renewals only after it has arrived."""
        self.hear(0.2, renewed_s=0.1)
        self.hear(0.2, renewed_s=2.0)
        self.assertFalse(self.signs.is_heard())
        self.hear(0.2, renewed_s=0.1)
        self.hear(0.2, renewed_s=2.0)
        self.assertTrue(self.signs.is_heard())

    def test_new_leader_is_judged_by_itself(self) -> None:
        """Delays of the previous leader do not extend the limits for a new one."""
        self.hear(1.0)
        self.signs.expect()
        self.assertFalse(self.silent_for(0.41))


if __name__ == "__main__":
    unittest.main()

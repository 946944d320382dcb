"""Tests of how long a leader that says nothing is waited for."""

import random
import unittest
import unittest.mock

from snowdock.entry.leader_record import Identity, LeaderRecord
from snowdock.entry.leader_signs import LeaderSigns
from snowdock.entry.messages import Beat
from snowdock.entry.turnover import MOST_PATIENCE, next_turnover, patience_factor

USUAL_WAIT_S = 0.85
"""Silence after which a settled leader is missed, and the watch over the store after it."""

CLAIM_SPREAD_S = 0.08


def time_to_lead(silence_s: float, factor_of=patience_factor, end_s: float = 120.0) -> float | None:
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
        """From nodes that need 0.3 s to nodes that need 13 s, within four times as long."""
        for silence_s in (0.3, 0.9, 1.7, 3.4, 6.8, 13.0):
            with self.subTest(silence_s=silence_s):
                took_s = time_to_lead(silence_s)
                self.assertIsNotNone(took_s)
                self.assertLess(took_s, 4 * silence_s + USUAL_WAIT_S)

    def test_nobody_ever_leads_without_the_rule(self) -> None:
        """Where each claimant is waited for as long as a settled leader, it never ends."""
        for silence_s in (0.9, 1.7, 3.4):
            with self.subTest(silence_s=silence_s):
                self.assertIsNone(time_to_lead(silence_s, lambda turnover, led_s: 1.0))

    def test_settled_leader_is_missed_as_soon_as_ever(self) -> None:
        """What was waited for longer at its beginning is not, once it has led for a while."""
        for turnover in range(6):
            self.assertEqual(patience_factor(turnover, 10.0 * MOST_PATIENCE), 1.0)
        self.assertEqual(patience_factor(0, 0.0), 1.0)

    def test_evident_end_counts_for_nothing(self) -> None:
        """A leader that is evidently gone, or has resigned, makes the others no more patient."""
        self.assertEqual(next_turnover(3, 0.5, is_evident=True), 0)

    def test_unknown_beginning(self) -> None:
        """A node that has just started passes on what it found on record."""
        self.assertEqual(next_turnover(2, None, is_evident=False), 2)

    def test_leadership_that_has_lasted(self) -> None:
        """Its loss is the first of a new series."""
        self.assertEqual(next_turnover(1, 60.0, is_evident=False), 0)

    def test_older_records(self) -> None:
        """A record without a turnover counts as one of a settled leader."""
        record = Identity("n", "n-1", "a:1").lead(3)
        self.assertEqual(record.turnover, 0)
        self.assertEqual(LeaderRecord("n", "n-1", "a:1", 3), record)


class TestLateness(unittest.TestCase):
    """A leader that was late and came back is waited for longer; one that never was is not."""

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
        """Whether the leader still counts as heard after so long a silence."""
        before, self.now = self.now, self.now + seconds
        heard = self.signs.is_heard()
        self.now = before
        return heard

    def test_punctual_leader(self) -> None:
        """Two missing heartbeats are enough."""
        for _ in range(10):
            self.hear(0.2)
        self.assertTrue(self.silent_for(0.39))
        self.assertFalse(self.silent_for(0.41))

    def test_late_leader(self) -> None:
        """After a gap of a second that ended, a gap of 1.2 s is nothing; that fades."""
        self.hear(0.2)
        self.hear(1.0)
        self.assertTrue(self.silent_for(1.2))
        self.assertFalse(self.silent_for(1.4))
        for _ in range(100):
            self.hear(0.2)
        self.assertFalse(self.silent_for(0.41))

    def test_late_renewals(self) -> None:
        """The age of a renewal counts once the next one has come, not while it is missing."""
        self.hear(0.2, renewed_s=0.1)
        self.hear(0.2, renewed_s=2.0)
        self.assertFalse(self.signs.is_heard())
        self.hear(0.2, renewed_s=0.1)
        self.hear(0.2, renewed_s=2.0)
        self.assertTrue(self.signs.is_heard())

    def test_new_leader_is_judged_by_itself(self) -> None:
        """What the one before was late with does not count for the next one."""
        self.hear(1.0)
        self.signs.expect()
        self.assertFalse(self.silent_for(0.41))


if __name__ == "__main__":
    unittest.main()

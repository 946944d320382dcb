"""Tests of a leader's authority and of a follower's place on its roster."""

import unittest

from snowdock.entry.authority import Authority, Basis
from snowdock.entry.messages import Statement
from snowdock.jobs.timeouts import AUTHORITY_SECONDS

_EPOCH = 1


class TestAuthority(unittest.TestCase):
    def setUp(self) -> None:
        self.authority = Authority("leader-1")
        self.authority.start_term(_EPOCH, 0.0)
        self.authority.record_renewal(0.0, 1)

    def state(self, incarnation: str, now: float, reaches_store: bool = True) -> None:
        """Accept a statement that echoes a heartbeat sent a moment ago."""
        echoed_at = now - 0.1
        statement = Statement(incarnation, echoed_at, "leader-1", echoed_at, _EPOCH, False)
        self.authority.record_statement("second", statement, reaches_store, now)

    def test_restarted_member_vouches_for_the_claim_of_its_earlier_process(self) -> None:
        """A member's next process does not stand for the one that was on the roster."""
        self.state("second-1", 1.0)
        # The first process may have claimed here, as a member, and ended.
        now = 1.0 + AUTHORITY_SECONDS
        self.state("second-2", now)
        self.assertEqual(self.authority.basis_at(now), Basis.NONE)

    def test_late_statement_of_an_ended_process_makes_a_member_blind(self) -> None:
        """A late blind statement of an ended process does not count for the one after it."""
        self.state("second-2", 1.0)
        self.state("second-1", 1.1, reaches_store=False)
        now = 1.0 + AUTHORITY_SECONDS
        self.assertEqual(self.authority.basis_at(now), Basis.NONE)


if __name__ == "__main__":
    unittest.main()

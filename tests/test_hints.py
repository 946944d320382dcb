"""Tests of the tracking of active nodes."""

import unittest

from snowdock.node.hints import Hints
from snowdock.state import Member, MemberState

MEMBERS = {name: Member(name, "i", "h", "", "") for name in ("a", "b", "c")}


class TestHints(unittest.TestCase):
    def setUp(self) -> None:
        self.reaches_log = True
        self.hints = Hints("a", 60.0, lambda: self.reaches_log)
        for name in ("b", "c"):
            self.hints.hear(name, True)
        self.hints.refresh(MEMBERS)

    def test_silent_and_draining_members_do_not_act(self) -> None:
        """Only members with a recent heartbeat that are not draining are active."""
        members = {**MEMBERS, "d": Member("d", "i", "h", "", "")}
        members["b"] = Member("b", "i", "h", "", "", MemberState.DRAINING)
        self.assertTrue(self.hints.refresh(members))
        self.assertEqual(self.hints.active, ("a", "c"))

    def test_a_node_without_the_log_lets_others_act(self) -> None:
        """A node that cannot reach the log is inactive, unless no node can."""
        self.reaches_log = False
        self.hints.refresh(MEMBERS)
        self.assertEqual(self.hints.active, ("b", "c"))
        for name in ("b", "c"):
            self.hints.hear(name, False)
        self.hints.refresh(MEMBERS)
        self.assertEqual(self.hints.active, ("a", "b", "c"))

    def test_nothing_changes_between_refreshes(self) -> None:
        """Ownership changes only in refresh; otherwise a work could be left without an owner."""
        things = [f"work/{n}" for n in range(50)]
        before = [self.hints.is_own(thing) for thing in things]
        self.reaches_log = False
        self.assertEqual([self.hints.is_own(thing) for thing in things], before)
        self.assertTrue(self.hints.refresh(MEMBERS))
        self.assertFalse(any(self.hints.is_own(thing) for thing in things))
        self.assertFalse(self.hints.refresh(MEMBERS))

"""Tests of the tracking of active nodes."""

import unittest

from snowdock.node.active_nodes import ActiveNodes
from snowdock.state import Member, MemberState

MEMBERS = {name: Member(name, "i", "h", "", "") for name in ("a", "b", "c")}


class TestActiveNodes(unittest.TestCase):
    def setUp(self) -> None:
        self.reaches_log = True
        self.active_nodes = ActiveNodes("a", 60.0, lambda: self.reaches_log)
        for name in ("b", "c"):
            self.active_nodes.record_heartbeat(name, True)
        self.active_nodes.refresh(MEMBERS)

    def test_unresponsive_and_draining_members_are_inactive(self) -> None:
        """Only members with a recent heartbeat that are not draining are active."""
        members = {**MEMBERS, "d": Member("d", "i", "h", "", "")}
        members["b"] = Member("b", "i", "h", "", "", MemberState.DRAINING)
        self.assertTrue(self.active_nodes.refresh(members))
        self.assertEqual(self.active_nodes.active, ("a", "c"))

    def test_node_without_the_log_is_inactive(self) -> None:
        """A node that cannot reach the log is inactive, unless no node can."""
        self.reaches_log = False
        self.active_nodes.refresh(MEMBERS)
        self.assertEqual(self.active_nodes.active, ("b", "c"))
        for name in ("b", "c"):
            self.active_nodes.record_heartbeat(name, False)
        self.active_nodes.refresh(MEMBERS)
        self.assertEqual(self.active_nodes.active, ("a", "b", "c"))

    def test_nothing_changes_between_refreshes(self) -> None:
        """Ownership changes only in refresh; otherwise a work could be left without an owner."""
        keys = [f"work/{n}" for n in range(50)]
        before = [self.active_nodes.owns(key) for key in keys]
        self.reaches_log = False
        self.assertEqual([self.active_nodes.owns(key) for key in keys], before)
        self.assertTrue(self.active_nodes.refresh(MEMBERS))
        self.assertFalse(any(self.active_nodes.owns(key) for key in keys))
        self.assertFalse(self.active_nodes.refresh(MEMBERS))

"""Tests of a node's connections to its peers when its leadership ends."""

import unittest
from unittest import mock

from snowdock.entry.daemon import EntryNode
from snowdock.entry.leader_record import LeaderRecord, NodeIdentity


class TestLinksOfDeposedLeader(unittest.TestCase):
    def test_successor_is_known_before_the_leader_has_stopped(self) -> None:
        """The node stays connected to a successor that it learns of while its leader stops.

        The leader's own thread stops it, while the election's thread reads the successor's record.
        """
        node = EntryNode.__new__(EntryNode)
        node._identity = NodeIdentity("a", "a-1", "127.0.0.1:1")
        node._peers = mock.Mock()
        node._election = mock.Mock()
        node._leadership = mock.Mock()
        successor = LeaderRecord("b", "b-1", "127.0.0.1:2", 7)
        node._election.leader = successor

        def follow_successor(_: str) -> None:
            node._connect_to_leader(successor)

        node._leadership.depose.side_effect = follow_successor
        node._handle_deposition("a worker has seen a higher token")
        links = node._peers.set_addresses.call_args.args[0]
        self.assertEqual(links, {successor.node: successor.address})


if __name__ == "__main__":
    unittest.main()

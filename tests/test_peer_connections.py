"""Tests of the peers that a node connects to as the leadership changes."""

import threading
import types
import unittest
from unittest import mock

from snowdock.entry.daemon import EntryNode
from snowdock.entry.leader_record import LeaderRecord
from snowdock.entry.peer_directory import PeerDirectory
from tests.test_successors import make_heartbeat

OWN = LeaderRecord("node", "1", "10.0.0.1:7000", 5)
OTHER = LeaderRecord("other", "2", "10.0.0.2:7000", 6)


class TestConnections(unittest.TestCase):
    def setUp(self) -> None:
        self.node = EntryNode.__new__(EntryNode)
        self.node._identity = types.SimpleNamespace(node=OWN.node)
        self.node._peer_directory = PeerDirectory()
        self.node._peers = mock.Mock()
        self.node._leadership = mock.Mock()
        self.node._connect_lock = threading.Lock()

    def set_election(self, own_epoch: int, leader: LeaderRecord | None) -> None:
        self.node._election = types.SimpleNamespace(own_epoch=own_epoch, leader=leader)

    @property
    def addresses(self) -> dict[str, str]:
        """The addresses that were set last."""
        return self.node._peers.set_addresses.call_args.args[0]

    def test_late_start_of_a_deposed_leader_keeps_the_link_to_the_next(self) -> None:
        """A node that no longer leads stays connected to the leader, though not heard of yet."""
        self.set_election(0, OTHER)
        self.node._connect_peers()
        self.assertEqual(self.addresses, {OTHER.node: OTHER.address})

    def test_leader_connects_to_all_known_peers(self) -> None:
        """A leader is connected to the peers that it has heard of."""
        heartbeat = make_heartbeat("third")
        self.node._peer_directory.record_heartbeat(heartbeat)
        self.set_election(OWN.epoch, OWN)
        self.node._connect_peers()
        self.assertEqual(self.addresses, {"third": heartbeat.address})

    def test_deposed_leader_without_a_successor_drops_its_links(self) -> None:
        """A node that was deposed and knows no other leader has no links."""
        self.set_election(0, OWN)
        self.node._handle_deposition("another node has claimed the leadership")
        self.assertEqual(self.addresses, {})


if __name__ == "__main__":
    unittest.main()

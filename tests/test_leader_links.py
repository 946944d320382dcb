"""Tests of the connections that a node keeps to its peers."""

import types
import unittest
from unittest import mock

from snowdock.entry.daemon import EntryNode
from snowdock.entry.leader_links import LeaderLinks
from snowdock.entry.leader_record import LeaderRecord
from snowdock.entry.load_view import LoadView
from snowdock.jobs.load_summary import LoadSummary

PEERS = {"node-2": "10.0.0.2:7400", "node-3": "10.0.0.3:7400"}


class TestLeaderLinks(unittest.TestCase):
    def setUp(self) -> None:
        self.election = types.SimpleNamespace(own_epoch=0, leader=None)
        directory = types.SimpleNamespace(addresses=lambda: dict(PEERS))
        self.connected: list[dict[str, str]] = []
        self.links = LeaderLinks("node-1", self.election, directory, self.connected.append)

    def lead(self, node: str, epoch: int) -> None:
        self.election.leader = LeaderRecord(node, "1", PEERS.get(node, "10.0.0.1:7400"), epoch)
        self.election.own_epoch = epoch if node == "node-1" else 0

    def test_leader_is_connected_to_all_peers(self) -> None:
        """A leader has a link to each known peer."""
        self.lead("node-1", 4)
        self.links.update()
        self.assertEqual(self.connected, [PEERS])

    def test_late_deposition_closes_link_to_the_new_leader(self) -> None:
        """A deposition that is handled after the change of leader keeps the link to the leader."""
        self.lead("node-1", 4)
        self.lead("node-2", 9)
        for _ in ("the change of leader", "the deposition"):
            self.links.update()
        self.assertEqual(self.connected[-1], {"node-2": PEERS["node-2"]})

    def test_late_start_of_a_deposed_leader_closes_link_to_the_next(self) -> None:
        """A node that no longer leads stays connected to the leader, though not heard of yet."""
        self.lead("node-4", 9)
        self.links.update()
        self.assertEqual(list(self.connected[-1]), ["node-4"])

    def test_deposed_leader_without_a_successor_has_no_links(self) -> None:
        """Until another leader is known, all links are closed."""
        self.lead("node-1", 4)
        self.election.own_epoch = 0
        self.links.update()
        self.assertEqual(self.connected, [{}])


class TestLeadershipChanges(unittest.TestCase):
    """The order in which a node's threads handle the beginning and the end of its leadership."""

    def setUp(self) -> None:
        self.node = EntryNode.__new__(EntryNode)
        self.node._election = mock.Mock(own_epoch=0, leader=None)
        self.node._leadership = mock.Mock()
        self.node._load_view = LoadView()
        self.set_addresses = mock.Mock()
        directory = mock.Mock(addresses=lambda: dict(PEERS))
        self.node._links = LeaderLinks("node-1", self.node._election, directory, self.set_addresses)

    def test_successor_is_known_before_the_leader_has_stopped(self) -> None:
        """The node stays connected to a successor that it learns of while its leader stops."""

        def follow_successor(_: str) -> None:
            self.node._election.leader = LeaderRecord("node-2", "1", PEERS["node-2"], 9)
            self.node._links.update()

        self.node._leadership.depose.side_effect = follow_successor
        self.node._handle_deposition("a worker has seen a higher token")
        self.assertEqual(self.set_addresses.call_args.args[0], {"node-2": PEERS["node-2"]})

    def test_new_leader_is_connected_before_its_leader_starts(self) -> None:
        """A leader whose start takes long sends heartbeats meanwhile."""
        self.node._election.own_epoch = 5
        connected = []
        self.node._leadership.begin.side_effect = lambda epoch: connected.extend(
            call.args[0] for call in self.set_addresses.call_args_list
        )
        self.node._handle_election(5)
        self.assertEqual(connected, [PEERS])

    def test_load_of_an_earlier_leader_is_dropped(self) -> None:
        """Guards against decisions by an earlier leader's load, whoever leads next."""
        record = LeaderRecord("node-2", "1", PEERS["node-2"], 6)
        for follow in (
            lambda: self.node._handle_election(5),
            lambda: self.node._handle_new_leader(record),
        ):
            epoch = self.node._load_view._epoch
            self.node._load_view.publish(LoadSummary(epoch=epoch, made_at=1.0))
            self.assertIsNotNone(self.node._load_view.read())
            follow()
            self.assertIsNone(self.node._load_view.read())


if __name__ == "__main__":
    unittest.main()

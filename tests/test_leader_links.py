"""Tests of the connections that a node keeps to its peers."""

import types
import unittest

from snowdock.entry.leader_links import LeaderLinks
from snowdock.entry.leader_record import LeaderRecord

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

    def test_deposed_leader_without_a_successor_has_no_links(self) -> None:
        """Until another leader is known, all links are closed."""
        self.lead("node-1", 4)
        self.election.own_epoch = 0
        self.links.update()
        self.assertEqual(self.connected, [{}])


if __name__ == "__main__":
    unittest.main()

"""Tests that no proof of a run's end holds while the run may still start or go on."""

import types
import unittest

from snowdock.entry.leadership import Leadership
from snowdock.node.metrics import Metrics
from tests.standins.entry_cluster import wait_until


class TestEpochs(unittest.TestCase):
    """A leader's epoch is its token and its producer epoch, so that each leader needs its own."""

    def setUp(self) -> None:
        self.contexts: list[int] = []
        self.step_downs: list[str] = []
        self.election = types.SimpleNamespace(own_epoch=0, turnover=0, step_down=self.step_down)
        self.leadership = Leadership(self.election, object, self.make_context, Metrics())
        self.leadership.start()

    def step_down(self, reason: str) -> None:
        self.election.own_epoch = 0
        self.step_downs.append(reason)

    def make_context(self, epoch: int) -> object:
        self.contexts.append(epoch)
        self.election.own_epoch = 0
        return types.SimpleNamespace()

    def elect(self, epoch: int) -> None:
        self.election.own_epoch = epoch
        self.leadership.begin(epoch)

    def test_second_leader_in_the_same_epoch(self) -> None:
        """An epoch that this node reads back as its own starts no second leader."""
        self.elect(7)
        self.assertTrue(wait_until(lambda: self.contexts == [7]))
        self.elect(7)
        self.assertEqual(len(self.step_downs), 1)
        self.elect(9)
        self.assertTrue(wait_until(lambda: len(self.contexts) > 1))
        self.assertEqual(self.contexts, [7, 9])


if __name__ == "__main__":
    unittest.main()

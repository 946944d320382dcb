"""Tests of distributing questions to the advice service over nodes that may not answer."""

import queue
import threading
import unittest

from snowdock.entry.advisers import Advisers
from snowdock.entry.messages import AdviceReply
from snowdock.errors import CallUnanswered
from snowdock.jobs.events import AdviceAnswered, AdviceFailed, AskAdvice
from snowdock.jobs.orders import AdviceGiven, AdviceWanted
from snowdock.node.metrics import Metrics

WANTED = AdviceWanted("0123456789abcdef", 0, 0, ("w1", "w2"))
TICKETS = {"w1": "t"}


class ScriptedNodes:
    """Stand-in for the local client and the peers; each answers when the test releases it."""

    def __init__(self) -> None:
        self.asked: queue.SimpleQueue[str] = queue.SimpleQueue()
        self.held = {"own": threading.Event(), "peer": threading.Event()}
        self.fails = False

    def ask_own(self, wanted: AdviceWanted, seconds: float) -> AdviceGiven:
        return AdviceGiven(wanted, self._answer("own"))

    def ask_peer(self, node: str, make, seconds: float) -> AdviceReply:
        return AdviceReply(1, self._answer(node))

    def _answer(self, node: str) -> dict[str, str]:
        self.asked.put(node)
        self.held[node].wait(20.0)
        if self.fails:
            raise CallUnanswered("no answer", False)
        return TICKETS


class TestAdvisers(unittest.TestCase):
    def setUp(self) -> None:
        self.nodes = ScriptedNodes()
        self.told: queue.SimpleQueue = queue.SimpleQueue()
        local = type("Local", (), {"ask": staticmethod(self.nodes.ask_own)})
        peers = type("Peers", (), {"ask": staticmethod(self.nodes.ask_peer)})
        self.advisers = Advisers("own", local, peers, lambda: ["peer"], self.told.put, Metrics())
        self.addCleanup(self.advisers.stop)
        self.addCleanup(lambda: [each.set() for each in self.nodes.held.values()])

    def ask(self) -> tuple[str, str]:
        """Ask a question that no node answers yet; return the first and the second node asked."""
        self.advisers.ask(AskAdvice(WANTED, 1.0))
        return self.nodes.asked.get(timeout=15), self.nodes.asked.get(timeout=15)

    def assert_quiet(self) -> None:
        with self.assertRaises(queue.Empty):
            self.told.get(timeout=0.3)

    def test_question_without_an_answer_is_asked_elsewhere(self) -> None:
        """The second node's answer is posted, and the later one of the first node is ignored."""
        first, second = self.ask()
        self.assertNotEqual(first, second)
        self.nodes.held[second].set()
        self.assertEqual(self.told.get(timeout=15), AdviceAnswered(AdviceGiven(WANTED, TICKETS)))
        self.nodes.held[first].set()
        self.assert_quiet()

    def test_late_answer_counts_where_it_is_the_first(self) -> None:
        """The first node's late answer is posted if the second node has not answered yet."""
        first, _ = self.ask()
        self.nodes.held[first].set()
        self.assertIsInstance(self.told.get(timeout=15), AdviceAnswered)

    def test_failure_is_told_once_when_nobody_answers(self) -> None:
        """A failure is posted once, after all attempts have failed."""
        first, second = self.ask()
        self.nodes.fails = True
        self.nodes.held[second].set()
        self.assert_quiet()
        self.nodes.held[first].set()
        self.assertEqual(self.told.get(timeout=15), AdviceFailed(WANTED))
        self.assert_quiet()

    def test_answered_question_is_asked_once(self) -> None:
        """A question that is answered in time is not sent to a second node."""
        for held in self.nodes.held.values():
            held.set()
        self.advisers.ask(AskAdvice(WANTED, 1.0))
        self.assertIsInstance(self.told.get(timeout=15), AdviceAnswered)
        self.nodes.asked.get(timeout=15)
        with self.assertRaises(queue.Empty):
            self.nodes.asked.get(timeout=0.5)


if __name__ == "__main__":
    unittest.main()

"""Tests of spreading questions to the advice service over nodes, some of which do not answer."""

import queue
import threading
import unittest

from snowdock.entry.advice_dispatcher import AdviceDispatcher
from snowdock.entry.messages import AdviceReply
from snowdock.errors import CallUnanswered
from snowdock.jobs.events import AdviceAnswered, AdviceFailed, AskAdvice
from snowdock.jobs.orders import AdviceRequest, AdviceResult
from snowdock.node.metrics import Metrics

WANTED = AdviceRequest("0123456789abcdef", 0, 0, ("w1", "w2"))
TICKETS = {"w1": "t"}


class ScriptedNodes:
    """Stands for this node's own adviser and its peers; each waits as the test says."""

    def __init__(self) -> None:
        self.asked: queue.SimpleQueue[str] = queue.SimpleQueue()
        self.release_events = {"own": threading.Event(), "peer": threading.Event()}
        self.fails = False

    def ask_own(self, wanted: AdviceRequest, seconds: float) -> AdviceResult:
        return AdviceResult(wanted, self._answer("own"))

    def ask_peer(self, node: str, make, seconds: float) -> AdviceReply:
        return AdviceReply(1, self._answer(node))

    def _answer(self, node: str) -> dict[str, str]:
        self.asked.put(node)
        self.release_events[node].wait(20.0)
        if self.fails:
            raise CallUnanswered("no answer", False)
        return TICKETS


class TestAdviceDispatcher(unittest.TestCase):
    def setUp(self) -> None:
        self.nodes = ScriptedNodes()
        self.events: queue.SimpleQueue = queue.SimpleQueue()
        local = type("Local", (), {"ask": staticmethod(self.nodes.ask_own)})
        peers = type("Peers", (), {"ask": staticmethod(self.nodes.ask_peer)})
        self.dispatcher = AdviceDispatcher(
            "own", local, peers, lambda: ["peer"], self.events.put, Metrics()
        )
        self.addCleanup(self.dispatcher.stop)
        self.addCleanup(lambda: [each.set() for each in self.nodes.release_events.values()])

    def ask_unanswered(self) -> tuple[str, str]:
        """Ask a question that the first node leaves unanswered; give both nodes asked."""
        self.dispatcher.ask(AskAdvice(WANTED, 1.0))
        return self.nodes.asked.get(timeout=15), self.nodes.asked.get(timeout=15)

    def assert_no_event(self) -> None:
        with self.assertRaises(queue.Empty):
            self.events.get(timeout=0.3)

    def test_late_question_is_asked_by_another_node(self) -> None:
        """Another node's answer counts, and the late one changes nothing."""
        first, second = self.ask_unanswered()
        self.assertNotEqual(first, second)
        self.nodes.release_events[second].set()
        self.assertEqual(self.events.get(timeout=15), AdviceAnswered(AdviceResult(WANTED, TICKETS)))
        self.nodes.release_events[first].set()
        self.assert_no_event()

    def test_first_node_may_still_answer_first(self) -> None:
        """The node asked first may still be quicker than the second."""
        first, _ = self.ask_unanswered()
        self.nodes.release_events[first].set()
        self.assertIsInstance(self.events.get(timeout=15), AdviceAnswered)

    def test_failure_is_reported_once_when_no_node_answers(self) -> None:
        """The question has failed once all nodes that asked it have had no answer."""
        first, second = self.ask_unanswered()
        self.nodes.fails = True
        self.nodes.release_events[second].set()
        self.assert_no_event()
        self.nodes.release_events[first].set()
        self.assertEqual(self.events.get(timeout=15), AdviceFailed(WANTED))
        self.assert_no_event()

    def test_answered_question_is_asked_once(self) -> None:
        """A node that answers in time is not doubted."""
        for held in self.nodes.release_events.values():
            held.set()
        self.dispatcher.ask(AskAdvice(WANTED, 1.0))
        self.assertIsInstance(self.events.get(timeout=15), AdviceAnswered)
        self.nodes.asked.get(timeout=15)
        with self.assertRaises(queue.Empty):
            self.nodes.asked.get(timeout=0.5)


if __name__ == "__main__":
    unittest.main()

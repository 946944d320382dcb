"""Tests of distributing requests to the advice service over nodes that may not answer."""

import itertools
import queue
import threading
import time
import unittest
from unittest import mock

from snowdock.entry import advice_dispatcher
from snowdock.entry.advice_dispatcher import AdviceDispatcher
from snowdock.entry.messages import AdviceReply
from snowdock.errors import CallUnanswered, StoreRefused
from snowdock.jobs.events import AdviceAnswered, AdviceFailed, AskAdvice
from snowdock.jobs.orders import AdviceRequest, AdviceResult
from snowdock.node.metrics import Metrics

REQUEST = AdviceRequest("0123456789abcdef", 0, 0, ("w1", "w2"))
TICKETS = {"w1": "t"}


class ScriptedNodes:
    """Stand-in for the local client and the peers; each answers when the test releases it."""

    def __init__(self) -> None:
        self.asked: queue.SimpleQueue[str] = queue.SimpleQueue()
        self.release_events = {"own": threading.Event(), "peer": threading.Event()}
        self.fails = False
        self.node_without_service = ""
        self.is_connected = True

    def ask_own(self, request: AdviceRequest, seconds: float) -> AdviceResult:
        if self.node_without_service == "own":
            self.asked.put("own")
            raise StoreRefused("the advice service returned status 429")
        return AdviceResult(request, self._answer("own"))

    def ask_peer(self, node: str, build_request, seconds: float, on_outcome) -> None:
        threading.Thread(target=self._report, args=(node, on_outcome), daemon=True).start()

    def _report(self, node: str, on_outcome) -> None:
        if not self.is_connected:
            self.asked.put(node)
            outcome = CallUnanswered(f"there is no connection to peer {node}", unsent=True)
        elif self.node_without_service == node:
            self.asked.put(node)
            outcome = AdviceReply(1, None)
        else:
            try:
                outcome = AdviceReply(1, self._answer(node))
            except CallUnanswered as error:
                outcome = error
        on_outcome(outcome)

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
        peers = type("Peers", (), {"request": staticmethod(self.nodes.ask_peer)})
        self.dispatcher = AdviceDispatcher(
            "own", local, peers, lambda: ["peer"], self.events.put, Metrics(), lambda seconds: None
        )
        self.addCleanup(self.dispatcher.stop)
        self.addCleanup(lambda: [each.set() for each in self.nodes.release_events.values()])

    def ask_unanswered(self) -> tuple[str, str]:
        """Send a request that no node answers yet; return the first and the second node asked."""
        self.dispatcher.ask(AskAdvice(REQUEST, 1.0))
        return self.nodes.asked.get(timeout=15), self.nodes.asked.get(timeout=15)

    def assert_no_event(self) -> None:
        with self.assertRaises(queue.Empty):
            self.events.get(timeout=0.3)

    def test_late_request_is_sent_by_another_node(self) -> None:
        """The second node's answer is posted, and the later one of the first node is ignored."""
        first, second = self.ask_unanswered()
        self.assertNotEqual(first, second)
        self.nodes.release_events[second].set()
        self.assertEqual(
            self.events.get(timeout=15), AdviceAnswered(AdviceResult(REQUEST, TICKETS))
        )
        self.nodes.release_events[first].set()
        self.assert_no_event()

    def test_first_node_may_still_answer_first(self) -> None:
        """The first node's late answer is posted if the second node has not answered yet."""
        first, _ = self.ask_unanswered()
        self.nodes.release_events[first].set()
        self.assertIsInstance(self.events.get(timeout=15), AdviceAnswered)

    def test_failure_is_reported_once_when_no_node_answers(self) -> None:
        """A failure is posted once, after all attempts have failed."""
        first, second = self.ask_unanswered()
        self.nodes.fails = True
        self.nodes.release_events[second].set()
        self.assert_no_event()
        self.nodes.release_events[first].set()
        self.assertEqual(self.events.get(timeout=15), AdviceFailed(REQUEST))
        self.assert_no_event()

    def test_answered_request_is_sent_once(self) -> None:
        """A request that is answered in time is not sent to a second node."""
        for release_event in self.nodes.release_events.values():
            release_event.set()
        self.dispatcher.ask(AskAdvice(REQUEST, 1.0))
        self.assertIsInstance(self.events.get(timeout=15), AdviceAnswered)
        self.nodes.asked.get(timeout=15)
        with self.assertRaises(queue.Empty):
            self.nodes.asked.get(timeout=0.5)

    @mock.patch.object(advice_dispatcher, "_UNREACHABLE_NODE_SECONDS", 60.0)
    def test_node_without_a_connection_takes_all_requests(self) -> None:
        """A node that cannot be asked gets no request for a while after it failed at once."""
        self.nodes.is_connected = False
        requests = [AdviceRequest(f"{number:016x}", 0, 0, ("w1",)) for number in range(5)]
        self.dispatcher.ask(AskAdvice(requests[0], 60_000.0))
        self.assertEqual(self.nodes.asked.get(timeout=15), "own")
        self.dispatcher.ask(AskAdvice(requests[1], 1.0))
        self.assertEqual(self.events.get(timeout=15), AdviceFailed(requests[1]))
        for request in requests[2:]:
            self.dispatcher.ask(AskAdvice(request, 1.0))
        self.nodes.release_events["own"].set()
        answered = [self.events.get(timeout=15) for _ in range(4)]
        self.assertTrue(all(isinstance(event, AdviceAnswered) for event in answered))

    @mock.patch.object(advice_dispatcher, "_FAILED_CALL_PAUSE_SECONDS", 60.0)
    @mock.patch.object(advice_dispatcher, "_HEDGE_DELAY_SECONDS", 60.0)
    def test_node_that_fails_at_once_takes_all_requests(self) -> None:
        """Requests that a node's advice service fails at once are sent by another node."""
        # An answer that is late because the machine is busy is not lost.
        self.dispatcher._loss_timeout = mock.Mock(limit_s=60.0)
        for node, other in (("own", "peer"), ("peer", "own")):
            with self.subTest(node=node):
                self.dispatcher._unavailable_until.clear()
                self.nodes.node_without_service = node
                self.nodes.release_events[other].set()
                requests = [AdviceRequest(f"{number:016x}", 0, 0, ()) for number in range(6)]
                for request in requests:
                    self.dispatcher.ask(AskAdvice(request, 1.0))
                answered = [self.events.get(timeout=15) for _ in requests]
                self.assertTrue(all(isinstance(event, AdviceAnswered) for event in answered))

    def test_lost_answer_frees_its_node(self) -> None:
        """A node whose answer is lost is asked again in less than the 2.5 s of the service."""
        requests = [AdviceRequest(f"{number:016x}", 0, 0, ("w1",)) for number in range(2)]
        self.dispatcher.ask(AskAdvice(requests[0], 60_000.0))
        self.dispatcher.ask(AskAdvice(requests[1], 1.0))
        self.assertEqual([self.nodes.asked.get(timeout=15) for _ in range(2)], ["own", "peer"])
        self.assertEqual(self.nodes.asked.get(timeout=2.0), "peer")
        self.nodes.release_events["peer"].set()
        answered = AdviceAnswered(AdviceResult(requests[1], TICKETS))
        self.assertEqual(self.events.get(timeout=15), answered)
        self.assert_no_event()

    def test_pause_of_the_process_loses_no_answer(self) -> None:
        """After a pause, answers that have arrived are read before any is taken for lost."""
        self.dispatcher.ask(AskAdvice(REQUEST, 60_000.0))
        second = AdviceRequest("f" * 16, 0, 0, ())
        self.dispatcher.ask(AskAdvice(second, 50.0))
        self.assertEqual([self.nodes.asked.get(timeout=15) for _ in range(2)], ["own", "peer"])
        with mock.patch.object(advice_dispatcher, "steady_seconds") as clock:
            # Each check finds that 10 s have passed since the one before.
            clock.side_effect = itertools.count(time.clock_gettime(time.CLOCK_BOOTTIME), 10.0)
            time.sleep(0.5)
            self.assertIn("peer", self.dispatcher._in_progress)

    def test_request_is_queued_once(self) -> None:
        """A request that is to be sent again does not become late while it waits for a node."""
        pending = advice_dispatcher._PendingRequest(AskAdvice(REQUEST, 1.0), hedge_at=1.0)
        self.dispatcher._queue_first(pending)
        self.assertIsNone(pending.hedge_at)

    @mock.patch.object(advice_dispatcher, "_HEDGE_DELAY_SECONDS", 60.0)
    def test_request_lost_with_its_connection_is_sent_by_another_node(self) -> None:
        """A request whose connection was renewed is sent again at once, without a failure."""
        other = AdviceRequest("f" * 16, 0, 0, ())
        self.dispatcher.ask(AskAdvice(other, 60_000.0))
        self.dispatcher.ask(AskAdvice(REQUEST, 50.0))
        self.assertEqual([self.nodes.asked.get(timeout=15) for _ in range(2)], ["own", "peer"])
        self.nodes.release_events["own"].set()
        self.assertEqual(self.events.get(timeout=15).result.request, other)
        attempt = self.dispatcher._in_progress["peer"]
        self.dispatcher._handle_outcome(attempt, CallUnanswered("was renewed", unsent=False))
        self.assertEqual(self.nodes.asked.get(timeout=2.0), "own")
        answered = AdviceAnswered(AdviceResult(REQUEST, TICKETS))
        self.assertEqual(self.events.get(timeout=2.0), answered)

    @mock.patch.object(advice_dispatcher, "_HEDGE_DELAY_SECONDS", 60.0)
    def test_answer_to_a_request_that_was_sent_again_is_lost(self) -> None:
        """The answer to an earlier request about the same workers serves the later one too."""
        self.dispatcher._loss_timeout = mock.Mock(limit_s=60.0)
        self.dispatcher.ask(AskAdvice(REQUEST, 1.0))
        first = self.nodes.asked.get(timeout=15)
        self.dispatcher.drop(REQUEST)
        self.dispatcher.ask(AskAdvice(REQUEST, 1.0))
        second = self.nodes.asked.get(timeout=15)
        self.nodes.release_events[first].set()
        answered = AdviceAnswered(AdviceResult(REQUEST, TICKETS))
        self.assertEqual(self.events.get(timeout=2.0), answered)
        self.nodes.release_events[second].set()
        self.assert_no_event()

    @mock.patch.object(advice_dispatcher, "_HEDGE_DELAY_SECONDS", 60.0)
    def test_dropped_request_is_sent_to_no_node(self) -> None:
        """A request that is dropped before a node was free is neither sent nor reported."""
        requests = [AdviceRequest(f"{number:016x}", 0, 0, ()) for number in range(3)]
        for request in requests:
            self.dispatcher.ask(AskAdvice(request, 1.0))
        self.dispatcher.drop(requests[2])
        for release_event in self.nodes.release_events.values():
            release_event.set()
        answered = {self.events.get(timeout=15).result.request for _ in range(2)}
        self.assertEqual(answered, set(requests[:2]))
        self.assert_no_event()
        self.assertEqual(self.nodes.asked.qsize(), 2)

    def test_nodes_idle_beside_waiting_long_requests(self) -> None:
        """Long requests use all nodes, but leave one to short requests while there are some."""
        requests = [AdviceRequest(f"{number:016x}", 0, 0, ()) for number in range(3)]
        self.nodes.release_events["peer"].set()
        self.dispatcher.ask(AskAdvice(requests[0], 1.0))
        self.nodes.asked.get(timeout=15)
        self.nodes.release_events["own"].set()
        self.assertIsInstance(self.events.get(timeout=15), AdviceAnswered)
        for release_event in self.nodes.release_events.values():
            release_event.clear()
        for request in requests[1:]:
            self.dispatcher.ask(AskAdvice(request, 60_000.0))
        first = self.nodes.asked.get(timeout=15)
        self.assertTrue(self.nodes.asked.empty())
        second = self.nodes.asked.get(timeout=15)
        self.assertEqual({first, second}, {"own", "peer"})

    def test_node_that_lost_answers_is_used_last(self) -> None:
        """Of several idle nodes, one whose answers were lost is not chosen."""
        self.dispatcher._losses["own"] = 1
        self.assertEqual(self.dispatcher._find_idle(["peer", "own"], 0.0), ["own", "peer"])

    def test_relayed_requests_have_no_threads(self) -> None:
        """Requests that wait for the answers of many nodes block no thread each."""
        nodes = [f"n{number}" for number in range(90)]
        sent: list[str] = []
        peers = type("P", (), {"request": staticmethod(lambda node, *rest: sent.append(node))})
        local = type("Local", (), {"ask": staticmethod(self.nodes.ask_own)})
        dispatcher = AdviceDispatcher(
            "own", local, peers, lambda: nodes, self.events.put, Metrics(), mock.Mock()
        )
        self.addCleanup(dispatcher.stop)
        before = threading.active_count()
        for number in range(91):
            dispatcher.ask(AskAdvice(AdviceRequest(f"{number:016x}", 0, 0, ()), 50.0))
        self.assertEqual(sorted(sent), sorted(nodes))
        self.assertLessEqual(threading.active_count(), before + 1)


if __name__ == "__main__":
    unittest.main()

"""Tests of requests that a node forwards to a peer."""

import types
import unittest

from snowdock.declarations import Endpoint
from snowdock.errors import CallUnanswered, PlatformError
from snowdock.node.messages import AcquireSlot, SlotAtPeer, SlotRefused
from snowdock.node.metrics import Metrics
from snowdock.node.peer_messages import (
    CallOutcome,
    CallRequest,
    ForwardedCallRequest,
    ForwardedCallResponse,
)
from snowdock.node.requests import RequestHandler
from snowdock.request_ids import new_request_id

BUSY = SlotRefused("no slot is idle", 2.5)


def make_request(repeatable: bool = True) -> CallRequest:
    return CallRequest(new_request_id(), "e", "GET", "/", {}, b"", 1000, 0, repeatable)


class TestUnansweredPeers(unittest.TestCase):
    """A node without an idle slot whose peer has one."""

    def setUp(self) -> None:
        self.slots = [SlotAtPeer("other"), BUSY]
        self.acquired: list[AcquireSlot] = []
        # The endpoint, and then no earlier record of the request.
        answers = iter((Endpoint("minions"), None))
        context = types.SimpleNamespace(
            settings=types.SimpleNamespace(node=types.SimpleNamespace(threads=8, name="n")),
            state=types.SimpleNamespace(ask=lambda query: next(answers)),
            router=types.SimpleNamespace(tell=self.answer_slot),
        )
        self.handler = RequestHandler(context, None, Metrics())

    def answer_slot(self, message: AcquireSlot) -> None:
        self.acquired.append(message)
        message.result.set(self.slots.pop(0))

    def call(self, error: Exception, repeatable: bool) -> CallOutcome:
        def fail(*_: object) -> None:
            raise error

        self.handler.set_peers(types.SimpleNamespace(ask=fail))
        return self.handler.handle(make_request(repeatable))

    def test_unsent_request_is_reported_as_unknown(self) -> None:
        """A request that was not sent to a peer did not run, and may be repeated after a delay."""
        for repeatable in (False, True):
            with self.subTest(repeatable=repeatable):
                self.setUp()
                error = CallUnanswered("there is no open connection to peer other", unsent=True)
                outcome = self.call(error, repeatable)
                self.assertEqual((outcome.outcome, outcome.status), ("not_run", 503))
                self.assertEqual(outcome.retry_after_seconds, BUSY.retry_after_seconds)
                self.assertEqual(self.slots, [], "a slot of this node may have become idle")

    def test_request_refused_by_a_draining_peer_is_refused_here(self) -> None:
        """A request that a peer refuses may wait here; one that a peer forwarded may not."""
        refused = CallOutcome("not_run", 503, reason="the node is draining")
        response = ForwardedCallResponse(1, refused)
        self.handler.set_peers(types.SimpleNamespace(ask=lambda *_: response))
        self.handler.handle(make_request())
        self.assertEqual([each.may_wait for each in self.acquired], [True, True])
        self.assertEqual([each.may_forward for each in self.acquired], [True, False])
        self.setUp()
        self.slots = [BUSY]
        self.handler.answer_peer(ForwardedCallRequest(1, make_request()))
        self.assertEqual([each.may_wait for each in self.acquired], [False])

    def test_unanswered_request_is_unknown(self) -> None:
        """A request that a peer may have received may have run."""
        for error in (
            CallUnanswered("the connection to peer other was closed", unsent=False),
            PlatformError("peer other did not answer"),
        ):
            for repeatable in (False, True):
                with self.subTest(error=error, repeatable=repeatable):
                    self.setUp()
                    outcome = self.call(error, repeatable)
                    self.assertEqual((outcome.outcome, outcome.status), ("unknown", 504))


if __name__ == "__main__":
    unittest.main()

"""Tests of how slots are handed out to waiting requests."""

import unittest

import pykka

from snowdock.clocks import steady_seconds
from snowdock.decisions.shares import MinionView
from snowdock.node.context import NodeContext
from snowdock.node.messages import (
    AcquireSlot,
    MinionsChanged,
    SlotGranted,
    SlotRefused,
    SlotReleased,
)
from snowdock.node.router import Router
from snowdock.settings import NodeSettings, PlatformSettings, Settings

RESULT_TIMEOUT_SECONDS = 10
LONG_DEADLINE_SECONDS, SHORT_DEADLINE_SECONDS = 600.0, 0.06
SETTINGS = Settings(
    NodeSettings("n", "h", "127.0.0.1:0", "127.0.0.1:0"),
    PlatformSettings("http://127.0.0.1:1", "http://127.0.0.1:1"),
)


class TestRouter(unittest.TestCase):
    """One minion with one slot, which is this node's."""

    def setUp(self) -> None:
        self.router = Router.start(NodeContext(SETTINGS, "i"))
        self.addCleanup(self.router.stop)
        minion = MinionView("m", "g", "h", "http://m", 1, 1, 0, True)
        self.router.ask(MinionsChanged((minion,), True))

    def acquire(self, seconds: float, priority: int = 50, **fields) -> pykka.Future:
        result = pykka.ThreadingFuture()
        request = AcquireSlot(
            group="g",
            queue_limit=fields.get("queue_limit", 10),
            priority=priority,
            deadline=steady_seconds() + seconds,
            excluded=fields.get("excluded", frozenset()),
            may_lend=False,
            may_wait=True,
            slot=result,
        )
        self.router.ask(request)
        return result

    def wait_for_result(self, result: pykka.Future):
        return result.get(timeout=RESULT_TIMEOUT_SECONDS)

    def release(self) -> None:
        self.router.ask(SlotReleased("m", False, 0.05))

    def test_request_that_cannot_meet_its_deadline_is_refused(self) -> None:
        """A request whose deadline the queue would outlast does not join it (bench.overload)."""
        self.assertIsInstance(
            self.wait_for_result(self.acquire(LONG_DEADLINE_SECONDS)), SlotGranted
        )
        refused = self.wait_for_result(self.acquire(SHORT_DEADLINE_SECONDS))
        self.assertIsInstance(refused, SlotRefused)
        self.assertEqual(refused.reason, "the queue is too long")
        self.assertGreater(refused.retry_after_seconds, 0)

    def test_higher_priority_is_served_first(self) -> None:
        """A freed slot goes to the highest priority, then to the earliest asker."""
        self.wait_for_result(self.acquire(LONG_DEADLINE_SECONDS))
        first, second = self.acquire(LONG_DEADLINE_SECONDS), self.acquire(LONG_DEADLINE_SECONDS)
        urgent = self.acquire(LONG_DEADLINE_SECONDS, priority=90)
        for slot in (urgent, first, second):
            self.release()
            self.assertIsInstance(self.wait_for_result(slot), SlotGranted)

    def test_full_queue_refuses_requests(self) -> None:
        """The queue's bound is kept."""
        self.wait_for_result(self.acquire(LONG_DEADLINE_SECONDS))
        self.acquire(LONG_DEADLINE_SECONDS, queue_limit=1)
        self.assertIsInstance(
            self.wait_for_result(self.acquire(LONG_DEADLINE_SECONDS, queue_limit=1)), SlotRefused
        )

    def test_request_that_excludes_all_minions_is_refused(self) -> None:
        """A request that tried all minions gets its final answer at once."""
        refused = self.wait_for_result(
            self.acquire(LONG_DEADLINE_SECONDS, excluded=frozenset(["m"]))
        )
        self.assertEqual(refused.reason, "no other minion is left")

"""Tests of the assignment of slots to requests."""

import unittest

import pykka

from snowdock.clocks import steady_seconds
from snowdock.decisions.shares import MinionView
from snowdock.node.messages import Acquire, Granted, MinionsChanged, Refused, Released
from snowdock.node.parts import Parts
from snowdock.node.router import Router
from snowdock.settings import NodeSettings, PlatformSettings, Settings

ANSWER_SECONDS = 10
LONG, SHORT = 600.0, 0.06
SETTINGS = Settings(
    NodeSettings("n", "h", "127.0.0.1:0", "127.0.0.1:0"),
    PlatformSettings("http://127.0.0.1:1", "http://127.0.0.1:1"),
)


class TestRouter(unittest.TestCase):
    """One minion with one slot, which belongs to this node."""

    def setUp(self) -> None:
        self.router = Router.start(Parts(SETTINGS, "i"))
        self.addCleanup(self.router.stop)
        minion = MinionView("m", "g", "h", "http://m", 1, 1, 0, True)
        self.router.ask(MinionsChanged((minion,), True))

    def acquire(self, seconds: float, priority: int = 50, **fields) -> pykka.Future:
        slot = pykka.ThreadingFuture()
        asked = Acquire(
            group="g",
            queue_limit=fields.get("queue_limit", 10),
            priority=priority,
            deadline=steady_seconds() + seconds,
            excluded=fields.get("excluded", frozenset()),
            may_lend=False,
            may_wait=True,
            slot=slot,
        )
        self.router.ask(asked)
        return slot

    def get(self, slot: pykka.Future):
        return slot.get(timeout=ANSWER_SECONDS)

    def release(self) -> None:
        self.router.ask(Released("m", False, 0.05))

    def test_who_cannot_be_served_in_time_is_refused_at_once(self) -> None:
        """A request that would wait beyond its deadline is rejected instead of queued."""
        self.assertIsInstance(self.get(self.acquire(LONG)), Granted)
        refused = self.get(self.acquire(SHORT))
        self.assertIsInstance(refused, Refused)
        self.assertEqual(refused.reason, "the queue is too long")
        self.assertGreater(refused.retry_after_seconds, 0)

    def test_priority_goes_before_order(self) -> None:
        """A free slot goes to the request with the highest priority, then to the earliest."""
        self.get(self.acquire(LONG))
        first, second = self.acquire(LONG), self.acquire(LONG)
        urgent = self.acquire(LONG, priority=90)
        for slot in (urgent, first, second):
            self.release()
            self.assertIsInstance(self.get(slot), Granted)

    def test_a_full_queue_refuses(self) -> None:
        """A request is rejected when the queue is at its limit."""
        self.get(self.acquire(LONG))
        self.acquire(LONG, queue_limit=1)
        self.assertIsInstance(self.get(self.acquire(LONG, queue_limit=1)), Refused)

    def test_no_waiting_where_every_minion_was_tried(self) -> None:
        """A request that has tried all minions is rejected at once."""
        refused = self.get(self.acquire(LONG, excluded=frozenset(["m"])))
        self.assertEqual(refused.reason, "no other minion is left")

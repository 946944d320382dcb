"""Tests that timeouts count the time in which a VM is suspended.

Each test advances the clock that includes suspended time, but not `time.CLOCK_MONOTONIC`.
"""

import queue
import time
import types
import unittest
import unittest.mock

from snowdock.clocks import steady_seconds
from snowdock.entry.configurations import Configurations
from snowdock.entry.intake import _LEAST_SECONDS, _seconds_left
from snowdock.entry.leader_handle import LeaderHandle
from snowdock.entry.leader_queries import LeaderQueries
from snowdock.entry.leader_signs import LeaderSigns
from snowdock.entry.messages import Beat
from snowdock.entry.renewals import Renewals
from snowdock.entry.statuses import StatusBook
from snowdock.errors import CallUnanswered
from snowdock.platform.call_loop import CallLoop
from snowdock.platform.http_channel import Channel
from tests.standins.swallower import Swallower

ASLEEP = 9.0


class Suspension(unittest.TestCase):
    def setUp(self) -> None:
        self.asleep = 0.0
        leaping = types.SimpleNamespace(clock_gettime=self._read)
        self.enterContext(unittest.mock.patch("snowdock.clocks.time", leaping))

    def _read(self, clock: int) -> float:
        # Only the clock that includes suspended time is advanced.
        return time.clock_gettime(clock) + self.asleep * (clock != time.CLOCK_MONOTONIC)

    def suspend(self) -> None:
        self.asleep += ASLEEP


class TestSuspension(Suspension):
    def test_clock(self) -> None:
        """The steady clock includes suspended time."""
        before = steady_seconds()
        self.suspend()
        self.assertGreaterEqual(steady_seconds() - before, ASLEEP)

    def test_leadership(self) -> None:
        """The age of a leader's renewal includes suspended time."""
        renewals = Renewals()
        renewals.begin()
        self.suspend()
        self.assertGreaterEqual(renewals.age_s, ASLEEP)

    def test_keys_and_configuration(self) -> None:
        """The age of the configuration includes suspended time."""
        configurations = Configurations(None, lambda *_: None, lambda _: None)
        configurations._tail._read_at = steady_seconds()
        self.assertLess(configurations.age_s, 1.0)
        self.suspend()
        self.assertGreaterEqual(configurations.age_s, ASLEEP)

    def test_jobs_that_are_unknown(self) -> None:
        """An unknown job is uncertain after a suspension, since it may have been accepted."""
        context = types.SimpleNamespace(store=types.SimpleNamespace(), parts=2)
        handle = LeaderHandle(context, None, StatusBook())
        for tail in handle._jobs:
            tail._read_at = steady_seconds()
        leadership = types.SimpleNamespace(handle=handle)
        election = types.SimpleNamespace(renewed_s=0.1)
        queries = LeaderQueries("n", election, leadership, None)
        self.assertEqual(queries.own_status("0" * 16), (None, True))
        self.suspend()
        self.assertEqual(queries.own_status("0" * 16), (None, False))

    def test_followers(self) -> None:
        """A follower counts the leader's heartbeat as missed after a suspension."""
        signs = LeaderSigns()
        signs.expect()
        signs.hear(Beat("n", "a:1", 1, 0.1))
        self.assertFalse(signs.has_missed_a_beat)
        self.suspend()
        self.assertTrue(signs.has_missed_a_beat)

    def test_callers(self) -> None:
        """A request whose deadline passed during a suspension has the least time left."""
        environ = {"HTTP_X_DEADLINE_MS": "3000"}
        began = steady_seconds()
        self.assertGreater(_seconds_left(environ, began), 1.0)
        self.suspend()
        self.assertEqual(_seconds_left(environ, began), _LEAST_SECONDS)

    def test_calls(self) -> None:
        """A call in flight times out if its time limit passed during a suspension."""
        swallower = Swallower()
        self.addCleanup(swallower.close)
        swallower.held.clear()
        loop = CallLoop("test-calls")
        loop.start()
        self.addCleanup(loop.stop)
        outcomes: queue.Queue = queue.Queue()
        channel = Channel(loop, swallower.address, {})
        loop.submit(lambda: channel.call("/x", b"", ASLEEP / 2, outcomes.put))
        loop.flush()
        while not swallower.received:
            time.sleep(0.01)
        self.suspend()
        loop.flush()
        self.assertIsInstance(outcomes.get(timeout=10), CallUnanswered)


if __name__ == "__main__":
    unittest.main()

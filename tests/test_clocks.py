"""Tests of a VM that is suspended: the usual monotonic clock stands still, belief must not.

Each test lets the clock that counts suspended time leap by some seconds, as it does where a VM
wakes, while the usual one goes on as if nothing had been.
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
        # Only the clock that counts suspended time leaps.
        return time.clock_gettime(clock) + self.asleep * (clock != time.CLOCK_MONOTONIC)

    def suspend(self) -> None:
        self.asleep += ASLEEP


class TestSuspension(Suspension):
    def test_clock(self) -> None:
        """The nodes' clock counts the time asleep."""
        before = steady_seconds()
        self.suspend()
        self.assertGreaterEqual(steady_seconds() - before, ASLEEP)

    def test_leadership(self) -> None:
        """A leader's renewal is as old as it is for everybody else."""
        renewals = Renewals()
        renewals.begin()
        self.suspend()
        self.assertGreaterEqual(renewals.age_s, ASLEEP)

    def test_keys_and_configuration(self) -> None:
        """A configuration that was the newest may not be so any more."""
        configurations = Configurations(None, lambda *_: None, lambda _: None)
        configurations._tail._read_at = steady_seconds()
        self.assertLess(configurations.age_s, 1.0)
        self.suspend()
        self.assertGreaterEqual(configurations.age_s, ASLEEP)

    def test_jobs_that_are_unknown(self) -> None:
        """That there is no such job can be told no more: one may have been taken in."""
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
        """A follower that slept takes the leader's last heartbeat as old, and looks anew."""
        signs = LeaderSigns()
        signs.expect()
        signs.hear(Beat("n", "a:1", 1, 0.1))
        self.assertFalse(signs.has_missed_a_beat)
        self.suspend()
        self.assertTrue(signs.has_missed_a_beat)

    def test_callers(self) -> None:
        """A caller whose time went by has only the least of it left: it is answered at once."""
        environ = {"HTTP_X_DEADLINE_MS": "3000"}
        began = steady_seconds()
        self.assertGreater(_seconds_left(environ, began), 1.0)
        self.suspend()
        self.assertEqual(_seconds_left(environ, began), _LEAST_SECONDS)

    def test_calls(self) -> None:
        """A call that was on its way is given up, however long it might still have taken."""
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

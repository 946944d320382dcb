"""Tests that timeouts count the time in which a VM is suspended.

Each test advances the clock that includes suspended time, but not `time.CLOCK_MONOTONIC`.
"""

import queue
import time
import types
import unittest
import unittest.mock

from snowdock.clocks import steady_seconds
from snowdock.entry.caller_api import _MIN_WAIT_SECONDS, _remaining_seconds
from snowdock.entry.configuration_watcher import ConfigurationWatcher
from snowdock.entry.job_status_table import JobStatusTable
from snowdock.entry.leader_handle import LeaderHandle
from snowdock.entry.leader_liveness import LeaderLiveness
from snowdock.entry.leader_queries import LeaderQueries
from snowdock.entry.messages import Heartbeat
from snowdock.entry.renewals import Renewals
from snowdock.errors import CallUnanswered
from snowdock.platform.call_loop import CallLoop
from snowdock.platform.http_channel import Channel
from tests.standins.swallower import Swallower

SUSPENDED_SECONDS = 9.0


class SuspensionTestCase(unittest.TestCase):
    def setUp(self) -> None:
        self.suspended_s = 0.0
        clock = types.SimpleNamespace(clock_gettime=self._clock_gettime)
        self.enterContext(unittest.mock.patch("snowdock.clocks.time", clock))

    def _clock_gettime(self, clock: int) -> float:
        # Only the clock that includes suspended time is advanced.
        return time.clock_gettime(clock) + self.suspended_s * (clock != time.CLOCK_MONOTONIC)

    def suspend(self) -> None:
        self.suspended_s += SUSPENDED_SECONDS


class TestSuspension(SuspensionTestCase):
    def test_steady_clock_counts_suspended_time(self) -> None:
        """The steady clock includes suspended time."""
        before = steady_seconds()
        self.suspend()
        self.assertGreaterEqual(steady_seconds() - before, SUSPENDED_SECONDS)

    def test_renewal_age_counts_suspended_time(self) -> None:
        """The age of a leader's renewal includes suspended time."""
        renewals = Renewals()
        renewals.start_term()
        self.suspend()
        self.assertGreaterEqual(renewals.age_s, SUSPENDED_SECONDS)

    def test_configuration_age_counts_suspended_time(self) -> None:
        """The age of the configuration includes suspended time."""
        configurations = ConfigurationWatcher(None, lambda *_: None, lambda _: None)
        configurations._tail._read_at = steady_seconds()
        self.assertLess(configurations.age_s, 1.0)
        self.suspend()
        self.assertGreaterEqual(configurations.age_s, SUSPENDED_SECONDS)

    def test_unknown_job_is_uncertain_after_suspension(self) -> None:
        """An unknown job is uncertain after a suspension, since it may have been accepted."""
        context = types.SimpleNamespace(store=types.SimpleNamespace(), parts=2)
        handle = LeaderHandle(context, None, JobStatusTable())
        for tail in handle._job_tails:
            tail._read_at = steady_seconds()
        leadership = types.SimpleNamespace(handle=handle)
        election = types.SimpleNamespace(renewed_s=0.1)
        queries = LeaderQueries("n", election, leadership, None)
        self.assertEqual(queries.local_status("0" * 16), (None, True))
        self.suspend()
        self.assertEqual(queries.local_status("0" * 16), (None, False))

    def test_heartbeat_is_missed_after_suspension(self) -> None:
        """A follower counts the leader's heartbeat as missed after a suspension."""
        liveness = LeaderLiveness()
        liveness.start_term()
        liveness.record_heartbeat(Heartbeat("n", "a:1", 1, 0.1))
        self.assertFalse(liveness.has_missed_heartbeat)
        self.suspend()
        self.assertTrue(liveness.has_missed_heartbeat)

    def test_request_deadline_counts_suspended_time(self) -> None:
        """A request whose deadline passed during a suspension has the least time left."""
        environ = {"HTTP_X_DEADLINE_MS": "3000"}
        started_at = steady_seconds()
        self.assertGreater(_remaining_seconds(environ, started_at), 1.0)
        self.suspend()
        self.assertEqual(_remaining_seconds(environ, started_at), _MIN_WAIT_SECONDS)

    def test_call_times_out_after_suspension(self) -> None:
        """A call in flight times out if its time limit passed during a suspension."""
        swallower = Swallower()
        self.addCleanup(swallower.close)
        swallower.held.clear()
        loop = CallLoop("test-calls")
        loop.start()
        self.addCleanup(loop.stop)
        outcomes: queue.Queue = queue.Queue()
        channel = Channel(loop, swallower.address, {})
        loop.submit(lambda: channel.call("/x", b"", SUSPENDED_SECONDS / 2, outcomes.put))
        loop.flush()
        while not swallower.received:
            time.sleep(0.01)
        self.suspend()
        loop.flush()
        self.assertIsInstance(outcomes.get(timeout=10), CallUnanswered)


if __name__ == "__main__":
    unittest.main()

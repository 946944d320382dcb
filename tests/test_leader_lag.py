"""Tests of a leader that falls behind: its lag, and the handover to a better node."""

import os
import signal
import threading
import time
import unittest
from collections.abc import Iterable

from snowdock.entry.leader_lag import HandoverLimiter, LagSource, LeaderLag
from tests.standins.entry_cluster import EntryCluster, EntryProcess, wait_until


def feed(samples: Iterable[tuple[float, float]], source=LagSource.HEARTBEATS) -> LeaderLag:
    """Return the lag after samples (time, lateness) of a process started at time 0."""
    lag = LeaderLag(0.0)
    for at, late_s in samples:
        lag.record(source, late_s, at)
    return lag


class TestLeaderLag(unittest.TestCase):
    def test_delay_grows_with_the_sustained_lag(self) -> None:
        """The delay is 0 up to 0.15 s, and full from 0.5 s on, soon after the lag began."""
        for late_s, delay_s in ((0.1, 0.0), (0.325, 0.2), (0.5, 0.4), (1.0, 0.4)):
            on_time = [(10.0 + 0.2 * step, 0.0) for step in range(10)]
            late = [(12.0 + (0.2 + late_s) * step, late_s) for step in range(1, 4)]
            lag = feed([*on_time, *late])
            self.assertAlmostEqual(lag.current_delay_s(late[-1][0]), delay_s, msg=late_s)

    def test_single_late_tick_changes_nothing(self) -> None:
        """Neither one pause nor the events queued up during it make a node be behind."""
        for late_s in (0.5, 2.0, 30.0):
            before = [(10.0 + 0.1 * step, 0.0) for step in range(20)]
            end = 11.9 + late_s
            queued = [(end + 0.001 * step, max(0.0, late_s - 0.1 * step)) for step in range(300)]
            after = [(end + 0.4 + 0.1 * step, 0.0) for step in range(20)]
            samples = [*before, *queued, *after]
            for count in range(len(before), len(samples)):
                lag = feed(samples[:count], LagSource.EVENTS)
                self.assertEqual(lag.held_delay_s(samples[count - 1][0]), 0.0)

    def test_delay_outlasts_the_lag_for_claims_only(self) -> None:
        """A node that was behind claims late for 10 s, but does not hand over once it is not."""
        lag = feed((10.0 + 0.6 * step, 0.5) for step in range(5))
        for step in range(1, 10):
            lag.record(LagSource.HEARTBEATS, 0.0, 12.4 + 0.2 * step)
        self.assertEqual(lag.current_delay_s(14.2), 0.0)
        self.assertEqual(lag.held_delay_s(14.2), 0.4)
        self.assertEqual(lag.held_delay_s(24.0), 0.0)

    def test_lag_is_stated_before_it_is_sustained(self) -> None:
        """Peers of a leader that slow down together with it are known to be late in time."""
        lag = feed([(10.0, 0.0), (10.4, 0.5)])
        self.assertEqual((lag.stated_delay_s(10.4), lag.held_delay_s(10.4)), (0.4, 0.0))

    def test_starting_node_is_not_behind(self) -> None:
        """A process that is late only while it starts is not behind."""
        lag = feed((0.3 * step, 1.0) for step in range(10))
        self.assertEqual(lag.held_delay_s(2.7), 0.0)

    def test_old_samples_do_not_count(self) -> None:
        """A source without samples, as after the end of a term, is not behind."""
        lag = feed(((10.0 + 0.2 * step, 1.0) for step in range(10)), LagSource.RELAYS)
        self.assertEqual(lag.lag_s(11.8), 1.0)
        self.assertEqual(lag.lag_s(15.0), 0.0)

    def test_repeated_handovers_become_rarer(self) -> None:
        """Leaders that all fall behind hand over at most once in 10 s, then ever more rarely."""
        limiter = HandoverLimiter()
        handovers = []
        for now in range(100):
            if limiter.permits(now):
                limiter.record(now)
                handovers.append(now)
        self.assertEqual(handovers, [0, 10, 30, 70])


class TestSlowLeader(unittest.TestCase):
    def setUp(self) -> None:
        self.cluster = EntryCluster(3)
        self.addCleanup(self.cluster.close)
        self.assertTrue(self.cluster.wait_ready())
        self.slowed: list[EntryProcess] = []
        self.stopped = threading.Event()
        thread = threading.Thread(target=self.slow_down)
        thread.start()
        self.addCleanup(thread.join)
        self.addCleanup(self.stopped.set)

    def slow_down(self) -> None:
        """Let the slowed processes run for a tenth of the time only."""
        while not self.stopped.wait(0.05):
            slowed = list(self.slowed)
            for number in (signal.SIGSTOP, signal.SIGCONT):
                for node in slowed:
                    os.kill(node.process.pid, number)
                time.sleep(0.5 * (number == signal.SIGSTOP))

    def test_leader_that_is_slowed_hands_over(self) -> None:
        """A leader that runs a tenth of the time hands over, and is not named again while slow."""
        time.sleep(6.0)
        leader = self.cluster.leader
        started_at = time.monotonic()
        self.slowed.append(leader)
        self.assertTrue(wait_until(lambda: leader.log_lines("handing_over"), 5.0))
        self.assertLess(time.monotonic() - started_at, 4.0)
        self.assertIn("behind=True", leader.log_lines("handing_over")[0])
        self.assertTrue(wait_until(lambda: self.cluster.leader not in (leader, None), 3.0))
        time.sleep(6.0)
        handovers = [line for node in self.cluster.nodes for line in node.log_lines("handing_over")]
        self.assertEqual(len(handovers), 1)

    def test_no_handover_if_all_nodes_are_slow(self) -> None:
        """The leadership stays where it is while no node is better."""
        time.sleep(6.0)
        self.slowed.extend(self.cluster.nodes)
        time.sleep(6.0)
        for node in self.cluster.nodes:
            self.assertEqual(node.log_lines("handing_over"), [])


if __name__ == "__main__":
    unittest.main()

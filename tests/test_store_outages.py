"""Tests of entry daemons while the store, or a single partition of it, does not serve."""

import threading
import time
import unittest

from tests.standins.entry_cluster import EntryCluster, wait_until

WORK_SECONDS = 6.0
"""Longer than a partition's outage, so that runs outlast it."""
PROGRESS = "keyed.progress"
OUTAGE_SECONDS = 4.0
SUBMIT_PERIOD_SECONDS = 0.2
MAX_START_SECONDS = 1.6
"""A start may wait for the switch, which takes about a second, and for the orders themselves."""


class TestLostProgressPartition(unittest.TestCase):
    """A partition of the progress resets for four seconds while jobs keep starting."""

    def setUp(self) -> None:
        self.cluster = EntryCluster(2)
        self.addCleanup(self.cluster.close)
        self.assertTrue(self.cluster.wait_ready())
        self.paths: list[str] = []
        self.start_waits: list[float] = []

    def submit(self) -> None:
        """Submit a job, and measure the time until it starts."""
        estimate_ms = self.cluster.workers.work_s * 1000
        step = {"count": 2, "cpu": 100, "mem_mb": 10, "estimate_ms": estimate_ms}
        path, body = self.cluster.make_job([step])
        self.assertEqual(self.cluster.nodes[len(self.paths) % 2].call("POST", path, body)[0], 200)
        self.paths.append(path)
        submitted_at = time.monotonic()
        job = path.rpartition("/")[2]

        def measure() -> None:
            starts = self.cluster.workers.starts
            wait_until(lambda: any(task.startswith(job) for task, _, _ in list(starts)))
            self.start_waits.append(time.monotonic() - submitted_at)

        threading.Thread(target=measure, daemon=True).start()

    def submit_during_fault(self, fault: str) -> None:
        self.submit()
        self.cluster.store.part_faults[PROGRESS, 0] = fault
        end = time.monotonic() + OUTAGE_SECONDS
        while time.monotonic() < end:
            self.submit()
            time.sleep(SUBMIT_PERIOD_SECONDS)
        self.cluster.store.part_faults.clear()
        self.assertTrue(wait_until(lambda: len(self.start_waits) == len(self.paths)))

    def assert_all_completed(self) -> None:
        for path in self.paths:
            self.assertTrue(self.cluster.wait_state(path, "completed"))

    def test_jobs_keep_starting_and_the_next_leader_knows_them(self) -> None:
        """Every job starts in time; after the leader is killed, none runs or is shown otherwise."""
        leader = self.cluster.leader
        self.submit_during_fault("reset")
        print(f"longest start: {max(self.start_waits):.2f} s of {len(self.paths)} jobs")
        self.assertLess(max(self.start_waits), MAX_START_SECONDS)
        self.assertEqual(len(leader.log_lines("progress_partition_changed")), 1)
        self.assert_all_completed()
        starts = len(self.cluster.workers.starts)
        leader.kill()
        self.assertTrue(wait_until(lambda: self.cluster.leader not in (None, leader)))
        self.assert_all_completed()
        self.assertEqual(len(self.cluster.workers.starts), starts)
        self.assertEqual(self.cluster.workers.checks.violations, [])

    def test_leader_killed_after_the_switch(self) -> None:
        """The next leader takes over the runs that are on record in the other partition only."""
        self.cluster.workers.work_s = WORK_SECONDS
        leader = self.cluster.leader
        self.submit_during_fault("silent")
        self.assertLess(max(self.start_waits), MAX_START_SECONDS)
        starts = len(self.cluster.workers.starts)
        leader.kill()
        self.assert_all_completed()
        self.assertEqual(len(self.cluster.workers.starts), starts)
        self.assertEqual(self.cluster.workers.checks.violations, [])


if __name__ == "__main__":
    unittest.main()

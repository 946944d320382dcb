"""Tests of entry daemons while the store, or a single partition of it, does not serve."""

import threading
import time
import unittest

from tests.standins.entry_cluster import EntryCluster, EntryProcess, wait_until
from tests.standins.proxy import Mode, Proxy

SMALL = {"count": 1, "cpu": 10, "mem_mb": 10, "estimate_ms": 100}
MAX_PROBES = 4
"""The most probes that a node sends in the 2.5 s counted; each takes at least 0.8 s."""

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


class TestSilentStore(unittest.TestCase):
    """The store answers nothing for four seconds while callers keep coming to three nodes."""

    def setUp(self) -> None:
        self.cluster = EntryCluster(3)
        self.addCleanup(self.cluster.close)
        self.assertTrue(self.cluster.wait_ready())
        self.answers: list[tuple[float, int, float, str | None]] = []

    def submit(self, node: EntryProcess) -> None:
        """Submit a job; keep the time of its call, status, seconds and `Retry-After`."""
        path, body = self.cluster.make_job([SMALL])
        called_at = time.monotonic()
        status, _, headers = node.call("POST", path, body, {"X-Deadline-Ms": "3000"})
        seconds = time.monotonic() - called_at
        self.answers.append((called_at, status, seconds, headers.get("Retry-After")))
        if status == 200:
            self.accepted.append(path)

    def test_callers_are_refused_at_once_and_accepted_after_the_return(self) -> None:
        """From the second second on, only probes are unknown; after the return, all are served."""
        self.accepted: list[str] = []
        threads = []

        def submit_for(seconds: float) -> None:
            end = time.monotonic() + seconds
            while time.monotonic() < end:
                node = self.cluster.nodes[len(threads) % 3]
                threads.append(threading.Thread(target=self.submit, args=(node,)))
                threads[-1].start()
                time.sleep(0.03)

        submit_for(1.0)
        silent_at = time.monotonic()
        self.cluster.store.silent = True
        submit_for(OUTAGE_SECONDS)
        back_at = time.monotonic()
        self.cluster.store.silent = False
        submit_for(2.0)
        for thread in threads:
            thread.join()
        during = [each for each in self.answers if silent_at + 1.0 <= each[0] < back_at - 0.5]
        refused = [each for each in during if each[1] == 503]
        unknown = [each for each in during if each[1] == 504]
        after = [each for each in self.answers if each[0] >= back_at + 1.0]
        slowest = max(seconds for _, _, seconds, _ in refused)
        figures = f"{len(refused)} refused in {slowest:.2f} s, {len(unknown)} unknown"
        self.assertEqual(len(refused) + len(unknown), len(during), figures)
        self.assertLess(slowest, 0.5, figures)
        self.assertEqual({each[3] for each in refused}, {"1"})
        self.assertLessEqual(len(unknown), 3 * MAX_PROBES, figures)
        self.assertEqual({each[1] for each in after}, {200})
        for path in self.accepted:
            self.assertTrue(self.cluster.wait_state(path, "completed"))
        self.assertEqual(self.cluster.workers.checks.violations, [])


class TestStoreOfOneNode(unittest.TestCase):
    def test_callers_of_a_node_without_the_store(self) -> None:
        """While the store answers the leader only, the other node's callers are served by it."""
        cluster = EntryCluster(2, proxies=Proxy)
        self.addCleanup(cluster.close)
        self.assertTrue(cluster.wait_ready())
        (node,) = [each for each in cluster.nodes if each is not cluster.leader]
        path, body = cluster.make_job([SMALL])
        self.assertEqual(node.call("POST", path, body)[0], 200)
        # Until its first lookup is answered, the node may not have read who leads.
        self.assertTrue(wait_until(lambda: cluster.state(node, path) == "completed"))
        cluster.store_proxies[node.number - 1].set(Mode.SILENT)
        silent_at = time.monotonic()
        statuses = []
        while time.monotonic() < silent_at + OUTAGE_SECONDS:
            path, body = cluster.make_job([SMALL])
            called_at = time.monotonic()
            status, _, _ = node.call("POST", path, body, {"X-Deadline-Ms": "3000"})
            if called_at > silent_at + 1.0:
                statuses.append((status, time.monotonic() - called_at < 1.0))
            time.sleep(0.1)
        self.assertEqual(set(statuses), {(200, True)})


if __name__ == "__main__":
    unittest.main()

"""Tests of entry daemons that are cut off from the others as a group, with or without the store."""

import unittest

from snowdock.jobs.model import TaskId
from tests.standins.entry_cluster import EntryProcess, wait_until
from tests.standins.group_cuts import CutCluster, cut_group

LONG_WORK_SECONDS = 120.0
"""Longer than any of the tests, so that a run ends only when its lease expires."""

TAKEOVER_SECONDS = 60.0
"""The longest wait for a claim, the leases of runs that are out of reach, and their next starts."""


class GroupCutCase(unittest.TestCase):
    """Base of the tests: four nodes, and a job with one task on one of three workers."""

    def setUp(self) -> None:
        self.cluster = CutCluster(4, work_s=LONG_WORK_SECONDS)
        self.addCleanup(self.cluster.close)
        self.assertTrue(self.cluster.wait_ready())
        self.leader = self.cluster.leader
        self.others = [node for node in self.cluster.nodes if node is not self.leader]

    def start_task(self) -> TaskId:
        """Submit a job with one task and wait until its run starts."""
        step = {"count": 1, "cpu": 100, "mem_mb": 10, "estimate_ms": LONG_WORK_SECONDS * 1000}
        path, body = self.cluster.make_job([step])
        self.assertTrue(
            wait_until(lambda: self.cluster.nodes[0].call("POST", path, body)[0] == 200)
        )
        task = TaskId(path.rpartition("/")[2], 0, 0, 0)
        self.assertTrue(wait_until(lambda: self.cluster.workers.find_workers_running(task)))
        return task

    def find_worker(self, task: TaskId) -> str:
        (worker,) = self.cluster.workers.find_workers_running(task)
        return worker

    def count_starts(self, task: TaskId) -> int:
        starts = list(self.cluster.workers.starts)
        return sum(started.startswith(f"{task.job}.") for started, _, _ in starts)

    def wait_second_start(self, task: TaskId) -> None:
        """Wait until another leader has started a task whose worker is out of its reach."""
        self.assertTrue(wait_until(lambda: self.count_starts(task) > 1, TAKEOVER_SECONDS))

    def assert_led_by(self, nodes: list[EntryProcess]) -> None:
        self.assertTrue(wait_until(lambda: any(node.is_leader for node in nodes), TAKEOVER_SECONDS))

    def assert_no_violations(self) -> None:
        self.assertEqual(self.cluster.workers.checks.violations, [])


class TestLeaderCutOff(GroupCutCase):
    def check_cut(self, followers: int) -> None:
        """Cut the leader off with some followers and the worker of a task."""
        task = self.start_task()
        inside, outside = self.others[:followers], self.others[followers:]
        nodes = {node.node for node in (self.leader, *inside)}
        self.cluster.network.cut(cut_group({*nodes, self.find_worker(task)}))
        self.assert_led_by(outside)
        self.wait_second_start(task)
        self.assert_no_violations()

    def test_task_runs_twice_while_leader_is_cut_off_alone(self) -> None:
        """A task on a worker that only the old leader reaches starts again after its run ended."""
        self.check_cut(followers=0)

    def test_task_runs_twice_while_leader_is_cut_off_with_a_follower(self) -> None:
        """A task on a worker that only the cut group reaches starts again after its run ended."""
        self.check_cut(followers=1)


if __name__ == "__main__":
    unittest.main()

"""Tests of entry daemons of which a group is cut off from the store, from workers or from others.

Unless they say otherwise, four nodes lead a task on one of three workers, which only those inside
the cut reach.
"""

import signal
import time
import unittest
from collections.abc import Callable

from snowdock.jobs.model import TaskId
from snowdock.jobs.timeouts import AUTHORITY_SECONDS, LEASE_SECONDS
from tests.standins.entry_cluster import EntryProcess, wait_until
from tests.standins.group_cuts import STORE, CutCluster, cut_apart, cut_between, cut_group

LONG_WORK_SECONDS = 120.0
"""Longer than any of the tests, so that a run ends only when its lease expires."""

START_SECONDS = 60.0
"""The longest wait for the daemons, which start slowly beside much other work."""

TAKEOVER_SECONDS = 60.0
"""The longest wait for a claim, the leases of runs that are out of reach, and their next starts."""

OUTAGE_SECONDS = 10.5
"""As long as half of the authority of a leader in an outage and a lease, so that runs are lost if
it ends too early."""

OUTLASTING_WORK_SECONDS = 13.5
"""The work of runs that start before an outage of the store and end after it."""

SETTLE_SECONDS = 3.0
"""Several heartbeats in each direction, so that a leader counts its followers in before a cut."""

NOTICE_SECONDS = 4.0
"""The time after which a leader certainly goes on without a node that fell silent."""


class GroupCutCase(unittest.TestCase):
    """Base of the tests: starts the cluster."""

    WORK_SECONDS = LONG_WORK_SECONDS

    def setUp(self) -> None:
        self.cluster = CutCluster(4, work_s=self.WORK_SECONDS)
        self.addCleanup(self.cluster.close)
        self.network = self.cluster.network
        self.assertTrue(self.cluster.wait_ready(START_SECONDS), "the nodes are not ready")

    def choose_nodes(self) -> None:
        """Note who leads now."""
        self.leader = self.cluster.leader
        self.others = [node for node in self.cluster.nodes if node is not self.leader]

    def wait(self, condition: Callable[[], bool], what: str) -> None:
        self.assertTrue(wait_until(condition, TAKEOVER_SECONDS), f"not within time: {what}")

    def start_job(self, count: int = 1) -> str:
        """Submit a job, wait until all its tasks run, and return its path."""
        estimate_ms = self.WORK_SECONDS * 1000
        step = {"count": count, "cpu": 100, "mem_mb": 10, "estimate_ms": estimate_ms}
        path, body = self.cluster.make_job([step])
        node = self.cluster.nodes[-1]
        self.wait(lambda: node.call("POST", path, body)[0] == 200, "the job is accepted")
        self.wait(lambda: self.count_starts(path) == count, "all tasks have started")
        return path

    def start_task(self) -> tuple[str, str]:
        """Submit a job of one task; return its path and the worker, once its lease is renewed."""
        path = self.start_job()
        (worker,) = self.cluster.workers.find_workers_running(
            TaskId(path.rpartition("/")[2], 0, 0, 0)
        )
        self.wait(lambda: bool(self.lease_ends_ms(worker)), "the lease is renewed")
        time.sleep(SETTLE_SECONDS)
        self.choose_nodes()
        return path, worker

    def lease_ends_ms(self, worker: str) -> list[float]:
        """Return the ends of the leases that renewals gave a worker, by its clock."""
        return [end for life, end in list(self.cluster.workers.renewals) if life == worker]

    def count_starts(self, path: str) -> int:
        """Count the runs that have started, each once, however often it was ordered."""
        job = path.rpartition("/")[2]
        starts = list(self.cluster.workers.starts)
        return len({(task, run) for task, run, _ in starts if task.startswith(job)})

    def endpoints_but(self, *names: str) -> set[str]:
        return self.cluster.endpoints - set(names)

    def assert_led_by(self, nodes: list[EntryProcess]) -> None:
        names = [node.node for node in nodes]
        self.wait(lambda: any(node.is_leader for node in nodes), f"one of {names} leads")

    def assert_one_run_after_the_other(self, path: str) -> None:
        """Wait for a task's second start, and check that the first run had ended by then."""
        self.wait(lambda: self.count_starts(path) > 1, "the task starts again")
        self.assert_no_violations()

    def assert_no_violations(self) -> None:
        self.assertEqual(self.cluster.workers.checks.violations, [])


class TestLeaderCutOff(GroupCutCase):
    """The leader and the worker are cut off from all others, some followers with them."""

    def check_cut(self, followers: int) -> None:
        path, worker = self.start_task()
        inside, outside = self.others[:followers], self.others[followers:]
        nodes = {node.node for node in (self.leader, *inside)}
        self.network.cut(cut_group({*nodes, worker}))
        self.assert_led_by(outside)
        self.assert_one_run_after_the_other(path)

    def test_task_runs_twice_while_leader_is_cut_off_alone(self) -> None:
        """A task on a worker that only the old leader reaches starts again after its run ended."""
        self.check_cut(followers=0)

    def test_task_runs_twice_while_leader_is_cut_off_with_a_follower(self) -> None:
        """A task on a worker that only the cut group reaches starts again after its run ended."""
        self.check_cut(followers=1)


class TestFollowerTakesStoreForReached(GroupCutCase):
    """One follower is cut off with the leader, but not from the store, which misleads it."""

    def cut(self) -> tuple[EntryProcess, str]:
        """Cut the group off; return the follower in it and the path of the job."""
        path, worker = self.start_task()
        inside, *self.outside = self.others
        outside = self.endpoints_but(self.leader.node, inside.node, worker, STORE)
        self.network.cut(
            cut_apart({self.leader.node, inside.node, worker}, outside),
            cut_apart({self.leader.node, worker}, {STORE}),
            *self.store_cuts(inside),
        )
        return path

    def store_cuts(self, follower: EntryProcess) -> list:
        return []

    def check_cut(self) -> None:
        path = self.cut()
        self.assert_led_by(self.outside)
        self.assert_one_run_after_the_other(path)


class TestFollowerWithOutdatedReads(TestFollowerTakesStoreForReached):
    def store_cuts(self, follower: EntryProcess) -> list:
        self.cluster.store.show_no_changes_to(follower.node)
        return []

    def test_task_runs_twice_while_a_follower_reads_outdated_records(self) -> None:
        """A follower to which the store shows no new leader does not keep its leader at work."""
        self.check_cut()


class TestFollowerWithHangingReads(TestFollowerTakesStoreForReached):
    def store_cuts(self, follower: EntryProcess) -> list:
        return [cut_between({STORE}, {follower.node})]

    def test_task_runs_twice_while_reads_of_a_follower_hang(self) -> None:
        """A follower whose reads get no answer does not keep its leader at work."""
        self.check_cut()


class TestStoreAwayFromAllNodes(GroupCutCase):
    """The store is out of reach of all nodes for longer than a lease, while three tasks run."""

    WORK_SECONDS = OUTLASTING_WORK_SECONDS

    def check_outage(self, absent: EntryProcess | None = None) -> None:
        path = self.start_job(count=3)
        self.network.cut(cut_group({STORE}))
        time.sleep(OUTAGE_SECONDS)
        self.network.cut()
        present = [node for node in self.cluster.nodes if node is not absent]
        self.wait(
            lambda: any(self.cluster.state(node, path) == "completed" for node in present),
            "the job completes",
        )
        self.assertEqual(self.count_starts(path), 3)
        self.assert_no_violations()

    def test_running_tasks_are_lost_while_no_node_reaches_the_store(self) -> None:
        """With all nodes up, each run goes on and its job completes."""
        self.check_outage()

    def test_running_tasks_are_lost_without_the_store_after_a_follower_was_killed(self) -> None:
        """With one follower killed before, each run goes on and its job completes."""
        self.choose_nodes()
        self.others[0].kill()
        time.sleep(NOTICE_SECONDS)
        self.check_outage(self.others[0])

    def test_running_tasks_are_lost_without_the_store_while_a_follower_is_frozen(self) -> None:
        """With one follower frozen before, each run goes on and its job completes."""
        self.choose_nodes()
        self.others[0].signal(signal.SIGSTOP)
        time.sleep(NOTICE_SECONDS)
        self.check_outage(self.others[0])


class TestOneWayCut(GroupCutCase):
    """The leader is cut off with a follower and the worker, in one direction only."""

    def check_cut(self, **directions: bool) -> None:
        path, worker = self.start_task()
        inside, *outside = self.others
        group = {self.leader.node, inside.node, worker}
        self.network.cut(cut_group(group, **directions))
        self.assert_led_by(outside)
        self.assert_one_run_after_the_other(path)

    def test_task_runs_twice_while_a_cut_group_is_still_heard(self) -> None:
        """A leader whose renewals and heartbeats arrive, but that hears nothing, stops in time."""
        self.check_cut(sends=True)

    def test_task_runs_twice_while_a_cut_group_still_hears(self) -> None:
        """A leader that hears the nodes outside, but reaches none of them, stops in time."""
        self.check_cut(hears=True)


class TestFollowerBetweenBothSides(GroupCutCase):
    def test_task_runs_twice_while_a_follower_reaches_both_sides(self) -> None:
        """A follower without the store, which reaches all nodes, does not keep a leader at work."""
        path, worker = self.start_task()
        between, *outside = self.others
        inside = {self.leader.node, worker}
        self.network.cut(
            cut_apart(inside, self.endpoints_but(*inside, between.node)),
            cut_apart({between.node}, {STORE}),
        )
        self.assert_led_by(outside)
        self.assert_one_run_after_the_other(path)


class TestFrozenLeader(GroupCutCase):
    """The leader, which alone reaches the worker, is frozen and wakes after another's claim."""

    def check_freeze(self, inside_after: set[str] | None = None) -> None:
        """Check until when the leader extends leases if it wakes, cut off if a group is given."""
        path, worker = self.start_task()
        others = [node.node for node in self.others]
        self.network.cut(cut_apart({worker}, others))
        frozen_at = time.time()
        self.leader.signal(signal.SIGSTOP)
        self.assert_led_by(self.others)
        time.sleep(AUTHORITY_SECONDS)
        cuts = [cut_apart({worker}, others)]
        if inside_after is not None:
            cuts.append(cut_group({self.leader.node, worker, *inside_after}))
        self.network.cut(*cuts)
        self.leader.signal(signal.SIGCONT)
        self.assert_one_run_after_the_other(path)
        last_end_ms = self.last_lease_end_ms(worker, frozen_at)
        self.assertLessEqual(max(self.lease_ends_ms(worker)), last_end_ms)

    def last_lease_end_ms(self, worker: str, since: float) -> float:
        """Return until when the first claim since a time lets earlier leaders extend leases."""
        lines = [line for node in self.others for line in node.log_lines("claim_won")]
        claims = [dict(field.split("=", 1) for field in line.split()) for line in lines]
        later = [claim for claim in claims if float(claim["time"]) > since]
        claim = min(later, key=lambda each: float(each["time"]))
        age_s = time.time() - float(claim["time"])
        lease_s = float(claim["earlier_authority_s"]) + LEASE_SECONDS
        return self.cluster.workers.models[worker].clock_ms + (lease_s - age_s) * 1000

    def test_frozen_leader_renews_leases_after_its_successors_claim(self) -> None:
        """A leader that wakes after another's claim extends no lease beyond the claim's bound."""
        self.check_freeze()

    def test_frozen_leader_that_wakes_cut_off_renews_leases(self) -> None:
        """Heartbeats from before the freeze do not let a leader renew that wakes cut off."""
        self.check_freeze(inside_after=set())


if __name__ == "__main__":
    unittest.main()

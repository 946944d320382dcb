"""End-to-end tests of daemons on a store that takes short records only."""

import time
import unittest

from tests.standins.entry_cluster import EntryCluster, wait_until

LIMITS = (3000, 9000)
TINY = {"count": 30, "cpu": 10, "mem_mb": 10, "estimate_ms": 100}
TIMES = 40
INTERVAL_MS = 50

TIMES_IN_ONE_RECORD = 17
"""Times of a job whose progress is one record, as far as the store takes it."""


class TestTimedJob(unittest.TestCase):
    def start(self, nodes: int, states_limits: bool = True) -> EntryCluster:
        cluster = EntryCluster(nodes, store_limits=LIMITS, states_limits=states_limits)
        self.addCleanup(cluster.close)
        self.assertTrue(cluster.wait_ready())
        return cluster

    def submit(self, cluster: EntryCluster, times: int = TIMES) -> str:
        path, body = cluster.make_job([TINY])
        body |= {
            "max_runs": times,
            "initial_delay_ms": int(time.time() * 1000),
            "interval_ms": INTERVAL_MS,
        }
        self.assertEqual(cluster.nodes[0].call("POST", path, body)[0], 200)
        return path

    def check_each_started_once(self, cluster: EntryCluster, path: str, times: int = TIMES) -> None:
        job = path.rpartition("/")[2]
        started = [task for task, _, _ in cluster.workers.starts if task.startswith(job)]
        self.assertEqual(len(set(started)), times * TINY["count"])
        self.assertEqual(len(started), len(set(started)))
        self.assertEqual(cluster.workers.checks.violations, [])

    def test_progress_outgrows_a_record(self) -> None:
        """A timed job's progress outgrew a record, and from then on nothing was started."""
        cluster = self.start(1)
        path = self.submit(cluster)
        self.assertTrue(cluster.wait_state(path, "completed", 30.0))
        self.check_each_started_once(cluster, path)
        self.assertEqual(cluster.store.rejected, [])
        wait_until(lambda: cluster.store.keys("keyed.progress") == {path.rpartition("/")[2]}, 10.0)
        self.assertEqual(cluster.store.keys("keyed.progress"), {path.rpartition("/")[2]})

    def test_store_with_lower_limits_than_stated(self) -> None:
        """A batch that the store rejects is split, and what waits behind it is started."""
        cluster = self.start(1, states_limits=False)
        path = self.submit(cluster, TIMES_IN_ONE_RECORD)
        late, late_body = cluster.make_job([{**TINY, "count": 2}])
        self.assertTrue(wait_until(lambda: cluster.store.rejected))
        self.assertEqual(cluster.nodes[0].call("POST", late, late_body)[0], 200)
        self.assertTrue(cluster.wait_state(late, "completed", 5.0))
        self.assertTrue(cluster.wait_state(path, "completed", 30.0))
        self.check_each_started_once(cluster, path, TIMES_IN_ONE_RECORD)

    def test_leader_is_killed(self) -> None:
        """The next leader reads back progress in several records, and nothing runs twice."""
        cluster = self.start(3)
        path = self.submit(cluster)
        for count in (300, 700):
            self.assertTrue(wait_until(lambda: len(cluster.workers.starts) >= count))  # noqa: B023
            leader = cluster.leader
            leader.kill()
            self.assertTrue(
                wait_until(lambda: cluster.leader not in (None, leader), 15.0)  # noqa: B023
            )
        self.assertTrue(cluster.wait_state(path, "completed", 40.0))
        self.check_each_started_once(cluster, path)
        self.assertEqual(cluster.store.rejected, [])


class TestSubmission(unittest.TestCase):
    def test_job_that_no_record_holds(self) -> None:
        """A job that the store never takes is rejected at once, and others beside it are not."""
        cluster = EntryCluster(1, store_limits=LIMITS)
        self.addCleanup(cluster.close)
        self.assertTrue(cluster.wait_ready())
        path, body = cluster.make_job([{**TINY, "requires": "x" * LIMITS[0]}])
        status, answer, _ = cluster.nodes[0].call("POST", path, body)
        self.assertEqual((status, answer["code"]), (413, "body_too_large"))
        self.assertEqual(cluster.state(cluster.nodes[0], path), "410")
        path, body = cluster.make_job([TINY])
        self.assertEqual(cluster.nodes[0].call("POST", path, body)[0], 200)
        self.assertTrue(cluster.wait_state(path, "completed"))
        self.assertEqual(cluster.store.rejected, [])


if __name__ == "__main__":
    unittest.main()

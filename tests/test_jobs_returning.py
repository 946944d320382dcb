"""Tests of workers that restart under their ids."""

import random
import unittest

from snowdock.emulator import Emulator, EmulatorOptions, WorkloadOptions, draw_workload
from snowdock.emulator.worker_model import WorkerTerms
from snowdock.emulator.workload import DrawnJob, default_mixes
from tests.jobs_tools import find_unended_jobs
from tests.standins.entry_cluster import EntryCluster

SECONDS = 20
SETTLE_SECONDS = 60
SEEDS = range(3)
RESTARTING_SHARE = 0.35
AWAY_SECONDS = (0.3, 1.5, 3.0, 6.0)


def run_with_restarts(
    seed: int, changes_leader: bool = False, forgets_anew: bool = True
) -> tuple[Emulator, list[DrawnJob]]:
    """Run the emulator while a third of the workers repeatedly restarts under their ids."""
    rng = random.Random(seed)
    workload = WorkloadOptions(SECONDS, 0.4, tuple(default_mixes(seed % 2 == 0)))
    jobs = draw_workload(seed, workload)
    terms = WorkerTerms(forgets_anew=forgets_anew)
    emulator = Emulator(seed, EmulatorOptions(workload, terms=terms, entries_linger=True), jobs)
    emulator.checks.is_calm = False
    at = 0.0
    while at < SECONDS:
        at += rng.uniform(1.5, 6)
        emulator.run_until(at)
        up = [life for life, model in emulator.workers.items() if model.is_up]
        away = rng.choice(AWAY_SECONDS)
        for life in rng.sample(up, round(RESTARTING_SHARE * len(up))):
            emulator.fleet.restart(life, away * rng.uniform(0.9, 1.2))
        if changes_leader and rng.random() < 0.5:
            emulator.kill_leader(rng.uniform(0.2, 2.0))
    emulator.run_until(SECONDS + SETTLE_SECONDS)
    return emulator, jobs


class TestReturningWorkers(unittest.TestCase):
    def test_task_runs_once_after_its_worker_returned(self) -> None:
        """Ends of a worker's next life count although their numbers start again at 1."""
        for seed in SEEDS:
            with self.subTest(seed=seed):
                emulator, _ = run_with_restarts(seed, forgets_anew=True)
                self.assertEqual(emulator.checks.violations[:3], [])

    def test_job_ends_after_its_worker_returned(self) -> None:
        """A run whose end is reported by a worker's next life does not stay tracked forever."""
        for seed in SEEDS:
            with self.subTest(seed=seed):
                emulator, jobs = run_with_restarts(seed, forgets_anew=False)
                self.assertEqual(find_unended_jobs(emulator, jobs)[:5], [])

    def test_leaders_change_as_workers_return(self) -> None:
        """Nothing runs twice and every job ends if leaders change while workers restart."""
        for seed in SEEDS:
            with self.subTest(seed=seed):
                emulator, jobs = run_with_restarts(seed, changes_leader=True)
                self.assertEqual(emulator.checks.violations[:3], [])
                self.assertEqual(find_unended_jobs(emulator, jobs)[:5], [])


class TestEndToEnd(unittest.TestCase):
    def test_task_runs_once_with_real_daemons(self) -> None:
        """After a worker's restart under its id, each task starts once and its job ends."""
        cluster = EntryCluster(1, workers=1)
        self.addCleanup(cluster.close)
        self.assertTrue(cluster.wait_ready())
        step = {"count": 4, "cpu": 500, "mem_mb": 100, "estimate_ms": 100}
        node = cluster.nodes[0]
        first, first_body = cluster.job([step])
        self.assertEqual(node.call("POST", first, first_body)[0], 200)
        self.assertTrue(cluster.wait_state(first, "completed"))
        cluster.workers.restart("i-0")
        second, second_body = cluster.job([step])
        self.assertEqual(node.call("POST", second, second_body)[0], 200)
        self.assertTrue(cluster.wait_state(second, "completed"))
        job = second.rpartition("/")[2]
        started = [task for task, _, _ in cluster.workers.starts if task.startswith(job)]
        self.assertEqual(len(started), len(set(started)), started)
        self.assertEqual(cluster.workers.checks.violations, [])


if __name__ == "__main__":
    unittest.main()

"""Tests with real daemons and jobs of a few bytes that expand to millions of tasks."""

import secrets
import unittest

from tests.standins.entry_cluster import EntryProcess, wait_until
from tests.standins.expanding_jobs import MILLION_TASKS, OVERDUE_TIMES, STEP, UNHELD_TASKS
from tests.standins.hostile_clients import Footprint
from tests.test_hostile_clients import MAX_DESCRIPTORS, MEMORY_MB, HostileCase

_JOBS = 40
_WAIT_SECONDS = 20.0


class TestExpandingJobs(HostileCase):
    """One such job ended each leader that read it, and no other job was answered any more."""

    def submit_expanding(self, body: dict) -> tuple[int, str]:
        """Submit a job that the stand-in workers can run; return the status and its path."""
        path, job = self.cluster.make_job(**body)
        return self.node.call("POST", path, job)[0], path

    def run_small_job(self) -> bool:
        path, job = self.cluster.make_job([{"count": 1, "cpu": 10, "mem_mb": 10}])
        return self.node.call("POST", path, job)[0] == 200 and self.cluster.wait_state(
            path, "completed", _WAIT_SECONDS
        )

    def check_jobs(self, *bodies: dict) -> None:
        """Check a leader with several of such jobs, its successor, and their cancellation."""
        node = self.start()
        footprint = self.footprint()
        paths = [path for body in bodies for path in self.submit_all(body)]
        self.assertTrue(self.run_small_job())
        self.check(footprint)
        self.restart(node)
        footprint = self.enterContext(Footprint(node.process.pid, MEMORY_MB, MAX_DESCRIPTORS))
        self.assertTrue(wait_until(self.run_small_job, _WAIT_SECONDS))
        states = {self.cluster.state(node, path) for path in paths}
        self.assertLessEqual(states, {"pending", "running"})
        for path in paths:
            self.assertEqual(node.call("DELETE", path)[0], 200)
        for path in paths:
            self.assertTrue(self.cluster.wait_state(path, "cancelled"))
        self.check(footprint)

    def submit_all(self, body: dict) -> list[str]:
        """Submit jobs, and return the paths of those that were accepted."""
        answers = [self.submit_expanding(body) for _ in range(_JOBS)]
        self.assertLessEqual({status for status, _ in answers}, {200, 503})
        return [path for status, path in answers if status == 200]

    def restart(self, node: EntryProcess) -> None:
        node.kill()
        node.start()
        self.assertTrue(self.cluster.wait_ready(_WAIT_SECONDS))

    def test_overdue_times(self) -> None:
        """Timed jobs of which a million times are past."""
        self.check_jobs(OVERDUE_TIMES)

    def test_million_tasks(self) -> None:
        """Jobs of a million tasks, all of which may start."""
        self.check_jobs(MILLION_TASKS)

    def test_mixture(self) -> None:
        """Jobs of both kinds, and of tasks that no worker can hold."""
        self.check_jobs(OVERDUE_TIMES, MILLION_TASKS, UNHELD_TASKS)

    def test_gang_of_ten_thousand(self) -> None:
        """A gang that can't be carried is refused in words that name the quantity."""
        self.start()
        step = {**STEP, "count": 10_000, "gang": True}
        job = f"/jobs/{secrets.token_hex(8)}"
        status, answer, _ = self.node.call("POST", job, {"spec": "gang", "steps": [step]})
        self.assertEqual((status, answer["code"]), (400, "gang_too_large"))
        self.assertIn("count of 10000", answer["message"])
        self.assertTrue(wait_until(lambda: self.node.call("GET", job)[0] == 410))


if __name__ == "__main__":
    unittest.main()

"""Tests of the attribution of failed runs to workers or steps."""

import secrets
import unittest

from snowdock.declarations import Size
from snowdock.jobs import failed_runs
from snowdock.jobs.events import LogDecision
from snowdock.jobs.job_objects import add_tasks, open_repetition
from snowdock.jobs.job_state import Job, Step
from snowdock.jobs.model import StepSpec
from tests.jobs_tools import DONE, SMALL, Bench, make_accepted_job

WIDE = StepSpec(count=4, size=Size(1000, 1000), estimate_ms=1000)


def make_step() -> Step:
    """Create a step of a job that is not submitted."""
    job = Job(secrets.token_hex(8), make_accepted_job(SMALL), 100.0)
    cell = Bench().cell
    (step,) = open_repetition(cell, job, 0, 0.0)
    add_tasks(cell, step)
    return step


class FailedRunsTestCase(unittest.TestCase):
    def setUp(self) -> None:
        self.bench = Bench(attempts=9)
        for number in range(4):
            self.bench.add_worker(f"w{number}")
        self.cell = self.bench.cell
        self.began_at = self.bench.now

    @staticmethod
    def step() -> Step:
        return make_step()

    def fail_runs(self, life: str, *steps: Step, runs: int = 1) -> None:
        for step in steps:
            for _ in range(runs):
                failed_runs.record_failed_run(self.cell, self.cell.workers[life], step, self.now)

    def succeed(self, life: str, step: Step, began_at: float | None = None) -> None:
        began_at = self.now if began_at is None else began_at
        failed_runs.record_success(self.cell, self.cell.workers[life], step, began_at, self.now)

    @property
    def now(self) -> float:
        return self.bench.now

    @property
    def quarantined(self) -> list[str]:
        return [life for life, w in self.cell.workers.items() if w.quarantined_until > self.now]


class TestWeights(FailedRunsTestCase):
    def test_one_failure_is_tolerated(self) -> None:
        """One failed run does not quarantine its worker."""
        self.fail_runs("w0", self.step())
        self.assertEqual(self.quarantined, [])

    def test_two_failures_quarantine_the_worker(self) -> None:
        """Two failed runs, of one step or of two, quarantine their worker."""
        self.fail_runs("w0", self.step(), runs=2)
        self.fail_runs("w1", self.step(), self.step())
        self.assertEqual(self.quarantined, ["w0", "w1"])

    def test_failures_elsewhere_clear_a_worker(self) -> None:
        """A worker is released when the step that failed there fails on another one too."""
        bad = self.step()
        self.fail_runs("w0", bad, runs=2)
        self.assertEqual(self.quarantined, ["w0"])
        self.fail_runs("w1", bad)
        self.assertEqual(self.quarantined, [])

    def test_successes_elsewhere_quarantine_the_worker(self) -> None:
        """Successes of the step on other workers quarantine the worker, even if they come later."""
        good = self.step()
        self.fail_runs("w1", good)
        self.fail_runs("w0", good, runs=2)
        self.succeed("w3", good)
        self.assertEqual(self.quarantined, [])
        self.succeed("w2", good)
        self.assertIn("w0", self.quarantined)

    def test_success_clears_earlier_failures(self) -> None:
        """A success clears a worker only if the run began after the failures."""
        self.fail_runs("w0", self.step(), runs=2)
        self.succeed("w0", self.step(), began_at=self.now - 1)
        self.assertEqual(self.quarantined, ["w0"])
        self.succeed("w0", self.step())
        self.assertEqual(self.quarantined, [])

    def test_failures_are_tolerated_when_most_steps_fail(self) -> None:
        """If most steps fail on all workers, two more failures do not quarantine a worker."""
        for _ in range(30):
            bad = self.step()
            for life in ("w1", "w2", "w3"):
                self.fail_runs(life, bad)
        self.assertGreater(self.cell.failing_step_share["pool"], 0.5)
        self.fail_runs("w0", self.step(), self.step())
        self.assertNotIn("w0", self.quarantined)

    def test_failed_steps_are_bounded(self) -> None:
        """The number of failed steps kept for a worker without successes is limited."""
        self.fail_runs("w0", *(self.step() for _ in range(100)))
        self.assertLessEqual(len(self.cell.workers["w0"].failures_by_step), 32)


class TestQuarantine(FailedRunsTestCase):
    def test_at_most_half_of_a_service(self) -> None:
        """At most half of a service's workers are quarantined, however many fail."""
        for life in ("w0", "w1", "w2", "w3"):
            self.fail_runs(life, self.step(), self.step(), runs=3)
        self.assertEqual(self.quarantined, ["w0", "w1"])

    def test_order_is_independent_of_the_hash_seed(self) -> None:
        """Workers are quarantined in a fixed order, independent of the hash seed."""
        for number in range(4, 12):
            self.bench.add_worker(f"w{number}")
        good = self.step()
        failing = [f"w{number}" for number in range(6)]
        for step in (lambda: good, self.step):
            for life in failing:
                self.fail_runs(life, step())
        self.assertEqual(self.quarantined, [])
        for number in range(6, 10):
            self.succeed(f"w{number}", good)
        decisions = [each for each in self.cell.effects if isinstance(each, LogDecision)]
        quarantined = [each.subject for each in decisions if each.decision == "worker_set_aside"]
        self.assertEqual(quarantined, failing)

    def test_quarantine_time_doubles(self) -> None:
        """The quarantine time doubles up to its maximum, until a run succeeds."""
        worker = self.cell.workers["w0"]
        self.fail_runs("w0", self.step())
        found = []
        for _ in range(4):
            self.fail_runs("w0", self.step())
            found.append(round(worker.quarantined_until - self.now))
            self.bench.now = worker.quarantined_until + 0.001
        self.assertEqual(found, [2, 4, 8, 8])
        self.succeed("w0", self.step())
        self.fail_runs("w0", self.step(), self.step())
        self.assertEqual(round(worker.quarantined_until - self.now), 2)

    def test_simultaneous_failures_extend_the_quarantine(self) -> None:
        """Many failures at the same moment quarantine the worker for the maximum time."""
        self.fail_runs("w0", self.step(), runs=4)
        self.assertEqual(round(self.cell.workers["w0"].quarantined_until - self.now), 8)


class TestProbationAndLastResort(unittest.TestCase):
    def setUp(self) -> None:
        self.bench = Bench(attempts=9)
        self.bench.add_worker("w0")
        self.bench.add_worker("w1", cpu=1000)
        self.worker = self.bench.cell.workers["w0"]

    def quarantine_worker(self) -> None:
        """Quarantine the large worker by failed runs of two steps."""
        for _ in range(2):
            failed_runs.record_failed_run(self.bench.cell, self.worker, make_step(), self.bench.now)
        self.assertGreater(self.worker.quarantined_until, self.bench.now)

    def test_one_run_at_a_time_on_probation(self) -> None:
        """A worker on probation takes one run, and more once that has succeeded."""
        self.quarantine_worker()
        self.bench.tick(self.worker.quarantined_until - self.bench.now + 0.1)
        self.bench.submit(WIDE)
        starts = [start for start in self.bench.starts() if start.life == "w0"]
        self.assertEqual(len(starts), 1)
        self.bench.confirm(starts[0])
        ended = [(starts[0].order.task, 1, DONE)]
        found = self.bench.starts(self.bench.report("w0", ended=ended) + self.bench.tick(0.1))
        self.assertEqual({start.life for start in found}, {"w0"})
        self.assertEqual(len(found), 2)

    def test_idle_step_uses_a_quarantined_worker_as_last_resort(self) -> None:
        """If no other worker has room, a waiting step uses a quarantined worker within 2.5 s."""
        self.quarantine_worker()
        self.worker.quarantined_until = self.bench.now + 8.0
        self.bench.submit(StepSpec(count=1, size=Size(2000, 100), estimate_ms=1000))
        self.assertEqual(self.bench.starts(self.bench.tick(1.5)), [])
        (start,) = self.bench.starts(self.bench.tick(1.0))
        self.assertEqual(start.life, "w0")


if __name__ == "__main__":
    unittest.main()

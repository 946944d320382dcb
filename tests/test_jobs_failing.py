"""Tests of failing jobs and of workers that fail every run: other jobs are not delayed."""

import dataclasses
import unittest

from snowdock.declarations import Size
from snowdock.emulator import Emulator, EmulatorOptions, WorkloadOptions, draw_workload
from snowdock.emulator.workload import DrawnJob, default_mixes
from snowdock.jobs.events import JobCancelled, StartAnswered
from snowdock.jobs.model import JobStatus, StepSpec
from snowdock.jobs.orders import Refusal, StartResult
from tests.jobs_tools import FAILED, Bench

SECONDS = 20.0
SETTLE_SECONDS = 30.0
LONG_RUNNING = StepSpec(count=1, size=Size(500, 500), long_running=True)
LONG = StepSpec(count=1, size=Size(500, 500), estimate_ms=60_000)


def run_emulator(
    seed: int, failing_share: float, faulty_workers: int = 0
) -> tuple[Emulator, list[DrawnJob]]:
    """Run the emulator; the first `faulty_workers` workers fail every run until `SECONDS`."""
    mixes = [dataclasses.replace(mix, hopeless_share=failing_share) for mix in default_mixes()]
    workload = WorkloadOptions(SECONDS, 0.5, tuple(mixes))
    jobs = draw_workload(seed, workload)
    emulator = Emulator(seed, EmulatorOptions(workload), jobs)
    for life in list(emulator.workers)[:faulty_workers]:
        emulator.workers[life].fails_all_runs = True
    emulator.run_until(SECONDS)
    for model in emulator.workers.values():
        model.fails_all_runs = False
    emulator.run_until(SECONDS + SETTLE_SECONDS)
    return emulator, jobs


class TestFailingJobs(unittest.TestCase):
    def test_no_starvation_beside_failing_jobs(self) -> None:
        """With 30 % of the jobs always failing on sound workers, no job starves."""
        for seed in (1, 2, 3):
            with self.subTest(seed=seed):
                emulator, _ = run_emulator(seed, 0.3)
                self.assertEqual(emulator.checks.violations, [])
                self.assertEqual(list(emulator.starvation.starved_jobs.values()), [])

    def test_no_starvation_beside_faulty_workers(self) -> None:
        """With some workers failing every run too, no job starves and other jobs complete."""
        for seed in (1, 2, 3):
            with self.subTest(seed=seed):
                emulator, jobs = run_emulator(seed, 0.2, faulty_workers=4)
                self.assertEqual(emulator.checks.violations, [])
                self.assertEqual(list(emulator.starvation.starved_jobs.values()), [])
                good = [job.job for job in jobs if not job.is_hopeless]
                failed = [job for job in good if emulator.statuses.get(job) is JobStatus.FAILED]
                self.assertLessEqual(len(failed), len(good) // 50)


class TestProbation(unittest.TestCase):
    def setUp(self) -> None:
        self.bench = Bench(attempts=4)
        self.bench.add_worker("w")
        self.running: list[tuple] = []

    def start_run(self, step: StepSpec) -> None:
        """Start a task on the only worker and keep it running."""
        self.bench.submit(step)
        (start,) = self.bench.starts()
        self.bench.confirm(start)
        self.running.append((start.order.task, start.order.run, 1.0))

    def fail_jobs(self, count: int) -> None:
        """Submit jobs of one task each that fail on the worker immediately."""
        for _ in range(count):
            self.bench.submit()
            start = self.wait_for_start()
            task, run = start.order.task, start.order.run
            self.bench.confirm(start)
            self.bench.report("w", running=self.running, ended=[(task, run, FAILED)])
            self.bench.feed(JobCancelled(task.job))

    def wait_for_start(self, seconds: float = 12.0):
        """Return the next start; meanwhile the worker reports its runs."""
        found = self.bench.starts()
        waited = 0.0
        while not found and waited < seconds:
            found = self.bench.starts(self.bench.tick(0.1))
            waited += 0.1
            if "w" in self.bench.renewals:
                found = found or self.bench.starts(self.bench.report("w", running=self.running))
        self.assertTrue(found, f"nothing was started for {seconds} s")
        return found[0]

    def test_probation_ends_beside_a_long_run(self) -> None:
        """Probation ends beside a long run that neither fails nor succeeds."""
        for step in (LONG_RUNNING, LONG):
            with self.subTest(lasts=step.long_running):
                self.setUp()
                self.start_run(step)
                self.fail_jobs(4)
                self.bench.submit()
                self.wait_for_start()

    def test_last_attempt_beside_a_long_run(self) -> None:
        """A last attempt prefers sound workers, but its wait for one is limited."""
        self.start_run(LONG_RUNNING)
        job = self.bench.submit()
        for run in (1, 2, 3):
            start = self.wait_for_start()
            self.assertEqual((start.order.task.job, start.order.run), (job, run))
            self.bench.confirm(start)
            ended = [(start.order.task, run, FAILED)]
            self.bench.report("w", running=self.running, ended=ended)
        self.assertEqual(self.wait_for_start().order.run, 4)


class TestMalformedStarts(unittest.TestCase):
    """A start that is refused as malformed counts as no failed attempt, nor against the worker."""

    def setUp(self) -> None:
        self.bench = Bench()
        self.bench.add_worker("w")

    def refuse(self, start) -> None:
        result = StartResult(Refusal.MALFORMED, self.bench.now * 1000)
        self.bench.feed(StartAnswered("w", start.order.task, start.order.run, result))

    def test_worker_is_not_quarantined(self) -> None:
        """The worker is not quarantined and gets the next start."""
        self.bench.submit()
        (bad,) = self.bench.starts()
        self.refuse(bad)
        good = self.bench.submit()
        found = self.bench.starts(self.bench.effects + self.bench.tick(0.1))
        self.assertEqual([start.order.task.job for start in found], [good])

    def test_pauses_grow(self) -> None:
        """The start is tried again after growing pauses, and no attempt is used up."""
        job = self.bench.submit()
        (task,) = self.bench.cell.jobs[job].all_tasks()
        starts = self.bench.starts()
        for pause_s in (1.0, 2.0, 4.0, 8.0, 16.0, 30.0, 30.0):
            self.assertEqual(len(starts), 1)
            self.refuse(starts[0])
            self.assertEqual(self.bench.starts(self.bench.tick(pause_s - 0.2)), [])
            starts = self.bench.starts(self.bench.tick(0.8))
        self.assertEqual((len(starts), task.failures), (1, 0))
        self.assertEqual(self.bench.cell.jobs[job].status, JobStatus.PENDING)


if __name__ == "__main__":
    unittest.main()

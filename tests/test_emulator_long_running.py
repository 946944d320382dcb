"""Tests of long-running tasks on the emulator, and of the check for those that wait."""

import dataclasses
import unittest

from snowdock.declarations import Size
from snowdock.emulator import Emulator, WorkloadOptions, draw_workload
from snowdock.emulator.checks import InvariantChecker
from snowdock.emulator.imaging import imaging_mixes, imaging_options
from snowdock.emulator.timeline import Timeline
from snowdock.emulator.waiting_tasks import WaitingTaskChecker
from snowdock.emulator.worker_model import GangRegistry, RunPlan, WorkerModel, WorkerTimings
from snowdock.jobs.model import JobSpec, JobStatus, StepSpec, TaskId
from snowdock.jobs.orders import StartOrder
from snowdock.jobs.workers import WorkerEntry
from tests.jobs_tools import find_unended_jobs

JOB = "0" * 16
STEP = StepSpec(2, Size(1000, 1000), long_running=True, most_per_worker=1)
WAITING = TaskId(JOB, 0, 0, 0)
OTHER = TaskId(JOB, 0, 0, 1)
CHECK_SECONDS = 0.1


class TestWaitingTaskChecker(unittest.TestCase):
    def setUp(self) -> None:
        self.now = 0.0
        self.checks = InvariantChecker()
        self.checks.record_submission(JOB, JobSpec("watchers", "", (STEP,)), 3)
        self.unfit: set[str] = set()
        self.checker = WaitingTaskChecker(self.checks, lambda *key: key[2] not in self.unfit)
        self.checker.record_acceptance(JOB, 0.0)
        self.timeline = Timeline()
        gangs, timings = GangRegistry(), WorkerTimings(lease_limit_s=60.0)
        self.workers = [
            WorkerModel(
                WorkerEntry(life, "pool", life, "", "", frozenset(), Size(1500, 1500)),
                self.timeline, timings, gangs, self.checks, self.plan_run,
            )
            for life in ("w1", "w2", "w3")
        ]  # fmt: skip

    @staticmethod
    def plan_run(task: TaskId, _: int) -> RunPlan:
        return RunPlan(4.0, fails=task == WAITING)

    def run_for(self, seconds: float) -> set[TaskId]:
        """Check for some seconds, and return the tasks that waited for too long."""
        for _ in range(round(seconds / CHECK_SECONDS)):
            self.now += CHECK_SECONDS
            self.timeline.run_until(self.now)
            self.checker.check(self.workers, (), self.now)
        return set(self.checker.waiting_tasks)

    def start(self, task: TaskId, worker: WorkerModel) -> None:
        order = StartOrder(task, 1, "", 1, round(worker.clock_ms + 60_000))
        self.assertIsNone(worker.start(order, STEP).refusal)

    def test_task_beside_room(self) -> None:
        """A task that waits for 6 s is found although another task of its job runs."""
        self.start(OTHER, self.workers[0])
        self.assertEqual(self.run_for(5.9), set())
        self.assertEqual(self.run_for(0.3), {WAITING})
        self.run_for(1.0)
        found = self.checker.waiting_tasks[WAITING]
        self.assertEqual(found.since, 0.0)
        self.assertAlmostEqual(found.seconds, 7.2, delta=0.01)

    def test_end_of_a_run(self) -> None:
        """The wait begins again at the end of a run."""
        self.start(OTHER, self.workers[0])
        self.start(WAITING, self.workers[1])
        self.assertEqual(self.run_for(9.9), set())
        self.assertEqual(self.run_for(0.3), {WAITING})
        self.assertEqual(self.checker.waiting_tasks[WAITING].since, 4.0)

    def test_room_for_one_task(self) -> None:
        """Room for one task is too little, as is room that advice or the spread forbids."""
        self.start(OTHER, self.workers[0])
        self.unfit.add("w2")
        self.assertEqual(self.run_for(20.0), set())

    def test_short_room(self) -> None:
        """Room must last for 3 s."""
        self.unfit.update(("w1", "w2"))
        self.run_for(8.0)
        self.unfit.clear()
        self.assertEqual(self.run_for(2.9), set())
        self.assertEqual(self.run_for(0.3), {WAITING, OTHER})

    def test_fault(self) -> None:
        """Tasks are exempt for 7 s after a fault."""
        self.run_for(5.0)
        self.checker.record_fault(self.now)
        self.assertEqual(self.run_for(6.9), set())
        self.assertEqual(self.run_for(0.3), {WAITING, OTHER})

    def test_cancelled_job(self) -> None:
        """Tasks of a cancelled job need not run."""
        self.run_for(5.0)
        self.checks.record_cancellation(JOB, self.now)
        self.assertEqual(self.run_for(10.0), set())


class TestEmulatedWatchers(unittest.TestCase):
    emulator: Emulator

    @classmethod
    def setUpClass(cls) -> None:
        watchers = dataclasses.replace(imaging_mixes()[0], per_second=1.0, lasting_s=4.0)
        workload = WorkloadOptions(6.0, 1.0, (watchers,))
        cls.jobs = draw_workload(1, workload)
        cls.emulator = Emulator(1, imaging_options(workload), cls.jobs)
        cls.emulator.run_until(20.0)

    def test_watchers_last_until_cancelled(self) -> None:
        """Jobs of long-running tasks end by their cancellation, and not before."""
        self.assertTrue(self.jobs)
        self.assertEqual(find_unended_jobs(self.emulator, self.jobs), [])
        for job in self.jobs:
            self.assertIs(self.emulator.statuses[job.job], JobStatus.CANCELLED)
            taken = self.emulator.finished_at[job.job] - job.at
            self.assertGreaterEqual(taken, job.cancel_after)
        self.assertEqual(self.emulator.checks.violations, [])

    def test_no_run_survives_its_job(self) -> None:
        """The runs of cancelled jobs are stopped."""
        running = [task for model in self.emulator.workers.values() for task in model.running]
        self.assertEqual(running, [])

    def test_watchers_run(self) -> None:
        """Without a fault, no watcher waits beside room, and most of their time they run."""
        self.assertEqual(self.emulator.waiting_tasks.waiting_tasks, {})
        for job in self.jobs:
            self.assertGreater(self.emulator.waiting_tasks.running_share(job.job), 0.4)


class TestDrawnWatchers(unittest.TestCase):
    def test_other_jobs_are_drawn_alike(self) -> None:
        """The share of long-running jobs of one mix leaves the jobs of the others unchanged."""
        lasting = imaging_mixes()
        plain = tuple(dataclasses.replace(mix, long_running_share=0.0) for mix in lasting)
        pairs = zip(
            draw_workload(5, WorkloadOptions(10.0, 1.0, lasting)),
            draw_workload(5, WorkloadOptions(10.0, 1.0, plain)),
            strict=True,
        )
        for job, other in pairs:
            self.assertEqual((job.job, job.at), (other.job, other.at))
            if job.cancel_after is None:
                self.assertEqual((job.spec, job.work_s), (other.spec, other.work_s))


if __name__ == "__main__":
    unittest.main()

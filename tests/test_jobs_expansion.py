"""Tests of jobs that expand to many repetitions or tasks, with a bounded leader."""

import dataclasses
import random
import unittest

from snowdock.jobs.cell import Cell
from snowdock.jobs.events import JobAccepted, JobCancelled, SendStart
from snowdock.jobs.job_state import Phase
from snowdock.jobs.model import JobStatus, TaskId
from snowdock.jobs.progress import (
    AcceptedJob,
    JobProgress,
    TaskProgress,
    encode,
)
from snowdock.jobs.takeover import RecordedJobs
from tests.jobs_tools import DONE, FAILED, SMALL, Bench, filter_by_type
from tests.test_progress_encoding import JOB, Leaders, make_timed_job

_MINUTES_OF_TWO_YEARS = 1_051_200
_MILLION_TASKS = (10_000,) * 100

_MAX_CREATED_PER_EVENT = 2_000 + 100 + 512
"""The bound of one event, and the last repetition and the last step's tasks that exceed it."""


def count_objects(cell: Cell) -> int:
    """Return the number of steps and tasks in memory."""
    steps = [step for job in cell.jobs.values() for step in job.all_steps()]
    return len(steps) + sum(len(step.tasks) for step in steps)


class ExpansionTestCase(unittest.TestCase):
    def make_bench(self, workers: int = 4, cpu: int = 4000, **limits: int) -> Bench:
        bench = Bench()
        bench.cell.settings = dataclasses.replace(bench.cell.settings, **limits)
        for number in range(workers):
            bench.add_worker(f"w{number}", cpu=cpu)
        return bench

    def submit(self, bench: Bench, accepted: AcceptedJob, job: str = JOB) -> None:
        bench.feed(JobAccepted(job, accepted))

    def check_objects(self, cell: Cell) -> None:
        self.assertEqual(cell.object_count, count_objects(cell))
        self.assertLessEqual(cell.object_count, cell.settings.max_job_objects)

    def check_bounded_beside_small_job(self, accepted: AcceptedJob) -> None:
        """Check that the objects of each event are bounded, and that a small job starts at once."""
        bench = self.make_bench()
        before = 0
        self.submit(bench, accepted)
        for tick in range(30):
            self.check_objects(bench.cell)
            self.assertLessEqual(bench.cell.object_count - before, _MAX_CREATED_PER_EVENT)
            before = bench.cell.object_count
            if tick == 20:
                small = bench.submit(SMALL)
            bench.tick(0.1)
        started = {start.order.task.job for start in filter_by_type(bench.all_effects, SendStart)}
        self.assertIn(small, started)

    def check_takeover(self, accepted: AcceptedJob) -> None:
        """Check that a new leader holds no more, and that a cancellation takes effect at once."""
        bench = self.make_bench()
        bench.restore(RecordedJobs({JOB: accepted}, set(), {}))
        bench.tick(1.0)
        self.check_objects(bench.cell)
        bench.feed(JobCancelled(JOB))
        self.assertIs(bench.cell.jobs[JOB].status, JobStatus.CANCELLED)
        bench.tick(1.0)
        self.assertFalse(bench.cell.unexpanded_jobs or bench.cell.partial_steps)
        waiting = [task for task in bench.cell.jobs[JOB].all_tasks() if task.phase is Phase.RUNNING]
        self.assertEqual(waiting, [])

    def run_through_leaders(self, leaders: Leaders, seed: int, max_objects: int) -> None:
        """End all runs of a job, some of them failed, under leaders that follow one another."""
        rng = random.Random(seed)
        most = 0
        has_failed: set[TaskId] = set()
        for _ in range(2000):
            if leaders.is_ended:
                break
            leaders.record_all()
            running = sorted(leaders.running)
            ended = rng.sample(running, rng.randint(len(running) // 2, len(running)))
            ended, failed = _complete_gangs(leaders, ended), []
            if rng.random() < 0.2 and ended:
                chosen = _complete_gangs(leaders, [rng.choice(ended)])
                # A second failure of a task would use up its attempts before long.
                failed = [] if has_failed.intersection(chosen) else chosen
                has_failed.update(failed)
            leaders.report(FAILED, *failed)
            leaders.report(DONE, *[task for task in ended if task not in failed])
            leaders.tick(0.3)
            if rng.random() < 0.1:
                leaders.lead()
            cell = leaders.bench.cell
            self.assertEqual(cell.object_count, count_objects(cell))
            most = max(most, cell.object_count)
        spec = leaders.accepted.spec
        self.assertEqual(leaders.statuses[-1], JobStatus.COMPLETED)
        self.assertEqual(len(leaders.done), spec.task_count)
        self.assertEqual((leaders.doubled, leaders.early), ([], []))
        self.assertLessEqual(most, max_objects)


class TestTimedJobs(ExpansionTestCase):
    def test_overdue_times_exhaust_memory(self) -> None:
        """A timed job whose times were all past ended each leader that read it."""
        self.check_bounded_beside_small_job(make_timed_job(_MINUTES_OF_TWO_YEARS, 1))
        self.check_takeover(make_timed_job(_MINUTES_OF_TWO_YEARS, 1))

    def test_overdue_times_of_many_jobs(self) -> None:
        """Many such jobs together hold no more than the limit, and each of them runs something."""
        bench = self.make_bench(cpu=1_000_000)
        jobs = [f"{number:016x}" for number in range(200)]
        for job in jobs:
            self.submit(bench, make_timed_job(_MINUTES_OF_TWO_YEARS, 2), job)
        bench.tick(5.0)
        self.check_objects(bench.cell)
        started = {start.order.task.job for start in filter_by_type(bench.all_effects, SendStart)}
        self.assertEqual(started, set(jobs))

    def test_each_time_gets_its_turn(self) -> None:
        """Each time runs once, in a window that moves on as times end."""
        for seed in range(3):
            with self.subTest(seed=seed):
                leaders = Leaders(make_timed_job(700, 2), 4000, 100_000, max_job_objects=1600)
                self.run_through_leaders(leaders, seed, max_objects=1600)

    def test_times_on_record_with_gaps(self) -> None:
        """An earlier version may have recorded any of the times, with others before them."""
        tasks = [TaskProgress(number, 0, 0, 1, "", True) for number in range(0, 400, 2)]
        progress = JobProgress(JobStatus.RUNNING, tasks, "", 1, 1)
        leaders = Leaders(
            make_timed_job(400, 1), 262_144, 2_097_152, recorded={JOB: encode(progress)}
        )
        leaders.done = {TaskId(JOB, task.repetition, 0, 0) for task in tasks}
        self.run_through_leaders(leaders, seed=1, max_objects=2 * 400)


def _complete_gangs(leaders: Leaders, tasks: list[TaskId]) -> list[TaskId]:
    """Return tasks that may end: the members of a gang all together, once all of them run."""
    chosen = set()
    for task in tasks:
        spec = leaders.accepted.spec.steps[task.step]
        indices = range(spec.count) if spec.gang else (task.index,)
        members = {TaskId(task.job, task.repetition, task.step, index) for index in indices}
        if members <= leaders.running.keys():
            chosen |= members
    return sorted(chosen)

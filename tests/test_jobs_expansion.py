"""Tests of jobs that expand to many repetitions or tasks, with a bounded leader."""

import dataclasses
import random
import unittest

import msgspec

from snowdock.declarations import Size
from snowdock.errors import InvalidInput
from snowdock.jobs.cell import Cell
from snowdock.jobs.events import JobAccepted, JobCancelled, SendStart
from snowdock.jobs.job_state import Phase
from snowdock.jobs.model import JobSpec, JobStatus, StepSpec, TaskId
from snowdock.jobs.progress import (
    AcceptedJob,
    JobProgress,
    SplitProgress,
    TaskBlock,
    TaskProgress,
    block_key,
    encode,
)
from snowdock.jobs.progress_layout import ProgressLayout
from snowdock.jobs.recorded_progress import check_progress
from snowdock.jobs.takeover import RecordedJobs
from tests.jobs_tools import DONE, FAILED, SMALL, Bench, filter_by_type
from tests.test_progress_encoding import JOB, TINY, Leaders, make_timed_job, make_wide_job

_MINUTES_OF_TWO_YEARS = 1_051_200
_MILLION_TASKS = (10_000,) * 100

_MAX_CREATED_PER_EVENT = 2_000 + 100 + 512
"""The bound of one event, and the last repetition and the last step's tasks that exceed it."""


def count_objects(cell: Cell) -> int:
    """Return the number of steps and tasks in memory."""
    steps = [step for job in cell.jobs.values() for step in job.all_steps()]
    return len(steps) + sum(len(step.tasks) for step in steps)


def started_jobs(bench: Bench) -> set[str]:
    """Return the jobs of which a task was started."""
    return {start.order.task.job for start in filter_by_type(bench.all_effects, SendStart)}


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
        started = started_jobs(bench)
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
        started = started_jobs(bench)
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


class TestWideJobs(ExpansionTestCase):
    def test_million_tasks_exhaust_memory(self) -> None:
        """A job of a million tasks ended each leader that read it."""
        accepted = make_wide_job(*_MILLION_TASKS)
        self.check_bounded_beside_small_job(accepted)
        self.check_takeover(accepted)

    def test_million_tasks_at_once(self) -> None:
        """The same with steps that all may start at once, on workers that hold any number."""
        accepted = make_job(*[msgspec.structs.replace(TINY, count=10_000)] * 100)
        self.check_bounded_beside_small_job(accepted)
        self.check_takeover(accepted)

    def test_tasks_of_many_jobs(self) -> None:
        """Wide jobs that never end leave room for each further one to start."""
        bench = self.make_bench(cpu=1_000_000, max_job_objects=10_000)
        step = msgspec.structs.replace(TINY, count=10_000, size=Size(0, 0))
        jobs = [f"{number:016x}" for number in range(60)]
        for job in jobs:
            self.submit(bench, make_job(step, step), job)
            bench.tick(0.5)
        self.check_objects(bench.cell)
        started = started_jobs(bench)
        self.assertEqual(started, set(jobs))

    def test_each_task_gets_its_turn(self) -> None:
        """Each task runs once, in a window that moves on as tasks end."""
        for seed in range(3):
            with self.subTest(seed=seed):
                leaders = Leaders(make_wide_job(1500, 10, 900), 4000, 100_000, max_job_objects=1600)
                self.run_through_leaders(leaders, seed, max_objects=1600)

    def test_random_jobs_get_their_turn(self) -> None:
        """Any mixture of steps, gangs and times runs once, whichever leader and limit it meets."""
        for seed in range(20):
            with self.subTest(seed=seed):
                rng = random.Random(seed)
                limit = rng.choice((500, 2000, 100_000))
                leaders = Leaders(_draw_job(rng), 4000, 100_000, max_job_objects=limit)
                self.run_through_leaders(leaders, seed, max_objects=limit)

    def test_records_do_not_grow_with_what_is_done(self) -> None:
        """The progress of tasks that are done is reduced to ranges while others run."""
        leaders = Leaders(make_wide_job(4000), 4000, 100_000)
        sizes = []
        while len(leaders.done) < 3000:
            leaders.record_all()
            leaders.report(DONE, *sorted(leaders.running)[:500])
            leaders.tick(0.3)
            leaders.record_all()
            sizes.append(sum(map(len, leaders.recorded.values())))
        self.assertLess(sizes[-1], 2 * sizes[0])

    def test_tasks_on_record_with_gaps(self) -> None:
        """An earlier version may have recorded any of the tasks, with others before them."""
        tasks = [TaskProgress(0, 0, index, 1, "", True) for index in range(0, 640, 2)]
        blocks = {
            block_key(JOB, 0, number, 0): encode(
                TaskBlock(1, 2, [task for task in tasks if task.index // 64 == number])
            )
            for number in range(10)
        }
        head = SplitProgress(JobStatus.RUNNING, "", 1, 2, (1, 1))
        leaders = Leaders(make_wide_job(640), 4000, 100_000, recorded={JOB: encode(head), **blocks})
        leaders.done = {TaskId(JOB, 0, 0, task.index) for task in tasks}
        self.run_through_leaders(leaders, seed=1, max_objects=700)

    def test_finished_blocks_that_do_not_exist(self) -> None:
        """Progress that names blocks beyond the job's last one does not match the job."""
        spec = make_wide_job(100).spec
        progress = JobProgress(JobStatus.RUNNING, [])
        cases = ({0: [(0, 2)]}, {0: [(1, 0)]}, {0: [(0, 0), (0, 1)]}, {1: [(0, 0)]})
        for finished in cases:
            layout = ProgressLayout((1, 1), finished_blocks=finished)
            with self.subTest(finished=finished), self.assertRaises(InvalidInput):
                check_progress(spec, progress, layout)
        check_progress(spec, progress, ProgressLayout((1, 1), finished_blocks={0: [(0, 1)]}))

    def test_last_of_many_steps_is_the_only_one_that_can_start(self) -> None:
        """Steps that cannot start held their places, so that others of their job never started."""
        bench = self.make_bench()
        unfit = msgspec.structs.replace(TINY, label="none")
        job = bench.submit(*[unfit] * 99, TINY)
        bench.tick(3.0)
        started = {start.order.task.step for start in bench.new_starts()}
        self.assertEqual(started, {99})
        self.assertNotIn((job, 0, 99), bench.cell.held_steps)
        waiting = [step for step in bench.cell.jobs[job].all_steps() if not step.done_count]
        self.assertLessEqual(max(step.queued_at for step in waiting), bench.now - 0.5)

    def test_gang_beside_jobs_that_hold_their_share(self) -> None:
        """A gang that is larger than a job's share starts whole beside jobs that never end."""
        bench = self.make_bench(cpu=1_000_000, max_job_objects=10_000)
        step = msgspec.structs.replace(TINY, count=10_000, size=Size(0, 0))
        for number in range(20):
            self.submit(bench, make_job(step), f"{number:016x}")
            bench.tick(0.5)
        gang = msgspec.structs.replace(step, count=1000, gang=True)
        bench.new_starts()
        self.submit(bench, make_job(gang), "f" * 16)
        bench.tick(1.0)
        started = {start.order.task for start in bench.new_starts()}
        self.assertEqual(sum(task.job == "f" * 16 for task in started), 1000)


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


def make_job(*steps: StepSpec, times: int = 0) -> AcceptedJob:
    return AcceptedJob(JobSpec("q", "payload", steps, repetitions=times), 1, "pool", 0, 3)


def _draw_job(rng: random.Random) -> AcceptedJob:
    steps = []
    for number in range(rng.randint(1, 4)):
        after = tuple(earlier for earlier in range(number) if rng.random() < 0.5)
        gang = rng.random() < 0.3
        count = rng.randint(1, 60) if gang else rng.choice((1, 7, 64, 65, 300))
        steps.append(msgspec.structs.replace(TINY, count=count, gang=gang, after=after))
    return make_job(*steps, times=rng.choice((0, 1, 3, 40)))

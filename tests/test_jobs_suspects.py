"""Tests of the isolation of tasks whose runs were lost with their workers."""

import dataclasses
import itertools
import unittest

import msgspec

from snowdock.declarations import Size
from snowdock.emulator import Emulator, draw_workload
from snowdock.emulator.small_pool import small_pool_options
from snowdock.jobs.events import JobCancelled, SendStart, WorkerListed
from snowdock.jobs.model import JobStatus, StepSpec
from snowdock.jobs.progress import decode_progress
from snowdock.jobs.suspects import IsolationLevel, next_tasks
from snowdock.jobs.takeover import RecordedJobs
from tests.jobs_tools import DONE, SMALL, Bench, charge_task, make_accepted_job

PAIR = msgspec.structs.replace(SMALL, count=2)


class SuspectsTestCase(unittest.TestCase):
    def setUp(self) -> None:
        self.bench = Bench()
        self._lives = 0

    def add_workers(self, count: int, cpu: int = 4000) -> list[str]:
        added = [f"w{self._lives + number}" for number in range(count)]
        self._lives += count
        for life in added:
            self.bench.add_worker(life, cpu)
        return added

    def crash_all(self, starts: list[SendStart]) -> None:
        for life in {start.life for start in starts}:
            self.bench.end_life(life)

    def make_suspects(self, count: int, spec: StepSpec = SMALL) -> list[str]:
        """Crash a worker under tasks of `count` jobs."""
        self.add_workers(1)
        jobs = []
        for _ in range(count):
            jobs.append(self.bench.submit(spec))
            self.bench.tick(0.1)
        starts = self.bench.new_starts()
        self.assertEqual(len(starts), count)
        self.crash_all(starts)
        return jobs


class TestIsolation(SuspectsTestCase):
    def crash_two_workers_beside(self, cpu: int) -> str:
        """Crash two workers under a task; return a third worker that runs another task."""
        self.add_workers(1)
        self.bench.submit(SMALL)
        self.crash_all(self.bench.new_starts())
        self.add_workers(1, cpu=1000)
        self.bench.tick(0.2)
        suspect = self.bench.new_starts()
        (busy,) = self.add_workers(1, cpu)
        self.bench.submit(SMALL)
        self.assertEqual([start.life for start in self.bench.new_starts()], [busy])
        self.crash_all(suspect)
        return busy

    def run_after_two_crashes(self, step: StepSpec) -> SendStart:
        """Crash two workers under a step's task; return its start on a third one."""
        self.bench.submit(step)
        for _ in range(2):
            self.add_workers(1)
            self.bench.tick(0.2)
            self.crash_all(self.bench.new_starts())
        (empty,) = self.add_workers(1)
        self.bench.tick(0.2)
        (start,) = self.bench.new_starts()
        self.assertEqual(start.life, empty)
        return start

    def test_suspects_are_placed_apart(self) -> None:
        """Two tasks that were lost with one worker are not placed together again."""
        self.add_workers(1)
        self.bench.submit(PAIR)
        first = self.bench.new_starts()
        self.assertEqual({start.life for start in first}, {"w0"})
        self.add_workers(3)
        self.crash_all(first)
        self.bench.tick(0.2)
        again = self.bench.new_starts()
        self.assertEqual(len({start.life for start in again}), 2)

    def test_exclusive_worker_after_a_second_loss(self) -> None:
        """A task with two losses gets an empty worker, which takes nothing else."""
        self.crash_two_workers_beside(cpu=9000)
        self.assertEqual(self.bench.new_starts(), [])
        (empty,) = self.add_workers(1)
        self.bench.tick(0.2)
        self.assertEqual([start.life for start in self.bench.new_starts()], [empty])
        placed = []
        for _ in range(3):
            self.bench.submit(msgspec.structs.replace(SMALL, size=Size(3000, 1000)))
            self.bench.tick(0.2)
            placed += self.bench.new_starts()
        self.assertEqual(len(placed), 2)
        self.assertNotIn(empty, {start.life for start in placed})

    def test_long_running_suspect_keeps_its_worker_to_itself(self) -> None:
        """A long-running task shares its worker again once it is cleared of its losses."""
        suspect = self.run_after_two_crashes(msgspec.structs.replace(SMALL, long_running=True))
        empty = suspect.life
        self.assertTrue(self.bench.cell.workers[empty].is_exclusive)
        self.bench.confirm(suspect)
        for _ in range(62):
            self.bench.report(empty, running=[(suspect.order.task, suspect.order.run, 100.0)])
            self.bench.tick(0.5)
        self.bench.submit(SMALL)
        self.bench.tick(0.2)
        self.assertEqual([start.life for start in self.bench.new_starts()], [empty])

    def test_running_suspect_keeps_its_worker_to_itself(self) -> None:
        """A suspect shares its worker a few seconds after its start, also in a run of minutes."""
        suspect = self.run_after_two_crashes(msgspec.structs.replace(SMALL, estimate_ms=300_000))
        empty = suspect.life
        self.bench.confirm(suspect)
        run = (suspect.order.task, suspect.order.run, 1.0)
        self.bench.submit(SMALL)
        for _ in range(8):
            self.bench.report(empty, running=[run])
            self.bench.tick(0.5)
        self.assertEqual(self.bench.new_starts(), [])
        for _ in range(4):
            self.bench.report(empty, running=[run])
            self.bench.tick(0.5)
        self.assertEqual([start.life for start in self.bench.new_starts()], [empty])

    def test_long_running_suspect_that_was_lost_late_waits_for_isolation(self) -> None:
        """A long-running task whose loss was detected late is not isolated on top of that."""
        for lasts, expected in ((True, IsolationLevel.NONE), (False, IsolationLevel.FROM_SUSPECTS)):
            with self.subTest(lasts=lasts):
                job = self.bench.submit(msgspec.structs.replace(SMALL, long_running=lasts))
                ((step,),) = self.bench.cell.jobs[job].repetitions.values()
                (task,) = step.tasks
                task.run = 1
                charge_task(task, 1)
                task.phase_since = self.bench.now
                task.idle_since = self.bench.now - 6.0
                self.assertIs(next_tasks(step, self.bench.now)[1], expected)

    def test_suspects_of_different_jobs(self) -> None:
        """Suspects of different jobs are separated, and the second waits at most two seconds."""
        jobs = self.make_suspects(2)
        (one,) = self.add_workers(1)
        self.bench.tick(0.2)
        self.assertEqual(len(self.bench.new_starts()), 1)
        self.bench.tick(1.0)
        self.assertEqual(self.bench.new_starts(), [])
        self.bench.tick(0.6)
        self.assertEqual([start.life for start in self.bench.new_starts()], [one])
        self.assertEqual(len(jobs), 2)

    def test_suspect_recovered_by_a_new_leader(self) -> None:
        """A new leader keeps other suspects away from a worker with a restored suspect."""
        job, other = self.make_suspects(2)
        (one,) = self.add_workers(1)
        self.bench.tick(0.2)
        (start,) = self.bench.new_starts()
        self.assertEqual(start.order.task.job, job)
        recorded = {name: decode_progress(self.bench.recorded[name]) for name in (job, other)}
        jobs = {name: make_accepted_job(SMALL) for name in (job, other)}
        before, self.bench = self.bench, Bench(2)
        self.bench.now = before.now
        self.bench.restore(RecordedJobs(jobs, set(), recorded))
        self.bench.add_worker(one, is_synced=False)
        self.bench.report(one, running=[(start.order.task, start.order.run, 1.0)])
        self.bench.tick(1.0)
        self.assertEqual(self.bench.new_starts(), [])
        (two,) = self.add_workers(1)
        self.bench.tick(0.2)
        self.assertEqual([start.life for start in self.bench.new_starts()], [two])

    def test_tasks_with_different_losses(self) -> None:
        """The remaining tasks of a step are placed on the next event, not on the next tick."""
        job = self.bench.submit(PAIR)
        ((step,),) = self.bench.cell.jobs[job].repetitions.values()
        charge_task(step.tasks[0], 1)
        step.tasks[0].phase_since = self.bench.now
        self.add_workers(1)
        entry = self.bench.cell.workers["w0"].entry
        for placed in range(2):
            self.assertEqual(sum(task.is_placed for task in step.tasks), placed)
            self.bench.now += 0.01
            self.bench.feed(WorkerListed(entry))
        self.assertEqual(sum(task.is_placed for task in step.tasks), 2)

    def test_address_where_a_worker_crashed(self) -> None:
        """Suspects are placed there last, even if it has the most free room."""
        self.bench.add_worker("old", address="a:1")
        self.bench.submit(SMALL)
        (start,) = self.bench.new_starts()
        self.bench.confirm(start)
        self.bench.add_worker("new", cpu=9000, address="a:1")
        self.bench.add_worker("else", cpu=2000, address="a:2")
        self.bench.cell.policy = dataclasses.replace(
            self.bench.cell.policy, score=lambda step, worker, there: worker.free.cpu / 10_000
        )
        self.bench.end_life("old")
        self.bench.tick(0.2)
        self.assertEqual([start.life for start in self.bench.new_starts()], ["else"])

    def test_isolation_wait_is_bounded(self) -> None:
        """If no worker is empty, a suspect shares one within two seconds."""
        busy = self.crash_two_workers_beside(cpu=4000)
        self.bench.tick(0.5)
        self.assertEqual(self.bench.new_starts(), [])
        self.bench.tick(1.5)
        self.assertEqual([start.life for start in self.bench.new_starts()], [busy])

    def test_waiting_step_always_has_next_tasks(self) -> None:
        """A waiting step has a task to place next, for all losses and waiting times."""
        cases = list(itertools.product((0, 1, 2, 4), (0.0, 0.5, 1.0, 3.0)))
        job = self.bench.submit(PAIR)
        ((step,),) = self.bench.cell.jobs[job].repetitions.values()
        now = self.bench.now
        for chosen in itertools.product(cases, repeat=2):
            for task, (losses, waited) in zip(step.tasks, chosen, strict=True):
                charge_task(task, *range(losses))
                task.phase_since = now - waited
            tasks, _ = next_tasks(step, now)
            self.assertTrue(tasks, chosen)


class StartGapTestCase(SuspectsTestCase):
    def add_worker_after_losses(self, suspects: int, losses: int, spec: StepSpec = SMALL) -> None:
        """Add the only worker for suspects that have waited for one."""
        for job in self.make_suspects(suspects, spec):
            (task,) = self.bench.cell.jobs[job].all_tasks()
            task.run = losses
            charge_task(task, *range(1, losses + 1))
        self.bench.tick(3.0)
        self.add_workers(1)
        self.bench.tick(0.2)

    def run_for(self, starts: list[SendStart], new_starts: int, seconds: float) -> None:
        """Confirm the newest starts, and report all runs until these have run for a time."""
        for start in starts[len(starts) - new_starts :]:
            self.bench.confirm(start)
        running = [(start.order.task, start.order.run, 1.0) for start in starts]
        self.bench.report(starts[-1].life, running=running)
        self.bench.tick(seconds)


class TestStartGap(StartGapTestCase):
    SUSPECTS = 4

    def setUp(self) -> None:
        super().setUp()
        self.add_worker_after_losses(self.SUSPECTS, losses=4)

    def test_suspects_that_waited_for_the_same_worker(self) -> None:
        """A task that crashes its worker at its start takes no other suspect with it."""
        (start,) = self.bench.new_starts()
        self.crash_all([start])
        failed = [job.id for job in self.bench.cell.jobs.values() if job.status.is_final]
        self.assertEqual(failed, [start.order.task.job])

    def test_suspects_join_gradually(self) -> None:
        """One suspect starts first, and two more once it has run for a second."""
        starts, counts = [], []
        for _ in range(3):
            new_starts = self.bench.new_starts()
            starts += new_starts
            counts.append(len(new_starts))
            self.run_for(starts, len(new_starts), 0.6)
            self.assertEqual(self.bench.new_starts(), [])
            self.bench.tick(0.6)
        self.assertEqual(counts, [1, 2, 1])

    def test_run_that_is_being_stopped(self) -> None:
        """A suspect does not wait until another one, which has run long enough, has stopped."""
        (start,) = self.bench.new_starts()
        self.run_for([start], 1, 0.6)
        self.bench.feed(JobCancelled(start.order.task.job))
        self.bench.tick(0.6)
        self.assertEqual([each.life for each in self.bench.new_starts()], [start.life] * 2)

    def test_wait_for_another_suspect_is_bounded(self) -> None:
        """A suspect joins another one whose start is never confirmed."""
        self.assertEqual(len(self.bench.new_starts()), 1)
        self.bench.tick(20.0)
        self.assertEqual(self.bench.new_starts(), [])
        self.bench.tick(10.0)
        self.assertEqual(len(self.bench.new_starts()), self.SUSPECTS - 1)


class TestStartGapAfterOutages(StartGapTestCase):
    SUSPECTS = 24

    def test_jobs_interrupted_by_two_outages(self) -> None:
        """All of many healthy tasks with two losses start within five seconds on one worker."""
        self.add_worker_after_losses(
            self.SUSPECTS, losses=2, spec=StepSpec(count=1, size=Size(100, 100), estimate_ms=60_000)
        )
        starts = []
        for _ in range(5):
            new_starts = self.bench.new_starts()
            starts += new_starts
            self.run_for(starts, len(new_starts), 1.1)
        self.assertEqual(len(starts), self.SUSPECTS)


class TestSmallPool(unittest.TestCase):
    SEEDS = (11, 15, 20, 34, 44, 46, 60)

    def run_day(self, seed: int) -> tuple[set[str], set[str]]:
        """Run a day; return the jobs with crashing tasks, and those that failed."""
        options = small_pool_options(crashing_share=0.04)
        jobs = draw_workload(seed, options.workload)
        emulator = Emulator(seed, options, jobs)
        emulator.run_until(60.0)
        failed = {job for job, status in emulator.statuses.items() if status is JobStatus.FAILED}
        return {job.job for job in jobs if job.crashing}, failed

    def test_jobs_beside_crashing_tasks_in_a_small_pool(self) -> None:
        """No other job fails where tasks crash the four workers every second."""
        for seed in self.SEEDS:
            with self.subTest(seed=seed):
                crashing, failed = self.run_day(seed)
                self.assertEqual(failed, crashing)


class TestCommonCauses(SuspectsTestCase):
    def charges(self, count: int) -> list[tuple[int, int]]:
        """Return crashes and losses of tasks whose workers, one each, stop answering together."""
        lives = self.add_workers(count, cpu=1000)
        job = self.bench.submit(msgspec.structs.replace(SMALL, count=count))
        for start in self.bench.new_starts():
            self.bench.confirm(start)
        for life in lives:
            self.bench.leave_unanswered(life)
        for life in lives:
            self.bench.end_life(life)
        tasks = self.bench.cell.jobs[job].all_tasks()
        return [(len(task.crashed_runs), len(task.lost_runs)) for task in tasks]

    def test_simultaneous_failures_are_no_crashes(self) -> None:
        """If three workers stop answering together, their runs are charged as losses only."""
        self.assertEqual(self.charges(3), [(0, 1)] * 3)

    def test_two_simultaneous_failures_are_crashes(self) -> None:
        """If two workers stop answering together, their runs are charged as crashes."""
        self.assertEqual(self.charges(2), [(1, 1)] * 2)

    def test_simultaneous_failures_after_lease_expiry(self) -> None:
        """Simultaneous losses stay losses if other lives answer after the leases expired."""
        lives = self.add_workers(3, cpu=1000)
        job = self.bench.submit(msgspec.structs.replace(SMALL, count=3))
        for start in self.bench.new_starts():
            self.bench.confirm(start)
        end = self.bench.now + 9.0
        while self.bench.now < end:
            for life in lives:
                if life in self.bench.renewals:
                    self.bench.leave_unanswered(life)
            self.bench.tick(0.1)
        for life in lives:
            self.bench.end_life(life)
        tasks = list(self.bench.cell.jobs[job].all_tasks())
        self.assertEqual([len(task.lost_runs) for task in tasks], [1] * 3)
        self.assertEqual([len(task.crashed_runs) for task in tasks], [0] * 3)


class TestGangs(SuspectsTestCase):
    def test_gang_does_not_wait_for_empty_workers(self) -> None:
        """A gang with two losses may share a worker with other runs, but not with suspects."""
        self.add_workers(1)
        job = self.bench.submit(msgspec.structs.replace(SMALL, gang=True, count=2))
        gang = self.bench.new_starts()
        (busy,) = self.add_workers(1)
        self.bench.submit(SMALL)
        self.bench.tick(0.1)
        self.assertEqual([start.life for start in self.bench.new_starts()], [busy])
        for task in self.bench.cell.jobs[job].all_tasks():
            charge_task(task, 0)
        self.crash_all(gang)
        self.bench.tick(0.2)
        self.assertEqual([start.life for start in self.bench.new_starts()], [busy, busy])

    def test_member_that_is_done(self) -> None:
        """A success of one member completes the gang, so a later loss is not charged."""
        self.add_workers(2, cpu=1000)
        job = self.bench.submit(msgspec.structs.replace(SMALL, gang=True, count=2))
        one, other = self.bench.new_starts()
        for start in (one, other):
            self.bench.confirm(start)
        self.bench.report(one.life, ended=[(one.order.task, one.order.run, DONE)])
        self.bench.end_life(other.life)
        tasks = list(self.bench.cell.jobs[job].all_tasks())
        self.assertEqual([len(task.lost_runs) for task in tasks], [0, 0])

    def test_members_whose_start_was_not_answered(self) -> None:
        """Stopping the other members after a loss does not confirm their starts."""
        self.add_workers(1)
        spec = StepSpec(count=3, size=Size(1000, 1000), estimate_ms=1000, gang=True)
        job = self.bench.submit(spec)
        starts = self.bench.new_starts()
        self.bench.confirm(starts[0])
        self.bench.end_life(starts[0].life)
        tasks = self.bench.cell.jobs[job].all_tasks()
        self.assertEqual([len(task.crashed_runs) for task in tasks], [1, 0, 0])

    def test_only_members_on_the_worker_are_charged(self) -> None:
        """A gang's members on other workers are not charged with a crash."""
        self.add_workers(2, cpu=1000)
        spec = StepSpec(count=2, size=Size(1000, 1000), estimate_ms=1000, gang=True)
        job = self.bench.submit(spec)
        starts = self.bench.new_starts()
        for start in starts:
            self.bench.confirm(start)
        self.bench.end_life(starts[0].life)
        tasks = list(self.bench.cell.jobs[job].all_tasks())
        self.assertEqual([len(task.lost_runs) for task in tasks], [1, 0])


if __name__ == "__main__":
    unittest.main()

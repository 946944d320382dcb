"""Tests of workers with more ended runs than one report lists."""

import unittest

from snowdock.declarations import Size
from snowdock.emulator import Emulator, EmulatorOptions, WorkloadOptions
from snowdock.emulator.workload import DrawnJob, make_mix
from snowdock.jobs.events import (
    Persist,
    Persisted,
    RenewAnswered,
    SendRenewal,
    SendStart,
    SendStop,
    StopAnswered,
)
from snowdock.jobs.model import JobSpec, JobStatus, StepSpec, TaskId
from snowdock.jobs.orders import MAX_LISTED_ENDS, EndedRun, RenewOrder, RunningRun, WorkerReport
from snowdock.jobs.recorded_progress import read_progress
from snowdock.jobs.takeover import RecordedJobs
from tests.jobs_tools import DONE, Bench, filter_by_type, find_unended_jobs

TASKS = 700
STEP = StepSpec(count=TASKS, size=Size(1, 1), estimate_ms=1000)


class CrowdedWorker:
    """A worker with hundreds of runs, its leader, and the records of the leader's progress."""

    def __init__(self) -> None:
        self.recorded: dict[str, bytes] = {}
        self.starts: list[TaskId] = []
        self.running: dict[TaskId, int] = {}
        self.ends: list[EndedRun] = []
        self.bench = Bench(1)
        self.bench.add_worker("w", cpu=100_000)
        self.job = self.bench.submit(STEP)
        self.apply(self.bench.effects)
        self.bench.now += 1.0
        self.advance(0.5)
        self.recorded = dict(self.bench.recorded)

    def apply(self, effects) -> None:
        for effect in effects:
            if isinstance(effect, SendStart):
                self.starts.append(effect.order.task)
                self.running[effect.order.task] = effect.order.run
            elif isinstance(effect, SendStop):
                order = effect.order
                self.apply(self.bench.feed(StopAnswered("w", order.task, order.run, True)))
            elif isinstance(effect, SendRenewal):
                seen = effect.order.last_recorded_end
                self.ends = [end for end in self.ends if end.number > seen]

    def advance(self, seconds: float) -> None:
        """Advance the time, and report to the leader whenever it asks."""
        for _ in range(round(seconds * 10)):
            self.apply(self.bench.tick(0.1))
            if "w" in self.bench.renewals:
                self.report(self.bench.renewals.pop("w"))

    def report(self, order: RenewOrder) -> None:
        rows = [RunningRun(task, run, "", 50.0, 0.0) for task, run in self.running.items()]
        self.bench.now += 0.001
        outcome = WorkerReport(self.bench.now * 1000, rows, self.ends[:MAX_LISTED_ENDS])
        self.apply(self.bench.feed(RenewAnswered("w", order, outcome)))

    def end_all(self) -> None:
        """Have all runs end done."""
        for number, (task, run) in enumerate(self.running.items(), 1):
            self.ends.append(EndedRun(number, task, run, DONE, ""))
        self.running.clear()

    def replace_leader(self) -> None:
        """Have another leader restore what is on record, and find the worker."""
        on_record = read_progress([self.recorded.items()])
        before, self.bench = self.bench, Bench(2)
        self.bench.now = before.now + 1.0
        accepted = {self.job: before.cell.jobs[self.job].accepted}
        restored = RecordedJobs(accepted, set(), on_record.progress, layouts=on_record.layouts)
        self.apply(self.bench.restore(restored))
        self.bench.add_worker("w", cpu=100_000, is_synced=False)
        self.apply(self.bench.effects)


class TestReducer(unittest.TestCase):
    def setUp(self) -> None:
        self.worker = CrowdedWorker()
        self.assertEqual(len(self.worker.starts), TASKS)

    def check_each_started_once(self) -> None:
        worker = self.worker
        self.assertEqual(len(worker.starts), TASKS)
        self.assertIs(worker.bench.cell.jobs[worker.job].status, JobStatus.COMPLETED)
        self.assertEqual(worker.ends, [])

    def test_ends_beyond_one_report_during_an_outage(self) -> None:
        """Runs whose ends a full report left out counted as vanished and were started again."""
        worker, bench = self.worker, self.worker.bench
        bench.is_store_paused = True
        worker.end_all()
        worker.advance(7.0)
        self.assertEqual(filter_by_type(bench.all_effects, SendStop), [])
        (batch,) = filter_by_type(bench.all_effects, Persist)[-1:]
        bench.is_store_paused = False
        worker.apply(bench.feed(Persisted(batch.number)))
        worker.advance(3.0)
        self.check_each_started_once()

    def test_first_report_to_a_new_leader(self) -> None:
        """A new leader concluded from its first report, though full, and did not even stop them."""
        self.worker.end_all()
        self.worker.replace_leader()
        self.worker.advance(0.1)
        self.worker.advance(3.0)
        self.check_each_started_once()

    def test_worker_settles_with_its_first_whole_report(self) -> None:
        """After a full report a worker gets no new runs yet, and after the next one it does."""
        self.worker.end_all()
        self.worker.replace_leader()
        bench = self.worker.bench
        bench.is_store_paused = True
        self.worker.report(bench.await_renewal("w"))
        self.assertFalse(bench.cell.workers["w"].is_synced)
        (batch,) = filter_by_type(bench.all_effects, Persist)[-1:]
        bench.is_store_paused = False
        self.worker.apply(bench.feed(Persisted(batch.number)))
        self.worker.advance(1.0)
        self.assertTrue(bench.cell.workers["w"].is_synced)

    def test_run_that_vanished_is_found_after_full_reports(self) -> None:
        """A run that a whole report doesn't list is still stopped and started again."""
        worker = self.worker
        lost = next(iter(worker.running))
        del worker.running[lost]
        worker.end_all()
        worker.advance(4.0)
        self.assertEqual(worker.starts.count(lost), 2)
        self.assertEqual(len(worker.starts), TASKS + 1)


def make_jobs(count: int, tasks: int, work_s: float) -> list[DrawnJob]:
    """Return jobs of small tasks that all run for as long."""
    mix = make_mix("receipts", 1, 2.0, 1000, None, 10.0, 1.0)
    step = StepSpec(count=tasks, size=Size(20, 80), estimate_ms=round(work_s * 1000))
    spec = JobSpec("receipts", "payload", (step,))
    return [
        DrawnJob(f"{number:016x}", 0.5, mix, spec, ((work_s,) * tasks,), False)
        for number in range(count)
    ]


class TestEmulatedOutage(unittest.TestCase):
    def play(self, changes_leader: bool) -> Emulator:
        """Have 700 runs end on one worker while the store is down."""
        jobs = make_jobs(14, 50, 4.0)
        workload = WorkloadOptions(30.0, 1.0, (jobs[0].mix,))
        options = EmulatorOptions(workload, workers=1, capacity=Size(16_000, 65_536))
        emulator = Emulator(1, options, jobs)
        emulator.checks.is_undisturbed = False
        emulator.run_until(3.0)
        emulator.faults.is_store_down = True
        emulator.run_until(10.0)
        if changes_leader:
            emulator.kill_leader(0.5)
        emulator.faults.is_store_down = False
        emulator.run_until(40.0)
        self.assertEqual(find_unended_jobs(emulator, jobs), [])
        return emulator

    def test_runs_that_end_during_an_outage(self) -> None:
        """No task is started again after the store's return, by the same leader or the next."""
        for changes_leader in (False, True):
            with self.subTest(changes_leader=changes_leader):
                emulator = self.play(changes_leader)
                self.assertEqual(emulator.checks.violations[:3], [])

    def test_report_lists_no_more_ends_than_the_platforms(self) -> None:
        """The emulated worker cuts its list of ends, and lists the rest once those are dropped."""
        jobs = make_jobs(14, 50, 2.0)
        workload = WorkloadOptions(30.0, 1.0, (jobs[0].mix,))
        emulator = Emulator(1, EmulatorOptions(workload, workers=1), jobs)
        emulator.run_until(2.0)
        emulator.faults.is_store_down = True
        emulator.run_until(6.0)
        (model,) = emulator.workers.values()
        reports: list[WorkerReport] = []
        for last_recorded_end in (0, MAX_LISTED_ENDS):
            model.renew(RenewOrder(99, last_recorded_end, 0, 0, 0.0), reports.append)
        self.assertEqual([len(each.ended) for each in reports], [MAX_LISTED_ENDS, 200])
        self.assertEqual([each.may_omit_ends for each in reports], [True, False])


if __name__ == "__main__":
    unittest.main()

"""Tests of tasks that crash the workers that run them."""

import unittest

import msgspec

from snowdock.jobs.events import (
    LogDecision,
    Persist,
    Persisted,
    SendStart,
    StartAnswered,
)
from snowdock.jobs.model import JobStatus
from snowdock.jobs.orders import EndKind
from snowdock.jobs.progress import decode_progress
from snowdock.jobs.runs import stop_run
from snowdock.jobs.takeover import RecordedJobs
from tests.jobs_tools import (
    DONE,
    SMALL,
    Bench,
    disconnect_worker,
    filter_by_type,
    make_accepted_job,
)
from tests.standins.entry_cluster import EntryCluster

MAX_STARTS = 5
"""Limit of a crashing task's starts: at most two more after its third crash."""

ROUNDS = 12


class CrashingWorkers:
    """Workers that crash whenever one given task starts; all other tasks succeed.

    Each crashed worker is replaced by a new one.
    """

    def __init__(self, crashing_task: int = 0) -> None:
        self.bench = Bench()
        self.crashing_task = crashing_task
        self.starts = 0
        self._lives = 0
        for _ in range(6):
            self.add_worker()

    def add_worker(self) -> None:
        self._lives += 1
        self.bench.add_worker(f"w{self._lives}")

    def execute_starts(self, starts: list[SendStart]) -> bool:
        """Execute starts; return whether a worker crashed."""
        crashed = set()
        for start in starts:
            if start.order.task.index == self.crashing_task:
                self.starts += 1
                crashed.add(start.life)
        for start in starts:
            if start.life not in crashed:
                self.bench.confirm(start)
                run = (start.order.task, start.order.run, DONE)
                self.bench.report(start.life, ended=[run])
        for life in crashed:
            self.bench.leave_unanswered(life)
            self.bench.tick(3.5)
            self.bench.end_life(life)
            self.add_worker()
        return bool(crashed)

    def run_rounds(self, after_crash=lambda: None) -> None:
        """Execute starts for `ROUNDS` rounds."""
        for _ in range(ROUNDS):
            if self.execute_starts(self.bench.new_starts()):
                after_crash()
            self.bench.tick(3.0)


class TestCrashingTask(unittest.TestCase):
    def status(self, bench: Bench, job: str) -> JobStatus:
        return bench.cell.jobs[job].status

    def test_crashing_task_is_given_up(self) -> None:
        """A task that crashes every worker is given up, and its job fails."""
        workers = CrashingWorkers()
        job = workers.bench.submit(SMALL)
        workers.run_rounds()
        self.assertLessEqual(workers.starts, MAX_STARTS)
        self.assertEqual(self.status(workers.bench, job), JobStatus.FAILED)

    def test_counts_survive_leader_changes(self) -> None:
        """The limit also holds if the leader changes after each crash."""
        workers = CrashingWorkers()
        accepted = make_accepted_job(SMALL)
        job = workers.bench.submit(SMALL)
        token = 1

        def replace_leader() -> None:
            nonlocal token
            token += 1
            cell = workers.bench.cell
            progress = _recorded(workers.bench, job)
            workers.bench = Bench(token)
            workers.bench.now = cell.now
            workers.bench.restore(RecordedJobs({job: accepted}, set(), {job: progress}))
            for life in cell.workers:
                workers.bench.add_worker(life)

        workers.run_rounds(replace_leader)
        self.assertLessEqual(workers.starts, MAX_STARTS)
        self.assertEqual(self.status(workers.bench, job), JobStatus.FAILED)


class TestCharges(unittest.TestCase):
    """Classification of lost runs as crashes or losses."""

    def setUp(self) -> None:
        self.bench = Bench()
        self.bench.add_worker("w")
        self.job = self.bench.submit(SMALL)
        (self.start,) = self.bench.starts()

    @property
    def task(self):
        return self.bench.cell.find_task(self.start.order.task)

    def counts(self) -> tuple[int, int]:
        return len(self.task.crashed_runs), len(self.task.lost_runs)

    def advance(self, seconds: float, running=()) -> None:
        """Advance time while the worker reports its runs."""
        for _ in range(round(seconds * 10)):
            self.bench.tick(0.1)
            if "w" in self.bench.renewals:
                self.bench.report("w", running=running)

    def start_on_another(self) -> SendStart:
        """Return the start that the task gets on a new worker."""
        self.bench.add_worker("v")
        self.bench.tick(0.2)
        (again,) = [each for each in self.bench.starts(self.bench.all_effects) if each.life == "v"]
        return again

    def leave_unanswered_for(self, seconds: float) -> None:
        disconnect_worker(self.bench, "w", seconds)

    def test_another_life_is_a_crash(self) -> None:
        """A worker whose next life answers counts as crashed."""
        self.bench.confirm(self.start)
        self.bench.end_life("w")
        self.assertEqual(self.counts(), (1, 1))

    def test_start_without_an_answer(self) -> None:
        """If the start was not answered, the worker may have ended before it arrived: a loss."""
        self.bench.end_life("w")
        self.assertEqual(self.counts(), (0, 1))

    def test_end_of_a_draining_worker(self) -> None:
        """A run of some seconds is not charged if its worker was draining."""
        self.bench.confirm(self.start)
        self.bench.drain("w")
        self.advance(3.0, running=[(self.task.id, 1, 1.0)])
        self.bench.end_life("w")
        self.assertEqual(self.counts(), (0, 0))

    def test_run_that_is_being_stopped(self) -> None:
        """Stopping a run on a draining worker does not make it count as just begun."""
        self.bench.confirm(self.start)
        self.bench.drain("w")
        self.advance(3.0, running=[(self.task.id, 1, 1.0)])
        stop_run(self.bench.cell, self.task, self.bench.now)
        self.bench.end_life("w")
        self.assertEqual(self.counts(), (0, 0))

    def test_draining_worker_that_ends_just_after_a_start(self) -> None:
        """A run that just began is charged with a loss, since it may have crashed the worker."""
        self.bench.drain("w")
        self.bench.confirm(self.start)
        self.bench.tick(0.4)
        self.bench.end_life("w")
        self.assertEqual(self.counts(), (0, 1))

    def test_long_running_task_survives_a_rolling_replacement(self) -> None:
        """A long-running task keeps running, however many of its workers are replaced in turn."""
        bench = self.bench = Bench()
        bench.add_worker("w0")
        job = bench.submit(msgspec.structs.replace(SMALL, long_running=True))
        for number in range(8):
            (start,) = [
                each for each in bench.starts(bench.all_effects) if each.order.run == number + 1
            ]
            bench.confirm(start)
            self.bench.drain(start.life)
            bench.add_worker(f"w{number + 1}")
            bench.end_life(start.life)
            bench.tick(0.2)
        self.assertEqual(bench.cell.jobs[job].status, JobStatus.RUNNING)

    def test_silence_is_a_loss_until_another_life_answers(self) -> None:
        """Expired leases count as a loss, a later answer of another life as a crash."""
        self.bench.confirm(self.start)
        self.leave_unanswered_for(9.0)
        self.assertEqual(self.counts(), (0, 1))
        self.bench.end_life("w")
        self.assertEqual(self.counts(), (1, 1))

    def test_partitioned_worker_has_not_crashed(self) -> None:
        """A run is not charged as a crash if its worker answered after its leases expired."""
        self.bench.confirm(self.start)
        self.leave_unanswered_for(9.0)
        self.bench.report("w")
        self.bench.report("w")
        self.bench.end_life("w")
        self.assertEqual(self.task.crashed_runs & {1}, set())

    def test_unsent_placement_is_not_charged(self) -> None:
        """A start that still waits for its record cannot have affected the worker."""
        bench = self.bench = Bench()
        bench.add_worker("w")
        bench.is_store_paused = True
        bench.submit(SMALL)
        (batch,) = filter_by_type(bench.effects, Persist)
        self.assertEqual(decode_progress(batch.records[0].data).tasks[0].life, "w")
        self.bench.end_life("w")
        (task,) = next(iter(bench.cell.jobs.values())).all_tasks()
        self.assertEqual(task.lost_runs, frozenset())

    def test_age_of_an_unsent_placement(self) -> None:
        """The logged age is based on this placement, not on the order of an earlier run."""
        self.bench.confirm(self.start)
        self.bench.end_life("w")
        self.bench.tick(10.0)
        self.bench.is_store_paused = True
        self.bench.add_worker("v")
        self.bench.tick(0.2)
        self.bench.leave_unanswered("v")
        self.bench.all_effects.clear()
        self.bench.end_life("v")
        (line,) = [
            each
            for each in filter_by_type(self.bench.all_effects, LogDecision)
            if each.decision == "run_lost"
        ]
        self.assertLess(dict(line.fields)["silent_after_s"], 5.0)

    def test_orphan_is_a_loss(self) -> None:
        """A run whose worker stays unknown to a new leader is charged as a loss."""
        progress = decode_progress(self.bench.recorded[self.job])
        self.bench = Bench(2)
        self.bench.restore(
            RecordedJobs({self.job: make_accepted_job(SMALL)}, set(), {self.job: progress})
        )
        self.bench.tick(12.0)
        self.assertEqual(self.counts(), (0, 1))

    def test_late_crash_is_recorded(self) -> None:
        """A crash that is detected after the leases expired is recorded for later leaders."""
        self.bench.confirm(self.start)
        self.leave_unanswered_for(9.0)
        self.bench.end_life("w")
        self.bench.tick(0.1)
        (task,) = _recorded(self.bench, self.job).tasks
        self.assertEqual((task.crashed_runs, task.lost_runs), ([1], [1]))

    def test_run_confirmed_only_by_a_report(self) -> None:
        """An unanswered start counts as a crash if a report has listed its run."""
        self.bench.report("w", running=[(self.task.id, 1, 1.0)])
        self.bench.end_life("w")
        self.assertEqual(self.counts(), (1, 1))

    def test_second_run_is_confirmed_separately(self) -> None:
        """The confirmation of an earlier run does not apply to the next one."""
        self.bench.confirm(self.start)
        self.bench.end_life("w")
        self.start_on_another()
        self.bench.end_life("v")
        self.assertEqual(self.counts(), (1, 2))

    def test_unanswered_start_on_a_draining_worker(self) -> None:
        """The start may be executed seconds later and then crash the worker, so it is a loss."""
        self.bench.drain("w")
        order = self.start.order
        self.bench.feed(StartAnswered("w", order.task, order.run, None))
        self.advance(3.0)
        self.bench.end_life("w")
        self.assertEqual(self.counts(), (0, 1))

    def test_start_that_waited_for_its_record(self) -> None:
        """A run's age counts from its order, since its placement may wait for the store."""
        bench = self.bench = Bench()
        bench.add_worker("w")
        bench.is_store_paused = True
        self.job = bench.submit(SMALL)
        (batch,) = filter_by_type(bench.effects, Persist)
        self.advance(3.0)
        bench.feed(Persisted(batch.number))
        (self.start,) = bench.starts()
        bench.confirm(self.start)
        bench.report("w", running=[(self.start.order.task, 1, 1.0)])
        self.bench.drain("w")
        self.bench.end_life("w")
        self.assertEqual(self.counts(), (0, 1))

    def test_finite_task_keeps_its_losses(self) -> None:
        """A finite task is not cleared of its losses by its running time."""
        self.bench.confirm(self.start)
        self.bench.end_life("w")
        again = self.start_on_another()
        self.bench.confirm(again)
        for _ in range(62):
            self.bench.report("v", running=[(again.order.task, 2, 1.0)])
            self.bench.tick(0.5)
        self.assertEqual(self.counts(), (1, 1))

    def test_stopped_runs_are_not_charged(self) -> None:
        """A task without losses is not charged for runs that are stopped just after their start."""
        for run in range(1, 8):
            self.bench.report("w", ended=[(self.task.id, run, EndKind.STOPPED)])
            self.bench.tick(0.2)
        self.assertEqual(self.counts(), (0, 0))
        self.assertEqual(self.bench.cell.jobs[self.job].status, JobStatus.RUNNING)

    def test_long_running_task_is_cleared_of_losses(self) -> None:
        """Losses of a long-running task are cleared once a run of it has lasted long enough."""
        bench = self.bench = Bench()
        bench.add_worker("w")
        bench.submit(msgspec.structs.replace(SMALL, long_running=True))
        (self.start,) = bench.starts()
        bench.confirm(self.start)
        self.bench.end_life("w")
        self.assertEqual(self.counts(), (1, 1))
        again = self.start_on_another()
        bench.confirm(again)
        for _ in range(62):
            bench.report("v", running=[(again.order.task, 2, 100.0)])
            bench.tick(0.5)
        self.assertEqual(self.counts(), (0, 0))
        self.assertEqual(bench.cell.jobs[self.task.id.job].status, JobStatus.RUNNING)
        (task,) = _recorded(bench, self.task.id.job).tasks
        self.assertEqual((task.crashed_runs, task.lost_runs), ([], []))

    def test_records_without_charges_are_decoded(self) -> None:
        """Progress records of older releases without charges are decoded with none."""
        old = msgspec.msgpack.encode([1, [[0, 0, 0, 3, "w", False, [2], ""]], ""])
        (task,) = decode_progress(old).tasks
        self.assertEqual((task.lost_runs, task.crashed_runs), ([], []))


class TestPartitionedWorkers(unittest.TestCase):
    """Partitioned workers, whose leases expire and which later answer in the same life."""

    def test_loss_is_revoked(self) -> None:
        """Losses are revoked when the worker answers in the same life."""
        bench = Bench()
        bench.add_worker("w")
        job = bench.submit(SMALL)
        ((step,),) = bench.cell.jobs[job].repetitions.values()
        (task,) = step.tasks
        for _ in range(7):
            (start,) = bench.starts(bench.all_effects)
            bench.all_effects.clear()
            bench.confirm(start)
            disconnect_worker(bench, "w")
            self.assertEqual(len(task.lost_runs), 1)
            for _ in range(3):
                bench.report("w")
            bench.tick(0.2)
            self.assertEqual(task.lost_runs, frozenset())
        self.assertEqual(bench.cell.jobs[job].status, JobStatus.RUNNING)
        (recorded,) = _recorded(bench, job).tasks
        self.assertEqual(recorded.lost_runs, [])

    def test_revoked_loss_is_recorded(self) -> None:
        """The revocation is recorded, even if the task runs elsewhere by then."""
        bench = Bench()
        bench.add_worker("w")
        job = bench.submit(SMALL)
        (start,) = bench.new_starts()
        bench.confirm(start)
        disconnect_worker(bench, "w")
        bench.add_worker("v")
        bench.tick(0.2)
        (again,) = bench.new_starts()
        bench.confirm(again)
        self.assertEqual(_recorded(bench, job).tasks[0].lost_runs, [1])
        bench.report("w")
        self.assertEqual(_recorded(bench, job).tasks[0].lost_runs, [])


class TestEndToEnd(unittest.TestCase):
    def test_callers_see_the_failed_job(self) -> None:
        """With real daemons, a crashing job is reported as failed and the others as completed."""
        cluster = EntryCluster(2, workers=4)
        self.addCleanup(cluster.close)
        self.assertTrue(cluster.wait_ready())
        step = {"count": 2, "cpu": 500, "mem_mb": 100, "estimate_ms": 100}
        bad, bad_body = cluster.make_job([step])
        cluster.workers.mark_crashing(bad.rpartition("/")[2])
        good = [cluster.make_job([step]) for _ in range(4)]
        node = cluster.leader
        for path, body in [(bad, bad_body), *good]:
            self.assertEqual(node.call("POST", path, body)[0], 200)
        self.assertTrue(cluster.wait_state(bad, "failed", 40.0))
        for path, _ in good:
            self.assertTrue(cluster.wait_state(path, "completed", 40.0))
        self.assertEqual(cluster.workers.checks.violations, [])
        (line,) = node.log_lines("task_given_up")
        self.assertIn("crashes=3", line)


def _recorded(bench: Bench, job: str):
    """Return a job's progress as recorded by the last batch."""
    return decode_progress(bench.recorded[job])


if __name__ == "__main__":
    unittest.main()

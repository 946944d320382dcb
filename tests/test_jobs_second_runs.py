"""Tests that no proof of a run's end holds while the run may still start or go on."""

import dataclasses
import random
import types
import unittest

import msgspec

from snowdock.declarations import Size
from snowdock.emulator import Emulator, EmulatorOptions, WorkloadOptions, draw_workload
from snowdock.emulator.checks import InvariantChecker
from snowdock.emulator.worker_model import WorkerTimings
from snowdock.emulator.workload import DrawnJob, default_mixes
from snowdock.entry.leadership import Leadership
from snowdock.jobs.events import (
    JobAccepted,
    JobAnnounced,
    RenewAnswered,
    SendStop,
    StartAnswered,
    StopAnswered,
    WorkerDelisted,
)
from snowdock.jobs.lives import format_life
from snowdock.jobs.model import JobSpec, JobStatus, StepSpec, TaskId
from snowdock.jobs.orders import EndKind, Refusal
from snowdock.jobs.recorded_progress import read_progress
from snowdock.jobs.takeover import RecordedJobs
from snowdock.jobs.timeouts import AUTHORITY_SECONDS
from snowdock.jobs.worker_watch import run_expiry_on_worker
from snowdock.node.metrics import Metrics
from tests.jobs_tools import (
    DONE,
    SETTINGS,
    SMALL,
    Bench,
    disconnect_worker,
    filter_by_type,
    find_unended_jobs,
    make_accepted_job,
)
from tests.standins.entry_cluster import wait_until

UNDATED, EARLIER, KNOWN, LATER = "i-1", *(format_life("i-1", born) for born in (100, 200, 300))

CUT_SEEDS = range(6)
CUT_DAY_SECONDS = 40
SETTLE_SECONDS = 150
SLOW_CLOCK_RATE = 0.98
IDLE_GAP_SECONDS = 3.0
"""Time between answers of a worker without runs: its renewals' interval, and their timeout."""

RESTART_SHARE = 0.5
"""Share of cuts in which a worker restarts under its id."""

WORK_FACTOR = 5
"""Makes the runs outlast a cut."""


def lengthen(job: DrawnJob) -> DrawnJob:
    """Return a job of which each run takes longer."""
    work_s = tuple(tuple(WORK_FACTOR * each for each in step) for step in job.work_s)
    return dataclasses.replace(job, work_s=work_s)


class TestEpochs(unittest.TestCase):
    """A leader's epoch is its token and its producer epoch, so that each leader needs its own."""

    def setUp(self) -> None:
        self.contexts: list[int] = []
        self.step_downs: list[str] = []
        self.election = types.SimpleNamespace(own_epoch=0, turnover=0, step_down=self.step_down)
        self.leadership = Leadership(self.election, object, self.make_context, Metrics())
        self.leadership.start()

    def step_down(self, reason: str) -> None:
        self.election.own_epoch = 0
        self.step_downs.append(reason)

    def make_context(self, epoch: int) -> object:
        self.contexts.append(epoch)
        self.election.own_epoch = 0
        return types.SimpleNamespace()

    def elect(self, epoch: int) -> None:
        self.election.own_epoch = epoch
        self.leadership.begin(epoch)

    def test_second_leader_in_the_same_epoch(self) -> None:
        """An epoch that this node reads back as its own starts no second leader."""
        self.elect(7)
        self.assertTrue(wait_until(lambda: self.contexts == [7]))
        self.elect(7)
        self.assertEqual(len(self.step_downs), 1)
        self.elect(9)
        self.assertTrue(wait_until(lambda: len(self.contexts) > 1))
        self.assertEqual(self.contexts, [7, 9])


class TestListedLives(unittest.TestCase):
    """An entry proves the end of the life before only if it states a later start."""

    def setUp(self) -> None:
        self.bench = Bench()
        self.bench.add_worker(KNOWN)
        self.job = self.bench.submit()
        (start,) = self.bench.new_starts()
        self.bench.confirm(start)
        self.order = start.order
        self.bench.add_worker("other")

    def list_life(self, life: str) -> None:
        self.bench.add_worker(life, is_synced=False)

    def report(self, percent: int) -> None:
        self.bench.report(KNOWN, running=[(self.order.task, self.order.run, percent)])

    def test_run_is_placed_again_beside_a_life_that_goes_on(self) -> None:
        """An entry without a start, or with an earlier one, doesn't end the life that answers."""
        for life in (UNDATED, EARLIER):
            with self.subTest(life=life):
                self.list_life(life)
                for percent in range(10, 40):
                    self.report(percent)
                    self.bench.tick(0.2)
                self.assertEqual(self.bench.new_starts(), [])
                self.assertNotIn(life, self.bench.cell.workers)
        self.list_life(KNOWN)
        self.bench.report(KNOWN, ended=[(self.order.task, self.order.run, DONE)])
        self.assertIs(self.bench.cell.jobs[self.job].status, JobStatus.COMPLETED)
        self.assertEqual(self.bench.cell.unproven_entries, {})

    def test_earlier_start_counts_once_the_life_before_has_ended(self) -> None:
        """After a clock was set back, the worker's answer proves the next life at once."""
        order = self.bench.await_renewal(KNOWN)
        self.list_life(EARLIER)
        self.bench.feed(RenewAnswered(KNOWN, order, Refusal.NEXT_LIFE))
        self.assertEqual(list(self.bench.cell.workers), ["other", EARLIER])
        self.bench.tick(0.2)
        (again,) = self.bench.new_starts()
        self.assertEqual(again.order.run, 2)

    def test_life_before_is_asked_at_once(self) -> None:
        """A life whose end is not proven is looked at, if no call to it is on its way."""
        self.bench.cell.workers[KNOWN].is_renewing = False
        self.bench.renewals.clear()
        self.list_life(EARLIER)
        self.assertIn(KNOWN, self.bench.renewals)

    def test_life_before_stays_silent(self) -> None:
        """An earlier start counts once the leases of the silent life before have expired."""
        self.list_life(EARLIER)
        disconnect_worker(self.bench, KNOWN, 3.0)
        self.assertEqual(self.bench.new_starts(), [])
        disconnect_worker(self.bench, KNOWN, 4.0)
        self.assertEqual(list(self.bench.cell.workers), ["other", EARLIER])
        self.assertEqual([each.order.run for each in self.bench.new_starts()], [2])

    def test_entry_that_proves_nothing_goes(self) -> None:
        """With its entry, a life that was never proven is forgotten."""
        self.list_life(EARLIER)
        self.bench.feed(WorkerDelisted(EARLIER, False))
        self.bench.feed(RenewAnswered(KNOWN, self.bench.await_renewal(KNOWN), Refusal.OTHER_LIFE))
        cell = self.bench.cell
        self.assertEqual((list(cell.workers), cell.unproven_entries), (["other"], {}))

    def test_later_start_is_proof(self) -> None:
        """An entry with a later start ends the life before at once."""
        self.list_life(LATER)
        self.bench.tick(0.2)
        self.assertEqual([each.order.run for each in self.bench.new_starts()], [2])


class TestLateSubmissions(unittest.TestCase):
    """A placement is on record, but its job's submission only after the next leader has read.

    The earlier leader sends the start once it reads the submission, while it may still give orders.
    """

    JOB = "a" * 16

    def setUp(self) -> None:
        before = Bench()
        before.add_worker("w")
        self.accepted = make_accepted_job(SMALL)
        before.feed(JobAnnounced(self.JOB, self.accepted))
        before.feed(JobAccepted(self.JOB, self.accepted))
        (start,) = before.new_starts()
        self.task, self.run = start.order.task, start.order.run
        on_record = read_progress([before.recorded.items()])
        self.bench = Bench(token=2)
        self.bench.now = before.now + 0.5
        self.bench.recorded = before.recorded
        self.bench.restore(RecordedJobs({}, set(), on_record.progress, layouts=on_record.layouts))
        self.bench.add_worker("other")

    def submit(self) -> None:
        self.bench.feed(JobAccepted(self.JOB, self.accepted))
        self.bench.tick(0.3)

    @property
    def status(self) -> JobStatus:
        return self.bench.cell.jobs[self.JOB].status

    def started_runs(self) -> list[int]:
        return [start.order.run for start in self.bench.new_starts()]

    def test_placement_on_record_is_forgotten_with_its_submission(self) -> None:
        """A job that is read late isn't started beside the start that its record may allow."""
        self.submit()
        self.assertEqual(self.started_runs(), [])
        self.bench.add_worker("w", is_synced=False)
        self.bench.report("w", running=[(self.task, self.run, 10)])
        self.bench.report("w", ended=[(self.task, self.run, DONE)])
        self.assertEqual((self.status, self.started_runs()), (JobStatus.COMPLETED, []))

    def test_worker_is_not_reached(self) -> None:
        """A job that is read late starts once the earlier leader's leases have expired."""
        self.submit()
        self.bench.tick(9.0)
        self.assertEqual(self.started_runs(), [])
        self.bench.tick(2.0)
        self.assertEqual(self.started_runs(), [2])

    def test_worker_has_reported_without_the_run(self) -> None:
        """The report of a worker that doesn't have the run is proof, without a wait."""
        self.bench.add_worker("w")
        self.submit()
        self.assertEqual(self.started_runs(), [2])

    def test_run_is_being_stopped(self) -> None:
        """A run that was stopped since its job was unknown ends before the task restarts."""
        self.bench.add_worker("w", is_synced=False)
        self.bench.report("w", running=[(self.task, self.run, 10)])
        (stop,) = filter_by_type(self.bench.all_effects, SendStop)
        self.submit()
        self.assertEqual(self.started_runs(), [])
        self.bench.feed(StopAnswered("w", stop.order.task, stop.order.run, True))
        self.bench.report("w")
        self.bench.tick(0.6)
        self.bench.report("w")
        self.bench.tick(0.3)
        self.assertEqual(self.started_runs(), [2])

    def test_run_has_ended_before_its_job_was_read(self) -> None:
        """An end that was acknowledged while its job was unknown counts for the job."""
        self.bench.add_worker("w", is_synced=False)
        self.bench.report("w", ended=[(self.task, self.run, DONE)])
        self.bench.tick(0.3)
        self.submit()
        self.assertEqual((self.status, self.started_runs()), (JobStatus.COMPLETED, []))

    def test_announcement_of_a_job_with_progress(self) -> None:
        """A job with progress on record isn't placed before its submission is read."""
        self.bench.feed(JobAnnounced(self.JOB, self.accepted))
        self.bench.tick(0.3)
        self.submit()
        self.assertEqual(self.started_runs(), [])

    def test_progress_of_another_job_under_the_identifier(self) -> None:
        """Progress that doesn't fit a submission's team is not that job's."""
        self.accepted = msgspec.structs.replace(self.accepted, team="team")
        self.submit()
        self.assertEqual(self.started_runs(), [1])


class TestStops(unittest.TestCase):
    """An accepted stop proves that a start never begins later."""

    def setUp(self) -> None:
        self.bench = Bench()
        self.bench.add_worker("w")
        self.bench.submit()
        (start,) = self.bench.new_starts()
        order = start.order
        self.bench.feed(StartAnswered("w", order.task, order.run, None))
        for _ in range(2):
            self.bench.tick(0.2)
            self.bench.report("w")
        (stop,) = filter_by_type(self.bench.all_effects, SendStop)
        self.stop = stop.order

    def answer_stop(self, refusal: Refusal | None) -> None:
        answer = StopAnswered("w", self.stop.task, self.stop.run, True, refusal)
        self.bench.feed(answer)
        for _ in range(2):
            self.bench.tick(0.2)
            self.bench.report("w")
        self.repeated = filter_by_type(self.bench.tick(2.0), SendStop)

    def test_refused_stop_counts_as_accepted(self) -> None:
        """After a refused stop the start may still arrive, so the stop is sent again."""
        self.answer_stop(Refusal.MALFORMED)
        self.assertEqual(self.bench.new_starts(), [])
        self.assertIn(self.stop, [each.order for each in self.repeated])

    def test_accepted_stop(self) -> None:
        """After an accepted stop, a report without the run is proof."""
        self.answer_stop(None)
        self.assertEqual([each.order.run for each in self.bench.new_starts()], [2])

    def test_stop_of_a_superseded_run(self) -> None:
        """A worker that refuses a stop since the run is superseded won't start it either."""
        self.answer_stop(Refusal.SUPERSEDED)
        self.assertEqual([each.order.run for each in self.bench.new_starts()], [2])


class TestInheritedRuns(unittest.TestCase):
    """A run placed on one life, and assigned to another that is listed."""

    def test_run_is_lost_with_a_life_that_never_had_it(self) -> None:
        """The refusal of a life that was assigned a run doesn't end the life that it was on."""
        before = Bench()
        before.add_worker(KNOWN)
        job = before.submit()
        (start,) = before.new_starts()
        before.confirm(start)
        on_record = read_progress([before.recorded.items()])
        bench = Bench(token=2)
        bench.now = before.now + 0.5
        bench.restore(RecordedJobs({job: make_accepted_job()}, set(), on_record.progress))
        bench.add_worker("other")
        bench.add_worker(EARLIER, is_synced=False)
        order = bench.await_renewal(EARLIER)
        bench.feed(RenewAnswered(EARLIER, order, Refusal.NEXT_LIFE))
        bench.tick(0.3)
        self.assertEqual(bench.new_starts(), [])
        bench.add_worker(KNOWN, is_synced=False)
        bench.report(KNOWN, running=[(start.order.task, 1, 50)])
        bench.report(KNOWN, ended=[(start.order.task, 1, DONE)])
        self.assertIs(bench.cell.jobs[job].status, JobStatus.COMPLETED)
        self.assertEqual(bench.new_starts(), [])


class TestLeases(unittest.TestCase):
    """Leases of silent workers, at the lowest rate of their clocks."""

    def test_lease_of_an_earlier_leader_outlasts_that_of_the_next_one(self) -> None:
        """An earlier leader may have renewed just before the first report, by an old estimate."""
        before = Bench()
        before.add_worker("w")
        job = before.submit()
        (start,) = before.new_starts()
        before.confirm(start)
        on_record = read_progress([before.recorded.items()])
        bench = Bench(token=2)
        bench.now = before.now + 0.5
        bench.restore(RecordedJobs({job: make_accepted_job()}, set(), on_record.progress))
        bench.add_worker("w", is_synced=False)
        bench.report("w", running=[(start.order.task, 1, 10)])
        lease_s = SETTINGS.lease_s + IDLE_GAP_SECONDS * (1 - SLOW_CLOCK_RATE)
        expires_at = bench.now + lease_s / SLOW_CLOCK_RATE
        worker = bench.cell.workers["w"]
        self.assertGreaterEqual(run_expiry_on_worker(bench.cell, worker), expires_at)


class TestChecks(unittest.TestCase):
    """The emulator's checks notice each way in which a task may run twice."""

    TASK, MEMBER = TaskId("a" * 16, 0, 0, 0), TaskId("a" * 16, 0, 0, 1)

    def make_checks(self, step: StepSpec = SMALL) -> InvariantChecker:
        checks = InvariantChecker()
        checks.record_submission(self.TASK.job, JobSpec("q", "", (step,)), 3)
        return checks

    def start(self, checks: InvariantChecker, run: int, life: str, task: TaskId = TASK) -> None:
        checks.check_start(task, run, life, Size(4000, 9000), [], 0.0, 3.0)

    def find_rules(self, checks: InvariantChecker) -> list[str]:
        return [each.rule for each in checks.violations]

    def test_runs_at_once(self) -> None:
        """A second run is noticed on another worker, in another life, and on the same one."""
        for life in ("other", LATER, KNOWN):
            with self.subTest(life=life):
                checks = self.make_checks()
                self.start(checks, 1, KNOWN)
                self.start(checks, 2, life)
                self.assertEqual(self.find_rules(checks), ["twice"])

    def test_start_after_an_acknowledged_end(self) -> None:
        """A start is noticed after an acknowledged success, and an acknowledgement after it."""
        for is_acknowledged_first in (True, False):
            with self.subTest(is_acknowledged_first=is_acknowledged_first):
                checks = self.make_checks()
                self.start(checks, 1, KNOWN)
                checks.record_end(self.TASK, 1, KNOWN, DONE, 1.0)
                if is_acknowledged_first:
                    checks.acknowledge_end(self.TASK, 1, DONE, True, 1.0)
                self.start(checks, 2, "other")
                if not is_acknowledged_first:
                    checks.acknowledge_end(self.TASK, 1, DONE, True, 1.0)
                self.assertEqual(self.find_rules(checks), ["twice"])

    def test_start_after_a_success_of_another_member(self) -> None:
        """The acknowledged success of one member of a gang counts for all of them."""
        checks = self.make_checks(msgspec.structs.replace(SMALL, count=2, gang=True))
        for task, life in ((self.TASK, KNOWN), (self.MEMBER, "other")):
            self.start(checks, 1, life, task)
        checks.record_end(self.TASK, 1, KNOWN, DONE, 1.0)
        checks.record_end(self.MEMBER, 1, "other", EndKind.LEASE_EXPIRED, 1.0)
        checks.acknowledge_end(self.TASK, 1, DONE, True, 1.0)
        self.start(checks, 2, "other", self.MEMBER)
        self.assertEqual(self.find_rules(checks), ["twice"])


class TestCutGroups(unittest.TestCase):
    """A leader that is cut off together with some workers, on the emulator."""

    def run_with_cuts(self, seed: int, exceeds_authority: bool) -> Emulator:
        """Cut off each leader in turn, which may give orders for as long as it is cut off."""
        rng = random.Random(seed)
        workload = WorkloadOptions(CUT_DAY_SECONDS, 0.1, default_mixes(seed % 2 == 0))
        jobs = [lengthen(job) for job in draw_workload(seed, workload)]
        options = EmulatorOptions(workload, timings=WorkerTimings(clock_rate=SLOW_CLOCK_RATE))
        emulator = Emulator(seed, options, jobs)
        emulator.checks.is_undisturbed = False
        emulator.faults.late_order_share = rng.choice([0.0, 0.05])
        emulator.faults.lost_answer_share = rng.choice([0.0, 0.1])
        at = 0.0
        while at < CUT_DAY_SECONDS:
            at += rng.uniform(2.0, 5.0)
            emulator.run_until(at)
            claim_s = rng.uniform(0.3, 2.0)
            lives = [life for life, model in emulator.workers.items() if model.is_up]
            group = rng.sample(lives, rng.randint(1, len(lives) // 2))
            emulator.cut_off_leader(group, claim_s, AUTHORITY_SECONDS, exceeds_authority)
            emulator.run_until(at + claim_s)
            if rng.random() < RESTART_SHARE:
                emulator.fleet.restart(rng.choice(lives), rng.uniform(0.1, 6.0))
            at += claim_s + rng.uniform(0.5, 12.0)
            emulator.run_until(at)
            emulator.heal_cut()
        emulator.faults.late_order_share = emulator.faults.lost_answer_share = 0.0
        emulator.run_until(at + SETTLE_SECONDS)
        self.unended = find_unended_jobs(emulator, jobs)
        return emulator

    def test_tasks_run_twice_after_a_group_cut(self) -> None:
        """No task runs twice while the leader that was cut off keeps to its authority."""
        for seed in CUT_SEEDS:
            with self.subTest(seed=seed):
                emulator = self.run_with_cuts(seed, exceeds_authority=False)
                self.assertEqual((emulator.checks.violations, self.unended), ([], []))

    def test_leader_that_exceeds_its_authority_is_noticed(self) -> None:
        """The checks see runs at once, and starts after acknowledged ends."""
        details = set()
        for seed in CUT_SEEDS:
            for each in self.run_with_cuts(seed, exceeds_authority=True).checks.violations:
                if each.rule == "twice":
                    details.add(each.detail.split()[0])
        self.assertLessEqual({"also", "started"}, details)


if __name__ == "__main__":
    unittest.main()

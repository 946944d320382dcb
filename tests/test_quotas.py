"""Tests of quotas: a team's runs stay within its quota, also under faults."""

import random
import unittest

import msgspec

from snowdock.declarations import Size
from snowdock.emulator import Emulator, EmulatorOptions, WorkloadOptions, draw_workload
from snowdock.emulator.workload import default_mixes, uneven_teams
from snowdock.jobs.events import (
    ConfigurationChanged,
    JobAccepted,
    Persist,
    Persisted,
    SendStop,
    StartAnswered,
    StopAnswered,
    WorkerDelisted,
)
from snowdock.jobs.model import JobStatus, StepSpec
from snowdock.jobs.progress import JobProgress, TaskProgress
from snowdock.jobs.takeover import RecordedJobs
from snowdock.teams import UNBOUNDED, Team, TeamBook
from tests.jobs_tools import DONE, Bench, filter_by_type, find_unended_jobs, make_accepted_job

ONE = Size(1000, 100)
WIDE = StepSpec(count=10, size=ONE, estimate_ms=1000)
GANG = StepSpec(count=4, size=ONE, estimate_ms=1000, gang=True)


def make_team(cpu: int, memory: int = UNBOUNDED, name: str = "a") -> Team:
    return Team(name, 1.0, Size(cpu, memory, UNBOUNDED))


def make_team_job(*steps: StepSpec, name: str = "a"):
    return msgspec.structs.replace(make_accepted_job(*steps), team=name)


class QuotaBench(Bench):
    """A harness with teams."""

    def __init__(self, *teams: Team, **more) -> None:
        super().__init__(**more)
        self.set_teams(*teams)
        self.orders = []

    def set_teams(self, *teams: Team) -> None:
        before = self.cell.configuration
        after = msgspec.structs.replace(before, version=before.version + 1, teams=TeamBook(teams))
        self.feed(ConfigurationChanged(after))

    def submit_as(self, name: str, *steps: StepSpec) -> str:
        job = f"{next(self._jobs):016x}"
        self.feed(JobAccepted(job, make_team_job(*steps, name=name)))
        return job

    @property
    def started(self) -> list:
        return self.starts(self.all_effects)

    @property
    def used_cpu(self) -> int:
        return self.cell.team_usage.used("a").cpu


class TestWaves(unittest.TestCase):
    def test_wide_step_goes_in_waves(self) -> None:
        """No more tasks run than the quota admits; each end lets the next task start."""
        bench = QuotaBench(make_team(3000))
        bench.add_worker(cpu=20_000)
        bench.submit_as("a", WIDE)
        self.assertEqual(len(bench.started), 3)
        for start in bench.started[:]:
            bench.confirm(start)
        first = bench.started[0].order
        bench.report("w", running=[], ended=[(first.task, 1, DONE)])
        bench.tick(0.2)
        self.assertEqual(len(bench.started), 4)
        self.assertEqual(bench.used_cpu, 3000)

    def test_every_kind_of_room_counts(self) -> None:
        """Quotas of memory are enforced as well as quotas of processors."""
        bench = QuotaBench(make_team(UNBOUNDED, memory=250))
        bench.add_worker(cpu=20_000)
        bench.submit_as("a", WIDE)
        self.assertEqual(len(bench.started), 2)

    def test_other_teams_are_not_delayed(self) -> None:
        """A team at its quota does not delay other teams."""
        bench = QuotaBench(make_team(1000), make_team(5000, name="b"))
        bench.add_worker(cpu=20_000)
        bench.submit_as("a", WIDE)
        bench.submit_as("b", WIDE)
        bench.tick(0.1)
        owners = [start.order.task.job[-1] for start in bench.started]
        self.assertEqual(sorted(owners), ["1", "2", "2", "2", "2", "2"])

    def test_jobs_of_no_team_are_not_bound(self) -> None:
        """Jobs that were submitted without a key have no quota."""
        bench = QuotaBench(make_team(1000))
        bench.add_worker(cpu=20_000)
        bench.submit(WIDE)
        self.assertEqual(len(bench.started), 10)

    def test_task_larger_than_the_quota_runs_alone(self) -> None:
        """A task may exceed the quota alone, but no second task may start beside it."""
        bench = QuotaBench(make_team(500))
        bench.add_worker(cpu=20_000)
        bench.submit_as("a", WIDE)
        self.assertEqual(len(bench.started), 1)


class TestGangs(unittest.TestCase):
    def test_gang_starts_whole_or_not_at_all(self) -> None:
        """A gang waits until the quota admits all of it beside the team's other runs."""
        bench = QuotaBench(make_team(4500))
        bench.add_worker(cpu=20_000)
        bench.submit_as("a", StepSpec(count=1, size=ONE))
        (small,) = bench.started
        bench.confirm(small)
        bench.submit_as("a", GANG)
        self.assertEqual(len(bench.started), 1)
        bench.report("w", ended=[(small.order.task, 1, DONE)])
        bench.tick(0.2)
        self.assertEqual(len(bench.started), 5)

    def test_gang_without_room_reserves_quota_briefly(self) -> None:
        """A gang that no workers can hold does not block the other gangs of its team."""
        bench = QuotaBench(make_team(10_000))
        bench.add_worker(cpu=4000)
        bench.submit_as("a", msgspec.structs.replace(GANG, size=Size(2000, 100)))
        bench.submit_as("a", GANG)
        bench.tick(0.5)
        self.assertEqual(bench.started, [])
        bench.tick(2.0)
        self.assertEqual([start.order.task.job[-1] for start in bench.started], ["2"] * 4)

    def test_gang_larger_than_the_quota_stays_pending(self) -> None:
        """A gang that exceeds the quota stays pending, and runs once the quota is raised."""
        bench = QuotaBench(make_team(2000))
        bench.add_worker(cpu=20_000)
        job = bench.submit_as("a", GANG)
        bench.tick(30.0)
        self.assertEqual(bench.started, [])
        self.assertIs(bench.cell.jobs[job].status, JobStatus.PENDING)
        bench.set_teams(make_team(4000))
        bench.tick(0.2)
        self.assertEqual(len(bench.started), 4)

    def test_gang_is_not_starved_by_its_own_team(self) -> None:
        """Freed quota is reserved for a waiting gang rather than used by lower-ranked tasks."""
        bench = QuotaBench(make_team(4000))
        bench.add_worker(cpu=20_000)
        bench.submit_as("a", StepSpec(count=3, size=ONE, estimate_ms=1000))
        running = bench.started[:]
        for start in running:
            bench.confirm(start)
        gang = bench.submit_as("a", GANG)
        bench.now += 0.1
        bench.submit_as("a", WIDE)
        for start in running:
            bench.report("w", ended=[(start.order.task, 1, DONE)])
            bench.tick(0.1)
        after = {start.order.task.job for start in bench.started[3:]}
        self.assertEqual(after, {gang})
        self.assertEqual(len(bench.started), 7)

    def test_gang_larger_than_the_quota_reserves_nothing(self) -> None:
        """No quota is reserved for a gang that exceeds the whole quota."""
        bench = QuotaBench(make_team(2000))
        bench.add_worker(cpu=20_000)
        bench.submit_as("a", GANG)
        bench.now += 0.1
        bench.submit_as("a", WIDE)
        bench.tick(0.2)
        self.assertEqual(len(bench.started), 2)


class TestCountedRuns(unittest.TestCase):
    """Each run that exists or may exist on a worker counts until it certainly does not."""

    def setUp(self) -> None:
        self.bench = QuotaBench(make_team(1000))
        self.bench.add_worker("w")
        self.bench.add_worker("v")

    def start_one(self):
        self.bench.submit_as("a", StepSpec(count=2, size=ONE, estimate_ms=1000))
        (start,) = self.bench.started
        return start

    def test_deferred_start(self) -> None:
        """A placement that is not recorded yet counts."""
        self.bench.is_store_paused = True
        self.bench.submit_as("a", WIDE)
        self.bench.tick(1.0)
        self.assertEqual(self.bench.used_cpu, 1000)
        self.assertEqual(self.bench.started, [])

    def test_unanswered_start(self) -> None:
        """A start without an answer counts, as it may still be carried out."""
        start = self.start_one()
        self.bench.feed(StartAnswered(start.life, start.order.task, 1, None))
        self.bench.tick(1.0)
        self.assertEqual(len(self.bench.started), 1)

    def test_run_being_stopped(self) -> None:
        """A run being stopped counts until its end is reported or its start is excluded."""
        start = self.start_one()
        self.bench.feed(StartAnswered(start.life, start.order.task, 1, None))
        while not filter_by_type(self.bench.all_effects, SendStop):
            self.bench.tick(0.1)
            self.bench.report(start.life)
        self.bench.tick(0.2)
        self.assertEqual((self.bench.used_cpu, len(self.bench.started)), (1000, 1))
        self.bench.feed(StopAnswered(start.life, start.order.task, 1, True))
        self.bench.tick(0.2)
        self.assertEqual((self.bench.used_cpu, len(self.bench.started)), (1000, 1))
        for _ in range(3):
            self.bench.tick(0.6)
            self.bench.report(start.life)
        self.bench.tick(0.2)
        self.assertEqual(len(self.bench.started), 2)
        self.assertEqual(self.bench.used_cpu, 1000)

    def test_unreachable_worker(self) -> None:
        """Runs on an unreachable worker count until their leases have expired."""
        start = self.start_one()
        self.bench.confirm(start)
        self.bench.report(start.life, running=[(start.order.task, 1, 10.0)])
        self.bench.feed(WorkerDelisted(start.life))
        for _ in range(20):
            if start.life in self.bench.renewals:
                self.bench.leave_unanswered(start.life)
            self.bench.tick(0.1)
        self.assertEqual(len(self.bench.started), 1)

    def test_runs_of_an_earlier_leader(self) -> None:
        """Runs of an earlier leader count before and after their worker is known."""
        job = "a" * 16
        progress = JobProgress(JobStatus.RUNNING, [TaskProgress(0, 0, 0, 1, "u")], "a")
        bench = QuotaBench(make_team(1000))
        bench.restore(RecordedJobs({job: make_team_job(WIDE)}, set(), {job: progress}))
        self.assertEqual(bench.used_cpu, 1000)
        bench.add_worker("w", cpu=20_000)
        bench.tick(0.5)
        self.assertEqual(bench.started, [])
        bench.add_worker("u", is_settled=False)
        self.assertEqual(bench.used_cpu, 1000)
        bench.report("u")
        bench.tick(0.2)
        self.assertEqual(len(bench.started), 1)

    def test_usage_is_empty_after_all_ends(self) -> None:
        """No usage is left once all runs have ended."""
        start = self.start_one()
        self.bench.confirm(start)
        self.bench.report(start.life, ended=[(start.order.task, 1, DONE)])
        self.bench.tick(0.2)
        second = self.bench.started[-1]
        self.bench.confirm(second)
        self.bench.report(second.life, ended=[(second.order.task, 1, DONE)])
        self.assertEqual(self.bench.cell.team_usage.used_by_team(), {})


class TestChangedQuotas(unittest.TestCase):
    def test_lowered_quota_delays_starts(self) -> None:
        """A deferred start is not sent if it exceeds a quota that was lowered meanwhile."""
        bench = QuotaBench(make_team(4000))
        bench.add_worker(cpu=20_000)
        bench.is_store_paused = True
        bench.submit_as("a", WIDE)
        (batch,) = [effect for effect in bench.all_effects if isinstance(effect, Persist)]
        bench.set_teams(make_team(1000))
        bench.is_store_paused = False
        bench.feed(Persisted(batch.number))
        bench.tick(0.5)
        self.assertLessEqual(len(bench.started), 2)

    def test_raised_quota_is_used_at_once(self) -> None:
        """Waiting tasks start with the first pass after the quota is raised."""
        bench = QuotaBench(make_team(1000))
        bench.add_worker(cpu=20_000)
        bench.submit_as("a", WIDE)
        bench.set_teams(make_team(6000))
        bench.tick(0.1)
        self.assertEqual(len(bench.started), 6)


class TestFaults(unittest.TestCase):
    SECONDS = 15

    def test_quotas_hold_under_faults(self) -> None:
        """No quota is exceeded with late orders, lost answers, leader changes and new quotas."""
        for seed in range(6):
            with self.subTest(seed=seed):
                emulator, jobs = self.run_emulation(seed)
                self.assertEqual(emulator.checks.violations, [])
                self.assertEqual(find_unended_jobs(emulator, jobs), [])

    def run_emulation(self, seed: int):
        rng = random.Random(seed)
        total = Size(24 * 16_000, 24 * 65_536, UNBOUNDED)
        teams = uneven_teams(5, total)
        workload = WorkloadOptions(
            self.SECONDS, 0.4, default_mixes(seed % 2 == 0), (), teams, ("team-3", 8.0)
        )
        jobs = draw_workload(seed, workload)
        emulator = Emulator(seed, EmulatorOptions(workload), jobs)
        emulator.checks.is_calm = False
        at = 0.0
        while at < self.SECONDS:
            at += rng.uniform(0.5, 2)
            emulator.run_until(at)
            self.inject_fault(emulator, rng, total)
        emulator.faults.lost_answers = emulator.faults.late_orders = 0
        emulator.faults.cut.clear()
        emulator.change_teams(uneven_teams(5, total.times(4)))
        emulator.run_until(self.SECONDS + 45)
        return emulator, jobs

    @staticmethod
    def inject_fault(emulator: Emulator, rng: random.Random, total: Size) -> None:
        match rng.randrange(8):
            case 0:
                emulator.faults.late_orders = 0.1
            case 1:
                emulator.faults.lost_answers = 0.3
            case 2:
                emulator.kill_leader(rng.uniform(0.5, 2))
            case 3:
                emulator.depose_leader()
            case 4:
                emulator.change_teams(uneven_teams(5, Size(total.cpu // 2, total.memory // 2)))
            case 5:
                emulator.change_teams(uneven_teams(5, total))
            case 6:
                emulator.faults.cut.add(rng.choice(list(emulator.workers)))
            case 7:
                for job in rng.sample(sorted(emulator.statuses), len(emulator.statuses) // 3):
                    emulator.cancel(job)

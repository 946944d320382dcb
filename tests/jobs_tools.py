"""Harness for tests of the reducer: a leader's state with simulated workers and store."""

import dataclasses
import itertools

from snowdock.declarations import Size
from snowdock.emulator import Emulator
from snowdock.emulator.workload import DrawnJob
from snowdock.jobs.cell import Cell, CellSettings, SchedulingPolicy
from snowdock.jobs.events import (
    DropProgress,
    Effect,
    Event,
    JobAccepted,
    LogDecision,
    Persist,
    Persisted,
    RenewAnswered,
    SendRenewal,
    SendStart,
    StartAnswered,
    Ticked,
    WorkerListed,
)
from snowdock.jobs.evidence import Charge, Evidence
from snowdock.jobs.job_state import Task
from snowdock.jobs.model import (
    AdviceTerms,
    Configuration,
    JobSpec,
    JobStatus,
    Queue,
    Service,
    StepSpec,
)
from snowdock.jobs.orders import (
    EndedRun,
    EndKind,
    Refusal,
    RenewOrder,
    RunningRun,
    StartResult,
    WorkerReport,
)
from snowdock.jobs.progress import AcceptedJob
from snowdock.jobs.recorded_progress import read_progress
from snowdock.jobs.reducer import reduce
from snowdock.jobs.takeover import RecordedJobs, restore
from snowdock.jobs.workers import WorkerEntry

SETTINGS = CellSettings(
    lease_s=4.5,
    unreached_run_expiry_s=10.0,
    gang_wait_s=3.0,
    early_s=0.25,
    stop_s=0.4,
    retention_s=600.0,
)

POLICY = SchedulingPolicy(
    rank=lambda step, now: -step.job.submitted_at,
    score=lambda step, worker, step_runs: float(worker.free.cpu),
    backoff_seconds=lambda step, failures: 0.0,
    may_preempt=lambda step, other, now: False,
)

SMALL = StepSpec(count=1, size=Size(1000, 1000), estimate_ms=1000)


class Bench:
    """Drives the reducer of one leader; the test controls the answers of store and workers."""

    def __init__(self, token: int = 1, advice: AdviceTerms | None = None, attempts: int = 3):
        self.now = 100.0
        self.cell = Cell(SETTINGS, token, POLICY, self.now)
        queue = Queue(
            "q", "", "/q/", "pool", max_attempts=attempts, target_latency_ms=100, advice=advice
        )
        self.cell.configuration = Configuration(1, (queue,), (Service("pool"),))
        self.effects: list[Effect] = []
        self.all_effects: list[Effect] = []
        self.decisions: list[Effect] = []
        self.renewals: dict[str, RenewOrder] = {}
        self.recorded: dict[str, bytes] = {}
        self.is_store_paused = False
        self._jobs = itertools.count(1)
        self._ends = itertools.count(1)

    def feed(self, event: Event) -> list[Effect]:
        """Feed one event; batches are recorded immediately unless the store is paused."""
        effects = reduce(self.cell, event, self.now, self.now * 1000)
        self.decisions += filter_by_type(effects, LogDecision)
        for effect in list(effects):
            if isinstance(effect, SendRenewal):
                self.renewals[effect.life] = effect.order
            if isinstance(effect, Persist) and not self.is_store_paused:
                self.recorded |= {record.key: record.data for record in effect.records}
                effects += self.feed(Persisted(effect.number))
            if isinstance(effect, DropProgress):
                for key in effect.keys:
                    self.recorded.pop(key, None)
        self.effects = effects
        self.all_effects += [effect for effect in effects if effect not in self.all_effects[-50:]]
        return effects

    def restore(self, recorded: RecordedJobs) -> list[Effect]:
        return restore(self.cell, recorded, self.now, self.now * 1000)

    def tick(self, seconds: float) -> list[Effect]:
        """Advance the time in ticks of 0.1 s, and return all resulting effects."""
        effects = []
        for _ in range(round(seconds * 10)):
            self.now += 0.1
            effects += self.feed(Ticked(2))
        return effects

    def add_worker(
        self, life: str = "w", cpu: int = 4000, is_synced: bool = True, address: str = ""
    ) -> None:
        size = Size(cpu, 9000, 0)
        address = address or f"{life}:1"
        entry = WorkerEntry(life, "pool", address, "hall", "r1", frozenset(), size)
        self.feed(WorkerListed(entry))
        if is_synced:
            self.report(life)

    def await_renewal(self, life: str) -> RenewOrder:
        """Return the pending renewal of a worker, after waiting for one if necessary."""
        for _ in range(50):
            if life in self.renewals:
                return self.renewals.pop(life)
            self.tick(0.1)
        raise AssertionError(f"{life} is not renewed")

    def report(self, life: str, running=(), ended=()) -> list[Effect]:
        """Answer a worker's renewal with its current runs and ended runs."""
        order = self.await_renewal(life)
        rows = [RunningRun(task, run, "", percent, 0.0) for task, run, percent in running]
        ends = [EndedRun(next(self._ends), task, run, kind, "") for task, run, kind in ended]
        self.now += 0.001
        outcome = WorkerReport(self.now * 1000, rows, ends)
        return self.feed(RenewAnswered(life, order, outcome))

    def leave_unanswered(self, life: str) -> list[Effect]:
        """Report that a worker's renewal got no answer."""
        return self.feed(RenewAnswered(life, self.await_renewal(life), None))

    def submit(self, *steps: StepSpec) -> str:
        job = f"{next(self._jobs):016x}"
        self.feed(JobAccepted(job, make_accepted_job(*steps)))
        return job

    def end_life(self, life: str) -> list[Effect]:
        """Answer a worker's renewal with the refusal of another life at its address."""
        return self.feed(RenewAnswered(life, self.await_renewal(life), Refusal.OTHER_LIFE))

    def drain(self, life: str) -> None:
        """Set a worker's entry to draining."""
        entry = self.cell.workers[life].entry
        self.feed(WorkerListed(dataclasses.replace(entry, draining=True)))

    def new_starts(self) -> list[SendStart]:
        """Return the starts since the last call, and clear the recorded effects."""
        found = filter_by_type(self.all_effects, SendStart)
        self.all_effects.clear()
        return found

    def starts(self, effects: list[Effect] | None = None):
        found = self.effects if effects is None else effects
        return [effect for effect in found if isinstance(effect, SendStart)]

    def confirm(self, start: SendStart) -> list[Effect]:
        result = StartResult(None, self.now * 1000)
        order = start.order
        return self.feed(StartAnswered(start.life, order.task, order.run, result))


def disconnect_worker(bench: Bench, life: str, seconds: float = 9.0) -> None:
    """Leave a worker's renewals unanswered for a time that exceeds its leases by default."""
    end = bench.now + seconds
    while bench.now < end:
        if life in bench.renewals:
            bench.leave_unanswered(life)
        bench.tick(0.1)


class LeaderSequence:
    """A succession of leaders, each of which restores the records of its predecessor."""

    def __init__(self, *steps: StepSpec, workers: int = 1) -> None:
        self.bench = Bench()
        self._accepted = make_accepted_job(*steps)
        self._token = 1
        self._lives = 0
        for _ in range(workers):
            self.add_worker()
        self.job = self.bench.submit(*steps)

    @property
    def status(self) -> JobStatus:
        return self.bench.cell.jobs[self.job].status

    def add_worker(self) -> None:
        self._lives += 1
        self.bench.add_worker(f"w{self._lives}")

    def next_starts(self) -> list[SendStart]:
        """Return the job's next starts, adding workers as needed; none once the job has ended."""
        found = self.bench.new_starts()
        for _ in range(20):
            if found or self.status.is_final:
                break
            self.add_worker()
            self.bench.tick(0.3)
            found = self.bench.new_starts()
        return found

    def replace_leader(self) -> None:
        """Replace the leader by one that restores the records and knows no workers yet."""
        self._token += 1
        before = self.bench
        on_record = read_progress([before.recorded.items()])
        self.bench = Bench(self._token)
        self.bench.recorded = before.recorded
        self.bench.now = before.now + 0.5
        accepted = {self.job: self._accepted}
        self.bench.restore(
            RecordedJobs(accepted, set(), on_record.progress, layouts=on_record.layouts)
        )

    def list_worker(self, life: str, draining: bool = False) -> None:
        """List a worker that has not answered a renewal of this leader."""
        self.bench.add_worker(life, is_synced=False)
        if draining:
            self.bench.drain(life)


def charge_task(task: Task, *runs: int, evidence: Evidence = Evidence.POSSIBLE_CRASH) -> None:
    """Charge runs of a task as if their workers had ended."""
    task.charges = tuple(Charge(run, evidence) for run in runs)


def make_accepted_job(*steps: StepSpec, queue: str = "q") -> AcceptedJob:
    spec = JobSpec(queue, "payload", tuple(steps or (SMALL,)))
    return AcceptedJob(spec, 100_000, "pool", 0, 3)


def find_unended_jobs(emulator: Emulator, jobs: list[DrawnJob]) -> list[str]:
    """Return the jobs of an emulation whose final status was not published."""
    statuses = emulator.statuses
    return [job.job for job in jobs if job.job not in statuses or not statuses[job.job].is_final]


def filter_by_type(effects, kind):
    """Return the effects of one type."""
    return [effect for effect in effects if isinstance(effect, kind)]


DONE = EndKind.DONE
FAILED = EndKind.FAILED

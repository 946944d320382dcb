"""A leader's state with workers, and short ways to feed it, for tests of the reducer."""

import itertools

from snowdock.declarations import Size
from snowdock.emulator import Emulator
from snowdock.emulator.workload import DrawnJob
from snowdock.jobs.cell import Cell, CellSettings, Policy
from snowdock.jobs.events import (
    Effect,
    Event,
    JobAccepted,
    Persist,
    Persisted,
    RenewAnswered,
    SendRenew,
    SendStart,
    StartAnswered,
    Ticked,
    WorkerListed,
)
from snowdock.jobs.model import AdviceTerms, Configuration, JobSpec, Queue, Service, StepSpec
from snowdock.jobs.orders import (
    EndedRun,
    EndKind,
    RenewOrder,
    RunningRun,
    StartResult,
    WorkerReport,
)
from snowdock.jobs.progress import AcceptedJob
from snowdock.jobs.reducer import reduce
from snowdock.jobs.takeover import RecordedJobs, restore
from snowdock.jobs.workers import WorkerEntry

SETTINGS = CellSettings(
    lease_s=4.5,
    takeover_lapse_s=10.0,
    gang_wait_s=3.0,
    early_s=0.25,
    stop_s=0.4,
    retention_s=600.0,
)

POLICY = Policy(
    rank=lambda step, now: -step.job.submitted_at,
    score=lambda step, worker, there: float(worker.free.cpu),
    backoff_seconds=lambda step, failures: 0.0,
    yields=lambda step, other, now: False,
)

SMALL = StepSpec(count=1, size=Size(1000, 1000), estimate_ms=1000)


class Bench:
    """A cell whose store and workers answer as the test says."""

    def __init__(self, token: int = 1, advice: AdviceTerms | None = None, attempts: int = 3):
        self.now = 100.0
        self.cell = Cell(SETTINGS, token, POLICY, self.now)
        queue = Queue(
            "q", "", "/q/", "pool", max_attempts=attempts, target_latency_ms=100, advice=advice
        )
        self.cell.configuration = Configuration(1, (queue,), (Service("pool"),))
        self.effects: list[Effect] = []
        self.seen: list[Effect] = []
        self.renewals: dict[str, RenewOrder] = {}
        self.recorded: dict[str, bytes] = {}
        self.holds_store = False
        self._jobs = itertools.count(1)
        self._ends = itertools.count(1)

    def feed(self, event: Event) -> list[Effect]:
        """Feed one event; batches are on record at once unless the store is held."""
        effects = reduce(self.cell, event, self.now, self.now * 1000)
        for effect in list(effects):
            if isinstance(effect, SendRenew):
                self.renewals[effect.life] = effect.order
            if isinstance(effect, Persist) and not self.holds_store:
                self.recorded |= {record.job: record.data for record in effect.records}
                effects += self.feed(Persisted(effect.number))
        self.effects = effects
        self.seen += [effect for effect in effects if effect not in self.seen[-50:]]
        return effects

    def restore(self, recorded: RecordedJobs) -> list[Effect]:
        return restore(self.cell, recorded, self.now, self.now * 1000)

    def tick(self, seconds: float) -> list[Effect]:
        """Let time pass in ticks; give all that was wanted meanwhile."""
        found = []
        for _ in range(round(seconds * 10)):
            self.now += 0.1
            found += self.feed(Ticked(2))
        return found

    def add_worker(
        self, life: str = "w", cpu: int = 4000, settled: bool = True, address: str = "a:1"
    ) -> None:
        size = Size(cpu, 9000, 0)
        entry = WorkerEntry(life, "pool", address, "hall", "r1", frozenset(), size)
        self.feed(WorkerListed(entry))
        if settled:
            self.report(life)

    def renewal(self, life: str) -> RenewOrder:
        """Give the renewal of a worker that is on its way, after waiting for one."""
        for _ in range(50):
            if life in self.renewals:
                return self.renewals.pop(life)
            self.tick(0.1)
        raise AssertionError(f"{life} is not renewed")

    def report(self, life: str, running=(), ended=()) -> list[Effect]:
        """Answer a worker's renewal with what runs and what has ended."""
        order = self.renewal(life)
        rows = [RunningRun(task, run, "", percent, 0.0) for task, run, percent in running]
        ends = [EndedRun(next(self._ends), task, run, kind, "") for task, run, kind in ended]
        self.now += 0.001
        outcome = WorkerReport(self.now * 1000, rows, ends)
        return self.feed(RenewAnswered(life, order, outcome))

    def miss(self, life: str) -> list[Effect]:
        """Leave a worker's renewal without an answer."""
        return self.feed(RenewAnswered(life, self.renewal(life), None))

    def submit(self, *steps: StepSpec) -> str:
        job = f"{next(self._jobs):016x}"
        self.feed(JobAccepted(job, accepted(*steps)))
        return job

    def starts(self, effects: list[Effect] | None = None):
        found = self.effects if effects is None else effects
        return [effect for effect in found if isinstance(effect, SendStart)]

    def confirm(self, start: SendStart) -> list[Effect]:
        result = StartResult(None, self.now * 1000)
        order = start.order
        return self.feed(StartAnswered(start.life, order.task, order.run, result))


def accepted(*steps: StepSpec, queue: str = "q") -> AcceptedJob:
    spec = JobSpec(queue, "payload", tuple(steps or (SMALL,)))
    return AcceptedJob(spec, 100_000, "pool", 0, 3)


def unended(emulator: Emulator, jobs: list[DrawnJob]) -> list[str]:
    """Give the jobs of an emulated day that callers were not shown the end of."""
    statuses = emulator.statuses
    return [job.job for job in jobs if job.job not in statuses or not statuses[job.job].is_final]


def of_type(effects, kind):
    """Give the effects of one type."""
    return [effect for effect in effects if isinstance(effect, kind)]


DONE = EndKind.DONE
FAILED = EndKind.FAILED

"""Model of one life of a worker: leases, fencing, gangs, checkpoints and ends of runs."""

import dataclasses
from collections.abc import Callable

from ..declarations import ZERO_SIZE, Size
from ..jobs.model import StepSpec, TaskId
from ..jobs.orders import (
    MAX_LISTED_ENDS,
    EndedRun,
    EndKind,
    Refusal,
    RenewOrder,
    RunningRun,
    StartOrder,
    StartResult,
    StopOrder,
    WorkerReport,
)
from ..jobs.workers import WorkerEntry
from .checks import InvariantChecker
from .timeline import Timeline

__all__ = ["GangRegistry", "RunModel", "RunPlan", "WorkerModel", "WorkerTimings"]


@dataclasses.dataclass(frozen=True, slots=True)
class WorkerTimings:
    """Timings of all workers, in seconds, and how they forget ends.

    Attributes
    ----------
    lease_limit_s
        Longest lease that a worker grants.
    stop_s
        Longest time that a worker takes to stop a run.
    restore_s
        Time to restore a checkpoint.
    gang_wait_s
        How long a member of a gang waits for the others.
    cancel_s
        How long after its job's cancellation a task may still start.
    forgets_ends_on_each_renewal
        Whether each renewal makes a worker forget the ends up to the number that it acknowledges;
        otherwise only a renewal with a higher number than all before does.
    gangs_share_pace
        Whether all members of a gang run at the pace of the slowest; otherwise the first member
        that ends completes the gang.
    clock_rate
        Rate of the workers' steady clocks.
    """

    lease_limit_s: float = 6.0
    stop_s: float = 0.4
    restore_s: float = 0.25
    gang_wait_s: float = 3.0
    cancel_s: float = 3.0
    forgets_ends_on_each_renewal: bool = True
    gangs_share_pace: bool = False
    clock_rate: float = 1.0


@dataclasses.dataclass(slots=True, eq=False)
class RunModel:
    """A run at a worker.

    Attributes
    ----------
    work_s
        Remaining work at its worker's speed, in seconds; for a long-running task, the time after
        which a failing run fails.
    checkpoint
        Restored or saved checkpoint: the share of the work that is done.
    """

    task: TaskId
    run: int
    step: StepSpec
    work_s: float
    fails: bool
    worker: "WorkerModel"
    working_since: float | None = None
    checkpoint: str = ""
    has_ended: bool = False


class GangRegistry:
    """Registry of the gangs' members across workers."""

    def __init__(self) -> None:
        self._members: dict[tuple[str, int, int, int], list[RunModel]] = {}

    @staticmethod
    def _key(run: RunModel) -> tuple[str, int, int, int]:
        return (run.task.job, run.task.repetition, run.task.step, run.run)

    def join(self, run: RunModel) -> list[RunModel]:
        """Add a member; return all members if the gang is complete, or else an empty list."""
        members = self._members.setdefault(self._key(run), [])
        members.append(run)
        return list(members) if len(members) == run.step.count else []

    def leave(self, run: RunModel) -> list[RunModel]:
        """Remove a member and return the others."""
        members = self._members.get(self._key(run), [])
        if run in members:
            members.remove(run)
        return list(members)


@dataclasses.dataclass(frozen=True, slots=True)
class RunPlan:
    """Plan of a run: its work in seconds, and whether it fails or crashes its worker."""

    seconds: float
    fails: bool = False
    crashes_worker: bool = False


PlanRun = Callable[[TaskId, int], RunPlan]
"""(task, run) -> plan of the run."""

_CRASH_DELAY_SECONDS = 0.01
"""Time from the start of a crashing task to its worker's crash."""


class WorkerModel:
    """One life of a worker in virtual time.

    Parameters
    ----------
    entry
        The worker's first entry in the store.
    timeline
        The virtual clock.
    timings
        Timings of all workers.
    gangs
        Registry of gangs, shared by all workers.
    checks
        Records all starts and ends.
    plan_run
        Returns the plan of a run.
    slowness
        Factor by which runs take longer.
    crash
        Called with this life if a run crashes the worker.
    clock_began
        Reading of the worker's steady clock at the start, in seconds.

    Attributes
    ----------
    entry
        The worker's current entry.
    is_up
        Whether this life has not ended.
    fails_all_runs
        Whether all runs fail shortly after their start; may be changed at any time.
    slowness
        Factor by which runs take longer; applies to later starts.
    enforced_capacity
        Capacity that starts are checked against; lags behind a reduced capacity.
    successor
        The next life at the same address; empty if there is none.
    """

    def __init__(
        self,
        entry: WorkerEntry,
        timeline: Timeline,
        timings: WorkerTimings,
        gangs: GangRegistry,
        checks: InvariantChecker,
        plan_run: PlanRun,
        slowness: float = 1.0,
        crash: Callable[[str], None] = lambda _: None,
        clock_began: float = 1000.0,
    ) -> None:
        self.entry = entry
        self.is_up = True
        self.is_leaving = False
        self.fails_all_runs = False
        self.slowness = slowness
        self.enforced_capacity = entry.capacity
        self.successor = ""
        self._crash = crash
        self._clock_offset = clock_began - timeline.now
        self._began_at = timeline.now
        self._timeline = timeline
        self._timings = timings
        self._gangs = gangs
        self._checks = checks
        self._plan_run = plan_run
        self._token = 0
        self._lease_until = 0.0
        self._runs: dict[TaskId, RunModel] = {}
        self._highest_runs: dict[TaskId, int] = {}
        self._ends: list[EndedRun] = []
        self._end_number = 0
        self._last_acknowledged_end = 0
        self._ended_at: dict[int, float] = {}
        self._lease_expired_at = -1.0
        self._waiters: list[Callable[[], None]] = []

    @property
    def clock_ms(self) -> float:
        """The worker's steady clock in ms; never 0."""
        now = self._timeline.now
        lag = (now - self._began_at) * (1 - self._timings.clock_rate)
        return (now + self._clock_offset - lag) * 1000

    @property
    def accepts_runs(self) -> bool:
        """Whether the worker is up and not shutting down."""
        return self.is_up and not self.entry.draining and not self.is_leaving

    @property
    def running(self) -> list[TaskId]:
        """The running tasks."""
        return list(self._runs)

    @property
    def used(self) -> Size:
        """The room that the runs take."""
        total = ZERO_SIZE
        for run in self._runs.values():
            total = total.plus(run.step.room)
        return total

    @property
    def used_cpu(self) -> int:
        """Processor capacity that the runs take, in thousandths of a core."""
        return sum(run.step.room.cpu for run in self._runs.values())

    # -- orders ----------------------------------------------------------------------------

    def start(self, order: StartOrder, step: StepSpec) -> StartResult:
        """Handle an order to start a run."""
        if order.token < self._token:
            return StartResult(Refusal.FENCED, self.clock_ms)
        self._token = order.token
        present = self._runs.get(order.task)
        if present is not None and present.run == order.run:
            return StartResult(None, self.clock_ms)
        if order.run <= self._highest_runs.get(order.task, 0) or present is not None:
            return StartResult(Refusal.SUPERSEDED, self.clock_ms)
        if order.lease_until_ms <= self.clock_ms:
            return StartResult(Refusal.LATE, self.clock_ms)
        self._extend_lease(order.lease_until_ms)
        plan = self._plan_run(order.task, order.run)
        seconds = plan.seconds
        if order.checkpoint:
            seconds = seconds * (1 - float(order.checkpoint)) + self._timings.restore_s
        run = RunModel(
            order.task,
            order.run,
            step,
            seconds * self.slowness,
            plan.fails or self.fails_all_runs,
            self,
            checkpoint=order.checkpoint,
        )
        self._runs[order.task] = run
        self._checks.check_start(
            order.task,
            order.run,
            self.entry.life,
            self.enforced_capacity,
            [(each.task, each.step.room) for each in self._runs.values()],
            self._timeline.now,
            self._timings.cancel_s,
        )
        if plan.crashes_worker:
            self._timeline.call_after(_CRASH_DELAY_SECONDS, lambda: self._crash(self.entry.life))
        if step.gang:
            members = self._gangs.join(run)
            if members and self._timings.gangs_share_pace:
                longest_s = max(member.work_s for member in members)
                for member in members:
                    member.work_s = longest_s
            for member in members:
                member.worker.begin_work(member)
            self._timeline.call_after(
                self._timings.gang_wait_s, lambda: self._check_gang_timeout(run)
            )
        else:
            self.begin_work(run)
        return StartResult(None, self.clock_ms)

    def begin_work(self, run: RunModel) -> None:
        """Start a run's work and schedule its end."""
        run.working_since = self._timeline.now
        if run.step.long_running and not run.fails:
            return
        seconds = 0.01 if self.fails_all_runs else run.work_s
        self._timeline.call_after(seconds, lambda: self._finish(run))

    def stop(self, order: StopOrder) -> Refusal | None:
        """Handle an order to stop a run; one that hasn't started is refused from now on."""
        if order.token < self._token:
            return Refusal.FENCED
        self._token = order.token
        present = self._runs.get(order.task)
        if present is not None and present.run == order.run:
            self._timeline.call_after(
                self._timings.stop_s / 2, lambda: self._end(present, EndKind.STOPPED)
            )
        self._highest_runs[order.task] = max(self._highest_runs.get(order.task, 0), order.run)
        return None

    def renew(self, order: RenewOrder, answer: Callable[[WorkerReport | Refusal], None]) -> None:
        """Renew the lease; answer at once if there are ends, else at the next end or timeout."""
        if order.token < self._token:
            answer(Refusal.FENCED)
            return
        self._token = order.token
        self._forget_ends(order.last_recorded_end)
        if order.lease_until_ms:
            self._extend_lease(order.lease_until_ms)
        answered = False

        def answer_once() -> None:
            nonlocal answered
            if answered or not self.is_up:
                return
            answered = True
            answer(self._report())

        if self._ends or not order.wait_ms:
            answer_once()
            return
        self._waiters.append(answer_once)
        self._timeline.call_after(order.wait_ms / 1000, answer_once)

    def _forget_ends(self, last_recorded_end: int) -> None:
        if (
            last_recorded_end <= self._last_acknowledged_end
            and not self._timings.forgets_ends_on_each_renewal
        ):
            return
        self._last_acknowledged_end = max(self._last_acknowledged_end, last_recorded_end)
        for end in self._ends:
            if end.number <= last_recorded_end:
                lease_held = self._ended_at[end.number] > self._lease_expired_at
                self._checks.acknowledge_end(
                    end.task, end.run, end.kind, lease_held, self._timeline.now
                )
        self._ends = [end for end in self._ends if end.number > last_recorded_end]

    def _report(self) -> WorkerReport:
        running = [
            RunningRun(run.task, run.run, run.checkpoint, self._percent(run), 0.0)
            for run in self._runs.values()
        ]
        return WorkerReport(self.clock_ms, running, self._ends[:MAX_LISTED_ENDS])

    def _percent(self, run: RunModel) -> float:
        if run.working_since is None or run.step.long_running:
            return 0.0
        return float(int(min(100, 100 * (self._timeline.now - run.working_since) / run.work_s)))

    # -- leases and ends -------------------------------------------------------------------

    def _extend_lease(self, until_ms: float) -> None:
        latest_ms = self.clock_ms + self._timings.lease_limit_s * 1000
        self._lease_until = max(self._lease_until, min(until_ms, latest_ms))
        remaining_s = (self._lease_until - self.clock_ms) / 1000 / self._timings.clock_rate
        self._timeline.call_after(remaining_s + 0.001, self._check_lease)

    def _check_lease(self) -> None:
        if self._lease_until < self.clock_ms:
            self._lease_expired_at = self._timeline.now
            for run in list(self._runs.values()):
                self._end(run, EndKind.LEASE_EXPIRED)

    def _check_gang_timeout(self, run: RunModel) -> None:
        if run.working_since is None:
            self._end(run, EndKind.GANG_TIMEOUT)

    def _finish(self, run: RunModel) -> None:
        if run.has_ended or not self.is_up:
            return
        kind = EndKind.FAILED if run.fails else EndKind.DONE
        members = self._gangs.leave(run) if run.step.gang else []
        self._end(run, kind)
        for member in members:
            if kind is EndKind.DONE:
                member.worker.finish_member(member)
            else:
                member.worker.break_member(member)

    def finish_member(self, run: RunModel) -> None:
        """End a gang's member successfully together with the others."""
        self._gangs.leave(run)
        self._end(run, EndKind.DONE)

    def break_member(self, run: RunModel) -> None:
        """End a gang's member because another one ended."""
        self._gangs.leave(run)
        self._end(run, EndKind.GANG_BROKEN)

    def _end(self, run: RunModel, kind: EndKind) -> None:
        if run.has_ended or not self.is_up:
            return
        run.has_ended = True
        del self._runs[run.task]
        self._highest_runs[run.task] = max(self._highest_runs.get(run.task, 0), run.run)
        if kind is EndKind.STOPPED:
            self._save_checkpoint(run)
        self._end_number += 1
        self._ended_at[self._end_number] = self._timeline.now
        self._ends.append(EndedRun(self._end_number, run.task, run.run, kind, run.checkpoint))
        self._checks.record_end(run.task, run.run, self.entry.life, kind, self._timeline.now)
        if run.step.gang and kind not in (EndKind.DONE, EndKind.GANG_BROKEN):
            for member in self._gangs.leave(run):
                if member.working_since is not None:
                    member.worker.break_member(member)
        waiters, self._waiters = self._waiters, []
        for answer_once in waiters:
            answer_once()

    def _save_checkpoint(self, run: RunModel) -> None:
        """Save a checkpoint of a run if its step has checkpoints."""
        if not run.step.checkpointing or run.working_since is None:
            return
        before = float(run.checkpoint or 0)
        share = min(1.0, (self._timeline.now - run.working_since) / run.work_s)
        run.checkpoint = f"{before + (1 - before) * share:.3f}"

    def crash(self, is_planned: bool = False) -> None:
        """End this life and all its runs; a planned end is no crash."""
        if not self.is_up:
            return
        self.is_up = False
        if not is_planned:
            self._checks.record_crash(list(self._runs), self._timeline.now)
        for run in self._runs.values():
            run.has_ended = True
            if run.step.gang:
                for member in self._gangs.leave(run):
                    if member.working_since is not None:
                        member.worker.break_member(member)
        self._runs.clear()
        self._checks.record_life_end(self.entry.life)

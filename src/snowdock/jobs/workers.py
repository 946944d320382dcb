"""The leader's state of one life of a worker."""

import dataclasses
import enum
import math

from ..declarations import ZERO_SIZE, Size
from .job_state import Step, Task
from .lives import worker_id_of
from .model import StepKey, TaskId
from .timeouts import MIN_CLOCK_RATE

__all__ = ["QuarantineCause", "RoomHold", "StepFailures", "Worker", "WorkerEntry"]


class QuarantineCause(enum.Enum):
    """Why a worker is quarantined."""

    FAILURES = "failures"
    """Runs failed on the worker."""
    UNANSWERED = "unanswered"
    """The worker did not answer a start."""
    REFUSED = "refused"
    """The worker refused a start."""


@dataclasses.dataclass(frozen=True, slots=True)
class WorkerEntry:
    """A worker's entry in the store, as the worker published it.

    Attributes
    ----------
    life
        The identifier of one life of the worker, see `lives`.
    service, address, hall, rack
        Its pool, IP address and port, data hall and rack.
    labels
        All its labels, including that of the rack.
    capacity
        Its total room.
    draining
        Whether it is about to shut down and accepts nothing new.
    remaining_ms
        The minimum time left while it drains; None if not reported.
    """

    life: str
    service: str
    address: str
    hall: str
    rack: str
    labels: frozenset[str]
    capacity: Size
    draining: bool = False
    remaining_ms: float | None = None

    @property
    def worker(self) -> str:
        """The worker's id, which its next life may reuse."""
        return worker_id_of(self.life)


@dataclasses.dataclass(frozen=True, slots=True)
class RoomHold:
    """Room on one worker that is reserved for a step.

    Attributes
    ----------
    room
        The reserved room.
    needed_at
        When the step is expected to use it, in steady seconds: a run that ends before may use it.
    rank
        The step's rank; higher-ranked steps may use the room too.
    """

    room: Size
    needed_at: float = -math.inf
    rank: float = math.inf


@dataclasses.dataclass(slots=True)
class StepFailures:
    """Failed runs of a step on one worker: their number, and the last time in steady seconds."""

    step: Step
    run_count: int = 0
    last_failed_at: float = 0.0


@dataclasses.dataclass(slots=True)
class Worker:
    """The leader's state of one life of a worker.

    Attributes
    ----------
    entry
        Its latest entry in the store.
    used
        Room taken by all runs that are, or may be, there, including those being stopped.
    runs
        Room by (task, run) of all runs that are, or may be, there.
    preemptible_runs, preemptible_room
        The runs that may be preempted and resume elsewhere, and the room they take.
    room_holds
        Room that is reserved for steps, by step.
    listed, delisted_at
        Whether the store lists it, and if not, since when, in steady seconds.
    may_return
        If it is not listed: whether its entry may have expired due to a store outage.
    has_left
        If it is not listed: whether it has answered since, so that it will end soon without having
        been marked as draining.
    is_synced
        Whether it has listed all its runs to this leader since its runs were last marked as lost.
    clock_ms, clock_at
        Its clock in its latest answer, and the steady time in seconds when that answer arrived.
    lease_until_ms
        The latest lease end ever sent to it, on its clock.
    last_recorded_end
        The number up to which ended runs are recorded.
    last_processed_end
        The number up to which ended runs have been processed, though maybe not recorded yet.
    is_renewing
        Whether a renewal is in progress.
    next_renew_at
        When the next renewal is due, in steady seconds.
    last_report_at
        When its last report arrived, in steady seconds.
    silent_since
        When a call first failed to get an answer, in steady seconds; None while it answers.
    is_unresponsive
        Whether several calls in a row got no answer.
    failures_by_step
        Failed runs since the last success there, by step.
    failure_score
        The failure score computed from them; see `failed_runs`.
    quarantine_count
        How often it was quarantined for failures since the last success there.
    probation_until, probation_run
        Until when it is on probation, in steady seconds, and the run it took on probation.
    quarantined_until
        Until when it is quarantined, in steady seconds.
    quarantine_cause
        Why it is, or was last, quarantined; None once its release is logged.
    log_slowness
        The logarithm of the factor by which runs take longer there than normal.
    suspects
        The suspects there by their runs, see `suspects`.
    exclusive_run
        The run of the suspect that has the worker to itself; None if there is none.
    inherited
        The runs that were placed on an earlier life; whether this one has them is unknown until
        its first report.
    """

    entry: WorkerEntry
    used: Size = ZERO_SIZE
    runs: dict[tuple[TaskId, int], Size] = dataclasses.field(default_factory=dict)
    preemptible_runs: dict[tuple[TaskId, int], Size] = dataclasses.field(default_factory=dict)
    preemptible_room: Size = ZERO_SIZE
    room_holds: dict[StepKey, RoomHold] = dataclasses.field(default_factory=dict)
    listed: bool = True
    delisted_at: float = 0.0
    may_return: bool = False
    has_left: bool = False
    is_synced: bool = False
    clock_ms: float = 0.0
    clock_at: float = 0.0
    lease_until_ms: float = 0.0
    last_recorded_end: int = 0
    last_processed_end: int = 0
    is_renewing: bool = False
    next_renew_at: float = 0.0
    last_report_at: float = -math.inf
    silent_since: float | None = None
    is_unresponsive: bool = False
    failures_by_step: dict[StepKey, StepFailures] = dataclasses.field(default_factory=dict)
    failure_score: float = 0.0
    quarantine_count: int = 0
    probation_until: float = 0.0
    probation_run: tuple[TaskId, int] | None = None
    quarantined_until: float = 0.0
    quarantine_cause: QuarantineCause | None = None
    log_slowness: float = 0.0
    suspects: dict[tuple[TaskId, int], Task] = dataclasses.field(default_factory=dict)
    exclusive_run: tuple[TaskId, int] | None = None
    inherited: set[tuple[TaskId, int]] = dataclasses.field(default_factory=set)
    _free: Size = ZERO_SIZE
    _free_inputs: tuple[Size, Size] | None = None

    @property
    def life(self) -> str:
        """The identifier of this life of the worker."""
        return self.entry.life

    @property
    def is_leaving(self) -> bool:
        """Whether it is shutting down, announced or not, so that its end is not a crash."""
        return self.entry.draining or self.has_left

    @property
    def is_exclusive(self) -> bool:
        """Whether a run there requires exclusive use of the worker."""
        return self.exclusive_run is not None

    @property
    def is_quarantined_for_failures(self) -> bool:
        """Whether it is quarantined for failures, or its release is not logged yet."""
        return self.quarantine_cause is QuarantineCause.FAILURES

    @property
    def failure_streak(self) -> int:
        """The number of steps with failed runs there since the last success."""
        return len(self.failures_by_step)

    @property
    def slowness(self) -> float:
        """The factor by which runs take longer here than on a worker of normal speed."""
        return math.exp(self.log_slowness)

    @property
    def free(self) -> Size:
        """Room that no run takes."""
        # Cached: read very often by placement passes, and changed only when a run starts or ends.
        cached_inputs = self._free_inputs
        if (
            cached_inputs is None
            or cached_inputs[0] is not self.entry.capacity
            or cached_inputs[1] is not self.used
        ):
            self._free_inputs = (self.entry.capacity, self.used)
            self._free = self.entry.capacity.minus(self.used)
        return self._free

    def still_holds(self, room: Size) -> bool:
        """Check whether a run that is counted here still fits into the worker's capacity.

        The capacity may have shrunk since the run was placed.
        """
        free = self.free
        return (
            (free.cpu >= 0 or not room.cpu)
            and (free.memory >= 0 or not room.memory)
            and (free.accelerators >= 0 or not room.accelerators)
        )

    def free_for(self, step: StepKey, rank: float = -math.inf, ends_at: float = math.inf) -> Size:
        """Return the free room that is not reserved for other steps.

        Parameters
        ----------
        step, rank
            The requesting step, and its rank.
        ends_at
            When a run of the step would end there, in steady seconds.
        """
        free = self.free
        for key, hold in self.room_holds.items():
            if key != step and rank <= hold.rank and hold.needed_at < ends_at:
                free = free.minus(hold.room)
        return free

    def unreserved_room(self, step: StepKey) -> Size:
        """Return the free room, reserved or not, except room claimed by preemption for others."""
        return self.free_for(step, rank=math.inf)

    def occupy(self, task: TaskId, run: int, size: Size, is_preemptible: bool = False) -> None:
        """Count a run's room as taken."""
        if (task, run) in self.runs:
            return
        self.runs[task, run] = size
        self.used = self.used.plus(size)
        if is_preemptible:
            self.preemptible_runs[task, run] = size
            self.preemptible_room = self.preemptible_room.plus(size)

    def release(self, task: TaskId, run: int) -> None:
        """Release a run's room, if it was taken."""
        size = self.runs.pop((task, run), None)
        if size is None:
            return
        self.used = self.used.minus(size)
        if (task, run) in self.preemptible_runs:
            del self.preemptible_runs[task, run]
            self.preemptible_room = self.preemptible_room.minus(size)
        self.remove_suspect(task, run)
        self.inherited.discard((task, run))

    def remove_suspect(self, task: TaskId, run: int) -> bool:
        """Remove the run of a suspect; return whether it was one."""
        if self.exclusive_run == (task, run):
            self.exclusive_run = None
        return self.suspects.pop((task, run), None) is not None

    def update_clock(self, clock_ms: float, now: float) -> None:
        """Update the worker's clock from an answer that arrived now."""
        if clock_ms > 0 and clock_ms >= self.clock_ms:
            self.clock_ms = clock_ms
            self.clock_at = now

    def extend_lease(self, now: float, lease_s: float) -> int:
        """Record a new lease that starts now, and return its end in ms on the worker's clock."""
        until = int(self.clock_ms + (now - self.clock_at + lease_s) * 1000)
        self.lease_until_ms = max(self.lease_until_ms, until)
        return until

    @property
    def leases_expire_at(self) -> float:
        """When every lease ever sent has expired, even if the worker's clock is slow.

        In steady seconds; infinite if the worker's clock is unknown.
        """
        if not self.clock_ms:
            return math.inf
        return self.clock_at + (self.lease_until_ms - self.clock_ms) / 1000 / MIN_CLOCK_RATE

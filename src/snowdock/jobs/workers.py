"""What a leader knows of one life of a worker."""

import dataclasses
import enum
import math

from ..declarations import ZERO, Size
from .job_state import Step
from .lives import worker_id_of
from .model import StepKey, TaskId
from .timeouts import MIN_CLOCK_RATE

__all__ = ["QuarantineCause", "RoomHold", "StepFailures", "Worker", "WorkerEntry"]


class QuarantineCause(enum.Enum):
    """What speaks against a worker that is set aside."""

    FAILURES = "failures"
    """Runs failed there."""
    UNANSWERED = "unanswered"
    """A start had no answer."""
    REFUSED = "refused"
    """It refused a start."""


@dataclasses.dataclass(frozen=True, slots=True)
class WorkerEntry:
    """A worker as it records itself.

    Attributes
    ----------
    life
        Names one life of the worker, see `lives`.
    service, address, hall, rack
        Its pool, IP number and port, data hall and rack.
    labels
        All its labels, the rack's included.
    capacity
        All its room.
    draining
        Whether it is about to leave and takes nothing new.
    remaining_ms
        While it drains: the least time left; None where not told.
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
        """The worker's id, which its next life may have as well."""
        return worker_id_of(self.life)


@dataclasses.dataclass(frozen=True, slots=True)
class RoomHold:
    """Room at one worker that is kept for a step.

    Attributes
    ----------
    room
        How much.
    due
        When the step is expected to take it, in steady seconds: a run that ends before may use
        it.
    rank
        What ranks higher than this may use it too.
    """

    room: Size
    needed_at: float = -math.inf
    rank: float = math.inf


@dataclasses.dataclass(slots=True)
class StepFailures:
    """A step whose runs failed on a worker, how many did, and when last, in steady seconds."""

    step: Step
    run_count: int = 0
    last_failed_at: float = 0.0


@dataclasses.dataclass(slots=True)
class Worker:
    """One life of a worker, as the leader sees it.

    Attributes
    ----------
    entry
        What it last recorded of itself.
    used
        Room taken by all that runs, may run, or is being stopped there.
    runs
        Room by (task, run) of all that is or may be there.
    yielding, yieldable
        Those of the runs that may be stopped and go on elsewhere, and the room they take.
    claims
        Room that is kept for steps, by step.
    listed
        Whether the store still lists it; ``delisted_at`` tells since when not.
    may_return
        Of a worker that is not listed: whether its entry may have lapsed with the store.
    settled
        Whether it has answered a renewal with this leader's token since it was last lost.
    clock_ms, clock_at
        Its clock in an answer, and the steady time in seconds when that answer came.
    lease_until_ms
        The latest lease end that was ever sent to it, on its clock.
    seen_ends
        Ends up to this number are on record.
    known_ends
        Ends up to this number have been taken over, but may not be on record yet.
    renewing
        Whether a renewal is on its way.
    next_renew_at
        When the next renewal is due, in steady seconds.
    heard_at
        When it last told what runs there, in steady seconds.
    silent_since
        When a call first found no answer; None while it answers.
    is_mute
        Whether several calls in a row found no answer.
    charged
        Steps whose runs failed there since one ended well, and how many runs of each.
    doubt
        How much these failures speak against it, as last reckoned; see `failed_runs`.
    times_aside
        How often it was set aside for failures since a run ended well there.
    trial_until, trial
        Until when it takes one run at a time after that, in steady seconds, and which one it took.
    aside_until
        Until when nothing new is placed there, in steady seconds.
    aside_for
        What it is, or was last, set aside for; None once it is known to be back.
    slow_log
        The logarithm of how many times longer runs take there than usual.
    suspects
        Of the runs, those of tasks under which workers went before; True where nothing may join.
    lost
        Runs that were charged as lost there since it last answered, and whether it had told of
        each: how it went is not known yet.
    inherited
        Of the runs, those that were placed on an earlier life; whether they came here is not known
        before it first tells what runs.
    """

    entry: WorkerEntry
    used: Size = ZERO
    runs: dict[tuple[TaskId, int], Size] = dataclasses.field(default_factory=dict)
    preemptible_runs: dict[tuple[TaskId, int], Size] = dataclasses.field(default_factory=dict)
    preemptible_room: Size = ZERO
    room_holds: dict[StepKey, RoomHold] = dataclasses.field(default_factory=dict)
    listed: bool = True
    delisted_at: float = 0.0
    may_return: bool = False
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
    suspects: dict[tuple[TaskId, int], bool] = dataclasses.field(default_factory=dict)
    unresolved_losses: dict[tuple[TaskId, int], bool] = dataclasses.field(default_factory=dict)
    inherited: set[tuple[TaskId, int]] = dataclasses.field(default_factory=set)
    _free: Size = ZERO
    _free_inputs: tuple[Size, Size] | None = None

    @property
    def life(self) -> str:
        """Names this life of the worker."""
        return self.entry.life

    @property
    def is_exclusive(self) -> bool:
        """Whether a run there has to be alone."""
        return bool(self.suspects) and any(self.suspects.values())

    @property
    def is_quarantined_for_failures(self) -> bool:
        """Whether it is set aside since runs failed there, as far as is told."""
        return self.quarantine_cause is QuarantineCause.FAILURES

    @property
    def failure_streak(self) -> int:
        """How many steps have failed there in a row."""
        return len(self.failures_by_step)

    @property
    def slowness(self) -> float:
        """How many times longer runs take here than usual."""
        return math.exp(self.log_slowness)

    @property
    def free(self) -> Size:
        """Room that nothing takes."""
        # Passes ask for it some thousand times a second; it changes with a run's start or end.
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
        """Whether a run of that room, which is counted here, is within what there is now.

        The room of a worker may have shrunk since the run was placed.
        """
        free = self.free
        return (
            (free.cpu >= 0 or not room.cpu)
            and (free.memory >= 0 or not room.memory)
            and (free.accelerators >= 0 or not room.accelerators)
        )

    def free_for(self, step: StepKey, rank: float = -math.inf, ends_at: float = math.inf) -> Size:
        """Room that nothing takes and that is kept for no other step.

        Parameters
        ----------
        step, rank
            The step that asks, and its rank.
        ends_at
            When a run of it would end there, in steady seconds.
        """
        free = self.free
        for key, hold in self.room_holds.items():
            if key != step and rank <= hold.rank and hold.needed_at < ends_at:
                free = free.minus(hold.room)
        return free

    def unreserved_room(self, step: StepKey) -> Size:
        """Room that nothing takes and for which no runs are being stopped; it may be reserved."""
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
        """Give a run's room back, if it was taken."""
        size = self.runs.pop((task, run), None)
        if size is None:
            return
        self.used = self.used.minus(size)
        if (task, run) in self.preemptible_runs:
            del self.preemptible_runs[task, run]
            self.preemptible_room = self.preemptible_room.minus(size)
        self.suspects.pop((task, run), None)
        self.inherited.discard((task, run))

    def update_clock(self, clock_ms: float, now: float) -> None:
        """Remember the worker's clock from an answer that came now."""
        if clock_ms > 0 and clock_ms >= self.clock_ms:
            self.clock_ms = clock_ms
            self.clock_at = now

    def extend_lease(self, now: float, lease_s: float) -> int:
        """Note that a lease from now on is sent; give its end in ms on the worker's clock."""
        until = int(self.clock_ms + (now - self.clock_at + lease_s) * 1000)
        self.lease_until_ms = max(self.lease_until_ms, until)
        return until

    def are_leases_expired(self, now: float) -> bool:
        """Whether every lease ever sent is over, however slow the worker's clock runs."""
        if not self.clock_ms:
            return False
        earliest = self.clock_ms + (now - self.clock_at) * 1000 * MIN_CLOCK_RATE
        return earliest > self.lease_until_ms

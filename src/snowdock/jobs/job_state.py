"""The parts of a job as the leader knows them: its steps, their tasks, and what is advised."""

import dataclasses
import enum
from collections.abc import Mapping

from .model import AdviceTerms, JobId, JobStatus, StepKey, StepSpec, TaskId
from .progress import AcceptedJob, record_name

__all__ = ["Advice", "Job", "Phase", "Step", "Task"]


class Phase(enum.Enum):
    """Where a task stands."""

    WAITING = "waiting"
    RECORDED = "recorded"
    """Placed, but the placement is not on record yet, so nothing was ordered."""
    ORDERED = "ordered"
    """The start is on its way."""
    UNSURE = "unsure"
    """The start was not answered: the run may be there, or come later."""
    RUNNING = "running"
    STOPPING = "stopping"
    DONE = "done"


@dataclasses.dataclass(slots=True)
class Advice:
    """What the advice service has told about a step.

    Attributes
    ----------
    terms
        How the service answers.
    tickets
        Ticket and the steady time of its expiry, by worker, for those that may run it.
    unfit
        Workers that may not.
    asking
        How many questions are on their way.
    retry_at
        When to ask again after a failure.
    no_room_until
        When to look again for workers worth a question, unless room is seen at one that is fit.
    """

    terms: AdviceTerms
    tickets: dict[str, tuple[str, float]] = dataclasses.field(default_factory=dict)
    unfit: set[str] = dataclasses.field(default_factory=set)
    pending_requests: int = 0
    retry_at: float = 0.0
    next_search_at: float = 0.0

    def is_known(self, life: str) -> bool:
        """Whether it is known if a worker may run the step."""
        return life in self.tickets or life in self.unfit

    def valid_ticket(self, life: str, now: float) -> str | None:
        """Give a worker's ticket if it still holds."""
        found = self.tickets.get(life)
        return found[0] if found is not None and found[1] > now else None


@dataclasses.dataclass(slots=True, eq=False)
class Task:
    """One task and its current run.

    Attributes
    ----------
    run
        The number of its newest run; 0 before the first.
    life
        The worker's life where that run is or may be; empty where none is.
    is_told
        Whether the worker has told this leader that the newest run is there.
    failed_runs
        Runs that count as attempts.
    lost_runs, crashed_runs
        Runs that were lost with their worker, and those of them whose worker surely crashed.
    checkpoint
        From where the next run goes on; empty for the beginning.
    since
        When it came to its phase, in steady seconds.
    ordered_at
        When its newest run was placed, then ordered, or taken over from an earlier leader, in
        steady seconds.
    percent
        How far its run was when last reported.
    seen_percent, seen_at
        How far its run was, and when in steady seconds, when its speed was last looked at.
    moves, yields
        How often a run of it was taken away from a slow worker, and how often to make room.
    avoid
        Lives of workers where runs of it have failed; None for none.
    """

    id: TaskId
    step: "Step"
    phase: Phase = Phase.WAITING
    run: int = 0
    life: str = ""
    is_confirmed: bool = False
    failed_runs: set[int] = dataclasses.field(default_factory=set)
    lost_runs: frozenset[int] = frozenset()
    crashed_runs: frozenset[int] = frozenset()
    checkpoint: str = ""
    phase_since: float = 0.0
    ordered_at: float = 0.0
    percent: float = 0.0
    measured_percent: float = 0.0
    measured_at: float = 0.0
    moves: int = 0
    preemptions: int = 0
    avoided_lives: set[str] | None = None

    @property
    def failures(self) -> int:
        """How many of its runs have failed; of a gang's member, how many of the gang's."""
        return len(self.failed_runs)

    @property
    def is_placed(self) -> bool:
        """Whether a run of it is, or may be, at a worker."""
        return bool(self.life)

    def is_current_run(self, run: int, life: str) -> bool:
        """Whether a run on a worker's life is its newest one, and is or may be there."""
        return self.run == run and self.life == life


@dataclasses.dataclass(slots=True, eq=False)
class Step:
    """One step of one repetition of a job.

    Attributes
    ----------
    done
        How many of its tasks have ended well.
    advice
        What the advice service has told; None where nobody has to be asked.
    rank, ranked_at
        How urgent it is; the highest is placed first. When that was told, in steady seconds.
    queued_at
        When it came to wait, in steady seconds.
    not_before
        When its next try may be placed, in steady seconds.
    look_again_at, looked_at
        When it is worth looking for room for it again, and when that was done last, in steady
        seconds.
    claim_again_at
        When other runs may be stopped again to make room for it, in steady seconds.
    usual_log
        The logarithm of the seconds that a run takes on a usual worker; None before any look.
    kept_since
        Since when nothing but reservations of others keeps it from running anything, in steady
        seconds; None where that is not so.
    failed_on, done_on
        Lives of workers where runs of it have failed, and where some have ended well.
    is_bad
        Whether it was counted as failing wherever it runs.
    is_bulky
        Whether the pieces of room between other work hardly ever hold its tasks.
    has_quota_since
        Since when its team's quota lets all of a gang begin, in steady seconds; None where not.
    is_at_quota
        Whether its team's quota lets none of its waiting tasks begin.
    has_news
        Whether advice has come that has not been looked at yet.
    shown
        How policy programs see it when they score workers; None before the first score.
    """

    job: "Job"
    repetition: int
    number: int
    spec: StepSpec
    tasks: list[Task] = dataclasses.field(default_factory=list)
    done_count: int = 0
    advice: Advice | None = None
    rank: float = 0.0
    ranked_at: float = 0.0
    queued_at: float = 0.0
    not_before: float = 0.0
    next_search_at: float = 0.0
    next_claim_at: float = 0.0
    last_search_at: float = 0.0
    log_run_seconds: float | None = None
    blocked_since: float | None = None
    failed_on: set[str] = dataclasses.field(default_factory=set)
    done_on: set[str] = dataclasses.field(default_factory=set)
    fails_everywhere: bool = False
    is_bulky: bool = False
    quota_available_since: float | None = None
    is_at_quota: bool = False
    has_new_advice: bool = False
    policy_view: Mapping[str, object] | None = None

    @property
    def key(self) -> StepKey:
        """Names the step."""
        return (self.job.id, self.repetition, self.number)

    @property
    def waiting_since(self) -> float:
        """Since when all its waiting tasks have waited, in steady seconds."""
        waiting_times = (task.phase_since for task in self.tasks if task.phase is Phase.WAITING)
        return max(self.queued_at, max(waiting_times, default=0.0))

    @property
    def is_done(self) -> bool:
        """Whether all its tasks have ended well."""
        return self.done_count == len(self.tasks)


def _compute_critical_paths_ms(specs: tuple[StepSpec, ...]) -> tuple[float, ...]:
    longest = [float(spec.estimate_ms) for spec in specs]
    for number in reversed(range(len(specs))):
        for earlier in specs[number].after:
            longest[earlier] = max(longest[earlier], specs[earlier].estimate_ms + longest[number])
    return tuple(longest)


@dataclasses.dataclass(slots=True, eq=False)
class Job:
    """A job that is on record.

    Attributes
    ----------
    submitted_at
        When it was taken in, on this node's steady clock.
    chains_ms
        For each step: the estimated longest chain of work from it on.
    """

    id: JobId
    accepted: AcceptedJob
    submitted_at: float
    status: JobStatus = JobStatus.PENDING
    repetitions: list[list[Step]] = dataclasses.field(default_factory=list)
    critical_paths_ms: tuple[float, ...] = ()

    def __post_init__(self) -> None:
        self.critical_paths_ms = _compute_critical_paths_ms(self.accepted.spec.steps)

    @property
    def queue(self) -> str:
        """The name of its queue."""
        return self.accepted.spec.queue

    @property
    def team(self) -> str:
        """The team that it belongs to; empty for none."""
        return self.accepted.team

    @property
    def record_name(self) -> str:
        """Where it was taken in."""
        return record_name(self.id, self.team)

    def all_tasks(self):
        """Give all tasks of all repetitions so far."""
        for steps in self.repetitions:
            for step in steps:
                yield from step.tasks

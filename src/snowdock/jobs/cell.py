"""The leader's state: all jobs and workers, and what is not yet on record."""

import collections
import dataclasses
from collections.abc import Callable

from ..declarations import ZERO, Size
from .events import Effect, LogDecision, PublishStatus
from .job_state import Job, Step, Task
from .model import Configuration, JobId, Queue, StepKey, TaskId
from .orders import AdviceRequest
from .team_usage import TeamUsage
from .workers import Worker, WorkerEntry

__all__ = [
    "Cell",
    "CellSettings",
    "Claim",
    "Deferred",
    "DeferredRenewal",
    "DeferredStart",
    "Orphan",
    "PendingStop",
    "QuotaReservation",
    "SchedulingPolicy",
]


_MAX_SILENCES = 64
"""More workers than this are not looked at for having gone at the same moment."""


@dataclasses.dataclass(frozen=True, slots=True)
class CellSettings:
    """Times that the leader goes by, in seconds.

    Attributes
    ----------
    lease_s
        The lease that each renewal asks for.
    takeover_lapse_s
        After the claim: when runs on a worker that was never reached are surely over.
    gang_wait_s
        How long a member of a gang waits for the others.
    early_s
        How far ahead of its time a repetition may start.
    stop_s
        The longest that a worker takes to stop a run.
    retention_s
        How long a job stays known after its end.
    quota_overage
        By what part of its quota a team may be over it in passing; what has to start whole uses it.
    """

    lease_s: float
    unreached_run_expiry_s: float
    gang_wait_s: float
    early_s: float
    stop_s: float
    retention_s: float
    quota_overage: float = 0.0


@dataclasses.dataclass(frozen=True, slots=True)
class SchedulingPolicy:
    """The decisions that operators program.

    Attributes
    ----------
    rank
        (step, now) -> a number; the highest is placed first.
    score
        (step, worker, tasks of the step there) -> a number, the highest wins; None for unfit.
    backoff_seconds
        (step, failures) -> seconds until the next try.
    yields
        (step, other step, now) -> whether runs of the other step are stopped to make room.
    """

    rank: Callable[[Step, float], float]
    score: Callable[[Step, Worker, int], float | None]
    backoff_seconds: Callable[[Step, int], float]
    yields: Callable[[Step, Step, float], bool]


@dataclasses.dataclass(frozen=True, slots=True)
class Claim:
    """Room that is kept for a step at some workers.

    Attributes
    ----------
    until
        How long it is kept, in steady seconds.
    lives
        The workers.
    is_forced
        Whether runs are stopped to make it; else it comes free by itself.
    """

    expires_at: float
    lives: frozenset[str]
    is_preemptive: bool


@dataclasses.dataclass(slots=True)
class PendingStop:
    """A run that is to end; ``answered_at`` is None until the worker has answered."""

    sent_at: float
    answered_at: float | None = None


@dataclasses.dataclass(frozen=True, slots=True)
class DeferredStart:
    """A start that waits for its placement to be on record."""

    task: Task
    run: int


@dataclasses.dataclass(frozen=True, slots=True)
class DeferredRenewal:
    """Ends of a worker that wait to be on record before the worker may forget them."""

    life: str
    last_recorded_end: int


Deferred = DeferredStart | DeferredRenewal | Effect
"""What waits for a batch of records."""


@dataclasses.dataclass(frozen=True, slots=True)
class QuotaReservation:
    """What of a team's quota is kept for a gang; who ranks higher may use it."""

    step: StepKey
    rank: float
    size: Size


@dataclasses.dataclass(frozen=True, slots=True)
class Orphan:
    """A run that may be at a worker no life of which is known here now.

    Attributes
    ----------
    task, run
        The run, which an earlier leader placed, or whose start an earlier life did not answer.
    life
        Where it was placed.
    since
        When that could last have changed, in steady seconds.
    """

    task: Task
    run: int
    life: str
    since: float


class Cell:
    """All that a leader knows; changed by the reducer only.

    Parameters
    ----------
    settings
        The times it goes by.
    token
        This leader's fencing token.
    policy
        The decisions that operators program.
    now
        The steady clock, in seconds.

    Attributes
    ----------
    claimed_at, started_at, now
        The steady clock when the leadership was claimed, at the start, and at the newest event, in
        seconds.
    jobs
        All jobs that are known, those that ended included until they are forgotten.
    final_jobs
        When jobs ended, in steady seconds, in that order.
    cancelled_ahead
        Jobs that were cancelled before they were known, by their `record_name`.
    unreadable
        Jobs whose progress on record cannot be read: it is not known what of them has run.
    workers
        All workers that are listed or may still run something, by life.
    unnamed
        Entries of workers whose service nothing names, by life: they are not called.
    newest_lives
        The life that was listed last, by worker's id, as long as anything is kept of it.
    ended_lives
        Lives that are over while the store still lists them.
    orphans
        Runs that wait for a life of their worker, by worker's id.
    team_use
        What each team has running.
    quota_kept
        What of teams' quotas is kept for a gang that waits, by team.
    waiting
        Steps with tasks to place, in the order in which they were ranked.
    scheduled
        Jobs with repetitions still to come.
    crashed_at
        When a worker last crashed at an address, in steady seconds.
    bad_share
        By service: the share of steps that fail wherever they run, lately.
    silences
        When workers last fell silent, in steady seconds.
    claims
        Room that is kept for steps: runs are stopped to make it, or it will come free.
    starting_gangs
        Gangs some of whose members' starts are on their way.
    stops
        Runs that are to end, by worker's life, task and run.
    dirty
        Jobs whose progress goes on record with the next batch.
    held
        What waits for the next batch, in order.
    batch, batch_held
        The number of the newest batch, and what waits for it; None where none is on its way.
    effects
        What the event being taken wants done.
    askers
        Nodes that can ask the advice service.
    questions
        Questions to it that are on their way, and whether each may be a long one.
    placing_wanted
        Whether something has changed that may let a waiting step find room.
    placed_at, place_again_at, ranked_at
        When steps were last placed, when they may be placed again, and when some were last ranked,
        in steady seconds.
    room_told_at, teams_told_at, starving_told_at, overdue_told_at
        When the use of room, that by teams, jobs that starve, and runs that take too long were last
        told, in steady seconds.
    capacity
        All room of the workers, as of the last tick.
    """

    def __init__(
        self, settings: CellSettings, token: int, policy: SchedulingPolicy, now: float
    ) -> None:
        self.settings = settings
        self.token = token
        self.policy = policy
        self.leadership_claimed_at = now
        self.started_at = now
        self.now = now
        self._configuration = Configuration(0)
        self._queues: dict[str, Queue] = {}
        self.jobs: dict[JobId, Job] = {}
        self.job_ended_at: dict[JobId, float] = {}
        self.early_cancellations: set[str] = set()
        self.unreadable_jobs: set[JobId] = set()
        self.workers: dict[str, Worker] = {}
        self.unknown_service_workers: dict[str, WorkerEntry] = {}
        self.newest_lives: dict[str, str] = {}
        self.ended_lives: set[str] = set()
        self.orphans: dict[str, list[Orphan]] = {}
        self.team_usage = TeamUsage()
        self.quota_reservations: dict[str, QuotaReservation] = {}
        self.waiting_steps: dict[StepKey, Step] = {}
        self.scheduled_jobs: dict[JobId, Job] = {}
        self.crashed_at: dict[str, float] = {}
        self.failing_step_share: dict[str, float] = {}
        self.silence_times: collections.deque[float] = collections.deque(maxlen=_MAX_SILENCES)
        self.claims: dict[StepKey, Claim] = {}
        self.starting_gangs: dict[StepKey, Step] = {}
        self.pending_stops: dict[tuple[str, TaskId, int], PendingStop] = {}
        self.dirty_jobs: dict[JobId, Job] = {}
        self.deferred: list[Deferred] = []
        self.batch_number = 0
        self.batch_deferred: list[Deferred] | None = None
        self.effects: list[Effect] = []
        self.advice_node_count = 1
        self.advice_requests: dict[AdviceRequest, bool] = {}
        self.needs_placement = False
        self.last_placement_at = 0.0
        self.next_placement_at = 0.0
        self.last_ranking_at = 0.0
        self.room_logged_at = now
        self.teams_logged_at = now
        self.starving_logged_at = now
        self.overdue_logged_at = now
        self.capacity = ZERO

    @property
    def configuration(self) -> Configuration:
        """The operators' configuration in force."""
        return self._configuration

    @configuration.setter
    def configuration(self, configuration: Configuration) -> None:
        self._configuration = configuration
        self._queues = {queue.name: queue for queue in configuration.queues}

    def emit(self, effect: Effect) -> None:
        """Want something done now."""
        self.effects.append(effect)

    def log_decision(self, decision: str, subject: str, **fields: object) -> None:
        """Log a decision."""
        self.effects.append(LogDecision(decision, subject, tuple(fields.items())))

    def publish_status(self, job: Job) -> None:
        """Show a job's status to callers now."""
        self.effects.append(PublishStatus(job.id, job.queue, job.status, job.team))

    def find_task(self, task: TaskId) -> Task | None:
        """Give a task, or None where its job or number is unknown."""
        job = self.jobs.get(task.job)
        if job is None or task.repetition >= len(job.repetitions):
            return None
        steps = job.repetitions[task.repetition]
        if task.step >= len(steps) or task.index >= len(steps[task.step].tasks):
            return None
        return steps[task.step].tasks[task.index]

    def queue_of(self, job: Job) -> Queue:
        """Give a job's queue; where it was removed, the terms at the time of taking in."""
        queue = self._queues.get(job.queue)
        if queue is not None:
            return queue
        accepted = job.accepted
        return Queue(
            name=job.queue,
            host="",
            path_prefix="",
            service=accepted.service,
            priority=accepted.priority,
            max_attempts=accepted.max_attempts,
        )

    def is_known_service(self, service: str) -> bool:
        """Whether the configuration, or a job that is known, names a service."""
        configuration = self._configuration
        return (
            any(each.name == service for each in configuration.services)
            or any(queue.service == service for queue in configuration.queues)
            or any(job.accepted.service == service for job in self.jobs.values())
        )

    def objective_seconds(self, job: Job) -> float:
        """Give the time within which a job is to be done, as far as its estimates tell."""
        queue = self.queue_of(job)
        return (queue.stretch * max(job.critical_paths_ms) + queue.target_latency_ms) / 1000

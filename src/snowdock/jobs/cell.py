"""The leader's in-memory state: jobs, workers, and changes that are not recorded yet."""

import collections
import dataclasses
import math
import typing
from collections.abc import Callable

from ..declarations import ZERO_SIZE, Size
from .events import Effect, LogDecision, ProgressRecord, PublishStatus
from .job_room import RoomHistory
from .job_state import Job, Step, Task
from .load_history import LoadHistory
from .model import Configuration, JobId, Queue, StepKey, TaskId
from .orders import AdviceRequest, EndedRun
from .progress import JobProgress
from .progress_layout import ProgressLayout
from .run_times import QueueTimes
from .team_usage import TeamUsage
from .workers import Worker, WorkerEntry

if typing.TYPE_CHECKING:
    from .machine_speeds import MachineSpeed

__all__ = [
    "Cell",
    "CellSettings",
    "ChangeSet",
    "Claim",
    "Deferred",
    "DeferredRenewal",
    "DeferredStart",
    "Orphan",
    "PendingAdvice",
    "PendingStop",
    "QuotaReservation",
    "SchedulingPolicy",
    "UnsubmittedProgress",
]


_MAX_SILENCES = 64
"""Number of times kept to detect workers that stopped answering at the same moment."""


@dataclasses.dataclass(frozen=True, slots=True)
class CellSettings:
    """Durations and limits that the leader applies; durations are in seconds.

    Attributes
    ----------
    lease_s
        Length of the lease that each renewal requests.
    unreached_run_expiry_s
        Time after the leadership was claimed when runs on workers that were never reached are
        certain to have ended.
    gang_wait_s
        Time that a member of a gang waits for the other members.
    early_s
        Time by which a repetition may start before it is due.
    stop_s
        Upper bound on the time that a worker needs to stop a run.
    retention_s
        Time for which an ended job is kept.
    quota_overage
        Fraction by which a team may temporarily exceed its quota to start a gang as a whole.
    pass_time_share
        Maximum fraction of the time spent in placement passes, as estimated. The rest is left for
        other events: if these are delayed, tickets expire before their starts are sent, and each
        refused start needs another pass.
    examination_s
        Approximate time to examine one worker for one step.
    summarizes_load
        Whether the load is summarized and waits are predicted (contract `pressure`).
    max_record_bytes, max_append_bytes
        Length of the longest record, and of the longest append, that the store takes.
    max_job_objects
        Maximum number of steps and tasks of all jobs in memory; see `job_objects`.
    max_job_bytes
        Memory of all specifications of open jobs, in bytes, from which no further job is accepted.
    """

    lease_s: float
    unreached_run_expiry_s: float
    gang_wait_s: float
    early_s: float
    stop_s: float
    retention_s: float
    quota_overage: float = 0.0
    pass_time_share: float = 0.3
    examination_s: float = 10e-6
    summarizes_load: bool = False
    max_record_bytes: int = 262_144
    max_append_bytes: int = 2_097_152
    max_job_objects: int = 100_000
    max_job_bytes: int = 40_000_000


@dataclasses.dataclass(frozen=True, slots=True)
class SchedulingPolicy:
    """Scheduling decisions that operators can program.

    Attributes
    ----------
    rank
        (step, now) -> rank of the step; steps with higher ranks are placed first.
    score
        (step, worker, tasks of the step there) -> score of the worker, higher is better; None if
        the worker is unsuitable.
    backoff_seconds
        (step, failures) -> seconds until the next attempt.
    may_preempt
        (step, other step, now) -> whether runs of the other step are preempted for the step.
    """

    rank: Callable[[Step, float], float]
    score: Callable[[Step, Worker, int], float | None]
    backoff_seconds: Callable[[Step, int], float]
    may_preempt: Callable[[Step, Step, float], bool]


@dataclasses.dataclass(frozen=True, slots=True)
class Claim:
    """Resources that are held for a step on some workers.

    Attributes
    ----------
    expires_at
        End of the claim, in steady-clock seconds.
    lives
        Lives of the workers.
    is_preemptive
        Whether runs are stopped to free the resources; otherwise they become free as runs end.
    """

    expires_at: float
    lives: frozenset[str]
    is_preemptive: bool


@dataclasses.dataclass(slots=True)
class PendingStop:
    """A stop order for a run; ``answered_at`` is None until the worker has answered it."""

    sent_at: float
    answered_at: float | None = None


@dataclasses.dataclass(frozen=True, slots=True)
class DeferredStart:
    """A start order that is sent once its placement is recorded."""

    task: Task
    run: int


@dataclasses.dataclass(frozen=True, slots=True)
class DeferredRenewal:
    """Run ends that are acknowledged to their worker once they are recorded."""

    life: str
    last_recorded_end: int


@dataclasses.dataclass(frozen=True, slots=True)
class UnsubmittedProgress:
    """Progress on record of a job whose submission has not been read.

    An earlier leader may have started what it had placed, once the submission was recorded.

    Attributes
    ----------
    progress, layout
        The progress, and its blocks, if there are any.
    ends
        The ends of runs that workers have reported meanwhile.
    """

    progress: JobProgress
    layout: ProgressLayout | None
    ends: list[tuple[Worker, EndedRun]] = dataclasses.field(default_factory=list)


Deferred = DeferredStart | DeferredRenewal | Effect
"""An action that is deferred until the progress that it depends on is recorded."""


@dataclasses.dataclass(slots=True)
class ChangeSet:
    """Changes that are recorded in one or several batches.

    Attributes
    ----------
    jobs
        Jobs that are still to be encoded.
    deferred
        Actions that are deferred until all of the changes are recorded, in order.
    records
        Encoded progress that the last batch had no room for.
    """

    jobs: dict[JobId, Job]
    deferred: list[Deferred]
    records: collections.deque[ProgressRecord] = dataclasses.field(
        default_factory=collections.deque
    )

    @property
    def is_encoded(self) -> bool:
        """Whether all of the changes have been put into batches."""
        return not (self.jobs or self.records)


@dataclasses.dataclass(frozen=True, slots=True)
class QuotaReservation:
    """Part of a team's quota that is reserved for a gang; higher-ranked steps may still use it."""

    step: StepKey
    rank: float
    size: Size


@dataclasses.dataclass(frozen=True, slots=True)
class Orphan:
    """A run that may exist on a worker of which no life is currently known.

    Attributes
    ----------
    task, run
        The run; an earlier leader placed it, or an earlier life did not answer its start.
    life
        Life of the worker that it was placed on.
    since
        Time from which the expiry of its leases is counted, in steady-clock seconds.
    """

    task: Task
    run: int
    life: str
    since: float


@dataclasses.dataclass(frozen=True, slots=True)
class PendingAdvice:
    """A pending advice request.

    Attributes
    ----------
    service
        The service of its step.
    is_long
        Whether it may be a long one.
    expires_at
        Time from which it no longer counts as pending, in steady-clock seconds.
    is_in_turn
        Whether its step sent it in turn, see `advice_turns`.
    """

    service: str
    is_long: bool
    expires_at: float
    is_in_turn: bool = False


class Cell:
    """State of the scheduling leader; only the reducer changes it.

    All times are in seconds on the steady clock.

    Parameters
    ----------
    settings
        Durations and limits to apply.
    token
        Fencing token of this leader.
    policy
        Scheduling decisions that operators can program.
    now
        Current time.

    Attributes
    ----------
    leadership_claimed_at, started_at, now
        Times of the leadership claim, of the start, and of the newest event.
    jobs
        Known jobs by id, including ended ones until their retention time ends.
    held_starts
        Starts of announced jobs that wait for the jobs' submissions to be recorded, by job. Each
        announced job has an entry, in the order of the announcements.
    job_ended_at
        End times of ended jobs, in ascending order.
    early_cancellations
        The `record_name` of each job whose cancellation arrived before the job itself.
    unsubmitted
        Progress on record of jobs that have not ended and whose submission has not been read.
    unreadable_jobs
        Jobs whose recorded progress cannot be decoded, so that their past runs are unknown.
    workers
        Workers that are listed or may still run something, by life.
    unknown_service_workers
        Entries of workers whose service no configuration or job refers to, by life. They are not
        called.
    newest_lives
        The life that was listed last, by worker id, while any state of the worker is kept.
    ended_lives
        Lives that have ended but are still listed in the store.
    unproven_entries
        The newest entries of workers whose previous life may not have ended, by worker id.
    orphans
        Runs that may exist on a worker of which no life is known, by worker id.
    team_usage
        Resources that each team uses.
    quota_reservations
        Parts of quotas that are reserved for waiting gangs, by team.
    waiting_steps
        Steps with unplaced tasks, in the order in which they were last ranked.
    unexpanded_jobs
        Jobs with repetitions that are not created yet, those that have waited longest first.
    held_steps
        Steps that may run and wait to be among the waiting steps, those held longest first.
    partial_steps
        Steps that may run and of which some tasks are not created yet.
    object_count
        Number of steps and tasks of all jobs in memory.
    held_bytes
        Approximate memory of the specifications of open jobs, in bytes.
    room_history
        The recent use of the room for open jobs.
    created_in_event
        Number of steps and tasks that the current event has created.
    recorded_ends
        Ended jobs in memory whose end is recorded and of which nothing runs, in this order.
    charged_lives
        The charged runs of unended jobs, by the life of their worker.
    crashed_at
        Time of the last worker crash, by address.
    failing_step_share
        Recent share of steps that fail on every worker, by service.
    silence_times
        Times at which workers stopped answering.
    machine_speeds
        Lasting speeds of machines, by address.
    queue_times
        Model of run times, by queue.
    is_uneven, unevenness_updated_at
        Whether lasting speeds differ enough to matter, and when that was last determined.
    fast_log_slowness, slow_log_slowness
        The logarithms of the lasting slowness of fast and of slow machines: the first and the last
        tenth.
    claims
        Resources that are held for steps, by preemption or by reservation.
    starting_gangs
        Gangs with start orders that are not answered yet.
    pending_stops
        Stop orders that are not completed, by worker life, task and run.
    dirty_jobs
        Jobs whose progress is recorded with the next change set.
    deferred
        Actions that are deferred until the next change set is recorded, in order.
    change_set
        The changes that are being recorded; None if there are none.
    batch_number, batch_records
        Number of the newest batch, and its records; none if no batch is being recorded.
    max_record_bytes, max_append_bytes, limits_lowered_until
        Length of the longest record, and of the longest append, that the store takes. Lower than in
        the settings for a while after the store has rejected an append.
    next_batch_at
        Earliest time of the next batch.
    effects
        Effects of the event that is being handled.
    advice_node_count
        Number of nodes that can call the advice service.
    advice_requests
        Pending advice requests.
    last_short_request_at
        Time of the last short advice request.
    reserved_requests
        Number of requests that are kept for steps in turn, by whether they are long ones; see
        `advice_turns`.
    advised_services
        Services of the waiting steps that may request advice soon, as of the last placement pass.
    needs_placement
        Whether a change since the last placement pass may allow a waiting step to be placed.
    placed_in_pass
        Number of tasks placed in the current or last placement pass.
    last_placement_at, next_placement_at, last_ranking_at
        Time of the last placement pass, earliest time of the next one, and time of the last
        ranking.
    room_logged_at, teams_logged_at, starving_logged_at, overdue_logged_at
        Times of the last log lines on resource use, team usage, starving jobs and overdue runs.
    capacity
        Total resources of all workers as of the last tick.
    load_history
        Rates and waits for the load summary; None unless the settings ask for it.
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
        self.held_starts: dict[JobId, list[DeferredStart]] = {}
        self.job_ended_at: dict[JobId, float] = {}
        self.early_cancellations: set[str] = set()
        self.unsubmitted: dict[JobId, UnsubmittedProgress] = {}
        self.unreadable_jobs: set[JobId] = set()
        self.workers: dict[str, Worker] = {}
        self.unknown_service_workers: dict[str, WorkerEntry] = {}
        self.newest_lives: dict[str, str] = {}
        self.ended_lives: set[str] = set()
        self.unproven_entries: dict[str, WorkerEntry] = {}
        self.orphans: dict[str, list[Orphan]] = {}
        self.team_usage = TeamUsage()
        self.quota_reservations: dict[str, QuotaReservation] = {}
        self.waiting_steps: dict[StepKey, Step] = {}
        self.unexpanded_jobs: dict[JobId, Job] = {}
        self.held_steps: dict[StepKey, Step] = {}
        self.partial_steps: dict[StepKey, Step] = {}
        self.object_count = 0
        self.held_bytes = 0
        self.room_history = RoomHistory()
        self.created_in_event = 0
        self.recorded_ends: dict[JobId, Job] = {}
        self.charged_lives: dict[str, set[tuple[TaskId, int]]] = {}
        self.crashed_at: dict[str, float] = {}
        self.failing_step_share: dict[str, float] = {}
        self.silence_times: collections.deque[float] = collections.deque(maxlen=_MAX_SILENCES)
        self.machine_speeds: dict[str, MachineSpeed] = {}
        self.queue_times: dict[str, QueueTimes] = {}
        self.is_uneven = False
        self.unevenness_updated_at = now
        self.fast_log_slowness = self.slow_log_slowness = 0.0
        self.claims: dict[StepKey, Claim] = {}
        self.starting_gangs: dict[StepKey, Step] = {}
        self.pending_stops: dict[tuple[str, TaskId, int], PendingStop] = {}
        self.dirty_jobs: dict[JobId, Job] = {}
        self.deferred: list[Deferred] = []
        self.change_set: ChangeSet | None = None
        self.batch_number = 0
        self.batch_records: tuple[ProgressRecord, ...] = ()
        self.max_record_bytes = settings.max_record_bytes
        self.max_append_bytes = settings.max_append_bytes
        self.next_batch_at = 0.0
        self.limits_lowered_until = 0.0
        self.effects: list[Effect] = []
        self.advice_node_count = 1
        self.advice_requests: dict[AdviceRequest, PendingAdvice] = {}
        self.last_short_request_at = -math.inf
        self.reserved_requests: collections.Counter[bool] = collections.Counter()
        self.advised_services: frozenset[str] = frozenset()
        self.needs_placement = False
        self.placed_in_pass = 0
        self.last_placement_at = 0.0
        self.next_placement_at = 0.0
        self.last_ranking_at = 0.0
        self.room_logged_at = now
        self.teams_logged_at = now
        self.starving_logged_at = now
        self.overdue_logged_at = now
        self.capacity = ZERO_SIZE
        self.load_history = LoadHistory(now) if settings.summarizes_load else None

    @property
    def configuration(self) -> Configuration:
        """The operators' configuration that is in force."""
        return self._configuration

    @configuration.setter
    def configuration(self, configuration: Configuration) -> None:
        self._configuration = configuration
        self._queues = {queue.name: queue for queue in configuration.queues}

    def emit(self, effect: Effect) -> None:
        """Add an effect that is carried out immediately."""
        self.effects.append(effect)

    def log_decision(self, decision: str, subject: str, **fields: object) -> None:
        """Log a decision about a subject with structured fields."""
        self.effects.append(LogDecision(decision, subject, tuple(fields.items())))

    def publish_status(self, job: Job) -> None:
        """Publish a job's status to callers immediately."""
        self.effects.append(PublishStatus(job.id, job.queue, job.status, job.team))

    def enqueue(self, step: Step) -> None:
        """Add a step to the waiting steps."""
        self.held_steps.pop(step.key, None)
        if step.key not in self.waiting_steps:
            self.waiting_steps[step.key] = step
            step.place_since = self.now
            step.job.waiting_steps += 1

    def dequeue(self, step: Step) -> None:
        """Remove a step from the waiting steps, or from those that are held."""
        self.held_steps.pop(step.key, None)
        if self.waiting_steps.pop(step.key, None) is not None:
            step.job.waiting_steps -= 1

    def add_job(self, job: Job) -> None:
        """Add a job."""
        self.jobs[job.id] = job
        self.held_bytes += job.held_bytes

    def remove_job(self, job_id: JobId) -> Job | None:
        """Remove and return a job; None if it is unknown."""
        job = self.jobs.pop(job_id, None)
        if job is not None:
            self.held_bytes -= job.held_bytes
        return job

    def find_task(self, task: TaskId) -> Task | None:
        """Return a task, or None if it is unknown or not in memory."""
        # Without further calls in the usual case, as each forecast looks up all runs of a worker.
        job = self.jobs.get(task.job)
        steps = None if job is None else job.repetitions.get(task.repetition)
        if steps is None or not 0 <= task.step < len(steps):
            return None
        step = steps[task.step]
        index = task.index
        if 0 <= index < len(step.tasks):
            found = step.tasks[index]
            if found.id.index == index:
                return found
        return step.find_task(index)

    def find_step(self, key: StepKey) -> Step | None:
        """Return a step, or None if it is unknown or not in memory."""
        job_id, repetition, number = key
        job = self.jobs.get(job_id)
        steps = None if job is None else job.repetitions.get(repetition)
        return steps[number] if steps is not None and 0 <= number < len(steps) else None

    def queue_of(self, job: Job) -> Queue:
        """Return a job's queue, or one with the terms at its acceptance if it was removed."""
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
        """Check whether the configuration or a known job refers to a service."""
        configuration = self._configuration
        return (
            any(each.name == service for each in configuration.services)
            or any(queue.service == service for queue in configuration.queues)
            or any(job.accepted.service == service for job in self.jobs.values())
        )

    def objective_seconds(self, job: Job) -> float:
        """Return the target duration of a job, in seconds, based on its run time estimates."""
        return self.queue_of(job).objective_seconds(max(job.critical_paths_ms))

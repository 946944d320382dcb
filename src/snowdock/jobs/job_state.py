"""Leader-side state of jobs, their steps and tasks, and the advice about their placement."""

import bisect
import dataclasses
import enum
from collections.abc import Iterator, Mapping

import msgspec

from .evidence import Charge, Evidence
from .load_history import WaitPrediction
from .model import AdviceTerms, JobId, JobStatus, StepKey, StepSpec, TaskId
from .number_ranges import Range, add_number, contains, next_free
from .orders import AdviceRequest
from .progress import BLOCK_TASKS, AcceptedJob, record_name
from .progress_layout import ProgressLayout

__all__ = ["Advice", "AskObstacle", "Job", "Phase", "Step", "Task", "drop_done_tasks"]

_MANY_TASKS = 512
"""Number of tasks up to which a job's progress is one record and its tasks are kept in memory."""


class Phase(enum.Enum):
    """Phase of a task."""

    WAITING = "waiting"
    RECORDED = "recorded"
    """Placed; the start order waits until the placement is recorded."""
    ORDERED = "ordered"
    """The start order was sent and is not answered yet."""
    UNSURE = "unsure"
    """The start order got no answer: the run may exist, or may still start."""
    RUNNING = "running"
    STOPPING = "stopping"
    DONE = "done"


class AskObstacle(enum.Enum):
    """Why the last search for a step requested no advice; values are log fields."""

    PAUSE = "pause"
    """All its waiting tasks are paused."""
    QUOTA = "quota"
    """The team's quota admits none of its tasks."""
    ROOM = "room"
    """No open worker has room for one of its tasks."""
    PLACED = "placed"
    """Some of its tasks were placed."""
    CLAIM = "claim"
    """Runs are being preempted for it."""
    PENDING = "pending"
    """A request is not answered yet."""
    RETRY = "retry"
    """A request failed just before."""
    LIMIT = "limit"
    """As many requests of its kind are pending as may be."""
    SHARE = "share"
    """The remaining requests are reserved for other steps."""
    WORKER = "worker"
    """There is no worker for which an answer could lead to a placement."""


@dataclasses.dataclass(slots=True)
class Advice:
    """Answers of the advice service about a step.

    Attributes
    ----------
    terms
        Cost and validity of the service's answers.
    tickets
        Ticket and its expiry time, in steady-clock seconds, by life of a fit worker.
    unfit
        Lives of workers that may not run the step.
    pending
        Requests that are not answered yet.
    retry_at
        Earliest time of the next request after a failed one, in steady-clock seconds.
    next_search_at
        Earliest time of the next search for workers to ask about, in steady-clock seconds. It does
        not apply once a fit worker has enough free room.
    asked_at
        Time of the last request, in steady-clock seconds; 0 before the first.
    turn_at
        Time of the last placement pass in which it was the step's turn, see `advice_turns`.
    fruitless_at
        Time of the last search that found no worker to ask about, in steady-clock seconds.
    """

    terms: AdviceTerms
    tickets: dict[str, tuple[str, float]] = dataclasses.field(default_factory=dict)
    unfit: set[str] = dataclasses.field(default_factory=set)
    pending: set[AdviceRequest] = dataclasses.field(default_factory=set)
    retry_at: float = 0.0
    next_search_at: float = 0.0
    asked_at: float = 0.0
    turn_at: float = 0.0
    fruitless_at: float = 0.0

    @property
    def pending_requests(self) -> int:
        """Number of requests that are not answered yet."""
        return len(self.pending)

    def is_known(self, life: str) -> bool:
        """Check whether the service has answered for a worker."""
        return life in self.tickets or life in self.unfit

    def valid_ticket(self, life: str, now: float) -> str | None:
        """Return a worker's ticket, or None if there is none that is valid at a time."""
        found = self.tickets.get(life)
        return found[0] if found is not None and found[1] > now else None


@dataclasses.dataclass(slots=True, eq=False)
class Task:
    """A task and its current run; times are in seconds on the steady clock.

    Attributes
    ----------
    run
        Number of the newest run; 0 before the first.
    life
        Life of the worker on which that run exists or may exist; empty for none.
    address
        IP address and port of the worker that the newest run was placed on; empty if unknown.
    is_confirmed
        Whether the worker has reported the newest run to this leader.
    failed_runs
        Numbers of the failed runs, which count as attempts.
    charges
        Its runs that may have crashed their workers, the newest charges last.
    checkpoint
        Checkpoint from which the next run resumes; empty to start from the beginning.
    phase_since
        Time at which the task entered its phase.
    seen_at
        Time at which a worker last reported a run of the task to this leader.
    idle_since
        Time at which the last run was seen or, if it was inherited from an earlier leader, at which
        this leader claimed the leadership; 0 before the first run.
    early_failures, not_before
        For a long-running task: number of runs in a row that failed just after their start, and
        earliest time of the next start.
    malformed_starts
        Number of starts that workers refused as malformed to this leader.
    ordered_at
        Time at which the newest run was placed, ordered, or restored from the records of an earlier
        leader, whichever was last.
    percent
        Progress of the run in the last report.
    measured_percent, measured_at
        Progress and time at the last measurement of the run's speed.
    is_whole_run
        Whether this leader started the newest run, and from the beginning.
    moves, preemptions
        Number of times that a run was moved away from a slow worker, and was preempted.
    avoided_lives
        Lives of workers on which runs of the task failed, or that refused a start as malformed;
        None for none.
    """

    id: TaskId
    step: "Step"
    phase: Phase = Phase.WAITING
    run: int = 0
    life: str = ""
    address: str = ""
    is_confirmed: bool = False
    failed_runs: frozenset[int] = frozenset()
    charges: tuple[Charge, ...] = ()
    checkpoint: str = ""
    phase_since: float = 0.0
    seen_at: float = 0.0
    idle_since: float = 0.0
    early_failures: int = 0
    not_before: float = 0.0
    malformed_starts: int = 0
    ordered_at: float = 0.0
    percent: float = 0.0
    measured_percent: float = 0.0
    measured_at: float = 0.0
    is_whole_run: bool = False
    moves: int = 0
    preemptions: int = 0
    avoided_lives: set[str] | None = None

    @property
    def failures(self) -> int:
        """Number of failed runs; for a member of a gang, of the whole gang."""
        return len(self.failed_runs)

    @property
    def lost_runs(self) -> frozenset[int]:
        """Numbers of the charged runs."""
        return frozenset(charge.run for charge in self.charges)

    @property
    def crashed_runs(self) -> frozenset[int]:
        """Numbers of the charged runs that certainly crashed their workers."""
        return frozenset(charge.run for charge in self.charges if charge.evidence is Evidence.CRASH)

    @property
    def is_placed(self) -> bool:
        """Whether a run of the task exists, or may exist, on a worker."""
        return bool(self.life)

    def waited_seconds(self, now: float) -> float:
        """Return for how long the task has not run, however often a start of it has failed."""
        return now - (self.idle_since or self.step.queued_at)

    def is_current_run(self, run: int, life: str) -> bool:
        """Check whether a run on a life of a worker is the task's current run."""
        return self.run == run and self.life == life


@dataclasses.dataclass(slots=True, eq=False)
class Step:
    """A step of one repetition of a job; times are in seconds on the steady clock.

    Attributes
    ----------
    submitted_at
        Time of the job's submission or, if that is later, at which the repetition was due.
    first_position
        Position of its first task among all tasks of the repetition.
    tasks
        The tasks in memory, in ascending order; see `job_objects`.
    next_index
        Index from which further tasks are created.
    is_restored
        Whether an earlier leader may have created any of its tasks.
    finished
        Ranges of the tasks that are done and were dropped from memory.
    dropped_count
        Number of these tasks.
    done_count
        Number of tasks that are done.
    advice
        Answers of the advice service; None if the queue needs no advice.
    rank, ranked_at
        Rank of the step, and time of its computation; steps with higher ranks are placed first.
    queued_at, place_since, placed_at
        Time at which the step was enqueued, since which it is among the waiting steps, and of the
        last placement of any of its tasks.
    not_before
        Earliest time of the next attempt after a failure.
    next_search_at, last_search_at
        Earliest time of the next search for workers, and time of the last one.
    next_claim_at
        Earliest time at which runs may again be preempted for the step.
    log_run_seconds
        Logarithm of the seconds that a run takes on a typical worker; None before the first
        measurement.
    blocked_since
        Time since which only reservations for other steps prevent the step from running anything;
        None if they do not.
    failed_on, done_on
        Lives of workers on which runs failed, and on which runs succeeded.
    fails_everywhere
        Whether the step was classified as failing on every worker.
    is_bulky
        Whether the resources left free between other runs rarely hold the tasks.
    quota_available_since
        Time since which the team's quota admits the whole gang; None if it does not.
    is_at_quota
        Whether the team's quota admits none of the waiting tasks.
    has_new_advice
        Whether advice arrived since the last search.
    ask_obstacle
        Why the last search requested no advice; None if it did, or before the first search.
    policy_view
        Description of the step that is passed to policy programs to score workers; None before
        the first score.
    """

    job: "Job"
    repetition: int
    number: int
    spec: StepSpec
    submitted_at: float
    first_position: int = 0
    tasks: list[Task] = dataclasses.field(default_factory=list)
    next_index: int = 0
    is_restored: bool = False
    finished: list[Range] = dataclasses.field(default_factory=list)
    dropped_count: int = 0
    done_count: int = 0
    advice: Advice | None = None
    rank: float = 0.0
    ranked_at: float = 0.0
    queued_at: float = 0.0
    place_since: float = 0.0
    placed_at: float = 0.0
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
    ask_obstacle: AskObstacle | None = None
    policy_view: Mapping[str, object] | None = None

    @property
    def key(self) -> StepKey:
        """Identifier of the step."""
        return (self.job.id, self.repetition, self.number)

    @property
    def uncreated_count(self) -> int:
        """Number of tasks that are not in memory yet."""
        return self.spec.count - self.dropped_count - len(self.tasks)

    def find_task(self, index: int) -> Task | None:
        """Return a task, or None if it is not in memory."""
        tasks = self.tasks
        position = bisect.bisect_left(tasks, index, key=lambda task: task.id.index)
        if position < len(tasks) and tasks[position].id.index == index:
            return tasks[position]
        return None

    def tasks_between(self, first: int, end: int) -> list[Task]:
        """Return the tasks in memory with an index from ``first`` to before ``end``."""
        low = bisect.bisect_left(self.tasks, first, key=lambda task: task.id.index)
        high = bisect.bisect_left(self.tasks, end, key=lambda task: task.id.index)
        return self.tasks[low:high]

    def add_finished(self, index: int) -> None:
        """Record that a task that is not in memory is done."""
        if 0 <= index < self.spec.count and not contains(self.finished, index):
            add_number(self.finished, index)
            self.dropped_count += 1

    def next_uncreated_index(self) -> int:
        """Return the lowest index of a task that has not been created; there must be one."""
        if not self.is_restored:
            return self.next_index
        return next_free(
            self.finished, self.next_index, lambda index: self.find_task(index) is not None
        )

    def indices_in_blocks(self, first: int, last: int) -> range:
        """Return the indices of its tasks in a range of blocks, by their numbers."""
        start = max(0, first * BLOCK_TASKS - self.first_position)
        return range(start, min(self.spec.count, (last + 1) * BLOCK_TASKS - self.first_position))

    @property
    def waiting_tasks(self) -> list[Task]:
        """Tasks in memory that wait for a placement."""
        return [task for task in self.tasks if task.phase is Phase.WAITING]

    @property
    def waiting_since(self) -> float:
        """Time since which all waiting tasks have been waiting, in steady-clock seconds."""
        waiting_times = (task.phase_since for task in self.waiting_tasks)
        return max(self.queued_at, max(waiting_times, default=0.0))

    def waited_seconds(self, now: float) -> float:
        """Return for how long its tasks have waited.

        Each long-running task has to run, so for these the longest wait counts.
        """
        if not self.spec.long_running:
            return now - self.waiting_since
        return max((task.waited_seconds(now) for task in self.waiting_tasks), default=0.0)

    @property
    def is_held_up(self) -> bool:
        """Whether its waiting tasks hold it up: it runs nothing, or each of its tasks must run."""
        return self.spec.long_running or not any(task.is_placed for task in self.tasks)

    @property
    def is_done(self) -> bool:
        """Whether all tasks are done."""
        return self.done_count == self.spec.count


def compute_critical_paths_ms(specs: tuple[StepSpec, ...]) -> tuple[float, ...]:
    """Return the estimated length of the critical path that starts at each step."""
    longest = [float(spec.estimate_ms) for spec in specs]
    for number in reversed(range(len(specs))):
        for earlier in specs[number].after:
            longest[earlier] = max(longest[earlier], specs[earlier].estimate_ms + longest[number])
    return tuple(longest)


@dataclasses.dataclass(slots=True, eq=False)
class Job:
    """A job that is recorded in the store.

    Attributes
    ----------
    submitted_at
        Time of the caller's first attempt to submit the job, in steady-clock seconds.
    repetitions
        By number, the steps of the repetitions in memory.
    next_repetition
        Number from which further repetitions are created.
    waiting_steps
        Number of its steps among the leader's waiting steps.
    object_count
        Number of steps and tasks in memory.
    held_bytes
        Approximate memory of its specification, in bytes; 0 once that is dropped.
    has_many_tasks
        Whether its tasks are dropped from memory once they are done.
    critical_paths_ms
        Estimated length of the critical path that starts at each step.
    announced_at
        Time of its announcement while its submission is not recorded, so that nothing of it may
        start; None once it is.
    wait_prediction
        The wait predicted at acceptance; None if there is none, and after the first placement.
    layout
        The blocks in which its progress is recorded; None while there are none.
    """

    id: JobId
    accepted: AcceptedJob
    submitted_at: float
    status: JobStatus = JobStatus.PENDING
    repetitions: dict[int, list[Step]] = dataclasses.field(default_factory=dict)
    next_repetition: int = 0
    waiting_steps: int = 0
    object_count: int = 0
    held_bytes: int = 0
    has_many_tasks: bool = False
    critical_paths_ms: tuple[float, ...] = ()
    announced_at: float | None = None
    wait_prediction: WaitPrediction | None = None
    layout: ProgressLayout | None = None

    def __post_init__(self) -> None:
        self.critical_paths_ms = compute_critical_paths_ms(self.accepted.spec.steps)
        self.held_bytes = self.accepted.spec.held_bytes
        self.has_many_tasks = self.accepted.spec.task_count > _MANY_TASKS

    @property
    def is_recorded(self) -> bool:
        """Whether the job's submission is recorded."""
        return self.announced_at is None

    @property
    def is_split(self) -> bool:
        """Whether the job's progress takes several records."""
        return self.layout is not None and self.layout.since is not None

    @property
    def queue(self) -> str:
        """Name of the job's queue."""
        return self.accepted.spec.queue

    @property
    def team(self) -> str:
        """Team that owns the job; empty for none."""
        return self.accepted.team

    @property
    def record_name(self) -> str:
        """Name of the job's submission record."""
        return record_name(self.id, self.team)

    @property
    def repetition_count(self) -> int:
        """Number of times that the steps run."""
        return max(1, self.accepted.spec.repetitions)

    def drop_spec(self) -> None:
        """Drop the payload and the steps of the specification, once the job's end is recorded."""
        spec = msgspec.structs.replace(self.accepted.spec, payload="", steps=())
        self.accepted = msgspec.structs.replace(self.accepted, spec=spec)
        self.held_bytes = 0

    def due_ms(self, repetition: int) -> float:
        """Return when a repetition is due, in ms since 1970; 0 for a job that runs once."""
        spec = self.accepted.spec
        return spec.first_due_ms + repetition * spec.interval_ms if spec.repetitions else 0

    def find_next_repetition(self) -> int | None:
        """Return the lowest number of a repetition that has not been created, or None."""
        finished = () if self.layout is None else self.layout.finished
        self.next_repetition = next_free(
            finished, self.next_repetition, self.repetitions.__contains__
        )
        return self.next_repetition if self.next_repetition < self.repetition_count else None

    def all_steps(self) -> Iterator[Step]:
        """Yield all steps in memory."""
        for steps in self.repetitions.values():
            yield from steps

    def all_tasks(self) -> Iterator[Task]:
        """Yield all tasks in memory."""
        for step in self.all_steps():
            yield from step.tasks


def drop_done_tasks(job: Job) -> list[Task]:
    """Remove the tasks of a job that are done and do not run any more, and return them.

    They remain in the ranges of finished tasks of their steps.
    """
    dropped = []
    for step in job.all_steps():
        done = [task for task in step.tasks if task.phase is Phase.DONE and not task.life]
        if not done:
            continue
        step.tasks = [task for task in step.tasks if task.phase is not Phase.DONE or task.life]
        for task in done:
            step.add_finished(task.id.index)
        job.object_count -= len(done)
        dropped += done
    return dropped

"""What callers and operators ask for: jobs, steps, queues and limits."""

import enum

import msgspec

from ..declarations import Size
from ..teams import TeamBook

__all__ = [
    "AdviceTerms",
    "Configuration",
    "JobId",
    "JobSpec",
    "JobStatus",
    "Limits",
    "Queue",
    "Service",
    "StepKey",
    "StepSpec",
    "TaskId",
]

JobId = str
"""A job's identifier, chosen by the caller: 16 hexadecimal digits."""


class JobStatus(enum.IntEnum):
    """Where a job stands."""

    PENDING = 0
    RUNNING = 1
    COMPLETED = 2
    FAILED = 3
    CANCELLED = 4

    @property
    def is_final(self) -> bool:
        """Whether nothing of the job will run any more."""
        return self >= JobStatus.COMPLETED


class TaskId(msgspec.Struct, frozen=True, array_like=True, order=True):
    """One task of a job.

    Attributes
    ----------
    job
        The job.
    repetition
        Which of the times of a repeated job, from 0.
    step, index
        The step, and the task's number within it, both from 0.
    """

    job: JobId
    repetition: int
    step: int
    index: int


StepKey = tuple[JobId, int, int]
"""Names a step: its job, the repetition, and its number."""


class StepSpec(msgspec.Struct, frozen=True, array_like=True):
    """Equal tasks of a job.

    Attributes
    ----------
    count
        How many tasks.
    size
        What each one needs of a worker.
    estimate_ms
        A rough guess of how long each runs.
    after
        Earlier steps that must be done first.
    checkpointing
        Whether the tasks save their progress.
    gang
        Whether the tasks work only while all of them run.
    same_rack
        Whether they are slower when spread over racks.
    label
        A label that the worker must have; empty where any will do.
    data_rack
        The rack that holds the data; empty where it does not matter.
    most_per_worker
        The most tasks of the step on one worker; 0 for no bound.
    speculative
        Whether copies may run at the same time.
    long_running
        Whether the tasks run until the job is cancelled.
    image
        What the tasks run; tasks of one image behave alike.
    target_ms
        The tail latency to keep, for tasks that serve users; 0 for none.
    fills
        Whether the tasks use only what others leave.
    may_miss
        How many tasks that last may be away at once through the scheduler's doing.
    """

    count: int
    size: Size
    estimate_ms: int = 0
    after: tuple[int, ...] = ()
    checkpointing: bool = False
    gang: bool = False
    same_rack: bool = False
    label: str = ""
    data_rack: str = ""
    most_per_worker: int = 0
    speculative: bool = False
    long_running: bool = False
    image: str = ""
    target_ms: int = 0
    fills: bool = False
    may_miss: int = 0

    @property
    def is_preemptible(self) -> bool:
        """Whether a run may be stopped and go on elsewhere without losing much."""
        return self.checkpointing and not (self.gang or self.long_running)

    @property
    def room(self) -> Size:
        """What one task takes of a worker's room."""
        return Size(0, self.size.memory, self.size.accelerators) if self.fills else self.size


class JobSpec(msgspec.Struct, frozen=True, array_like=True):
    """What a caller submitted.

    Attributes
    ----------
    queue
        The name of the queue that took it in.
    payload
        The text handed to each task's start.
    steps
        The steps, in order.
    repetitions
        How many times the steps run; 0 for once, at once.
    first_due_ms, interval_ms
        When repetition K is due: first + K x interval, in ms since 1970.
    """

    queue: str
    payload: str
    steps: tuple[StepSpec, ...]
    repetitions: int = 0
    first_due_ms: int = 0
    interval_ms: int = 0


class AdviceTerms(msgspec.Struct, frozen=True):
    """How a queue's external advice service answers: call cost and validity in ms."""

    decide_ms: float
    each_ms: float
    valid_ms: float


class Queue(msgspec.Struct, frozen=True):
    """A queue that callers submit to.

    Attributes
    ----------
    name, host, path_prefix
        How it is named, and which requests it takes.
    service
        The pool of workers that runs its tasks.
    priority
        0 goes first.
    max_attempts
        Failed runs of a task after which its job has failed.
    stretch, target_latency_ms
        The objective: stretch x the longest chain of work + the latency.
    timeout_ms
        The longest that a caller waits for an answer.
    advice
        The terms of the external advice that its placements need, if any.
    is_public
        Whether its callers need no key; their jobs belong to no team.
    """

    name: str
    host: str
    path_prefix: str
    service: str
    priority: int = 0
    max_attempts: int = 1
    stretch: float = 1.0
    target_latency_ms: float = 0.0
    timeout_ms: float = 0.0
    advice: AdviceTerms | None = None
    is_public: bool = False


class Service(msgspec.Struct, frozen=True):
    """A pool of workers.

    Attributes
    ----------
    name
        Its name.
    rejects_overload
        Whether its workers refuse what does not fit.
    headroom
        Whether its VMs are off until moved to another pool.
    health_path
        Where its workers tell whether they are well.
    """

    name: str
    rejects_overload: bool = False
    headroom: bool = False
    health_path: str = ""


class Limits(msgspec.Struct, frozen=True):
    """Bounds on callers' requests; bytes and ms, 0 for the node's own default."""

    max_header_bytes: int = 0
    max_body_bytes: int = 0
    header_timeout_ms: int = 0
    idle_timeout_ms: int = 0


class Configuration(msgspec.Struct, frozen=True):
    """The operators' configuration; a higher version replaces a lower one whole."""

    version: int
    queues: tuple[Queue, ...] = ()
    services: tuple[Service, ...] = ()
    limits: Limits = Limits()
    teams: TeamBook = msgspec.field(default_factory=TeamBook)

    def find_queue(self, host: str, path: str) -> Queue | None:
        """Give the queue of a request: the longest prefix among those of its host."""
        best = None
        for queue in self.queues:
            if queue.host and queue.host != host:
                continue
            if path.startswith(queue.path_prefix) and (
                best is None or len(queue.path_prefix) > len(best.path_prefix)
            ):
                best = queue
        return best

    def find_queue_by_name(self, name: str) -> Queue | None:
        """Give a queue by its name."""
        return next((queue for queue in self.queues if queue.name == name), None)

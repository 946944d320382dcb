"""Specifications that callers and operators submit: jobs, steps, queues and limits."""

import enum
import re
from typing import Annotated

import msgspec
from msgspec import Meta

from ..declarations import Size
from ..teams import TeamRegistry

__all__ = [
    "MAX_AMOUNT",
    "MAX_STEPS",
    "AdviceTerms",
    "Amount",
    "Configuration",
    "DurationMs",
    "JobId",
    "JobSpec",
    "JobStatus",
    "Limits",
    "Priority",
    "Queue",
    "Service",
    "SettingCount",
    "StepKey",
    "StepSpec",
    "StepTaskCount",
    "TaskId",
    "TimeMs",
    "is_job_id",
]

JobId = str
"""A job's identifier, chosen by the caller: 16 hexadecimal digits."""

_JOB_ID = re.compile(r"[0-9a-f]{16}")

MAX_STEPS = 100
"""Most steps of a job."""

_MAX_STEP_TASKS = 10_000
"""Most tasks of a step."""

MAX_AMOUNT = 1_000_000_000
"""The largest amount."""

Amount = Annotated[int, Meta(ge=0, le=MAX_AMOUNT)]
"""An amount of resources, or a count; sums over all runs of a cluster stay far below 64 bits."""

Priority = Annotated[int, Meta(ge=-MAX_AMOUNT, le=MAX_AMOUNT)]
"""The priority of a queue's jobs; 0 goes first."""

StepTaskCount = Annotated[int, Meta(ge=1, le=_MAX_STEP_TASKS)]
"""The number of tasks of a step."""

TimeMs = Annotated[int, Meta(ge=0, le=2**53)]
"""A duration or a time since 1970 in ms, which a float represents exactly."""

DurationMs = Annotated[float, Meta(ge=-1e12, le=1e12)]
"""A duration in ms of at most 31 years; waits for more than 292 years raise OverflowError."""

SettingCount = Annotated[int, Meta(ge=-(2**62), le=2**62)]
"""A count in a configuration; messages and records have 64 bits for an integer."""


_JOB_BYTES = 2_000
_STEP_BYTES = 250
_REFERENCE_BYTES = 8
"""Approximate memory of a job, of a step's specification, and of the number of an earlier step."""


def is_job_id(text: str) -> bool:
    """Return whether a text has the form of a job id."""
    return _JOB_ID.fullmatch(text) is not None


class JobStatus(enum.IntEnum):
    """Status of a job."""

    PENDING = 0
    RUNNING = 1
    COMPLETED = 2
    FAILED = 3
    CANCELLED = 4

    @property
    def is_final(self) -> bool:
        """Whether the job has ended, so that no further run of it starts."""
        return self >= JobStatus.COMPLETED


class TaskId(msgspec.Struct, frozen=True, array_like=True, order=True):
    """Identifier of one task of a job.

    Attributes
    ----------
    job
        Identifier of the job.
    repetition
        Number of the repetition, from 0.
    step, index
        Number of the step, and of the task within the step, both from 0.
    """

    job: JobId
    repetition: int
    step: int
    index: int


StepKey = tuple[JobId, int, int]
"""Identifier of a step: job, repetition, and number of the step."""


class StepSpec(msgspec.Struct, frozen=True, array_like=True):
    """A group of identical tasks of a job.

    Attributes
    ----------
    count
        Number of tasks.
    size
        Resources that each task needs.
    estimate_ms
        Rough estimate of the run time of each task.
    after
        Numbers of earlier steps that must be done first.
    checkpointing
        Whether the tasks save checkpoints.
    gang
        Whether the tasks make progress only while all of them run.
    same_rack
        Whether the tasks are slower when spread over several racks.
    label
        Label that the worker must have; empty for no requirement.
    data_rack
        Rack that holds the input data; empty for no preference.
    most_per_worker
        Maximum number of tasks of the step on one worker; 0 for no limit.
    speculative
        Whether copies of a task may run at the same time.
    long_running
        Whether the tasks run until the job is cancelled.
    image
        Image that the tasks run; tasks of the same image have similar run times.
    target_ms
        Tail latency objective of tasks that serve requests; 0 for none.
    fills
        Whether the tasks use only processors that other tasks leave idle.
    may_miss
        Maximum number of long-running tasks that the scheduler may keep stopped at a time.
    """

    count: StepTaskCount
    size: Size
    estimate_ms: TimeMs = 0
    after: tuple[Amount, ...] = ()
    checkpointing: bool = False
    gang: bool = False
    same_rack: bool = False
    label: str = ""
    data_rack: str = ""
    most_per_worker: Amount = 0
    speculative: bool = False
    long_running: bool = False
    image: str = ""
    target_ms: TimeMs = 0
    fills: bool = False
    may_miss: Amount = 0

    @property
    def is_preemptible(self) -> bool:
        """Whether a run can be stopped and resumed from a checkpoint on another worker."""
        return self.checkpointing and not (self.gang or self.long_running)

    @property
    def room(self) -> Size:
        """Resources that one task reserves on its worker."""
        return Size(0, self.size.memory, self.size.accelerators) if self.fills else self.size

    @property
    def start_room(self) -> Size:
        """Resources that the first start needs at once: those of one task, or of a whole gang."""
        return self.room.times(self.count) if self.gang else self.room

    @property
    def task_core_s(self) -> float:
        """Estimated work of one task, in core-seconds."""
        return self.size.cpu * self.estimate_ms / 1e6


class JobSpec(msgspec.Struct, frozen=True, array_like=True):
    """A job as submitted by a caller.

    Attributes
    ----------
    queue
        Name of the queue that accepted the job.
    payload
        Text that is passed to each task at its start.
    steps
        The steps, in order.
    repetitions
        Number of scheduled repetitions; 0 to run the steps once, immediately.
    first_due_ms, interval_ms
        Repetition K is due at first_due_ms + K x interval_ms, in ms since 1970.
    """

    queue: str
    payload: str
    steps: Annotated[tuple[StepSpec, ...], Meta(min_length=1, max_length=MAX_STEPS)]
    repetitions: Amount = 0
    first_due_ms: TimeMs = 0
    interval_ms: Amount = 0

    @property
    def task_count(self) -> int:
        """Number of tasks of all repetitions."""
        return max(1, self.repetitions) * sum(step.count for step in self.steps)

    @property
    def object_count(self) -> int:
        """Number of steps and tasks of all repetitions."""
        return max(1, self.repetitions) * len(self.steps) + self.task_count

    @property
    def held_bytes(self) -> int:
        """Approximate memory of the specification, in bytes."""
        texts = len(self.payload) + sum(
            len(step.label) + len(step.data_rack) + len(step.image) for step in self.steps
        )
        references = sum(len(step.after) for step in self.steps)
        return _JOB_BYTES + _STEP_BYTES * len(self.steps) + _REFERENCE_BYTES * references + texts

    @property
    def work_core_s(self) -> float:
        """Estimated work of one execution of the steps, in core-seconds."""
        return sum(step.count * step.task_core_s for step in self.steps)


class AdviceTerms(msgspec.Struct, frozen=True):
    """Terms of a queue's external advice service, in ms.

    Attributes
    ----------
    decide_ms
        Fixed duration of a request.
    each_ms
        Additional duration for each worker in the request.
    valid_ms
        Time for which the tickets in an answer are valid.
    """

    decide_ms: DurationMs
    each_ms: DurationMs
    valid_ms: DurationMs


class Queue(msgspec.Struct, frozen=True):
    """A queue that callers submit jobs to.

    Attributes
    ----------
    name, host, path_prefix
        Name of the queue, and host and path prefix of the requests that it accepts.
    service
        Pool of workers that runs the tasks.
    priority
        Priority; 0 is the highest.
    max_attempts
        Number of failed runs of a task after which its job fails.
    stretch, target_latency_ms
        Objective for the duration of a job: stretch x critical path + target latency.
    timeout_ms
        Maximum time that a caller waits for an answer.
    advice
        Terms of the external advice that placements require; None if they require none.
    is_public
        Whether callers need no key. Their jobs belong to no team.
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

    def objective_seconds(self, critical_path_ms: float) -> float:
        """Return the target duration of a job with a critical path, in seconds."""
        return (self.stretch * critical_path_ms + self.target_latency_ms) / 1000


class Service(msgspec.Struct, frozen=True):
    """A pool of workers.

    Attributes
    ----------
    name
        Name of the pool.
    rejects_overload
        Whether the workers refuse runs that exceed their free room.
    headroom
        Whether the VMs are powered off until they are moved to another pool.
    health_path
        Path of the workers' health check.
    """

    name: str
    rejects_overload: bool = False
    headroom: bool = False
    health_path: str = ""


class Limits(msgspec.Struct, frozen=True):
    """Limits on callers' requests, in bytes and ms; 0 selects the default of the node."""

    max_header_bytes: SettingCount = 0
    max_body_bytes: SettingCount = 0
    header_timeout_ms: SettingCount = 0
    idle_timeout_ms: SettingCount = 0


class Configuration(msgspec.Struct, frozen=True):
    """The operators' configuration; a higher version replaces a lower one completely."""

    version: int
    queues: tuple[Queue, ...] = ()
    services: tuple[Service, ...] = ()
    limits: Limits = Limits()
    teams: TeamRegistry = msgspec.field(default_factory=TeamRegistry)

    def find_queue(self, host: str, path: str) -> Queue | None:
        """Return the queue with the longest matching path prefix for a request, or None."""
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
        """Return the queue with a name, or None."""
        return next((queue for queue in self.queues if queue.name == name), None)

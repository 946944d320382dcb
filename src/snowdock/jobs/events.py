"""What happens to a leader, and what it wants done: events and effects as data."""

import dataclasses

from .model import Configuration, JobId, JobStatus, TaskId
from .orders import (
    AdviceRequest,
    AdviceResult,
    Refusal,
    RenewOrder,
    StartOrder,
    StartResult,
    StopOrder,
    WorkerReport,
)
from .progress import AcceptedJob
from .workers import WorkerEntry

__all__ = [
    "AdviceAnswered",
    "AdviceFailed",
    "AskAdvice",
    "CloseWorker",
    "ConfigurationChanged",
    "DropJobs",
    "Effect",
    "Event",
    "ForgetAccepted",
    "JobAccepted",
    "JobCancelled",
    "LogDecision",
    "OpenWorker",
    "Persist",
    "Persisted",
    "ProgressRecord",
    "PublishStatus",
    "RenewAnswered",
    "SendRenewal",
    "SendStart",
    "SendStop",
    "StartAnswered",
    "StepDown",
    "StopAnswered",
    "Ticked",
    "WorkerDelisted",
    "WorkerListed",
]


# -- events --------------------------------------------------------------------------------


@dataclasses.dataclass(frozen=True, slots=True)
class JobAccepted:
    """A job was taken in by some node and is on record."""

    job: JobId
    accepted: AcceptedJob


@dataclasses.dataclass(frozen=True, slots=True)
class JobCancelled:
    """A job's cancelling is on record; ``name`` is the `record_name` of what is cancelled."""

    name: str


@dataclasses.dataclass(frozen=True, slots=True)
class ConfigurationChanged:
    """A newer configuration is in force."""

    configuration: Configuration


@dataclasses.dataclass(frozen=True, slots=True)
class WorkerListed:
    """A worker's entry appeared in the store or changed."""

    entry: WorkerEntry


@dataclasses.dataclass(frozen=True, slots=True)
class WorkerDelisted:
    """A worker's entry is gone from the store.

    Where the store had been away just before, the entry may have lapsed with it and return.
    """

    life: str
    may_return: bool = True


@dataclasses.dataclass(frozen=True, slots=True)
class StartAnswered:
    """A worker answered a start; no result where there was no answer."""

    life: str
    task: TaskId
    run: int
    result: StartResult | None


@dataclasses.dataclass(frozen=True, slots=True)
class StopAnswered:
    """A worker answered a stop, or did not."""

    life: str
    task: TaskId
    run: int
    answered: bool
    refusal: Refusal | None = None


@dataclasses.dataclass(frozen=True, slots=True)
class RenewAnswered:
    """A worker answered a renewal; no outcome where there was no answer."""

    life: str
    order: RenewOrder
    outcome: WorkerReport | Refusal | None


@dataclasses.dataclass(frozen=True, slots=True)
class AdviceAnswered:
    """The advice service answered."""

    result: AdviceResult


@dataclasses.dataclass(frozen=True, slots=True)
class AdviceFailed:
    """The advice service did not answer, or no node could ask it."""

    request: AdviceRequest


@dataclasses.dataclass(frozen=True, slots=True)
class Persisted:
    """A batch of progress records is on record."""

    number: int


@dataclasses.dataclass(frozen=True, slots=True)
class Ticked:
    """Time has passed.

    Attributes
    ----------
    askers
        Nodes that can ask the advice service at the same time.
    sent_at
        When this was sent, in steady seconds: all events sent before have been taken before it.
    """

    advice_node_count: int = 1
    sent_at: float = 0.0


Event = (
    JobAccepted
    | JobCancelled
    | ConfigurationChanged
    | WorkerListed
    | WorkerDelisted
    | StartAnswered
    | StopAnswered
    | RenewAnswered
    | AdviceAnswered
    | AdviceFailed
    | Persisted
    | Ticked
)


# -- effects -------------------------------------------------------------------------------


@dataclasses.dataclass(frozen=True, slots=True)
class ProgressRecord:
    """The newest progress of one job, encoded."""

    job: JobId
    data: bytes


@dataclasses.dataclass(frozen=True, slots=True)
class Persist:
    """Put records on record, all at once; one batch is on its way at a time."""

    number: int
    records: tuple[ProgressRecord, ...]


@dataclasses.dataclass(frozen=True, slots=True)
class SendStart:
    """Tell a worker to start a run."""

    life: str
    order: StartOrder


@dataclasses.dataclass(frozen=True, slots=True)
class SendStop:
    """Tell a worker to stop a run."""

    life: str
    order: StopOrder


@dataclasses.dataclass(frozen=True, slots=True)
class SendRenewal:
    """Renew a worker's lease and look at it."""

    life: str
    order: RenewOrder


@dataclasses.dataclass(frozen=True, slots=True)
class AskAdvice:
    """Ask the advice service; ``expected_ms`` is how long its answer takes."""

    request: AdviceRequest
    expected_ms: float


@dataclasses.dataclass(frozen=True, slots=True)
class OpenWorker:
    """Be ready to call a worker."""

    life: str
    address: str


@dataclasses.dataclass(frozen=True, slots=True)
class CloseWorker:
    """A worker's life is over; it is not called any more."""

    life: str


@dataclasses.dataclass(frozen=True, slots=True)
class PublishStatus:
    """Show a job's status to callers."""

    job: JobId
    queue: str
    status: JobStatus
    team: str = ""


@dataclasses.dataclass(frozen=True, slots=True)
class DropJobs:
    """Forget jobs that have been final for long."""

    jobs: tuple[JobId, ...]


@dataclasses.dataclass(frozen=True, slots=True)
class ForgetAccepted:
    """Forget how jobs were taken in whose end is on record, and of which nothing runs.

    ``names`` are their `record_name`.
    """

    names: tuple[str, ...]


@dataclasses.dataclass(frozen=True, slots=True)
class StepDown:
    """Another node leads."""

    reason: str


@dataclasses.dataclass(frozen=True, slots=True)
class LogDecision:
    """A line for the log: what was decided about a job, task or worker, and from what."""

    decision: str
    subject: str
    fields: tuple[tuple[str, object], ...] = ()


Effect = (
    Persist
    | SendStart
    | SendStop
    | SendRenewal
    | AskAdvice
    | OpenWorker
    | CloseWorker
    | PublishStatus
    | DropJobs
    | ForgetAccepted
    | StepDown
    | LogDecision
)

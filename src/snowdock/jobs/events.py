"""Events that the leader's reducer handles, and effects that it requests."""

import dataclasses

from .job_room import JobRoom
from .load_summary import LoadSummary
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
    "BatchRejected",
    "CloseWorker",
    "ConfigurationChanged",
    "DropAdvice",
    "DropJobs",
    "DropProgress",
    "EarlierLeadersEnded",
    "Effect",
    "Event",
    "ForgetAccepted",
    "JobAccepted",
    "JobAnnounced",
    "JobCancelled",
    "JobWithdrawn",
    "LogDecision",
    "OpenWorker",
    "Persist",
    "Persisted",
    "ProgressRecord",
    "PublishJobRoom",
    "PublishLoad",
    "PublishStatus",
    "RecordPrediction",
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
    """A job was accepted by a node and is recorded."""

    job: JobId
    accepted: AcceptedJob


@dataclasses.dataclass(frozen=True, slots=True)
class JobAnnounced:
    """A job's record is being appended; it may be placed, but nothing of it may start yet."""

    job: JobId
    accepted: AcceptedJob


@dataclasses.dataclass(frozen=True, slots=True)
class JobWithdrawn:
    """The record of an announced job was certainly not appended."""

    job: JobId


@dataclasses.dataclass(frozen=True, slots=True)
class JobCancelled:
    """The cancellation of a job is recorded; ``name`` is the `record_name` of the job."""

    name: str


@dataclasses.dataclass(frozen=True, slots=True)
class ConfigurationChanged:
    """A newer configuration took effect."""

    configuration: Configuration


@dataclasses.dataclass(frozen=True, slots=True)
class WorkerListed:
    """A worker's entry was added to the store or changed."""

    entry: WorkerEntry


@dataclasses.dataclass(frozen=True, slots=True)
class WorkerDelisted:
    """A worker's entry was removed from the store.

    ``may_return`` is set if the store was unavailable just before, so that the entry may have
    expired because of the outage and may return.
    """

    life: str
    may_return: bool = True


@dataclasses.dataclass(frozen=True, slots=True)
class StartAnswered:
    """A start order was answered; ``result`` is None if there was no answer."""

    life: str
    task: TaskId
    run: int
    result: StartResult | None


@dataclasses.dataclass(frozen=True, slots=True)
class StopAnswered:
    """A stop order was answered, or got no answer."""

    life: str
    task: TaskId
    run: int
    answered: bool
    refusal: Refusal | None = None


@dataclasses.dataclass(frozen=True, slots=True)
class RenewAnswered:
    """A lease renewal was answered; ``outcome`` is None if there was no answer."""

    life: str
    order: RenewOrder
    outcome: WorkerReport | Refusal | None


@dataclasses.dataclass(frozen=True, slots=True)
class AdviceAnswered:
    """The advice service answered a request."""

    result: AdviceResult


@dataclasses.dataclass(frozen=True, slots=True)
class AdviceFailed:
    """The advice service did not answer a request, or no node could send it."""

    request: AdviceRequest


@dataclasses.dataclass(frozen=True, slots=True)
class Persisted:
    """A batch of progress records is recorded."""

    number: int


@dataclasses.dataclass(frozen=True, slots=True)
class BatchRejected:
    """The store has rejected a batch of progress records for good; none of it is recorded."""

    number: int


@dataclasses.dataclass(frozen=True, slots=True)
class Ticked:
    """A periodic timer event.

    Attributes
    ----------
    advice_node_count
        Number of nodes that can call the advice service at the same time.
    sent_at
        Time at which the event was sent, in steady-clock seconds. All events that were sent
        earlier have been handled before it.
    """

    advice_node_count: int = 1
    sent_at: float = 0.0


@dataclasses.dataclass(frozen=True, slots=True)
class EarlierLeadersEnded:
    """Earlier leaders are known to act no more.

    Attributes
    ----------
    unreached_run_expiry_s
        The new value of `CellSettings.unreached_run_expiry_s`, in seconds.
    """

    unreached_run_expiry_s: float


Event = (
    JobAccepted
    | JobAnnounced
    | JobWithdrawn
    | JobCancelled
    | ConfigurationChanged
    | EarlierLeadersEnded
    | WorkerListed
    | WorkerDelisted
    | StartAnswered
    | StopAnswered
    | RenewAnswered
    | AdviceAnswered
    | AdviceFailed
    | Persisted
    | BatchRejected
    | Ticked
)


# -- effects -------------------------------------------------------------------------------


_LENGTH_PREFIX_BYTES = 4
"""What a record adds to an append beside its own length."""


@dataclasses.dataclass(frozen=True, slots=True)
class ProgressRecord:
    """The encoded current progress of a job, or of some of its tasks; see `progress`."""

    key: str
    data: bytes

    @property
    def size(self) -> int:
        """The record's length in bytes, as the store counts it: the key has a byte of length."""
        return 1 + len(self.key) + len(self.data)

    @property
    def append_size(self) -> int:
        """What the record adds to the length of an append, in bytes."""
        return _LENGTH_PREFIX_BYTES + self.size


@dataclasses.dataclass(frozen=True, slots=True)
class Persist:
    """Record a batch of progress; only one batch is in flight at a time."""

    number: int
    records: tuple[ProgressRecord, ...]


@dataclasses.dataclass(frozen=True, slots=True)
class SendStart:
    """Send a worker the order to start a run."""

    life: str
    order: StartOrder


@dataclasses.dataclass(frozen=True, slots=True)
class SendStop:
    """Send a worker the order to stop a run."""

    life: str
    order: StopOrder


@dataclasses.dataclass(frozen=True, slots=True)
class SendRenewal:
    """Renew a worker's lease and request its report."""

    life: str
    order: RenewOrder


@dataclasses.dataclass(frozen=True, slots=True)
class AskAdvice:
    """Send a request to the advice service; ``expected_ms`` is its expected duration."""

    request: AdviceRequest
    expected_ms: float


@dataclasses.dataclass(frozen=True, slots=True)
class DropAdvice:
    """Send a request to no further node; an answer that still comes is used."""

    request: AdviceRequest


@dataclasses.dataclass(frozen=True, slots=True)
class OpenWorker:
    """Prepare calls to a worker."""

    life: str
    address: str


@dataclasses.dataclass(frozen=True, slots=True)
class CloseWorker:
    """End the calls to a worker whose life has ended."""

    life: str


@dataclasses.dataclass(frozen=True, slots=True)
class PublishStatus:
    """Publish a job's status to callers."""

    job: JobId
    queue: str
    status: JobStatus
    team: str = ""


@dataclasses.dataclass(frozen=True, slots=True)
class DropJobs:
    """Delete the records of jobs whose retention time has ended.

    ``names`` holds the jobs' `record_name`, if known.
    """

    jobs: tuple[JobId, ...]
    names: tuple[str, ...] = ()


@dataclasses.dataclass(frozen=True, slots=True)
class ForgetAccepted:
    """Delete the submission records of jobs whose end is recorded and that have no runs left.

    ``names`` holds the `record_name` of each job.
    """

    names: tuple[str, ...]


@dataclasses.dataclass(frozen=True, slots=True)
class DropProgress:
    """Delete blocks of progress that no longer count, by their keys."""

    keys: tuple[str, ...]


@dataclasses.dataclass(frozen=True, slots=True)
class StepDown:
    """Resign the leadership, because another node leads."""

    reason: str


@dataclasses.dataclass(frozen=True, slots=True)
class PublishLoad:
    """Publish the load summary to all nodes."""

    summary: LoadSummary


@dataclasses.dataclass(frozen=True, slots=True)
class PublishJobRoom:
    """Publish to all nodes how much of the room for open jobs is in use.

    Attributes
    ----------
    room
        The statement.
    objects, held_bytes, unexpanded_jobs
        Steps and tasks in memory, approximate bytes of specifications, and jobs with repetitions
        that are not created yet.
    """

    room: JobRoom
    objects: int
    held_bytes: int
    unexpanded_jobs: int


@dataclasses.dataclass(frozen=True, slots=True)
class RecordPrediction:
    """Record the wait that was predicted for a job, and the one observed at its first placement."""

    queue: str
    predicted_s: float
    observed_s: float


@dataclasses.dataclass(frozen=True, slots=True)
class LogDecision:
    """Log a decision about a job, task or worker, with the data that it is based on."""

    decision: str
    subject: str
    fields: tuple[tuple[str, object], ...] = ()


Effect = (
    Persist
    | SendStart
    | SendStop
    | SendRenewal
    | AskAdvice
    | DropAdvice
    | OpenWorker
    | CloseWorker
    | PublishStatus
    | DropJobs
    | ForgetAccepted
    | DropProgress
    | StepDown
    | LogDecision
    | PublishLoad
    | PublishJobRoom
    | RecordPrediction
)

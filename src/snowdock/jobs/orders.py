"""What a leader tells workers and the advice service, and what they answer."""

import dataclasses
import enum

from .model import JobId, TaskId

__all__ = [
    "AdviceRequest",
    "AdviceResult",
    "EndKind",
    "EndedRun",
    "Refusal",
    "RenewOrder",
    "RunningRun",
    "StartOrder",
    "StartResult",
    "StopOrder",
    "WorkerReport",
]


class Refusal(enum.Enum):
    """Why a worker did not do what it was told; it has then done nothing."""

    FENCED = "fenced"
    """It has seen a higher fencing token."""
    SUPERSEDED = "superseded"
    """The run is not above one that was stopped or has ended there."""
    LATE = "late"
    """The lease named in the order was over when it arrived."""
    NO_ROOM = "no_room"
    TICKET = "ticket"
    """The ticket is missing, expired, or not for this step and life."""
    UNHEALTHY = "unwell"
    UNREACHABLE = "unreached"
    """There was not even a connection, so nothing was sent."""
    OTHER_LIFE = "other_life"
    """Another worker answered at the address: the life meant is over."""
    NEXT_LIFE = "next_life"
    """The worker has begun another life under its id: the one meant is over."""
    MALFORMED = "malformed"


class EndKind(enum.Enum):
    """How a run ended."""

    DONE = "done"
    FAILED = "failed"
    STOPPED = "stopped"
    LEASE_EXPIRED = "lapsed"
    """Its lease was not renewed in time."""
    GANG_BROKEN = "broken"
    """Another member of its gang ended."""
    GANG_TIMEOUT = "alone"
    """It waited too long for the other members of its gang."""


@dataclasses.dataclass(frozen=True, slots=True)
class StartOrder:
    """Start a run; ``lease_until_ms`` counts on the worker's clock."""

    task: TaskId
    run: int
    payload: str
    token: int
    lease_until_ms: int
    checkpoint: str = ""
    ticket: str = ""


@dataclasses.dataclass(frozen=True, slots=True)
class StopOrder:
    """Stop a run, or make sure that it never starts."""

    task: TaskId
    run: int
    token: int


@dataclasses.dataclass(frozen=True, slots=True)
class RenewOrder:
    """Renew the lease of all that runs on a worker, and look at it.

    Attributes
    ----------
    token
        The fencing token.
    seen_ends
        The number up to which ended runs are on record and may be forgotten.
    lease_until_ms
        On the worker's clock; 0 renews nothing.
    wait_ms
        How long the worker may wait for a run to end before it answers.
    sent_at
        The sender's steady clock, in seconds.
    """

    token: int
    last_recorded_end: int
    lease_until_ms: int
    wait_ms: int
    sent_at: float


@dataclasses.dataclass(frozen=True, slots=True)
class StartResult:
    """A worker's answer to a start; no refusal means that the run is there."""

    refusal: Refusal | None
    clock_ms: float = 0.0


@dataclasses.dataclass(frozen=True, slots=True)
class RunningRun:
    """A run that a worker lists; ``percent`` is how far it is, ``load`` a rough recent figure."""

    task: TaskId
    run: int
    checkpoint: str
    percent: float
    load: float


@dataclasses.dataclass(frozen=True, slots=True)
class EndedRun:
    """An ended run that a worker lists; numbers rise within one life of the worker."""

    number: int
    task: TaskId
    run: int
    kind: EndKind
    checkpoint: str


@dataclasses.dataclass(frozen=True, slots=True)
class WorkerReport:
    """All that runs on a worker, and the ends that are not forgotten yet."""

    clock_ms: float
    running: list[RunningRun]
    ended: list[EndedRun]


@dataclasses.dataclass(frozen=True, slots=True)
class AdviceRequest:
    """A question to the advice service: which of these workers may run a step."""

    job: JobId
    repetition: int
    step: int
    workers: tuple[str, ...]


@dataclasses.dataclass(frozen=True, slots=True)
class AdviceResult:
    """Its answer: tickets by worker for those that may run the step."""

    request: AdviceRequest
    tickets: dict[str, str]

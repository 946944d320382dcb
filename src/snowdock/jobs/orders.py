"""Orders and requests of a leader to workers and the advice service, and their answers."""

import dataclasses
import enum

from .model import JobId, TaskId

__all__ = [
    "MAX_LISTED_ENDS",
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


MAX_LISTED_ENDS = 500
"""The most ended runs in one report of a worker. It lists the further ones once the first are
recorded and dropped."""


class Refusal(enum.Enum):
    """Why a worker refused an order; a refused order has no effect."""

    FENCED = "fenced"
    """The worker has seen a higher fencing token."""
    SUPERSEDED = "superseded"
    """The run's number is not above that of a run that was stopped or has ended there."""
    LATE = "late"
    """The lease in the order had expired when the order arrived."""
    NO_ROOM = "no_room"
    TICKET = "ticket"
    """The ticket is missing, expired, or issued for another step or life."""
    UNHEALTHY = "unwell"
    UNREACHABLE = "unreached"
    """The connection failed, so nothing was sent."""
    OTHER_LIFE = "other_life"
    """Another worker answered at the address: the addressed life has ended."""
    NEXT_LIFE = "next_life"
    """The worker has restarted under its id: the addressed life has ended."""
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
    """The run waited too long for the other members of its gang."""


@dataclasses.dataclass(frozen=True, slots=True)
class StartOrder:
    """Start a run; ``lease_until_ms`` is on the worker's clock."""

    task: TaskId
    run: int
    payload: str
    token: int
    lease_until_ms: int
    checkpoint: str = ""
    ticket: str = ""


@dataclasses.dataclass(frozen=True, slots=True)
class StopOrder:
    """Stop a run, or prevent a run that has not arrived from starting."""

    task: TaskId
    run: int
    token: int


@dataclasses.dataclass(frozen=True, slots=True)
class RenewOrder:
    """Renew the lease of all runs on a worker, and request a report of them.

    Attributes
    ----------
    token
        The fencing token.
    last_recorded_end
        The number up to which ended runs are recorded, so that the worker may drop them.
    lease_until_ms
        The end of the lease, in ms on the worker's clock; 0 renews nothing.
    wait_ms
        How long the worker may delay its answer until a run ends, in ms.
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
    """A worker's answer to a start; without a refusal, the worker has the run."""

    refusal: Refusal | None
    clock_ms: float = 0.0


@dataclasses.dataclass(frozen=True, slots=True)
class RunningRun:
    """A run that a worker reports; ``percent`` is its progress, ``load`` its approximate load."""

    task: TaskId
    run: int
    checkpoint: str
    percent: float
    load: float


@dataclasses.dataclass(frozen=True, slots=True)
class EndedRun:
    """An ended run that a worker reports; numbers increase within one life of the worker."""

    number: int
    task: TaskId
    run: int
    kind: EndKind
    checkpoint: str


@dataclasses.dataclass(frozen=True, slots=True)
class WorkerReport:
    """All runs on a worker, and the first of the ended runs that it has not dropped yet."""

    clock_ms: float
    running: list[RunningRun]
    ended: list[EndedRun]

    @property
    def may_omit_ends(self) -> bool:
        """Whether runs may have ended that the report does not list."""
        return len(self.ended) >= MAX_LISTED_ENDS


@dataclasses.dataclass(frozen=True, slots=True)
class AdviceRequest:
    """A request to the advice service: which of these workers may run a step."""

    job: JobId
    repetition: int
    step: int
    workers: tuple[str, ...]


@dataclasses.dataclass(frozen=True, slots=True)
class AdviceResult:
    """The result of a request for advice: tickets by worker, for those that may run the step."""

    request: AdviceRequest
    tickets: dict[str, str]

"""Messages between the actors of a node."""

import dataclasses
from collections.abc import Callable

import pykka

from ..decisions.shares import MinionView
from ..effects import BatchApplied
from ..platform.logs import RawEntry
from ..platform.worker_client import SyncReport
from ..records import Record
from ..state import State

__all__ = [
    "AcquireSlot",
    "AssignmentChanged",
    "BatchReadBack",
    "EntriesRead",
    "HeartbeatReceived",
    "LogConfirmed",
    "LogFailed",
    "MinionsChanged",
    "PeerSlotsReported",
    "Propose",
    "Query",
    "SlotAtPeer",
    "SlotGranted",
    "SlotRefused",
    "SlotReleased",
    "StateLoaded",
    "SyncAnswered",
    "SyncFailed",
    "Tick",
    "WorkerSyncRequested",
]


def _message(cls):
    return dataclasses.dataclass(frozen=True, slots=True)(cls)


@_message
class Tick:
    """Time has passed; do what is due."""


@_message
class Propose:
    """Put records on the log.

    ``reply``, where given, is called once with the tuple of verdicts or a `SnowdockError`.
    """

    records: tuple[Record, ...]
    on_verdicts: Callable[[object], None] | None = None


@_message
class BatchReadBack:
    """A batch of this node was read back and judged."""

    applied: BatchApplied


@_message
class EntriesRead:
    """New entries of the log, in order.

    ``end`` is the offset that the next will get; ``asked_at`` is when the read began, on the
    monotonic clock.
    """

    entries: tuple[RawEntry, ...]
    end: int
    read_started_at: float


@_message
class LogConfirmed:
    """A read of the log that began at ``asked_at`` was answered and applied."""

    read_started_at: float


@_message
class StateLoaded:
    """A snapshot, from the log or from a peer, to go on from."""

    state: State


@_message
class LogFailed:
    """The log did not answer a read."""

    reason: str


@_message
class Query:
    """Read the shared state: the function is called with the state actor's parts."""

    function: Callable[..., object]


@_message
class HeartbeatReceived:
    """A peer's heartbeat arrived."""

    node: str
    incarnation: str
    offset: int
    digest_offset: int
    digest: str
    reaches_log: bool


@_message
class PeerSlotsReported:
    """A peer told how many idle slots it has, by minion group."""

    node: str
    idle_slots: dict[str, int]


@_message
class AssignmentChanged:
    """The workers that this node should drive, by name and address."""

    workers: dict[str, str]


@_message
class WorkerSyncRequested:
    """There is something to start or stop on a worker."""

    worker: str


@_message
class SyncAnswered:
    """A worker answered an order."""

    worker: str
    answer: SyncReport


@_message
class SyncFailed:
    """A worker did not answer an order."""

    worker: str
    reason: str


@_message
class MinionsChanged:
    """All minions, and whether this node still takes slots."""

    minions: tuple[MinionView, ...]
    may_take_slots: bool


@_message
class AcquireSlot:
    """Ask for a slot on a minion of a group.

    ``slot`` gets `Granted`, `LentByPeer` or `Refused`.
    """

    group: str
    queue_limit: int
    priority: int
    deadline: float
    excluded: frozenset[str]
    may_lend: bool
    may_wait: bool
    slot: pykka.Future
    wanted: str = ""


@_message
class SlotGranted:
    """A slot is the asker's until it sends `Released`."""

    minion: str
    address: str


@_message
class SlotAtPeer:
    """No slot is idle here, but a peer has some."""

    node: str


@_message
class SlotRefused:
    """No slot, and when to come back."""

    reason: str
    retry_after_seconds: float


@_message
class SlotReleased:
    """A slot is idle again, after ``hold_seconds``.

    ``failed`` says that the minion did not answer well. A slot is held back where its
    request may still run at the minion.
    """

    minion: str
    failed: bool
    duration_s: float
    hold_s: float = 0.0

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
    """A periodic timer fired."""


@_message
class Propose:
    """A request to append records to the log.

    If given, ``on_verdicts`` is called once with the tuple of verdicts or a `SnowdockError`.
    """

    records: tuple[Record, ...]
    on_verdicts: Callable[[object], None] | None = None


@_message
class BatchReadBack:
    """A batch of this node was read back from the log and applied."""

    applied: BatchApplied


@_message
class EntriesRead:
    """New entries of the log, in order.

    ``end`` is the offset of the next entry to be appended. ``read_started_at`` is the time at
    which the read started, in seconds on the monotonic clock.
    """

    entries: tuple[RawEntry, ...]
    end: int
    read_started_at: float


@_message
class LogConfirmed:
    """A read of the log that started at ``read_started_at`` was applied."""

    read_started_at: float


@_message
class StateLoaded:
    """A snapshot from the log or from a peer was loaded."""

    state: State


@_message
class LogFailed:
    """A read of the log failed."""

    reason: str


@_message
class Query:
    """Call a function with the receiving actor's state, and return its result."""

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
    """A peer's heartbeat reported its idle slots by minion group."""

    node: str
    idle_slots: dict[str, int]


@_message
class AssignmentChanged:
    """The workers that this node has to drive: addresses by name."""

    workers: dict[str, str]


@_message
class WorkerSyncRequested:
    """A worker has attempts to start or stop."""

    worker: str


@_message
class SyncAnswered:
    """A worker replied to an order."""

    worker: str
    answer: SyncReport


@_message
class SyncFailed:
    """A call to a worker failed."""

    worker: str
    reason: str


@_message
class MinionsChanged:
    """All minions, and whether this node may take slots."""

    minions: tuple[MinionView, ...]
    may_take_slots: bool


@_message
class AcquireSlot:
    """A request for a slot on a minion of a group.

    The future is set to `SlotGranted`, `SlotAtPeer` or `SlotRefused`. ``deadline`` is in seconds
    on the monotonic clock.
    """

    group: str
    queue_limit: int
    priority: int
    deadline: float
    excluded: frozenset[str]
    may_forward: bool
    may_wait: bool
    result: pykka.Future
    session_minion: str = ""


@_message
class SlotGranted:
    """A slot is reserved for the requester until it sends `SlotReleased`."""

    minion: str
    address: str


@_message
class SlotAtPeer:
    """No slot is idle here, but the named peer has one."""

    node: str


@_message
class SlotRefused:
    """No slot is available; retry after ``retry_after_seconds``."""

    reason: str
    retry_after_seconds: float


@_message
class SlotReleased:
    """A slot becomes idle after ``hold_s`` seconds.

    The hold covers a request that may still be running at the minion. ``failed`` counts against
    the minion's health, and ``duration_s`` is how long the slot was used.
    """

    minion: str
    failed: bool
    duration_s: float
    hold_s: float = 0.0

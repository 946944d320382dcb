"""The shared state that every node folds from the log.

All of it is encodable, so that a snapshot is one call. Only the reducer changes it.
"""

import hashlib
from collections import Counter
from enum import StrEnum

import msgspec

from .declarations import ZERO, Declarations, Size, WorkSpec
from .errors import InvalidInput

__all__ = [
    "AttemptReference",
    "Configuration",
    "CoolingSlots",
    "Member",
    "MemberState",
    "Minion",
    "Outcome",
    "Request",
    "State",
    "Task",
    "TaskState",
    "VmState",
    "Work",
    "Worker",
    "decode_state",
    "digest",
    "encode_state",
    "find_attempt_by_id",
    "format_attempt_id",
    "parse_attempt_id",
]


class TaskState(StrEnum):
    """Where a task stands."""

    QUEUED = "queued"
    PLACED = "placed"
    RUNNING = "running"
    SUCCEEDED = "succeeded"
    FAILED = "failed"
    CANCELLED = "cancelled"


class Outcome(StrEnum):
    """How an attempt ended. Only ``failed`` is held against the task and the worker."""

    SUCCEEDED = "succeeded"
    FAILED = "failed"
    REFUSED = "refused"
    LAPSED = "lapsed"
    STOPPED = "stopped"
    ABSENT = "absent"
    LOST = "lost"


_FINAL_STATES = frozenset((TaskState.SUCCEEDED, TaskState.FAILED, TaskState.CANCELLED))


class VmState(StrEnum):
    """What the VM list says of a worker or minion."""

    LIVE = "live"
    LEAVING = "leaving"
    GONE = "gone"


class MemberState(StrEnum):
    """Whether a node takes new work."""

    LIVE = "live"
    DRAINING = "draining"


class Task(msgspec.Struct, array_like=True):
    """One task of a work.

    ``attempt`` counts its starts, ``failures`` the attempts that failed, and ``losses`` those that
    ran and whose worker then knew nothing of them, or was gone.
    """

    state: TaskState = TaskState.QUEUED
    attempt: int = 0
    worker: str = ""
    failures: int = 0
    stopping: bool = False
    losses: int = 0

    @property
    def is_assigned(self) -> bool:
        """Whether an attempt holds room on a worker now."""
        return self.state in (TaskState.PLACED, TaskState.RUNNING)

    @property
    def is_finished(self) -> bool:
        """Whether nothing more will happen to the task."""
        return self.state in _FINAL_STATES


class Work(msgspec.Struct, array_like=True):
    """An accepted piece of work. Times are milliseconds since the epoch.

    ``open_tasks`` counts the tasks that have not come to an end: looking through all of them
    at each end would make a work's cost grow with the square of its tasks. ``folded`` stands
    in place of the tasks of a work that ended a while ago: how many ended in which state.
    """

    number: int
    key: str
    spec: WorkSpec
    tasks: list[Task]
    submitted_ms: int
    started_ms: int = 0
    finished_ms: int = 0
    cancelled: bool = False
    open_tasks: int = 0
    final_counts: dict[str, int] = {}

    @property
    def counts(self) -> dict[str, int]:
        """How many tasks are in which state."""
        return dict(self.final_counts) or dict(Counter(task.state.value for task in self.tasks))

    @property
    def queued(self) -> list[int]:
        """Numbers of the tasks that wait for a place."""
        return [n for n, task in enumerate(self.tasks) if task.state == TaskState.QUEUED]

    @property
    def is_finished(self) -> bool:
        """Whether all tasks have come to an end."""
        return self.open_tasks == 0


class Worker(msgspec.Struct, array_like=True):
    """A worker VM, what it has, and what is promised of it.

    ``attempts`` maps an attempt id to the size that it holds. ``streak`` counts failures in
    a row. ``gone_offset`` is the offset from which nobody may renew its leases, and
    ``fenced_ms`` the time at which all members had confirmed that they had read it.
    """

    name: str
    boot: str
    capacity: Size
    rack: str
    hall: str
    address: str
    state: VmState = VmState.LIVE
    used: Size = ZERO
    attempts: dict[str, Size] = {}
    failure_streak: int = 0
    gone_offset: int = -1
    fenced_ms: int = 0

    @property
    def free(self) -> Size:
        """What is not promised yet."""
        return self.capacity.minus(self.used)


class Minion(msgspec.Struct, array_like=True):
    """A minion and how its slots are divided: ``shares`` maps nodes to slots."""

    name: str
    group: str
    hall: str
    address: str
    state: VmState = VmState.LIVE
    shares: dict[str, int] = {}


class CoolingSlots(msgspec.Struct, array_like=True):
    """Slots of a node that ended without giving them back.

    Requests that it forwarded may still run at the minion until ``until_ms``.
    """

    minion: str
    slots: int
    until_ms: int


class Member(msgspec.Struct, array_like=True):
    """A node. ``read_offset`` is how far it confirmed to have acted on the log."""

    name: str
    incarnation: str
    hall: str
    api_address: str
    peer_address: str
    state: MemberState = MemberState.LIVE
    read_offset: int = -1
    sequence: int = 0


class Request(msgspec.Struct, array_like=True):
    """A not-repeatable request that a node was allowed to forward."""

    node: str
    incarnation: str
    minion: str
    created_ms: int
    outcome: str = ""


class Configuration(msgspec.Struct, array_like=True):
    """The configuration in force; its version is the record's offset, 0 when none is."""

    version: int = 0
    author: str = ""
    declarations: Declarations = Declarations()


class State(msgspec.Struct, array_like=True):
    """Everything that the nodes share.

    ``now_ms`` is the newest clock reading seen on the log, so that time passes the same way
    on every node. ``retired`` keeps, for ended incarnations, nothing but their names, so
    that a process that wakes up late cannot append any more. ``finished`` lists ended works
    whose tasks are still kept, ``folded`` those of which only counts are, the oldest first.
    """

    offset: int = -1
    now_ms: int = 0
    configuration: Configuration = msgspec.field(default_factory=Configuration)
    longest_lease_ms: int = 0
    members: dict[str, Member] = msgspec.field(default_factory=dict)
    retired_incarnations: dict[str, int] = msgspec.field(default_factory=dict)
    workers: dict[str, Worker] = msgspec.field(default_factory=dict)
    unfenced_workers: list[str] = msgspec.field(default_factory=list)
    works: dict[int, Work] = msgspec.field(default_factory=dict)
    work_keys: dict[str, int] = msgspec.field(default_factory=dict)
    team_usage: dict[str, Size] = msgspec.field(default_factory=dict)
    queued_tasks: int = 0
    finished_works: list[int] = msgspec.field(default_factory=list)
    finished_tasks: int = 0
    compacted_works: list[int] = msgspec.field(default_factory=list)
    minions: dict[str, Minion] = msgspec.field(default_factory=dict)
    cooling_slots: list[CoolingSlots] = msgspec.field(default_factory=list)
    requests: dict[str, Request] = msgspec.field(default_factory=dict)


def format_attempt_id(work: int, task: int, attempt: int) -> str:
    """Name an attempt for workers, logs and people."""
    return f"{work}.{task}.{attempt}"


def parse_attempt_id(text: str) -> tuple[int, int, int]:
    """Read back what `attempt_id` wrote.

    Raises
    ------
    InvalidInput
        If the text is no attempt id.
    """
    try:
        work, task, attempt = map(int, text.split("."))
    except ValueError as error:
        raise InvalidInput(f"not an attempt id: {text!r}") from error
    return work, task, attempt


class AttemptReference(msgspec.Struct, frozen=True):
    """What an attempt's id stands for; ``count`` need not be the task's newest attempt."""

    work: Work
    task_number: int
    task: Task
    attempt_number: int

    @property
    def is_current(self) -> bool:
        """Whether this very attempt holds room now."""
        return self.task.attempt == self.attempt_number and self.task.is_assigned

    @property
    def is_closed(self) -> bool:
        """Whether the attempt was surely closed, not just unknown to a state that lags."""
        return self.task.attempt >= self.attempt_number and not self.is_current


def find_attempt_by_id(state: State, name: str) -> AttemptReference | None:
    """Find an attempt by its id, or give None where the state knows no such task."""
    try:
        number, task_number, count = parse_attempt_id(name)
    except InvalidInput:
        return None
    work = state.works.get(number)
    if work is None or not 0 <= task_number < len(work.tasks):
        return None
    return AttemptReference(work, task_number, work.tasks[task_number], count)


# Dictionaries keep the order in which the log filled them, which is the same on every node.
_encoder = msgspec.msgpack.Encoder()
_decoder = msgspec.msgpack.Decoder(State)


def encode_state(state: State) -> bytes:
    """Encode the whole state; equal states give equal bytes."""
    return _encoder.encode(state)


def decode_state(data: bytes) -> State:
    """Decode a snapshot.

    Raises
    ------
    InvalidInput
        If the bytes are not a state.
    """
    try:
        return _decoder.decode(data)
    except msgspec.MsgspecError as error:
        raise InvalidInput(f"not a snapshot: {error}") from error


def digest(state: State) -> str:
    """Name the state's content, to compare two nodes at the same offset."""
    return hashlib.blake2b(encode_state(state), digest_size=8).hexdigest()

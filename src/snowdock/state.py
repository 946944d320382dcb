"""The shared state that every node builds from the log.

Only the reducer modifies the state. A snapshot is the encoded state.
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
    """The state of a task."""

    QUEUED = "queued"
    PLACED = "placed"
    RUNNING = "running"
    SUCCEEDED = "succeeded"
    FAILED = "failed"
    CANCELLED = "cancelled"


class Outcome(StrEnum):
    """How an attempt ended.

    Only ``failed`` counts as a failure of the task and of the worker.
    """

    SUCCEEDED = "succeeded"
    FAILED = "failed"
    REFUSED = "refused"
    LAPSED = "lapsed"
    STOPPED = "stopped"
    ABSENT = "absent"
    LOST = "lost"


_FINAL_STATES = frozenset((TaskState.SUCCEEDED, TaskState.FAILED, TaskState.CANCELLED))


class VmState(StrEnum):
    """The state of a worker or minion according to the VM list."""

    LIVE = "live"
    LEAVING = "leaving"
    GONE = "gone"


class MemberState(StrEnum):
    """Whether a node takes new work."""

    LIVE = "live"
    DRAINING = "draining"


class Task(msgspec.Struct, array_like=True):
    """One task of a work.

    Attributes
    ----------
    state
        The task's state.
    attempt
        Number of the newest attempt, from 1; 0 if there was none.
    worker
        The worker of the newest attempt.
    failures
        Number of attempts that failed.
    stopping
        Whether the current attempt has been asked to stop.
    losses
        Number of running attempts that were lost with their worker or that their worker
        reported as absent.
    """

    state: TaskState = TaskState.QUEUED
    attempt: int = 0
    worker: str = ""
    failures: int = 0
    stopping: bool = False
    losses: int = 0

    @property
    def is_assigned(self) -> bool:
        """Whether an attempt holds capacity on a worker."""
        return self.state in (TaskState.PLACED, TaskState.RUNNING)

    @property
    def is_finished(self) -> bool:
        """Whether the task is in a final state."""
        return self.state in _FINAL_STATES


class Work(msgspec.Struct, array_like=True):
    """An accepted work. Times are milliseconds since the epoch, or 0 if not reached.

    ``open_tasks`` is the number of tasks that have not finished, kept so that the end of a
    task takes constant time. ``final_counts`` replaces the tasks of an old finished work: it
    maps states to numbers of tasks.
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
        """Number of tasks by state."""
        return dict(self.final_counts) or dict(Counter(task.state.value for task in self.tasks))

    @property
    def queued(self) -> list[int]:
        """Numbers of the queued tasks."""
        return [n for n, task in enumerate(self.tasks) if task.state == TaskState.QUEUED]

    @property
    def is_finished(self) -> bool:
        """Whether all tasks have finished."""
        return self.open_tasks == 0


class Worker(msgspec.Struct, array_like=True):
    """A worker VM with its capacity and its assigned attempts.

    Attributes
    ----------
    name
        The worker's name.
    boot
        Identifier of one boot of the VM.
    capacity
        The worker's total capacity.
    rack, hall, address
        Where the worker is, and the address of its API.
    state
        The VM's state.
    used
        Sum of the sizes of ``attempts``.
    attempts
        Maps the ids of the assigned attempts to their sizes.
    failure_streak
        Number of consecutive failed attempts.
    gone_offset
        The offset from which the worker's leases must not be renewed, or -1.
    fenced_ms
        The time by which all members had confirmed reading ``gone_offset``, in milliseconds
        since the epoch, or 0.
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
        """The capacity that no attempt holds."""
        return self.capacity.minus(self.used)


class Minion(msgspec.Struct, array_like=True):
    """A minion; ``shares`` maps nodes to the numbers of slots that they hold."""

    name: str
    group: str
    hall: str
    address: str
    state: VmState = VmState.LIVE
    shares: dict[str, int] = {}


class CoolingSlots(msgspec.Struct, array_like=True):
    """Slots of a node that was lost before it had returned them.

    Requests that the node forwarded may run on the minion until ``until_ms``.
    """

    minion: str
    slots: int
    until_ms: int


class Member(msgspec.Struct, array_like=True):
    """A node.

    ``read_offset`` is the offset up to which the node has confirmed acting on the log, and
    ``sequence`` the sequence number of its newest batch.
    """

    name: str
    incarnation: str
    hall: str
    api_address: str
    peer_address: str
    state: MemberState = MemberState.LIVE
    read_offset: int = -1
    sequence: int = 0


class Request(msgspec.Struct, array_like=True):
    """A non-repeatable request that a node may forward; ``outcome`` is empty until it ends."""

    node: str
    incarnation: str
    minion: str
    created_ms: int
    outcome: str = ""


class Configuration(msgspec.Struct, array_like=True):
    """The configuration in force; its version is the offset of its record, 0 if there is none."""

    version: int = 0
    author: str = ""
    declarations: Declarations = Declarations()


class State(msgspec.Struct, array_like=True):
    """The state that all nodes share.

    Attributes
    ----------
    offset
        Offset of the last applied entry, or -1.
    now_ms
        The latest clock reading on the log, in milliseconds since the epoch; the time by
        which all nodes validate records.
    configuration
        The configuration in force.
    longest_lease_ms
        The longest lease that any configuration has set.
    members
        Nodes by name.
    retired_incarnations
        Maps incarnations that have ended to the time of their end; their batches are ignored.
    workers
        Workers by name.
    unfenced_workers
        Gone workers whose `WorkerGone` record not all members have confirmed reading.
    works
        Works by number.
    work_keys
        Maps submission keys to work numbers.
    team_usage
        The capacity that the attempts of each team hold.
    queued_tasks
        Number of queued tasks of all works.
    finished_works
        Finished works whose tasks are kept, oldest first.
    finished_tasks
        Number of tasks of ``finished_works``.
    compacted_works
        Finished works of which only counts are kept, oldest first.
    minions
        Minions by name.
    cooling_slots
        Slots that no node may take yet.
    requests
        Non-repeatable requests by id.
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
    """Return the id of an attempt."""
    return f"{work}.{task}.{attempt}"


def parse_attempt_id(text: str) -> tuple[int, int, int]:
    """Parse an attempt id into the numbers of work, task and attempt.

    Raises
    ------
    InvalidInput
        If the text is not an attempt id.
    """
    try:
        work, task, attempt = map(int, text.split("."))
    except ValueError as error:
        raise InvalidInput(f"not an attempt id: {text!r}") from error
    return work, task, attempt


class AttemptReference(msgspec.Struct, frozen=True):
    """An attempt resolved by its id; it may be older or newer than the task's current one."""

    work: Work
    task_number: int
    task: Task
    attempt_number: int

    @property
    def is_current(self) -> bool:
        """Whether the attempt holds capacity now."""
        return self.task.attempt == self.attempt_number and self.task.is_assigned

    @property
    def is_closed(self) -> bool:
        """Whether the attempt has closed, rather than being newer than a lagging state."""
        return self.task.attempt >= self.attempt_number and not self.is_current


def find_attempt_by_id(state: State, name: str) -> AttemptReference | None:
    """Return the attempt with an id, or None if the id is invalid or its task is unknown."""
    try:
        work_number, task_number, attempt_number = parse_attempt_id(name)
    except InvalidInput:
        return None
    work = state.works.get(work_number)
    if work is None or not 0 <= task_number < len(work.tasks):
        return None
    return AttemptReference(work, task_number, work.tasks[task_number], attempt_number)


# The order of dictionaries is part of the encoding. It is the order of the log, so that all
# nodes encode equal states equally.
_encoder = msgspec.msgpack.Encoder()
_decoder = msgspec.msgpack.Decoder(State)


def encode_state(state: State) -> bytes:
    """Encode the state; states built from the same log have equal encodings."""
    return _encoder.encode(state)


def decode_state(data: bytes) -> State:
    """Decode a snapshot.

    Raises
    ------
    InvalidInput
        If the bytes are not an encoded state.
    """
    try:
        return _decoder.decode(data)
    except msgspec.MsgspecError as error:
        raise InvalidInput(f"not a snapshot: {error}") from error


def digest(state: State) -> str:
    """Return a hash of the state, to compare nodes at the same offset."""
    return hashlib.blake2b(encode_state(state), digest_size=8).hexdigest()

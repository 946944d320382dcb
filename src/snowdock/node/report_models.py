"""Models of what the API shows, shared by the daemon and the command line."""

import msgspec

from ..declarations import Size

__all__ = [
    "ClusterStatus",
    "MinionReport",
    "NodeReport",
    "TaskReport",
    "VersionReport",
    "WorkReport",
    "WorkerReport",
]


class VersionReport(msgspec.Struct):
    """The configuration in force at one node, and how far that node has read."""

    version: int
    author: str
    node: str
    log_offset: int
    log_end: int


class NodeReport(msgspec.Struct):
    """A member."""

    name: str
    state: str
    hall: str
    api_address: str
    seems_alive: bool
    read_offset: int


class WorkerReport(msgspec.Struct):
    """A worker and how much of it is promised."""

    name: str
    state: str
    hall: str
    rack: str
    capacity: Size
    used: Size
    attempts: int
    failure_streak: int


class MinionReport(msgspec.Struct):
    """A minion and how its slots are divided."""

    name: str
    group: str
    state: str
    hall: str
    shares: dict[str, int]


class TaskReport(msgspec.Struct):
    """A task."""

    number: int
    state: str
    attempt: int
    worker: str
    failures: int


class WorkReport(msgspec.Struct):
    """A work; ``counts`` tells how many tasks are in each state."""

    work: int
    kind: str
    name: str
    team: str
    state: str
    counts: dict[str, int]
    submitted_ms: int
    started_ms: int
    finished_ms: int
    waiting_reason: str = ""
    tasks: list[TaskReport] = []


class ClusterStatus(msgspec.Struct):
    """The cluster at a glance."""

    version: int
    members: int
    workers_live: int
    workers: int
    minions: int
    works_open: int
    works_finished: int
    queued_tasks: int
    running_tasks: int
    cpu_promised: float

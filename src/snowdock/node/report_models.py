"""Models of the API's reports, shared by the daemon and the command line."""

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
    """The configuration in force at a node, and the log offset that the node has applied."""

    version: int
    author: str
    node: str
    log_offset: int
    log_end: int


class NodeReport(msgspec.Struct):
    """A member of the cluster."""

    name: str
    state: str
    hall: str
    api_address: str
    seems_alive: bool
    read_offset: int


class WorkerReport(msgspec.Struct):
    """A worker with its capacity and the part of it in use."""

    name: str
    state: str
    hall: str
    rack: str
    capacity: Size
    used: Size
    attempts: int
    failure_streak: int


class MinionReport(msgspec.Struct):
    """A minion with the number of its slots that each node holds."""

    name: str
    group: str
    state: str
    hall: str
    shares: dict[str, int]


class TaskReport(msgspec.Struct):
    """A task of a work."""

    number: int
    state: str
    attempt: int
    worker: str
    failures: int


class WorkReport(msgspec.Struct):
    """A work; ``counts`` is the number of tasks by state."""

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
    """A summary of the cluster.

    ``cpu_promised`` is the fraction of the live workers' processors that is in use.
    """

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

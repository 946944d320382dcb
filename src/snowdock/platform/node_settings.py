"""Decoding of the settings file that the platform provides for a process."""

import math
import os
import pathlib
import tomllib
from typing import Annotated

import msgspec

from ..errors import SettingsUnreadable

__all__ = [
    "PRESSURE",
    "SETTINGS_VARIABLE",
    "JobLimits",
    "NodeEnvironment",
    "StoreSettings",
    "read_node_environment",
]

SETTINGS_VARIABLE = "SNOWDOCK_CONFIG"
"""Name of the environment variable with the file's path."""

PRESSURE = "pressure"
"""The contract under which load is summarized, and jobs are rejected during an overload."""


class _Listen(msgspec.Struct):
    front: str = ""
    ready: str = ""


class _Bounds(msgspec.Struct):
    hold_max_ms: float = 6000
    stop_timeout_ms: float = 400
    gang_timeout_ms: float = 3000
    grace_s: float = 6
    early_ms: float = 250
    contact_ms: float = 3000
    lease_ms: float = 3000
    status_s: float = 120
    quota_overage: float = 0.0
    # Whether to refuse a key that may have been revoked.
    strict_revoke: bool = False
    revoke_ms: float = 5000


class _Limits(msgspec.Struct):
    max_fds: int = 1024
    memory_mb: Annotated[float, msgspec.Meta(ge=1)] = 300.0
    # Share of a core that is "cores" times as fast as a reference core.
    cpu_share: float = 1.0
    cores: float = 1.0
    link_mbps: float = 1000.0


class _Callers(msgspec.Struct):
    body_timeout_ms: Annotated[float, msgspec.Meta(ge=100, le=3_600_000)] = 30_000


_MIN_JOB_OBJECTS = 10_000
_OBJECT_BYTES = 800
"""Approximate memory of a step or task with all that is kept about its run."""

_JOB_OBJECTS_SHARE = 0.25
_JOB_BYTES_SHARE = 0.125
"""Default shares of the VM's memory for steps and tasks, and for the specifications of jobs."""


class JobLimits(msgspec.Struct, frozen=True):
    """Limits on what jobs may expand to; 0 for a limit that follows from the VM's memory.

    Attributes
    ----------
    max_objects
        Most steps and tasks in the leader's memory.
    max_bytes
        Bytes of the specifications of open jobs from which no further job is accepted.
    max_gang_tasks
        Most tasks of a gang.
    """

    max_objects: Annotated[int, msgspec.Meta(ge=0, le=10_000_000)] = 0
    max_bytes: Annotated[int, msgspec.Meta(ge=0)] = 0
    max_gang_tasks: Annotated[int, msgspec.Meta(ge=1, le=10_000)] = 1_000

    def __post_init__(self) -> None:
        if 0 < self.max_objects < _MIN_JOB_OBJECTS:
            raise ValueError(f"max_objects = {self.max_objects} is less than {_MIN_JOB_OBJECTS}")


class StoreSettings(msgspec.Struct, frozen=True):
    """Address and limits of the platform's store.

    Attributes
    ----------
    address
        IP address and port.
    record_bytes, call_bytes
        Most bytes of one record and of one append.
    parts
        Number of partitions of each topic.
    """

    address: str
    record_bytes: int = 262_144
    call_bytes: int = 2_097_152
    parts: Annotated[int, msgspec.Meta(ge=1)] = 1


class _File(msgspec.Struct):
    node: str
    ip: str
    zone: str
    listen: _Listen
    platform: StoreSettings
    port_range: tuple[int, int]
    bounds: _Bounds = msgspec.field(default_factory=_Bounds)
    limits: _Limits = msgspec.field(default_factory=_Limits)
    callers: _Callers = msgspec.field(default_factory=_Callers)
    jobs: JobLimits = JobLimits()
    advice: str = ""
    bootstrap: bool = False
    heartbeat_ms: float = 1500
    contracts: tuple[str, ...] = ()


class NodeEnvironment(msgspec.Struct, frozen=True):
    """Addresses and limits of a node, as set by the platform.

    Attributes
    ----------
    node, ip, hall
        Name, IP address and data hall of the node.
    front_address, ready_address
        Addresses for callers and for the load balancer's readiness probes.
    peer_address
        Address for other nodes.
    advice_address
        Address of the external advice service; empty if there is none.
    store
        The platform's store.
    lease_limit_s
        Longest lease that a worker grants, in seconds.
    status_s
        How long a job's status stays available after its end, in seconds.
    stop_s
        Longest time that a worker takes to stop a run, in seconds.
    gang_wait_s
        How long a member of a gang waits for the others, in seconds.
    grace_s
        Time between the request to stop a node and its kill, in seconds.
    quota_overage
        Share of its quota by which a team may exceed it temporarily.
    key_trust_s
        How long API keys stay valid while their revocation can't be checked, in seconds.
    early_s
        How long before its due time a repetition may start, in seconds.
    worker_heartbeat_s
        Interval at which a worker renews its entry in the store, in seconds.
    max_descriptors
        Most open files and sockets of the process.
    memory_mb
        Memory of the process, in MB.
    body_timeout_s
        How long the body of a caller's request may take to arrive, in seconds.
    cpu_cores
        Processor capacity, in reference cores.
    link_mbps
        Bandwidth of the network link, in Mbit/s.
    contracts
        Names of the optional behaviour that the settings call for, such as `pressure`.
    jobs
        Limits on what jobs may expand to.
    """

    node: str
    ip: str
    hall: str
    front_address: str
    ready_address: str
    peer_address: str
    advice_address: str
    store: StoreSettings
    lease_limit_s: float
    status_s: float
    stop_s: float
    gang_wait_s: float
    grace_s: float
    early_s: float
    quota_overage: float
    key_trust_s: float
    worker_heartbeat_s: float
    max_descriptors: int
    cpu_cores: float
    link_mbps: float
    memory_mb: float = 300.0
    body_timeout_s: float = 30.0
    contracts: tuple[str, ...] = ()
    jobs: JobLimits = JobLimits()

    @property
    def max_job_objects(self) -> int:
        """Most steps and tasks in the leader's memory."""
        share = int(self.memory_mb * 1_000_000 * _JOB_OBJECTS_SHARE / _OBJECT_BYTES)
        return self.jobs.max_objects or max(_MIN_JOB_OBJECTS, share)

    @property
    def max_job_bytes(self) -> int:
        """Bytes of the specifications of open jobs from which no further job is accepted."""
        return self.jobs.max_bytes or int(self.memory_mb * 1_000_000 * _JOB_BYTES_SHARE)


def read_node_environment(path: str | None = None) -> NodeEnvironment:
    """Read the settings file, by default the one that the environment variable names.

    Raises
    ------
    SettingsUnreadable
        If the variable is not set, or the file is missing, malformed or incomplete.
    """
    path = path or os.environ.get(SETTINGS_VARIABLE, "")
    if not path:
        raise SettingsUnreadable(f"{SETTINGS_VARIABLE} is not set")
    try:
        raw = tomllib.loads(pathlib.Path(path).read_text(encoding="utf-8"))
        file = msgspec.convert(raw, _File, strict=False)
    except (OSError, UnicodeDecodeError, tomllib.TOMLDecodeError, msgspec.MsgspecError) as error:
        raise SettingsUnreadable(f"{path}: {error}") from error
    return NodeEnvironment(
        node=file.node,
        ip=file.ip,
        hall=file.zone,
        front_address=file.listen.front,
        ready_address=file.listen.ready,
        peer_address=f"{file.ip}:{file.port_range[0]}",
        advice_address=file.advice,
        store=file.platform,
        lease_limit_s=file.bounds.hold_max_ms / 1000,
        status_s=file.bounds.status_s,
        stop_s=file.bounds.stop_timeout_ms / 1000,
        gang_wait_s=file.bounds.gang_timeout_ms / 1000,
        grace_s=file.bounds.grace_s,
        early_s=file.bounds.early_ms / 1000,
        quota_overage=file.bounds.quota_overage,
        key_trust_s=file.bounds.revoke_ms / 1000 if file.bounds.strict_revoke else math.inf,
        worker_heartbeat_s=file.heartbeat_ms / 1000,
        max_descriptors=file.limits.max_fds,
        memory_mb=file.limits.memory_mb,
        body_timeout_s=file.callers.body_timeout_ms / 1000,
        cpu_cores=file.limits.cpu_share * file.limits.cores,
        link_mbps=file.limits.link_mbps,
        contracts=file.contracts,
        jobs=file.jobs,
    )

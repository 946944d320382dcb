"""The leader's load summary, its encoding for heartbeats, and the prediction of waits from it."""

import math
from collections.abc import Callable

import msgspec

from ..declarations import ZERO_SIZE, Size
from ..errors import DECODE_ERRORS, InvalidInput, UnknownSummaryVersion

__all__ = [
    "BEYOND_SHARE",
    "MAX_QUEUES",
    "MAX_TEAMS",
    "LoadSummary",
    "QueueLoad",
    "ServiceLoad",
    "TeamLoad",
    "decode_summary",
    "encode_summary",
    "predict_wait",
]

SUMMARY_VERSION = 1

MAX_TEAMS = 64
MAX_QUEUES = 32
"""Limits of the summary's size, as the leader sends it to all nodes; the rest is left out."""

_MIN_RATE_SHARE = 0.02
"""Minimum rate at which a queue is assumed to start work, as a share of its service's usable cores:
keeps the predicted wait of a queue that starts nothing finite."""

BEYOND_SHARE = 2.0
"""Multiple of a team's share from which its work ranks behind that of other teams in the same queue
(`programs/deadline_first.star`)."""


class ServiceLoad(msgspec.Struct, frozen=True, array_like=True):
    """Load of a service, a pool of workers.

    Attributes
    ----------
    name
        Name of the service.
    usable, used
        Capacity of the usable workers, and the part of it in use. Quarantined, draining and silent
        workers are not usable, nor those that the leader has not heard from yet.
    largest
        Largest capacity of any worker for each resource, including unusable workers, since they may
        become usable again; excluding draining ones. Zero if no worker is known.
    work_rate
        Estimated core-seconds of work that the service completes in a second.
    running_core_s
        Expected remaining core-seconds of the work that is running.
    """

    name: str
    usable: Size = ZERO_SIZE
    used: Size = ZERO_SIZE
    largest: Size = ZERO_SIZE
    work_rate: float = 0.0
    running_core_s: float = 0.0


class QueueLoad(msgspec.Struct, frozen=True, array_like=True):
    """Load of a queue.

    Attributes
    ----------
    name, service
        Names of the queue and of its service.
    priority
        Priority; 0 is the highest.
    waiting_core_s
        Estimated core-seconds of the waiting work.
    preceding_core_s
        Part of it that ranks ahead of other work: excluding work that has missed its objective, and
        work of teams that are held back.
    waiting_steps
        Number of waiting steps.
    longest_wait_s
        Longest time for which a job that has not started has waited.
    recent_wait_s
        Median time from acceptance to first placement of the jobs placed recently, without those of
        teams that are held back; 0 if there are none.
    accepted_rate, started_rate
        Estimated core-seconds of work that recently arrived, and were recently placed, per second.
    """

    name: str
    service: str
    priority: int = 0
    waiting_core_s: float = 0.0
    preceding_core_s: float = 0.0
    waiting_steps: int = 0
    longest_wait_s: float = 0.0
    recent_wait_s: float = 0.0
    accepted_rate: float = 0.0
    started_rate: float = 0.0


class TeamLoad(msgspec.Struct, frozen=True, array_like=True):
    """Load of a team over all services.

    Attributes
    ----------
    name
        Name of the team.
    share
        Share of the workers by weight, from 0 to 1; 0 for a team without weight and for a team that
        is not configured.
    running_cores
        Cores that its runs use.
    running_core_s, waiting_core_s
        Expected remaining core-seconds of its running work, and estimated core-seconds of its
        waiting work.
    is_held_back
        Whether its work waits at its quota, or behind work of other teams as it uses more than
        `BEYOND_SHARE` times its share.
    """

    name: str
    share: float = 0.0
    running_cores: float = 0.0
    running_core_s: float = 0.0
    waiting_core_s: float = 0.0
    is_held_back: bool = False


class LoadSummary(msgspec.Struct, frozen=True, array_like=True):
    """What a leader knows about the load of its cluster at one time.

    Attributes
    ----------
    version
        Version of the encoding.
    epoch
        Epoch of the leader.
    made_at
        Time of making, in seconds of the leader's steady clock: orders the summaries of one epoch.
        Its age is measured by the receiver, from the arrival.
    is_reliable
        Whether recent predictions were good enough to reject jobs because of them.
    services, queues, teams
        Loads of services, queues, and the teams with the most work.
    """

    version: int = SUMMARY_VERSION
    epoch: int = 0
    made_at: float = 0.0
    is_reliable: bool = False
    services: tuple[ServiceLoad, ...] = ()
    queues: tuple[QueueLoad, ...] = ()
    teams: tuple[TeamLoad, ...] = ()

    def service(self, name: str) -> ServiceLoad | None:
        """Return the load of a service, or None if it is not in the summary."""
        return _find_by_name(self.services, name)

    def queue(self, name: str) -> QueueLoad | None:
        """Return the load of a queue, or None if it is not in the summary."""
        return _find_by_name(self.queues, name)

    def team(self, name: str) -> TeamLoad | None:
        """Return the load of a team, or None if it is not in the summary."""
        return _find_by_name(self.teams, name)


_UNITS = {
    "made_at": 0.001,
    "share": 0.0001,
    "running_cores": 0.1,
    "longest_wait_s": 0.01,
    "recent_wait_s": 0.01,
    "work_rate": 0.1,
    "accepted_rate": 0.1,
    "started_rate": 0.1,
    "waiting_core_s": 0.1,
    "preceding_core_s": 0.1,
    "running_core_s": 0.1,
}
"""Unit in which a field is encoded, as an integer: a fraction would take 9 bytes, this takes 1
to 3."""

_encoder = msgspec.msgpack.Encoder()
_decoder = msgspec.msgpack.Decoder(LoadSummary)
_head_decoder = msgspec.msgpack.Decoder(list[msgspec.Raw])


def encode_summary(summary: LoadSummary) -> bytes:
    """Encode a summary, with fractions rounded to the units of their fields."""
    return _encoder.encode(_convert(summary, lambda value, unit: round(value / unit)))


def decode_summary(data: bytes) -> LoadSummary:
    """Decode a summary.

    Raises
    ------
    UnknownSummaryVersion
        If the version of the encoding is not known.
    InvalidInput
        If the data cannot be decoded.
    """
    try:
        head = _head_decoder.decode(data)
        version = msgspec.msgpack.decode(head[0], type=int) if head else 0
        if version != SUMMARY_VERSION:
            raise UnknownSummaryVersion(f"load summary of version {version}")
        return _convert(_decoder.decode(data), _decode_value)
    except DECODE_ERRORS as error:
        raise InvalidInput(f"cannot decode load summary: {error}") from error


def _decode_value(value: float, unit: float) -> float:
    if not (value >= 0 and math.isfinite(value)):
        raise InvalidInput(f"load summary with the value {value}")
    return value * unit


def _convert(part: msgspec.Struct, convert: Callable[[float, float], float]) -> msgspec.Struct:
    """Return a struct with the values of all fields that have a unit converted."""
    changes = {}
    for field in part.__struct_fields__:
        value = getattr(part, field)
        if isinstance(value, tuple):
            changes[field] = tuple(_convert(each, convert) for each in value)
        elif field in _UNITS:
            changes[field] = convert(value, _UNITS[field])
    return msgspec.structs.replace(part, **changes)


def _find_by_name(loads: tuple, name: str):
    return next((load for load in loads if load.name == name), None)


def predict_wait(summary: LoadSummary, queue: str, size: Size, team: str = "") -> float:
    """Return the expected time in seconds until the first task of a new job starts.

    Parameters
    ----------
    summary
        The load.
    queue
        Name of the job's queue. A queue or service that is not in the summary has no known load, so
        that no wait is predicted.
    size
        Resources that the start needs at once: those of one task, or of all tasks of a gang.
    team
        The job's team; empty for none. An unknown team counts as within its share.

    Returns
    -------
    float
        Seconds from now; infinite if the service has no usable worker.
    """
    load = summary.queue(queue)
    service = summary.service(load.service) if load is not None else None
    if load is None or service is None:
        return 0.0
    if service.usable.cpu <= 0:
        return math.inf
    wait_s = load.recent_wait_s
    if not wait_s:
        cores = service.usable.cpu / 1000
        rate = load.started_rate or cores
        wait_s = load.preceding_core_s / max(rate, _MIN_RATE_SHARE * cores)
    own = summary.team(team)
    if own is not None and own.is_held_back:
        wait_s = max(wait_s, own.waiting_core_s / max(own.running_cores, 1.0))
    return max(wait_s, _seconds_until_room(service, size))


def _seconds_until_room(service: ServiceLoad, size: Size) -> float:
    """Return the time until running work that ends has freed enough cores for a start."""
    missing = size.cpu - (service.usable.cpu - service.used.cpu)
    if missing <= 0 or not service.used.cpu:
        return 0.0
    mean_remaining_s = service.running_core_s * 1000 / service.used.cpu
    # Runs that are spread evenly over their duration have on average half of it left.
    return min(1.0, missing / service.used.cpu) * 2 * mean_remaining_s

"""Encoding of requests to workers (start, stop, renew) and decoding of their replies."""

import re
from typing import Annotated

import msgspec
from msgspec import UNSET, Meta

from ..errors import PlatformError
from ..jobs.lives import format_life, worker_id_of
from ..jobs.model import TaskId
from ..jobs.orders import (
    EndedRun,
    EndKind,
    Refusal,
    RenewOrder,
    RunningRun,
    StartOrder,
    StartResult,
    StopOrder,
    WorkerReport,
)
from ._json import MAX_STORED_INT, BornMs, decode_born_ms, decode_json
from .http_channel import Reply

__all__ = [
    "RENEWAL_PATH",
    "START_PATH",
    "STOP_PATH",
    "decode_renewal",
    "decode_start",
    "decode_stop",
    "encode_handshake",
    "encode_renewal",
    "encode_start",
    "encode_stop",
    "format_task",
    "parse_task",
    "worker_headers",
]

START_PATH = "/v1/run-start"
STOP_PATH = "/v1/run-stop"
RENEWAL_PATH = "/v1/hold"

_JSON = "application/json"
_OTHER_LIFE_STATUS = 421

_TASK_NAME = re.compile(r"(.+)\.([0-9]{1,10})\.([0-9]{1,10})\.([0-9]{1,10})")
"""A job and three numbers of ASCII digits, ten at most, as no count of a job has more."""

_MAX_CLOCK_MS = 2.0**53
"""Latest time of a worker's clock; a float has no whole ms beyond."""

_MAX_PERCENT = 100.0

_ClockMs = Annotated[float, Meta(ge=0, le=_MAX_CLOCK_MS)]
_Number = Annotated[int, Meta(ge=0, le=MAX_STORED_INT)]


class _Answer(msgspec.Struct):
    # The worker's own steady clock in ms; deadlines refer to it.
    clock_ms: _ClockMs = 0.0
    reason: str = ""


class _Running(msgspec.Struct, array_like=True):
    task: str
    run: _Number
    checkpoint: str | None
    percent: float
    # Over the last 0.5 s.
    load: float | None = None


class _Ended(msgspec.Struct, array_like=True):
    number: _Number
    task: str
    run: _Number
    kind: str
    checkpoint: str | None


class _Renewal(msgspec.Struct):
    clock_ms: _ClockMs
    running: list[_Running] = []
    ended: list[_Ended] = []
    born: BornMs = UNSET


_REFUSALS_BY_REASON = {
    "fence": Refusal.FENCED,
    "old": Refusal.SUPERSEDED,
    "late": Refusal.LATE,
    "room": Refusal.NO_ROOM,
    "ticket": Refusal.TICKET,
}
_END_KINDS = {
    "done": EndKind.DONE,
    "failed": EndKind.FAILED,
    "stopped": EndKind.STOPPED,
    "lapsed": EndKind.LEASE_EXPIRED,
    "broken": EndKind.GANG_BROKEN,
    "alone": EndKind.GANG_TIMEOUT,
}


def format_task(task: TaskId) -> str:
    """Return a task's name in the platform's form."""
    return f"{task.job}.{task.repetition}.{task.step}.{task.index}"


def parse_task(name: str) -> TaskId:
    """Parse a task's name in the platform's form.

    Raises
    ------
    PlatformError
        If the name is malformed.
    """
    found = _TASK_NAME.fullmatch(name)
    if found is None:
        raise PlatformError(f"malformed task name {name[:60]!r}")
    job, *numbers = found.groups()
    return TaskId(job, *map(int, numbers))


def worker_headers(life: str) -> dict[str, str]:
    """Return the headers of calls to a worker; workers with another id refuse them.

    Another life under the same id doesn't: see `encode_handshake`.
    """
    return {"X-Expected-Instance": worker_id_of(life), "Content-Type": _JSON}


def encode_start(order: StartOrder) -> bytes:
    """Encode the body of a start request."""
    body = {
        "task": format_task(order.task),
        "run": order.run,
        "spec": order.payload,
        "deadline_ms": order.lease_until_ms,
        "fencing_token": order.token,
    }
    if order.checkpoint:
        body["checkpoint"] = order.checkpoint
    if order.ticket:
        body["ticket"] = order.ticket
    return _encode(body)


def decode_start(reply: Reply) -> StartResult:
    """Decode the reply to a start request.

    Raises
    ------
    PlatformError
        If the reply is malformed or has an unexpected status.
    """
    if reply.status == 200:
        return StartResult(None, _decode(reply, _Answer).clock_ms)
    if reply.status == 409:
        answer = _decode(reply, _Answer)
        return StartResult(
            _REFUSALS_BY_REASON.get(answer.reason, Refusal.MALFORMED), answer.clock_ms
        )
    if reply.status == _OTHER_LIFE_STATUS:
        return StartResult(Refusal.OTHER_LIFE)
    if reply.status in (429, 503):
        return StartResult(Refusal.UNHEALTHY)
    if 400 <= reply.status < 500:
        return StartResult(Refusal.MALFORMED)
    raise PlatformError(f"run-start returned status {reply.status}")


def encode_stop(order: StopOrder) -> bytes:
    """Encode the body of a stop request; a run that hasn't started by then never starts."""
    return _encode(
        {"task": format_task(order.task), "run": order.run, "fencing_token": order.token}
    )


def decode_stop(reply: Reply) -> Refusal | None:
    """Decode the reply to a stop request: the refusal, or None if it was accepted.

    Raises
    ------
    PlatformError
        If the reply is malformed or has an unexpected status.
    """
    return _decode_refusal(reply, "run-stop")


def encode_renewal(order: RenewOrder) -> bytes:
    """Encode the body of a renewal of all runs, whose reply lists running and ended runs."""
    body: dict[str, int] = {"fencing_token": order.token, "last_seen": order.last_recorded_end}
    if order.lease_until_ms:
        body["deadline_ms"] = order.lease_until_ms
    if order.wait_ms:
        body["wait_ms"] = order.wait_ms
    return _encode(body)


def encode_handshake(token: int) -> bytes:
    """Encode the body of a handshake: a renewal that extends no lease and acknowledges no end."""
    return _encode({"fencing_token": token, "last_seen": 0})


def decode_renewal(reply: Reply, life: str) -> WorkerReport | Refusal:
    """Decode the reply to a renewal or handshake for the given life of a worker.

    Raises
    ------
    PlatformError
        If the reply is malformed or has an unexpected status.
    """
    refusal = _decode_refusal(reply, "hold")
    if refusal is not None:
        return refusal
    renewal = _decode(reply, _Renewal)
    if _is_next_life(renewal, life):
        return Refusal.NEXT_LIFE
    running = [_make_running(row) for row in renewal.running]
    ended = [_make_ended(row) for row in renewal.ended]
    return WorkerReport(renewal.clock_ms, running, ended)


def _encode(body: dict) -> bytes:
    return msgspec.json.encode(body)


def _decode_refusal(reply: Reply, call_name: str) -> Refusal | None:
    """Return why a worker refused a call, or None if it accepted."""
    if reply.status == _OTHER_LIFE_STATUS:
        return Refusal.OTHER_LIFE
    if reply.status == 409:
        return _REFUSALS_BY_REASON.get(_decode(reply, _Answer).reason, Refusal.MALFORMED)
    if reply.status != 200:
        raise PlatformError(f"{call_name} returned status {reply.status}")
    return None


def _is_next_life(renewal: _Renewal, life: str) -> bool:
    """Return whether a renewal comes from another life; False if either start time is unknown."""
    born_ms = decode_born_ms(renewal.born)
    worker = worker_id_of(life)
    return born_ms is not None and worker != life and format_life(worker, born_ms) != life


def _make_running(row: _Running) -> RunningRun:
    task = parse_task(row.task)
    percent = min(_MAX_PERCENT, max(0.0, row.percent))
    return RunningRun(task, row.run, row.checkpoint or "", percent, row.load or 0.0)


def _make_ended(row: _Ended) -> EndedRun:
    # An unknown kind of end counts as an external abort.
    kind = _END_KINDS.get(row.kind, EndKind.GANG_BROKEN)
    return EndedRun(row.number, parse_task(row.task), row.run, kind, row.checkpoint or "")


def _decode(reply: Reply, model: type):
    return decode_json(reply.data, model, "worker reply")

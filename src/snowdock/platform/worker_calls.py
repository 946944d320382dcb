"""What is said to a worker and what it answers: start a run, stop it, renew the lease and look."""

import msgspec
from msgspec import UNSET

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
from ._json import BornMs, decode_born_ms, decode_json
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


class _Answer(msgspec.Struct):
    # The worker's own steady clock in ms; deadlines count on it.
    clock_ms: float = 0.0
    reason: str = ""


class _Renewal(msgspec.Struct):
    clock_ms: float
    # [task, run, checkpoint, percent, load over the last half second]
    running: list[list] = []
    # [number, task, run, how it ended, checkpoint]
    ended: list[list] = []
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
    """Write a task's name as the platform does."""
    return f"{task.job}.{task.repetition}.{task.step}.{task.index}"


def parse_task(name: str) -> TaskId:
    """Read a task's name.

    Raises
    ------
    PlatformError
        If it is malformed.
    """
    try:
        job, repetition, step, index = name.rsplit(".", 3)
        return TaskId(job, int(repetition), int(step), int(index))
    except ValueError as error:
        raise PlatformError(f"malformed task name {name[:60]!r}") from error


def worker_headers(life: str) -> dict[str, str]:
    """Give the headers of calls to one life of a worker; other workers refuse them.

    Another life under the same id does not: see `encode_greeting`.
    """
    return {"X-Expected-Instance": worker_id_of(life), "Content-Type": _JSON}


def encode_start(order: StartOrder) -> bytes:
    """Write the body of a start."""
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
    """Read the answer to a start.

    Raises
    ------
    PlatformError
        If the answer does not fit.
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
    raise PlatformError(f"run-start answered {reply.status}")


def encode_stop(order: StopOrder) -> bytes:
    """Write the body of a stop; a run that is not there yet will then never start."""
    return _encode(
        {"task": format_task(order.task), "run": order.run, "fencing_token": order.token}
    )


def decode_stop(reply: Reply) -> Refusal | None:
    """Read the answer to a stop.

    Raises
    ------
    PlatformError
        If the answer does not fit.
    """
    return _decode_refusal(reply, "run-stop")


def encode_renewal(order: RenewOrder) -> bytes:
    """Write the body of a renewal of all that runs, which also asks what runs and has ended."""
    body: dict[str, int] = {"fencing_token": order.token, "last_seen": order.last_recorded_end}
    if order.lease_until_ms:
        body["deadline_ms"] = order.lease_until_ms
    if order.wait_ms:
        body["wait_ms"] = order.wait_ms
    return _encode(body)


def encode_handshake(token: int) -> bytes:
    """Write the body of a look at a worker that renews nothing and lets it forget nothing."""
    return _encode({"fencing_token": token, "last_seen": 0})


def decode_renewal(reply: Reply, life: str) -> WorkerReport | Refusal:
    """Read the answer to a renewal or greeting that was meant for one life of a worker.

    Raises
    ------
    PlatformError
        If the answer does not fit.
    """
    refusal = _decode_refusal(reply, "hold")
    if refusal is not None:
        return refusal
    renewal = _decode(reply, _Renewal)
    if _is_next_life(renewal, life):
        return Refusal.NEXT_LIFE
    try:
        running = [_decode_running(row) for row in renewal.running]
        ended = [_decode_ended(row) for row in renewal.ended]
    except (IndexError, TypeError, ValueError) as error:
        raise PlatformError(f"hold's answer does not fit: {error}") from error
    return WorkerReport(renewal.clock_ms, running, ended)


def _encode(body: dict) -> bytes:
    return msgspec.json.encode(body)


def _decode_refusal(reply: Reply, call_name: str) -> Refusal | None:
    """Give why a worker refused a call; None where it did not."""
    if reply.status == _OTHER_LIFE_STATUS:
        return Refusal.OTHER_LIFE
    if reply.status == 409:
        return _REFUSALS_BY_REASON.get(_decode(reply, _Answer).reason, Refusal.MALFORMED)
    if reply.status != 200:
        raise PlatformError(f"{call_name} answered {reply.status}")
    return None


def _is_next_life(renewal: _Renewal, life: str) -> bool:
    """Whether a list of runs comes from another life than the one named, as far as both tell."""
    born_ms = decode_born_ms(renewal.born)
    worker = worker_id_of(life)
    return born_ms is not None and worker != life and format_life(worker, born_ms) != life


def _decode_running(row: list) -> RunningRun:
    load = row[4] if len(row) > 4 else 0
    return RunningRun(parse_task(row[0]), int(row[1]), str(row[2] or ""), float(row[3]), load)


def _decode_ended(row: list) -> EndedRun:
    # An unknown way to end counts as the run being broken off from outside.
    kind = _END_KINDS.get(row[3], EndKind.GANG_BROKEN)
    return EndedRun(int(row[0]), parse_task(row[1]), int(row[2]), kind, str(row[4] or ""))


def _decode(reply: Reply, model: type):
    return decode_json(reply.data, model, "the worker's answer")

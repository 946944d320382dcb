"""Calls to a worker: start a run, stop it, renew the lease and look."""

import msgspec

from ..errors import PlatformError
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
from ._json import decode_json
from .http_pool import HttpPool, HttpReply

__all__ = ["WorkerClient", "format_task", "parse_task"]

_JSON = "application/json"
_OTHER_LIFE = 421


class _Answer(msgspec.Struct):
    # The worker's own steady clock in ms; deadlines count on it.
    clock_ms: float = 0.0
    reason: str = ""


class _Held(msgspec.Struct):
    clock_ms: float
    # [task, run, checkpoint, percent, load over the last half second]
    running: list[list] = []
    # [number, task, run, how it ended, checkpoint]
    ended: list[list] = []


_REFUSALS = {
    "fence": Refusal.FENCED,
    "old": Refusal.SUPERSEDED,
    "late": Refusal.LATE,
    "room": Refusal.NO_ROOM,
    "ticket": Refusal.TICKET,
}
_ENDS = {
    "done": EndKind.DONE,
    "failed": EndKind.FAILED,
    "stopped": EndKind.STOPPED,
    "lapsed": EndKind.LAPSED,
    "broken": EndKind.BROKEN,
    "alone": EndKind.ALONE,
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


class WorkerClient:
    """Calls one life of a worker; any other life at its address refuses.

    Parameters
    ----------
    life
        The life that is meant.
    address
        IP number and port.
    connections
        Calls at the same time.
    """

    def __init__(self, life: str, address: str, connections: int) -> None:
        headers = {"X-Expected-Instance": life, "Content-Type": _JSON}
        self._http = HttpPool(address, connections, headers)

    def start(self, order: StartOrder, seconds: float) -> StartResult:
        """Start a run.

        Raises
        ------
        CallUnanswered
            If there is no answer: the run may be there, or come seconds later.
        PlatformError
            If the answer does not fit.
        """
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
        reply = self._post("/v1/run-start", body, seconds)
        if reply.status == 200:
            return StartResult(None, _decode(reply, _Answer).clock_ms)
        if reply.status == 409:
            answer = _decode(reply, _Answer)
            return StartResult(_REFUSALS.get(answer.reason, Refusal.MALFORMED), answer.clock_ms)
        if reply.status == _OTHER_LIFE:
            return StartResult(Refusal.OTHER_LIFE)
        if reply.status in (429, 503):
            return StartResult(Refusal.UNWELL)
        if 400 <= reply.status < 500:
            return StartResult(Refusal.MALFORMED)
        raise PlatformError(f"run-start answered {reply.status}")

    def stop(self, order: StopOrder, seconds: float) -> Refusal | None:
        """Stop a run; one that is not there yet will then never start.

        Raises
        ------
        CallUnanswered, PlatformError
            If there is no usable answer.
        """
        body = {
            "task": format_task(order.task),
            "run": order.run,
            "fencing_token": order.token,
        }
        return _read_refusal(self._post("/v1/run-stop", body, seconds), "run-stop")

    def renew(self, order: RenewOrder, seconds: float) -> WorkerReport | Refusal:
        """Renew the lease of all that runs and tell what runs and what has ended.

        Raises
        ------
        CallUnanswered, PlatformError
            If there is no usable answer.
        """
        body: dict[str, int] = {"fencing_token": order.token, "last_seen": order.seen_ends}
        if order.lease_until_ms:
            body["deadline_ms"] = order.lease_until_ms
        if order.wait_ms:
            body["wait_ms"] = order.wait_ms
        reply = self._post("/v1/hold", body, seconds)
        refusal = _read_refusal(reply, "hold")
        if refusal is not None:
            return refusal
        held = _decode(reply, _Held)
        try:
            running = [_read_running(row) for row in held.running]
            ended = [_read_ended(row) for row in held.ended]
        except (IndexError, TypeError, ValueError) as error:
            raise PlatformError(f"hold's answer does not fit: {error}") from error
        return WorkerReport(held.clock_ms, running, ended)

    def _post(self, path: str, body: dict, seconds: float) -> HttpReply:
        return self._http.call("POST", path, msgspec.json.encode(body), seconds)

    def close(self) -> None:
        """Close idle connections."""
        self._http.close()


def _read_refusal(reply: HttpReply, call: str) -> Refusal | None:
    """Give why a worker refused a call; None where it did not."""
    if reply.status == _OTHER_LIFE:
        return Refusal.OTHER_LIFE
    if reply.status == 409:
        return _REFUSALS.get(_decode(reply, _Answer).reason, Refusal.MALFORMED)
    if reply.status != 200:
        raise PlatformError(f"{call} answered {reply.status}")
    return None


def _read_running(row: list) -> RunningRun:
    load = row[4] if len(row) > 4 else 0
    return RunningRun(parse_task(row[0]), int(row[1]), str(row[2] or ""), float(row[3]), load)


def _read_ended(row: list) -> EndedRun:
    # An unknown way to end counts as the run being broken off from outside.
    kind = _ENDS.get(row[3], EndKind.BROKEN)
    return EndedRun(int(row[0]), parse_task(row[1]), int(row[2]), kind, str(row[4] or ""))


def _decode(reply: HttpReply, kind: type):
    return decode_json(reply.data, kind, "the worker's answer")

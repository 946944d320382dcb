"""Bodies that callers send and get, decoded into and encoded from types."""

import re
from typing import Annotated

import msgspec
from msgspec import Meta

from ..declarations import Size
from ..errors import DECODE_ERRORS, InvalidInput
from ..jobs.model import JobSpec, JobStatus, StepSpec

__all__ = [
    "DEADLINE_HEADER",
    "KEY_HEADER",
    "READY_PATH",
    "decode_job",
    "encode_status",
    "encode_waiting",
    "is_job_id",
]

READY_PATH = "/v1/readiness"
"""Where the balancer asks whether a node wants new connections."""

DEADLINE_HEADER = "HTTP_X_DEADLINE_MS"
"""The WSGI name of the header that tells how long a caller waits, in ms."""

KEY_HEADER = "HTTP_X_API_KEY"
"""The WSGI name of the header that holds the caller's key."""

_JOB_ID = re.compile(r"[0-9a-f]{16}")
_MAX_PAYLOAD_BYTES = 4000
_MAX_STEPS = 100
_MAX_TASKS = 10_000

_Amount = Annotated[int, Meta(ge=0, le=1_000_000_000)]
_Count = Annotated[int, Meta(ge=1, le=_MAX_TASKS)]


class _Step(msgspec.Struct):
    count: _Count
    cpu: _Amount = 0
    mem_mb: _Amount = 0
    gpu: _Amount = 0
    estimate_ms: Annotated[float, Meta(ge=0)] = 0
    after: list[_Amount] = []
    checkpointing: bool = False
    gang: bool = False
    same_rack: bool = False
    requires: str = ""
    affinity: str = ""
    anti_affinity: _Amount = 0
    speculative: bool = False
    long_running: bool = False
    image: str = ""
    target_ms: Annotated[float, Meta(ge=0)] = 0
    fills: bool = False
    may_miss: _Amount = 0


class _Job(msgspec.Struct):
    spec: str
    steps: Annotated[list[_Step], Meta(min_length=1, max_length=_MAX_STEPS)]
    max_runs: _Amount = 0
    initial_delay_ms: Annotated[int, Meta(ge=0)] = 0
    interval_ms: _Amount = 0


def is_job_id(text: str) -> bool:
    """Tell whether a text can be a job's identifier."""
    return _JOB_ID.fullmatch(text) is not None


def decode_job(queue: str, body: bytes) -> JobSpec:
    """Decode a submitted job.

    Parameters
    ----------
    queue
        The queue that takes it.
    body
        What the caller sent.

    Raises
    ------
    InvalidInput
        If it is malformed; nothing was taken.
    """
    try:
        job = msgspec.json.decode(body, type=_Job)
    except DECODE_ERRORS as error:
        raise InvalidInput(f"the job does not fit: {error}") from error
    if len(job.spec.encode("utf-8", "surrogatepass")) > _MAX_PAYLOAD_BYTES:
        raise InvalidInput(f"spec is longer than {_MAX_PAYLOAD_BYTES} bytes")
    steps = tuple(_decode_step(number, step) for number, step in enumerate(job.steps))
    return JobSpec(queue, job.spec, steps, job.max_runs, job.initial_delay_ms, job.interval_ms)


def _decode_step(number: int, step: _Step) -> StepSpec:
    if any(earlier >= number for earlier in step.after):
        raise InvalidInput(f"step {number} may only follow earlier steps")
    return StepSpec(
        count=step.count,
        size=Size(step.cpu, step.mem_mb, step.gpu),
        estimate_ms=round(step.estimate_ms),
        after=tuple(step.after),
        checkpointing=step.checkpointing,
        gang=step.gang,
        same_rack=step.same_rack,
        label=step.requires,
        data_rack=step.affinity,
        most_per_worker=step.anti_affinity,
        speculative=step.speculative,
        long_running=step.long_running,
        image=step.image,
        target_ms=round(step.target_ms),
        fills=step.fills,
        may_miss=step.may_miss,
    )


_STATUS_NAMES = {
    JobStatus.PENDING: "pending",
    JobStatus.RUNNING: "running",
    JobStatus.COMPLETED: "completed",
    JobStatus.FAILED: "failed",
    JobStatus.CANCELLED: "cancelled",
}


def encode_status(status: JobStatus) -> bytes:
    """Encode a job's status for a caller."""
    return msgspec.json.encode({"state": _STATUS_NAMES[status]})


def encode_waiting(count: int) -> bytes:
    """Encode how many jobs of a queue wait."""
    return msgspec.json.encode({"waiting": count})

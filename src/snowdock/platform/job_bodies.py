"""Encoding and decoding of the bodies of callers' requests and responses."""

from typing import Annotated

import msgspec
from msgspec import Meta

from ..declarations import Size
from ..errors import DECODE_ERRORS, InvalidInput
from ..jobs.model import (
    MAX_STEPS,
    Amount,
    JobSpec,
    JobStatus,
    StepSpec,
    StepTaskCount,
    TimeMs,
    is_job_id,
)

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
"""Path of the load balancer's readiness probe."""

DEADLINE_HEADER = "HTTP_X_DEADLINE_MS"
"""WSGI name of the header with a caller's timeout in ms."""

KEY_HEADER = "HTTP_X_API_KEY"
"""WSGI name of the header with the caller's API key."""

_MAX_PAYLOAD_BYTES = 4000
_MAX_MS = 2.0**53
"""Longest time in a body, in ms; a float represents no whole ms beyond."""

_FloatMs = Annotated[float, Meta(ge=0, le=_MAX_MS)]


class _Step(msgspec.Struct):
    count: StepTaskCount
    cpu: Amount = 0
    mem_mb: Amount = 0
    gpu: Amount = 0
    estimate_ms: _FloatMs = 0
    # Numbers of distinct earlier steps; a longer list would keep many times its text.
    after: Annotated[list[Amount], Meta(max_length=MAX_STEPS)] = []
    checkpointing: bool = False
    gang: bool = False
    same_rack: bool = False
    requires: str = ""
    affinity: str = ""
    anti_affinity: Amount = 0
    speculative: bool = False
    long_running: bool = False
    image: str = ""
    target_ms: _FloatMs = 0
    fills: bool = False
    may_miss: Amount = 0


class _Job(msgspec.Struct):
    spec: str
    steps: Annotated[list[_Step], Meta(min_length=1, max_length=MAX_STEPS)]
    max_runs: Amount = 0
    initial_delay_ms: TimeMs = 0
    interval_ms: Amount = 0


def decode_job(queue: str, body: bytes) -> JobSpec:
    """Decode a submitted job.

    Parameters
    ----------
    queue
        Name of the queue that the job is submitted to.
    body
        Body of the caller's request.

    Raises
    ------
    InvalidInput
        If the body is malformed.
    """
    try:
        job = msgspec.json.decode(body, type=_Job)
    except DECODE_ERRORS as error:
        raise InvalidInput(f"invalid job: {error}") from error
    if len(job.spec.encode("utf-8", "surrogatepass")) > _MAX_PAYLOAD_BYTES:
        raise InvalidInput(f"spec is longer than {_MAX_PAYLOAD_BYTES} bytes")
    steps = tuple(_decode_step(number, step) for number, step in enumerate(job.steps))
    return JobSpec(queue, job.spec, steps, job.max_runs, job.initial_delay_ms, job.interval_ms)


def _decode_step(number: int, step: _Step) -> StepSpec:
    if any(earlier >= number for earlier in step.after):
        raise InvalidInput(f"step {number} may only come after steps with a lower number")
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
    """Encode the number of waiting jobs of a queue."""
    return msgspec.json.encode({"waiting": count})

"""The durable record of a job's progress, and of its being taken in or cancelled."""

import hashlib

import msgspec

from ..errors import UNREADABLE, InvalidInput
from .model import JobId, JobSpec, JobStatus

__all__ = [
    "CANCEL_PREFIX",
    "AcceptedJob",
    "JobProgress",
    "TaskProgress",
    "cancel_key",
    "decode_accepted",
    "decode_progress",
    "encode",
    "parse_job_id",
    "record_name",
]

CANCEL_PREFIX = "cancel."
"""Begins the key of a record that cancels a job."""

_TEAM_SEPARATOR = "@"
_TEAM_DIGEST_BYTES = 6


class AcceptedJob(msgspec.Struct, frozen=True, array_like=True):
    """A job as it was taken in; written once, by the node that took it in.

    Attributes
    ----------
    spec
        What was submitted.
    accepted_ms
        The taking node's time of day, in ms since 1970.
    service, priority, max_attempts
        The queue's terms at that time, for when the queue itself is gone.
    team
        The team whose key handed it in; empty where no key was needed.
    """

    spec: JobSpec
    accepted_ms: int
    service: str
    priority: int
    max_attempts: int
    team: str = ""


class TaskProgress(msgspec.Struct, array_like=True):
    """Where one task stands.

    Attributes
    ----------
    repetition, step, index
        Which task of the job.
    run
        The number of its last start; 0 before the first.
    life
        The worker's life on which that run is or may be; empty where there is none.
    done
        Whether a run ended well.
    failed_runs
        Runs that ended failed; of a gang's member, the gang's.
    checkpoint
        Where the next run goes on from; empty for the start.
    lost_runs, crashed_runs
        Runs that were lost with their worker, and those of them whose worker surely crashed.
    """

    repetition: int
    step: int
    index: int
    run: int = 0
    life: str = ""
    done: bool = False
    failed_runs: list[int] = []
    checkpoint: str = ""
    lost_runs: list[int] = []
    crashed_runs: list[int] = []


class JobProgress(msgspec.Struct, array_like=True):
    """Where a job stands: its status, each task that was ever started, and whose it is."""

    status: JobStatus
    tasks: list[TaskProgress]
    team: str = ""


def record_name(job: JobId, team: str) -> str:
    """Give the key under which a team's job is taken in.

    It differs by team: who hands in a job under an identifier of another team's job neither
    replaces that job's record nor cancels it.
    """
    if not team:
        return job
    digest = hashlib.blake2b(team.encode(), digest_size=_TEAM_DIGEST_BYTES).hexdigest()
    return f"{job}{_TEAM_SEPARATOR}{digest}"


def parse_job_id(name: str) -> JobId:
    """Give the job that a name made by `record_name` is of."""
    return name.partition(_TEAM_SEPARATOR)[0]


def cancel_key(name: str) -> str:
    """Give the key of the record that cancels the job of a `record_name`."""
    return f"{CANCEL_PREFIX}{name}"


def encode(record: AcceptedJob | JobProgress) -> bytes:
    """Encode a durable record."""
    return msgspec.msgpack.encode(record)


def decode_accepted(data: bytes) -> AcceptedJob:
    """Decode a job as it was taken in.

    Raises
    ------
    InvalidInput
        If the record does not fit.
    """
    return _decode(data, AcceptedJob)


def decode_progress(data: bytes) -> JobProgress:
    """Decode a job's progress.

    Raises
    ------
    InvalidInput
        If the record does not fit.
    """
    return _decode(data, JobProgress)


def _decode(data: bytes, kind: type):
    try:
        return msgspec.msgpack.decode(data, type=kind)
    except UNREADABLE as error:
        raise InvalidInput(f"a durable record does not fit {kind.__name__}: {error}") from error

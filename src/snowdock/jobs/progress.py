"""Durable records of jobs: submission, cancellation and progress."""

import hashlib

import msgspec

from ..errors import DECODE_ERRORS, InvalidInput
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
"""Prefix of the keys of records that cancel a job."""

_MAX_CALLER_WAIT_SECONDS = 30.0
"""Upper bound of a caller's wait before the acceptance, as clocks may jump. First attempts are
remembered for this long."""

_TEAM_SEPARATOR = "@"
_TEAM_DIGEST_BYTES = 6


class AcceptedJob(msgspec.Struct, frozen=True, array_like=True):
    """Submission record of a job; written once, by the node that accepted the job.

    Attributes
    ----------
    spec
        What was submitted.
    accepted_ms
        The accepting node's wall clock, in ms since 1970.
    service, priority, max_attempts
        The queue's settings at that time, used once the queue is removed.
    team
        The team whose key submitted the job; empty if no key was required.
    first_seen_ms
        When the caller first tried to submit the job, on the clock of ``accepted_ms``; 0 if the
        first attempt is the accepted one.
    """

    spec: JobSpec
    accepted_ms: int
    service: str
    priority: int
    max_attempts: int
    team: str = ""
    first_seen_ms: int = 0

    @property
    def waited_s(self) -> float:
        """Time from the caller's first attempt to the acceptance, in seconds."""
        if not self.first_seen_ms:
            return 0.0
        waited_s = (self.accepted_ms - self.first_seen_ms) / 1000
        return min(_MAX_CALLER_WAIT_SECONDS, max(0.0, waited_s))


class TaskProgress(msgspec.Struct, array_like=True):
    """Progress of one task.

    Attributes
    ----------
    repetition, step, index
        The task's position within the job.
    run
        The number of its newest run; 0 before the first.
    life
        The worker's life on which that run is or may be; empty if there is none.
    done
        Whether a run succeeded.
    failed_runs
        Numbers of the runs that failed; for a member of a gang, those of the gang.
    checkpoint
        The checkpoint from which the next run resumes; empty to start from the beginning.
    lost_runs, crashed_runs
        Numbers of the runs that were lost with their worker, and those of them whose worker
        certainly crashed.
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
    """Progress of a job: its status, each task that was ever started, and its team.

    Of several records of a job, the one with the highest `version` counts.

    Attributes
    ----------
    epoch, batch
        The epoch of the leader that wrote the record, and the number of its batch. Both are 0 in
        the records of leaders that did not state them, which therefore count as the oldest.
    """

    status: JobStatus
    tasks: list[TaskProgress]
    team: str = ""
    epoch: int = 0
    batch: int = 0

    @property
    def version(self) -> tuple[int, int]:
        """The record's position among all records of its job."""
        return self.epoch, self.batch


def record_name(job: JobId, team: str) -> str:
    """Return the key under which a team's job is recorded.

    The key depends on the team, so that a job submitted under the identifier of another team's job
    can neither replace that job's record nor cancel it.
    """
    if not team:
        return job
    digest = hashlib.blake2b(team.encode(), digest_size=_TEAM_DIGEST_BYTES).hexdigest()
    return f"{job}{_TEAM_SEPARATOR}{digest}"


def parse_job_id(name: str) -> JobId:
    """Return the job identifier from a name made by `record_name`."""
    return name.partition(_TEAM_SEPARATOR)[0]


def cancel_key(name: str) -> str:
    """Return the key of the record that cancels the job with a given `record_name`."""
    return f"{CANCEL_PREFIX}{name}"


def encode(record: AcceptedJob | JobProgress) -> bytes:
    """Encode a durable record."""
    return msgspec.msgpack.encode(record)


def decode_accepted(data: bytes) -> AcceptedJob:
    """Decode a submission record.

    Raises
    ------
    InvalidInput
        If the record cannot be decoded.
    """
    return _decode(data, AcceptedJob)


def decode_progress(data: bytes) -> JobProgress:
    """Decode a progress record.

    Raises
    ------
    InvalidInput
        If the record cannot be decoded.
    """
    return _decode(data, JobProgress)


def _decode(data: bytes, kind: type):
    try:
        return msgspec.msgpack.decode(data, type=kind)
    except DECODE_ERRORS as error:
        raise InvalidInput(f"cannot decode record as {kind.__name__}: {error}") from error

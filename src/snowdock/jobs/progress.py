"""Durable records of jobs: submission, cancellation and progress."""

import hashlib
import re
from typing import Annotated

import msgspec
from msgspec import Meta

from ..errors import DECODE_ERRORS, InvalidInput
from .evidence import Evidence
from .model import MAX_AMOUNT, Amount, JobId, JobSpec, JobStatus, Priority, StepSpec, TimeMs

__all__ = [
    "BLOCK_TASKS",
    "CANCEL_PREFIX",
    "AcceptedJob",
    "ChargeRecord",
    "JobProgress",
    "PartialProgress",
    "SplitProgress",
    "TaskBlock",
    "TaskProgress",
    "Version",
    "block_key",
    "cancel_key",
    "decode_accepted",
    "decode_progress",
    "decode_split_progress",
    "decode_task_block",
    "encode",
    "is_block_key",
    "is_job_key",
    "is_progress_key",
    "parse_block_position",
    "parse_job_id",
    "parse_progress_key",
    "record_name",
]

CANCEL_PREFIX = "cancel."
"""Prefix of the keys of records that cancel a job."""

_MAX_CALLER_WAIT_SECONDS = 30.0
"""Upper bound of a caller's wait before the acceptance, as clocks may jump. First attempts are
remembered for this long."""

_TEAM_SEPARATOR = "@"
_TEAM_DIGEST_BYTES = 6

_BLOCK_SEPARATOR = "."

BLOCK_TASKS = 64
"""Tasks in a block, of some 40 bytes each; all of them are written when one changes. Part of the
format of records, since finished blocks are recorded by their numbers."""

_JOB_KEY = re.compile(r"(cancel\.)?[0-9a-f]{16}(@[0-9a-f]{12})?")
"""Keys of submissions and cancellations; the store takes keys of 255 bytes at most, and other
programs may write any."""

_PROGRESS_KEY = re.compile(r"[0-9a-f]{16}(\.[0-9]{1,10}){0,3}")
"""Keys of progress: a job, for a block with three numbers."""

_MAX_RUN = 2**53
"""Highest number of a run, so that later ones fit into 64 bits too."""

_RunNumber = Annotated[int, Meta(le=_MAX_RUN)]

Version = tuple[int, int]
"""The epoch of the leader that wrote a record, and the number of its batch."""


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
    accepted_ms: TimeMs
    service: str
    priority: Priority
    max_attempts: Annotated[int, Meta(ge=0, le=2**63 - 1)]
    team: str = ""
    first_seen_ms: TimeMs = 0

    @property
    def waited_s(self) -> float:
        """Time from the caller's first attempt to the acceptance, in seconds."""
        if not self.first_seen_ms:
            return 0.0
        waited_s = (self.accepted_ms - self.first_seen_ms) / 1000
        return min(_MAX_CALLER_WAIT_SECONDS, max(0.0, waited_s))


class ChargeRecord(msgspec.Struct, frozen=True, array_like=True):
    """A run that is charged to its task; see `Charge` for the attributes."""

    run: _RunNumber
    evidence: Evidence
    life: str = ""
    address: str = ""


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
        Numbers of the charged runs, and those of them that certainly crashed their workers.
        Earlier versions know only these.
    charges
        The same runs with what is known about each.
    address
        The IP address and port of the worker on which the newest run is or may be; empty if there
        is none, or if an earlier version placed the run.
    """

    repetition: Amount
    step: Amount
    index: Amount
    run: Annotated[int, Meta(ge=0, le=_MAX_RUN)] = 0
    life: str = ""
    done: bool = False
    failed_runs: list[_RunNumber] = []
    checkpoint: str = ""
    lost_runs: list[_RunNumber] = []
    crashed_runs: list[_RunNumber] = []
    charges: list[ChargeRecord] = []
    address: str = ""


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
    def version(self) -> Version:
        """The record's position among all records of its job."""
        return self.epoch, self.batch


class SplitProgress(msgspec.Struct, array_like=True, tag="split"):
    """Progress of a job that takes several records: all but the tasks, which are in blocks.

    It has the key that a `JobProgress` of the job would have, and replaces it. Earlier versions
    cannot decode it, so that they do not take the job for one of which nothing was started.

    Attributes
    ----------
    status, team, epoch, batch
        As in `JobProgress`.
    since
        The version from which the blocks count; older ones are left from before.
    finished
        Ranges of repetitions of which all tasks are done: their first and last numbers.
    """

    status: JobStatus
    team: str
    epoch: int
    batch: int
    since: Version
    finished: list[tuple[Amount, Amount]] = []

    @property
    def version(self) -> Version:
        """The record's position among all records of its job under this key."""
        return self.epoch, self.batch


class PartialProgress(SplitProgress, tag="partial"):
    """Progress of a job of which also blocks are left out, since all their tasks are done.

    Earlier versions cannot decode it, so that they do not start these tasks again.

    Attributes
    ----------
    finished_blocks
        Ranges of blocks of which all tasks are done: the repetition, and their first and last
        numbers.
    """

    finished_blocks: list[tuple[Amount, Amount, Amount]] = []


class TaskBlock(msgspec.Struct, array_like=True, tag="block"):
    """Progress of some tasks of a job; see `SplitProgress`.

    Of several blocks that state the same task, the one with the highest `version` counts.
    """

    epoch: int
    batch: int
    tasks: list[TaskProgress]

    @property
    def version(self) -> Version:
        """The record's position among all blocks of its job."""
        return self.epoch, self.batch


def block_key(job: JobId, repetition: int, block: int, part: int) -> str:
    """Return the key of a `TaskBlock`: one part of a numbered block of a job's repetition."""
    return _BLOCK_SEPARATOR.join((job, str(repetition), str(block), str(part)))


def is_job_key(key: str) -> bool:
    """Check whether a key of the jobs topic is that of a submission or a cancellation."""
    return _JOB_KEY.fullmatch(key) is not None


def is_progress_key(key: str) -> bool:
    """Check whether a key of the progress topic is that of a job's progress or of a block."""
    return _PROGRESS_KEY.fullmatch(key) is not None


def is_block_key(key: str) -> bool:
    """Check whether a key is that of a `TaskBlock`."""
    return _BLOCK_SEPARATOR in key


def parse_progress_key(key: str) -> JobId:
    """Return the job of a key of the progress topic, which may be that of a block."""
    return key.partition(_BLOCK_SEPARATOR)[0]


def parse_block_position(key: str) -> tuple[int, int]:
    """Return the repetition that a block belongs to, and the block's number, from its key.

    Raises
    ------
    InvalidInput
        If the key is not that of a block.
    """
    try:
        _, repetition, block, part = key.split(_BLOCK_SEPARATOR)
        int(part)
        return int(repetition), int(block)
    except ValueError as error:
        raise InvalidInput(f"malformed key of a block: {key[:60]!r}") from error


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


def encode(record: AcceptedJob | JobProgress | SplitProgress | TaskBlock) -> bytes:
    """Encode a durable record."""
    return msgspec.msgpack.encode(record)


def decode_accepted(data: bytes) -> AcceptedJob:
    """Decode a submission record.

    Raises
    ------
    InvalidInput
        If the record cannot be decoded.
    """
    accepted = _decode(data, AcceptedJob)
    for number, step in enumerate(accepted.spec.steps):
        _check_step(number, step)
    return accepted


def _check_step(number: int, step: StepSpec) -> None:
    """Check what the types of a step's fields leave open.

    Raises
    ------
    InvalidInput
        If the step comes after itself or a later one, or an amount of resources is out of range.
    """
    if any(earlier >= number for earlier in step.after):
        raise InvalidInput(f"step {number} comes after steps {step.after[:10]}")
    size = step.size
    for amount in (size.cpu, size.memory, size.accelerators):
        if not 0 <= amount <= MAX_AMOUNT:
            raise InvalidInput(f"step {number} has an amount of resources of {amount}")


def decode_progress(data: bytes) -> JobProgress:
    """Decode the progress of a job that takes one record.

    Raises
    ------
    InvalidInput
        If the record cannot be decoded.
    """
    return _decode(data, JobProgress)


def decode_split_progress(data: bytes) -> SplitProgress | PartialProgress:
    """Decode the progress of a job whose tasks are in blocks.

    Raises
    ------
    InvalidInput
        If the record cannot be decoded.
    """
    return _decode(data, SplitProgress | PartialProgress)


def decode_task_block(data: bytes) -> TaskBlock:
    """Decode a block of tasks.

    Raises
    ------
    InvalidInput
        If the record cannot be decoded.
    """
    return _decode(data, TaskBlock)


def _decode(data: bytes, kind):
    try:
        return msgspec.msgpack.decode(data, type=kind)
    except DECODE_ERRORS as error:
        name = getattr(kind, "__name__", str(kind))
        raise InvalidInput(f"cannot decode record as {name}: {error}") from error

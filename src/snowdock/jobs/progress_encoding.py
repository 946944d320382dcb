"""Encoding of a job's progress as records that the store takes, whatever the job's size.

The progress of most jobs is a single record. A job with many tasks gets a record of its own state
and one for each block of tasks, and only those that have changed are written. Repetitions and
blocks of which all tasks are done are reduced to ranges of numbers, so that the progress of a job
does not grow with what is done of it.
"""

import dataclasses
import math
from collections.abc import Iterator

import msgspec

from .events import ProgressRecord
from .job_state import Job, Phase, Step, Task, drop_done_tasks
from .model import TaskId
from .number_ranges import Range, numbers_between
from .progress import (
    BLOCK_TASKS,
    ChargeRecord,
    JobProgress,
    PartialProgress,
    SplitProgress,
    TaskBlock,
    TaskProgress,
    Version,
    block_key,
    encode,
)
from .progress_layout import ProgressLayout

__all__ = ["EncodedProgress", "encode_progress"]

_SINGLE_RECORD_SHARE = 0.25
"""Share of the longest record up to which a job's progress is one record. The whole record is
written at each change of the job, and a batch has room for those of several jobs."""

_BLOCK_OVERHEAD_BYTES = 96
"""Upper bound of what a block's key, version and list add to the lengths of its tasks."""

_RANGE_BYTES = 16
"""Upper bound of the length of an encoded range of finished repetitions."""

_RANGES_SHARE = 0.5
"""Share of the longest record that ranges of finished repetitions may take."""

_BLOCK_RANGE_BYTES = 24
_BLOCK_RANGES_SHARE = 0.25
"""Upper bound of the length of an encoded range of finished blocks, and their share of the longest
record."""

_NO_TASKS = msgspec.msgpack.encode([])


@dataclasses.dataclass(frozen=True, slots=True)
class EncodedProgress:
    """A job's progress as records.

    Attributes
    ----------
    records
        The records to write, in this order: a job's own record counts on those of its blocks.
    has_tasks
        Whether the progress of any task is on record.
    obsolete_keys
        Keys of blocks that no longer count once the records are written.
    long_checkpoints
        Tasks, each with the length in bytes of a checkpoint that is too long for a record. Without
        it the task starts from the beginning after a takeover.
    dropped_tasks
        Tasks that were dropped from memory since they are done.
    """

    records: list[ProgressRecord]
    has_tasks: bool
    obsolete_keys: list[str] = dataclasses.field(default_factory=list)
    long_checkpoints: list[tuple[TaskId, int]] = dataclasses.field(default_factory=list)
    dropped_tasks: list[Task] = dataclasses.field(default_factory=list)


def encode_progress(job: Job, version: Version, max_record_bytes: int) -> EncodedProgress:
    """Encode what has changed of a job's progress, and update its layout.

    Parameters
    ----------
    job
        The job.
    version
        The epoch of the leader, and the number of the batch that is being made.
    max_record_bytes
        The length of the longest record that the store takes.
    """
    layout = job.layout
    if layout is None or layout.since is None:
        progress = _build_progress(job, version)
        data = encode(progress)
        is_short = len(data) <= max_record_bytes * _SINGLE_RECORD_SHARE
        if is_short and not job.has_many_tasks:
            obsolete_keys = [] if layout is None or progress.tasks else layout.keys
            return EncodedProgress(
                [ProgressRecord(job.id, data)], bool(progress.tasks), obsolete_keys
            )
        if layout is None:
            layout = job.layout = ProgressLayout()
        layout.since = version
    return _encode_split(job, layout, version, max_record_bytes)


def _build_progress(job: Job, version: Version) -> JobProgress:
    tasks = []
    for step in job.all_steps():
        tasks += _list_records(step, range(step.spec.count))
    return JobProgress(job.status, tasks, job.team, *version)


def _is_recorded(task: Task) -> bool:
    if task.life:
        return True
    return not task.step.job.status.is_final and bool(task.run or task.phase is Phase.DONE)


def _list_records(step: Step, indices: range) -> list[TaskProgress]:
    """Return the records of some tasks of a step, those of dropped tasks included."""
    tasks = step.tasks_between(indices.start, indices.stop)
    records = [_make_record(task) for task in tasks if _is_recorded(task)]
    if step.finished and not step.job.status.is_final:
        for index in numbers_between(step.finished, indices.start, indices.stop):
            records.append(TaskProgress(step.repetition, step.number, index, 1, done=True))
        records.sort(key=lambda record: record.index)
    return records


def _make_record(task: Task) -> TaskProgress:
    return TaskProgress(
        task.id.repetition,
        task.id.step,
        task.id.index,
        task.run,
        task.life,
        task.phase is Phase.DONE,
        sorted(task.failed_runs),
        task.checkpoint,
        sorted(task.lost_runs),
        sorted(task.crashed_runs),
        [ChargeRecord(each.run, each.evidence, each.life, each.address) for each in task.charges],
        task.address if task.life else "",
    )


# -- blocks --------------------------------------------------------------------------------


def _encode_split(
    job: Job, layout: ProgressLayout, version: Version, max_record_bytes: int
) -> EncodedProgress:
    max_ranges = max(1, int(max_record_bytes * _RANGES_SHARE / _RANGE_BYTES))
    dropped_tasks: list[Task] = []
    obsolete_keys = _close_repetitions(job, layout, max_ranges, dropped_tasks)
    dropped_tasks += drop_done_tasks(job)
    max_ranges = max(1, int(max_record_bytes * _BLOCK_RANGES_SHARE / _BLOCK_RANGE_BYTES))
    partial_blocks = _close_blocks(job, layout, max_ranges)
    obsolete_keys += layout.drop_finished()
    payloads: dict[int, dict[str, bytes]] = {}
    long_checkpoints: list[tuple[TaskId, int]] = []
    for repetition in sorted(layout.open_repetitions):
        partial = partial_blocks.get(repetition, set())
        payloads[repetition] = _encode_blocks(
            job, repetition, partial, max_record_bytes, long_checkpoints
        )
    has_tasks = any(payloads.values())
    if job.status.is_final and not has_tasks:
        # What is left of the blocks until they are deleted must not count.
        layout.since = version
        obsolete_keys += layout.keys
        records = []
    else:
        records = [
            ProgressRecord(key, _encode_block(version, payload))
            for key, payload in _replace_payloads(layout, payloads)
        ]
    records.append(ProgressRecord(job.id, encode(_make_head(job, layout, version))))
    return EncodedProgress(records, has_tasks, obsolete_keys, long_checkpoints, dropped_tasks)


def _make_head(job: Job, layout: ProgressLayout, version: Version) -> SplitProgress:
    blocks = [
        (repetition, first, last)
        for repetition, ranges in sorted(layout.finished_blocks.items())
        for first, last in ranges
    ]
    common = (job.status, job.team, *version, layout.since, layout.finished)
    return PartialProgress(*common, blocks) if blocks else SplitProgress(*common)


def _close_repetitions(
    job: Job, layout: ProgressLayout, max_ranges: int, dropped_tasks: list[Task]
) -> list[str]:
    """Reduce the repetitions that have become finished to ranges; return the keys of their blocks.

    Their steps are dropped, so that a timed job takes no more memory the longer it runs.
    """
    layout.add_open(job.repetitions)
    obsolete_keys = []
    for number in sorted(layout.open_repetitions):
        steps = job.repetitions.get(number, [])
        if _is_finished(steps) and layout.finish(number, max_ranges):
            tasks = [task for step in steps for task in step.tasks]
            dropped_tasks += tasks
            job.object_count -= len(steps) + len(tasks)
            job.repetitions.pop(number, None)
            obsolete_keys += layout.blocks.pop(number, {})
    return obsolete_keys


def _is_finished(steps: list[Step]) -> bool:
    return all(step.is_done for step in steps) and not any(
        task.is_placed for step in steps for task in step.tasks
    )


def _close_blocks(job: Job, layout: ProgressLayout, max_ranges: int) -> dict[int, set[int]]:
    """Reduce the blocks that have become finished to ranges.

    Returns the other blocks with tasks that were dropped, by repetition.
    """
    layout.finished_blocks = {}
    partial_blocks = {}
    for repetition, steps in job.repetitions.items():
        finished, partial = _find_finished_blocks(steps, max_ranges)
        max_ranges -= len(finished)
        if finished:
            layout.finished_blocks[repetition] = finished
        partial_blocks[repetition] = partial
    return partial_blocks


def _find_finished_blocks(steps: list[Step], max_ranges: int) -> tuple[list[Range], set[int]]:
    """Return ranges of finished blocks, and the other blocks with tasks that were dropped."""
    end = steps[-1].first_position + steps[-1].spec.count
    finished, partial = [], set()
    for first, last in _merge_finished(steps):
        first_block = math.ceil(first / BLOCK_TASKS)
        end_block = math.ceil(end / BLOCK_TASKS) if last + 1 == end else (last + 1) // BLOCK_TASKS
        touched = range(first // BLOCK_TASKS, last // BLOCK_TASKS + 1)
        if first_block >= end_block or len(finished) >= max_ranges:
            partial.update(touched)
            continue
        finished.append((first_block, end_block - 1))
        partial.update(range(touched.start, first_block))
        partial.update(range(end_block, touched.stop))
    return finished, partial


def _merge_finished(steps: list[Step]) -> Iterator[Range]:
    """Yield the ranges of dropped tasks by their positions in the repetition."""
    pending: Range | None = None
    for step in steps:
        for low, last in step.finished:
            first, end = step.first_position + low, step.first_position + last
            if pending is not None and pending[1] + 1 == first:
                pending = (pending[0], end)
                continue
            if pending is not None:
                yield pending
            pending = (first, end)
    if pending is not None:
        yield pending


def _block_of(step: Step, task: Task) -> int:
    return (step.first_position + task.id.index) // BLOCK_TASKS


def _encode_blocks(
    job: Job,
    repetition: int,
    partial_blocks: set[int],
    max_record_bytes: int,
    long_checkpoints: list[tuple[TaskId, int]],
) -> dict[str, bytes]:
    """Encode the tasks of a repetition as blocks; return the lists of tasks by key."""
    blocks: dict[int, list[TaskProgress]] = {}
    steps = job.repetitions.get(repetition, ())
    recorded = {
        _block_of(step, task) for step in steps for task in step.tasks if _is_recorded(task)
    }
    if not job.status.is_final:
        recorded |= partial_blocks
    for block in sorted(recorded):
        blocks[block] = [
            record
            for step in steps
            for record in _list_records(step, step.indices_in_blocks(block, block))
        ]
    max_bytes = max_record_bytes - _BLOCK_OVERHEAD_BYTES
    payloads = {}
    for block, records in blocks.items():
        parts = _split_block(job, records, max_bytes, long_checkpoints)
        for part, payload in enumerate(parts):
            payloads[block_key(job.id, repetition, block, part)] = payload
    return payloads


def _split_block(
    job: Job,
    records: list[TaskProgress],
    max_bytes: int,
    long_checkpoints: list[tuple[TaskId, int]],
) -> Iterator[bytes]:
    """Yield the encoded lists of a block's tasks, of which none is too long for a record."""
    payload = msgspec.msgpack.encode(records)
    if len(payload) <= max_bytes:
        yield payload
        return
    part: list[msgspec.Raw] = []
    size = 0
    for record in records:
        data = msgspec.msgpack.encode(record)
        if len(data) > max_bytes:
            task = TaskId(job.id, record.repetition, record.step, record.index)
            long_checkpoints.append((task, len(record.checkpoint.encode())))
            record.checkpoint = ""
            data = msgspec.msgpack.encode(record)
        if part and size + len(data) > max_bytes:
            yield msgspec.msgpack.encode(part)
            part, size = [], 0
        part.append(msgspec.Raw(data))
        size += len(data)
    yield msgspec.msgpack.encode(part)


def _replace_payloads(
    layout: ProgressLayout, payloads: dict[int, dict[str, bytes]]
) -> Iterator[tuple[str, bytes]]:
    """Yield the keys and lists of the blocks that have changed; a block that is left becomes empty.

    An empty block is written rather than deleted: an older one in another partition would count.
    """
    for repetition in layout.open_repetitions:
        written = layout.blocks.setdefault(repetition, {})
        current = payloads[repetition]
        for key in dict.fromkeys([*current, *written]):
            payload = current.get(key, _NO_TASKS)
            if written.get(key) != payload:
                written[key] = payload
                yield key, payload


def _encode_block(version: Version, payload: bytes) -> bytes:
    """Encode a `TaskBlock` whose list of tasks is encoded already."""
    return msgspec.msgpack.encode([TaskBlock.__struct_config__.tag, *version, msgspec.Raw(payload)])

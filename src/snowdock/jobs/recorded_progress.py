"""Reading of the progress of jobs from the records of one or several partitions."""

import dataclasses
import math
from collections.abc import Iterable

from ..errors import InvalidInput
from .model import JobId, JobSpec
from .number_ranges import find_misplaced
from .progress import (
    BLOCK_TASKS,
    JobProgress,
    PartialProgress,
    SplitProgress,
    TaskBlock,
    TaskProgress,
    decode_progress,
    decode_split_progress,
    decode_task_block,
    is_block_key,
    parse_block_position,
    parse_progress_key,
)
from .progress_layout import ProgressLayout

__all__ = ["MalformedRecord", "ProgressOnRecord", "check_progress", "read_progress"]


@dataclasses.dataclass(frozen=True, slots=True)
class MalformedRecord:
    """A record that cannot be decoded: its key, its partition, and the reason."""

    key: str
    partition: int
    error: InvalidInput


@dataclasses.dataclass(frozen=True, slots=True)
class ProgressOnRecord:
    """The progress of all jobs on record.

    Attributes
    ----------
    progress
        The newest progress of each job, with the tasks of its blocks.
    layouts
        The blocks of jobs that have any.
    unreadable
        Jobs with a malformed record. It may be the newest, so that no other of the job is used.
    partitions
        By key, the partitions that have a record, with the newest last.
    malformed
        The malformed records.
    """

    progress: dict[JobId, JobProgress]
    layouts: dict[JobId, ProgressLayout]
    unreadable: frozenset[JobId]
    partitions: dict[str, tuple[int, ...]]
    malformed: list[MalformedRecord]


_Record = JobProgress | SplitProgress | TaskBlock


def read_progress(partitions: Iterable[Iterable[tuple[str, bytes]]]) -> ProgressOnRecord:
    """Read the newest progress of jobs.

    Parameters
    ----------
    partitions
        The keys and data of the records of each partition.
    """
    found: dict[str, list[tuple[int, _Record]]] = {}
    malformed = []
    for partition, records in enumerate(partitions):
        for key, data in records:
            try:
                found.setdefault(key, []).append((partition, _decode(key, data)))
            except InvalidInput as error:
                malformed.append(MalformedRecord(key, partition, error))
    unreadable = frozenset(parse_progress_key(each.key) for each in malformed)
    newest: dict[str, _Record] = {}
    key_partitions = {}
    blocks: dict[JobId, list[str]] = {}
    for key, versions in found.items():
        job = parse_progress_key(key)
        if job in unreadable:
            continue
        versions.sort(key=lambda version: version[1].version)
        newest[key] = versions[-1][1]
        key_partitions[key] = tuple(partition for partition, _ in versions)
        if is_block_key(key):
            blocks.setdefault(job, []).append(key)
    progress, layouts = {}, {}
    for job in dict.fromkeys(map(parse_progress_key, newest)):
        head = newest.get(job)
        keys = blocks.get(job, [])
        if keys or isinstance(head, SplitProgress):
            layouts[job] = _read_layout(head, keys)
        if isinstance(head, JobProgress):
            progress[job] = head
        elif head is not None:
            tasks = _merge_blocks(head, layouts[job], {key: newest[key] for key in keys})
            progress[job] = JobProgress(head.status, tasks, head.team, head.epoch, head.batch)
    return ProgressOnRecord(progress, layouts, unreadable, key_partitions, malformed)


def check_progress(
    spec: JobSpec, progress: JobProgress, layout: ProgressLayout | None = None
) -> None:
    """Check that all tasks and finished repetitions of a job's progress exist in the job.

    Raises
    ------
    InvalidInput
        If one does not, or if the finished repetitions are not in order.
    """
    count = max(1, spec.repetitions)
    for task in progress.tasks:
        if not (
            task.repetition < count
            and task.step < len(spec.steps)
            and task.index < spec.steps[task.step].count
        ):
            raise InvalidInput(f"no task {task.repetition}.{task.step}.{task.index} in the job")
    if layout is not None:
        _check_finished(spec, layout, count)


def _check_finished(spec: JobSpec, layout: ProgressLayout, count: int) -> None:
    misplaced = find_misplaced(layout.finished, count)
    if misplaced is not None:
        raise InvalidInput(f"no repetitions from {misplaced[0]} to {misplaced[1]} in the job")
    block_count = math.ceil(sum(step.count for step in spec.steps) / BLOCK_TASKS)
    for repetition, ranges in layout.finished_blocks.items():
        if repetition >= count or layout.is_finished(repetition):
            raise InvalidInput(f"no open repetition {repetition} in the job")
        misplaced = find_misplaced(ranges, block_count)
        if misplaced is not None:
            raise InvalidInput(
                f"no blocks from {misplaced[0]} to {misplaced[1]} in the job's tasks"
            )


def _decode(key: str, data: bytes) -> _Record:
    if is_block_key(key):
        parse_block_position(key)
        return decode_task_block(data)
    try:
        return decode_progress(data)
    except InvalidInput:
        return decode_split_progress(data)


def _read_layout(head: _Record | None, keys: list[str]) -> ProgressLayout:
    layout = ProgressLayout()
    if isinstance(head, SplitProgress):
        layout.since = head.since
        layout.finished = list(head.finished)
    if isinstance(head, PartialProgress):
        for repetition, first, last in head.finished_blocks:
            layout.finished_blocks.setdefault(repetition, []).append((first, last))
    for key in keys:
        layout.add_known(parse_block_position(key)[0], [key])
    return layout


def _merge_blocks(
    head: SplitProgress, layout: ProgressLayout, blocks: dict[str, TaskBlock]
) -> list[TaskProgress]:
    """Return the newest progress of each task of a job, in their order."""
    tasks: dict[tuple[int, int, int], TaskProgress] = {}
    for key, block in sorted(blocks.items(), key=lambda entry: entry[1].version):
        if block.version < head.since or layout.is_block_finished(key):
            continue
        for task in block.tasks:
            if not layout.is_finished(task.repetition):
                tasks[task.repetition, task.step, task.index] = task
    return [tasks[position] for position in sorted(tasks)]

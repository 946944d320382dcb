"""Batches of progress records, and the actions deferred until what they depend on is recorded.

At most one batch is in flight. All that has changed by then forms a change set, which takes several
batches if it is large. Later changes belong to the next one, so that jobs that change all the time
do not hold up the actions of others.
"""

import collections

from .cell import Cell, ChangeSet, Deferred, DeferredRenewal, DeferredStart
from .charges import forget_task_charges
from .durability import RENEW_WAIT_MS, send_renewal
from .events import DropProgress, ForgetAccepted, Persist, ProgressRecord, SendStart
from .job_objects import drop_spec
from .job_state import Job, Phase, Task
from .model import JobId
from .orders import StartOrder
from .progress import parse_progress_key
from .progress_encoding import encode_progress
from .quotas import may_start_within_quota
from .runs import void_run

__all__ = ["handle_persisted", "handle_rejected", "release_held_starts", "send_batch"]

_MAX_BATCH_BYTES = 1_000_000
"""Size at which a batch is full, in bytes: half of the store's usual limit for one append."""

_MIN_LIMIT_BYTES = 1024
"""A store that rejects a record, or an append, of this length does so for another reason."""

_REJECTED_DELAY_SECONDS = 1.0
"""Delay of the next batch after the store has rejected the shortest one."""

_LOWERED_LIMITS_SECONDS = 60.0
"""How long the limits stay lowered after a rejection, which may have had a passing reason."""


def send_batch(cell: Cell) -> None:
    """Send the next batch, unless one is in flight or there is nothing to send."""
    if cell.batch_records or cell.now < cell.next_batch_at:
        return
    changes = cell.change_set
    if changes is None:
        if not (cell.dirty_jobs or cell.deferred):
            return
        changes = cell.change_set = ChangeSet(cell.dirty_jobs, cell.deferred)
        cell.dirty_jobs, cell.deferred = {}, []
    records = _fill_batch(cell, changes)
    if not records:
        _finish_change_set(cell, changes, cell.now)
        return
    cell.batch_number += 1
    cell.batch_records = tuple(records)
    cell.emit(Persist(cell.batch_number, cell.batch_records))


def _fill_batch(cell: Cell, changes: ChangeSet) -> list[ProgressRecord]:
    """Remove and return as many records of a change set as an append may have."""
    if 0.0 < cell.limits_lowered_until <= cell.now:
        cell.limits_lowered_until = 0.0
        cell.max_record_bytes = cell.settings.max_record_bytes
        cell.max_append_bytes = cell.settings.max_append_bytes
    records = []
    size = 0
    max_bytes = min(_MAX_BATCH_BYTES, cell.max_append_bytes)
    while not changes.is_encoded:
        if not changes.records:
            _encode_next_job(cell, changes)
        size += changes.records[0].append_size
        if records and size > max_bytes:
            break
        records.append(changes.records.popleft())
    return records


def _encode_next_job(cell: Cell, changes: ChangeSet) -> None:
    job_id = next(iter(changes.jobs))
    job = changes.jobs.pop(job_id)
    was_split = job.is_split
    object_count = job.object_count
    max_bytes = min(cell.max_record_bytes, cell.max_append_bytes)
    encoded = encode_progress(job, (cell.token, cell.batch_number + 1), max_bytes)
    cell.object_count += job.object_count - object_count
    for task in encoded.dropped_tasks:
        forget_task_charges(cell, task)
    if job.is_split and not was_split:
        cell.log_decision("progress_split", job_id, records=len(encoded.records))
    for task, size in encoded.long_checkpoints:
        cell.log_decision("checkpoint_not_recorded", job_id, task=task, bytes=size)
    if job.status.is_final and not encoded.has_tasks:
        # A takeover reads all submission records, so keep only those of open jobs.
        changes.deferred.append(ForgetAccepted((job.record_name,)))
        cell.recorded_ends[job.id] = job
        drop_spec(cell, job)
    if encoded.obsolete_keys:
        changes.deferred.append(DropProgress(tuple(encoded.obsolete_keys)))
    changes.records.extend(encoded.records)


def handle_persisted(cell: Cell, number: int, now: float) -> None:
    """Release the deferred actions of a change set once its last batch is recorded."""
    if number != cell.batch_number or not cell.batch_records:
        return
    cell.batch_records = ()
    if cell.change_set.is_encoded:
        _finish_change_set(cell, cell.change_set, now)


def _finish_change_set(cell: Cell, changes: ChangeSet, now: float) -> None:
    cell.change_set = None
    _release_deferred(cell, changes.deferred, now)


def handle_rejected(cell: Cell, number: int, now: float) -> None:
    """Encode a batch again in shorter records and batches, after the store rejected it for good.

    The store's limits may have been lowered since this leader read them.
    """
    if number != cell.batch_number or not cell.batch_records:
        return
    rejected, cell.batch_records = cell.batch_records, ()
    sizes = [record.append_size for record in rejected]
    cell.max_append_bytes = _lower_limit(cell.max_append_bytes, sum(sizes))
    cell.max_record_bytes = _lower_limit(cell.max_record_bytes, max(sizes))
    cell.limits_lowered_until = now + _LOWERED_LIMITS_SECONDS
    if sum(sizes) <= _MIN_LIMIT_BYTES:
        cell.next_batch_at = now + _REJECTED_DELAY_SECONDS
    cell.log_decision(
        "batch_rejected",
        str(number),
        records=len(sizes),
        bytes=sum(sizes),
        longest_bytes=max(sizes),
        max_append_bytes=cell.max_append_bytes,
        max_record_bytes=cell.max_record_bytes,
    )
    for job_id in dict.fromkeys(parse_progress_key(record.key) for record in rejected):
        _encode_again(cell, job_id)


def _lower_limit(limit: int, rejected: int) -> int:
    """Return a lower limit for lengths, after the store has rejected one."""
    return min(limit, max(_MIN_LIMIT_BYTES, rejected // 2))


def _encode_again(cell: Cell, job_id: JobId) -> None:
    """Have all progress of a job written again."""
    changes = cell.change_set
    changes.records = collections.deque(
        record for record in changes.records if parse_progress_key(record.key) != job_id
    )
    job = cell.jobs.get(job_id)
    if job is None:
        return
    if job.layout is not None:
        job.layout.forget_content()
    changes.jobs[job_id] = job


def release_held_starts(cell: Cell, job: Job, now: float) -> None:
    """Send the starts of a job that were held until its submission was recorded."""
    for item in cell.held_starts.pop(job.id, []):
        _send_start(cell, item, now)


def _release_deferred(cell: Cell, deferred: list[Deferred], now: float) -> None:
    for item in deferred:
        if isinstance(item, DeferredStart):
            _send_start(cell, item, now)
        elif isinstance(item, DeferredRenewal):
            _acknowledge_ends(cell, item, now)
        else:
            cell.emit(item)


def _send_start(cell: Cell, deferred: DeferredStart, now: float) -> None:
    task = deferred.task
    if not task.step.job.is_recorded:
        cell.held_starts.get(task.id.job, []).append(deferred)
        return
    worker = cell.workers.get(task.life)
    if task.run != deferred.run or task.phase is not Phase.RECORDED or worker is None:
        return
    step = task.step
    job = step.job
    if not _has_valid_tickets(task, now):
        # The worker would refuse the start, and the call would delay others.
        cell.log_decision("ticket_expired", job.id, task=task.id, run=task.run, worker=task.life)
        void_run(cell, task, now)
        return
    if not worker.still_holds(step.spec.room):
        cell.log_decision("start_over_room", job.id, task=task.id, run=task.run, worker=task.life)
        void_run(cell, task, now)
        return
    if not may_start_within_quota(cell, task):
        cell.log_decision("start_over_quota", job.id, task=task.id, run=task.run, team=job.team)
        void_run(cell, task, now)
        return
    if step.spec.gang:
        cell.starting_gangs[step.key] = step
    until = worker.extend_lease(now, cell.settings.lease_s)
    task.phase = Phase.ORDERED
    task.phase_since = task.ordered_at = now
    order = StartOrder(
        task=task.id,
        run=task.run,
        payload=job.accepted.spec.payload,
        token=cell.token,
        lease_until_ms=until,
        checkpoint=task.checkpoint,
        ticket="" if step.advice is None else step.advice.tickets[task.life][0],
    )
    cell.emit(SendStart(worker.life, order))
    if not worker.is_renewing:
        send_renewal(cell, worker, now, RENEW_WAIT_MS)


def _has_valid_tickets(task: Task, now: float) -> bool:
    """Check whether a task's ticket is valid; for the first member of a gang, check all members."""
    step = task.step
    advice = step.advice
    if advice is None:
        return True
    is_first = step.spec.gang and task is step.tasks[0]
    lives = [each.life for each in step.tasks] if is_first else [task.life]
    return all(advice.valid_ticket(life, now) is not None for life in lives)


def _acknowledge_ends(cell: Cell, deferred: DeferredRenewal, now: float) -> None:
    worker = cell.workers.get(deferred.life)
    if worker is None:
        return
    worker.last_recorded_end = max(worker.last_recorded_end, deferred.last_recorded_end)
    if not worker.is_renewing:
        send_renewal(cell, worker, now, RENEW_WAIT_MS)

"""Batches of progress records, and the actions deferred until each batch is recorded.

At most one batch is in flight.
"""

from .cell import Cell, Deferred, DeferredRenewal, DeferredStart
from .durability import RENEW_WAIT_MS, send_renewal
from .events import ForgetAccepted, Persist, ProgressRecord, SendStart
from .job_state import Job, Phase, Task
from .orders import StartOrder
from .progress import JobProgress, TaskProgress, encode
from .quotas import may_start_within_quota
from .runs import void_run

__all__ = ["handle_persisted", "release_held_starts", "send_batch"]

_MAX_BATCH_BYTES = 1_000_000
"""Size at which a batch is full, in bytes: half of the store's limit for one call."""


def send_batch(cell: Cell) -> None:
    """Send the next batch, unless one is in flight or there is nothing to send."""
    if cell.batch_deferred is not None or not (cell.dirty_jobs or cell.deferred):
        return
    records = []
    size = 0
    while cell.dirty_jobs and size < _MAX_BATCH_BYTES:
        job_id = next(iter(cell.dirty_jobs))
        job = cell.dirty_jobs.pop(job_id)
        progress = _build_progress(job, cell.token, cell.batch_number + 1)
        if progress.status.is_final and not progress.tasks:
            # A takeover reads all submission records, so keep only those of open jobs.
            cell.deferred.append(ForgetAccepted((job.record_name,)))
        data = encode(progress)
        size += len(data)
        records.append(ProgressRecord(job_id, data))
    if cell.dirty_jobs:
        # The deferred actions depend on all of these records, so they wait for the last batch.
        deferred = []
    else:
        deferred, cell.deferred = cell.deferred, []
    if not records:
        _release_deferred(cell, deferred, cell.now)
        return
    cell.batch_number += 1
    cell.batch_deferred = deferred
    cell.emit(Persist(cell.batch_number, tuple(records)))


def handle_persisted(cell: Cell, number: int, now: float) -> None:
    """Release the actions that were deferred until a batch was recorded."""
    if number != cell.batch_number or cell.batch_deferred is None:
        return
    deferred, cell.batch_deferred = cell.batch_deferred, None
    _release_deferred(cell, deferred, now)


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


def _build_progress(job: Job, epoch: int, batch: int) -> JobProgress:
    is_open = not job.status.is_final
    tasks = [
        TaskProgress(
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
        )
        for task in job.all_tasks()
        if task.life or (is_open and (task.run or task.phase is Phase.DONE))
    ]
    return JobProgress(job.status, tasks, job.team, epoch, batch)

"""Batches of progress records, and the actions deferred until each batch is stored.

At most one batch is in flight.
"""

from .cell import Cell, Held, HeldRenewal, HeldStart
from .durability import RENEW_WAIT_MS, renew
from .events import ForgetAccepted, Persist, ProgressRecord, SendStart
from .orders import StartOrder
from .parts import Job, Phase, Task
from .progress import JobProgress, TaskProgress, encode
from .quotas import may_start
from .runs import void_run

__all__ = ["flush", "take_persisted"]

_BATCH_BYTES = 1_000_000
"""Size at which a batch is full, in bytes: half of the store's limit for one call."""


def flush(cell: Cell) -> None:
    """Send the next batch, unless one is in flight or there is nothing to send."""
    if cell.batch_held is not None or not (cell.dirty or cell.held):
        return
    records = []
    size = 0
    while cell.dirty and size < _BATCH_BYTES:
        job_id = next(iter(cell.dirty))
        job = cell.dirty.pop(job_id)
        progress = _progress(job)
        if progress.status.is_final and not progress.tasks:
            # A takeover reads all acceptance records, so keep only those of open jobs.
            cell.held.append(ForgetAccepted((job.record_name,)))
        data = encode(progress)
        size += len(data)
        records.append(ProgressRecord(job_id, data))
    if cell.dirty:
        # The deferred actions depend on all of these records, so they wait for the last batch.
        held = []
    else:
        held, cell.held = cell.held, []
    if not records:
        _release(cell, held, cell.now)
        return
    cell.batch += 1
    cell.batch_held = held
    cell.emit(Persist(cell.batch, tuple(records)))


def take_persisted(cell: Cell, number: int, now: float) -> None:
    """Release the actions that were deferred until a batch was stored."""
    if number != cell.batch or cell.batch_held is None:
        return
    held, cell.batch_held = cell.batch_held, None
    _release(cell, held, now)


def _release(cell: Cell, held: list[Held], now: float) -> None:
    for item in held:
        if isinstance(item, HeldStart):
            _start(cell, item, now)
        elif isinstance(item, HeldRenewal):
            _acknowledge_ends(cell, item, now)
        else:
            cell.emit(item)


def _start(cell: Cell, held: HeldStart, now: float) -> None:
    task = held.task
    worker = cell.workers.get(task.life)
    if task.run != held.run or task.phase is not Phase.RECORDED or worker is None:
        return
    step = task.step
    job = step.job
    if not _has_tickets(task, now):
        # The worker would refuse the start, and the call would delay others.
        cell.tell("ticket_expired", job.id, task=task.id, run=task.run, worker=task.life)
        void_run(cell, task, now)
        return
    if not worker.still_holds(step.spec.room):
        cell.tell("start_over_room", job.id, task=task.id, run=task.run, worker=task.life)
        void_run(cell, task, now)
        return
    if not may_start(cell, task):
        cell.tell("start_over_quota", job.id, task=task.id, run=task.run, team=job.team)
        void_run(cell, task, now)
        return
    if step.spec.gang:
        cell.starting_gangs[step.key] = step
    until = worker.extend_lease(now, cell.settings.lease_s)
    task.phase = Phase.ORDERED
    task.since = task.ordered_at = now
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
    if not worker.renewing:
        renew(cell, worker, now, RENEW_WAIT_MS)


def _has_tickets(task: Task, now: float) -> bool:
    """Check whether a task's ticket is valid; for the first member of a gang, check all members."""
    step = task.step
    advice = step.advice
    if advice is None:
        return True
    is_first = step.spec.gang and task is step.tasks[0]
    lives = [each.life for each in step.tasks] if is_first else [task.life]
    return all(advice.valid_ticket(life, now) is not None for life in lives)


def _acknowledge_ends(cell: Cell, held: HeldRenewal, now: float) -> None:
    worker = cell.workers.get(held.life)
    if worker is None:
        return
    worker.seen_ends = max(worker.seen_ends, held.seen_ends)
    if not worker.renewing:
        renew(cell, worker, now, RENEW_WAIT_MS)


def _progress(job: Job) -> JobProgress:
    keeps_all = not job.status.is_final
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
        if task.life or (keeps_all and (task.run or task.phase is Phase.DONE))
    ]
    return JobProgress(job.status, tasks, job.team)

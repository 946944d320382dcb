"""What must be on record before it takes effect: batches, one on its way at a time."""

from .cell import Cell, HeldRenewal, HeldStart, Job, Phase
from .events import Persist, ProgressRecord, SendRenew, SendStart
from .model import JobStatus
from .orders import RenewOrder, StartOrder
from .progress import JobProgress, TaskProgress, encode
from .workers import Worker

__all__ = ["flush", "mark", "renew", "take_persisted"]

_BATCH_BYTES = 1_000_000
"""The most bytes of one batch: half of what the store takes in one call."""

_STORE_RENEWAL_SECONDS = 0.5
"""How often a worker is renewed while its ends wait to be on record."""

RENEW_WAIT_MS = 500
"""How long a worker may wait for an end before it answers; where the answer is lost, its ends
are not seen for so long."""


def mark(cell: Cell, job: Job) -> None:
    """Have a job's progress put on record with the next batch."""
    cell.dirty[job.id] = job


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
        )
        for task in job.all_tasks()
        if task.life or (keeps_all and (task.run or task.phase is Phase.DONE))
    ]
    return JobProgress(job.status, tasks)


def flush(cell: Cell) -> None:
    """Send the next batch, unless one is on its way or there is nothing to send."""
    if cell.batch_held is not None or not (cell.dirty or cell.held):
        return
    records = []
    size = 0
    while cell.dirty and size < _BATCH_BYTES:
        job_id = next(iter(cell.dirty))
        data = encode(_progress(cell.dirty.pop(job_id)))
        size += len(data)
        records.append(ProgressRecord(job_id, data))
    if cell.dirty:
        # What is held rests on all of them; it goes with the last batch.
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
    """Let go what waited for a batch that is on record now."""
    if number != cell.batch or cell.batch_held is None:
        return
    held, cell.batch_held = cell.batch_held, None
    _release(cell, held, now)


def _release(cell: Cell, held: list, now: float) -> None:
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
    until = worker.lease_end(now, cell.settings.lease_s)
    worker.lease_until_ms = max(worker.lease_until_ms, until)
    ticket = ""
    if step.advice is not None:
        ticket = step.advice.tickets.get(task.life, ("", 0.0))[0]
    task.phase = Phase.ORDERED
    task.since = now
    order = StartOrder(
        task=task.id,
        run=task.run,
        payload=job.accepted.spec.payload,
        token=cell.token,
        lease_until_ms=until,
        checkpoint=task.checkpoint,
        ticket=ticket,
    )
    cell.emit(SendStart(worker.life, order))
    if job.status is JobStatus.PENDING:
        job.status = JobStatus.RUNNING
        cell.publish(job)
    if not worker.renewing:
        renew(cell, worker, now, RENEW_WAIT_MS)


def _acknowledge_ends(cell: Cell, held: HeldRenewal, now: float) -> None:
    worker = cell.workers.get(held.life)
    if worker is None:
        return
    worker.seen_ends = max(worker.seen_ends, held.seen_ends)
    if not worker.renewing:
        renew(cell, worker, now, RENEW_WAIT_MS)


def renew(cell: Cell, worker: Worker, now: float, wait_ms: int) -> None:
    """Renew a worker's lease and look at it.

    A worker that does not answer is only looked at: a lease that may have been renewed would
    never be known to be over.
    """
    until = 0
    if worker.runs and worker.clock_ms and worker.silent_since is None:
        until = worker.lease_end(now, cell.settings.lease_s)
        worker.lease_until_ms = max(worker.lease_until_ms, until)
    if worker.known_ends > worker.seen_ends or not worker.settled:
        # Ends that it may not forget yet make it answer at once, however long it may wait.
        wait_ms = 0
    worker.renewing = True
    worker.next_renew_at = now + _STORE_RENEWAL_SECONDS
    cell.emit(SendRenew(worker.life, RenewOrder(cell.token, worker.seen_ends, until, wait_ms, now)))

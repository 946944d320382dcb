"""How a worker's life begins and ends for the leader: the list, and refusals of a whole life."""

from .cell import Cell, Orphan
from .durability import send_renewal
from .events import CloseWorker, OpenWorker, StepDown
from .lives import worker_id_of
from .lost_runs import charge_confirmed_crashes, charge_orphan, lose_runs
from .occupancy import occupy, vacate
from .orders import Refusal
from .suspects import IsolationLevel, record_crash, record_suspect
from .workers import Worker, WorkerEntry

__all__ = [
    "end_life",
    "handle_life_refusal",
    "handle_worker_delisted",
    "handle_worker_listed",
    "list_pending_workers",
]


_NEXT_LIFE_REASON = "its worker has begun another life"


def handle_worker_listed(cell: Cell, entry: WorkerEntry, now: float) -> None:
    """Take over a worker's entry."""
    _end_previous_life(cell, entry, now)
    if entry.life in cell.ended_lives:
        return
    worker = cell.workers.get(entry.life)
    if worker is not None:
        if entry.draining and not worker.entry.draining:
            cell.log_decision("worker_draining", entry.life, remaining_ms=entry.remaining_ms)
        worker.entry = entry
        worker.listed = True
        return
    if not cell.is_known_service(entry.service):
        if entry.life not in cell.unknown_service_workers:
            cell.log_decision(
                "worker_unnamed", entry.life, service=entry.service, address=entry.address
            )
        cell.unknown_service_workers[entry.life] = entry
        return
    worker = Worker(entry)
    cell.workers[entry.life] = worker
    cell.log_decision("worker_listed", entry.life, service=entry.service, address=entry.address)
    for orphan in cell.orphans.pop(entry.worker, []):
        _adopt_orphan(cell, worker, orphan, now)
    cell.emit(OpenWorker(entry.life, entry.address))
    send_renewal(cell, worker, now, 0)


def _adopt_orphan(cell: Cell, worker: Worker, orphan: Orphan, now: float) -> None:
    """Count a run as there, for now, that waited for a life of its worker."""
    task, run = orphan.task, orphan.run
    vacate(cell, orphan.life, task.id, run)
    if not task.is_current_run(run, orphan.life):
        return
    task.life = worker.life
    occupy(cell, worker, task.id, run, task.step)
    record_suspect(worker, task, IsolationLevel.FROM_SUSPECTS)
    if orphan.life not in (worker.life, worker.entry.worker):
        # The life before is over; but its start may yet be carried out by this one.
        worker.inherited.add((task.id, run))
        charge_orphan(cell, task, orphan.life, now)


def _end_previous_life(cell: Cell, entry: WorkerEntry, now: float) -> None:
    """Take the life that was listed under a worker's id before as over, where it is another one.

    Whichever was listed last counts: a time of day may be set back between two lives.
    """
    previous_life = cell.newest_lives.get(entry.worker)
    cell.newest_lives[entry.worker] = entry.life
    if previous_life is None or previous_life == entry.life:
        return
    cell.unknown_service_workers.pop(previous_life, None)
    worker = cell.workers.get(previous_life)
    if worker is not None:
        has_crashed = not worker.entry.draining
        end_life(cell, worker, now, _NEXT_LIFE_REASON, has_crashed, has_next_life=True)
    cell.ended_lives.discard(previous_life)


def list_pending_workers(cell: Cell, now: float) -> None:
    """Take over the entries of workers whose service has come to be named."""
    waiting, cell.unknown_service_workers = cell.unknown_service_workers, {}
    for entry in waiting.values():
        handle_worker_listed(cell, entry, now)


def handle_worker_delisted(cell: Cell, life: str, may_return: bool, now: float) -> None:
    """Note that an entry is gone; what runs there runs on until its lease is over.

    An entry that goes while the store is well is that of a worker that leaves without having
    said so, is cut off, or is gone.
    """
    cell.ended_lives.discard(life)
    cell.unknown_service_workers.pop(life, None)
    worker = cell.workers.get(life)
    if worker is None:
        _forget_newest_life(cell, life)
        return
    if not worker.listed:
        return
    worker.listed = False
    worker.delisted_at = now
    worker.may_return = may_return
    cell.log_decision("worker_delisted", life, runs=len(worker.runs), may_return=may_return)


def end_life(
    cell: Cell,
    worker: Worker,
    now: float,
    reason: str,
    has_crashed: bool = False,
    has_next_life: bool = False,
) -> None:
    """Take a worker's life as over, and with it all that ran there.

    A start that it did not answer may yet be carried out by its next life under the same id.
    """
    if has_crashed:
        record_crash(cell, worker, now)
        charge_confirmed_crashes(cell, worker, now)
    lose_runs(cell, worker, now, reason, has_crashed, has_next_life)
    del cell.workers[worker.life]
    if worker.listed:
        cell.ended_lives.add(worker.life)
    else:
        _forget_newest_life(cell, worker.life)
    cell.emit(CloseWorker(worker.life))
    cell.log_decision("worker_ended", worker.life, reason=reason)


def _forget_newest_life(cell: Cell, life: str) -> None:
    """Forget a life of which nothing is kept any more."""
    worker = worker_id_of(life)
    if cell.newest_lives.get(worker) == life:
        del cell.newest_lives[worker]


def handle_life_refusal(cell: Cell, worker: Worker, refusal: Refusal | None, now: float) -> bool:
    """Take over a refusal that tells of the worker as a whole; tell whether this one did."""
    if refusal is Refusal.OTHER_LIFE:
        has_crashed = not worker.entry.draining
        end_life(cell, worker, now, "another life answered at its address", has_crashed)
        return True
    if refusal is Refusal.NEXT_LIFE:
        end_life(
            cell, worker, now, _NEXT_LIFE_REASON, not worker.entry.draining, has_next_life=True
        )
        return True
    if refusal is Refusal.FENCED:
        cell.emit(StepDown(f"worker {worker.life} has seen a higher token"))
        return True
    return False

"""Beginning and end of worker lives: store entries, and refusals that end a life."""

from .cell import Cell, Orphan
from .durability import send_renewal
from .events import CloseWorker, OpenWorker, StepDown
from .lives import begins_later, worker_id_of
from .lost_runs import (
    acquit_departed,
    charge_orphan,
    lose_runs,
    resolve_losses,
    resolve_replaced_lives,
)
from .machine_speeds import lasting_slowness
from .occupancy import occupy, vacate
from .orders import Refusal
from .suspects import IsolationLevel, record_crash, record_suspect
from .workers import Worker, WorkerEntry

__all__ = [
    "adopt_orphan",
    "end_life",
    "find_known_life",
    "handle_life_refusal",
    "handle_worker_delisted",
    "handle_worker_listed",
    "list_pending_workers",
]


_NEXT_LIFE_REASON = "the worker restarted under its id"


def handle_worker_listed(cell: Cell, entry: WorkerEntry, now: float) -> None:
    """Handle a worker's entry in the store, which may be new or updated."""
    cell.unproven_entries.pop(entry.worker, None)
    if _may_precede_known_life(cell, entry):
        _await_proof(cell, entry, now)
        return
    _end_previous_life(cell, entry, now)
    if entry.draining:
        # On record before the worker is forgotten, since its next life may be seen much later.
        acquit_departed(cell, entry.life)
    if entry.life in cell.ended_lives:
        return
    worker = cell.workers.get(entry.life)
    if worker is not None:
        if entry.draining and not worker.entry.draining:
            cell.log_decision("worker_draining", entry.life, remaining_ms=entry.remaining_ms)
        worker.entry = entry
        worker.listed = True
        worker.has_left = False
        return
    if not cell.is_known_service(entry.service):
        if entry.life not in cell.unknown_service_workers:
            cell.log_decision(
                "worker_unnamed", entry.life, service=entry.service, address=entry.address
            )
        cell.unknown_service_workers[entry.life] = entry
        return
    worker = Worker(entry)
    worker.log_slowness = lasting_slowness(cell, worker)
    cell.workers[entry.life] = worker
    cell.log_decision("worker_listed", entry.life, service=entry.service, address=entry.address)
    resolve_replaced_lives(cell, entry, now)
    for orphan in cell.orphans.pop(entry.worker, []):
        adopt_orphan(cell, worker, orphan, now)
    cell.emit(OpenWorker(entry.life, entry.address))
    send_renewal(cell, worker, now, 0)


def adopt_orphan(cell: Cell, worker: Worker, orphan: Orphan, now: float) -> None:
    """Assign a run that waited for a life of its worker to that life, until it reports."""
    task, run = orphan.task, orphan.run
    vacate(cell, orphan.life, task.id, run)
    if not task.is_current_run(run, orphan.life):
        return
    task.life = worker.life
    occupy(cell, worker, task.id, run, task.step)
    record_suspect(worker, task, IsolationLevel.FROM_SUSPECTS)
    if orphan.life not in (worker.life, worker.entry.worker):
        # The previous life has ended, but this one may still execute the start.
        worker.inherited.add((task.id, run))
        charge_orphan(cell, task, orphan.life, now, is_replaced=True)
    task.address = worker.entry.address


def find_known_life(cell: Cell, worker_id: str) -> Worker | None:
    """Return the life of a worker that was listed last, or None if it is not known or has ended."""
    return cell.workers.get(cell.newest_lives.get(worker_id, ""))


def _may_precede_known_life(cell: Cell, entry: WorkerEntry) -> bool:
    """Check whether an entry may be older than the known life of its worker, or not the worker's.

    Only the worker's answer then tells whether a clock was set back between two lives.
    """
    known = find_known_life(cell, entry.worker)
    if known is None or known.life in (entry.life, entry.worker):
        return False
    return not begins_later(entry.life, known.life)


def _await_proof(cell: Cell, entry: WorkerEntry, now: float) -> None:
    """Ask the known life of a worker, and keep an entry of another one until the known one ends."""
    known = find_known_life(cell, entry.worker)
    cell.unproven_entries[entry.worker] = entry
    cell.log_decision("worker_life_unproven", entry.life, known=known.life, runs=len(known.runs))
    _delist(cell, known, may_return=True, now=now)
    if not known.is_renewing:
        send_renewal(cell, known, now, 0)


def _end_previous_life(cell: Cell, entry: WorkerEntry, now: float) -> None:
    """End the life that was listed before under a worker's id, if it is another one."""
    previous_life = cell.newest_lives.get(entry.worker)
    cell.newest_lives[entry.worker] = entry.life
    if previous_life is None or previous_life == entry.life:
        return
    cell.unknown_service_workers.pop(previous_life, None)
    worker = cell.workers.get(previous_life)
    if worker is not None:
        end_life(cell, worker, now, _NEXT_LIFE_REASON, is_replaced=True, has_next_life=True)
    cell.ended_lives.discard(previous_life)


def list_pending_workers(cell: Cell, now: float) -> None:
    """Handle the pending entries of workers again after a change to the known services."""
    waiting, cell.unknown_service_workers = cell.unknown_service_workers, {}
    for entry in waiting.values():
        handle_worker_listed(cell, entry, now)


def handle_worker_delisted(cell: Cell, life: str, may_return: bool, now: float) -> None:
    """Handle the removal of a worker's entry; its runs continue until their lease expires.

    If the store is healthy, a removed entry means that the worker shut down without draining, is
    partitioned, or has ended.
    """
    cell.ended_lives.discard(life)
    cell.unknown_service_workers.pop(life, None)
    unproven = cell.unproven_entries.get(worker_id_of(life))
    if unproven is not None and unproven.life == life:
        del cell.unproven_entries[unproven.worker]
    worker = cell.workers.get(life)
    if worker is None:
        _forget_newest_life(cell, life)
    else:
        _delist(cell, worker, may_return, now)


def _delist(cell: Cell, worker: Worker, may_return: bool, now: float) -> None:
    if not worker.listed:
        return
    worker.listed = False
    worker.delisted_at = now
    worker.may_return = may_return
    cell.log_decision("worker_delisted", worker.life, runs=len(worker.runs), may_return=may_return)


def end_life(
    cell: Cell,
    worker: Worker,
    now: float,
    reason: str,
    is_replaced: bool = False,
    has_next_life: bool = False,
) -> None:
    """End a worker's life, and mark all runs on it as lost.

    Parameters
    ----------
    is_replaced
        Whether another life has answered in its place, so that it certainly has ended.
    has_next_life
        Whether that life has the same id: it may still execute a start that was not answered.
    """
    if is_replaced:
        if not worker.is_leaving:
            record_crash(cell, worker, now)
        resolve_losses(cell, worker.life, now, worker.is_leaving)
    elif worker.is_leaving:
        acquit_departed(cell, worker.life)
    lose_runs(cell, worker, now, reason, is_replaced, has_next_life)
    del cell.workers[worker.life]
    if worker.listed:
        cell.ended_lives.add(worker.life)
    else:
        _forget_newest_life(cell, worker.life)
    cell.emit(CloseWorker(worker.life))
    cell.log_decision("worker_ended", worker.life, reason=reason)
    unproven = cell.unproven_entries.get(worker.entry.worker)
    if unproven is not None:
        handle_worker_listed(cell, unproven, now)


def _forget_newest_life(cell: Cell, life: str) -> None:
    """Drop the newest-life entry of a worker whose life is no longer tracked."""
    worker = worker_id_of(life)
    if cell.newest_lives.get(worker) == life:
        del cell.newest_lives[worker]


def handle_life_refusal(cell: Cell, worker: Worker, refusal: Refusal | None, now: float) -> bool:
    """Handle a refusal that concerns the worker's life; return whether it was one."""
    if refusal is Refusal.OTHER_LIFE:
        reason = "another life answered at the worker's address"
        end_life(cell, worker, now, reason, is_replaced=True)
        return True
    if refusal is Refusal.NEXT_LIFE:
        end_life(cell, worker, now, _NEXT_LIFE_REASON, is_replaced=True, has_next_life=True)
        return True
    if refusal is Refusal.FENCED:
        cell.emit(StepDown(f"worker {worker.life} has seen a higher token"))
        return True
    return False

"""How a worker's life begins and ends for the leader: the list, and refusals of a whole life."""

from .cell import Cell
from .durability import renew
from .events import CloseWorker, OpenWorker, StepDown
from .lost_runs import charge_late, lose_runs
from .occupancy import occupy, vacate
from .orders import Refusal
from .suspects import Company, note_crash, note_suspect
from .workers import Worker, WorkerEntry

__all__ = ["delist_worker", "end_life", "list_named_workers", "list_worker", "take_life_refusal"]


def list_worker(cell: Cell, entry: WorkerEntry, now: float) -> None:
    """Take over a worker's entry."""
    if entry.life in cell.ended_lives:
        return
    worker = cell.workers.get(entry.life)
    if worker is not None:
        if entry.draining and not worker.entry.draining:
            cell.tell("worker_draining", entry.life, remaining_ms=entry.remaining_ms)
        worker.entry = entry
        worker.listed = True
        return
    if not cell.names_service(entry.service):
        if entry.life not in cell.unnamed:
            cell.tell("worker_unnamed", entry.life, service=entry.service, address=entry.address)
        cell.unnamed[entry.life] = entry
        return
    worker = Worker(entry)
    cell.workers[entry.life] = worker
    cell.tell("worker_listed", entry.life, service=entry.service, address=entry.address)
    for orphan in cell.orphans.pop(entry.life, []):
        if orphan.task.is_current_run(orphan.run, entry.life):
            occupy(cell, worker, orphan.task.id, orphan.run, orphan.task.step)
            note_suspect(worker, orphan.task, Company.NO_SUSPECT)
        else:
            vacate(cell, entry.life, orphan.task.id, orphan.run)
    cell.emit(OpenWorker(entry.life, entry.address))
    renew(cell, worker, now, 0)


def list_named_workers(cell: Cell, now: float) -> None:
    """Take over the entries of workers whose service has come to be named."""
    waiting, cell.unnamed = cell.unnamed, {}
    for entry in waiting.values():
        list_worker(cell, entry, now)


def delist_worker(cell: Cell, life: str, may_return: bool, now: float) -> None:
    """Note that an entry is gone; what runs there runs on until its lease is over.

    An entry that goes while the store is well is that of a worker that leaves without having
    said so, is cut off, or is gone.
    """
    cell.ended_lives.discard(life)
    cell.unnamed.pop(life, None)
    worker = cell.workers.get(life)
    if worker is None or not worker.listed:
        return
    worker.listed = False
    worker.delisted_at = now
    worker.may_return = may_return
    cell.tell("worker_delisted", life, runs=len(worker.runs), may_return=may_return)


def end_life(
    cell: Cell, worker: Worker, now: float, reason: str, has_crashed: bool = False
) -> None:
    """Take a worker's life as over, and with it all that ran there."""
    if has_crashed:
        note_crash(cell, worker, now)
        charge_late(cell, worker, now)
    lose_runs(cell, worker, now, reason, has_crashed)
    del cell.workers[worker.life]
    if worker.listed:
        cell.ended_lives.add(worker.life)
    cell.emit(CloseWorker(worker.life))
    cell.tell("worker_ended", worker.life, reason=reason)


def take_life_refusal(cell: Cell, worker: Worker, refusal: Refusal | None, now: float) -> bool:
    """Take over a refusal that tells of the worker as a whole; tell whether this one did."""
    if refusal is Refusal.OTHER_LIFE:
        has_crashed = not worker.entry.draining
        end_life(cell, worker, now, "another life answered at its address", has_crashed)
        return True
    if refusal is Refusal.FENCED:
        cell.emit(StepDown(f"worker {worker.life} has seen a higher token"))
        return True
    return False

"""Handlers of worker records."""

from ..effects import Accepted, StopRequired, Verdict, WorkerAdded, WorkerWithdrawn
from ..records import WorkerGone, WorkerLeaving, WorkerSeen
from ..state import VmState, Worker, parse_attempt_id
from ._common import Context, require

__all__ = ["HANDLERS"]


def _apply_worker_seen(context: Context, record: WorkerSeen) -> Verdict:
    workers = context.state.workers
    known = workers.get(record.worker)
    require(known is None or known.boot != record.boot, "the worker is known already")
    # Attempts of an earlier boot hold their capacity until their ends are recorded; the new
    # boot reports them as absent.
    attempts = {} if known is None else known.attempts
    require(known is None or known.state != VmState.GONE or not attempts, "attempts are still open")
    worker = Worker(
        name=record.worker,
        boot=record.boot,
        capacity=record.capacity,
        rack=record.rack,
        hall=record.hall,
        address=record.address,
        attempts=attempts,
    )
    for size in attempts.values():
        worker.used = worker.used.plus(size)
    workers[record.worker] = worker
    if record.worker in context.state.unfenced_workers:
        context.state.unfenced_workers.remove(record.worker)
    context.effects.append(WorkerAdded(record.worker))
    return Accepted()


def _apply_worker_leaving(context: Context, record: WorkerLeaving) -> Verdict:
    worker = context.state.workers.get(record.worker)
    require(worker is not None, "unknown worker")
    require(worker.state == VmState.LIVE, "the worker is not live")
    worker.state = VmState.LEAVING
    context.effects.append(WorkerWithdrawn(worker.name, gone=False))
    for name in worker.attempts:
        _stop_attempt(context, name)
    return Accepted()


def _stop_attempt(context: Context, name: str) -> None:
    number, task, attempt = parse_attempt_id(name)
    work = context.state.works[number]
    # Non-preemptible work runs until the VM ends.
    if not work.spec.preemptible or work.tasks[task].stopping:
        return
    work.tasks[task].stopping = True
    worker = work.tasks[task].worker
    context.effects.append(StopRequired(number, task, attempt, worker, "checkpoint"))


def _apply_worker_gone(context: Context, record: WorkerGone) -> Verdict:
    state = context.state
    worker = state.workers.get(record.worker)
    require(worker is not None, "unknown worker")
    require(worker.boot == record.boot, "the worker has another boot")
    require(worker.state != VmState.GONE, "the worker is gone already")
    worker.state = VmState.GONE
    worker.gone_offset = context.offset
    state.unfenced_workers.append(worker.name)
    context.effects.append(WorkerWithdrawn(worker.name, gone=True))
    return Accepted()


HANDLERS = {
    WorkerSeen: _apply_worker_seen,
    WorkerLeaving: _apply_worker_leaving,
    WorkerGone: _apply_worker_gone,
}

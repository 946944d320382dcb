"""Advice for long-running tasks that is requested before their runs are declared lost.

A run on a silent worker is lost once all its leases have expired. That time is known in advance,
and an answer of the advice service takes about a second. It is requested so early that the task can
start again as soon as its run is lost.
"""

import collections
import dataclasses
import itertools
from collections.abc import Iterator

from .advice_limits import may_request_early_advice
from .candidates import count_slots, is_bulky
from .cell import Cell
from .job_state import Phase, Step, Task
from .placement_advice import (
    needs_advice,
    request_early_advice,
    ticket_lifetime_seconds,
)
from .worker_pools import WorkerPool, WorkerPools
from .worker_watch import run_expiry_of_orphan, run_expiry_on_worker

__all__ = ["prepare_restarts"]

_RESTART_SECONDS = 0.3
"""How long tickets must remain valid after the loss: a tick, and the record of the placement."""


@dataclasses.dataclass(frozen=True, slots=True)
class _ImminentLoss:
    """Tasks of one step whose runs are about to be lost: their number, and when the first is."""

    step: Step
    task_count: int
    lost_at: float


def prepare_restarts(cell: Cell, now: float) -> None:
    """Request advice for the long-running tasks that are about to be lost with their workers."""
    losses = _find_imminent_losses(cell, now)
    if not losses:
        return
    pools = WorkerPools(cell, now)
    for loss in losses:
        _prepare_restart(cell, loss, pools.pool_for(loss.step), now)


def _find_imminent_losses(cell: Cell, now: float) -> list[_ImminentLoss]:
    """Return the losses for which tickets requested now would be valid, the next one first.

    Steps that already wait are left out, since they request advice anyway.
    """
    times: dict[Step, list[float]] = collections.defaultdict(list)
    for task, lost_at in _find_silent_runs(cell):
        step = task.step
        if lost_at <= now or step.key in cell.waiting_steps or not _must_run_again(task):
            continue
        if needs_advice(cell, step):
            expires_at = now + ticket_lifetime_seconds(step.advice)
            if lost_at + _RESTART_SECONDS <= expires_at:
                times[step].append(lost_at)
    losses = [_ImminentLoss(step, len(of_step), min(of_step)) for step, of_step in times.items()]
    return sorted(losses, key=lambda loss: loss.lost_at)


def _find_silent_runs(cell: Cell) -> Iterator[tuple[Task, float]]:
    """Yield the tasks whose runs are on silent or unknown workers, and when they are lost."""
    for worker in cell.workers.values():
        if worker.silent_since is None or not worker.runs:
            continue
        lost_at = run_expiry_on_worker(cell, worker)
        for task_id, run in worker.runs:
            task = cell.find_task(task_id)
            if task is not None and task.is_current_run(run, worker.life):
                yield task, lost_at
    for orphan in itertools.chain.from_iterable(cell.orphans.values()):
        if orphan.task.is_current_run(orphan.run, orphan.life):
            yield orphan.task, run_expiry_of_orphan(cell, orphan)


def _must_run_again(task: Task) -> bool:
    """Check whether a task is a single long-running one that is still needed."""
    spec = task.step.spec
    is_needed = task.phase is not Phase.DONE and not task.step.job.status.is_final
    return spec.long_running and not spec.gang and is_needed


def _prepare_restart(cell: Cell, loss: _ImminentLoss, pool: WorkerPool, now: float) -> None:
    step, wanted = loss.step, loss.task_count
    workers = pool.by_free_cpu
    step.is_bulky = is_bulky(step, pool.capacity)
    needed_until = loss.lost_at + _RESTART_SECONDS
    ready = [
        worker
        for worker in workers
        if step.advice.valid_ticket(worker.life, needed_until) is not None
    ]
    slots = sum(count_slots(step, worker, worker.unreserved_room(step.key)) for worker in ready)
    if slots < wanted and may_request_early_advice(cell, step, now):
        fit = [worker for worker in workers if worker.life in step.advice.tickets]
        request_early_advice(cell, step, workers, fit, wanted, now)

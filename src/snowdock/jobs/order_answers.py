"""Handling of workers' answers to start and stop orders, and of missing answers."""

from .cell import Cell
from .durability import RENEW_WAIT_MS, renew
from .events import StartAnswered, StopAnswered
from .orders import Refusal
from .parts import Phase, Task
from .runs import note_begun, refuse_run, stop_run, void_run
from .set_aside import set_aside
from .worker_lives import take_life_refusal
from .workers import AsideCause, Worker

__all__ = ["take_start_answer", "take_stop_answer"]

_ABOUT_THE_ORDER = (Refusal.SUPERSEDED, Refusal.MALFORMED)
"""Refusals caused by the order and not by the worker's state; an invalid ticket is another one."""

_UNWELL_SECONDS = 1.0
"""Quarantine time of a worker that refused a start, or did not answer it."""


def take_start_answer(cell: Cell, event: StartAnswered, now: float) -> None:
    """Handle the answer to a start, or its absence."""
    worker = cell.workers.get(event.life)
    task = cell.find_task(event.task)
    if worker is None:
        return
    result = event.result
    if result is not None:
        worker.note_clock(result.clock_ms, now)
        if take_life_refusal(cell, worker, result.refusal, now):
            return
    if task is None or not task.is_current_run(event.run, event.life):
        return
    if result is None:
        _doubt_start(cell, worker, task, now)
    elif result.refusal is None:
        task.is_told = True
        if task.phase is Phase.ORDERED:
            task.phase = Phase.RUNNING
            task.since = now
            note_begun(cell, task.step.job)
    elif task.phase in (Phase.ORDERED, Phase.STOPPING):
        _take_refusal(cell, worker, task, result.refusal, now)


def _doubt_start(cell: Cell, worker: Worker, task: Task, now: float) -> None:
    cell.tell("start_unanswered", task.id.job, task=task.id, run=task.run, worker=worker.life)
    set_aside(cell, worker, AsideCause.UNANSWERED, _UNWELL_SECONDS, now)
    if task.phase is not Phase.ORDERED:
        return
    task.phase = Phase.UNSURE
    task.since = now
    if task.step.spec.gang:
        # The other members wait for it, for a limited time only.
        stop_run(cell, task, now)
    if not worker.renewing:
        renew(cell, worker, now, 0)


def _take_refusal(cell: Cell, worker: Worker, task: Task, refusal: Refusal, now: float) -> None:
    cell.tell(
        "start_refused",
        task.id.job,
        task=task.id,
        run=task.run,
        worker=worker.life,
        reason=refusal.value,
    )
    step = task.step
    if refusal is Refusal.TICKET and step.advice is not None:
        step.advice.tickets[worker.life] = ("", 0.0)
    elif refusal not in _ABOUT_THE_ORDER:
        set_aside(cell, worker, AsideCause.REFUSED, _UNWELL_SECONDS, now)
    run = task.run
    void_run(cell, task, now)
    if refusal is Refusal.MALFORMED:
        # Other workers would refuse it as well: without a limit the job would never end.
        refuse_run(cell, task, run, worker.life, now)


def take_stop_answer(cell: Cell, event: StopAnswered, now: float) -> None:
    """Handle the answer to a stop; the run's end itself comes with a later report."""
    worker = cell.workers.get(event.life)
    if worker is None:
        return
    if take_life_refusal(cell, worker, event.refusal, now):
        return
    stop = cell.stops.get((event.life, event.task, event.run))
    if stop is None or not event.answered:
        return
    if stop.answered_at is None:
        # The first answer counts: a repeated stop must not postpone what depends on its time.
        stop.answered_at = now
    if not worker.renewing:
        renew(cell, worker, now, RENEW_WAIT_MS)

"""Handling of workers' answers to start and stop orders, and of missing answers."""

from .cell import Cell
from .durability import RENEW_WAIT_MS, send_renewal
from .events import StartAnswered, StopAnswered
from .job_state import Phase, Task
from .orders import Refusal
from .quarantine import quarantine
from .runs import mark_job_running, postpone_malformed_start, stop_run, void_run
from .worker_lives import handle_life_refusal
from .workers import QuarantineCause, Worker

__all__ = ["handle_start_answer", "handle_stop_answer"]

_ORDER_REFUSALS = (Refusal.SUPERSEDED, Refusal.MALFORMED)
"""Refusals caused by the order and not by the worker's state; an invalid ticket is another one."""

_ACCEPTED_STOP_ANSWERS = (None, Refusal.SUPERSEDED)
"""Answers to a stop after which the worker starts the run no more: it has accepted the stop, or a
later run of the task has ended there. A stop refused for another reason has no effect."""

_REFUSAL_QUARANTINE_SECONDS = 1.0
"""Quarantine time of a worker that refused a start, or did not answer it."""


def handle_start_answer(cell: Cell, event: StartAnswered, now: float) -> None:
    """Handle the answer to a start, or its absence."""
    worker = cell.workers.get(event.life)
    task = cell.find_task(event.task)
    if worker is None:
        return
    result = event.result
    if result is not None:
        worker.update_clock(result.clock_ms, now)
        if handle_life_refusal(cell, worker, result.refusal, now):
            return
    if task is None or not task.is_current_run(event.run, event.life):
        return
    if result is None:
        _handle_unanswered_start(cell, worker, task, now)
    elif result.refusal is None:
        task.is_confirmed = True
        task.seen_at = now
        task.malformed_starts = 0
        if task.phase is Phase.ORDERED:
            task.phase = Phase.RUNNING
            task.phase_since = now
            mark_job_running(cell, task.step.job)
    elif task.phase in (Phase.ORDERED, Phase.STOPPING):
        _handle_refusal(cell, worker, task, result.refusal, now)


def _handle_unanswered_start(cell: Cell, worker: Worker, task: Task, now: float) -> None:
    cell.log_decision(
        "start_unanswered", task.id.job, task=task.id, run=task.run, worker=worker.life
    )
    quarantine(cell, worker, QuarantineCause.UNANSWERED, _REFUSAL_QUARANTINE_SECONDS, now)
    if task.phase is not Phase.ORDERED:
        return
    task.phase = Phase.UNSURE
    task.phase_since = now
    if task.step.spec.gang:
        # The other members wait for it, for a limited time only.
        stop_run(cell, task, now)
    if not worker.is_renewing:
        send_renewal(cell, worker, now, 0)


def _handle_refusal(cell: Cell, worker: Worker, task: Task, refusal: Refusal, now: float) -> None:
    cell.log_decision(
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
    elif refusal not in _ORDER_REFUSALS:
        quarantine(cell, worker, QuarantineCause.REFUSED, _REFUSAL_QUARANTINE_SECONDS, now)
    void_run(cell, task, now)
    if refusal is Refusal.MALFORMED:
        postpone_malformed_start(cell, task, worker.life, now)


def handle_stop_answer(cell: Cell, event: StopAnswered, now: float) -> None:
    """Handle the answer to a stop; the run's end itself comes with a later report."""
    worker = cell.workers.get(event.life)
    if worker is None:
        return
    if handle_life_refusal(cell, worker, event.refusal, now):
        return
    stop = cell.pending_stops.get((event.life, event.task, event.run))
    if stop is None or not event.answered:
        return
    if event.refusal not in _ACCEPTED_STOP_ANSWERS:
        cell.log_decision(
            "stop_refused",
            event.task.job,
            task=event.task,
            run=event.run,
            worker=event.life,
            reason=event.refusal.value,
        )
        return
    if stop.answered_at is None:
        # The first answer counts: a repeated stop must not postpone what depends on its time.
        stop.answered_at = now
    if not worker.is_renewing:
        send_renewal(cell, worker, now, RENEW_WAIT_MS)

"""Handling of answers to renewals: workers' reports of their runs, and missing answers."""

from ..declarations import ZERO
from .cell import Cell
from .durability import RENEW_WAIT_MS, renew
from .events import RenewAnswered
from .lost_runs import absolve, take_back_losses
from .model import TaskId
from .occupancy import occupy, vacate
from .orders import EndedRun, RunningRun, WorkerReport
from .parts import Phase, Task
from .runs import acknowledge_ends, note_begun, send_stop, stop_run, take_end, void_run
from .speeds import note_progress, would_gain_elsewhere
from .worker_lives import take_life_refusal
from .workers import Worker

__all__ = ["take_renewal"]

_SILENT_RETRY_SECONDS = 0.4
"""Delay before the next renewal after repeated missing answers; the first one is retried at
once."""

_IDLE_RENEW_SECONDS = 2.0
"""Interval of renewals for a worker without runs, which needs no lease."""


def take_renewal(cell: Cell, event: RenewAnswered, now: float) -> None:
    """Handle the answer to a renewal, or its absence."""
    worker = cell.workers.get(event.life)
    if worker is None:
        return
    worker.renewing = False
    outcome = event.outcome
    if isinstance(outcome, WorkerReport):
        _take_report(cell, worker, event, outcome, now)
    elif not take_life_refusal(cell, worker, outcome, now):
        _take_silence(cell, worker, now)


def _take_silence(cell: Cell, worker: Worker, now: float) -> None:
    if worker.silent_since is None:
        worker.silent_since = now
        cell.silences.append(now)
        cell.tell("worker_silent", worker.life, runs=len(worker.runs))
        renew(cell, worker, now, 0)
        return
    worker.is_mute = True
    worker.next_renew_at = now + _SILENT_RETRY_SECONDS


def _take_report(
    cell: Cell, worker: Worker, event: RenewAnswered, report: WorkerReport, now: float
) -> None:
    if worker.silent_since is not None:
        cell.tell("worker_answers", worker.life, silent_s=now - worker.silent_since)
        worker.silent_since = None
        worker.is_mute = False
        # Runs are lost on a worker only while it is silent.
        take_back_losses(cell, worker)
    worker.heard_at = now
    worker.note_clock(report.clock_ms, now)
    listed: set[tuple[TaskId, int]] = set()
    news = False
    for end in report.ended:
        listed.add((end.task, end.run))
        is_known = end.number <= worker.known_ends
        if is_known and (end.task, end.run) not in worker.runs:
            continue
        if is_known:
            _tell_passed_over(cell, worker, end)
        worker.known_ends = max(worker.known_ends, end.number)
        news = True
        take_end(cell, worker, end, now)
    for row in report.running:
        listed.add((row.task, row.run))
        _take_running(cell, worker, row, now)
    _check_missing(cell, worker, listed, event.order.sent_at, now)
    if not worker.settled:
        worker.settled = True
        cell.placing_wanted = True
        cell.tell("worker_settled", worker.life, runs=len(worker.runs), clock_ms=report.clock_ms)
    if news:
        acknowledge_ends(cell, worker)
    elif worker.known_ends == worker.seen_ends:
        _plan_renewal(cell, worker, now)


def _tell_passed_over(cell: Cell, worker: Worker, end: EndedRun) -> None:
    """Log an end that counts as processed by its number although its run is still tracked."""
    cell.tell(
        "end_passed_over",
        end.task.job,
        task=end.task,
        run=end.run,
        worker=worker.life,
        number=end.number,
        known_ends=worker.known_ends,
        seen_ends=worker.seen_ends,
    )


def _plan_renewal(cell: Cell, worker: Worker, now: float) -> None:
    if worker.runs:
        renew(cell, worker, now, RENEW_WAIT_MS)
    else:
        worker.next_renew_at = now + _IDLE_RENEW_SECONDS


def _take_running(cell: Cell, worker: Worker, row: RunningRun, now: float) -> None:
    task = cell.find_task(row.task)
    if task is None or not task.is_current_run(row.run, worker.life):
        _stop_stray(cell, worker, row.task, row.run, now)
        return
    task.is_told = True
    if row.checkpoint:
        task.checkpoint = row.checkpoint
    task.percent = row.percent
    if task.step.job.status.is_final and task.phase is not Phase.DONE:
        stop_run(cell, task, now)
        return
    note_begun(cell, task.step.job)
    if task.phase in (Phase.ORDERED, Phase.UNSURE):
        task.phase = Phase.RUNNING
        task.since = now
    absolve(cell, task, now)
    note_progress(worker, task, row, now)
    if would_gain_elsewhere(cell, worker, task):
        task.moves += 1
        cell.tell(
            "run_moved",
            task.id.job,
            task=task.id,
            run=task.run,
            worker=worker.life,
            slowness=worker.slowness,
            percent=row.percent,
        )
        stop_run(cell, task, now)


def _stop_stray(cell: Cell, worker: Worker, task: TaskId, run: int, now: float) -> None:
    """Stop a run that is unknown or outdated, and count its room until it ends."""
    if (worker.life, task, run) in cell.stops:
        return
    known = cell.find_task(task)
    if known is not None:
        occupy(cell, worker, task, run, known.step)
    else:
        # The run's size is unknown, so all free room is counted as taken.
        worker.take(task, run, worker.free.at_least(ZERO))
    send_stop(cell, worker.life, task, run, now)
    cell.tell("stray_stopped", task.job, task=task, run=run, worker=worker.life)


def _check_missing(
    cell: Cell, worker: Worker, listed: set[tuple[TaskId, int]], sent_at: float, now: float
) -> None:
    """Handle runs that are tracked on a worker but missing from its report."""
    for task_id, run in list(worker.runs):
        if (task_id, run) in listed:
            continue
        task = cell.find_task(task_id)
        current = task is not None and task.is_current_run(run, worker.life)
        stop = cell.stops.get((worker.life, task_id, run))
        if stop is not None:
            if stop.answered_at is not None and stop.answered_at < sent_at:
                # The worker will not start the run any more, or has dropped its end.
                _void(cell, worker, task if current else None, task_id, run, now)
        elif not current:
            vacate(cell, worker.life, task_id, run)
        elif (task_id, run) in worker.inherited and task.phase is not Phase.DONE:
            # After a stop, the worker refuses the run if its start arrives late.
            stop_run(cell, task, now)
        elif not worker.settled or task.phase is Phase.DONE:
            _void(cell, worker, task, task_id, run, now)
        elif task.phase is Phase.UNSURE and task.since < sent_at:
            stop_run(cell, task, now)
        elif task.phase is Phase.RUNNING and task.since < sent_at:
            cell.tell("run_vanished", task_id.job, task=task_id, run=run, worker=worker.life)
            stop_run(cell, task, now)


def _void(
    cell: Cell, worker: Worker, task: Task | None, task_id: TaskId, run: int, now: float
) -> None:
    cell.stops.pop((worker.life, task_id, run), None)
    cell.tell("run_void", task_id.job, task=task_id, run=run, worker=worker.life)
    if task is None:
        vacate(cell, worker.life, task_id, run)
        cell.placing_wanted = True
    else:
        void_run(cell, task, now)

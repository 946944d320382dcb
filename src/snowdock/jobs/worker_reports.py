"""Handling of answers to renewals: workers' reports of their runs, and missing answers."""

from ..declarations import ZERO_SIZE
from .cell import Cell
from .durability import RENEW_WAIT_MS, send_renewal
from .events import RenewAnswered
from .job_state import Phase, Task
from .lost_runs import clear_losses, revoke_losses
from .machine_speeds import learn_from_end
from .model import TaskId
from .occupancy import occupy, vacate
from .orders import EndedRun, EndKind, RunningRun, WorkerReport
from .runs import acknowledge_ends, apply_run_end, mark_job_running, send_stop, stop_run, void_run
from .speeds import learn_speed
from .stragglers import find_move
from .suspects import end_exclusive_use
from .worker_lives import handle_life_refusal
from .workers import Worker

__all__ = ["handle_renewal"]

_SILENT_RETRY_SECONDS = 0.4
"""Delay before the next renewal after repeated missing answers; the first one is retried at
once."""

_IDLE_RENEW_SECONDS = 2.0
"""Interval of renewals for a worker without runs, which needs no lease."""

_EARLIER_LEASE_SLACK_SECONDS = 0.1
"""How much later an earlier leader's lease may end than one that begins with the first report: its
estimate of a clock that is 2 % slow is off by 0.06 s after 3 s without an answer."""

_RELISTING_SECONDS = 3.0
"""Time after which an entry that expired in a store outage is missing for good: workers restore
theirs within about two seconds."""


def handle_renewal(cell: Cell, event: RenewAnswered, now: float) -> None:
    """Handle the answer to a renewal, or its absence."""
    worker = cell.workers.get(event.life)
    if worker is None:
        return
    worker.is_renewing = False
    outcome = event.outcome
    if isinstance(outcome, WorkerReport):
        _handle_report(cell, worker, event, outcome, now)
    elif not handle_life_refusal(cell, worker, outcome, now):
        _handle_no_answer(cell, worker, now)


def _handle_no_answer(cell: Cell, worker: Worker, now: float) -> None:
    if worker.silent_since is None:
        worker.silent_since = now
        cell.silence_times.append(now)
        cell.log_decision("worker_silent", worker.life, runs=len(worker.runs))
        send_renewal(cell, worker, now, 0)
        return
    worker.is_unresponsive = True
    worker.next_renew_at = now + _SILENT_RETRY_SECONDS


def _handle_report(
    cell: Cell, worker: Worker, event: RenewAnswered, report: WorkerReport, now: float
) -> None:
    was_silent = worker.silent_since is not None
    if was_silent:
        cell.log_decision("worker_answers", worker.life, silent_s=now - worker.silent_since)
        worker.silent_since = None
        worker.is_unresponsive = False
    revoke_losses(cell, worker)
    worker.last_report_at = now
    _note_departure(worker, now)
    worker.update_clock(report.clock_ms, now)
    listed: set[tuple[TaskId, int]] = set()
    has_new_ends = False
    for end in report.ended:
        listed.add((end.task, end.run))
        is_known = end.number <= worker.last_processed_end
        if is_known and (end.task, end.run) not in worker.runs:
            continue
        if is_known:
            _log_passed_over_end(cell, worker, end)
        worker.last_processed_end = max(worker.last_processed_end, end.number)
        has_new_ends = True
        task = cell.find_task(end.task)
        if (
            task is not None
            and end.kind is EndKind.DONE
            and not was_silent
            and task.is_current_run(end.run, worker.life)
        ):
            learn_from_end(cell, worker, task, now)
        apply_run_end(cell, worker, end, now)
    for running in report.running:
        listed.add((running.task, running.run))
        _handle_running(cell, worker, running, now)
    if report.may_omit_ends:
        # A run that is not listed may have ended, so nothing follows from its absence.
        cell.log_decision("ends_omitted", worker.life, listed=len(report.ended))
    else:
        _check_missing(cell, worker, listed, event.order.sent_at, now)
        _mark_synced(cell, worker, now)
    if has_new_ends:
        acknowledge_ends(cell, worker)
    elif worker.last_processed_end == worker.last_recorded_end:
        _schedule_renewal(cell, worker, now)


def _note_departure(worker: Worker, now: float) -> None:
    """Note that a worker answers although its entry was removed: it is shutting down.

    The entry of a crashed worker is removed after the worker has fallen silent.
    """
    if worker.listed or worker.has_left:
        return
    waits_s = _RELISTING_SECONDS if worker.may_return else 0.0
    worker.has_left = now - worker.delisted_at >= waits_s


def _mark_synced(cell: Cell, worker: Worker, now: float) -> None:
    """Allow new runs on a worker, after its first report that lists all its runs."""
    if worker.is_synced:
        return
    worker.is_synced = True
    # An earlier leader may have renewed just before this report, but not after it.
    worker.extend_lease(now, cell.settings.lease_s + _EARLIER_LEASE_SLACK_SECONDS)
    cell.needs_placement = True
    cell.log_decision(
        "worker_settled", worker.life, runs=len(worker.runs), clock_ms=worker.clock_ms
    )


def _log_passed_over_end(cell: Cell, worker: Worker, end: EndedRun) -> None:
    """Log an end that counts as processed by its number although its run is still tracked."""
    cell.log_decision(
        "end_passed_over",
        end.task.job,
        task=end.task,
        run=end.run,
        worker=worker.life,
        number=end.number,
        known_ends=worker.last_processed_end,
        seen_ends=worker.last_recorded_end,
    )


def _schedule_renewal(cell: Cell, worker: Worker, now: float) -> None:
    if worker.runs:
        send_renewal(cell, worker, now, RENEW_WAIT_MS)
    else:
        worker.next_renew_at = now + _IDLE_RENEW_SECONDS


def _handle_running(cell: Cell, worker: Worker, running: RunningRun, now: float) -> None:
    task = cell.find_task(running.task)
    if task is None or not task.is_current_run(running.run, worker.life):
        _stop_stray(cell, worker, running.task, running.run, now)
        return
    task.is_confirmed = True
    task.seen_at = now
    if running.checkpoint:
        task.checkpoint = running.checkpoint
    task.percent = running.percent
    if task.step.job.status.is_final and task.phase is not Phase.DONE:
        stop_run(cell, task, now)
        return
    mark_job_running(cell, task.step.job)
    if task.phase in (Phase.ORDERED, Phase.UNSURE):
        task.phase = Phase.RUNNING
        task.phase_since = now
    end_exclusive_use(cell, worker, task, now)
    clear_losses(cell, task, now)
    learn_speed(cell, worker, task, running, now)
    move = find_move(cell, worker, task, now)
    if move is not None:
        task.moves += 1
        cell.log_decision(
            "run_moved",
            task.id.job,
            task=task.id,
            run=task.run,
            worker=worker.life,
            slowness=worker.slowness,
            percent=running.percent,
            reason=move.reason,
            gain_s=move.gain_s,
        )
        stop_run(cell, task, now)


def _stop_stray(cell: Cell, worker: Worker, task: TaskId, run: int, now: float) -> None:
    """Stop a run that is unknown or outdated, and count its room until it ends."""
    if (worker.life, task, run) in cell.pending_stops:
        return
    known = cell.find_task(task)
    if known is not None:
        occupy(cell, worker, task, run, known.step)
    else:
        # The run's size is unknown, so all free room is counted as taken.
        worker.occupy(task, run, worker.free.elementwise_max(ZERO_SIZE))
    send_stop(cell, worker.life, task, run, now)
    cell.log_decision("stray_stopped", task.job, task=task, run=run, worker=worker.life)


def _check_missing(
    cell: Cell, worker: Worker, listed: set[tuple[TaskId, int]], sent_at: float, now: float
) -> None:
    """Handle runs that are tracked on a worker but missing from its report of all runs."""
    for task_id, run in list(worker.runs):
        if (task_id, run) in listed:
            continue
        task = cell.find_task(task_id)
        is_current = task is not None and task.is_current_run(run, worker.life)
        stop = cell.pending_stops.get((worker.life, task_id, run))
        if stop is not None:
            if stop.answered_at is not None and stop.answered_at < sent_at:
                # The worker will not start the run any more, or has dropped its end.
                _void_missing_run(cell, worker, task if is_current else None, task_id, run, now)
        elif not is_current:
            vacate(cell, worker.life, task_id, run)
        elif (task_id, run) in worker.inherited and task.phase is not Phase.DONE:
            # After a stop, the worker refuses the run if its start arrives late.
            stop_run(cell, task, now)
        elif not worker.is_synced or task.phase is Phase.DONE:
            _void_missing_run(cell, worker, task, task_id, run, now)
        elif task.phase is Phase.UNSURE and task.phase_since < sent_at:
            stop_run(cell, task, now)
        elif task.phase is Phase.RUNNING and task.phase_since < sent_at:
            cell.log_decision(
                "run_vanished", task_id.job, task=task_id, run=run, worker=worker.life
            )
            stop_run(cell, task, now)


def _void_missing_run(
    cell: Cell, worker: Worker, task: Task | None, task_id: TaskId, run: int, now: float
) -> None:
    cell.pending_stops.pop((worker.life, task_id, run), None)
    cell.log_decision("run_void", task_id.job, task=task_id, run=run, worker=worker.life)
    if task is None:
        vacate(cell, worker.life, task_id, run)
        cell.needs_placement = True
    else:
        void_run(cell, task, now)

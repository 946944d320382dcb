"""What workers and the list of workers tell, taken over into the leader's state."""

from ..declarations import ZERO
from .cell import Cell, Phase, Stop, Task
from .durability import RENEW_WAIT_MS, renew
from .events import (
    CloseWorker,
    OpenWorker,
    RenewAnswered,
    SendStop,
    StartAnswered,
    StepDown,
    StopAnswered,
)
from .model import TaskId
from .orders import Refusal, StopOrder, WorkerReport
from .runs import acknowledge_ends, lose_runs, stop_run, take_end, void_run
from .speeds import fade_slowness, note_progress, would_gain_elsewhere
from .workers import Worker, WorkerEntry

__all__ = [
    "delist_worker",
    "list_worker",
    "take_renewal",
    "take_start_answer",
    "take_stop_answer",
    "watch_workers",
]

_SILENT_RETRY_SECONDS = 0.4
"""Pause before a worker that gave no answer again is called; after the first time, none."""

_IDLE_RENEW_SECONDS = 2.0
"""How often an empty worker is looked at; nothing there needs its lease."""

_STOP_RETRY_SECONDS = 0.5
"""Pause before a stop without an answer is sent again."""

_ANSWERED_STOP_RETRY_SECONDS = 2.0
"""Pause before a stop that was answered is repeated: its end comes with a report, and one may
wait for a second."""

_UNWELL_SECONDS = 1.0
"""How long nothing is placed on a worker that turned a start away as unwell."""

_DELISTED_CLOSE_SECONDS = 15.0
"""How long an empty worker that is no longer listed is still called: entries that lapsed with
the store are back in about two seconds, and a lease is over long before."""


# -- the list ------------------------------------------------------------------------------


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
    worker = Worker(entry, now)
    cell.workers[entry.life] = worker
    cell.tell("worker_listed", entry.life, service=entry.service, address=entry.address)
    for orphan in cell.orphans.pop(entry.life, []):
        if orphan.task.run == orphan.run and orphan.task.life == entry.life:
            worker.take(orphan.task.id, orphan.run, orphan.task.step.spec.room)
    cell.emit(OpenWorker(entry.life, entry.address))
    renew(cell, worker, now, 0)


def delist_worker(cell: Cell, life: str, now: float) -> None:
    """Note that an entry is gone; what runs there runs on until its lease is over."""
    cell.ended_lives.discard(life)
    worker = cell.workers.get(life)
    if worker is None or not worker.listed:
        return
    worker.listed = False
    worker.delisted_at = now
    cell.tell("worker_delisted", life, runs=len(worker.runs))


def _end_life(cell: Cell, worker: Worker, now: float, reason: str) -> None:
    lose_runs(cell, worker, now, reason)
    del cell.workers[worker.life]
    if worker.listed:
        cell.ended_lives.add(worker.life)
    cell.emit(CloseWorker(worker.life))
    cell.tell("worker_ended", worker.life, reason=reason)


# -- renewals ------------------------------------------------------------------------------


def take_renewal(cell: Cell, event: RenewAnswered, now: float) -> None:
    """Take over the answer to a renewal, or its absence."""
    worker = cell.workers.get(event.life)
    if worker is None:
        return
    worker.renewing = False
    outcome = event.outcome
    if isinstance(outcome, WorkerReport):
        _take_report(cell, worker, event, outcome, now)
    elif outcome is Refusal.OTHER_LIFE:
        _end_life(cell, worker, now, "another life answered at its address")
    elif outcome is Refusal.FENCED:
        cell.emit(StepDown(f"worker {worker.life} has seen a higher token"))
    else:
        if worker.silent_since is None:
            worker.silent_since = now
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
    worker.note_clock(report.clock_ms, now)
    listed: set[tuple[TaskId, int]] = set()
    news = False
    for end in report.ended:
        listed.add((end.task, end.run))
        if end.number > worker.known_ends:
            worker.known_ends = end.number
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


def _plan_renewal(cell: Cell, worker: Worker, now: float) -> None:
    if worker.runs:
        renew(cell, worker, now, RENEW_WAIT_MS)
    else:
        worker.next_renew_at = now + _IDLE_RENEW_SECONDS


def _take_running(cell: Cell, worker: Worker, row, now: float) -> None:
    task = cell.find_task(row.task)
    if task is None or task.run != row.run or task.life != worker.life:
        _stop_stray(cell, worker, row.task, row.run, now)
        return
    if row.checkpoint:
        task.checkpoint = row.checkpoint
    task.percent = row.percent
    if task.step.job.status.is_final and task.phase is not Phase.DONE:
        stop_run(cell, task, now)
        return
    if task.phase in (Phase.ORDERED, Phase.UNSURE):
        task.phase = Phase.RUNNING
        task.since = now
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
    """Stop a run that nothing on record accounts for any more, and count its room."""
    key = (worker.life, task, run)
    if key in cell.stops:
        return
    known = cell.find_task(task)
    worker.take(task, run, known.step.spec.room if known is not None else ZERO)
    cell.stops[key] = Stop(now)
    cell.emit(SendStop(worker.life, StopOrder(task, run, cell.token)))
    cell.tell("stray_stopped", task.job, task=task, run=run, worker=worker.life)


def _check_missing(
    cell: Cell, worker: Worker, listed: set[tuple[TaskId, int]], sent_at: float, now: float
) -> None:
    """Find runs that should be there and are not listed."""
    for task_id, run in list(worker.runs):
        if (task_id, run) in listed:
            continue
        task = cell.find_task(task_id)
        current = task is not None and task.run == run and task.life == worker.life
        stop = cell.stops.get((worker.life, task_id, run))
        if stop is not None:
            if stop.answered_at is not None and stop.answered_at < sent_at:
                # The worker has refused it for good, or its end was forgotten.
                _void(cell, worker, task if current else None, task_id, run, now)
        elif not current:
            worker.release(task_id, run)
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
        worker.release(task_id, run)
        cell.placing_wanted = True
    else:
        void_run(cell, task, now)


# -- starts and stops ----------------------------------------------------------------------


def take_start_answer(cell: Cell, event: StartAnswered, now: float) -> None:
    """Take over the answer to a start, or its absence."""
    worker = cell.workers.get(event.life)
    task = cell.find_task(event.task)
    if worker is None:
        return
    result = event.result
    if result is not None:
        worker.note_clock(result.clock_ms, now)
        if result.refusal is Refusal.OTHER_LIFE:
            _end_life(cell, worker, now, "another life answered at its address")
            return
        if result.refusal is Refusal.FENCED:
            cell.emit(StepDown(f"worker {worker.life} has seen a higher token"))
            return
    if task is None or task.run != event.run or task.life != event.life:
        return
    if result is None:
        _doubt_start(cell, worker, task, now)
    elif result.refusal is None:
        if task.phase is Phase.ORDERED:
            task.phase = Phase.RUNNING
            task.since = now
    elif task.phase in (Phase.ORDERED, Phase.STOPPING):
        _take_refusal(cell, worker, task, result.refusal, now)


def _doubt_start(cell: Cell, worker: Worker, task: Task, now: float) -> None:
    cell.tell("start_unanswered", task.id.job, task=task.id, run=task.run, worker=worker.life)
    worker.shunned_until = max(worker.shunned_until, now + _UNWELL_SECONDS)
    if task.phase is not Phase.ORDERED:
        return
    task.phase = Phase.UNSURE
    task.since = now
    if task.step.spec.gang:
        # The others wait for it, and only for so long.
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
    elif refusal is not Refusal.SUPERSEDED:
        worker.shunned_until = max(worker.shunned_until, now + _UNWELL_SECONDS)
    if refusal is Refusal.MALFORMED:
        step.not_before = now + _UNWELL_SECONDS
    void_run(cell, task, now)


def take_stop_answer(cell: Cell, event: StopAnswered, now: float) -> None:
    """Take over the answer to a stop; the end itself comes with a later report."""
    worker = cell.workers.get(event.life)
    if worker is None:
        return
    if event.refusal is Refusal.OTHER_LIFE:
        _end_life(cell, worker, now, "another life answered at its address")
        return
    if event.refusal is Refusal.FENCED:
        cell.emit(StepDown(f"worker {worker.life} has seen a higher token"))
        return
    stop = cell.stops.get((event.life, event.task, event.run))
    if stop is None or not event.answered:
        return
    if stop.answered_at is None:
        # The first answer counts: a repeated stop may not put off what follows from it.
        stop.answered_at = now
    if not worker.renewing:
        renew(cell, worker, now, RENEW_WAIT_MS)


# -- time ----------------------------------------------------------------------------------


def watch_workers(cell: Cell, now: float) -> None:
    """Renew what is due, give up what is surely over, and repeat stops."""
    fade_slowness(cell)
    for worker in list(cell.workers.values()):
        _watch_worker(cell, worker, now)
    for life, orphans in list(cell.orphans.items()):
        if now - cell.started_at < cell.settings.takeover_lapse_s:
            break
        del cell.orphans[life]
        for orphan in orphans:
            if orphan.task.run == orphan.run and orphan.task.life == life:
                cell.tell("orphan_lost", orphan.task.id.job, task=orphan.task.id, worker=life)
                void_run(cell, orphan.task, now)
    for (life, task, run), stop in list(cell.stops.items()):
        _watch_stop(cell, life, task, run, stop, now)


def _watch_worker(cell: Cell, worker: Worker, now: float) -> None:
    if worker.silent_since is not None and worker.runs and _is_over(cell, worker, now):
        lose_runs(cell, worker, now, "its leases are over and it does not answer")
        worker.settled = False
    if not worker.listed and not worker.runs:
        quiet = worker.silent_since is not None or not worker.settled
        if quiet or now - worker.delisted_at > _DELISTED_CLOSE_SECONDS:
            _end_life(cell, worker, now, "no longer listed")
            return
    if not worker.renewing and now >= worker.next_renew_at:
        renew(cell, worker, now, RENEW_WAIT_MS if worker.runs else 0)


def _is_over(cell: Cell, worker: Worker, now: float) -> bool:
    if worker.clock_ms:
        # An earlier leader may have renewed later than this one did.
        after_takeover = now - cell.started_at > cell.settings.takeover_lapse_s
        return worker.is_surely_lapsed(now) and (worker.settled or after_takeover)
    return now - cell.started_at > cell.settings.takeover_lapse_s


def _watch_stop(cell: Cell, life: str, task: TaskId, run: int, stop: Stop, now: float) -> None:
    worker = cell.workers.get(life)
    if worker is None:
        del cell.stops[life, task, run]
        return
    patience = _STOP_RETRY_SECONDS
    if stop.answered_at is not None:
        patience = _ANSWERED_STOP_RETRY_SECONDS + cell.settings.stop_s
    if now - stop.sent_at < patience:
        return
    stop.sent_at = now
    cell.emit(SendStop(life, StopOrder(task, run, cell.token)))

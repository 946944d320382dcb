"""Handling of runs that are lost with their worker.

This limits tasks that crash every worker on which they start. A worker usually runs many tasks when
it ends, and reports the end of none of them, so a loss is charged to every task that was, or may
have been, running there. The loss counts as a *crash* if another life of the worker has answered
and the worker had confirmed the run. Otherwise it stays a *loss*: the worker may be partitioned and
still running, or may have ended before the start arrived. If the worker was shutting down (it was
marked as draining, or answered after its entry was removed), only runs that may have just begun are
charged, as losses; confirmed long-running ones are not, since they
are lost with many draining workers during a rolling replacement. Every start ends as a crash, a
loss, a reported end or a refusal, so a task that crashes every worker is started at most
`MAX_LOSSES` times.
"""

import dataclasses
from collections.abc import Iterator

from .cell import Cell, Orphan
from .charges import charge_run, may_have_ended_early, revoke_charge
from .durability import mark_dirty
from .job_state import Phase, Task
from .occupancy import vacate
from .runs import EndCause, fail_job, void_run
from .suspects import remove_suspect
from .workers import Worker

__all__ = [
    "charge_confirmed_crashes",
    "charge_orphan",
    "clear_losses",
    "lose_orphan",
    "lose_runs",
    "revoke_losses",
]

MAX_INDEPENDENT_FAILURES = 2
"""If more workers stop answering at the same moment, the cause is taken to be a rack or data hall,
and their runs are charged as losses only: otherwise healthy jobs would fail."""

_CORRELATION_WINDOW_SECONDS = 0.1
"""Workers that stop answering within this time count as simultaneous: a worker that ends closes its
connections, which is detected at once."""

_STABLE_RUN_SECONDS = 30.0
"""A long-running task is cleared of its losses once a run of it has lasted this long: over
hours it runs on many workers that end for unrelated reasons."""


@dataclasses.dataclass(frozen=True, slots=True)
class _WorkerEnd:
    """Why a worker's runs count as lost, and whether the worker certainly crashed by itself."""

    reason: str
    is_crash: bool


def lose_runs(
    cell: Cell,
    worker: Worker,
    now: float,
    reason: str,
    has_crashed: bool = False,
    has_next_life: bool = False,
) -> None:
    """Mark all runs on a worker as lost, since it is unknown how they ended.

    Runs whose start was not answered wait for the worker's next life, if there is one.
    """
    end = _WorkerEnd(reason, has_crashed and not _is_correlated_failure(cell, worker))
    if worker.runs:
        count = len(worker.runs)
        cell.log_decision(
            "runs_lost", worker.life, count=count, reason=reason, is_crash=end.is_crash
        )
    for task_id, run in list(worker.runs):
        vacate(cell, worker.life, task_id, run)
        cell.pending_stops.pop((worker.life, task_id, run), None)
        task = cell.find_task(task_id)
        if task is None or not task.is_current_run(run, worker.life):
            continue
        _lose_run(cell, worker, task, now, end, has_next_life and _may_start_late(task))


def charge_confirmed_crashes(cell: Cell, worker: Worker, now: float) -> None:
    """Charge losses on a worker as crashes after its next life answered.

    The losses were recorded earlier, when the worker's leases expired.
    """
    is_crash = not _is_correlated_failure(cell, worker)
    for task, run, is_confirmed in _pop_losses(cell, worker):
        if is_confirmed:
            _charge_lost_run(cell, task, run, worker.life, now, is_crash)


def revoke_losses(cell: Cell, worker: Worker) -> None:
    """Revoke the charges for runs lost on a worker whose same life answers again.

    Without this, a task that was on `MAX_LOSSES` partitioned workers would be given up.
    """
    for task, run, _ in _pop_losses(cell, worker):
        if not task.step.job.status.is_final:
            revoke_charge(cell, task, run, worker.life)


def _pop_losses(cell: Cell, worker: Worker) -> Iterator[tuple[Task, int, bool]]:
    """Yield and remove a worker's unresolved losses, once it is known whether it crashed."""
    losses, worker.unresolved_losses = worker.unresolved_losses, {}
    for (task_id, run), is_confirmed in losses.items():
        task = cell.find_task(task_id)
        if task is not None and run in task.lost_runs:
            yield task, run, is_confirmed


def lose_orphan(cell: Cell, task: Task, life: str, now: float) -> None:
    """Mark a run of an earlier leader as lost, whose worker never became known to this one."""
    cell.log_decision("orphan_lost", task.id.job, task=task.id, worker=life)
    charge_orphan(cell, task, life, now)
    void_run(cell, task, now)


def charge_orphan(cell: Cell, task: Task, life: str, now: float) -> None:
    """Charge a task once for a run on a worker life that ended before this leader knew it."""
    if _may_have_run(task) and task.run not in task.lost_runs:
        _charge_lost_run(cell, task, task.run, life, now, is_crash=False)


def clear_losses(cell: Cell, task: Task, now: float) -> None:
    """Clear a long-running task's losses once a run of it has lasted long enough."""
    if not task.lost_runs or not task.step.spec.long_running:
        return
    if task.phase is Phase.RUNNING and now - task.phase_since >= _STABLE_RUN_SECONDS:
        task.lost_runs = task.crashed_runs = frozenset()
        mark_dirty(cell, task.step.job)
        remove_suspect(cell, task)
        cell.log_decision("task_absolved", task.id.job, task=task.id, run=task.run)


def _lose_run(
    cell: Cell, worker: Worker, task: Task, now: float, end: _WorkerEnd, may_start_late: bool
) -> None:
    run = task.run
    is_charged = _may_have_run(task) and (
        not worker.is_leaving or _may_have_caused_exit(worker, task)
    )
    _log_lost_run(cell, worker, task, end, is_charged)
    if may_start_late:
        task.phase = Phase.UNSURE
        task.phase_since = now
        orphan = Orphan(task, run, worker.life, now)
        cell.orphans.setdefault(worker.entry.worker, []).append(orphan)
    else:
        void_run(cell, task, now)
    if not is_charged:
        return
    worker.unresolved_losses[task.id, run] = task.is_confirmed
    _charge_lost_run(cell, task, run, worker.life, now, end.is_crash and task.is_confirmed)


def _may_start_late(task: Task) -> bool:
    """Check whether a task's start was sent but never confirmed by the worker."""
    return not task.is_confirmed and task.phase in (Phase.ORDERED, Phase.UNSURE, Phase.STOPPING)


def _charge_lost_run(
    cell: Cell, task: Task, run: int, life: str, now: float, is_crash: bool
) -> None:
    """Charge a run that was lost with its worker, and fail the job at the task's limit."""
    if charge_run(cell, task, run, life, is_crash):
        fail_job(cell, task.step.job, EndCause.CRASHES, now)


def _may_have_run(task: Task) -> bool:
    """Check whether a task's newest run may have begun and is still needed."""
    # A start that was not sent had no effect. A task that is done needs no runs, and a charge could
    # fail its completed job.
    return task.phase not in (Phase.RECORDED, Phase.DONE)


def _may_have_caused_exit(worker: Worker, task: Task) -> bool:
    """Check whether a run may have crashed a worker that was shutting down.

    Such a worker gets no new runs and ends seconds later, so only a run that just began may be
    the cause. If none were charged, each such worker would allow a crashing task a start beyond
    its limit.
    """
    if task.is_confirmed and task.step.spec.long_running:
        return False
    return may_have_ended_early(worker, task)


def _log_lost_run(
    cell: Cell, worker: Worker, task: Task, end: _WorkerEnd, is_charged: bool
) -> None:
    """Log a run that is lost with its worker, whether it is charged, and on what grounds."""
    silent_after_s = None
    if worker.silent_since is not None:
        silent_after_s = worker.silent_since - task.ordered_at
    cell.log_decision(
        "run_lost",
        task.id.job,
        task=task.id,
        run=task.run,
        worker=worker.life,
        phase=task.phase.value,
        silent_after_s=silent_after_s,
        is_charged=is_charged,
        is_told=task.is_confirmed,
        is_leaving=worker.is_leaving,
        reason=end.reason,
    )


def _is_correlated_failure(cell: Cell, worker: Worker) -> bool:
    """Check whether others stopped answering with a worker: a rack, a switch or an operator."""
    since = worker.silent_since
    if since is None:
        return False
    silent_count = sum(
        abs(other - since) <= _CORRELATION_WINDOW_SECONDS for other in cell.silence_times
    )
    return silent_count > MAX_INDEPENDENT_FAILURES

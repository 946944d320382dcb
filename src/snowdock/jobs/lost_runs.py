"""Runs that are lost with their worker: to which tasks that is charged, and when one is given up.

The load this answers: a task that ends each worker that starts it. A worker runs many tasks when it
goes, and mostly no end of any of them is ever told, so each such loss is charged to all tasks that
were, or may have been, running there. It is charged as a *crash* where another life of the worker
has answered, and the worker had told that the run was there. Else it stays a *loss*: the worker may
have been cut off, and run on, or gone before the start arrived. Where the worker had said that it
would leave, only runs that may just have begun are charged, with a loss, and none that last and
that it had told of: these meet many such workers while all are replaced in turn. A start elsewhere
ends as one of the two, a told end, or a refusal, so a task that crashes every worker is started
`MOST_LOSSES` times at most, whatever is seen of it.
"""

import dataclasses
from collections.abc import Iterator

from .cell import Cell, Orphan
from .charges import charge_run, may_have_ended_early, revoke_charge
from .durability import mark_dirty
from .job_state import Phase, Task
from .occupancy import vacate
from .runs import fail_job, void_run
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
"""Where more workers fell silent at the same moment, a rack or a hall went, and what ran there is
charged with losses only: else jobs that could be done are shown as failed."""

_CORRELATION_WINDOW_SECONDS = 0.1
"""What counts as the same moment: a worker that ends closes its connections, which is seen at
once."""

_STABLE_RUN_SECONDS = 30.0
"""A task that lasts is charged with nothing any more once a run of it has worked for so long: over
hours it outlives many workers that go for reasons of their own."""


@dataclasses.dataclass(frozen=True, slots=True)
class _WorkerEnd:
    """Why a worker's runs are taken as over, and whether it surely crashed by itself."""

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
    """Take all runs on a worker as over, though how they ended is not known.

    Those whose start was not answered wait for the worker's next life, if it has begun one.
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
    """Take losses on a worker as crashes: its leases were over before another life answered."""
    is_crash = not _is_correlated_failure(cell, worker)
    for task, run, is_told in _pop_losses(cell, worker):
        if is_told:
            _charge_lost_run(cell, task, run, worker.life, now, is_crash)


def revoke_losses(cell: Cell, worker: Worker) -> None:
    """Charge nobody for the runs lost on a worker that answers again as it was.

    Without this, a task that met five workers that were cut off was given up.
    """
    for task, run, _ in _pop_losses(cell, worker):
        if not task.step.job.status.is_final:
            revoke_charge(cell, task, run, worker.life)


def _pop_losses(cell: Cell, worker: Worker) -> Iterator[tuple[Task, int, bool]]:
    """Give the charged runs of a worker of which it is settled now how it went, and forget them."""
    lost, worker.unresolved_losses = worker.unresolved_losses, {}
    for (task_id, run), is_told in lost.items():
        task = cell.find_task(task_id)
        if task is not None and run in task.lost_runs:
            yield task, run, is_told


def lose_orphan(cell: Cell, task: Task, life: str, now: float) -> None:
    """Take a run of an earlier leader as over, whose worker never became known here."""
    cell.log_decision("orphan_lost", task.id.job, task=task.id, worker=life)
    charge_orphan(cell, task, life, now)
    void_run(cell, task, now)


def charge_orphan(cell: Cell, task: Task, life: str, now: float) -> None:
    """Charge a task once with a run whose worker's life is over, and was not known here."""
    if _may_have_run(task) and task.run not in task.lost_runs:
        _charge_lost_run(cell, task, task.run, life, now, is_crash=False)


def clear_losses(cell: Cell, task: Task, now: float) -> None:
    """Charge a task that lasts with nothing any more, once a run of it has worked for long."""
    if not task.lost_runs or not task.step.spec.long_running:
        return
    if task.phase is Phase.RUNNING and now - task.phase_since >= _STABLE_RUN_SECONDS:
        task.lost_runs = task.crashed_runs = frozenset()
        mark_dirty(cell, task.step.job)
        cell.log_decision("task_absolved", task.id.job, task=task.id, run=task.run)


def _lose_run(
    cell: Cell, worker: Worker, task: Task, now: float, end: _WorkerEnd, may_start_late: bool
) -> None:
    run = task.run
    is_charged = _may_have_run(task) and (
        not worker.entry.draining or _may_have_caused_exit(worker, task)
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
    """Whether a task's start was sent, and it is not known that it was carried out."""
    return not task.is_confirmed and task.phase in (Phase.ORDERED, Phase.UNSURE, Phase.STOPPING)


def _charge_lost_run(
    cell: Cell, task: Task, run: int, life: str, now: float, is_crash: bool
) -> None:
    """Count a run that went with its worker, and give its task up where that is too often."""
    if charge_run(cell, task, run, life, is_crash):
        fail_job(cell, task.step.job, now)


def _may_have_run(task: Task) -> bool:
    """Whether a task's newest run may have begun, and is still wanted."""
    # A start that was never sent can have done nothing. A done task needs no more runs: charged, it
    # could fail a job that was done.
    return task.phase not in (Phase.RECORDED, Phase.DONE)


def _may_have_caused_exit(worker: Worker, task: Task) -> bool:
    """Whether a run may be why a worker went that had said that it would leave.

    Such a worker takes nothing new once that is known, and ends seconds later: charged to nobody, a
    task that ends its workers got a start beyond its bound for each worker that drained.
    """
    if task.is_confirmed and task.step.spec.long_running:
        return False
    return may_have_ended_early(worker, task)


def _log_lost_run(
    cell: Cell, worker: Worker, task: Task, end: _WorkerEnd, is_charged: bool
) -> None:
    """Log a run that is lost with its worker, whether it is charged, and what that goes by."""
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
        is_leaving=worker.entry.draining,
        reason=end.reason,
    )


def _is_correlated_failure(cell: Cell, worker: Worker) -> bool:
    """Whether a worker fell silent together with many: a rack, a switch, or an operator's doing."""
    since = worker.silent_since
    if since is None:
        return False
    silent_count = sum(
        abs(other - since) <= _CORRELATION_WINDOW_SECONDS for other in cell.silence_times
    )
    return silent_count > MAX_INDEPENDENT_FAILURES

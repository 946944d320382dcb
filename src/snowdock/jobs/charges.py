"""Counting of lost runs and crashes per task, and the limits at which a task is given up.

A *crash* is a run that certainly crashed its worker, a *loss* is a run that may have. Every crash
is also counted as a loss. The counts are part of the job's durable progress.
"""

from .cell import Cell
from .durability import mark_dirty
from .job_state import Task
from .workers import Worker

__all__ = [
    "MAX_CRASHES",
    "MAX_LOSSES",
    "charge_ended_run",
    "charge_run",
    "may_have_ended_early",
    "revoke_charge",
]

MAX_CRASHES = 3
"""Crashes after which a task is given up. Without a limit, one task crashes a worker every few
seconds; two crashes can be due to other tasks on the same workers."""

MAX_LOSSES = 5
"""Losses of any kind after which a task is given up: at most two starts may follow three crashes,
even if some of the crashes were only detected as losses."""

_CHARGE_ALL_FROM_LOSSES = 3
"""Losses from which every further start is charged: all of them may have been crashes, and at most
two more starts are allowed, however these end."""

_EARLY_END_SECONDS = 2.0
"""A run that was reported as running for longer did not crash its worker at its start."""


def charge_run(cell: Cell, task: Task, run: int, life: str, is_crash: bool) -> bool:
    """Record a lost run for its task; return whether the task is to be given up."""
    task.lost_runs |= {run}
    if is_crash:
        task.crashed_runs |= {run}
    job = task.step.job
    mark_dirty(cell, job)
    crashes, losses = len(task.crashed_runs), len(task.lost_runs)
    cell.log_decision(
        "task_charged",
        job.id,
        task=task.id,
        run=run,
        worker=life,
        is_crash=is_crash,
        crashes=crashes,
        losses=losses,
    )
    if job.status.is_final or (crashes < MAX_CRASHES and losses < MAX_LOSSES):
        return False
    cell.log_decision(
        "task_given_up",
        job.id,
        task=task.id,
        crashes=crashes,
        losses=losses,
        rule="crashes" if crashes >= MAX_CRASHES else "losses",
        crashed_runs=sorted(task.crashed_runs),
        lost_runs=sorted(task.lost_runs),
    )
    return True


def revoke_charge(cell: Cell, task: Task, run: int, life: str) -> None:
    """Remove a lost run from its task's count, because its worker turned out to be alive."""
    task.lost_runs -= {run}
    job = task.step.job
    mark_dirty(cell, job)
    cell.log_decision("charge_taken_back", job.id, task=task.id, run=run, worker=life)


def charge_ended_run(cell: Cell, worker: Worker, task: Task, run: int) -> bool:
    """Charge a run whose end was reported, if the task has already lost many runs.

    Returns whether the task is to be given up.
    """
    # If a gang breaks just as one of its members crashes a worker, the crashing run is reported as
    # ended. Without a charge, the member would be started beyond its limit.
    if len(task.lost_runs) < _CHARGE_ALL_FROM_LOSSES or not may_have_ended_early(worker, task):
        return False
    return charge_run(cell, task, run, worker.life, is_crash=False)


def may_have_ended_early(worker: Worker, task: Task) -> bool:
    """Check whether a task's run, or its worker, may have ended just after the run started."""
    # Uses the worker's last report: a leader that stalled does not know when the worker ended, and
    # a new leader does not know when a recovered run started. In either case the run would be
    # treated as old and would not be charged.
    return not task.is_confirmed or worker.last_report_at - task.ordered_at <= _EARLY_END_SECONDS

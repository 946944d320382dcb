"""How runs are charged to their task, on record, and when a task is given up.

A *crash* is a run that surely ended its worker, a *loss* one that may have. Each crash is a loss.
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
"""Crashes after which a task is given up. Unbounded, one task takes a worker every few seconds,
and all that runs there; two are soon met by chance, beside another task's fault."""

MAX_LOSSES = 5
"""Losses of any kind after which a task is given up: users allow two starts after three crashes,
however many of these were seen as such."""

_CHARGE_ALL_FROM_LOSSES = 3
"""Losses from which each further start counts as one: all of them may have been crashes, and users
allow two starts more, whatever these end as."""

_EARLY_END_SECONDS = 2.0
"""A run that was reported at work for longer did not end its worker by its start."""


def charge_run(cell: Cell, task: Task, run: int, life: str, is_crash: bool) -> bool:
    """Count a run against its task; tell whether that is to be given up."""
    task.lost_runs |= {run}
    if is_crash:
        task.crashed_runs |= {run}
    job = task.step.job
    mark_dirty(cell, job)
    crashes, losses = len(task.crashed_runs), len(task.lost_runs)
    cell.log_decision(
        "task_charged", job.id, task=task.id, worker=life, crashes=crashes, losses=losses
    )
    if job.status.is_final or (crashes < MAX_CRASHES and losses < MAX_LOSSES):
        return False
    cell.log_decision("task_given_up", job.id, task=task.id, crashes=crashes, losses=losses)
    return True


def revoke_charge(cell: Cell, task: Task, run: int, life: str) -> None:
    """Count a run no longer against its task: its worker went on, so it did not end it."""
    task.lost_runs -= {run}
    job = task.step.job
    mark_dirty(cell, job)
    cell.log_decision("charge_taken_back", job.id, task=task.id, run=run, worker=life)


def charge_ended_run(cell: Cell, worker: Worker, task: Task, run: int) -> bool:
    """Count a run that its worker told the end of, where many were lost before.

    Tells whether the task is to be given up.
    """
    # A gang that broke off as its member ended a worker made that start count for nothing: the
    # member was started three times after its third crash.
    if len(task.lost_runs) < _CHARGE_ALL_FROM_LOSSES or not may_have_ended_early(worker, task):
        return False
    return charge_run(cell, task, run, worker.life, is_crash=False)


def may_have_ended_early(worker: Worker, task: Task) -> bool:
    """Whether a task's run may have ended, or its worker gone, just after it began there."""
    # By the worker's own word: a leader that was away for seconds does not know when its worker
    # went, nor a new one when a run began that it took over. Taken for old, such a run was charged
    # to nobody.
    return not task.is_confirmed or worker.last_report_at - task.ordered_at <= _EARLY_END_SECONDS

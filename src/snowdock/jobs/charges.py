"""Counting of lost runs and crashes per task, and the limits at which a task is given up.

A *crash* is a run that certainly crashed its worker, a *loss* is a run that may have. Every crash
is also counted as a loss. The counts are part of the job's durable progress.
"""

from .cell import Cell
from .durability import mark
from .parts import Task
from .workers import Worker

__all__ = [
    "MOST_CRASHES",
    "MOST_LOSSES",
    "charge",
    "charge_end",
    "may_have_ended_at_once",
    "take_back_charge",
]

MOST_CRASHES = 3
"""Crashes after which a task is given up. Without a limit, one task crashes a worker every few
seconds; two crashes can be due to other tasks on the same workers."""

MOST_LOSSES = 5
"""Losses of any kind after which a task is given up: at most two starts may follow three crashes,
even if some of the crashes were only detected as losses."""

_COUNT_ALL_FROM = 3
"""Losses from which every further start is charged: all of them may have been crashes, and at most
two more starts are allowed, however these end."""

_AT_ONCE_SECONDS = 2.0
"""A run that was reported as running for longer did not crash its worker at its start."""


def charge(cell: Cell, task: Task, run: int, life: str, is_crash: bool) -> bool:
    """Record a lost run for its task; return whether the task is to be given up."""
    task.lost_runs |= {run}
    if is_crash:
        task.crashed_runs |= {run}
    job = task.step.job
    mark(cell, job)
    crashes, losses = len(task.crashed_runs), len(task.lost_runs)
    cell.tell("task_charged", job.id, task=task.id, worker=life, crashes=crashes, losses=losses)
    if job.status.is_final or (crashes < MOST_CRASHES and losses < MOST_LOSSES):
        return False
    cell.tell("task_given_up", job.id, task=task.id, crashes=crashes, losses=losses)
    return True


def take_back_charge(cell: Cell, task: Task, run: int, life: str) -> None:
    """Remove a lost run from its task's count, because its worker turned out to be alive."""
    task.lost_runs -= {run}
    job = task.step.job
    mark(cell, job)
    cell.tell("charge_taken_back", job.id, task=task.id, run=run, worker=life)


def charge_end(cell: Cell, worker: Worker, task: Task, run: int) -> bool:
    """Charge a run whose end was reported, if the task has already lost many runs.

    Returns whether the task is to be given up.
    """
    # If a gang breaks just as one of its members crashes a worker, the crashing run is reported as
    # ended. Without a charge, the member would be started beyond its limit.
    if len(task.lost_runs) < _COUNT_ALL_FROM or not may_have_ended_at_once(worker, task):
        return False
    return charge(cell, task, run, worker.life, is_crash=False)


def may_have_ended_at_once(worker: Worker, task: Task) -> bool:
    """Check whether a task's run, or its worker, may have ended just after the run started."""
    # Uses the worker's last report: a leader that stalled does not know when the worker ended, and
    # a new leader does not know when a recovered run started. Either would take the run for old
    # and would not charge it.
    return not task.is_told or worker.heard_at - task.ordered_at <= _AT_ONCE_SECONDS

"""Isolation of suspects: tasks with runs that were lost with their workers.

When a task crashes a worker, all tasks on that worker are charged. If they were placed together
again, healthy tasks would be charged repeatedly and given up along with the faulty one. So a
suspect does not share a worker with another suspect, and after a second loss it gets a worker of
its own. A further crash then identifies the faulty task.

A suspect that keeps running shares its worker again after `_EXCLUSIVE_RUN_SECONDS`. If room is
short, isolation delays the task by at most `_EXCLUSIVE_WAIT_SECONDS` or `_SEPARATE_WAIT_SECONDS`.
After that, suspects with several losses join a worker gradually: first one, then at a time as many
as have run there for `_START_GAP_SECONDS` and one more. So a task that crashes its worker at its
start takes few of them with it, even if all of them have waited for the same worker, and the many
suspects left by an outage are still placed within seconds.
"""

import dataclasses
import enum
from collections.abc import Iterable

from .candidates import Candidate
from .cell import Cell
from .charges import is_on_hold
from .job_state import Phase, Step, Task
from .workers import Worker

__all__ = [
    "IsolationLevel",
    "end_exclusive_use",
    "limit_suspect_candidates",
    "may_share_worker",
    "next_tasks",
    "record_crash",
    "record_suspect",
    "remove_suspect",
]

SEPARATE_FROM_LOSSES = 1
"""Losses from which a task does not share a worker with other suspects."""

EXCLUSIVE_FROM_LOSSES = 2
"""Losses from which a task does not share a worker at all."""

START_GAP_FROM_LOSSES = 2
"""Losses from which a task does not join a worker on which many suspects have just started."""

_EXCLUSIVE_WAIT_SECONDS = 0.8
_SEPARATE_WAIT_SECONDS = 1.6
"""How long a task waits for an empty worker, and for one without a suspect."""

_START_GAP_SECONDS = 1.0
"""How long a suspect runs before it counts as settled, and more may join it."""

_MAX_START_GAP_WAIT_SECONDS = 30.0
"""How long a task waits for a worker on which few suspects have just started."""

_MAX_LONG_RUNNING_WAIT_SECONDS = 5.0
"""Time without a run after which a long-running task is not isolated: a loss of its worker may take
that long to be detected, and its isolation would add to it."""

_EXCLUSIVE_RUN_SECONDS = 5.0
"""How long a suspect runs before other runs may join it: it has not crashed its worker at its
start. The limit also holds for runs that last for hours."""

_CRASHED_ADDRESS_SECONDS = 30.0
_CRASHED_ADDRESS_PENALTY = 10.0
"""For this time an address where a worker crashed is the last choice for suspects: the crashes of a
flapping worker would be charged to the tasks there. The penalty exceeds any score."""


class IsolationLevel(enum.IntEnum):
    """Which other runs a task may not share a worker with."""

    NONE = 0
    FROM_NEW_SUSPECTS = 1
    FROM_SUSPECTS = 2
    EXCLUSIVE = 3


def next_tasks(step: Step, now: float) -> tuple[list[Task], IsolationLevel]:
    """Return the waiting tasks of a step to place next, and their isolation level.

    Tasks with the lowest level come first; a gang is placed as a whole. There are none if all
    waiting tasks are paused or on hold.
    """
    waiting = step.waiting_tasks
    has_charges = any(task.charges for task in waiting)
    if has_charges and any(is_on_hold(task, now) for task in waiting):
        waiting = [] if step.spec.gang else [x for x in waiting if not is_on_hold(x, now)]
    if step.spec.long_running and not step.spec.gang:
        waiting = [task for task in waiting if task.not_before <= now]
        # Otherwise a task whose runs fail at once takes each slot before the others.
        waiting.sort(key=lambda task: -task.waited_seconds(now))
    if not has_charges or not any(task.charges for task in waiting):
        return waiting, IsolationLevel.NONE
    levels = [_isolation_level(task, now) for task in waiting]
    if step.spec.gang:
        return waiting, min(max(levels), IsolationLevel.FROM_SUSPECTS)
    isolation = min(levels)
    selected = [task for task, own in zip(waiting, levels, strict=True) if own is isolation]
    return selected, isolation


def _isolation_level(task: Task, now: float) -> IsolationLevel:
    if task.step.spec.long_running and task.waited_seconds(now) >= _MAX_LONG_RUNNING_WAIT_SECONDS:
        return IsolationLevel.NONE
    losses = len(task.charges)
    waited = now - task.phase_since
    if losses >= EXCLUSIVE_FROM_LOSSES and waited < _EXCLUSIVE_WAIT_SECONDS:
        return IsolationLevel.EXCLUSIVE
    if losses >= SEPARATE_FROM_LOSSES and waited < _SEPARATE_WAIT_SECONDS:
        return IsolationLevel.FROM_SUSPECTS
    if losses >= START_GAP_FROM_LOSSES and waited < _MAX_START_GAP_WAIT_SECONDS:
        return IsolationLevel.FROM_NEW_SUSPECTS
    return IsolationLevel.NONE


def may_share_worker(worker: Worker, isolation: IsolationLevel, now: float) -> bool:
    """Check whether a task's isolation level permits it to join the runs on a worker."""
    if isolation is IsolationLevel.NONE:
        return True
    if isolation is IsolationLevel.EXCLUSIVE:
        return not worker.runs
    if isolation is IsolationLevel.FROM_SUSPECTS:
        return not worker.suspects
    return _has_few_new_suspects(worker, now)


def _has_few_new_suspects(worker: Worker, now: float) -> bool:
    """Check whether no more suspects on a worker have just started than run there for longer."""
    suspects = worker.suspects.values()
    settled_count = sum(_has_run_for(task, _START_GAP_SECONDS, now) for task in suspects)
    return len(suspects) <= 2 * settled_count


def _has_run_for(task: Task, seconds: float, now: float) -> bool:
    if not task.is_confirmed:
        return False
    since = task.phase_since if task.phase is Phase.RUNNING else task.ordered_at
    return now - since >= seconds


def limit_suspect_candidates(
    cell: Cell, step: Step, candidates: Iterable[Candidate], isolation: IsolationLevel
) -> list[Candidate]:
    """Limit suspects to one task per worker, and penalize addresses with a recent crash."""
    limited = []
    for candidate in candidates:
        crashed_at = cell.crashed_at.get(candidate.worker.entry.address)
        if crashed_at is not None and cell.now - crashed_at < _CRASHED_ADDRESS_SECONDS:
            candidate = dataclasses.replace(
                candidate, score=candidate.score - _CRASHED_ADDRESS_PENALTY
            )
        is_isolated = isolation is not IsolationLevel.NONE and not step.spec.gang
        limited.append(dataclasses.replace(candidate, count=1) if is_isolated else candidate)
    return limited


def record_suspect(worker: Worker, task: Task, isolation: IsolationLevel) -> None:
    """Record on a worker that a suspect runs there, and whether it needs exclusive use."""
    if task.charges:
        worker.suspects[task.id, task.run] = task
        if isolation is IsolationLevel.EXCLUSIVE:
            worker.exclusive_run = (task.id, task.run)


def end_exclusive_use(cell: Cell, worker: Worker, task: Task, now: float) -> None:
    """Open a worker to other runs once the suspect that has it to itself has run long enough."""
    if worker.exclusive_run != (task.id, task.run):
        return
    if _has_run_for(task, _EXCLUSIVE_RUN_SECONDS, now):
        worker.exclusive_run = None
        cell.needs_placement = True


def remove_suspect(cell: Cell, task: Task) -> None:
    """Open the worker of a task's current run to runs that may not share it with a suspect."""
    worker = cell.workers.get(task.life)
    if worker is not None and worker.remove_suspect(task.id, task.run):
        cell.needs_placement = True


def record_crash(cell: Cell, worker: Worker, now: float) -> None:
    """Record the address where a worker crashed, and drop old entries."""
    recent = {at: t for at, t in cell.crashed_at.items() if now - t < _CRASHED_ADDRESS_SECONDS}
    cell.crashed_at = {**recent, worker.entry.address: now}

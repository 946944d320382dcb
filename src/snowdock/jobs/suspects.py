"""Who may run beside a task under which workers went, so that it shows whose fault it is.

The load this answers: a worker runs some ten tasks when one of them ends it, and all of them are
charged. Placed together again, the innocent are charged again with the guilty one, and given up
with it. So a suspect shares no worker with another one, and after a second loss a worker with
nobody. A worker that goes then points at one task.

Where room is short that may have to wait; `_ALONE_SECONDS` and `_APART_SECONDS` bound for how long.
"""

import dataclasses
import enum
from collections.abc import Iterable

from .candidates import Candidate
from .cell import Cell
from .job_state import Phase, Step, Task
from .workers import Worker

__all__ = [
    "IsolationLevel",
    "limit_suspect_seats",
    "may_share_worker",
    "next_tasks",
    "record_crash",
    "record_suspect",
]

SEPARATE_FROM_LOSSES = 1
"""Losses from which a task is kept apart from other suspects."""

EXCLUSIVE_FROM_LOSSES = 2
"""Losses from which a task is kept apart from everything."""

_EXCLUSIVE_WAIT_SECONDS = 0.8
_SEPARATE_WAIT_SECONDS = 1.6
"""How long a task waits for an empty worker, and for one without a suspect. A start waits for its
ticket and record besides, and users allow three seconds beside free room."""

_CRASHED_ADDRESS_SECONDS = 30.0
_CRASHED_ADDRESS_PENALTY = 10.0
"""For so long an address where a worker crashed is the last choice for suspects: a worker that goes
up and down by itself would be charged to whoever is there. The malus is beyond any score."""


class IsolationLevel(enum.IntEnum):
    """Whom a task may share a worker with."""

    NONE = 0
    FROM_SUSPECTS = 1
    EXCLUSIVE = 2


def next_tasks(step: Step, now: float) -> tuple[list[Task], IsolationLevel]:
    """Give the waiting tasks of a step to place next, and whom they may share a worker with.

    Those that may share it with most go first; a gang goes whole.
    """
    waiting = [task for task in step.tasks if task.phase is Phase.WAITING]
    if not any(task.lost_runs for task in waiting):
        return waiting, IsolationLevel.NONE
    levels = [_isolation_level(task, now) for task in waiting]
    if step.spec.gang:
        return waiting, min(max(levels), IsolationLevel.FROM_SUSPECTS)
    isolation = min(levels)
    selected = [task for task, own in zip(waiting, levels, strict=True) if own is isolation]
    return selected, isolation


def _isolation_level(task: Task, now: float) -> IsolationLevel:
    losses = len(task.lost_runs)
    waited = now - task.phase_since
    if losses >= EXCLUSIVE_FROM_LOSSES and waited < _EXCLUSIVE_WAIT_SECONDS:
        return IsolationLevel.EXCLUSIVE
    if losses >= SEPARATE_FROM_LOSSES and waited < _SEPARATE_WAIT_SECONDS:
        return IsolationLevel.FROM_SUSPECTS
    return IsolationLevel.NONE


def may_share_worker(worker: Worker, isolation: IsolationLevel) -> bool:
    """Whether a task may share a worker with all that is there."""
    if isolation is IsolationLevel.EXCLUSIVE:
        return not worker.runs
    return isolation is IsolationLevel.NONE or not worker.suspects


def limit_suspect_seats(
    cell: Cell, step: Step, seats: Iterable[Candidate], isolation: IsolationLevel
) -> list[Candidate]:
    """Give the seats for suspects: one a worker, and those where none crashed lately first."""
    found = []
    for seat in seats:
        crashed_at = cell.crashed_at.get(seat.worker.entry.address)
        if crashed_at is not None and cell.now - crashed_at < _CRASHED_ADDRESS_SECONDS:
            seat = dataclasses.replace(seat, score=seat.score - _CRASHED_ADDRESS_PENALTY)
        is_isolated = isolation is not IsolationLevel.NONE and not step.spec.gang
        found.append(dataclasses.replace(seat, count=1) if is_isolated else seat)
    return found


def record_suspect(worker: Worker, task: Task, isolation: IsolationLevel) -> None:
    """Remember at a worker that a suspect runs there, and whether nobody may join it."""
    if task.lost_runs:
        worker.suspects[task.id, task.run] = isolation is IsolationLevel.EXCLUSIVE


def record_crash(cell: Cell, worker: Worker, now: float) -> None:
    """Remember where a worker crashed, and forget what was long ago."""
    recent = {at: t for at, t in cell.crashed_at.items() if now - t < _CRASHED_ADDRESS_SECONDS}
    cell.crashed_at = {**recent, worker.entry.address: now}

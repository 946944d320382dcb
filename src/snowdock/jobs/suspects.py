"""Isolation of suspects: tasks with runs that were lost with their workers.

When a task crashes a worker, all tasks on that worker are charged. If they were placed together
again, healthy tasks would be charged repeatedly and given up along with the faulty one. So a
suspect does not share a worker with another suspect, and after a second loss it gets a worker of
its own. A further crash then identifies the faulty task.

If room is short, isolation delays the task by at most `_EXCLUSIVE_WAIT_SECONDS` or
`_SEPARATE_WAIT_SECONDS`.
"""

import dataclasses
import enum
from collections.abc import Iterable

from .cell import Cell
from .parts import Phase, Step, Task
from .seats import Seats
from .workers import Worker

__all__ = ["Company", "may_join", "next_tasks", "note_crash", "note_suspect", "spread"]

APART_FROM = 1
"""Losses from which a task does not share a worker with other suspects."""

ALONE_FROM = 2
"""Losses from which a task does not share a worker at all."""

_ALONE_SECONDS = 0.8
_APART_SECONDS = 1.6
"""How long a task waits for an empty worker, and for one without a suspect. Together with the waits
for its ticket and record, a start must not exceed three seconds if room is free."""

_UNSOUND_SECONDS = 30.0
_UNSOUND_MALUS = 10.0
"""For this time an address where a worker crashed is the last choice for suspects: the crashes of a
flapping worker would be charged to the tasks there. The penalty exceeds any score."""


class Company(enum.IntEnum):
    """Which other runs a task may not share a worker with."""

    ANYBODY = 0
    NO_SUSPECT = 1
    NOBODY = 2


def next_tasks(step: Step, now: float) -> tuple[list[Task], Company]:
    """Return the waiting tasks of a step to place next, and their isolation level.

    Tasks with the lowest level come first; a gang is placed as a whole.
    """
    waiting = [task for task in step.tasks if task.phase is Phase.WAITING]
    if not any(task.lost_runs for task in waiting):
        return waiting, Company.ANYBODY
    wanted = [_company(task, now) for task in waiting]
    if step.spec.gang:
        return waiting, min(max(wanted), Company.NO_SUSPECT)
    company = min(wanted)
    alike = [task for task, own in zip(waiting, wanted, strict=True) if own is company]
    return alike, company


def _company(task: Task, now: float) -> Company:
    losses = len(task.lost_runs)
    waited = now - task.since
    if losses >= ALONE_FROM and waited < _ALONE_SECONDS:
        return Company.NOBODY
    if losses >= APART_FROM and waited < _APART_SECONDS:
        return Company.NO_SUSPECT
    return Company.ANYBODY


def may_join(worker: Worker, company: Company) -> bool:
    """Check whether a task's isolation level permits it to join the runs on a worker."""
    if company is Company.NOBODY:
        return not worker.runs
    return company is Company.ANYBODY or not worker.suspects


def spread(cell: Cell, step: Step, seats: Iterable[Seats], company: Company) -> list[Seats]:
    """Limit seats to one a worker for suspects, and penalize addresses with a recent crash."""
    found = []
    for seat in seats:
        crashed_at = cell.crashed_at.get(seat.worker.entry.address)
        if crashed_at is not None and cell.now - crashed_at < _UNSOUND_SECONDS:
            seat = dataclasses.replace(seat, score=seat.score - _UNSOUND_MALUS)
        is_alone = company is not Company.ANYBODY and not step.spec.gang
        found.append(dataclasses.replace(seat, count=1) if is_alone else seat)
    return found


def note_suspect(worker: Worker, task: Task, company: Company) -> None:
    """Record on a worker that a suspect runs there, and whether it needs exclusive use."""
    if task.lost_runs:
        worker.suspects[task.id, task.run] = company is Company.NOBODY


def note_crash(cell: Cell, worker: Worker, now: float) -> None:
    """Record the address where a worker crashed, and drop old entries."""
    recent = {at: t for at, t in cell.crashed_at.items() if now - t < _UNSOUND_SECONDS}
    cell.crashed_at = {**recent, worker.entry.address: now}

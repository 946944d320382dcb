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

__all__ = ["Company", "may_join", "next_tasks", "note_crash", "note_suspect", "spread"]

APART_FROM = 1
"""Losses from which a task is kept apart from other suspects."""

ALONE_FROM = 2
"""Losses from which a task is kept apart from everything."""

_ALONE_SECONDS = 0.8
_APART_SECONDS = 1.6
"""How long a task waits for an empty worker, and for one without a suspect. A start waits for its
ticket and record besides, and users allow three seconds beside free room."""

_UNSOUND_SECONDS = 30.0
_UNSOUND_MALUS = 10.0
"""For so long an address where a worker crashed is the last choice for suspects: a worker that goes
up and down by itself would be charged to whoever is there. The malus is beyond any score."""


class Company(enum.IntEnum):
    """Whom a task may share a worker with."""

    ANYBODY = 0
    NO_SUSPECT = 1
    NOBODY = 2


def next_tasks(step: Step, now: float) -> tuple[list[Task], Company]:
    """Give the waiting tasks of a step to place next, and whom they may share a worker with.

    Those that may share it with most go first; a gang goes whole.
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
    waited = now - task.phase_since
    if losses >= ALONE_FROM and waited < _ALONE_SECONDS:
        return Company.NOBODY
    if losses >= APART_FROM and waited < _APART_SECONDS:
        return Company.NO_SUSPECT
    return Company.ANYBODY


def may_join(worker: Worker, company: Company) -> bool:
    """Whether a task may share a worker with all that is there."""
    if company is Company.NOBODY:
        return not worker.runs
    return company is Company.ANYBODY or not worker.suspects


def spread(cell: Cell, step: Step, seats: Iterable[Candidate], company: Company) -> list[Candidate]:
    """Give the seats for suspects: one a worker, and those where none crashed lately first."""
    found = []
    for seat in seats:
        crashed_at = cell.crashed_at.get(seat.worker.entry.address)
        if crashed_at is not None and cell.now - crashed_at < _UNSOUND_SECONDS:
            seat = dataclasses.replace(seat, score=seat.score - _UNSOUND_MALUS)
        is_alone = company is not Company.ANYBODY and not step.spec.gang
        found.append(dataclasses.replace(seat, count=1) if is_alone else seat)
    return found


def note_suspect(worker: Worker, task: Task, company: Company) -> None:
    """Remember at a worker that a suspect runs there, and whether nobody may join it."""
    if task.lost_runs:
        worker.suspects[task.id, task.run] = company is Company.NOBODY


def note_crash(cell: Cell, worker: Worker, now: float) -> None:
    """Remember where a worker crashed, and forget what was long ago."""
    recent = {at: t for at, t in cell.crashed_at.items() if now - t < _UNSOUND_SECONDS}
    cell.crashed_at = {**recent, worker.entry.address: now}

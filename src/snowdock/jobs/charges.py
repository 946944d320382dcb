"""Charging of lost runs to their tasks, and the limits at which a task is given up.

A task is given up only for workers that have ended without a planned shutdown, see `Evidence`. A
loss alone fails no job: the worker may be partitioned, or may have left. Until more is known,
recent losses still delay the task's next start, since all of them may have been crashes. The
charges are part of the job's durable progress, so that any later leader can resolve them.
"""

import dataclasses
from collections.abc import Iterable, Iterator

from .cell import Cell
from .durability import mark_dirty
from .evidence import Charge, Evidence
from .job_state import Job, Task
from .workers import Worker

__all__ = [
    "MAX_CRASHES",
    "MAX_POSSIBLE_CRASHES",
    "charge_ended_run",
    "charge_run",
    "charges_on",
    "drop_charges",
    "forget_charges",
    "forget_task_charges",
    "is_on_hold",
    "may_have_ended_early",
    "restore_charges",
    "revoke_charge",
]

MAX_CRASHES = 3
"""Crashes after which a task is given up. Without a limit, one task crashes a worker every few
seconds; two crashes can be due to other tasks on the same workers."""

MAX_POSSIBLE_CRASHES = 5
"""Crashes, certain or possible, after which a task is given up: at most two starts may follow three
crashes, even if none of these is certain."""

_CHARGE_ALL_FROM_CRASHES = 3
"""Possible crashes from which every further start is charged, however it ends: all of them may have
been crashes, and at most two more starts are allowed."""

_UNRESOLVED_SECONDS = 15.0
"""How long a loss counts as a possible crash without any sign of its worker. Crashed workers return
after some seconds; callers of a job whose workers were cut off wait for this."""

_UNRESOLVED_AFTER_TAKEOVER_SECONDS = 5.0
"""The same for a loss that an earlier leader has recorded. A new leader reads all entries at once,
and a hold must not begin anew with each change of leader."""

_EARLY_END_SECONDS = 2.0
"""A run that was reported as running for longer did not crash its worker at its start."""

_MAX_CHARGES = 16
"""Charges that are kept for a task; of more, the oldest unresolved ones are dropped."""


def charge_run(cell: Cell, task: Task, charge: Charge) -> bool:
    """Charge a run to its task, or change its charge; return whether the task is to be given up."""
    if not charge.is_crash and any(c.run == charge.run and c.is_crash for c in task.charges):
        # An earlier life of the worker crashed before the next one executed the start.
        return False
    others = tuple(each for each in task.charges if each.run != charge.run)
    _replace_charges(cell, task, _limit_charges((*others, charge)))
    job = task.step.job
    cell.log_decision(
        "task_charged",
        job.id,
        task=task.id,
        run=charge.run,
        worker=charge.life,
        evidence=charge.evidence.name.lower(),
        **_count_charges(task),
    )
    if job.status.is_final:
        return False
    if not _is_over_limit(task):
        _log_hold(cell, task)
        return False
    cell.log_decision(
        "task_given_up",
        job.id,
        task=task.id,
        rule="crashes" if len(task.crashed_runs) >= MAX_CRASHES else "possible_crashes",
        charges=[f"{each.run}:{each.evidence.name.lower()}:{each.life}" for each in task.charges],
        **_count_charges(task),
    )
    return True


def revoke_charge(cell: Cell, task: Task, charge: Charge, reason: str) -> None:
    """Drop the charge of a run whose worker turned out not to have crashed."""
    _replace_charges(cell, task, tuple(each for each in task.charges if each.run != charge.run))
    cell.log_decision(
        "charge_taken_back",
        task.step.job.id,
        task=task.id,
        run=charge.run,
        worker=charge.life,
        reason=reason,
    )


def drop_charges(cell: Cell, task: Task) -> None:
    """Drop all charges of a task."""
    _replace_charges(cell, task, ())


def forget_charges(cell: Cell, job: Job) -> None:
    """Stop looking for evidence about the charged runs of a job that has ended."""
    for task in job.all_tasks():
        forget_task_charges(cell, task)


def forget_task_charges(cell: Cell, task: Task) -> None:
    """Stop looking for evidence about the charged runs of a task that is done."""
    for charge in task.charges:
        _remove_from_index(cell, task, charge)


def restore_charges(cell: Cell, task: Task, charges: tuple[Charge, ...]) -> None:
    """Set the charges that an earlier leader recorded for a task."""
    charged_at = cell.now - (_UNRESOLVED_SECONDS - _UNRESOLVED_AFTER_TAKEOVER_SECONDS)
    _set_charges(
        cell, task, tuple(dataclasses.replace(each, charged_at=charged_at) for each in charges)
    )


def charges_on(cell: Cell, life: str) -> Iterator[tuple[Task, Charge]]:
    """Yield the charged runs on a worker's life, with their tasks."""
    for task_id, run in sorted(cell.charged_lives.get(life, ())):
        task = cell.find_task(task_id)
        if task is not None:
            yield from ((task, each) for each in task.charges if each.run == run)


def charge_ended_run(cell: Cell, worker: Worker, task: Task, run: int) -> bool:
    """Charge a run whose end was reported, if many workers may have crashed under its task.

    Returns whether the task is to be given up.
    """
    # If a gang breaks just as one of its members crashes a worker, the crashing run is reported as
    # ended. Without a charge, the member would be started beyond its limit.
    possible_crashes = _count_possible_crashes(_open_charges(task, cell.now))
    if possible_crashes < _CHARGE_ALL_FROM_CRASHES or not may_have_ended_early(worker, task):
        return False
    charge = Charge(run, Evidence.EARLY_END, charged_at=cell.now)
    return charge_run(cell, task, charge)


def may_have_ended_early(worker: Worker, task: Task) -> bool:
    """Check whether a task's run, or its worker, may have ended just after the run started."""
    # Uses the worker's last report: a leader that stalled does not know when the worker ended, and
    # a new leader does not know when a recovered run started. In either case the run would be
    # treated as old and would not be charged.
    return not task.is_confirmed or worker.last_report_at - task.ordered_at <= _EARLY_END_SECONDS


def is_on_hold(task: Task, now: float) -> bool:
    """Check whether a task may not start, since it may already have used up its starts.

    The hold ends once the workers of its lost runs answer, or have been missing for
    `_UNRESOLVED_SECONDS`, or for `_UNRESOLVED_AFTER_TAKEOVER_SECONDS` after a change of leader.
    """
    if len(task.charges) < MAX_POSSIBLE_CRASHES:
        return False
    return _count_starts(_open_charges(task, now)) >= MAX_POSSIBLE_CRASHES


def _is_over_limit(task: Task) -> bool:
    if len(task.crashed_runs) >= MAX_CRASHES:
        return True
    resolved = [charge for charge in task.charges if not charge.is_unresolved]
    return _count_starts(resolved) >= MAX_POSSIBLE_CRASHES


def _count_starts(charges: Iterable[Charge]) -> int:
    """Return the number of charges that count toward the limit.

    Runs that ended early only count beside many possible crashes.
    """
    is_early_end = [charge.evidence is Evidence.EARLY_END for charge in charges]
    crashes = is_early_end.count(False)
    return crashes if crashes < _CHARGE_ALL_FROM_CRASHES else len(is_early_end)


def _count_possible_crashes(charges: Iterable[Charge]) -> int:
    return sum(charge.evidence is not Evidence.EARLY_END for charge in charges)


def _open_charges(task: Task, now: float) -> list[Charge]:
    """Return the charges that may be crashes, or starts after these, as far as is known now."""
    return [
        charge
        for charge in task.charges
        if charge.is_crash or now - charge.charged_at < _UNRESOLVED_SECONDS
    ]


def _count_charges(task: Task) -> dict[str, int]:
    return {
        "crashes": len(task.crashed_runs),
        "possible_crashes": sum(c.evidence is Evidence.POSSIBLE_CRASH for c in task.charges),
        "losses": sum(charge.is_unresolved for charge in task.charges),
        "early_ends": sum(charge.evidence is Evidence.EARLY_END for charge in task.charges),
    }


def _log_hold(cell: Cell, task: Task) -> None:
    if is_on_hold(task, cell.now):
        cell.log_decision(
            "task_on_hold",
            task.step.job.id,
            task=task.id,
            at_most_s=_UNRESOLVED_SECONDS,
            **_count_charges(task),
        )


def _limit_charges(charges: tuple[Charge, ...]) -> tuple[Charge, ...]:
    if len(charges) <= _MAX_CHARGES:
        return charges
    oldest = next((charge for charge in charges if not charge.is_crash), charges[0])
    return tuple(charge for charge in charges if charge is not oldest)


# -- index of charges by worker life --------------------------------------------------------


def _replace_charges(cell: Cell, task: Task, charges: tuple[Charge, ...]) -> None:
    for charge in task.charges:
        _remove_from_index(cell, task, charge)
    _set_charges(cell, task, charges)
    mark_dirty(cell, task.step.job)


def _set_charges(cell: Cell, task: Task, charges: tuple[Charge, ...]) -> None:
    task.charges = charges
    if not task.step.job.status.is_final:
        for charge in charges:
            _add_to_index(cell, task, charge)


def _add_to_index(cell: Cell, task: Task, charge: Charge) -> None:
    if charge.life:
        cell.charged_lives.setdefault(charge.life, set()).add((task.id, charge.run))


def _remove_from_index(cell: Cell, task: Task, charge: Charge) -> None:
    runs = cell.charged_lives.get(charge.life)
    if runs is not None:
        runs.discard((task.id, charge.run))
        if not runs:
            del cell.charged_lives[charge.life]

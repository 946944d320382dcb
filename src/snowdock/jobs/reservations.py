"""Room to come that is kept for bulky steps: what would end later goes elsewhere.

A bulky task needs much of a worker at the same time, a gang room at several workers. Where smaller
work takes each piece as it comes free, that moment never comes. So the workers where it comes
first are reserved; what ends before then may still use them.
"""

import math
from collections.abc import Iterable

from .candidates import caution_for, count_fitting, is_trusted, max_additional_tasks
from .cell import Cell, Claim
from .forecast import upcoming_free_room
from .job_state import Step
from .model import StepKey
from .workers import RoomHold, Worker

__all__ = ["find_reservation", "hold_room", "release_claim", "reserve_room"]

_RESERVATION_SECONDS = 0.6
"""How long a reservation holds: it is made anew as long as its step waits."""

_RENEWAL_MARGIN_SECONDS = 0.3
"""A reservation is made anew when this much or less is left: runs end earlier or later than was
expected, and other workers may have become the first."""


def find_reservation(cell: Cell, step: Step, now: float) -> Claim | None:
    """Give the room to come that is reserved for a step; None where there is none."""
    claim = cell.claims.get(step.key)
    if claim is None or claim.is_preemptive or claim.expires_at <= now:
        return None
    return claim


def reserve_room(
    cell: Cell, step: Step, workers: Iterable[Worker], wanted: int, now: float
) -> None:
    """Reserve the workers where a bulky step will find room first.

    Parameters
    ----------
    cell
        The leader's state.
    step
        A bulky step that finds no room now.
    workers
        Workers that may run it.
    wanted
        Tasks that wait for room.
    now
        The steady clock, in seconds.
    """
    claim = cell.claims.get(step.key)
    if claim is not None and claim.expires_at > now + (
        0.0 if claim.is_preemptive else _RENEWAL_MARGIN_SECONDS
    ):
        return
    release_claim(cell, step.key)
    slots = _find_earliest_slots(cell, step, workers, wanted, now)
    if not slots:
        return
    lives = frozenset(worker.life for _, worker in slots)
    for life in lives:
        times = [at for at, worker in slots if worker.life == life]
        # A gang begins once all of it has room, other tasks as soon as each has.
        due = slots[-1][0] if step.spec.gang else times[0]
        room = step.spec.room.times(len(times))
        cell.workers[life].room_holds[step.key] = RoomHold(room, due, step.rank)
    cell.claims[step.key] = Claim(now + _RESERVATION_SECONDS, lives, is_preemptive=False)
    if claim is None:
        cell.log_decision(
            "room_reserved",
            step.job.id,
            step=step.number,
            tasks=wanted,
            workers=len(lives),
            due_s=slots[0][0] - now,
            rank=step.rank,
        )


def _find_earliest_slots(
    cell: Cell, step: Step, workers: Iterable[Worker], wanted: int, now: float
) -> list[tuple[float, Worker]]:
    """Give when and where tasks will find room first, the earliest first.

    A gang that will not find room for all of its tasks is given none.
    """
    caution = caution_for(cell, step)
    slots: list[tuple[float, Worker]] = []
    for worker in workers:
        if is_trusted(cell, worker, caution):
            slots += [(at, worker) for at in _compute_slot_times(cell, step, worker, wanted, now)]
    if step.spec.gang and len(slots) < wanted:
        return []
    slots.sort(key=lambda seat: seat[0])
    return slots[:wanted]


def _compute_slot_times(
    cell: Cell, step: Step, worker: Worker, wanted: int, now: float
) -> list[float]:
    """Give when each further task of a step is expected to find room at a worker."""
    max_tasks = min(wanted, max_additional_tasks(step, worker))
    free = worker.free_for(step.key, step.rank)
    times = [now] * min(max_tasks, count_fitting(free, step.spec.room))
    for at, room in upcoming_free_room(cell, worker, now):
        if len(times) >= max_tasks or math.isinf(at):
            break
        free = free.plus(room)
        times += [at] * (min(max_tasks, count_fitting(free, step.spec.room)) - len(times))
    return times


def hold_room(
    cell: Cell, step: Step, workers: Iterable[Worker], wanted: int, now: float, seconds: float
) -> None:
    """Keep the room that a step sees, but may not take yet, from steps that rank lower.

    Parameters
    ----------
    cell
        The leader's state.
    step
        A step that asks for tickets.
    workers
        Workers that may run it.
    wanted
        Tasks that wait for room.
    now
        The steady clock, in seconds.
    seconds
        How long the room is kept.
    """
    release_claim(cell, step.key)
    lives = set()
    for worker in workers:
        free = worker.free_for(step.key, step.rank)
        slots = min(wanted, max_additional_tasks(step, worker), count_fitting(free, step.spec.room))
        if slots:
            worker.room_holds[step.key] = RoomHold(step.spec.room.times(slots), now, step.rank)
            lives.add(worker.life)
            wanted -= slots
    if lives:
        cell.claims[step.key] = Claim(now + seconds, frozenset(lives), is_preemptive=False)


def release_claim(cell: Cell, key: StepKey) -> None:
    """Give back what is kept for a step."""
    claim = cell.claims.pop(key, None)
    if claim is None:
        return
    for life in claim.lives:
        worker = cell.workers.get(life)
        if worker is not None:
            worker.room_holds.pop(key, None)

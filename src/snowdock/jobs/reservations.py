"""Reservations of resources that will become free, for bulky steps (backfill scheduling).

A bulky task needs a large part of a worker at once, and a gang needs several workers at once. If
smaller tasks take all resources as they become free, a bulky step is never placed. Therefore the
workers that are expected to have enough resources first are reserved for it. Runs that end before
the reserved start may still use them.
"""

import math
from collections.abc import Iterable

from .candidates import (
    caution_for,
    count_fitting,
    count_slots,
    is_trusted,
    max_additional_tasks,
)
from .cell import Cell, Claim
from .forecast import upcoming_free_room
from .job_state import Step
from .machine_speeds import is_slow
from .model import StepKey
from .speeds import typical_seconds
from .workers import RoomHold, Worker

__all__ = [
    "find_earliest_slots",
    "find_reservation",
    "hold_room",
    "last_end",
    "release_claim",
    "reserve_room",
]

_RESERVATION_SECONDS = 0.6
"""Duration of a reservation; it is renewed while its step waits."""

_RENEWAL_MARGIN_SECONDS = 0.3
"""A reservation is renewed when this much or less of it is left, possibly on other workers, because
runs end earlier or later than expected."""


def find_reservation(cell: Cell, step: Step, now: float) -> Claim | None:
    """Return the reservation for a step, or None if there is none."""
    claim = cell.claims.get(step.key)
    if claim is None or claim.is_preemptive or claim.expires_at <= now:
        return None
    return claim


def reserve_room(
    cell: Cell, step: Step, workers: Iterable[Worker], wanted: int, now: float
) -> None:
    """Reserve the workers on which a bulky step can be placed first.

    Parameters
    ----------
    cell
        State of the leader.
    step
        A bulky step that cannot be placed now.
    workers
        Workers that may run the step.
    wanted
        Number of tasks to place.
    now
        Current time on the steady clock, in seconds.
    """
    claim = cell.claims.get(step.key)
    if claim is not None and claim.expires_at > now + (
        0.0 if claim.is_preemptive else _RENEWAL_MARGIN_SECONDS
    ):
        return
    release_claim(cell, step.key)
    slots = _find_best_slots(cell, step, list(workers), wanted, now)
    if not slots:
        return
    lives = frozenset(worker.life for _, worker in slots)
    for life in lives:
        times = [at for at, worker in slots if worker.life == life]
        # A gang starts with its last slot, other tasks with the first slot of their worker.
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


def _find_best_slots(
    cell: Cell, step: Step, workers: list[Worker], wanted: int, now: float
) -> list[tuple[float, Worker]]:
    """Return the earliest slots; for a gang in an uneven pool, those with the earliest end."""
    slots = find_earliest_slots(cell, step, workers, wanted, now)
    if not cell.is_uneven or not step.spec.gang or not slots:
        return slots
    fast = [worker for worker in workers if not is_slow(cell, worker)]
    fast_slots = find_earliest_slots(cell, step, fast, wanted, now)
    if not fast_slots:
        return slots
    return min(slots, fast_slots, key=lambda each: last_end(step, each))


def last_end(step: Step, slots: list[tuple[float, Worker]]) -> float:
    """Return when the last of a step's tasks ends, if all run at the pace of the slowest worker."""
    return slots[-1][0] + typical_seconds(step) * max(worker.slowness for _, worker in slots)


def find_earliest_slots(
    cell: Cell, step: Step, workers: Iterable[Worker], wanted: int, now: float
) -> list[tuple[float, Worker]]:
    """Return the times and workers of the earliest slots for tasks, in ascending order of time.

    Returns none for a gang if there are not enough slots for all of its tasks.
    """
    caution = caution_for(cell, step, now)
    slots: list[tuple[float, Worker]] = []
    for worker in workers:
        if is_trusted(worker, caution, now):
            slots += [(at, worker) for at in _compute_slot_times(cell, step, worker, wanted, now)]
    if step.spec.gang and len(slots) < wanted:
        return []
    slots.sort(key=lambda slot: slot[0])
    return slots[:wanted]


def _compute_slot_times(
    cell: Cell, step: Step, worker: Worker, wanted: int, now: float
) -> list[float]:
    """Return the expected times at which a worker has resources for each further task."""
    max_tasks = min(wanted, max_additional_tasks(step, worker))
    if max_tasks <= 0:
        return []
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
    """Keep free room from lower-ranked steps while a step waits for tickets.

    Parameters
    ----------
    cell
        State of the leader.
    step
        A step with a pending advice request.
    workers
        Workers that may run the step.
    wanted
        Number of tasks to place.
    now
        Current time on the steady clock, in seconds.
    seconds
        Time for which the resources are held.
    """
    release_claim(cell, step.key)
    lives = set()
    for worker in workers:
        free = worker.free_for(step.key, step.rank)
        slots = min(wanted, count_slots(step, worker, free))
        if slots:
            worker.room_holds[step.key] = RoomHold(step.spec.room.times(slots), now, step.rank)
            lives.add(worker.life)
            wanted -= slots
    if lives:
        cell.claims[step.key] = Claim(now + seconds, frozenset(lives), is_preemptive=False)


def release_claim(cell: Cell, key: StepKey) -> None:
    """Release the claim of a step on all workers."""
    claim = cell.claims.pop(key, None)
    if claim is None:
        return
    for life in claim.lives:
        worker = cell.workers.get(life)
        if worker is not None:
            worker.room_holds.pop(key, None)

"""Reservations of resources that will become free, for bulky steps (backfill scheduling).

A bulky task needs a large part of a worker at once, and a gang needs several workers at once. If
smaller tasks take all resources as they become free, a bulky step is never placed. Therefore the
workers that are expected to have enough resources first are reserved for it. Runs that end before
the reserved start may still use them.
"""

import math
from collections.abc import Iterable

from .cell import Cell, Claim
from .forecast import room_to_come
from .model import StepKey
from .parts import Step
from .seats import care_of, fitting, may_be_trusted, most_seats
from .workers import Hold, Worker

__all__ = ["find_reservation", "keep_room", "release_claim", "reserve"]

_KEPT_SECONDS = 0.6
"""Duration of a reservation; it is renewed while its step waits."""

_RENEW_SECONDS = 0.3
"""A reservation is renewed when this much or less of it is left, possibly on other workers, because
runs end earlier or later than expected."""


def find_reservation(cell: Cell, step: Step, now: float) -> Claim | None:
    """Return the reservation for a step, or None if there is none."""
    claim = cell.claims.get(step.key)
    if claim is None or claim.is_forced or claim.until <= now:
        return None
    return claim


def reserve(cell: Cell, step: Step, workers: Iterable[Worker], wanted: int, now: float) -> None:
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
    if claim is not None and claim.until > now + (0.0 if claim.is_forced else _RENEW_SECONDS):
        return
    release_claim(cell, step.key)
    seats = _first_seats(cell, step, workers, wanted, now)
    if not seats:
        return
    lives = frozenset(worker.life for _, worker in seats)
    for life in lives:
        times = [at for at, worker in seats if worker.life == life]
        # A gang starts with its last slot, other tasks with the first slot of their worker.
        due = seats[-1][0] if step.spec.gang else times[0]
        room = step.spec.room.times(len(times))
        cell.workers[life].claims[step.key] = Hold(room, due, step.rank)
    cell.claims[step.key] = Claim(now + _KEPT_SECONDS, lives, is_forced=False)
    if claim is None:
        cell.tell(
            "room_reserved",
            step.job.id,
            step=step.number,
            tasks=wanted,
            workers=len(lives),
            due_s=seats[0][0] - now,
            rank=step.rank,
        )


def _first_seats(
    cell: Cell, step: Step, workers: Iterable[Worker], wanted: int, now: float
) -> list[tuple[float, Worker]]:
    """Return the times and workers of the earliest slots for tasks, in ascending order of time.

    Returns none for a gang if there are not enough slots for all of its tasks.
    """
    care = care_of(cell, step)
    seats: list[tuple[float, Worker]] = []
    for worker in workers:
        if may_be_trusted(cell, worker, care):
            seats += [(at, worker) for at in _seat_times(cell, step, worker, wanted, now)]
    if step.spec.gang and len(seats) < wanted:
        return []
    seats.sort(key=lambda seat: seat[0])
    return seats[:wanted]


def _seat_times(cell: Cell, step: Step, worker: Worker, wanted: int, now: float) -> list[float]:
    """Return the expected times at which a worker has resources for each further task."""
    most = min(wanted, most_seats(step, worker))
    free = worker.free_for(step.key, step.rank)
    times = [now] * min(most, fitting(free, step.spec.room))
    for at, room in room_to_come(cell, worker, now):
        if len(times) >= most or math.isinf(at):
            break
        free = free.plus(room)
        times += [at] * (min(most, fitting(free, step.spec.room)) - len(times))
    return times


def keep_room(
    cell: Cell, step: Step, workers: Iterable[Worker], wanted: int, now: float, seconds: float
) -> None:
    """Hold free resources against lower-ranked steps while a step waits for tickets.

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
        seats = min(wanted, most_seats(step, worker), fitting(free, step.spec.room))
        if seats:
            worker.claims[step.key] = Hold(step.spec.room.times(seats), now, step.rank)
            lives.add(worker.life)
            wanted -= seats
    if lives:
        cell.claims[step.key] = Claim(now + seconds, frozenset(lives), is_forced=False)


def release_claim(cell: Cell, key: StepKey) -> None:
    """Release the claim of a step on all workers."""
    claim = cell.claims.pop(key, None)
    if claim is None:
        return
    for life in claim.lives:
        worker = cell.workers.get(life)
        if worker is not None:
            worker.claims.pop(key, None)

"""Candidate workers for the tasks of a step: how many tasks each can take, and its score."""

import dataclasses
import enum
from collections.abc import Iterable, Iterator

from ..declarations import Size
from .cell import Cell
from .failed_runs import is_being_proved, is_doubtful, is_on_trial
from .forecast import expected_end
from .parts import Step, Task
from .workers import Worker

__all__ = [
    "Care",
    "Seats",
    "care_of",
    "choose_workers",
    "find_seats",
    "fitting",
    "is_bulky",
    "may_be_trusted",
    "most_seats",
]

_UNBOUNDED = 1_000
"""Number of fitting tasks if a task needs no resources."""


_BULKY_PARTS = 3
"""A task is bulky if fewer than this many fit on an empty large worker. On a worker that is shared
by several runs, that much rarely becomes free at once by chance."""


_CAREFUL_SECONDS = 1.0
"""Time for which the last attempt of a task waits for a worker without recent failures."""

_LONGEST_CHOOSY_SECONDS = 2.0
"""Maximum time for which a step that runs nothing avoids workers quarantined for failures. Users
accept 3 s beside free resources, of which a ticket and the recording take up to one. A last
attempt waits 0.5 s longer."""


class Care(enum.IntEnum):
    """How strictly a step avoids workers on which runs have failed."""

    NONE = 0
    USUAL = 1
    MOST = 2


@dataclasses.dataclass(slots=True)
class Seats:
    """A worker that can take tasks of a step now, with their maximum number and its score."""

    worker: Worker
    count: int
    score: float


def find_seats(
    cell: Cell, step: Step, workers: Iterable[Worker], over_reservations: bool = False
) -> Iterator[Seats]:
    """Yield the candidates for a step among some workers.

    Parameters
    ----------
    cell
        State of the leader.
    step
        The step.
    workers
        Open workers of the step's service.
    ignore_reservations
        Whether resources that are only reserved for other steps count as free.
    """
    spec = step.spec
    room = spec.room
    care = care_of(cell, step)
    for worker in workers:
        free = _free_now(cell, step, worker, over_reservations)
        if not free.holds(room):
            continue
        if not may_be_trusted(cell, worker, care):
            continue
        count = min(fitting(free, room), most_seats(step, worker))
        if count <= 0:
            continue
        if is_on_trial(worker, cell.now):
            count = 1
        there = _count_there(step, worker) if spec.most_per_worker else 0
        score = cell.policy.score(step, worker, there)
        if score is not None:
            yield Seats(worker, count, score)


def _free_now(cell: Cell, step: Step, worker: Worker, over_reservations: bool) -> Size:
    """Return the resources of a worker that a run of a step may use if it starts now."""
    if not worker.claims:
        return worker.free
    if over_reservations:
        return worker.unclaimed(step.key)
    return worker.free_for(step.key, step.rank, expected_end(step, worker, cell.now))


def is_bulky(step: Step, capacity: Size) -> bool:
    """Check whether the resources left free between other runs rarely hold a step's tasks.

    Parameters
    ----------
    step
        The step.
    capacity
        Resources of a large worker of the step's service.
    """
    return step.spec.gang or not capacity.holds(step.spec.room.times(_BULKY_PARTS))


def care_of(cell: Cell, step: Step) -> Care:
    """Return how strictly a step avoids workers on which runs have failed."""
    waited = cell.now - step.waiting_since
    if waited < _CAREFUL_SECONDS:
        return Care.MOST if _is_last_attempt(cell, step) else Care.USUAL
    longest = _LONGEST_CHOOSY_SECONDS
    if _is_last_attempt(cell, step):
        longest += _CAREFUL_SECONDS / 2
    is_stuck = waited >= longest and not any(task.is_placed for task in step.tasks)
    return Care.NONE if is_stuck else Care.USUAL


def may_be_trusted(cell: Cell, worker: Worker, care: Care) -> bool:
    """Check whether a worker's failures permit another run at a caution level."""
    if care is Care.NONE:
        return True
    if is_being_proved(worker, cell.now):
        return False
    return care is Care.USUAL or not is_doubtful(worker)


def _is_last_attempt(cell: Cell, step: Step) -> bool:
    """Check whether one more failure of a task would fail the job."""
    most = cell.queue_of(step.job).max_attempts - 1
    return any(task.failures >= most for task in step.tasks)


def most_seats(step: Step, worker: Worker) -> int:
    """Return how many more tasks of a step a worker may run, regardless of its resources."""
    spec = step.spec
    if spec.label and spec.label not in worker.entry.labels:
        return 0
    if not spec.most_per_worker:
        return _UNBOUNDED
    return max(0, spec.most_per_worker - _count_there(step, worker))


def fitting(free: Size, room: Size) -> int:
    """Return the number of tasks that fit into free resources, which may be negative."""
    counts = [
        have // need
        for have, need in (
            (free.cpu, room.cpu),
            (free.memory, room.memory),
            (free.accelerators, room.accelerators),
        )
        if need
    ]
    return max(0, min(counts, default=_UNBOUNDED))


def _count_there(step: Step, worker: Worker) -> int:
    """Count a step's runs on a worker, including those that are being stopped."""
    job, repetition, number = step.key
    return sum(
        1
        for task, _ in worker.runs
        if task.job == job and task.repetition == repetition and task.step == number
    )


def choose_workers(step: Step, tasks: list[Task], seats: list[Seats]) -> list[Worker]:
    """Return a worker for each task, in order, as far as the candidates suffice."""
    if step.spec.gang and step.spec.same_rack:
        seats = _within_one_rack(seats, len(tasks))
    seats.sort(key=lambda seat: -seat.score)
    avoided = set()
    for task in tasks:
        avoided |= task.avoid or set()
    if avoided or any(seat.worker.aside_for for seat in seats):
        # Prefer workers on which the tasks have not failed, and those without charged failures.
        seats.sort(key=lambda seat: (seat.worker.life in avoided, bool(seat.worker.charged)))
    chosen: list[Worker] = []
    for seat in seats:
        taken = min(seat.count, len(tasks) - len(chosen))
        chosen.extend([seat.worker] * taken)
        if len(chosen) == len(tasks):
            break
    return chosen


def _within_one_rack(seats: list[Seats], wanted: int) -> list[Seats]:
    """Return the candidates of the smallest rack that can hold all tasks, or all candidates."""
    racks: dict[str, list[Seats]] = {}
    for seat in seats:
        racks.setdefault(seat.worker.entry.rack, []).append(seat)
    fitting = [rack for rack in racks.values() if sum(seat.count for seat in rack) >= wanted]
    if not fitting:
        return seats
    return min(fitting, key=lambda rack: sum(seat.count for seat in rack))

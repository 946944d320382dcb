"""Where tasks of a step find room: workers, how many tasks each takes, and how good it is."""

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
"""How many tasks fit that take no room at all."""


_BULKY_PARTS = 3
"""A task that takes more than a third of a worker is bulky: where a worker's room is shared by
more than two, a piece as large seldom comes free by chance."""


_CAREFUL_SECONDS = 1.0
"""How long a last attempt waits for a worker without doubts."""

_LONGEST_CHOOSY_SECONDS = 2.0
"""A step that runs nothing waits so long at most for workers that are not set aside for failures:
users allow three seconds beside free room, and a ticket and a record take up to one of them. A last
attempt waits half a second longer."""


class Care(enum.IntEnum):
    """How choosy a step is about workers where runs have failed."""

    NONE = 0
    USUAL = 1
    MOST = 2


@dataclasses.dataclass(slots=True)
class Seats:
    """How many tasks of a step a worker can take now, and how good it is for them."""

    worker: Worker
    count: int
    score: float


def find_seats(
    cell: Cell, step: Step, workers: Iterable[Worker], over_reservations: bool = False
) -> Iterator[Seats]:
    """Give the seats for a step's tasks on some workers.

    Parameters
    ----------
    cell
        The leader's state.
    step
        The step.
    workers
        Workers of the step's service that may take something now.
    over_reservations
        Whether room counts that others have only reserved.
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
    """Give the room that a run of a step may take at a worker if it began now."""
    if not worker.claims:
        return worker.free
    if over_reservations:
        return worker.unclaimed(step.key)
    return worker.free_for(step.key, step.rank, expected_end(step, worker, cell.now))


def is_bulky(step: Step, capacity: Size) -> bool:
    """Whether pieces of room between other work hardly ever hold a step's tasks.

    Parameters
    ----------
    step
        The step.
    capacity
        The room of a large worker of its service.
    """
    return step.spec.gang or not capacity.holds(step.spec.room.times(_BULKY_PARTS))


def care_of(cell: Cell, step: Step) -> Care:
    """Tell how choosy a step is about workers where runs have failed."""
    waited = cell.now - step.waiting_since
    if waited < _CAREFUL_SECONDS:
        return Care.MOST if _is_last_attempt(cell, step) else Care.USUAL
    longest = _LONGEST_CHOOSY_SECONDS
    if _is_last_attempt(cell, step):
        longest += _CAREFUL_SECONDS / 2
    is_stuck = waited >= longest and not any(task.is_placed for task in step.tasks)
    return Care.NONE if is_stuck else Care.USUAL


def may_be_trusted(cell: Cell, worker: Worker, care: Care) -> bool:
    """Whether a worker where runs have failed takes another one."""
    if care is Care.NONE:
        return True
    if is_being_proved(worker, cell.now):
        return False
    return care is Care.USUAL or not is_doubtful(worker)


def _is_last_attempt(cell: Cell, step: Step) -> bool:
    """Whether one more failure would fail the job."""
    most = cell.queue_of(step.job).max_attempts - 1
    return any(task.failures >= most for task in step.tasks)


def most_seats(step: Step, worker: Worker) -> int:
    """Give the most tasks of a step that a worker may run besides those there."""
    spec = step.spec
    if spec.label and spec.label not in worker.entry.labels:
        return 0
    if not spec.most_per_worker:
        return _UNBOUNDED
    return max(0, spec.most_per_worker - _count_there(step, worker))


def fitting(free: Size, room: Size) -> int:
    """Count the tasks that fit into an amount of room, which may be negative."""
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
    """Count the step's runs on a worker, those that are being stopped included."""
    job, repetition, number = step.key
    return sum(
        1
        for task, _ in worker.runs
        if task.job == job and task.repetition == repetition and task.step == number
    )


def choose_workers(step: Step, tasks: list[Task], seats: list[Seats]) -> list[Worker]:
    """Give a worker for each task, as far as the seats go."""
    if step.spec.gang and step.spec.same_rack:
        seats = _within_one_rack(seats, len(tasks))
    seats.sort(key=lambda seat: -seat.score)
    avoided = set()
    for task in tasks:
        avoided |= task.avoid or set()
    if avoided or any(seat.worker.aside_for for seat in seats):
        # What failed on a worker goes elsewhere while there is an elsewhere, and so does what had
        # to take workers in that are set aside.
        seats.sort(key=lambda seat: (seat.worker.life in avoided, bool(seat.worker.charged)))
    chosen: list[Worker] = []
    for seat in seats:
        taken = min(seat.count, len(tasks) - len(chosen))
        chosen.extend([seat.worker] * taken)
        if len(chosen) == len(tasks):
            break
    return chosen


def _within_one_rack(seats: list[Seats], wanted: int) -> list[Seats]:
    """Give the seats of one rack that holds all, or else all seats."""
    racks: dict[str, list[Seats]] = {}
    for seat in seats:
        racks.setdefault(seat.worker.entry.rack, []).append(seat)
    fitting = [rack for rack in racks.values() if sum(seat.count for seat in rack) >= wanted]
    if not fitting:
        return seats
    return min(fitting, key=lambda rack: sum(seat.count for seat in rack))

"""Where tasks of a step find room: workers, how many tasks each takes, and how good it is."""

import dataclasses
import enum
from collections.abc import Iterable, Iterator

from ..declarations import Size
from .cell import Cell
from .failed_runs import has_probation_run, is_doubtful, is_on_probation
from .forecast import expected_end
from .job_state import Step, Task
from .workers import Worker

__all__ = [
    "Candidate",
    "Caution",
    "caution_for",
    "choose_workers",
    "count_fitting",
    "find_candidates",
    "is_bulky",
    "is_trusted",
    "max_additional_tasks",
]

_UNBOUNDED_TASKS = 1_000
"""How many tasks fit that take no room at all."""


_BULKY_TASKS_PER_WORKER = 3
"""A task that takes more than a third of a worker is bulky: where a worker's room is shared by
more than two, a piece as large seldom comes free by chance."""


_LAST_ATTEMPT_CAUTION_SECONDS = 1.0
"""How long a last attempt waits for a worker without doubts."""

_MAX_CAUTION_SECONDS = 2.0
"""A step that runs nothing waits so long at most for workers that are not set aside for failures:
users allow three seconds beside free room, and a ticket and a record take up to one of them. A last
attempt waits half a second longer."""


class Caution(enum.IntEnum):
    """How choosy a step is about workers where runs have failed."""

    NONE = 0
    NORMAL = 1
    HIGH = 2


@dataclasses.dataclass(slots=True)
class Candidate:
    """How many tasks of a step a worker can take now, and how good it is for them."""

    worker: Worker
    count: int
    score: float


def find_candidates(
    cell: Cell, step: Step, workers: Iterable[Worker], ignore_reservations: bool = False
) -> Iterator[Candidate]:
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
    caution = caution_for(cell, step)
    for worker in workers:
        free = _available_room(cell, step, worker, ignore_reservations)
        if not free.holds(room):
            continue
        if not is_trusted(cell, worker, caution):
            continue
        count = min(count_fitting(free, room), max_additional_tasks(step, worker))
        if count <= 0:
            continue
        if is_on_probation(worker, cell.now):
            count = 1
        step_runs = _count_step_runs(step, worker) if spec.most_per_worker else 0
        score = cell.policy.score(step, worker, step_runs)
        if score is not None:
            yield Candidate(worker, count, score)


def _available_room(cell: Cell, step: Step, worker: Worker, ignore_reservations: bool) -> Size:
    """Give the room that a run of a step may take at a worker if it began now."""
    if not worker.room_holds:
        return worker.free
    if ignore_reservations:
        return worker.unreserved_room(step.key)
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
    return step.spec.gang or not capacity.holds(step.spec.room.times(_BULKY_TASKS_PER_WORKER))


def caution_for(cell: Cell, step: Step) -> Caution:
    """Tell how choosy a step is about workers where runs have failed."""
    waited = cell.now - step.waiting_since
    if waited < _LAST_ATTEMPT_CAUTION_SECONDS:
        return Caution.HIGH if _is_last_attempt(cell, step) else Caution.NORMAL
    max_wait_s = _MAX_CAUTION_SECONDS
    if _is_last_attempt(cell, step):
        max_wait_s += _LAST_ATTEMPT_CAUTION_SECONDS / 2
    is_stuck = waited >= max_wait_s and not any(task.is_placed for task in step.tasks)
    return Caution.NONE if is_stuck else Caution.NORMAL


def is_trusted(cell: Cell, worker: Worker, caution: Caution) -> bool:
    """Whether a worker where runs have failed takes another one."""
    if caution is Caution.NONE:
        return True
    if has_probation_run(worker, cell.now):
        return False
    return caution is Caution.NORMAL or not is_doubtful(worker)


def _is_last_attempt(cell: Cell, step: Step) -> bool:
    """Whether one more failure would fail the job."""
    max_retries = cell.queue_of(step.job).max_attempts - 1
    return any(task.failures >= max_retries for task in step.tasks)


def max_additional_tasks(step: Step, worker: Worker) -> int:
    """Give the most tasks of a step that a worker may run besides those there."""
    spec = step.spec
    if spec.label and spec.label not in worker.entry.labels:
        return 0
    if not spec.most_per_worker:
        return _UNBOUNDED_TASKS
    return max(0, spec.most_per_worker - _count_step_runs(step, worker))


def count_fitting(free: Size, room: Size) -> int:
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
    return max(0, min(counts, default=_UNBOUNDED_TASKS))


def _count_step_runs(step: Step, worker: Worker) -> int:
    """Count the step's runs on a worker, those that are being stopped included."""
    job, repetition, number = step.key
    return sum(
        1
        for task, _ in worker.runs
        if task.job == job and task.repetition == repetition and task.step == number
    )


def choose_workers(step: Step, tasks: list[Task], candidates: list[Candidate]) -> list[Worker]:
    """Give a worker for each task, as far as the seats go."""
    if step.spec.gang and step.spec.same_rack:
        candidates = _select_rack(candidates, len(tasks))
    candidates.sort(key=lambda candidate: -candidate.score)
    avoided = set()
    for task in tasks:
        avoided |= task.avoided_lives or set()
    if avoided or any(seat.worker.quarantine_cause for seat in candidates):
        # What failed on a worker goes elsewhere while there is an elsewhere, and so does what had
        # to take workers in that are set aside.
        candidates.sort(
            key=lambda seat: (seat.worker.life in avoided, bool(seat.worker.failures_by_step))
        )
    chosen: list[Worker] = []
    for seat in candidates:
        count = min(seat.count, len(tasks) - len(chosen))
        chosen.extend([seat.worker] * count)
        if len(chosen) == len(tasks):
            break
    return chosen


def _select_rack(candidates: list[Candidate], wanted: int) -> list[Candidate]:
    """Give the seats of one rack that holds all, or else all seats."""
    racks: dict[str, list[Candidate]] = {}
    for seat in candidates:
        racks.setdefault(seat.worker.entry.rack, []).append(seat)
    sufficient = [rack for rack in racks.values() if sum(seat.count for seat in rack) >= wanted]
    if not sufficient:
        return candidates
    return min(sufficient, key=lambda rack: sum(seat.count for seat in rack))

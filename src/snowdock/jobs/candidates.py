"""Candidate workers for the tasks of a step: how many tasks each can take, and its score."""

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
    "available_room",
    "caution_for",
    "choose_workers",
    "count_fitting",
    "count_slots",
    "count_startable",
    "find_candidates",
    "is_bulky",
    "is_trusted",
    "max_additional_tasks",
]

_UNBOUNDED_TASKS = 1_000
"""Number of fitting tasks if a task needs no resources."""

_BULKY_TASKS_PER_WORKER = 3
"""A task is bulky if fewer than this many fit on an empty large worker. On a worker that is shared
by several runs, that much rarely becomes free at once by chance."""


_LAST_ATTEMPT_CAUTION_SECONDS = 1.0
"""Time for which the last attempt of a task waits for a worker without recent failures."""

_MAX_CAUTION_SECONDS = 2.0
"""Maximum time for which a step that is held up avoids workers in quarantine; a last
attempt waits longer. Users allow three seconds beside free room, and a ticket and a record take up
to one of them."""


class Caution(enum.IntEnum):
    """How strictly a step avoids workers on which runs have failed."""

    NONE = 0
    NORMAL = 1
    HIGH = 2


@dataclasses.dataclass(slots=True)
class Candidate:
    """A worker that can take tasks of a step now, with their maximum number and its score."""

    worker: Worker
    count: int
    score: float


def find_candidates(
    cell: Cell, step: Step, workers: Iterable[Worker], ignore_reservations: bool = False
) -> Iterator[Candidate]:
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
    caution = caution_for(cell, step, cell.now)
    for worker in workers:
        free = available_room(cell, step, worker, ignore_reservations)
        count = count_startable(step, worker, free, caution, cell.now)
        if not count:
            continue
        step_runs = _count_step_runs(step, worker) if step.spec.most_per_worker else 0
        score = cell.policy.score(step, worker, step_runs)
        if score is not None:
            yield Candidate(worker, count, score)


def available_room(cell: Cell, step: Step, worker: Worker, ignore_reservations: bool) -> Size:
    """Return the resources of a worker that a run of a step may use if it starts now."""
    if not worker.room_holds:
        return worker.free
    if ignore_reservations:
        return worker.unreserved_room(step.key)
    return worker.free_for(step.key, step.rank, expected_end(step, worker, cell.now))


def count_startable(step: Step, worker: Worker, free: Size, caution: Caution, at: float) -> int:
    """Return how many tasks of a step may start on a worker if it admits the step.

    The condition of placements, and of requests for advice: an answer about a worker on which
    nothing may start places nothing.

    Parameters
    ----------
    step
        The step.
    worker
        A worker that is open to placements.
    free
        Resources of the worker that the step may use.
    caution
        How strictly the step avoids workers on which runs have failed.
    at
        When the tasks would start, in steady-clock seconds.
    """
    if not free.holds(step.spec.room) or not is_trusted(worker, caution, at):
        return 0
    count = count_slots(step, worker, free)
    return min(count, 1) if is_on_probation(worker, at) else count


def is_bulky(step: Step, capacity: Size) -> bool:
    """Check whether the resources left free between other runs rarely hold a step's tasks.

    Parameters
    ----------
    step
        The step.
    capacity
        Resources of a large worker of the step's service.
    """
    return step.spec.gang or not capacity.holds(step.spec.room.times(_BULKY_TASKS_PER_WORKER))


def caution_for(cell: Cell, step: Step, at: float) -> Caution:
    """Return how strictly a step avoids workers on which runs have failed, at a time."""
    waited = step.waited_seconds(at)
    if waited < _LAST_ATTEMPT_CAUTION_SECONDS:
        return Caution.HIGH if _is_last_attempt(cell, step) else Caution.NORMAL
    max_wait_s = _MAX_CAUTION_SECONDS
    if _is_last_attempt(cell, step):
        max_wait_s += _LAST_ATTEMPT_CAUTION_SECONDS / 2
    is_stuck = waited >= max_wait_s and step.is_held_up
    return Caution.NONE if is_stuck else Caution.NORMAL


def is_trusted(worker: Worker, caution: Caution, at: float) -> bool:
    """Check whether a worker's failures permit another run at a caution level, at a time."""
    if caution is Caution.NONE:
        return True
    if has_probation_run(worker, at):
        return False
    return caution is Caution.NORMAL or not is_doubtful(worker)


def _is_last_attempt(cell: Cell, step: Step) -> bool:
    """Check whether one more failure of a task would fail the job."""
    max_retries = cell.queue_of(step.job).max_attempts - 1
    return any(task.failures >= max_retries for task in step.tasks)


def max_additional_tasks(step: Step, worker: Worker) -> int:
    """Return how many more tasks of a step a worker may run, regardless of its resources."""
    spec = step.spec
    if spec.label and spec.label not in worker.entry.labels:
        return 0
    if not spec.most_per_worker:
        return _UNBOUNDED_TASKS
    return max(0, spec.most_per_worker - _count_step_runs(step, worker))


def count_fitting(free: Size, room: Size) -> int:
    """Return the number of tasks that fit into free room, which may be negative."""
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


def count_slots(step: Step, worker: Worker, free: Size) -> int:
    """Return the number of tasks of a step that a worker may take into free room."""
    return min(count_fitting(free, step.spec.room), max_additional_tasks(step, worker))


def _count_step_runs(step: Step, worker: Worker) -> int:
    """Count a step's runs on a worker, including those that are being stopped."""
    job, repetition, number = step.key
    return sum(
        1
        for task, _ in worker.runs
        if task.job == job and task.repetition == repetition and task.step == number
    )


def choose_workers(step: Step, tasks: list[Task], candidates: list[Candidate]) -> list[Worker]:
    """Return a worker for each task, in order, as far as the candidates suffice."""
    if step.spec.gang and step.spec.same_rack:
        candidates = _select_rack(candidates, len(tasks))
    candidates.sort(key=lambda candidate: -candidate.score)
    avoided = set()
    for task in tasks:
        avoided |= task.avoided_lives or set()
    if avoided or any(candidate.worker.quarantine_cause for candidate in candidates):
        # Prefer workers on which the tasks have not failed, and those without charged failures.
        candidates.sort(
            key=lambda candidate: (
                candidate.worker.life in avoided,
                bool(candidate.worker.failures_by_step),
            )
        )
    chosen: list[Worker] = []
    for candidate in candidates:
        count = min(candidate.count, len(tasks) - len(chosen))
        chosen.extend([candidate.worker] * count)
        if len(chosen) == len(tasks):
            break
    return chosen


def _select_rack(candidates: list[Candidate], wanted: int) -> list[Candidate]:
    """Return the candidates of the smallest rack that can hold all tasks, or all candidates."""
    racks: dict[str, list[Candidate]] = {}
    for candidate in candidates:
        racks.setdefault(candidate.worker.entry.rack, []).append(candidate)
    sufficient = [
        rack for rack in racks.values() if sum(candidate.count for candidate in rack) >= wanted
    ]
    if not sufficient:
        return candidates
    return min(sufficient, key=lambda rack: sum(candidate.count for candidate in rack))

"""Estimates of when runs end and when their room becomes free, from their progress."""

import math

from ..declarations import Size
from .cell import Cell
from .parts import Phase, Step, Task
from .speeds import usual_seconds
from .workers import Worker

__all__ = ["expected_end", "room_to_come", "seconds_left"]


def expected_end(step: Step, worker: Worker, now: float) -> float:
    """Return when a run of a step would end if it began on a worker now, in steady seconds."""
    if step.spec.long_running:
        return math.inf
    return now + usual_seconds(step) * worker.slowness


def seconds_left(cell: Cell, worker: Worker, task: Task, now: float) -> float:
    """Return for how many more seconds a task's run is expected to occupy its worker.

    An overdue run is expected to take as much longer as it is overdue.
    """
    return abs(_planned_seconds_left(cell, worker, task, now))


def _planned_seconds_left(cell: Cell, worker: Worker, task: Task, now: float) -> float:
    if task.phase is Phase.STOPPING:
        return task.since + cell.settings.stop_s - now
    if task.step.spec.long_running:
        return math.inf
    whole = usual_seconds(task.step) * worker.slowness
    if task.phase is Phase.RUNNING and task.seen_at:
        return whole * (1 - task.seen_percent / 100) - (now - task.seen_at)
    return whole * (1 - task.percent / 100) - (now - task.since)


def room_to_come(cell: Cell, worker: Worker, now: float) -> list[tuple[float, Size]]:
    """Return the expected end of each run on a worker, in steady seconds, and the room it frees.

    The list is sorted by time. Runs that are unknown or outdated are expected to be stopped.
    """
    found = []
    for (task_id, run), room in worker.runs.items():
        task = cell.find_task(task_id)
        if task is None or not task.is_current_run(run, worker.life):
            found.append((now + cell.settings.stop_s, room))
        else:
            found.append((now + seconds_left(cell, worker, task, now), room))
    found.sort(key=lambda entry: entry[0])
    return found

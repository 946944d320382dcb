"""Estimates of when runs end and when their room becomes free, from their progress."""

import math

from ..declarations import Size
from .cell import Cell
from .job_state import Phase, Step, Task
from .speeds import typical_seconds
from .workers import Worker

__all__ = ["expected_end", "remaining_seconds", "upcoming_free_room"]


def expected_end(step: Step, worker: Worker, now: float) -> float:
    """Return when a run of a step would end if it began on a worker now, in steady seconds."""
    if step.spec.long_running:
        return math.inf
    return now + typical_seconds(step) * worker.slowness


def remaining_seconds(cell: Cell, worker: Worker, task: Task, now: float) -> float:
    """Return for how many more seconds a task's run is expected to occupy its worker.

    An overdue run is expected to take as much longer as it is overdue.
    """
    return abs(_planned_remaining_seconds(cell, worker, task, now))


def _planned_remaining_seconds(cell: Cell, worker: Worker, task: Task, now: float) -> float:
    if task.phase is Phase.STOPPING:
        return task.phase_since + cell.settings.stop_s - now
    if task.step.spec.long_running:
        return math.inf
    total = typical_seconds(task.step) * worker.slowness
    if task.phase is Phase.RUNNING and task.measured_at:
        return total * (1 - task.measured_percent / 100) - (now - task.measured_at)
    return total * (1 - task.percent / 100) - (now - task.phase_since)


def upcoming_free_room(cell: Cell, worker: Worker, now: float) -> list[tuple[float, Size]]:
    """Return the expected end of each run on a worker, in steady seconds, and the room it frees.

    The list is sorted by time. Runs that are unknown or outdated are expected to be stopped.
    """
    found = []
    for (task_id, run), room in worker.runs.items():
        task = cell.find_task(task_id)
        if task is None or not task.is_current_run(run, worker.life):
            found.append((now + cell.settings.stop_s, room))
        else:
            found.append((now + remaining_seconds(cell, worker, task, now), room))
    found.sort(key=lambda entry: entry[0])
    return found

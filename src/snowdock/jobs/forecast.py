"""Estimates of when runs end and when their room becomes free, from their progress."""

import math

from ..declarations import Size
from .cell import Cell
from .job_state import Phase, Step, Task
from .run_times import TAIL_FACTOR
from .speeds import has_tail, longest_body_seconds, typical_seconds
from .workers import Worker

__all__ = ["expected_end", "remaining_seconds", "upcoming_free_room"]


def expected_end(step: Step, worker: Worker, now: float) -> float:
    """Return when a run of a step would end if it began on a worker now, in steady seconds."""
    if step.spec.long_running:
        return math.inf
    return now + typical_seconds(step) * worker.slowness


def remaining_seconds(cell: Cell, worker: Worker, task: Task, now: float) -> float:
    """Return for how many more seconds a task's run is expected to occupy its worker.

    An overdue run is expected to take as much longer as it is overdue. In a queue whose run times
    have a tail, a run that outlasts the body continues at its rate so far, or, if that is unknown,
    takes as long as a run in the tail.
    """
    planned = _planned_remaining_seconds(cell, worker, task, now)
    if task.phase is not Phase.RUNNING or task.step.spec.long_running:
        return abs(planned)
    if not has_tail(cell, task.step):
        return abs(planned)
    longest_body_s = longest_body_seconds(task.step, worker)
    elapsed = now - task.phase_since
    if task.is_whole_run and 0 < task.measured_percent < 100:
        measured_s = task.measured_at - task.phase_since
        total_s = 100 * measured_s / task.measured_percent
    elif elapsed > longest_body_s:
        times = cell.queue_times[task.step.job.queue]
        total_s = longest_body_s / TAIL_FACTOR * math.exp(times.mean_log_tail)
    else:
        return abs(planned)
    return max(abs(planned), total_s - elapsed) if total_s > longest_body_s else abs(planned)


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

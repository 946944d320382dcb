"""How fast workers are, learned from the progress of what runs there.

A run's time is taken as its step's usual time times its worker's slowness. Both are learned
from the progress that workers report, in logarithms, each with what the other is thought to be.
"""

import math

from .cell import Cell
from .job_state import Phase, Step, Task
from .orders import RunningRun
from .workers import Worker

__all__ = ["fade_slowness", "note_progress", "usual_seconds", "would_gain_elsewhere"]

_WINDOW_SECONDS = 0.25
"""Progress is looked at over at least this long: it is told in whole percents, and a typical
run makes 4 to 40 of them in that time."""

_WORKER_WEIGHT = 0.06
"""Weight of one observation of a worker: some 20 a second come from a busy one, so about a
second of them decides."""

_STEP_WEIGHT = 0.25
"""Weight of one observation of a step: it has few runs, and its first estimate is a guess."""

_LARGEST_LOG = math.log(8)
"""Observations beyond 8 times as slow, such as of runs that stand still, count as that."""

_FADE = 0.97
"""What is left of an idle worker's slowness after each tick (a tenth of a second): half in
about two seconds, so that it is tried again."""

_LEAST_SECONDS = 0.05
"""No run is taken to be shorter: an estimate of 0 has no logarithm."""

_SLOW = 1.8
"""Runs are taken away from workers at least so much slower than usual; differences of up to
half are usual among sound ones."""

_GAIN_FACTOR = 1.6
"""What is left of a run must take at least so many times as long here as elsewhere."""

_MOVE_SECONDS = 0.5
"""What a move costs: the stop, new advice, a new start."""

_MOST_MOVES = 2
"""A task is taken away so many times at most, or it might never end."""


def usual_seconds(step: Step) -> float:
    """Give how long a run of a step takes on a usual worker, as far as is known."""
    return max(_LEAST_SECONDS, math.exp(_step_log(step)))


def _step_log(step: Step) -> float:
    if step.log_run_seconds is None:
        step.log_run_seconds = math.log(max(_LEAST_SECONDS, step.spec.estimate_ms / 1000))
    return step.log_run_seconds


def note_progress(worker: Worker, task: Task, row: RunningRun, now: float) -> None:
    """Learn from a report of a run's progress."""
    if task.phase is not Phase.RUNNING:
        return
    if task.measured_at == 0.0 or row.percent < task.measured_percent:
        # The first look, or a run that went on from its checkpoint.
        task.measured_at = now
        task.measured_percent = row.percent
        return
    seconds = now - task.measured_at
    if seconds < _WINDOW_SECONDS or row.percent >= 100:
        return
    gained = max(row.percent - task.measured_percent, 0.5)
    task.measured_at = now
    task.measured_percent = row.percent
    observed = math.log(100 * seconds / gained)
    step_log = _step_log(task.step)
    surprise = max(-_LARGEST_LOG, min(_LARGEST_LOG, observed - step_log))
    worker.slow_log += _WORKER_WEIGHT * (surprise - worker.slow_log)
    task.step.log_run_seconds = step_log + _STEP_WEIGHT * (observed - worker.slow_log - step_log)


def fade_slowness(cell: Cell) -> None:
    """Let what is known of idle workers grow old."""
    for worker in cell.workers.values():
        if not worker.runs:
            worker.slow_log *= _FADE


def would_gain_elsewhere(cell: Cell, worker: Worker, task: Task) -> bool:
    """Tell whether a run on a slow worker would end sooner if it began again elsewhere."""
    if worker.slowness < _SLOW or task.moves >= _MOST_MOVES or task.phase is not Phase.RUNNING:
        return False
    step = task.step
    usual = usual_seconds(step)
    left = usual * (100 - task.percent) / 100
    again = left if step.spec.checkpointing else usual
    if left * worker.slowness < _GAIN_FACTOR * again + _MOVE_SECONDS:
        return False
    return _has_room_elsewhere(cell, worker, step)


def _has_room_elsewhere(cell: Cell, worker: Worker, step: Step) -> bool:
    wanted = len(step.tasks) if step.spec.gang else 1
    room = step.spec.room
    seats = 0
    for other in cell.workers.values():
        if other is worker or not other.settled or other.entry.draining:
            continue
        if other.entry.service != worker.entry.service or other.slowness >= _SLOW:
            continue
        if step.advice is not None and other.life not in step.advice.tickets:
            continue
        free = other.free
        while free.holds(room) and seats < wanted:
            seats += 1
            free = free.minus(room)
        if seats >= wanted:
            return True
    return False

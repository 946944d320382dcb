"""Estimation of workers' speeds from the progress of their runs.

A run's time is modelled as its step's typical time multiplied by its worker's slowness. Both are
estimated in logarithms from reported progress, each based on the current estimate of the other.
"""

import math

from .cell import Cell
from .orders import RunningRun
from .parts import Phase, Step, Task
from .workers import Worker

__all__ = ["fade_slowness", "note_progress", "usual_seconds", "would_gain_elsewhere"]

_WINDOW_SECONDS = 0.25
"""Minimum time over which progress is measured: it is reported in whole percents, and a typical
run advances 4 to 40 % in that time."""

_WORKER_WEIGHT = 0.06
"""Weight of one observation in a worker's slowness: a busy worker yields about 20 a second, so the
estimate covers about the last second."""

_STEP_WEIGHT = 0.25
"""Weight of one observation in a step's time: a step has few runs, and its initial value is only
the submitted estimate."""

_LARGEST_LOG = math.log(8)
"""Limit of one observation, a factor of 8, so that a stalled run does not dominate the estimate."""

_FADE = 0.97
"""Factor by which an idle worker's slowness decays each tick of 0.1 s: by half in about two
seconds, so that the worker is used again."""

_LEAST_SECONDS = 0.05
"""Minimum estimate of a run's time, since an estimate of 0 has no logarithm."""

_SLOW = 1.8
"""Slowness from which runs are moved away from a worker; sound workers differ by up to 50 %."""

_GAIN_FACTOR = 1.6
"""A run is moved only if its remaining time here is at least this multiple of that elsewhere."""

_MOVE_SECONDS = 0.5
"""Cost of moving a run: the stop, new advice and a new start."""

_MOST_MOVES = 2
"""Maximum number of moves of a task, so that it ends eventually."""


def usual_seconds(step: Step) -> float:
    """Return the estimated time of a run of a step on a worker of normal speed."""
    return max(_LEAST_SECONDS, math.exp(_step_log(step)))


def _step_log(step: Step) -> float:
    if step.usual_log is None:
        step.usual_log = math.log(max(_LEAST_SECONDS, step.spec.estimate_ms / 1000))
    return step.usual_log


def note_progress(worker: Worker, task: Task, row: RunningRun, now: float) -> None:
    """Update the estimates of a worker's slowness and a step's time from a run's progress."""
    if task.phase is not Phase.RUNNING:
        return
    if task.seen_at == 0.0 or row.percent < task.seen_percent:
        # The first measurement, or a run that resumed from its checkpoint.
        task.seen_at = now
        task.seen_percent = row.percent
        return
    seconds = now - task.seen_at
    if seconds < _WINDOW_SECONDS or row.percent >= 100:
        return
    gained = max(row.percent - task.seen_percent, 0.5)
    task.seen_at = now
    task.seen_percent = row.percent
    observed = math.log(100 * seconds / gained)
    step_log = _step_log(task.step)
    surprise = max(-_LARGEST_LOG, min(_LARGEST_LOG, observed - step_log))
    worker.slow_log += _WORKER_WEIGHT * (surprise - worker.slow_log)
    task.step.usual_log = step_log + _STEP_WEIGHT * (observed - worker.slow_log - step_log)


def fade_slowness(cell: Cell) -> None:
    """Decay the slowness of idle workers towards normal speed."""
    for worker in cell.workers.values():
        if not worker.runs:
            worker.slow_log *= _FADE


def would_gain_elsewhere(cell: Cell, worker: Worker, task: Task) -> bool:
    """Check whether a run on a slow worker would end sooner if it were moved to another worker."""
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

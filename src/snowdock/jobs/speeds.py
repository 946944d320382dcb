"""How fast workers are, learned from the progress of what runs there.

A run's time is taken as its step's usual time times its worker's slowness. Both are learned
from the progress that workers report, in logarithms, each with what the other is thought to be.
"""

import math

from .cell import Cell
from .job_state import Phase, Step, Task
from .orders import RunningRun
from .workers import Worker

__all__ = ["decay_idle_slowness", "learn_speed", "should_move", "typical_seconds"]

_WINDOW_SECONDS = 0.25
"""Progress is looked at over at least this long: it is told in whole percents, and a typical
run makes 4 to 40 of them in that time."""

_WORKER_WEIGHT = 0.06
"""Weight of one observation of a worker: some 20 a second come from a busy one, so about a
second of them decides."""

_STEP_WEIGHT = 0.25
"""Weight of one observation of a step: it has few runs, and its first estimate is a guess."""

_MAX_LOG_RATIO = math.log(8)
"""Observations beyond 8 times as slow, such as of runs that stand still, count as that."""

_IDLE_DECAY = 0.97
"""What is left of an idle worker's slowness after each tick (a tenth of a second): half in
about two seconds, so that it is tried again."""

_MIN_RUN_SECONDS = 0.05
"""No run is taken to be shorter: an estimate of 0 has no logarithm."""

_SLOW_FACTOR = 1.8
"""Runs are taken away from workers at least so much slower than usual; differences of up to
half are usual among sound ones."""

_MIN_GAIN_FACTOR = 1.6
"""What is left of a run must take at least so many times as long here as elsewhere."""

_MOVE_COST_SECONDS = 0.5
"""What a move costs: the stop, new advice, a new start."""

_MAX_MOVES = 2
"""A task is taken away so many times at most, or it might never end."""


def typical_seconds(step: Step) -> float:
    """Give how long a run of a step takes on a usual worker, as far as is known."""
    return max(_MIN_RUN_SECONDS, math.exp(_log_run_seconds(step)))


def _log_run_seconds(step: Step) -> float:
    if step.log_run_seconds is None:
        step.log_run_seconds = math.log(max(_MIN_RUN_SECONDS, step.spec.estimate_ms / 1000))
    return step.log_run_seconds


def learn_speed(worker: Worker, task: Task, running: RunningRun, now: float) -> None:
    """Learn from a report of a run's progress."""
    if task.phase is not Phase.RUNNING:
        return
    if task.measured_at == 0.0 or running.percent < task.measured_percent:
        # The first look, or a run that went on from its checkpoint.
        task.measured_at = now
        task.measured_percent = running.percent
        return
    seconds = now - task.measured_at
    if seconds < _WINDOW_SECONDS or running.percent >= 100:
        return
    gained_percent = max(running.percent - task.measured_percent, 0.5)
    task.measured_at = now
    task.measured_percent = running.percent
    observed_log = math.log(100 * seconds / gained_percent)
    step_log = _log_run_seconds(task.step)
    log_ratio = max(-_MAX_LOG_RATIO, min(_MAX_LOG_RATIO, observed_log - step_log))
    worker.log_slowness += _WORKER_WEIGHT * (log_ratio - worker.log_slowness)
    task.step.log_run_seconds = step_log + _STEP_WEIGHT * (
        observed_log - worker.log_slowness - step_log
    )


def decay_idle_slowness(cell: Cell) -> None:
    """Let what is known of idle workers grow old."""
    for worker in cell.workers.values():
        if not worker.runs:
            worker.log_slowness *= _IDLE_DECAY


def should_move(cell: Cell, worker: Worker, task: Task) -> bool:
    """Tell whether a run on a slow worker would end sooner if it began again elsewhere."""
    if (
        worker.slowness < _SLOW_FACTOR
        or task.moves >= _MAX_MOVES
        or task.phase is not Phase.RUNNING
    ):
        return False
    step = task.step
    typical = typical_seconds(step)
    remaining = typical * (100 - task.percent) / 100
    elsewhere = remaining if step.spec.checkpointing else typical
    if remaining * worker.slowness < _MIN_GAIN_FACTOR * elsewhere + _MOVE_COST_SECONDS:
        return False
    return _has_room_elsewhere(cell, worker, step)


def _has_room_elsewhere(cell: Cell, worker: Worker, step: Step) -> bool:
    wanted = len(step.tasks) if step.spec.gang else 1
    room = step.spec.room
    seats = 0
    for other in cell.workers.values():
        if other is worker or not other.is_synced or other.entry.draining:
            continue
        if other.entry.service != worker.entry.service or other.slowness >= _SLOW_FACTOR:
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

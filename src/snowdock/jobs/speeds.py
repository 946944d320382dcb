"""Estimation of workers' speeds from the progress of their runs.

A run's time is modelled as its step's typical time multiplied by its worker's slowness. Both are
estimated in logarithms from reported progress, each based on the current estimate of the other.
"""

import math

from .cell import Cell
from .job_state import Phase, Step, Task
from .machine_speeds import lasting_slowness
from .orders import RunningRun
from .run_times import TAIL_FACTOR
from .workers import Worker

__all__ = [
    "decay_idle_slowness",
    "has_tail",
    "learn_speed",
    "longest_body_seconds",
    "typical_seconds",
]

_WINDOW_SECONDS = 0.25
"""Minimum time over which progress is measured, as it is reported in whole percents."""

_WORKER_WEIGHT = 0.06
"""Weight of one observation in a worker's slowness: a busy worker yields about 20 a second, so the
estimate covers about the last second."""

_STEP_WEIGHT = 0.25
"""Weight of one observation in a step's time: a step has few runs, and its initial value is only
the submitted estimate."""

_MAX_LOG_RATIO = math.log(8)
"""Limit of one observation, a factor of 8, so that a stalled run does not dominate the estimate."""

_TAIL_LOG_RATIO = math.log(TAIL_FACTOR)
"""Limit in a queue whose run times have a tail, so that one run does not make its worker slow."""

_TAIL_WORKER_WEIGHT = _WORKER_WEIGHT / 4
"""Weight of such an observation: all runs of a worker together show a real slowdown in 2 to 3 s."""

_IDLE_DECAY = 0.97
"""Factor by which an idle worker's slowness decays each tick of 0.1 s: by half in about two
seconds, so that the worker is used again."""

_MIN_RUN_SECONDS = 0.05
"""Minimum estimate of a run's time, since an estimate of 0 has no logarithm."""


def typical_seconds(step: Step) -> float:
    """Return the estimated time of a run of a step on a worker of normal speed."""
    return max(_MIN_RUN_SECONDS, math.exp(_log_run_seconds(step)))


def _log_run_seconds(step: Step) -> float:
    if step.log_run_seconds is None:
        step.log_run_seconds = math.log(max(_MIN_RUN_SECONDS, step.spec.estimate_ms / 1000))
    return step.log_run_seconds


def longest_body_seconds(step: Step, worker: Worker) -> float:
    """Return the time from which a run of a step on a worker is in the tail of its queue."""
    return TAIL_FACTOR * typical_seconds(step) * worker.slowness


def has_tail(cell: Cell, step: Step) -> bool:
    """Check whether the run times of a step's queue have a tail."""
    times = cell.queue_times.get(step.job.queue)
    return times is not None and times.has_tail


def learn_speed(cell: Cell, worker: Worker, task: Task, running: RunningRun, now: float) -> None:
    """Update the estimates of a worker's slowness and a step's time from a run's progress."""
    if task.phase is not Phase.RUNNING or task.step.spec.long_running:
        # The percentage of a long-running task is not its progress.
        return
    if task.measured_at == 0.0 or running.percent < task.measured_percent:
        # The first measurement, or a run that resumed from its checkpoint.
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
    if log_ratio > _TAIL_LOG_RATIO and has_tail(cell, task.step):
        # Probably a run in the tail, which says little about its worker and nothing about its step.
        worker.log_slowness += _TAIL_WORKER_WEIGHT * (_TAIL_LOG_RATIO - worker.log_slowness)
        return
    worker.log_slowness += _WORKER_WEIGHT * (log_ratio - worker.log_slowness)
    task.step.log_run_seconds = step_log + _STEP_WEIGHT * (
        observed_log - worker.log_slowness - step_log
    )


def decay_idle_slowness(cell: Cell) -> None:
    """Decay the slowness of idle workers towards their lasting one, in even pools normal speed."""
    for worker in cell.workers.values():
        if not worker.runs:
            lasting = lasting_slowness(cell, worker)
            worker.log_slowness = lasting + _IDLE_DECAY * (worker.log_slowness - lasting)

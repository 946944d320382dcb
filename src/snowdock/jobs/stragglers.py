"""Moves of runs that take longer than the speed of their machine explains.

Copies of a task are never started: a copy would run beside the first run, which nothing that is
recorded permits.
"""

import dataclasses
import math

from .cell import Cell
from .forecast import remaining_seconds
from .job_state import Phase, Step, Task
from .machine_speeds import is_slow, lasting_slowness
from .speeds import longest_body_seconds, typical_seconds
from .workers import Worker

__all__ = ["Move", "find_move"]

_SLOW_FACTOR = 1.8
_LOG_SLOW_FACTOR = math.log(_SLOW_FACTOR)
"""Slowness, relative to the lasting one, from which runs are moved away from a worker; sound
workers differ by up to 50 %. Lasting slowness was known when the run was placed."""

_MIN_GAIN_FACTOR = 1.6
"""A run is moved only if its remaining time here is at least this multiple of that elsewhere."""

_MOVE_COST_SECONDS = 0.5
"""Cost of moving a run: the stop, new advice and a new start."""

_MAX_MOVES = 2
"""Maximum number of moves of a task, so that it ends eventually."""


@dataclasses.dataclass(frozen=True, slots=True)
class Move:
    """Why a run is moved, and the seconds by which it is expected to end earlier.

    The reason is ``slow_worker`` if the worker is slower than its machine usually is, and
    ``long_run`` if the run is in the tail of its queue and its machine is a slow one.
    """

    reason: str
    gain_s: float


def find_move(cell: Cell, worker: Worker, task: Task, now: float) -> Move | None:
    """Return the move of a run that would end sooner on another worker; None to leave it."""
    if task.moves >= _MAX_MOVES or task.phase is not Phase.RUNNING or task.step.spec.long_running:
        return None
    if worker.log_slowness - lasting_slowness(cell, worker) >= _LOG_SLOW_FACTOR:
        reason = "slow_worker"
        here, elsewhere = _compare_typical(worker, task)
    elif is_slow(cell, worker):
        reason = "long_run"
        here, elsewhere = _compare_long_run(cell, worker, task, now)
    else:
        return None
    if here < _MIN_GAIN_FACTOR * elsewhere + _MOVE_COST_SECONDS:
        return None
    if not _has_room_elsewhere(cell, worker, task.step):
        return None
    return Move(reason, here - elsewhere - _MOVE_COST_SECONDS)


def _compare_typical(worker: Worker, task: Task) -> tuple[float, float]:
    """Return how long a run of typical length takes here and on a worker of normal speed."""
    typical = typical_seconds(task.step)
    remaining = typical * (100 - task.percent) / 100
    elsewhere = remaining if task.step.spec.checkpointing else typical
    return remaining * worker.slowness, elsewhere


def _compare_long_run(cell: Cell, worker: Worker, task: Task, now: float) -> tuple[float, float]:
    """Return how long a run in the tail takes here and, by its checkpoint, on a fast machine."""
    spec = task.step.spec
    here = remaining_seconds(cell, worker, task, now)
    if not spec.checkpointing or spec.gang or here <= longest_body_seconds(task.step, worker):
        return 0.0, 0.0
    return here, here * math.exp(cell.fast_log_slowness - worker.log_slowness)


def _has_room_elsewhere(cell: Cell, worker: Worker, step: Step) -> bool:
    wanted = step.spec.count if step.spec.gang else 1
    room = step.spec.room
    slots = 0
    for other in cell.workers.values():
        if other is worker or not other.is_synced or other.entry.draining:
            continue
        if other.entry.service != worker.entry.service or _is_slower(cell, other):
            continue
        if step.advice is not None and other.life not in step.advice.tickets:
            continue
        free = other.free
        while free.holds(room) and slots < wanted:
            slots += 1
            free = free.minus(room)
        if slots >= wanted:
            return True
    return False


def _is_slower(cell: Cell, worker: Worker) -> bool:
    """Check whether a worker is slow at present, or its machine is a slow one."""
    relative = worker.log_slowness - lasting_slowness(cell, worker)
    return relative >= _LOG_SLOW_FACTOR or is_slow(cell, worker)

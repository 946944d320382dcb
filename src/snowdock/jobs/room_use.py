"""Periodic logging of the workers' utilization and of what waiting steps lack.

The log lines show whether work waits for room, for advice, or for its turn although room is free.
"""

import collections
import enum

from .cell import Cell
from .job_state import Step
from .workers import Worker

__all__ = ["WaitReason", "find_wait_reason", "log_room_use", "used_share"]

_LOG_INTERVAL_SECONDS = 1.0


class WaitReason(enum.Enum):
    """Why a step waits; lower-case member names are log fields."""

    ROOM = "room"
    """No worker with a valid ticket (if one is needed) has room for a task."""
    TICKET = "ticket"
    """Some worker has room for a task, but there is no valid ticket for any worker."""
    BOTH = "room and ticket"
    TURN = "turn"
    """One task could be placed; a gang may need more, and other steps may rank higher."""
    QUOTA = "quota"
    """The team's quota allows none of the step's tasks to start."""
    PAUSE = "pause"
    """The step is delayed after a failure."""


def log_room_use(cell: Cell, now: float) -> None:
    """Log room in use and reasons for waiting of each service, if the interval has passed."""
    if now - cell.room_logged_at < _LOG_INTERVAL_SECONDS:
        return
    cell.room_logged_at = now
    services: dict[str, list[Worker]] = collections.defaultdict(list)
    for worker in cell.workers.values():
        services[worker.entry.service].append(worker)
    waiting: dict[str, list[Step]] = collections.defaultdict(list)
    for step in cell.waiting_steps.values():
        waiting[cell.queue_of(step.job).service].append(step)
    for service, workers in services.items():
        reason_counts = collections.Counter(
            find_wait_reason(step, workers, cell.workers, now) for step in waiting[service]
        )
        cell.log_decision(
            "room_use",
            service,
            cpu=used_share(workers, "cpu"),
            memory=used_share(workers, "memory"),
            accelerators=used_share(workers, "accelerators"),
            waiting=len(waiting[service]),
            **{reason.name.lower(): reason_counts[reason] for reason in WaitReason},
        )


def find_wait_reason(
    step: Step, workers: list[Worker], by_life: dict[str, Worker], now: float
) -> WaitReason:
    """Return what a waiting step lacks.

    Parameters
    ----------
    step
        The step.
    workers
        All workers of its service.
    by_life
        Workers by life.
    now
        The steady clock, in seconds.
    """
    if step.not_before > now:
        return WaitReason.PAUSE
    if step.is_at_quota:
        return WaitReason.QUOTA
    room = step.spec.room
    if step.advice is None:
        has_room = any(worker.free.holds(room) for worker in workers)
        return WaitReason.TURN if has_room else WaitReason.ROOM
    ticketed = [
        by_life[life]
        for life in step.advice.tickets
        if life in by_life and step.advice.valid_ticket(life, now) is not None
    ]
    if any(worker.free.holds(room) for worker in ticketed):
        return WaitReason.TURN
    if ticketed:
        return WaitReason.ROOM
    has_room = any(worker.free.holds(room) for worker in workers)
    return WaitReason.TICKET if has_room else WaitReason.BOTH


def used_share(workers: list[Worker], kind: str) -> float:
    """Return the share of one kind of room that is in use; 0 if the workers have none of it."""
    capacity = sum(getattr(worker.entry.capacity, kind) for worker in workers)
    used = sum(getattr(worker.used, kind) for worker in workers)
    return used / capacity if capacity else 0.0

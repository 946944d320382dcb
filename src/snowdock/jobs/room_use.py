"""How full the workers are, and what keeps waiting steps from running: told once a second.

An operator sees by it whether work waits for room, for advice, or for its turn beside free room.
"""

import collections
import enum

from .cell import Cell
from .job_state import Step
from .workers import Worker

__all__ = ["WaitReason", "find_wait_reason", "log_room_use", "used_share"]

_LOG_INTERVAL_SECONDS = 1.0
"""Time between two lines; one takes some 3 ms with 150 steps that wait for 270 workers."""


class WaitReason(enum.Enum):
    """What a waiting step lacks."""

    ROOM = "room"
    """No worker with a good ticket, or none at all where no ticket is needed, has room for it."""
    TICKET = "ticket"
    """Some worker has room for it, and there is no good ticket for any."""
    BOTH = "room and ticket"
    TURN = "turn"
    """It has what it takes for a task; a gang may need more, and others may rank higher."""
    QUOTA = "quota"
    """Its team's quota lets none of its tasks begin."""
    PAUSE = "pause"
    """It is put off after a failure."""


def log_room_use(cell: Cell, now: float) -> None:
    """Tell for each service what room is in use and what its waiting steps lack, if it is time."""
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
            **{lack.name.lower(): reason_counts[lack] for lack in WaitReason},
        )


def find_wait_reason(
    step: Step, workers: list[Worker], by_life: dict[str, Worker], now: float
) -> WaitReason:
    """Tell what a waiting step lacks.

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
    """Give the share of one kind of room that is in use; 0 where the workers have none of it."""
    capacity = sum(getattr(worker.entry.capacity, kind) for worker in workers)
    used = sum(getattr(worker.used, kind) for worker in workers)
    return used / capacity if capacity else 0.0

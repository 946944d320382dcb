"""Periodic logging of jobs that run nothing although room is free.

For each such job the log line counts the service's workers by the reason for which they are
excluded for the step. A worker counts for the first reason that applies.
"""

import collections

from .availability import Closed, why_closed
from .cell import Cell
from .failed_runs import is_being_proved, is_doubtful
from .parts import Step
from .room_use import share_in_use
from .seats import Care, care_of, fitting, most_seats
from .suspects import may_join, next_tasks
from .workers import Worker

__all__ = ["tell_starving", "why_closed_to"]

_TELL_SECONDS = 1.0
"""Interval between two checks."""

_IDLE_SECONDS = 1.0
"""Time without any run after which a job is logged; the tolerated time is three seconds."""

_MOST_TOLD = 5
"""Maximum number of jobs logged at a time, longest waiting first; each takes about 1 ms with 270
workers."""

_MOSTLY_FREE = 0.5
"""Share of a service's room in use above which a waiting job is not considered starving."""

_SPARE_FACTOR = 2
"""Free room must hold this multiple of the waiting tasks to count as sufficient."""


def tell_starving(cell: Cell, now: float) -> None:
    """Log jobs that have run nothing for a while although room is free, once per interval."""
    if now - cell.starving_told_at < _TELL_SECONDS:
        return
    cell.starving_told_at = now
    idle = [step for step in cell.waiting.values() if now - step.waiting_since >= _IDLE_SECONDS]
    if not idle:
        return
    services: dict[str, list[Worker]] = collections.defaultdict(list)
    for worker in cell.workers.values():
        services[worker.entry.service].append(worker)
    free = {service for service, workers in services.items() if _is_mostly_free(workers)}
    starving = [step for step in idle if cell.queue_of(step.job).service in free]
    starving.sort(key=lambda step: step.waiting_since)
    told = 0
    for step in starving:
        if told >= _MOST_TOLD:
            break
        workers = services[cell.queue_of(step.job).service]
        if _is_idle(step) and _has_spare_room(step, workers):
            _tell(cell, step, workers, now, len(starving))
            told += 1


def _is_idle(step: Step) -> bool:
    return not any(task.is_placed for task in step.job.all_tasks())


def _is_mostly_free(workers: list[Worker]) -> bool:
    kinds = ("cpu", "memory", "accelerators")
    return all(share_in_use(workers, kind) <= _MOSTLY_FREE for kind in kinds)


def _has_spare_room(step: Step, workers: list[Worker]) -> bool:
    wanted = len(step.tasks) if step.spec.gang else 1
    seats = 0
    for worker in workers:
        seats += min(fitting(worker.free, step.spec.room), most_seats(step, worker))
        if seats >= _SPARE_FACTOR * wanted:
            return True
    return False


def _tell(cell: Cell, step: Step, workers: list[Worker], now: float, idle_steps: int) -> None:
    reasons = collections.Counter(why_closed_to(cell, step, worker, now) for worker in workers)
    cell.tell(
        "job_starves",
        step.job.id,
        step=step.number,
        waiting_s=now - step.waiting_since,
        failures=max(task.failures for task in step.tasks),
        paused_s=max(0.0, step.not_before - now),
        at_quota=step.is_at_quota,
        asking=step.advice.asking if step.advice else 0,
        idle_steps=idle_steps,
        open=reasons[None],
        **{closed.value: count for closed, count in reasons.items() if closed is not None},
    )


def why_closed_to(cell: Cell, step: Step, worker: Worker, now: float) -> Closed | None:
    """Return why the next task of a step is not placed on a worker, or None if it may be."""
    closed = why_closed(worker, now)
    if closed is not None:
        return closed
    _, company = next_tasks(step, now)
    if not may_join(worker, company):
        return Closed.SUSPECT
    if is_being_proved(worker, now):
        return Closed.ON_TRIAL
    if care_of(cell, step) is Care.MOST and is_doubtful(worker):
        return Closed.DOUBTFUL
    if step.spec.label and step.spec.label not in worker.entry.labels:
        return Closed.UNFIT
    if step.advice is not None:
        if worker.life in step.advice.unfit:
            return Closed.UNFIT
        if step.advice.valid_ticket(worker.life, now) is None:
            return Closed.TICKET
    if not worker.free.holds(step.spec.room) or most_seats(step, worker) <= 0:
        return Closed.ROOM
    kept = worker.free_for(step.key, step.rank)
    return None if kept.holds(step.spec.room) else Closed.RESERVED

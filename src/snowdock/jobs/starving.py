"""Jobs that run nothing beside free room: told each second, with what closes the workers to them.

A worker is closed to a step for one reason at a time, the first that applies. Where most of a
service is free and a task could begin, these counts tell which of them keeps the job waiting.
"""

import collections

from .availability import Closed, why_closed
from .candidates import Caution, caution_for, count_fitting, max_additional_tasks
from .cell import Cell
from .failed_runs import is_being_proved, is_doubtful
from .job_state import Step
from .room_use import share_in_use
from .suspects import may_join, next_tasks
from .workers import Worker

__all__ = ["tell_starving", "why_closed_to"]

_TELL_SECONDS = 1.0
"""Time between two looks."""

_IDLE_SECONDS = 1.0
"""A job that has run nothing for so long is told of; users allow three seconds."""

_MOST_TOLD = 5
"""The most jobs told of at a time, those that wait longest first: with 270 workers each takes about
a millisecond to look at."""

_MOSTLY_FREE = 0.5
"""Where more of a service's room is in use, a job may wait for its turn."""

_SPARE_FACTOR = 2
"""Room counts as free where it holds what waits so many times over."""


def tell_starving(cell: Cell, now: float) -> None:
    """Tell of jobs that have run nothing for a while beside free room, if it is time."""
    if now - cell.starving_logged_at < _TELL_SECONDS:
        return
    cell.starving_logged_at = now
    idle = [
        step for step in cell.waiting_steps.values() if now - step.waiting_since >= _IDLE_SECONDS
    ]
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
        seats += min(count_fitting(worker.free, step.spec.room), max_additional_tasks(step, worker))
        if seats >= _SPARE_FACTOR * wanted:
            return True
    return False


def _tell(cell: Cell, step: Step, workers: list[Worker], now: float, idle_steps: int) -> None:
    reasons = collections.Counter(why_closed_to(cell, step, worker, now) for worker in workers)
    cell.log_decision(
        "job_starves",
        step.job.id,
        step=step.number,
        waiting_s=now - step.waiting_since,
        failures=max(task.failures for task in step.tasks),
        paused_s=max(0.0, step.not_before - now),
        at_quota=step.is_at_quota,
        asking=step.advice.pending_requests if step.advice else 0,
        idle_steps=idle_steps,
        open=reasons[None],
        **{closed.value: count for closed, count in reasons.items() if closed is not None},
    )


def why_closed_to(cell: Cell, step: Step, worker: Worker, now: float) -> Closed | None:
    """Tell why the next task of a step is not placed on a worker; None where it may be."""
    closed = why_closed(worker, now)
    if closed is not None:
        return closed
    _, company = next_tasks(step, now)
    if not may_join(worker, company):
        return Closed.SUSPECT
    if is_being_proved(worker, now):
        return Closed.ON_TRIAL
    if caution_for(cell, step) is Caution.HIGH and is_doubtful(worker):
        return Closed.DOUBTFUL
    if step.spec.label and step.spec.label not in worker.entry.labels:
        return Closed.UNFIT
    if step.advice is not None:
        if worker.life in step.advice.unfit:
            return Closed.UNFIT
        if step.advice.valid_ticket(worker.life, now) is None:
            return Closed.TICKET
    if not worker.free.holds(step.spec.room) or max_additional_tasks(step, worker) <= 0:
        return Closed.ROOM
    kept = worker.free_for(step.key, step.rank)
    return None if kept.holds(step.spec.room) else Closed.RESERVED

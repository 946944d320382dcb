"""Jobs that run nothing beside free room: told each second, with what closes the workers to them.

A worker is closed to a step for one reason at a time, the first that applies. Where most of a
service is free and a task could begin, these counts tell which of them keeps the job waiting.
"""

import collections

from .availability import ExclusionReason, find_exclusion
from .candidates import Caution, caution_for, count_fitting, max_additional_tasks
from .cell import Cell
from .failed_runs import has_probation_run, is_doubtful
from .job_state import Step
from .room_use import used_share
from .suspects import may_share_worker, next_tasks
from .workers import Worker

__all__ = ["find_step_exclusion", "log_starving_jobs"]

_LOG_INTERVAL_SECONDS = 1.0
"""Time between two looks."""

_IDLE_SECONDS = 1.0
"""A job that has run nothing for so long is told of; users allow three seconds."""

_MAX_LOGGED = 5
"""The most jobs told of at a time, those that wait longest first: with 270 workers each takes about
a millisecond to look at."""

_MAX_USED_SHARE = 0.5
"""Where more of a service's room is in use, a job may wait for its turn."""

_SPARE_FACTOR = 2
"""Room counts as free where it holds what waits so many times over."""


def log_starving_jobs(cell: Cell, now: float) -> None:
    """Tell of jobs that have run nothing for a while beside free room, if it is time."""
    if now - cell.starving_logged_at < _LOG_INTERVAL_SECONDS:
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
    logged = 0
    for step in starving:
        if logged >= _MAX_LOGGED:
            break
        workers = services[cell.queue_of(step.job).service]
        if _is_idle(step) and _has_spare_room(step, workers):
            _log_starving_job(cell, step, workers, now, len(starving))
            logged += 1


def _is_idle(step: Step) -> bool:
    return not any(task.is_placed for task in step.job.all_tasks())


def _is_mostly_free(workers: list[Worker]) -> bool:
    kinds = ("cpu", "memory", "accelerators")
    return all(used_share(workers, kind) <= _MAX_USED_SHARE for kind in kinds)


def _has_spare_room(step: Step, workers: list[Worker]) -> bool:
    wanted = len(step.tasks) if step.spec.gang else 1
    seats = 0
    for worker in workers:
        seats += min(count_fitting(worker.free, step.spec.room), max_additional_tasks(step, worker))
        if seats >= _SPARE_FACTOR * wanted:
            return True
    return False


def _log_starving_job(
    cell: Cell, step: Step, workers: list[Worker], now: float, idle_steps: int
) -> None:
    reasons = collections.Counter(
        find_step_exclusion(cell, step, worker, now) for worker in workers
    )
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
        **{reason.value: count for reason, count in reasons.items() if reason is not None},
    )


def find_step_exclusion(
    cell: Cell, step: Step, worker: Worker, now: float
) -> ExclusionReason | None:
    """Tell why the next task of a step is not placed on a worker; None where it may be."""
    reason = find_exclusion(worker, now)
    if reason is not None:
        return reason
    _, isolation = next_tasks(step, now)
    if not may_share_worker(worker, isolation):
        return ExclusionReason.SUSPECT
    if has_probation_run(worker, now):
        return ExclusionReason.ON_PROBATION
    if caution_for(cell, step) is Caution.HIGH and is_doubtful(worker):
        return ExclusionReason.DOUBTFUL
    if step.spec.label and step.spec.label not in worker.entry.labels:
        return ExclusionReason.UNFIT
    if step.advice is not None:
        if worker.life in step.advice.unfit:
            return ExclusionReason.UNFIT
        if step.advice.valid_ticket(worker.life, now) is None:
            return ExclusionReason.TICKET
    if not worker.free.holds(step.spec.room) or max_additional_tasks(step, worker) <= 0:
        return ExclusionReason.ROOM
    unreserved = worker.free_for(step.key, step.rank)
    return None if unreserved.holds(step.spec.room) else ExclusionReason.RESERVED

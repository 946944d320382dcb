"""Periodic logging of jobs, and of single long-running tasks, that wait although room is free.

For each of them the log line counts the service's workers by the reason for which they are
excluded for the step. A worker counts for the first reason that applies.
"""

import collections

from .advice_limits import describe_asking
from .availability import ExclusionReason, find_exclusion
from .candidates import Caution, caution_for, count_slots, max_additional_tasks
from .cell import Cell
from .failed_runs import has_probation_run, is_doubtful
from .job_state import Job, Step, Task
from .room_use import used_share
from .suspects import may_share_worker, next_tasks
from .workers import Worker

__all__ = ["find_step_exclusion", "log_starving_jobs"]

_LOG_INTERVAL_SECONDS = 1.0
"""Interval between two checks."""

_IDLE_SECONDS = 1.0
"""Time without any run after which a job is logged; the tolerated time is three seconds."""

_TASK_WAIT_SECONDS = 2.0
"""Time after which a waiting long-running task is logged; the tolerated time is three seconds."""

_MAX_LOGGED = 5
"""Maximum number of jobs and of steps with waiting tasks logged at a time, longest waiting
first."""

_MAX_USED_SHARE = 0.5
"""Share of a service's room in use above which a waiting job is not considered starving."""

_SPARE_FACTOR = 2
"""Free room must hold this multiple of the waiting tasks to count as sufficient."""


def log_starving_jobs(cell: Cell, now: float) -> None:
    """Log jobs and long-running tasks that wait although room is free, once per interval."""
    if now - cell.starving_logged_at < _LOG_INTERVAL_SECONDS:
        return
    cell.starving_logged_at = now
    services: dict[str, list[Worker]] = collections.defaultdict(list)
    for worker in cell.workers.values():
        services[worker.entry.service].append(worker)
    _log_idle_jobs(cell, services, now)
    _log_waiting_tasks(cell, services, now)


def _log_idle_jobs(cell: Cell, services: dict[str, list[Worker]], now: float) -> None:
    idle = [
        step for step in cell.waiting_steps.values() if now - step.waiting_since >= _IDLE_SECONDS
    ]
    if not idle:
        return
    free = {service for service, workers in services.items() if _is_mostly_free(workers)}
    # A job of many steps is looked at once.
    jobs = {step.job.id: step.job for step in idle if cell.queue_of(step.job).service in free}
    idle_jobs = {job_id for job_id, job in jobs.items() if _is_idle(job)}
    starving = [step for step in idle if step.job.id in idle_jobs]
    starving.sort(key=lambda step: step.waiting_since)
    logged = 0
    for step in starving:
        if logged >= _MAX_LOGGED:
            break
        workers = services[cell.queue_of(step.job).service]
        if _has_spare_room(step, workers):
            _log_starving_job(cell, step, workers, now, len(starving))
            logged += 1


def _log_waiting_tasks(cell: Cell, services: dict[str, list[Worker]], now: float) -> None:
    """Log the steps with long-running tasks that wait beside room, however full the service is."""
    waiting = []
    for step in cell.waiting_steps.values():
        if step.spec.long_running:
            task = _longest_waiting_task(step, now)
            if task is not None and task.waited_seconds(now) >= _TASK_WAIT_SECONDS:
                waiting.append((step, task))
    waiting.sort(key=lambda entry: -entry[1].waited_seconds(now))
    logged = 0
    for step, task in waiting:
        if logged >= _MAX_LOGGED:
            break
        workers = services[cell.queue_of(step.job).service]
        if _has_spare_room(step, workers):
            _log_waiting_task(cell, step, task, workers, now)
            logged += 1


def _longest_waiting_task(step: Step, now: float) -> Task | None:
    return max(step.waiting_tasks, key=lambda task: task.waited_seconds(now), default=None)


def _is_idle(job: Job) -> bool:
    return not any(task.is_placed for task in job.all_tasks())


def _is_mostly_free(workers: list[Worker]) -> bool:
    kinds = ("cpu", "memory", "accelerators")
    return all(used_share(workers, kind) <= _MAX_USED_SHARE for kind in kinds)


def _has_spare_room(step: Step, workers: list[Worker]) -> bool:
    wanted = step.spec.count if step.spec.gang else 1
    slots = 0
    for worker in workers:
        slots += count_slots(step, worker, worker.free)
        if slots >= _SPARE_FACTOR * wanted:
            return True
    return False


def _log_starving_job(
    cell: Cell, step: Step, workers: list[Worker], now: float, idle_steps: int
) -> None:
    cell.log_decision(
        "job_starves",
        step.job.id,
        step=step.number,
        waiting_s=now - step.waiting_since,
        failures=max(task.failures for task in step.tasks),
        paused_s=max(0.0, step.not_before - now),
        at_quota=step.is_at_quota,
        idle_steps=idle_steps,
        **describe_asking(cell, step, now),
        **_count_exclusions(cell, step, workers, now),
    )


def _log_waiting_task(
    cell: Cell, step: Step, task: Task, workers: list[Worker], now: float
) -> None:
    cell.log_decision(
        "long_running_task_waits",
        step.job.id,
        task=task.id,
        waiting_s=task.waited_seconds(now),
        tasks=len(step.waiting_tasks) + step.uncreated_count,
        running=sum(each.is_placed for each in step.tasks),
        losses=len(task.charges),
        at_quota=step.is_at_quota,
        rank=step.rank,
        **describe_asking(cell, step, now),
        **_count_exclusions(cell, step, workers, now),
    )


def _count_exclusions(cell: Cell, step: Step, workers: list[Worker], now: float) -> dict[str, int]:
    """Count workers by the reason for which they are excluded; ``open`` ones are not."""
    reasons = collections.Counter(
        find_step_exclusion(cell, step, worker, now) for worker in workers
    )
    excluded = {reason.value: count for reason, count in reasons.items() if reason is not None}
    return {"open": reasons[None], **excluded}


def find_step_exclusion(
    cell: Cell, step: Step, worker: Worker, now: float
) -> ExclusionReason | None:
    """Return why the next task of a step is not placed on a worker, or None if it may be."""
    reason = find_exclusion(worker, now)
    if reason is not None:
        return reason
    _, isolation = next_tasks(step, now)
    if not may_share_worker(worker, isolation, now):
        return ExclusionReason.SUSPECT
    if has_probation_run(worker, now):
        return ExclusionReason.ON_PROBATION
    if caution_for(cell, step, now) is Caution.HIGH and is_doubtful(worker):
        return ExclusionReason.DOUBTFUL
    if step.spec.label and step.spec.label not in worker.entry.labels:
        return ExclusionReason.UNFIT
    if step.advice is not None and worker.life in step.advice.unfit:
        return ExclusionReason.UNFIT
    if not worker.free.holds(step.spec.room) or max_additional_tasks(step, worker) <= 0:
        return ExclusionReason.ROOM
    if not worker.free_for(step.key, step.rank).holds(step.spec.room):
        return ExclusionReason.RESERVED
    if step.advice is not None and step.advice.valid_ticket(worker.life, now) is None:
        return ExclusionReason.TICKET
    return None

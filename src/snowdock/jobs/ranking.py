"""Ranks of waiting steps: computed by the policy, raised by aging, and refreshed periodically."""

import math

from .cell import Cell
from .job_state import Step, Task

__all__ = ["refresh_ranks", "update_rank"]

_MAX_RANK_AGE_SECONDS = 0.5
"""Age at which a rank is refreshed, as the slack of a step shrinks while it waits."""

_RESTART_AGING_SECONDS = 1.5
_FIRST_START_AGING_SECONDS = 3.5
"""Time after which a waiting long-running task has the highest rank, whatever the policy says: one
that has run before, and one that has not. Otherwise it might not run for as long as higher-ranked
work keeps arriving."""

_LATE_FACTOR = 3.0
_MIN_OBJECTIVE_SECONDS = 1.0
_LATE_RANK_PENALTY = 1e6
"""A job of many tasks that is later than this multiple of its objective ranks behind all others: it
would hold up each later job for as long as it runs. The penalty exceeds any rank of the policy."""

_REFRESH_INTERVAL_SECONDS = 0.05
_MAX_STEPS_PER_REFRESH = 20
"""Minimum time between two refreshes, and the maximum number of steps of one: these bound the
processor time spent on ranking."""


def refresh_ranks(cell: Cell, now: float) -> None:
    """Refresh the oldest ranks of the waiting steps.

    ``cell.waiting_steps`` is kept in the order in which its steps were ranked.
    """
    if now - cell.last_ranking_at < _REFRESH_INTERVAL_SECONDS:
        return
    cell.last_ranking_at = now
    for _ in range(min(_MAX_STEPS_PER_REFRESH, len(cell.waiting_steps))):
        key = next(iter(cell.waiting_steps))
        step = cell.waiting_steps[key]
        if now - step.ranked_at < _MAX_RANK_AGE_SECONDS:
            return
        del cell.waiting_steps[key]
        update_rank(cell, step, now)
        cell.waiting_steps[key] = step


def update_rank(cell: Cell, step: Step, now: float) -> None:
    """Update the rank of a step from the policy and from the time for which it has waited."""
    step.ranked_at = now
    is_aged = step.spec.long_running and any(_has_aged(task, now) for task in step.waiting_tasks)
    step.rank = math.inf if is_aged else cell.policy.rank(step, now)
    if step.job.has_many_tasks and _is_late(cell, step, now):
        step.rank -= _LATE_RANK_PENALTY


def _is_late(cell: Cell, step: Step, now: float) -> bool:
    objective_s = max(_MIN_OBJECTIVE_SECONDS, cell.objective_seconds(step.job))
    return now - step.submitted_at > _LATE_FACTOR * objective_s


def _has_aged(task: Task, now: float) -> bool:
    aging_s = _RESTART_AGING_SECONDS if task.run else _FIRST_START_AGING_SECONDS
    return task.waited_seconds(now) >= aging_s

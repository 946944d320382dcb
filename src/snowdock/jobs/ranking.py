"""Periodic refresh of the ranks of waiting steps, a few at a time."""

from .cell import Cell

__all__ = ["refresh_ranks"]

_MAX_RANK_AGE_SECONDS = 0.5
"""Age at which a rank is refreshed, as the slack of a step shrinks while it waits."""

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
        step.rank = cell.policy.rank(step, now)
        step.ranked_at = now
        cell.waiting_steps[key] = step

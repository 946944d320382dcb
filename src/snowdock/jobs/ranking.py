"""Periodic refresh of the ranks of waiting steps, a few at a time."""

from .cell import Cell

__all__ = ["rank_again"]

_RANKING_SECONDS = 0.5
"""Age at which a rank is refreshed, as the slack of a step shrinks while it waits."""

_ROUND_SECONDS = 0.05
_RANKED_A_ROUND = 20
"""Minimum time between two refreshes, and the maximum number of steps of one. A policy program
takes about 0.15 ms for each step, so ranking takes at most 6 % of a core."""


def rank_again(cell: Cell, now: float) -> None:
    """Refresh the oldest ranks of the waiting steps.

    ``cell.waiting_steps`` is kept in the order in which its steps were ranked.
    """
    if now - cell.ranked_at < _ROUND_SECONDS:
        return
    cell.ranked_at = now
    for _ in range(min(_RANKED_A_ROUND, len(cell.waiting))):
        key = next(iter(cell.waiting))
        step = cell.waiting[key]
        if now - step.ranked_at < _RANKING_SECONDS:
            return
        del cell.waiting[key]
        step.rank = cell.policy.rank(step, now)
        step.ranked_at = now
        cell.waiting[key] = step

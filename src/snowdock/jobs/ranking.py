"""How urgent waiting steps are: ranked as they come, and a few at a time anew as they wait."""

from .cell import Cell

__all__ = ["refresh_ranks"]

_MAX_RANK_AGE_SECONDS = 0.5
"""How old a rank may become: the slack of a step shrinks as it waits."""

_REFRESH_INTERVAL_SECONDS = 0.05
_MAX_STEPS_PER_REFRESH = 20
"""Pause between two rounds, and the most steps of one. A policy program takes some 0.15 ms for a
step, so ranking takes 6 % of a core at most, however many steps wait."""


def refresh_ranks(cell: Cell, now: float) -> None:
    """Rank the waiting steps anew whose rank is the oldest.

    ``cell.waiting`` is kept in the order in which its steps were ranked.
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

"""Resource usage of teams relative to their fair shares.

A share is not a limit: idle resources may be used by any team. Policy programs use the shares to
decide which team goes first when resources are scarce.
"""

import collections

from ..declarations import ZERO, Size
from .cell import Cell

__all__ = ["count_capacity", "share_used", "tell_team_use"]

_TELL_SECONDS = 1.0
"""Time between two log lines on a team's usage."""


def count_capacity(cell: Cell) -> Size:
    """Return the total resources of all known workers."""
    total = ZERO
    for worker in cell.workers.values():
        total = total.plus(worker.entry.capacity)
    return total


def share_used(cell: Cell, team: str) -> float:
    """Return a team's dominant share of all resources in multiples of its fair share.

    Returns 0 for jobs without a team, and if no weights are configured.
    """
    share = cell.configuration.teams.share(team)
    if not share:
        return 0.0
    return _largest_part(cell.team_use.used(team), cell.capacity) / share


def tell_team_use(cell: Cell, now: float) -> None:
    """Log periodically how much of its quota and share each team with waiting steps uses."""
    if now - cell.teams_told_at < _TELL_SECONDS:
        return
    cell.teams_told_at = now
    waiting = collections.Counter(step.job.team for step in cell.waiting.values())
    held = collections.Counter(step.job.team for step in cell.waiting.values() if step.is_at_quota)
    for name, steps in waiting.items():
        team = cell.configuration.teams.named(name)
        if team is None:
            continue
        used = cell.team_use.used(name)
        cell.tell(
            "team_use",
            name,
            cpu=used.cpu / 1000,
            memory_gb=used.memory / 1024,
            accelerators=used.accelerators,
            of_quota=_largest_part(used, team.quota),
            of_share=share_used(cell, name),
            waiting=steps,
            at_quota=held[name],
        )


def _largest_part(used: Size, whole: Size) -> float:
    pairs = (
        (used.cpu, whole.cpu),
        (used.memory, whole.memory),
        (used.accelerators, whole.accelerators),
    )
    return max((part / total for part, total in pairs if total), default=0.0)

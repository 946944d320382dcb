"""How much of the workers each team uses, against its fair share of them.

The load this answers: workers that are full, and a team that sends many times its usual. What
nobody else wants anybody may use, so a share bounds nothing: it tells policy programs who goes
first where two teams want the same room.
"""

import collections

from ..declarations import ZERO, Size
from .cell import Cell

__all__ = ["count_capacity", "share_used", "tell_team_use"]

_TELL_SECONDS = 1.0
"""Time between two lines about a team."""


def count_capacity(cell: Cell) -> Size:
    """Give all room of the workers that are known."""
    total = ZERO
    for worker in cell.workers.values():
        total = total.plus(worker.entry.capacity)
    return total


def share_used(cell: Cell, team: str) -> float:
    """Tell how many times its fair share of all room a team has running.

    The kind of room counts of which it uses the largest part. 0 for jobs of no team, and where
    no weights are known.
    """
    share = cell.configuration.teams.share(team)
    if not share:
        return 0.0
    return _largest_part(cell.team_use.used(team), cell.capacity) / share


def tell_team_use(cell: Cell, now: float) -> None:
    """Tell of each team that waits what it uses of its quota and its share, if it is time."""
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

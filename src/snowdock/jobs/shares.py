"""How much of the workers each team uses, against its fair share of them.

The load this answers: workers that are full, and a team that sends many times its usual. What
nobody else wants anybody may use, so a share bounds nothing: it tells policy programs who goes
first where two teams want the same room.
"""

import collections

from ..declarations import ZERO, Size
from .cell import Cell

__all__ = ["log_team_usage", "share_used", "sum_capacity"]

_LOG_INTERVAL_SECONDS = 1.0
"""Time between two lines about a team."""


def sum_capacity(cell: Cell) -> Size:
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
    return _compute_dominant_share(cell.team_usage.used(team), cell.capacity) / share


def log_team_usage(cell: Cell, now: float) -> None:
    """Tell of each team that waits what it uses of its quota and its share, if it is time."""
    if now - cell.teams_logged_at < _LOG_INTERVAL_SECONDS:
        return
    cell.teams_logged_at = now
    waiting = collections.Counter(step.job.team for step in cell.waiting_steps.values())
    at_quota = collections.Counter(
        step.job.team for step in cell.waiting_steps.values() if step.is_at_quota
    )
    for name, steps in waiting.items():
        team = cell.configuration.teams.named(name)
        if team is None:
            continue
        used = cell.team_usage.used(name)
        cell.log_decision(
            "team_use",
            name,
            cpu=used.cpu / 1000,
            memory_gb=used.memory / 1024,
            accelerators=used.accelerators,
            of_quota=_compute_dominant_share(used, team.quota),
            of_share=share_used(cell, name),
            waiting=steps,
            at_quota=at_quota[name],
        )


def _compute_dominant_share(used: Size, whole: Size) -> float:
    pairs = (
        (used.cpu, whole.cpu),
        (used.memory, whole.memory),
        (used.accelerators, whole.accelerators),
    )
    return max((part / total for part, total in pairs if total), default=0.0)

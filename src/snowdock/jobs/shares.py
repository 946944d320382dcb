"""Resource usage of teams relative to their fair shares.

A share is not a limit: idle resources may be used by any team. Policy programs use the shares to
decide which team's steps are placed first when resources are scarce.
"""

import collections

from ..declarations import ZERO_SIZE, Size
from .cell import Cell
from .load_summary import BEYOND_SHARE

__all__ = ["is_beyond_share", "log_team_usage", "share_used", "sum_capacity"]

_LOG_INTERVAL_SECONDS = 1.0
"""Time between two log lines on a team's usage."""


def sum_capacity(cell: Cell) -> Size:
    """Return the total resources of all known workers."""
    total = ZERO_SIZE
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
    return _compute_dominant_share(cell.team_usage.used(team), cell.capacity) / share


def is_beyond_share(cell: Cell, team: str) -> bool:
    """Check whether a team's work ranks behind that of other teams in the same queue."""
    return share_used(cell, team) > BEYOND_SHARE


def log_team_usage(cell: Cell, now: float) -> None:
    """Log periodically how much of its quota and share each team with waiting steps uses."""
    if now - cell.teams_logged_at < _LOG_INTERVAL_SECONDS:
        return
    cell.teams_logged_at = now
    waiting = collections.Counter(step.job.team for step in cell.waiting_steps.values())
    at_quota = collections.Counter(
        step.job.team for step in cell.waiting_steps.values() if step.is_at_quota
    )
    for name, steps in waiting.items():
        team = cell.configuration.teams.find_by_name(name)
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

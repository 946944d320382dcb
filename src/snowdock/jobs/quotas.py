"""Enforcement of team quotas at placement and before a start order is sent.

A step that reaches its team's quota waits and never fails, since quotas may be raised again. Quotas
may also be lowered while they are fully used. `team_usage` defines which runs count.
"""

from ..declarations import ZERO, Size
from ..teams import Team
from .cell import Cell, QuotaKept
from .parts import Step, Task
from .seats import fitting

__all__ = ["keep_quotas", "may_start", "tasks_within_quota"]

_KEEPS_QUOTA = True
"""Whether quota is reserved for waiting gangs. Without it, a gang waits behind all smaller steps
of its team."""

_KEPT_WHOLE_SECONDS = 1.5
"""Time for which quota that suffices for a gang is reserved for it. A gang that cannot be placed
for another reason would block the other gangs of its team otherwise."""


def tasks_within_quota(cell: Cell, step: Step, wanted: int) -> int:
    """Return the number of tasks of a step that its team's quota admits now.

    Parameters
    ----------
    cell
        State of the leader.
    step
        The step.
    wanted
        Number of waiting tasks; a gang is admitted as a whole or not at all.

    Returns
    -------
    int
        Number of admitted tasks, from 0 to ``wanted``.
    """
    team = _team_of(cell, step)
    if team is None:
        return wanted
    size = step.spec.size
    used = cell.team_use.used(team.name).plus(_kept_from(cell, step))
    count = min(wanted, fitting(team.quota.minus(used), size))
    if count == wanted:
        return wanted
    if not step.spec.gang:
        # A task that is larger than the quota may run alone.
        return max(1, count) if used == ZERO else count
    # So may a gang, if all but one of its tasks fit within the quota and its overage.
    over = team.quota.scaled(1 + cell.settings.quota_overage)
    return wanted if used == ZERO and fitting(over, size) >= wanted - 1 else 0


def keep_quotas(cell: Cell) -> None:
    """Reserve of each team's quota what the team's highest-ranked waiting gang needs.

    Otherwise smaller tasks of the team would use all quota that becomes free, and the gang would
    never be admitted. Steps with a higher rank may still use the reserved quota.
    """
    cell.quota_kept.clear()
    if not _KEEPS_QUOTA:
        return
    for step in cell.waiting.values():
        team = _team_of(cell, step) if step.spec.gang else None
        if team is None or _is_kept_in_vain(cell, step, team):
            continue
        need = step.spec.size.times(step.spec.count)
        kept = cell.quota_kept.get(team.name)
        if (kept is None or kept.rank < step.rank) and team.quota.holds(need):
            cell.quota_kept[team.name] = QuotaKept(step.key, step.rank, need)


def _is_kept_in_vain(cell: Cell, step: Step, team: Team) -> bool:
    """Check whether a gang has had enough quota for a while but waits for something else."""
    free = team.quota.minus(cell.team_use.used(team.name))
    if not free.holds(step.spec.size.times(step.spec.count)):
        step.has_quota_since = None
        return False
    if step.has_quota_since is None:
        step.has_quota_since = cell.now
    return cell.now - step.has_quota_since > _KEPT_WHOLE_SECONDS


def _kept_from(cell: Cell, step: Step) -> Size:
    """Return the quota that is reserved for a gang of the team that ranks higher than a step."""
    kept = cell.quota_kept.get(step.job.team)
    if kept is None or kept.step == step.key or kept.rank < step.rank:
        return ZERO
    return kept.need


def may_start(cell: Cell, task: Task) -> bool:
    """Check whether a placed task may still start, as its team's quota may have been lowered."""
    team = _team_of(cell, task.step)
    if team is None:
        return True
    others = cell.team_use.used(team.name).minus(task.step.spec.size)
    return team.quota.scaled(1 + cell.settings.quota_overage).holds(others)


def _team_of(cell: Cell, step: Step) -> Team | None:
    """Return the team whose quota a step uses; None if it has no team or the team is unknown."""
    return cell.configuration.teams.named(step.job.team)

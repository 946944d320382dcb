"""How many tasks of a step its team's quota lets begin, and whether a start may still go out.

The load this answers: a team that sends many times its usual beside full workers, steps that are
wider than their team may run, and quotas that are lowered while they are full. What is counted is
told by `team_use`. A bound that is reached holds a step back, and never ends it: quotas rise
again, and a job that could be done may not be shown as failed.
"""

from ..declarations import ZERO, Size
from ..teams import Team
from .cell import Cell, QuotaKept
from .parts import Step, Task
from .seats import fitting

__all__ = ["keep_quotas", "may_start", "tasks_within_quota"]

_KEEPS_QUOTA = True
"""Whether quota is kept for a waiting gang: else it waits behind all that starts piece by piece."""

_KEPT_WHOLE_SECONDS = 1.5
"""How long quota that a gang has whole is kept for it: one that no set of workers ever holds would
keep its team's other gangs waiting for as long as it stands there."""


def tasks_within_quota(cell: Cell, step: Step, wanted: int) -> int:
    """Tell how many tasks of a step its team's quota lets begin now.

    Parameters
    ----------
    cell
        The leader's state.
    step
        The step.
    wanted
        How many of its tasks wait; those of a gang begin together or not at all.

    Returns
    -------
    int
        From 0 to ``wanted``: a wide step goes in waves.
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
        # A task larger than the quota runs alone; else it never would.
        return max(1, count) if used == ZERO else count
    # So does a gang that the overage lets in: all but one of its tasks have to fit.
    over = team.quota.scaled(1 + cell.settings.quota_overage)
    return wanted if used == ZERO and fitting(over, size) >= wanted - 1 else 0


def keep_quotas(cell: Cell) -> None:
    """Keep of each team's quota what its waiting gang that ranks highest needs.

    Where smaller tasks of the team take each piece of its quota as it comes free, a gang never
    finds all of what it needs. What ranks higher goes on using it: it is small and ends soon.
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
    """Whether a gang has had all of its quota for a while and lacks something else."""
    free = team.quota.minus(cell.team_use.used(team.name))
    if not free.holds(step.spec.size.times(step.spec.count)):
        step.has_quota_since = None
        return False
    if step.has_quota_since is None:
        step.has_quota_since = cell.now
    return cell.now - step.has_quota_since > _KEPT_WHOLE_SECONDS


def _kept_from(cell: Cell, step: Step) -> Size:
    """Give what is kept of its team's quota for a gang that ranks higher than a step."""
    kept = cell.quota_kept.get(step.job.team)
    if kept is None or kept.step == step.key or kept.rank < step.rank:
        return ZERO
    return kept.need


def may_start(cell: Cell, task: Task) -> bool:
    """Tell whether a task that was placed may still start: the quota may be lower since then."""
    team = _team_of(cell, task.step)
    if team is None:
        return True
    others = cell.team_use.used(team.name).minus(task.step.spec.size)
    return team.quota.scaled(1 + cell.settings.quota_overage).holds(others)


def _team_of(cell: Cell, step: Step) -> Team | None:
    """Give the team whose quota a step counts for; None where it has none or is gone."""
    return cell.configuration.teams.named(step.job.team)

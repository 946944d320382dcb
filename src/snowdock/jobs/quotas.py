"""How many tasks of a step its team's quota lets begin, and whether a start may still go out.

The load this answers: a team that sends many times its usual beside full workers, steps that are
wider than their team may run, and quotas that are lowered while they are full. What is counted is
told by `team_use`. A bound that is reached holds a step back, and never ends it: quotas rise
again, and a job that could be done may not be shown as failed.
"""

from ..declarations import ZERO
from ..teams import Team
from .cell import Cell
from .parts import Step, Task
from .seats import fitting

__all__ = ["may_start", "tasks_within_quota"]


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
    used = cell.team_use.used(team.name)
    count = min(wanted, fitting(team.quota.minus(used), size))
    if count == wanted:
        return wanted
    if not step.spec.gang:
        # A task larger than the quota runs alone; else it never would.
        return max(1, count) if used == ZERO else count
    # So does a gang that the overage lets in: all but one of its tasks have to fit.
    over = team.quota.scaled(1 + cell.settings.quota_overage)
    return wanted if used == ZERO and fitting(over, size) >= wanted - 1 else 0


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

"""How many tasks of a step its team's quota lets begin, and whether a start may still go out.

The load this answers: a team that sends many times its usual beside full workers, steps that are
wider than their team may run, and quotas that are lowered while they are full. What is counted is
told by `team_use`. A bound that is reached holds a step back, and never ends it: quotas rise
again, and a job that could be done may not be shown as failed.
"""

from ..declarations import ZERO, Size
from ..teams import Team
from .candidates import count_fitting
from .cell import Cell, QuotaReservation
from .job_state import Step, Task

__all__ = ["may_start_within_quota", "reserve_quotas", "tasks_within_quota"]

_RESERVES_QUOTA = True
"""Whether quota is kept for a waiting gang: else it waits behind all that starts piece by piece."""

_MAX_IDLE_RESERVATION_SECONDS = 1.5
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
    used = cell.team_usage.used(team.name).plus(_reserved_for_higher_rank(cell, step))
    count = min(wanted, count_fitting(team.quota.minus(used), size))
    if count == wanted:
        return wanted
    if not step.spec.gang:
        # A task larger than the quota runs alone; else it never would.
        return max(1, count) if used == ZERO else count
    # So does a gang that the overage lets in: all but one of its tasks have to fit.
    overage_quota = team.quota.scaled(1 + cell.settings.quota_overage)
    return wanted if used == ZERO and count_fitting(overage_quota, size) >= wanted - 1 else 0


def reserve_quotas(cell: Cell) -> None:
    """Keep of each team's quota what its waiting gang that ranks highest needs.

    Where smaller tasks of the team take each piece of its quota as it comes free, a gang never
    finds all of what it needs. What ranks higher goes on using it: it is small and ends soon.
    """
    cell.quota_reservations.clear()
    if not _RESERVES_QUOTA:
        return
    for step in cell.waiting_steps.values():
        team = _team_of(cell, step) if step.spec.gang else None
        if team is None or _is_reservation_idle(cell, step, team):
            continue
        size = step.spec.size.times(step.spec.count)
        reservation = cell.quota_reservations.get(team.name)
        if (reservation is None or reservation.rank < step.rank) and team.quota.holds(size):
            cell.quota_reservations[team.name] = QuotaReservation(step.key, step.rank, size)


def _is_reservation_idle(cell: Cell, step: Step, team: Team) -> bool:
    """Whether a gang has had all of its quota for a while and lacks something else."""
    free = team.quota.minus(cell.team_usage.used(team.name))
    if not free.holds(step.spec.size.times(step.spec.count)):
        step.quota_available_since = None
        return False
    if step.quota_available_since is None:
        step.quota_available_since = cell.now
    return cell.now - step.quota_available_since > _MAX_IDLE_RESERVATION_SECONDS


def _reserved_for_higher_rank(cell: Cell, step: Step) -> Size:
    """Give what is kept of its team's quota for a gang that ranks higher than a step."""
    reservation = cell.quota_reservations.get(step.job.team)
    if reservation is None or reservation.step == step.key or reservation.rank < step.rank:
        return ZERO
    return reservation.size


def may_start_within_quota(cell: Cell, task: Task) -> bool:
    """Tell whether a task that was placed may still start: the quota may be lower since then."""
    team = _team_of(cell, task.step)
    if team is None:
        return True
    others = cell.team_usage.used(team.name).minus(task.step.spec.size)
    return team.quota.scaled(1 + cell.settings.quota_overage).holds(others)


def _team_of(cell: Cell, step: Step) -> Team | None:
    """Give the team whose quota a step counts for; None where it has none or is gone."""
    return cell.configuration.teams.named(step.job.team)

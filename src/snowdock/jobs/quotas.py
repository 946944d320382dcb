"""Enforcement of team quotas at placement and before a start order is sent.

A step that reaches its team's quota waits and never fails, since quotas may be raised again. Quotas
may also be lowered while they are fully used. `team_usage` defines which runs count.
"""

from ..declarations import ZERO, Size
from ..teams import Team
from .candidates import count_fitting
from .cell import Cell, QuotaReservation
from .job_state import Step, Task

__all__ = ["may_start_within_quota", "reserve_quotas", "tasks_within_quota"]

_RESERVES_QUOTA = True
"""Whether quota is reserved for waiting gangs. Without it, a gang waits behind all smaller steps
of its team."""

_MAX_IDLE_RESERVATION_SECONDS = 1.5
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
    used = cell.team_usage.used(team.name).plus(_reserved_for_higher_rank(cell, step))
    count = min(wanted, count_fitting(team.quota.minus(used), size))
    if count == wanted:
        return wanted
    if not step.spec.gang:
        # A task that is larger than the quota may run alone.
        return max(1, count) if used == ZERO else count
    # So may a gang, if all but one of its tasks fit within the quota and its overage.
    overage_quota = team.quota.scaled(1 + cell.settings.quota_overage)
    return wanted if used == ZERO and count_fitting(overage_quota, size) >= wanted - 1 else 0


def reserve_quotas(cell: Cell) -> None:
    """Reserve of each team's quota what the team's highest-ranked waiting gang needs.

    Otherwise smaller tasks of the team would use all quota that becomes free, and the gang would
    never be admitted. Steps with a higher rank may still use the reserved quota.
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
    """Check whether a gang has had enough quota for a while but waits for something else."""
    free = team.quota.minus(cell.team_usage.used(team.name))
    if not free.holds(step.spec.size.times(step.spec.count)):
        step.quota_available_since = None
        return False
    if step.quota_available_since is None:
        step.quota_available_since = cell.now
    return cell.now - step.quota_available_since > _MAX_IDLE_RESERVATION_SECONDS


def _reserved_for_higher_rank(cell: Cell, step: Step) -> Size:
    """Return the quota that is reserved for a gang of the team that ranks higher than a step."""
    reservation = cell.quota_reservations.get(step.job.team)
    if reservation is None or reservation.step == step.key or reservation.rank < step.rank:
        return ZERO
    return reservation.size


def may_start_within_quota(cell: Cell, task: Task) -> bool:
    """Check whether a placed task may still start, as its team's quota may have been lowered."""
    team = _team_of(cell, task.step)
    if team is None:
        return True
    others = cell.team_usage.used(team.name).minus(task.step.spec.size)
    return team.quota.scaled(1 + cell.settings.quota_overage).holds(others)


def _team_of(cell: Cell, step: Step) -> Team | None:
    """Return the team whose quota a step uses; None if it has no team or the team is unknown."""
    return cell.configuration.teams.named(step.job.team)

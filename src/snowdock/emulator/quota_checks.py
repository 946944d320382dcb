"""Check of the teams' quotas, based on the runs at the workers."""

import dataclasses
from collections.abc import Iterable

from ..declarations import ZERO_SIZE, Size
from ..jobs.model import TaskId
from ..teams import Team

__all__ = ["QuotaChecker"]

_OLD_QUOTA_SECONDS = 15.0
"""How long a lowered quota's old value is accepted: orders sent before may be carried out some
seconds later."""


_SPARE_QUOTA_SHARE = 0.5
"""A team that uses more than this share of its quota may have waiting jobs."""


@dataclasses.dataclass(frozen=True, slots=True)
class _TeamsVersion:
    """The teams in effect from a time on."""

    at: float
    teams: dict[str, Team]


class QuotaChecker:
    """Tracks the running tasks of each team and checks them against its quota.

    Parameters
    ----------
    overage
        Share of its quota by which a team may exceed it.
    """

    def __init__(self, overage: float) -> None:
        self._overage = overage
        self._versions: list[_TeamsVersion] = []
        self._teams: dict[str, str] = {}
        self._running: dict[tuple[TaskId, str], Size] = {}
        self._used: dict[str, Size] = {}

    def configure(self, teams: Iterable[Team], at: float) -> None:
        """Record the teams and quotas in effect from a time on."""
        self._versions.append(_TeamsVersion(at, {team.name: team for team in teams}))

    def record_submission(self, job: str, team: str) -> None:
        """Record the team of a job."""
        self._teams[job] = team

    def check_start(self, task: TaskId, life: str, size: Size, at: float) -> str:
        """Record a start; return the quota violation, or an empty string."""
        team = self._teams.get(task.job, "")
        before = self._used.get(team, ZERO_SIZE)
        if not team or (task, life) in self._running:
            return ""
        self._running[task, life] = size
        self._used[team] = before.plus(size)
        limit = self._find_limit(team, at)
        if limit is None or limit.holds(before):
            return ""
        return f"{team} had {before} running of {limit}"

    def record_end(self, task: TaskId, life: str) -> None:
        """Record the end of a run."""
        size = self._running.pop((task, life), None)
        if size is not None:
            team = self._teams[task.job]
            self._used[team] = self._used[team].minus(size)

    def has_spare_quota(self, job: str, need: Size) -> bool:
        """Return whether the need fits the team's newest quota and at most half of that is used."""
        team = self._versions[-1].teams.get(self._teams.get(job, "")) if self._versions else None
        if team is None:
            return True
        used = self._used.get(team.name, ZERO_SIZE)
        return team.quota.scaled(_SPARE_QUOTA_SHARE).holds(used) and team.quota.holds(
            used.plus(need)
        )

    def record_life_end(self, life: str) -> None:
        """Record the end of all runs in a worker's life."""
        for task, other in list(self._running):
            if other == life:
                self.record_end(task, life)

    def _find_limit(self, name: str, at: float) -> Size | None:
        """Return the most that a team may have had running before a start; None if unlimited."""
        limit = None
        for number, version in enumerate(self._versions):
            following = self._versions[number + 1 : number + 2]
            if following and at - following[0].at > _OLD_QUOTA_SECONDS:
                continue
            team = version.teams.get(name)
            if team is None:
                return None
            limit = team.quota if limit is None else limit.elementwise_max(team.quota)
        if limit is None:
            return None
        factor = 1 + self._overage
        return Size(
            *(int(amount * factor) for amount in (limit.cpu, limit.memory, limit.accelerators))
        )

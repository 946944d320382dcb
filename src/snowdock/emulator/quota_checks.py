"""Check of the teams' quotas, based on the runs at the workers."""

import dataclasses
from collections.abc import Iterable

from ..declarations import ZERO, Size
from ..jobs.model import TaskId
from ..teams import Team

__all__ = ["QuotaChecks"]

_IN_FORCE_SECONDS = 15.0
"""How long a lowered quota's old value is accepted: orders sent before may be carried out some
seconds later."""


_HALF = 0.5
"""A team that uses more than this share of its quota may have waiting jobs."""


@dataclasses.dataclass(frozen=True, slots=True)
class _Version:
    """The teams in effect from a time on."""

    at: float
    teams: dict[str, Team]


class QuotaChecks:
    """Tracks the running tasks of each team and checks them against its quota.

    Parameters
    ----------
    overage
        Share of its quota by which a team may exceed it.
    """

    def __init__(self, overage: float) -> None:
        self._overage = overage
        self._versions: list[_Version] = []
        self._teams: dict[str, str] = {}
        self._running: dict[tuple[TaskId, str], Size] = {}
        self._used: dict[str, Size] = {}

    def configure(self, teams: Iterable[Team], at: float) -> None:
        """Record the teams and quotas in effect from a time on."""
        self._versions.append(_Version(at, {team.name: team for team in teams}))

    def submitted(self, job: str, team: str) -> None:
        """Record the team of a job."""
        self._teams[job] = team

    def started(self, task: TaskId, life: str, size: Size, at: float) -> str:
        """Record a start; return the quota violation, or an empty string."""
        team = self._teams.get(task.job, "")
        before = self._used.get(team, ZERO)
        if not team or (task, life) in self._running:
            return ""
        self._running[task, life] = size
        self._used[team] = before.plus(size)
        most = self._most(team, at)
        if most is None or most.holds(before):
            return ""
        return f"{team} had {before} running of {most}"

    def ended(self, task: TaskId, life: str) -> None:
        """Record the end of a run."""
        size = self._running.pop((task, life), None)
        if size is not None:
            team = self._teams[task.job]
            self._used[team] = self._used[team].minus(size)

    def has_spare(self, job: str, need: Size) -> bool:
        """Return whether the need fits the team's newest quota and at most half of that is used."""
        team = self._versions[-1].teams.get(self._teams.get(job, "")) if self._versions else None
        if team is None:
            return True
        used = self._used.get(team.name, ZERO)
        return team.quota.scaled(_HALF).holds(used) and team.quota.holds(used.plus(need))

    def vanished(self, life: str) -> None:
        """Record the end of all runs in a worker's life."""
        for task, other in list(self._running):
            if other == life:
                self.ended(task, life)

    def _most(self, name: str, at: float) -> Size | None:
        """Return the most that a team may have had running before a start; None if unlimited."""
        most = None
        for number, version in enumerate(self._versions):
            following = self._versions[number + 1 : number + 2]
            if following and at - following[0].at > _IN_FORCE_SECONDS:
                continue
            team = version.teams.get(name)
            if team is None:
                return None
            most = team.quota if most is None else most.at_least(team.quota)
        if most is None:
            return None
        factor = 1 + self._overage
        return Size(
            *(int(amount * factor) for amount in (most.cpu, most.memory, most.accelerators))
        )

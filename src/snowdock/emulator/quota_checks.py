"""Whether teams keep their quotas, checked from what the workers see."""

import dataclasses
from collections.abc import Iterable

from ..declarations import ZERO, Size
from ..jobs.model import TaskId
from ..teams import Team

__all__ = ["QuotaChecks"]

_IN_FORCE_SECONDS = 15.0
"""A quota that was lowered still allows what was ordered before: an order may be carried out some
seconds after it was sent."""


_HALF = 0.5
"""A team that has more than this part of its quota running may have jobs that wait."""


@dataclasses.dataclass(frozen=True, slots=True)
class _Version:
    """The teams that came into force at a time."""

    at: float
    teams: dict[str, Team]


class QuotaChecks:
    """Counts what each team has running.

    Parameters
    ----------
    overage
        By what part of its quota a team may be over it.
    """

    def __init__(self, overage: float) -> None:
        self._overage = overage
        self._versions: list[_Version] = []
        self._teams: dict[str, str] = {}
        self._running: dict[tuple[TaskId, str], Size] = {}
        self._used: dict[str, Size] = {}

    def configure(self, teams: Iterable[Team], at: float) -> None:
        """Note the quotas in force from now on."""
        self._versions.append(_Version(at, {team.name: team for team in teams}))

    def submitted(self, job: str, team: str) -> None:
        """Note whose job it is."""
        self._teams[job] = team

    def started(self, task: TaskId, life: str, size: Size, at: float) -> str:
        """Count a start; tell what it breaks, or nothing."""
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
        """Count a run no more."""
        size = self._running.pop((task, life), None)
        if size is not None:
            team = self._teams[task.job]
            self._used[team] = self._used[team].minus(size)

    def has_spare(self, job: str, need: Size) -> bool:
        """Whether a job's team has under half of its newest quota running, and the need fits."""
        team = self._versions[-1].teams.get(self._teams.get(job, "")) if self._versions else None
        if team is None:
            return True
        used = self._used.get(team.name, ZERO)
        return team.quota.scaled(_HALF).holds(used) and team.quota.holds(used.plus(need))

    def vanished(self, life: str) -> None:
        """Count nothing more of what ran in a worker's life."""
        for task, other in list(self._running):
            if other == life:
                self.ended(task, life)

    def _most(self, name: str, at: float) -> Size | None:
        """Give the most that a team may have had running before a start; None for no bound."""
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

"""Whether teams keep their quotas, checked from what the workers see."""

import dataclasses
from collections.abc import Iterable

from ..declarations import ZERO_SIZE, Size
from ..jobs.model import TaskId
from ..teams import Team

__all__ = ["QuotaChecker"]

_OLD_QUOTA_SECONDS = 15.0
"""A quota that was lowered still allows what was ordered before: an order may be carried out some
seconds after it was sent."""


_SPARE_QUOTA_SHARE = 0.5
"""A team that has more than this part of its quota running may have jobs that wait."""


@dataclasses.dataclass(frozen=True, slots=True)
class _TeamsVersion:
    """The teams that came into force at a time."""

    at: float
    teams: dict[str, Team]


class QuotaChecker:
    """Counts what each team has running.

    Parameters
    ----------
    overage
        By what part of its quota a team may be over it.
    """

    def __init__(self, overage: float) -> None:
        self._overage = overage
        self._versions: list[_TeamsVersion] = []
        self._teams: dict[str, str] = {}
        self._running: dict[tuple[TaskId, str], Size] = {}
        self._used: dict[str, Size] = {}

    def configure(self, teams: Iterable[Team], at: float) -> None:
        """Note the quotas in force from now on."""
        self._versions.append(_TeamsVersion(at, {team.name: team for team in teams}))

    def record_submission(self, job: str, team: str) -> None:
        """Note whose job it is."""
        self._teams[job] = team

    def check_start(self, task: TaskId, life: str, size: Size, at: float) -> str:
        """Count a start; tell what it breaks, or nothing."""
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
        """Count a run no more."""
        size = self._running.pop((task, life), None)
        if size is not None:
            team = self._teams[task.job]
            self._used[team] = self._used[team].minus(size)

    def has_spare_quota(self, job: str, need: Size) -> bool:
        """Whether a job's team has under half of its newest quota running, and the need fits."""
        team = self._versions[-1].teams.get(self._teams.get(job, "")) if self._versions else None
        if team is None:
            return True
        used = self._used.get(team.name, ZERO_SIZE)
        return team.quota.scaled(_SPARE_QUOTA_SHARE).holds(used) and team.quota.holds(
            used.plus(need)
        )

    def record_life_end(self, life: str) -> None:
        """Count nothing more of what ran in a worker's life."""
        for task, other in list(self._running):
            if other == life:
                self.record_end(task, life)

    def _find_limit(self, name: str, at: float) -> Size | None:
        """Give the most that a team may have had running before a start; None for no bound."""
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

"""Resource usage of teams over all workers.

All runs that exist or may exist on a worker count: placed runs whose start was not sent yet, starts
without an answer, which may still be carried out, runs that are being stopped, runs on workers that
are unreachable or not known yet, and runs of earlier leaders.
"""

from ..declarations import ZERO, Size
from .model import TaskId

__all__ = ["TeamUsage"]

_Run = tuple[str, TaskId, int]
"""Life of the worker, task, and number of the run."""


class TeamUsage:
    """Resources that runs use of their teams' quotas."""

    def __init__(self) -> None:
        self._runs: dict[_Run, tuple[str, Size]] = {}
        self._used: dict[str, Size] = {}

    def add_run(self, life: str, task: TaskId, run: int, team: str, size: Size) -> None:
        """Add a run to its team's usage, unless it is already counted."""
        if not team or (life, task, run) in self._runs:
            return
        self._runs[life, task, run] = (team, size)
        self._used[team] = self.used(team).plus(size)

    def remove_run(self, life: str, task: TaskId, run: int) -> None:
        """Remove a run that certainly neither exists nor will start on a worker."""
        found = self._runs.pop((life, task, run), None)
        if found is None:
            return
        team, size = found
        left = self.used(team).minus(size)
        if left == ZERO:
            del self._used[team]
        else:
            self._used[team] = left

    def used(self, team: str) -> Size:
        """Return the resources that a team uses."""
        return self._used.get(team, ZERO)

    def used_by_team(self) -> dict[str, Size]:
        """Return the resources that each team with runs uses."""
        return dict(self._used)

"""What each team has running, over all workers.

Counted is all that is or may be at a worker: runs on record whose start has not gone out yet,
starts without an answer, which may be carried out seconds later, runs that are being stopped,
those at workers that are cut off or not known yet, and those of earlier leaders.
"""

from ..declarations import ZERO, Size
from .model import TaskId

__all__ = ["TeamUsage"]

_Run = tuple[str, TaskId, int]
"""A worker's life, a task, and the number of its run."""


class TeamUsage:
    """The room that runs take of their teams' quotas."""

    def __init__(self) -> None:
        self._runs: dict[_Run, tuple[str, Size]] = {}
        self._used: dict[str, Size] = {}

    def add_run(self, life: str, task: TaskId, run: int, team: str, size: Size) -> None:
        """Count a run as its team's; one that is counted already stays as it is."""
        if not team or (life, task, run) in self._runs:
            return
        self._runs[life, task, run] = (team, size)
        self._used[team] = self.used(team).plus(size)

    def remove_run(self, life: str, task: TaskId, run: int) -> None:
        """Count a run no more that surely neither is nor will be at a worker."""
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
        """Give what a team has running."""
        return self._used.get(team, ZERO)

    def used_by_team(self) -> dict[str, Size]:
        """Give what each team has running that runs anything."""
        return dict(self._used)

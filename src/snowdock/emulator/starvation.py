"""Whether jobs run nothing beside free room, judged from what the workers see.

A job starves when, for longer than users allow, nothing of it runs though a task's turn has come,
its service has room for that task twice over, and less than half of the service, and of its team's
quota, is in use.
"""

import dataclasses
from collections.abc import Callable, Iterable

from ..declarations import ZERO_SIZE, Size
from ..jobs.model import JobSpec, StepSpec, TaskId
from .checks import InvariantChecker
from .worker_model import WorkerModel

__all__ = ["ALLOWED_IDLE_SECONDS", "StarvationChecker", "StarvedJob"]

ALLOWED_IDLE_SECONDS = 3.0
"""How long users let a job run nothing beside free room."""

_MAX_USED_SHARE = 0.5
_SPARE_FACTOR = 2

MayRun = Callable[[str, int, str], bool]
"""(job, step, worker's life) -> whether advice lets the step run there."""


@dataclasses.dataclass(frozen=True, slots=True)
class StarvedJob:
    """A job that ran nothing: from when, for how many seconds so far, and its step."""

    job: str
    step: int
    since: float
    seconds: float


class StarvationChecker:
    """Looks at all jobs and workers from time to time.

    Parameters
    ----------
    checks
        Knows what was submitted and how runs ended.
    may_run
        What advice says; the room of other workers does not count.

    Attributes
    ----------
    found
        Jobs that starved, each with its longest time.
    """

    def __init__(self, checks: InvariantChecker, may_run: MayRun = lambda *_: True) -> None:
        self.starved_jobs: dict[str, StarvedJob] = {}
        self._checks = checks
        self._may_run = may_run
        self._idle_since: dict[str, float] = {}
        self._excused_until: dict[str, float] = {}

    def excuse(self, tasks: Iterable[TaskId], until: float) -> None:
        """Let the jobs of tasks that went with their worker wait until that can be known."""
        for task in tasks:
            self._excused_until[task.job] = until

    def reset(self) -> None:
        """Begin anew, since something went wrong that excuses waiting."""
        self._idle_since.clear()

    def check(self, workers: Iterable[WorkerModel], open_jobs: Iterable[str], now: float) -> None:
        """Look at the jobs that are accepted and have not ended."""
        available = [worker for worker in workers if worker.accepts_runs]
        idle: dict[str, float] = {}
        if _is_mostly_free(available):
            busy = {task.job for worker in available for task in worker.running}
            for job in open_jobs:
                is_excused = job in busy or self._excused_until.get(job, now) > now
                step = None if is_excused else self._find_idle_step(job, available)
                if step is not None:
                    since = idle[job] = self._idle_since.get(job, now)
                    self._record(job, step, since, now)
        self._idle_since = idle

    def _record(self, job: str, step: int, since: float, now: float) -> None:
        known = self.starved_jobs.get(job)
        seconds = now - since
        if seconds >= ALLOWED_IDLE_SECONDS and (known is None or known.seconds < seconds):
            self.starved_jobs[job] = StarvedJob(job, step, since, seconds)

    def _find_idle_step(self, job: str, workers: list[WorkerModel]) -> int | None:
        """Give a step whose turn has come and that finds room twice over, if there is one."""
        spec = self._checks.find_spec(job)
        if self._checks.has_ended(job):
            return None
        for number, step in enumerate(spec.steps):
            if self._is_ready(job, number, spec) and self._has_room(job, number, step, workers):
                return number
        return None

    def _is_ready(self, job: str, number: int, spec: JobSpec) -> bool:
        step = spec.steps[number]
        return not self._is_done(job, number, step) and all(
            self._is_done(job, earlier, spec.steps[earlier]) for earlier in step.after
        )

    def _is_done(self, job: str, number: int, step: StepSpec) -> bool:
        tasks = (TaskId(job, 0, number, index) for index in range(step.count))
        return all(self._checks.is_done(task) for task in tasks)

    def _has_room(self, job: str, number: int, step: StepSpec, workers: list[WorkerModel]) -> bool:
        count = step.count if step.gang else 1
        if not self._checks.quotas.has_spare_quota(job, step.size.times(count)):
            return False
        wanted = _SPARE_FACTOR * count
        fitting = 0
        for worker in workers:
            if not self._may_run(job, number, worker.entry.life):
                continue
            free = worker.entry.capacity.minus(worker.used)
            while fitting < wanted and free.holds(step.room):
                free = free.minus(step.room)
                fitting += 1
                if step.room == ZERO_SIZE:
                    break
        return fitting >= wanted


def _is_mostly_free(workers: list[WorkerModel]) -> bool:
    used, capacity = ZERO_SIZE, ZERO_SIZE
    for worker in workers:
        used = used.plus(worker.used)
        capacity = capacity.plus(worker.entry.capacity)
    return _is_within_share(used, capacity, "cpu") and _is_within_share(used, capacity, "memory")


def _is_within_share(used: Size, capacity: Size, kind: str) -> bool:
    return getattr(used, kind) <= _MAX_USED_SHARE * getattr(capacity, kind)

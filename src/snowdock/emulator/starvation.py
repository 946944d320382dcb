"""Check for starving jobs, based on the runs at the workers.

A job starves if for longer than users accept, none of its tasks runs, although one is ready to
start, its service has room for twice that task, and at most half of the service and of its team's
quota is in use.
"""

import dataclasses
from collections.abc import Callable, Iterable

from ..declarations import ZERO_SIZE, Size
from ..jobs.model import JobSpec, StepSpec, TaskId
from .checks import InvariantChecker
from .worker_model import WorkerModel

__all__ = ["ALLOWED_IDLE_SECONDS", "StarvationChecker", "StarvedJob"]

ALLOWED_IDLE_SECONDS = 3.0
"""How long users accept that a job runs nothing beside free room."""

_MAX_USED_SHARE = 0.5
_SPARE_FACTOR = 2

MayRun = Callable[[str, int, str], bool]
"""(job, step, worker's life) -> whether the advice service lets the step run there."""


@dataclasses.dataclass(frozen=True, slots=True)
class StarvedJob:
    """A starving job: its first ready step, since when it starves, and for how many seconds."""

    job: str
    step: int
    since: float
    seconds: float


class StarvationChecker:
    """Checks jobs and workers for starvation at regular intervals.

    Parameters
    ----------
    checks
        Holds the submitted jobs and the ends of their runs.
    may_run
        The advice service's decision; room at other workers is not counted.

    Attributes
    ----------
    starved_jobs
        Jobs that starved, each with its longest period.
    """

    def __init__(self, checks: InvariantChecker, may_run: MayRun = lambda *_: True) -> None:
        self.starved_jobs: dict[str, StarvedJob] = {}
        self._checks = checks
        self._may_run = may_run
        self._idle_since: dict[str, float] = {}
        self._exempt_until: dict[str, float] = {}

    def exempt_tasks(self, tasks: Iterable[TaskId], until: float) -> None:
        """Exempt the jobs of tasks lost with their worker until the loss can be detected."""
        for task in tasks:
            self._exempt_until[task.job] = until

    def reset(self) -> None:
        """Forget since when jobs are idle, because a fault explains their waiting."""
        self._idle_since.clear()

    def check(self, workers: Iterable[WorkerModel], open_jobs: Iterable[str], now: float) -> None:
        """Check the jobs that are accepted and have not ended."""
        available = [worker for worker in workers if worker.accepts_runs]
        idle: dict[str, float] = {}
        if _is_mostly_free(available):
            busy = {task.job for worker in available for task in worker.running}
            for job in open_jobs:
                is_exempt = job in busy or self._exempt_until.get(job, now) > now
                step = None if is_exempt else self._find_idle_step(job, available)
                if step is not None:
                    since = idle[job] = self._idle_since.get(job, now)
                    self._record(job, step, since, now)
        self._idle_since = idle

    def _record(self, job: str, step: int, since: float, now: float) -> None:
        previous = self.starved_jobs.get(job)
        seconds = now - since
        if seconds >= ALLOWED_IDLE_SECONDS and (previous is None or previous.seconds < seconds):
            self.starved_jobs[job] = StarvedJob(job, step, since, seconds)

    def _find_idle_step(self, job: str, workers: list[WorkerModel]) -> int | None:
        """Return the first ready step with room for twice its need, or None."""
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

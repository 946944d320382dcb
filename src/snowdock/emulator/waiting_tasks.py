"""Check for long-running tasks that wait beside free room, based on the runs at the workers.

Each long-running task of an accepted job that is not cancelled must run from 6 s after its
acceptance or the end of its last run, whenever the workers that may run it have had room for it
twice over for 3 s. It does not matter how full the service is, or whether other tasks of the job
run. Faults during these 3 s and the 4 s before exempt it.
"""

import collections
import dataclasses
import math
from collections.abc import Iterable

from ..jobs.candidates import count_fitting
from ..jobs.model import StepKey, StepSpec, TaskId
from .checks import InvariantChecker, iterate_tasks
from .starvation import MayRun
from .worker_model import WorkerModel

__all__ = ["WaitingTask", "WaitingTaskChecker"]

_ALLOWED_WAIT_SECONDS = 6.0
"""How long a task may wait after its acceptance or the end of its last run."""

_ROOM_SECONDS = 3.0
"""How long there must have been room for a waiting task."""

_FAULT_SECONDS = 7.0
"""How long a fault exempts all tasks: `_ROOM_SECONDS` and the 4 s before."""

_SPARE_FACTOR = 2


@dataclasses.dataclass(frozen=True, slots=True)
class WaitingTask:
    """A task that waited for too long: since when, and for how many seconds."""

    task: TaskId
    since: float
    seconds: float


class WaitingTaskChecker:
    """Checks long-running tasks at regular intervals.

    Parameters
    ----------
    checks
        Holds the submitted jobs and the runs of their tasks.
    may_run
        The advice service's decision; room at other workers is not counted.

    Attributes
    ----------
    waiting_tasks
        Tasks that waited for too long, each with its longest wait.
    """

    def __init__(self, checks: InvariantChecker, may_run: MayRun = lambda *_: True) -> None:
        self.waiting_tasks: dict[TaskId, WaitingTask] = {}
        self._checks = checks
        self._may_run = may_run
        self._accepted_at: dict[str, float] = {}
        self._room_since: dict[StepKey, float] = {}
        self._last_fault_at = -math.inf
        self._checked_count: collections.Counter[str] = collections.Counter()
        self._running_count: collections.Counter[str] = collections.Counter()

    def record_acceptance(self, job: str, at: float) -> None:
        """Record that a job was accepted."""
        if any(step.long_running for step in self._checks.find_spec(job).steps):
            self._accepted_at.setdefault(job, at)

    def record_fault(self, at: float) -> None:
        """Record a fault that explains why tasks wait."""
        self._last_fault_at = at

    def running_share(self, job: str) -> float:
        """Return the share of time during which the tasks of a job ran, from 0 to 1."""
        return self._running_count[job] / max(1, self._checked_count[job])

    def check(self, workers: Iterable[WorkerModel], ended_jobs: Iterable[str], now: float) -> None:
        """Check the accepted jobs, except those that have ended."""
        for job in ended_jobs:
            self._accepted_at.pop(job, None)
        available = [worker for worker in workers if worker.accepts_runs]
        room_since: dict[StepKey, float] = {}
        for job, accepted_at in self._accepted_at.items():
            if self._checks.has_ended(job):
                continue
            for key, waiting in self._find_waiting_tasks(job, accepted_at).items():
                if self._has_room(key, available):
                    room_since[key] = self._room_since.get(key, now)
                    self._record_waits(waiting, room_since[key], now)
        self._room_since = room_since

    def _find_waiting_tasks(self, job: str, accepted_at: float) -> dict[StepKey, dict]:
        """Return since when each waiting task waits, by step; count the running tasks."""
        waiting: dict[StepKey, dict[TaskId, float]] = collections.defaultdict(dict)
        for task in iterate_tasks(job, self._checks.find_spec(job)):
            if not self._checks.find_step(task).long_running:
                continue
            idle_since = self._checks.idle_since(task)
            self._checked_count[job] += 1
            if idle_since is None:
                self._running_count[job] += 1
            else:
                key = (task.job, task.repetition, task.step)
                waiting[key][task] = max(idle_since, accepted_at)
        return waiting

    def _record_waits(self, waiting: dict[TaskId, float], room_since: float, now: float) -> None:
        if now - room_since < _ROOM_SECONDS or now - self._last_fault_at < _FAULT_SECONDS:
            return
        for task, since in waiting.items():
            seconds = now - since
            previous = self.waiting_tasks.get(task)
            if seconds > _ALLOWED_WAIT_SECONDS and (previous is None or previous.seconds < seconds):
                self.waiting_tasks[task] = WaitingTask(task, since, seconds)

    def _has_room(self, key: StepKey, workers: list[WorkerModel]) -> bool:
        job, _, number = key
        step = self._checks.find_spec(job).steps[number]
        slots = 0
        for worker in workers:
            if step.label and step.label not in worker.entry.labels:
                continue
            if self._may_run(job, number, worker.entry.life):
                slots += _count_slots(key, step, worker)
            if slots >= _SPARE_FACTOR:
                return True
        return False


def _count_slots(key: StepKey, step: StepSpec, worker: WorkerModel) -> int:
    """Return the number of further tasks of a step that a worker can take."""
    slots = count_fitting(worker.entry.capacity.minus(worker.used), step.room)
    if slots and step.most_per_worker:
        same = sum((each.job, each.repetition, each.step) == key for each in worker.running)
        slots = min(slots, step.most_per_worker - same)
    return max(0, slots)

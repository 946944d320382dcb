"""Check of invariants, based on the runs at the workers."""

import dataclasses
from collections.abc import Iterable, Iterator

from ..declarations import ZERO, Size
from ..jobs.model import JobSpec, StepSpec, TaskId
from ..jobs.orders import EndKind
from .quota_checks import QuotaChecks

__all__ = ["Checks", "Violation", "tasks_of"]


@dataclasses.dataclass(frozen=True, slots=True)
class Violation:
    """A violation of an invariant."""

    rule: str
    at: float
    task: TaskId
    detail: str


@dataclasses.dataclass(slots=True)
class _History:
    """History of one task."""

    running: dict[str, int] = dataclasses.field(default_factory=dict)
    done_runs: set[int] = dataclasses.field(default_factory=set)
    is_done_noted: bool = False
    restarted_after: set[int] = dataclasses.field(default_factory=set)
    failed_runs: set[int] = dataclasses.field(default_factory=set)
    crashes: int = 0
    starts_after_crashes: int = 0


def tasks_of(job: str, spec: JobSpec, repetition: int = 0) -> Iterator[TaskId]:
    """Yield all tasks of one repetition of a job."""
    for number, step in enumerate(spec.steps):
        for index in range(step.count):
            yield TaskId(job, repetition, number, index)


_MOST_CRASHES = 3
_MOST_STARTS_AFTER = 2
"""Most further starts of a crashing task after `_MAX_CRASHES` crashes."""


class Checks:
    """Checks starts and ends at all workers.

    Attributes
    ----------
    is_undisturbed
        Whether no fault is in effect; if so, a gang member that times out is a violation.
    quotas
        Checker of the teams' quotas.
    violations
        Violations found so far.
    crashing_tasks
        Tasks that crash each worker that starts them.
    """

    def __init__(self, quota_overage: float = 0.0) -> None:
        self._tasks: dict[TaskId, _History] = {}
        self._jobs: dict[str, tuple[JobSpec, int]] = {}
        self._cancelled: dict[str, float] = {}
        self.is_calm = True
        self.quotas = QuotaChecks(quota_overage)
        self.violations: list[Violation] = []
        self.crashing: set[TaskId] = set()

    def submitted(self, job: str, spec: JobSpec, max_attempts: int) -> None:
        """Record a submitted job."""
        self._jobs[job] = (spec, max_attempts)

    def spec_of(self, job: str) -> JobSpec:
        """Return a job as it was submitted."""
        return self._jobs[job][0]

    def is_over(self, job: str) -> bool:
        """Return whether a job was cancelled or one of its tasks has used up its attempts."""
        spec, most = self._jobs[job]
        if job in self._cancelled:
            return True
        return any(len(self._history(task).failed_runs) >= most for task in tasks_of(job, spec))

    def may_be_given_up(self, job: str) -> bool:
        """Return whether a task of a job has crashed two workers, so that the job may fail."""
        return any(self.crashes_under(task) > 1 for task in tasks_of(job, self.spec_of(job)))

    def cancelled(self, job: str, at: float) -> None:
        """Record an acknowledged cancellation."""
        self._cancelled.setdefault(job, at)

    def _broken(self, rule: str, at: float, task: TaskId, detail: str) -> None:
        self.violations.append(Violation(rule, at, task, detail))

    def _history(self, task: TaskId) -> _History:
        return self._tasks.setdefault(task, _History())

    def started(
        self,
        task: TaskId,
        run: int,
        life: str,
        capacity: Size,
        there: Iterable[tuple[TaskId, Size]],
        at: float,
        cancel_s: float,
    ) -> None:
        """Check a start and record it.

        Parameters
        ----------
        task, run, life
            The task, its run and the worker's life.
        capacity
            The worker's capacity.
        occupants
            Tasks that take room at the worker, with their sizes; includes this one.
        at
            Virtual time of the start, in seconds.
        cancel_s
            How long after its job's cancellation a task may still start, in seconds.
        """
        known = self._jobs.get(task.job)
        if known is None:
            self._broken("unasked", at, task, "its job was not submitted")
            return
        spec, max_attempts = known
        step = spec.steps[task.step]
        history = self._history(task)
        self._check_room(task, step, capacity, list(there), life, at)
        others = {other: r for other, r in history.running.items() if other != life}
        if others:
            self._broken("twice", at, task, f"also on {sorted(others)}")
        if history.is_done_noted:
            self._broken("twice", at, task, "its success was acknowledged before")
        # A violation only if a leader acknowledges one of these ends later.
        history.restarted_after |= history.done_runs
        if len(history.failed_runs) >= max_attempts:
            self._broken("budget", at, task, f"failed {len(history.failed_runs)} times")
        if history.crashes >= _MOST_CRASHES and task in self.crashing:
            history.starts_after_crashes += 1
            if history.starts_after_crashes > _MOST_STARTS_AFTER:
                self._broken("crashes", at, task, f"{history.crashes} workers crashed under it")
        for earlier in step.after:
            for index in range(spec.steps[earlier].count):
                if not self.is_done(TaskId(task.job, task.repetition, earlier, index)):
                    self._broken("order", at, task, f"step {earlier} is not done")
                    break
        cancelled_at = self._cancelled.get(task.job)
        if cancelled_at is not None and at > cancelled_at + cancel_s:
            self._broken("cancelled", at, task, f"cancelled at {cancelled_at:.3f}")
        history.running[life] = run
        over = self.quotas.started(task, life, step.size, at)
        if over:
            self._broken("quota", at, task, over)

    def is_done(self, task: TaskId) -> bool:
        """Return whether a task, or another member of its gang, has succeeded."""
        if self._history(task).done_runs:
            return True
        step = self.spec_of(task.job).steps[task.step]
        if not step.gang:
            return False
        return any(
            self._history(TaskId(task.job, task.repetition, task.step, index)).done_runs
            for index in range(step.count)
        )

    def _check_room(
        self,
        task: TaskId,
        step: StepSpec,
        capacity: Size,
        there: list[tuple[TaskId, Size]],
        life: str,
        at: float,
    ) -> None:
        total = ZERO
        for _, size in there:
            total = total.plus(size)
        if not capacity.holds(total):
            self._broken("limit", at, task, f"{total} on {life} of {capacity}")
        if step.most_per_worker:
            same = sum(other.job == task.job and other.step == task.step for other, _ in there)
            if same > step.most_per_worker:
                self._broken("spread", at, task, f"{same} on {life}")

    def ended(self, task: TaskId, run: int, life: str, kind: EndKind, at: float) -> None:
        """Record the end of a run."""
        history = self._history(task)
        history.running.pop(life, None)
        self.quotas.ended(task, life)
        if kind is EndKind.DONE:
            history.done_runs.add(run)
        elif kind is EndKind.GANG_TIMEOUT and task.job not in self._cancelled and self.is_calm:
            self._broken("alone", at, task, f"run {run} waited too long on {life}")

    def crashed(self, tasks: Iterable[TaskId]) -> None:
        """Record a worker's crash for the tasks that ran there."""
        for task in tasks:
            self._history(task).crashes += 1

    def crashes_under(self, task: TaskId) -> int:
        """Return the number of workers that crashed while they ran a task."""
        return self._history(task).crashes

    def noted(self, task: TaskId, run: int, kind: EndKind, lease_held: bool, at: float) -> None:
        """Record a leader's acknowledgement of an end.

        ``lease_held`` is whether the worker's lease has not expired since that end.
        """
        history = self._history(task)
        if kind is EndKind.FAILED:
            history.failed_runs.add(run)
        if kind is not EndKind.DONE or not lease_held:
            return
        history.is_done_noted = True
        if run in history.restarted_after:
            self._broken("twice", at, task, "started after a success acknowledged later")

    def vanished(self, life: str) -> None:
        """Record the end of a worker's life and of all runs there."""
        for history in self._tasks.values():
            history.running.pop(life, None)
        self.quotas.vanished(life)

    def shown(self, job: str, is_completed: bool, at: float) -> None:
        """Check a published status of a job."""
        known = self._jobs.get(job)
        if known is None or not is_completed:
            return
        spec, _ = known
        for repetition in range(max(1, spec.repetitions)):
            for task in tasks_of(job, spec, repetition):
                if not self.is_done(task):
                    self._broken("completed", at, task, "published before it was done")
                    return

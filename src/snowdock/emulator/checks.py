"""What must always hold, checked from what the workers see."""

import dataclasses
from collections.abc import Iterable, Iterator

from ..declarations import ZERO, Size
from ..jobs.model import JobSpec, StepSpec, TaskId
from ..jobs.orders import EndKind
from .quota_checks import QuotaChecks

__all__ = ["Checks", "Violation", "tasks_of"]


@dataclasses.dataclass(frozen=True, slots=True)
class Violation:
    """A promise that did not hold."""

    rule: str
    at: float
    task: TaskId
    detail: str


@dataclasses.dataclass(slots=True)
class _History:
    """What happened to one task."""

    running: dict[str, int] = dataclasses.field(default_factory=dict)
    done_runs: set[int] = dataclasses.field(default_factory=set)
    is_done_noted: bool = False
    restarted_after: set[int] = dataclasses.field(default_factory=set)
    failed_runs: set[int] = dataclasses.field(default_factory=set)
    crashes: int = 0
    starts_after_crashes: int = 0


def tasks_of(job: str, spec: JobSpec, repetition: int = 0) -> Iterator[TaskId]:
    """Give all tasks of one time of a job."""
    for number, step in enumerate(spec.steps):
        for index in range(step.count):
            yield TaskId(job, repetition, number, index)


_MOST_CRASHES = 3
_MOST_STARTS_AFTER = 2
"""After so many crashes under a task that ends its workers, so many more starts of it."""


class Checks:
    """Watches starts and ends at all workers.

    Attributes
    ----------
    is_calm
        Whether nothing is disturbed; only then no member of a gang may wait in vain.
    quotas
        What teams have running.
    violations
        What did not hold so far.
    crashing
        Tasks that end each worker that starts them.
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
        """Note a job that some caller submitted."""
        self._jobs[job] = (spec, max_attempts)

    def spec_of(self, job: str) -> JobSpec:
        """Give what was submitted."""
        return self._jobs[job][0]

    def is_over(self, job: str) -> bool:
        """Whether a job was cancelled, or one of its tasks has failed as often as it may."""
        spec, most = self._jobs[job]
        if job in self._cancelled:
            return True
        return any(len(self._history(task).failed_runs) >= most for task in tasks_of(job, spec))

    def may_be_given_up(self, job: str) -> bool:
        """Whether two workers, as users allow, have crashed under a task of a job."""
        return any(self.crashes_under(task) > 1 for task in tasks_of(job, self.spec_of(job)))

    def cancelled(self, job: str, at: float) -> None:
        """Note a cancelling that was acknowledged."""
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
        """Check a start; ``there`` is all that takes room at the worker, the start included."""
        known = self._jobs.get(task.job)
        if known is None:
            self._broken("unasked", at, task, "nobody submitted it")
            return
        spec, max_attempts = known
        step = spec.steps[task.step]
        history = self._history(task)
        self._check_room(task, step, capacity, list(there), life, at)
        others = {other: r for other, r in history.running.items() if other != life}
        if others:
            self._broken("twice", at, task, f"also on {sorted(others)}")
        if history.is_done_noted:
            self._broken("twice", at, task, "its good end had been taken note of")
        # Forbidden only if a leader gets to know of these ends after all.
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
        """Whether a task, or another member of its gang, has ended well."""
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
        """Note an end."""
        history = self._history(task)
        history.running.pop(life, None)
        self.quotas.ended(task, life)
        if kind is EndKind.DONE:
            history.done_runs.add(run)
        elif kind is EndKind.GANG_TIMEOUT and task.job not in self._cancelled and self.is_calm:
            self._broken("alone", at, task, f"run {run} waited too long on {life}")

    def crashed(self, tasks: Iterable[TaskId]) -> None:
        """Note that a worker crashed on which tasks ran."""
        for task in tasks:
            self._history(task).crashes += 1

    def crashes_under(self, task: TaskId) -> int:
        """Give how many workers crashed while they ran a task."""
        return self._history(task).crashes

    def noted(self, task: TaskId, run: int, kind: EndKind, lease_held: bool, at: float) -> None:
        """Note that a worker may forget an end; ``lease_held`` since that end."""
        history = self._history(task)
        if kind is EndKind.FAILED:
            history.failed_runs.add(run)
        if kind is not EndKind.DONE or not lease_held:
            return
        history.is_done_noted = True
        if run in history.restarted_after:
            self._broken("twice", at, task, "started after a good end that was noted later")

    def vanished(self, life: str) -> None:
        """Note that a worker's life is over with all that ran there."""
        for history in self._tasks.values():
            history.running.pop(life, None)
        self.quotas.vanished(life)

    def shown(self, job: str, is_completed: bool, at: float) -> None:
        """Check a status that callers are shown."""
        known = self._jobs.get(job)
        if known is None or not is_completed:
            return
        spec, _ = known
        for repetition in range(max(1, spec.repetitions)):
            for task in tasks_of(job, spec, repetition):
                if not self.is_done(task):
                    self._broken("completed", at, task, "shown before it was done")
                    return

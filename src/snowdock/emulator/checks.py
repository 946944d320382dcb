"""What must always hold, checked from what the workers see."""

import dataclasses
from collections.abc import Iterable, Iterator

from ..declarations import ZERO_SIZE, Size
from ..jobs.model import JobSpec, StepSpec, TaskId
from ..jobs.orders import EndKind
from .quota_checks import QuotaChecker

__all__ = ["InvariantChecker", "Violation", "iterate_tasks"]


@dataclasses.dataclass(frozen=True, slots=True)
class Violation:
    """A promise that did not hold."""

    rule: str
    at: float
    task: TaskId
    detail: str


@dataclasses.dataclass(slots=True)
class _TaskHistory:
    """What happened to one task."""

    running: dict[str, int] = dataclasses.field(default_factory=dict)
    done_runs: set[int] = dataclasses.field(default_factory=set)
    is_success_acknowledged: bool = False
    done_runs_before_restart: set[int] = dataclasses.field(default_factory=set)
    failed_runs: set[int] = dataclasses.field(default_factory=set)
    crashes: int = 0
    starts_after_crashes: int = 0


def iterate_tasks(job: str, spec: JobSpec, repetition: int = 0) -> Iterator[TaskId]:
    """Give all tasks of one time of a job."""
    for number, step in enumerate(spec.steps):
        for index in range(step.count):
            yield TaskId(job, repetition, number, index)


_MAX_CRASHES = 3
_MAX_STARTS_AFTER_CRASHES = 2
"""After so many crashes under a task that ends its workers, so many more starts of it."""


class InvariantChecker:
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
        self._tasks: dict[TaskId, _TaskHistory] = {}
        self._jobs: dict[str, tuple[JobSpec, int]] = {}
        self._cancelled: dict[str, float] = {}
        self.is_undisturbed = True
        self.quotas = QuotaChecker(quota_overage)
        self.violations: list[Violation] = []
        self.crashing_tasks: set[TaskId] = set()

    def record_submission(self, job: str, spec: JobSpec, max_attempts: int) -> None:
        """Note a job that some caller submitted."""
        self._jobs[job] = (spec, max_attempts)

    def find_spec(self, job: str) -> JobSpec:
        """Give what was submitted."""
        return self._jobs[job][0]

    def has_ended(self, job: str) -> bool:
        """Whether a job was cancelled, or one of its tasks has failed as often as it may."""
        spec, max_attempts = self._jobs[job]
        if job in self._cancelled:
            return True
        return any(
            len(self._history(task).failed_runs) >= max_attempts
            for task in iterate_tasks(job, spec)
        )

    def may_fail_after_crashes(self, job: str) -> bool:
        """Whether two workers, as users allow, have crashed under a task of a job."""
        return any(self.count_crashes(task) > 1 for task in iterate_tasks(job, self.find_spec(job)))

    def record_cancellation(self, job: str, at: float) -> None:
        """Note a cancelling that was acknowledged."""
        self._cancelled.setdefault(job, at)

    def _add_violation(self, rule: str, at: float, task: TaskId, detail: str) -> None:
        self.violations.append(Violation(rule, at, task, detail))

    def _history(self, task: TaskId) -> _TaskHistory:
        return self._tasks.setdefault(task, _TaskHistory())

    def check_start(
        self,
        task: TaskId,
        run: int,
        life: str,
        capacity: Size,
        occupants: Iterable[tuple[TaskId, Size]],
        at: float,
        cancel_s: float,
    ) -> None:
        """Check a start; ``there`` is all that takes room at the worker, the start included."""
        known = self._jobs.get(task.job)
        if known is None:
            self._add_violation("unasked", at, task, "nobody submitted it")
            return
        spec, max_attempts = known
        step = spec.steps[task.step]
        history = self._history(task)
        self._check_room(task, step, capacity, list(occupants), life, at)
        others = {other: r for other, r in history.running.items() if other != life}
        if others:
            self._add_violation("twice", at, task, f"also on {sorted(others)}")
        if history.is_success_acknowledged:
            self._add_violation("twice", at, task, "its good end had been taken note of")
        # Forbidden only if a leader gets to know of these ends after all.
        history.done_runs_before_restart |= history.done_runs
        if len(history.failed_runs) >= max_attempts:
            self._add_violation("budget", at, task, f"failed {len(history.failed_runs)} times")
        if history.crashes >= _MAX_CRASHES and task in self.crashing_tasks:
            history.starts_after_crashes += 1
            if history.starts_after_crashes > _MAX_STARTS_AFTER_CRASHES:
                self._add_violation(
                    "crashes", at, task, f"{history.crashes} workers crashed under it"
                )
        for earlier in step.after:
            for index in range(spec.steps[earlier].count):
                if not self.is_done(TaskId(task.job, task.repetition, earlier, index)):
                    self._add_violation("order", at, task, f"step {earlier} is not done")
                    break
        cancelled_at = self._cancelled.get(task.job)
        if cancelled_at is not None and at > cancelled_at + cancel_s:
            self._add_violation("cancelled", at, task, f"cancelled at {cancelled_at:.3f}")
        history.running[life] = run
        quota_violation = self.quotas.check_start(task, life, step.size, at)
        if quota_violation:
            self._add_violation("quota", at, task, quota_violation)

    def is_done(self, task: TaskId) -> bool:
        """Whether a task, or another member of its gang, has ended well."""
        if self._history(task).done_runs:
            return True
        step = self.find_spec(task.job).steps[task.step]
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
        occupants: list[tuple[TaskId, Size]],
        life: str,
        at: float,
    ) -> None:
        total = ZERO_SIZE
        for _, size in occupants:
            total = total.plus(size)
        if not capacity.holds(total):
            self._add_violation("limit", at, task, f"{total} on {life} of {capacity}")
        if step.most_per_worker:
            same = sum(other.job == task.job and other.step == task.step for other, _ in occupants)
            if same > step.most_per_worker:
                self._add_violation("spread", at, task, f"{same} on {life}")

    def record_end(self, task: TaskId, run: int, life: str, kind: EndKind, at: float) -> None:
        """Note an end."""
        history = self._history(task)
        history.running.pop(life, None)
        self.quotas.record_end(task, life)
        if kind is EndKind.DONE:
            history.done_runs.add(run)
        elif (
            kind is EndKind.GANG_TIMEOUT and task.job not in self._cancelled and self.is_undisturbed
        ):
            self._add_violation("alone", at, task, f"run {run} waited too long on {life}")

    def record_crash(self, tasks: Iterable[TaskId]) -> None:
        """Note that a worker crashed on which tasks ran."""
        for task in tasks:
            self._history(task).crashes += 1

    def count_crashes(self, task: TaskId) -> int:
        """Give how many workers crashed while they ran a task."""
        return self._history(task).crashes

    def acknowledge_end(
        self, task: TaskId, run: int, kind: EndKind, lease_held: bool, at: float
    ) -> None:
        """Note that a worker may forget an end; ``lease_held`` since that end."""
        history = self._history(task)
        if kind is EndKind.FAILED:
            history.failed_runs.add(run)
        if kind is not EndKind.DONE or not lease_held:
            return
        history.is_success_acknowledged = True
        if run in history.done_runs_before_restart:
            self._add_violation("twice", at, task, "started after a good end that was noted later")

    def record_life_end(self, life: str) -> None:
        """Note that a worker's life is over with all that ran there."""
        for history in self._tasks.values():
            history.running.pop(life, None)
        self.quotas.record_life_end(life)

    def check_status(self, job: str, is_completed: bool, at: float) -> None:
        """Check a status that callers are shown."""
        known = self._jobs.get(job)
        if known is None or not is_completed:
            return
        spec, _ = known
        for repetition in range(max(1, spec.repetitions)):
            for task in iterate_tasks(job, spec, repetition):
                if not self.is_done(task):
                    self._add_violation("completed", at, task, "shown before it was done")
                    return

"""Check of invariants, based on the runs at the workers."""

import dataclasses
from collections.abc import Iterable, Iterator

from ..declarations import ZERO_SIZE, Size
from ..jobs.model import JobSpec, JobStatus, StepSpec, TaskId
from ..jobs.orders import EndKind
from .quota_checks import QuotaChecker

__all__ = ["InvariantChecker", "Violation", "iterate_tasks"]


@dataclasses.dataclass(frozen=True, slots=True)
class Violation:
    """A violation of an invariant."""

    rule: str
    at: float
    task: TaskId
    detail: str


@dataclasses.dataclass(slots=True)
class _TaskHistory:
    """History of one task."""

    running: dict[str, int] = dataclasses.field(default_factory=dict)
    done_runs: set[int] = dataclasses.field(default_factory=set)
    is_success_acknowledged: bool = False
    done_runs_before_restart: set[int] = dataclasses.field(default_factory=set)
    failed_runs: set[int] = dataclasses.field(default_factory=set)
    failed_ends: set[int] = dataclasses.field(default_factory=set)
    crashes: int = 0
    starts_after_crashes: int = 0
    idle_since: float = 0.0


def iterate_tasks(job: str, spec: JobSpec, repetition: int = 0) -> Iterator[TaskId]:
    """Yield all tasks of one repetition of a job."""
    for number, step in enumerate(spec.steps):
        for index in range(step.count):
            yield TaskId(job, repetition, number, index)


_MAX_CRASHES = 3
_MAX_STARTS_AFTER_CRASHES = 2
"""Most further starts of a crashing task after `_MAX_CRASHES` crashes."""


class InvariantChecker:
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
        self._tasks: dict[TaskId, _TaskHistory] = {}
        self._job_histories: dict[str, list[_TaskHistory]] = {}
        self._jobs: dict[str, tuple[JobSpec, int]] = {}
        self._cancelled: dict[str, float] = {}
        self.is_undisturbed = True
        self.quotas = QuotaChecker(quota_overage)
        self.violations: list[Violation] = []
        self.crashing_tasks: set[TaskId] = set()

    def record_submission(self, job: str, spec: JobSpec, max_attempts: int) -> None:
        """Record a submitted job."""
        self._jobs[job] = (spec, max_attempts)

    def find_spec(self, job: str) -> JobSpec:
        """Return a job as it was submitted."""
        return self._jobs[job][0]

    def find_step(self, task: TaskId) -> StepSpec:
        """Return the step of a task as it was submitted."""
        return self.find_spec(task.job).steps[task.step]

    def _is_long_running(self, task: TaskId) -> bool:
        return task.job in self._jobs and self.find_step(task).long_running

    def idle_since(self, task: TaskId) -> float | None:
        """Return when the last run of a task ended, 0 if it had none; None while it runs."""
        history = self._history(task)
        return None if history.running else history.idle_since

    def has_ended(self, job: str) -> bool:
        """Return whether a job was cancelled or one of its tasks has used up its attempts."""
        _, max_attempts = self._jobs[job]
        if job in self._cancelled:
            return True
        return any(
            len(history.failed_runs) >= max_attempts for history in self._job_histories.get(job, ())
        )

    def may_fail_after_crashes(self, job: str) -> bool:
        """Return whether a task of a job has crashed two workers, so that the job may fail."""
        return any(history.crashes > 1 for history in self._job_histories.get(job, ()))

    def record_cancellation(self, job: str, at: float) -> None:
        """Record an acknowledged cancellation."""
        self._cancelled.setdefault(job, at)

    def _add_violation(self, rule: str, at: float, task: TaskId, detail: str) -> None:
        self.violations.append(Violation(rule, at, task, detail))

    def _history(self, task: TaskId) -> _TaskHistory:
        history = self._tasks.get(task)
        if history is None:
            history = self._tasks[task] = _TaskHistory()
            self._job_histories.setdefault(task.job, []).append(history)
        return history

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
        submitted_job = self._jobs.get(task.job)
        if submitted_job is None:
            self._add_violation("unasked", at, task, "its job was not submitted")
            return
        spec, max_attempts = submitted_job
        step = spec.steps[task.step]
        history = self._history(task)
        self._check_room(task, step, capacity, list(occupants), life, at)
        if history.running:
            self._add_violation("twice", at, task, f"also on {sorted(history.running)}")
        if self._is_success_acknowledged(task):
            self._add_violation("twice", at, task, "its success was acknowledged before")
        # A violation only if a leader acknowledges one of these ends later.
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
        """Return whether a task, or another member of its gang, has succeeded."""
        return any(each.done_runs for each in self._member_histories(task))

    def _is_success_acknowledged(self, task: TaskId) -> bool:
        return any(each.is_success_acknowledged for each in self._member_histories(task))

    def _member_histories(self, task: TaskId) -> Iterator[_TaskHistory]:
        """Yield the history of a task and, in a gang, those of the other members."""
        step = self.find_step(task)
        if not step.gang:
            yield self._history(task)
            return
        for index in range(step.count):
            yield self._history(TaskId(task.job, task.repetition, task.step, index))

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
        """Record the end of a run."""
        history = self._history(task)
        history.running.pop(life, None)
        history.idle_since = at
        self.quotas.record_end(task, life)
        if kind is EndKind.DONE:
            history.done_runs.add(run)
        elif kind is EndKind.FAILED:
            history.failed_ends.add(run)
        elif (
            kind is EndKind.GANG_TIMEOUT and task.job not in self._cancelled and self.is_undisturbed
        ):
            self._add_violation("alone", at, task, f"run {run} waited too long on {life}")

    def record_crash(self, tasks: Iterable[TaskId], at: float) -> None:
        """Record a worker's crash for the tasks that ran there."""
        for task in tasks:
            history = self._history(task)
            history.crashes += 1
            history.idle_since = at

    def count_crashes(self, task: TaskId) -> int:
        """Return the number of workers that crashed while they ran a task."""
        return self._history(task).crashes

    def acknowledge_end(
        self, task: TaskId, run: int, kind: EndKind, lease_held: bool, at: float
    ) -> None:
        """Record a leader's acknowledgement of an end.

        ``lease_held`` is whether the worker's lease has not expired since that end.
        """
        history = self._history(task)
        if kind is EndKind.FAILED and not self._is_long_running(task):
            history.failed_runs.add(run)
        if kind is not EndKind.DONE or not lease_held:
            return
        history.is_success_acknowledged = True
        if run in history.done_runs_before_restart:
            self._add_violation("twice", at, task, "started after a success acknowledged later")

    def record_life_end(self, life: str) -> None:
        """Record the end of a worker's life and of all runs there."""
        for history in self._tasks.values():
            history.running.pop(life, None)
        self.quotas.record_life_end(life)

    def may_fail(self, job: str) -> bool:
        """Return whether a job may be shown as failed.

        Either the runs of a task, or of a gang, have ended as failed as often as is permitted, or
        two workers have crashed under a task. Nothing else counts, such as runs that were stopped,
        or lost with a worker that was partitioned or shut down as planned.
        """
        spec, max_attempts = self._jobs[job]
        for repetition in range(max(1, spec.repetitions)):
            for number, step in enumerate(spec.steps):
                tasks = [TaskId(job, repetition, number, index) for index in range(step.count)]
                ends = [self._history(task).failed_ends for task in tasks]
                counted = [set().union(*ends)] if step.gang else ends
                if not step.long_running and max(map(len, counted)) >= max_attempts:
                    return True
                if any(self.count_crashes(task) > 1 for task in tasks):
                    return True
        return False

    def check_status(self, job: str, status: JobStatus, at: float) -> None:
        """Check a published status of a job."""
        submitted_job = self._jobs.get(job)
        if submitted_job is None:
            return
        spec, _ = submitted_job
        if status is JobStatus.FAILED and not self.may_fail(job):
            self._add_violation("failed", at, TaskId(job, 0, 0, 0), "published without cause")
        if status is not JobStatus.COMPLETED:
            return
        for repetition in range(max(1, spec.repetitions)):
            for task in iterate_tasks(job, spec, repetition):
                if not self.is_done(task):
                    self._add_violation("completed", at, task, "published before it was done")
                    return

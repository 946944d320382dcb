"""Checks of long-running jobs after the faults of a soak have been cleared."""

import math
import random
import threading
import time
from collections.abc import Callable, Sequence

from snowdock.emulator.checks import iterate_tasks
from snowdock.emulator.worker_model import RunPlan
from snowdock.jobs.model import TaskId
from tests.soak_callers import Submission
from tests.soak_threads import CheckedThread
from tests.standins.entry_cluster import EntryCluster

_FAILING_RUN_SHARE = 0.3
_MAX_FAILING_RUN_SECONDS = 6.0

_MAX_IDLE_SECONDS = 6.0
"""The longest from a task's last run to its next one beside room for it twice over."""

_UNDISTURBED_SECONDS = 7.0
"""How long nothing must have been disturbed for that bound to apply."""

_STATE_CHECK_SECONDS = 2.0
"""How long a task has been idle before its job's state is looked up."""

_SAMPLE_SECONDS = 0.1
_CHANGES_SAMPLE_SECONDS = 0.5


def plan_failing_runs(seed: int) -> Callable[[], RunPlan]:
    """Return a plan by which some long-running runs fail after a random time."""
    source = random.Random(seed)

    def plan() -> RunPlan:
        if source.random() < _FAILING_RUN_SHARE:
            return RunPlan(source.uniform(0.2, _MAX_FAILING_RUN_SECONDS), fails=True)
        return RunPlan(math.inf)

    return plan


class LongRunningWatch(CheckedThread):
    """Watches the tasks of long-running jobs from the moment when all faults are cleared.

    Each change of leader and each crash of a worker counts as a disturbance, as do calls of
    `mark_disturbed`; tasks that crash their workers may go on to do so after the faults.

    Parameters
    ----------
    jobs
        Accepted long-running jobs that nobody cancelled.

    Attributes
    ----------
    violations
        Tasks that stood for too long, each with its longest time.
    """

    def __init__(self, cluster: EntryCluster, jobs: Sequence[str]) -> None:
        super().__init__()
        self.violations: dict[TaskId, str] = {}
        self._cluster = cluster
        self._stopped = threading.Event()
        self._cleared_at = self._disturbed_at = time.monotonic()
        self._changes = self._count_changes()
        self._changes_sampled_at = 0.0
        tasks = [task for job in jobs for task in list_tasks(cluster, job)]
        self._idle_since = dict.fromkeys(tasks, self._disturbed_at)
        self._longest_idle = dict.fromkeys(tasks, 0.0)

    @property
    def undisturbed_s(self) -> float:
        """Seconds since the last disturbance, or else since the faults were cleared."""
        return time.monotonic() - self._disturbed_at

    @property
    def report(self) -> str:
        """What was measured."""
        longest_s = max(self._longest_idle.values(), default=0.0)
        disturbed_s = self._disturbed_at - self._cleared_at
        return (
            f"last disturbed {disturbed_s:.1f} s after the faults, {len(self._longest_idle)} "
            f"long-running tasks, longest idle beside room {longest_s:.1f} s"
        )

    def work(self) -> None:
        while not self._stopped.wait(_SAMPLE_SECONDS):
            self._sample_changes()
            for task in list(self._longest_idle):
                if task in self._longest_idle:
                    self._sample(task)

    def stop(self) -> None:
        """Stop watching."""
        self._stopped.set()
        self.join()

    def mark_disturbed(self) -> None:
        """Note a disturbance at this moment."""
        self._disturbed_at = time.monotonic()

    def _count_changes(self) -> tuple[int, int]:
        """Return the numbers of leaderships and of crashed workers so far."""
        leaderships = sum(len(node.log_lines("leading")) for node in self._cluster.nodes)
        models = list(self._cluster.workers.models.values())
        return leaderships, sum(not model.is_up for model in models)

    def _sample_changes(self) -> None:
        now = time.monotonic()
        if now - self._changes_sampled_at < _CHANGES_SAMPLE_SECONDS:
            return
        self._changes_sampled_at = now
        changes = self._count_changes()
        if changes != self._changes:
            self._changes = changes
            self.mark_disturbed()

    def _sample(self, task: TaskId) -> None:
        workers = self._cluster.workers
        now = time.monotonic()
        if workers.find_workers_running(task) or not workers.has_spare_room(task):
            self._idle_since[task] = now
            return
        idle_s = now - self._idle_since[task]
        if idle_s > _STATE_CHECK_SECONDS and self._has_failed(task.job):
            self._forget(task.job)
            return
        self._longest_idle[task] = max(self._longest_idle[task], idle_s)
        if idle_s > _MAX_IDLE_SECONDS and self.undisturbed_s > _UNDISTURBED_SECONDS:
            self.violations[task] = (
                f"{task} did not run for {idle_s:.1f} s beside room for it twice over, "
                f"{self.undisturbed_s:.1f} s after the last disturbance"
            )

    def _has_failed(self, job: str) -> bool:
        if not self._cluster.workers.checks.may_fail_after_crashes(job):
            return False
        return any(
            self._cluster.state(node, f"/jobs/{job}") == "failed" for node in self._cluster.nodes
        )

    def _forget(self, job: str) -> None:
        """Stop watching a job that was given up after crashes."""
        for task in [each for each in self._longest_idle if each.job == job]:
            del self._longest_idle[task]


def list_tasks(cluster: EntryCluster, job: str) -> list[TaskId]:
    """Return a job's tasks."""
    return list(iterate_tasks(job, cluster.workers.checks.find_spec(job)))


def find_misplaced_tasks(cluster: EntryCluster, submissions: Sequence[Submission]) -> list[str]:
    """Return the tasks that run on other than the number of workers that their job's state asks."""
    problems = []
    for submission in submissions:
        states = {cluster.state(node, submission.path) for node in cluster.nodes}
        wanted = _count_wanted_runs(cluster, submission, states)
        if wanted is None:
            problems.append(f"{submission.job} is shown as {sorted(states)}")
            continue
        for task in list_tasks(cluster, submission.job):
            lives = cluster.workers.find_workers_running(task)
            if len(lives) != wanted:
                problems.append(f"{task} runs on {lives}, shown as {sorted(states)}")
    return problems


def _count_wanted_runs(
    cluster: EntryCluster, submission: Submission, states: set[str]
) -> int | None:
    """Return on how many workers each task must run, or None if the job's states are wrong."""
    if states == {"running"} and not submission.cancelled:
        return 1
    if states == {"cancelled"} and submission.may_be_cancelled:
        return 0
    if states == {"failed"} and cluster.workers.checks.may_fail_after_crashes(submission.job):
        return 0
    return None

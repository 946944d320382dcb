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
from tests.standins.entry_cluster import EntryCluster

_FAILING_RUN_SHARE = 0.3
_MAX_FAILING_RUN_SECONDS = 6.0

_MAX_IDLE_SECONDS = 6.0
"""The longest from a task's last run to its next one beside room for it twice over."""

_UNDISTURBED_SECONDS = 7.0
"""How long nothing must have been disturbed for that bound to apply."""

_SAMPLE_SECONDS = 0.1
_LEADER_SAMPLE_SECONDS = 0.5


def plan_failing_runs(seed: int) -> Callable[[], RunPlan]:
    """Return a plan by which some long-running runs fail after a random time."""
    source = random.Random(seed)

    def plan() -> RunPlan:
        if source.random() < _FAILING_RUN_SHARE:
            return RunPlan(source.uniform(0.2, _MAX_FAILING_RUN_SECONDS), fails=True)
        return RunPlan(math.inf)

    return plan


class LongRunningWatch(threading.Thread):
    """Watches the tasks of long-running jobs from the moment when all faults are cleared.

    Each change of leader counts as a disturbance.

    Parameters
    ----------
    jobs
        Accepted long-running jobs that nobody cancelled.

    Attributes
    ----------
    longest_idle
        The longest time that any task did not run beside room, in seconds.
    """

    def __init__(self, cluster: EntryCluster, jobs: Sequence[str]) -> None:
        super().__init__(daemon=True)
        self.longest_idle = 0.0
        self._cluster = cluster
        self._tasks = [task for job in jobs for task in list_tasks(cluster, job)]
        self._stopped = threading.Event()
        self._disturbed_at = time.monotonic()
        self._leaderships = self._count_leaderships()
        self._leader_sampled_at = 0.0
        self._idle_since = dict.fromkeys(self._tasks, self._disturbed_at)
        self._violations: dict[TaskId, str] = {}

    @property
    def undisturbed_s(self) -> float:
        """Seconds since the faults were cleared or a leader began."""
        return time.monotonic() - self._disturbed_at

    @property
    def violations(self) -> list[str]:
        """One violation for each task that stood for too long, with its longest time."""
        return list(self._violations.values())

    def run(self) -> None:
        while not self._stopped.wait(_SAMPLE_SECONDS):
            self._sample_leader()
            for task in self._tasks:
                self._sample(task)

    def stop(self) -> None:
        """Stop watching."""
        self._stopped.set()
        self.join()

    def _count_leaderships(self) -> int:
        return sum(len(node.log_lines("leading")) for node in self._cluster.nodes)

    def _sample_leader(self) -> None:
        now = time.monotonic()
        if now - self._leader_sampled_at < _LEADER_SAMPLE_SECONDS:
            return
        self._leader_sampled_at = now
        count = self._count_leaderships()
        if count != self._leaderships:
            self._leaderships = count
            self._disturbed_at = time.monotonic()

    def _sample(self, task: TaskId) -> None:
        workers = self._cluster.workers
        now = time.monotonic()
        if workers.find_workers_running(task) or not workers.has_spare_room(task):
            self._idle_since[task] = now
            return
        idle_s = now - self._idle_since[task]
        self.longest_idle = max(self.longest_idle, idle_s)
        is_late = idle_s > _MAX_IDLE_SECONDS and self.undisturbed_s > _UNDISTURBED_SECONDS
        if is_late and not workers.checks.may_fail_after_crashes(task.job):
            self._violations[task] = (
                f"{task} did not run for {idle_s:.1f} s beside room for it twice over, "
                f"{self.undisturbed_s:.1f} s after the last disturbance"
            )


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

"""Callers of the soak test: they submit jobs, cancel some, and ask for the states of others."""

import dataclasses
import math
import random
import threading
import time
from collections import Counter
from collections.abc import Callable, Sequence

import urllib3

from tests.soak_faults import (
    EXTENDED_FAULTS_FROM_SEED,
    FAILURES_FROM_SEED,
    LONG_RUNNING_FROM_SEED,
)
from tests.soak_threads import CheckedThread
from tests.standins.entry_cluster import EntryCluster, EntryProcess

CALL_SECONDS = 3.0
UNKNOWN_AFTER_ACCEPTANCE_SECONDS = 3.0
"""How long a job may be unknown after its acceptance."""

_SUBMIT_SECONDS = 0.3
_LOOKUP_SECONDS = 0.05
_STEP_BODY = {"count": 2, "cpu": 500, "mem_mb": 100, "estimate_ms": 200}
_LONG_RUNNING_STEP = {"cpu": 200, "mem_mb": 100, "long_running": True}
_CRASHING_SHARE = 0.04
_FAILING_SHARE = 0.25
_LONG_RUNNING_SHARE = 0.25
_CANCELLED_SHARE = 0.3
_MAX_LONG_RUNNING_JOBS = 3
"""The most long-running jobs of one caller; their tasks take a quarter of four workers."""


@dataclasses.dataclass(slots=True)
class Submission:
    """One submitted job and the responses to its caller.

    Attributes
    ----------
    accepted
        Whether a response confirmed the submission.
    accepted_at
        Steady time of that response.
    may_have_run
        Whether a failed submission may have been accepted all the same.
    expected_state
        The state in which the job should end.
    cancel_at
        Steady time from which its caller cancels it.
    may_be_cancelled
        Whether its cancellation was requested.
    cancelled
        Whether a response confirmed the cancellation.
    """

    path: str
    body: dict
    accepted: bool = False
    accepted_at: float = 0.0
    may_have_run: bool = False
    expected_state: str = "completed"
    cancel_at: float = math.inf
    may_be_cancelled: bool = False
    cancelled: bool = False

    @property
    def job(self) -> str:
        """The job's id."""
        return self.path.rpartition("/")[2]

    @property
    def is_long_running(self) -> bool:
        """Whether the job's tasks last until they are stopped."""
        return any(step.get("long_running") for step in self.body["steps"])


class Connections:
    """Connections of one caller to all nodes; each stays open until its node's process ends."""

    def __init__(self) -> None:
        self._pools: dict[str, urllib3.HTTPConnectionPool] = {}

    def request(
        self, node: EntryProcess, method: str, path: str, **arguments: object
    ) -> urllib3.BaseHTTPResponse:
        """Send a request.

        Raises
        ------
        urllib3.exceptions.HTTPError
            If no response arrives in time.
        """
        pool = self._pools.setdefault(
            node.node,
            urllib3.HTTPConnectionPool(
                node.ip, node.front, retries=False, timeout=CALL_SECONDS, maxsize=1
            ),
        )
        return pool.request(method, path, headers={"Host": "jobs.example"}, **arguments)

    def try_status(self, node: EntryProcess, path: str) -> int:
        """Ask for a job's state once; return the HTTP status, or 0 without a response."""
        try:
            return self.request(node, "GET", path).status
        except urllib3.exceptions.HTTPError:
            return 0


class Caller(CheckedThread):
    """Submits jobs over persistent connections and retries failed submissions."""

    def __init__(
        self, cluster: EntryCluster, seed: int, number: int, finished: threading.Event
    ) -> None:
        super().__init__()
        self.submissions: list[Submission] = []
        self._cluster = cluster
        self._seed = seed
        self._finished = finished
        self._source = random.Random(seed * 100 + number)
        self._connections = Connections()

    def work(self) -> None:
        while not self._finished.wait(_SUBMIT_SECONDS * self._source.uniform(0.5, 1.5)):
            submission = self._make_submission()
            self.submissions.append(submission)
            for _ in range(3):
                if not self._submit(submission):
                    break
            self._cancel_due_jobs()

    def _make_submission(self) -> Submission:
        if self._seed >= LONG_RUNNING_FROM_SEED and self._wants_long_running():
            return self._make_long_running()
        steps = [_STEP_BODY]
        if self._source.random() < 0.3:
            steps = [{**_STEP_BODY, "gang": True, "count": 3}, {**_STEP_BODY, "after": [0]}]
        submission = Submission(*self._cluster.make_job(steps))
        workers = self._cluster.workers
        if self._seed >= EXTENDED_FAULTS_FROM_SEED and self._source.random() < _CRASHING_SHARE:
            workers.mark_crashing(submission.job)
            submission.expected_state = "failed"
        elif self._seed >= FAILURES_FROM_SEED and self._source.random() < _FAILING_SHARE:
            workers.failing_jobs.add(submission.job)
            submission.expected_state = "failed"
        return submission

    def _wants_long_running(self) -> bool:
        count = sum(submission.is_long_running for submission in self.submissions)
        is_drawn = self._source.random() < _LONG_RUNNING_SHARE
        return count == 0 or (is_drawn and count < _MAX_LONG_RUNNING_JOBS)

    def _make_long_running(self) -> Submission:
        step = {**_LONG_RUNNING_STEP, "count": self._source.randint(2, 4)}
        if self._source.random() < 0.5:
            step |= {"count": 2, "anti_affinity": 1}
        submission = Submission(*self._cluster.make_job([step]), expected_state="running")
        if self._source.random() < _CANCELLED_SHARE:
            submission.cancel_at = time.monotonic() + self._source.uniform(0.5, 5.0)
        return submission

    def _submit(self, submission: Submission) -> bool:
        """Submit a job once; return whether to retry."""
        node = self._source.choice(self._cluster.nodes)
        try:
            reply = self._connections.request(node, "POST", submission.path, json=submission.body)
        except urllib3.exceptions.NewConnectionError:
            return True
        except urllib3.exceptions.HTTPError:
            submission.may_have_run = True
            return True
        if reply.status == 200:
            submission.accepted_at = time.monotonic()
            submission.accepted = True
            return False
        submission.may_have_run = submission.may_have_run or reply.status not in (429, 503)
        return True

    def _cancel_due_jobs(self) -> None:
        now = time.monotonic()
        for submission in self.submissions:
            if submission.accepted and not submission.cancelled and now >= submission.cancel_at:
                self._cancel(submission)

    def _cancel(self, submission: Submission) -> None:
        node = self._source.choice(self._cluster.nodes)
        submission.may_be_cancelled = True
        try:
            reply = self._connections.request(node, "DELETE", submission.path)
        except urllib3.exceptions.HTTPError:
            return
        submission.cancelled = reply.status == 200


class LookupCaller(CheckedThread):
    """Asks for the states of accepted jobs over persistent connections.

    Attributes
    ----------
    statuses
        Number of lookups by the HTTP status of their responses; 0 for none.
    violations
        Responses that a promise rules out.
    """

    def __init__(
        self,
        cluster: EntryCluster,
        number: int,
        submissions: Callable[[], Sequence[Submission]],
        finished: threading.Event,
    ) -> None:
        super().__init__()
        self.statuses: Counter[int] = Counter()
        self.violations: list[str] = []
        self._cluster = cluster
        self._submissions = submissions
        self._finished = finished
        self._source = random.Random(number)
        self._connections = Connections()

    def work(self) -> None:
        while not self._finished.wait(_LOOKUP_SECONDS):
            accepted = [each for each in self._submissions() if each.accepted]
            if accepted:
                self._look_up(self._source.choice(accepted))

    def _look_up(self, submission: Submission) -> None:
        node = self._source.choice(self._cluster.nodes)
        age_s = time.monotonic() - submission.accepted_at
        try:
            reply = self._connections.request(node, "GET", submission.path)
        except urllib3.exceptions.HTTPError:
            self.statuses[0] += 1
            return
        self.statuses[reply.status] += 1
        may_be_gone = submission.may_be_cancelled or age_s <= UNKNOWN_AFTER_ACCEPTANCE_SECONDS
        if reply.status not in (200, 503) and not (reply.status == 410 and may_be_gone):
            self.violations.append(
                f"{node.node} answered {reply.status} {reply.data[:80]} for {submission.job}, "
                f"accepted {age_s:.1f} s before"
            )

"""A caller of the soak test whose jobs expand to a million tasks, which are never done."""

import random
import threading

import urllib3

from tests.soak_callers import Connections, Submission
from tests.soak_threads import CheckedThread
from tests.standins.entry_cluster import EntryCluster, wait_until
from tests.standins.expanding_jobs import MILLION_TASKS, OVERDUE_TIMES, UNHELD_TASKS

EXPANDING_FROM_SEED = 7000

_BODIES = (OVERDUE_TIMES, MILLION_TASKS, UNHELD_TASKS)
_JOBS = 6
_PAUSE_SECONDS = 0.3


class ExpandingCaller(CheckedThread):
    """Submits expanding jobs until some are accepted, and cancels them on request."""

    def __init__(self, cluster: EntryCluster, seed: int, finished: threading.Event) -> None:
        super().__init__()
        self.submissions: list[Submission] = []
        self._cluster = cluster
        self._finished = finished
        self._source = random.Random(f"expanding {seed}")
        self._connections = Connections()

    def work(self) -> None:
        while len(self.submissions) < _JOBS and not self._finished.wait(_PAUSE_SECONDS):
            submission = self._make_submission()
            self.submissions.append(submission)
            while not self._submit(submission) and not self._finished.wait(_PAUSE_SECONDS):
                pass

    def cancel_all(self, seconds: float) -> list[str]:
        """Cancel the accepted jobs; return those that are not shown as cancelled in time."""
        accepted = [each for each in self.submissions if each.accepted]
        wait_until(lambda: all(each.cancelled or self._cancel(each) for each in accepted), seconds)
        open_paths = {each.path for each in accepted}

        def all_ended() -> bool:
            for path in list(open_paths):
                states = {self._cluster.state(node, path) for node in self._cluster.nodes}
                # A task may have used up its attempts before.
                if states & {"cancelled", "failed"}:
                    open_paths.discard(path)
            return not open_paths

        if wait_until(all_ended, seconds):
            return []
        return [f"expanding job not shown as cancelled: {path}" for path in sorted(open_paths)]

    def _make_submission(self) -> Submission:
        return Submission(*self._cluster.make_job(**self._source.choice(_BODIES)))

    def _submit(self, submission: Submission) -> bool:
        submission.accepted = self._call("POST", submission, json=submission.body) == 200
        return submission.accepted

    def _cancel(self, submission: Submission) -> bool:
        submission.cancelled = self._call("DELETE", submission) == 200
        return submission.cancelled

    def _call(self, method: str, submission: Submission, **arguments: object) -> int:
        node = self._source.choice(self._cluster.nodes)
        try:
            return self._connections.request(node, method, submission.path, **arguments).status
        except urllib3.exceptions.HTTPError:
            return 0

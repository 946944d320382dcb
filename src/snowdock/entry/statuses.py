"""The statuses of jobs as the leader shows them, read by many threads."""

import threading
from collections.abc import Iterable

from ..clocks import steady_seconds
from ..jobs.events import PublishStatus
from ..jobs.model import JobId, JobStatus

__all__ = ["StatusBook"]


class StatusBook:
    """Statuses by job and counts of waiting jobs by queue."""

    def __init__(self) -> None:
        self._taken_until = steady_seconds()
        self._jobs: dict[JobId, PublishStatus] = {}
        self._unreadable: set[JobId] = set()
        self._waiting: dict[str, int] = {}
        self._lock = threading.Lock()

    @property
    def taken_until(self) -> float:
        """The steady time up to which the leader has taken all events over, in seconds."""
        return self._taken_until

    def take_until(self, sent_at: float) -> None:
        """Take note that all events sent before a steady time have been taken over."""
        self._taken_until = sent_at

    def note_unreadable(self, jobs: Iterable[JobId]) -> None:
        """Take note of jobs that are on record, and whose record cannot be read."""
        with self._lock:
            self._unreadable.update(jobs)

    def is_unreadable(self, job: JobId) -> bool:
        """Whether a job is on record that cannot be read."""
        return job in self._unreadable

    def publish(self, status: PublishStatus) -> None:
        """Show a job's status from now on."""
        with self._lock:
            before = self._jobs.get(status.job)
            self._jobs[status.job] = status
            self._unreadable.discard(status.job)
            change = (status.status is JobStatus.PENDING) - (
                before is not None and before.status is JobStatus.PENDING
            )
            if change:
                self._waiting[status.queue] = self._waiting.get(status.queue, 0) + change

    def forget(self, jobs: tuple[JobId, ...]) -> None:
        """Show nothing of some jobs any more."""
        with self._lock:
            for job in jobs:
                self._jobs.pop(job, None)

    def status(self, job: JobId, team: str = "") -> JobStatus | None:
        """Give a job's status, or None where it is unknown, or belongs to another team."""
        found = self._jobs.get(job)
        if found is None or found.team not in ("", team):
            return None
        return found.status

    def waiting(self, queue: str) -> int:
        """Count a queue's jobs none of whose tasks has begun."""
        return self._waiting.get(queue, 0)

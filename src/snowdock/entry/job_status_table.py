"""The statuses of jobs as the leader shows them, read by many threads."""

import threading
from collections.abc import Iterable

from ..clocks import steady_seconds
from ..jobs.events import PublishStatus
from ..jobs.model import JobId, JobStatus

__all__ = ["JobStatusTable"]


class JobStatusTable:
    """Statuses by job and counts of waiting jobs by queue."""

    def __init__(self) -> None:
        self._processed_until = steady_seconds()
        self._jobs: dict[JobId, PublishStatus] = {}
        self._unreadable: set[JobId] = set()
        self._waiting_counts: dict[str, int] = {}
        self._lock = threading.Lock()

    @property
    def processed_until(self) -> float:
        """The steady time up to which the leader has taken all events over, in seconds."""
        return self._processed_until

    def mark_processed_until(self, processed_until: float) -> None:
        """Take note that all events sent before a steady time have been taken over."""
        self._processed_until = processed_until

    def add_unreadable(self, jobs: Iterable[JobId]) -> None:
        """Take note of jobs that are on record, and whose record cannot be read."""
        with self._lock:
            self._unreadable.update(jobs)

    def is_unreadable(self, job: JobId) -> bool:
        """Whether a job is on record that cannot be read."""
        return job in self._unreadable

    def publish(self, status: PublishStatus) -> None:
        """Show a job's status from now on."""
        with self._lock:
            previous = self._jobs.get(status.job)
            self._jobs[status.job] = status
            self._unreadable.discard(status.job)
            change = (status.status is JobStatus.PENDING) - (
                previous is not None and previous.status is JobStatus.PENDING
            )
            if change:
                self._waiting_counts[status.queue] = (
                    self._waiting_counts.get(status.queue, 0) + change
                )

    def forget(self, jobs: tuple[JobId, ...]) -> None:
        """Show nothing of some jobs any more."""
        with self._lock:
            for job in jobs:
                self._jobs.pop(job, None)

    def find_status(self, job: JobId, team: str = "") -> JobStatus | None:
        """Give a job's status, or None where it is unknown, or belongs to another team."""
        published = self._jobs.get(job)
        if published is None or published.team not in ("", team):
            return None
        return published.status

    def count_waiting(self, queue: str) -> int:
        """Count a queue's jobs none of whose tasks has begun."""
        return self._waiting_counts.get(queue, 0)

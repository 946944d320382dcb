"""Job statuses published by the leader and read by many threads."""

import threading
from collections.abc import Iterable

from ..clocks import steady_seconds
from ..jobs.events import PublishStatus
from ..jobs.model import JobId, JobStatus

__all__ = ["JobStatusTable"]


class JobStatusTable:
    """Statuses by job, and numbers of waiting jobs by queue."""

    def __init__(self) -> None:
        self._processed_until = steady_seconds()
        self._jobs: dict[JobId, PublishStatus] = {}
        self._unreadable: set[JobId] = set()
        self._waiting_counts: dict[str, int] = {}
        self._lock = threading.Lock()

    @property
    def processed_until(self) -> float:
        """The steady time up to which the leader has processed all events, in seconds."""
        return self._processed_until

    def mark_processed_until(self, processed_until: float) -> None:
        """Record that all events sent before a steady time have been processed."""
        self._processed_until = processed_until

    def add_unreadable(self, jobs: Iterable[JobId]) -> None:
        """Add jobs whose stored record cannot be decoded."""
        with self._lock:
            self._unreadable.update(jobs)

    def is_unreadable(self, job: JobId) -> bool:
        """Check whether a job's stored record cannot be decoded."""
        return job in self._unreadable

    def publish(self, status: PublishStatus) -> None:
        """Set a job's status and update the count of its queue."""
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
        """Remove the statuses of some jobs."""
        with self._lock:
            for job in jobs:
                self._jobs.pop(job, None)

    def find_status(self, job: JobId, team: str = "") -> JobStatus | None:
        """Return a job's status, or None if the job is unknown or belongs to another team."""
        published = self._jobs.get(job)
        if published is None or published.team not in ("", team):
            return None
        return published.status

    def count_waiting(self, queue: str) -> int:
        """Return the number of a queue's jobs of which no task has started."""
        return self._waiting_counts.get(queue, 0)

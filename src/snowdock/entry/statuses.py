"""The statuses of jobs as the leader shows them, read by many threads."""

import threading

from ..jobs.events import PublishStatus
from ..jobs.model import JobId, JobStatus

__all__ = ["StatusBook"]


class StatusBook:
    """Statuses by job and counts of waiting jobs by queue."""

    def __init__(self) -> None:
        self._jobs: dict[JobId, PublishStatus] = {}
        self._waiting: dict[str, int] = {}
        self._lock = threading.Lock()

    def publish(self, status: PublishStatus) -> None:
        """Show a job's status from now on."""
        with self._lock:
            before = self._jobs.get(status.job)
            self._jobs[status.job] = status
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

    def status(self, job: JobId) -> JobStatus | None:
        """Give a job's status, or None where it is unknown."""
        found = self._jobs.get(job)
        return None if found is None else found.status

    def waiting(self, queue: str) -> int:
        """Count a queue's jobs none of whose tasks has begun."""
        return self._waiting.get(queue, 0)

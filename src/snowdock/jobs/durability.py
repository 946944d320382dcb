"""What must be on record before it takes effect, and the renewal of workers' leases."""

from .cell import Cell
from .events import SendRenewal
from .job_state import Job
from .orders import RenewOrder
from .workers import Worker

__all__ = ["RENEW_WAIT_MS", "mark_dirty", "send_renewal"]

_RENEW_INTERVAL_SECONDS = 0.5
"""How often a worker is renewed while its ends wait to be on record."""

RENEW_WAIT_MS = 500
"""How long a worker may wait for an end before it answers; where the answer is lost, its ends
are not seen for so long."""


def mark_dirty(cell: Cell, job: Job) -> None:
    """Have a job's progress put on record with the next batch."""
    cell.dirty_jobs[job.id] = job


def send_renewal(cell: Cell, worker: Worker, now: float, wait_ms: int) -> None:
    """Renew a worker's lease and look at it.

    A worker that does not answer is only looked at: a lease that may have been renewed would
    never be known to be over.
    """
    lease_until_ms = 0
    if worker.runs and worker.clock_ms and worker.silent_since is None:
        lease_until_ms = worker.extend_lease(now, cell.settings.lease_s)
    if worker.last_processed_end > worker.last_recorded_end or not worker.is_synced:
        # Ends that it may not forget yet make it answer at once, however long it may wait.
        wait_ms = 0
    worker.is_renewing = True
    worker.next_renew_at = now + _RENEW_INTERVAL_SECONDS
    cell.emit(
        SendRenewal(
            worker.life,
            RenewOrder(cell.token, worker.last_recorded_end, lease_until_ms, wait_ms, now),
        )
    )

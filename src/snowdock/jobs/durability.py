"""Marking of jobs whose progress must be recorded, and renewal of workers' leases."""

from .cell import Cell
from .events import SendRenewal
from .job_state import Job
from .orders import RenewOrder
from .workers import Worker

__all__ = ["RENEW_WAIT_MS", "mark_dirty", "send_renewal"]

_RENEW_INTERVAL_SECONDS = 0.5
"""Interval of renewals for a worker whose ended runs wait to be recorded."""

RENEW_WAIT_MS = 500
"""How long a worker may delay its answer until a run ends (long polling). If the answer is lost,
ended runs are detected that much later."""


def mark_dirty(cell: Cell, job: Job) -> None:
    """Schedule a job's progress for recording with the next batch."""
    cell.dirty_jobs[job.id] = job


def send_renewal(cell: Cell, worker: Worker, now: float, wait_ms: int) -> None:
    """Renew a worker's lease and request a report of its runs.

    A worker that does not answer is only asked for a report: each renewal that may have arrived
    would postpone the time at which its leases are known to have expired.
    """
    lease_until_ms = 0
    if worker.runs and worker.clock_ms and worker.silent_since is None:
        lease_until_ms = worker.extend_lease(now, cell.settings.lease_s)
    if worker.last_processed_end > worker.last_recorded_end or not worker.is_synced:
        # Unacknowledged ends make the worker answer at once, whatever the wait time.
        wait_ms = 0
    worker.is_renewing = True
    worker.next_renew_at = now + _RENEW_INTERVAL_SECONDS
    cell.emit(
        SendRenewal(
            worker.life,
            RenewOrder(cell.token, worker.last_recorded_end, lease_until_ms, wait_ms, now),
        )
    )

"""Marking of jobs whose progress must be recorded, and renewal of workers' leases."""

from .cell import Cell
from .events import SendRenew
from .orders import RenewOrder
from .parts import Job
from .workers import Worker

__all__ = ["RENEW_WAIT_MS", "mark", "renew"]

_STORE_RENEWAL_SECONDS = 0.5
"""Interval of renewals for a worker whose ended runs wait to be recorded."""

RENEW_WAIT_MS = 500
"""How long a worker may delay its answer until a run ends (long polling). If the answer is lost,
ended runs are detected that much later."""


def mark(cell: Cell, job: Job) -> None:
    """Schedule a job's progress for recording with the next batch."""
    cell.dirty[job.id] = job


def renew(cell: Cell, worker: Worker, now: float, wait_ms: int) -> None:
    """Renew a worker's lease and request a report of its runs.

    A worker that does not answer is only asked for a report: each renewal that may have arrived
    would postpone the time at which its leases are known to have expired.
    """
    until = 0
    if worker.runs and worker.clock_ms and worker.silent_since is None:
        until = worker.extend_lease(now, cell.settings.lease_s)
    if worker.known_ends > worker.seen_ends or not worker.settled:
        # Unacknowledged ends make the worker answer at once, whatever the wait time.
        wait_ms = 0
    worker.renewing = True
    worker.next_renew_at = now + _STORE_RENEWAL_SECONDS
    cell.emit(SendRenew(worker.life, RenewOrder(cell.token, worker.seen_ends, until, wait_ms, now)))

"""Periodic checks of workers: due renewals, expired leases and stops to repeat."""

from .cell import Cell, Orphan, PendingStop
from .durability import RENEW_WAIT_MS, send_renewal
from .events import SendStop
from .lost_runs import charge_replaced_orphans, lose_orphan, lose_runs
from .machine_speeds import update_unevenness
from .model import TaskId
from .occupancy import vacate
from .orders import StopOrder
from .speeds import decay_idle_slowness
from .timeouts import WORKER_REPORT_WAIT_SECONDS
from .worker_lives import end_life
from .workers import Worker

__all__ = ["run_expiry_of_orphan", "run_expiry_on_worker", "watch_workers"]

_STOP_RETRY_SECONDS = 0.5
"""Delay before an unanswered stop is sent again."""

_ANSWERED_STOP_RETRY_SECONDS = 2.0
"""Delay, added to the stop timeout, before an answered stop is sent again: the run's end comes with
a report, which may take a second."""

_DELISTED_CLOSE_SECONDS = 15.0
"""How long a worker without runs is still called after its entry was removed: entries that expired
during a store outage are restored in about two seconds."""


def watch_workers(cell: Cell, now: float) -> None:
    """Send due renewals, mark runs with expired leases as lost, and repeat stops."""
    update_unevenness(cell, now)
    decay_idle_slowness(cell)
    for worker in list(cell.workers.values()):
        _watch_worker(cell, worker, now)
    if cell.orphans:
        charge_replaced_orphans(cell, now)
        _lose_orphans(cell, now)
    for (life, task, run), stop in list(cell.pending_stops.items()):
        _watch_stop(cell, life, task, run, stop, now)


def _lose_orphans(cell: Cell, now: float) -> None:
    """Mark orphaned runs as lost once their leases have expired and no worker was listed."""
    for worker, orphans in list(cell.orphans.items()):
        for orphan in [each for each in orphans if now >= run_expiry_of_orphan(cell, each)]:
            orphans.remove(orphan)
            if orphan.task.is_current_run(orphan.run, orphan.life):
                lose_orphan(cell, orphan.task, orphan.life, now)
            else:
                vacate(cell, orphan.life, orphan.task.id, orphan.run)
        if not orphans:
            del cell.orphans[worker]


def _watch_worker(cell: Cell, worker: Worker, now: float) -> None:
    if worker.silent_since is not None and worker.runs and now > run_expiry_on_worker(cell, worker):
        lose_runs(cell, worker, now, "the worker does not answer and its leases have expired")
        worker.is_synced = False
    if not worker.listed and not worker.runs:
        is_unresponsive = worker.silent_since is not None or not worker.is_synced
        if is_unresponsive or now - worker.delisted_at > _DELISTED_CLOSE_SECONDS:
            end_life(cell, worker, now, "no longer listed")
            return
    if not worker.is_renewing and now >= worker.next_renew_at:
        send_renewal(cell, worker, now, RENEW_WAIT_MS if worker.runs else 0)


def run_expiry_on_worker(cell: Cell, worker: Worker) -> float:
    """Return the time at which the runs on a worker are lost if it remains silent."""
    # Measured from the claim and not from the start, since reading the records may take seconds on
    # a slow store and would delay the restart of long-running tasks.
    earlier_leases_end = _run_expiry_since(cell, cell.leadership_claimed_at)
    if not worker.clock_ms:
        return earlier_leases_end
    if worker.is_synced:
        return worker.leases_expire_at
    # An earlier leader may have renewed later than this one did.
    return max(worker.leases_expire_at, earlier_leases_end)


def run_expiry_of_orphan(cell: Cell, orphan: Orphan) -> float:
    """Return the time at which an orphan is lost if no life of its worker is listed."""
    return _run_expiry_since(cell, orphan.since)


def _run_expiry_since(cell: Cell, since: float) -> float:
    """Return when leases granted before a time have expired and workers had time to report."""
    return max(
        cell.started_at + WORKER_REPORT_WAIT_SECONDS,
        since + cell.settings.unreached_run_expiry_s,
    )


def _watch_stop(
    cell: Cell, life: str, task: TaskId, run: int, stop: PendingStop, now: float
) -> None:
    worker = cell.workers.get(life)
    if worker is None:
        del cell.pending_stops[life, task, run]
        return
    retry_seconds = _STOP_RETRY_SECONDS
    if stop.answered_at is not None:
        retry_seconds = _ANSWERED_STOP_RETRY_SECONDS + cell.settings.stop_s
    if now - stop.sent_at < retry_seconds:
        return
    stop.sent_at = now
    cell.emit(SendStop(life, StopOrder(task, run, cell.token)))

"""Periodic checks of workers: due renewals, expired leases and stops to repeat."""

from .cell import Cell, Stop
from .durability import RENEW_WAIT_MS, renew
from .events import SendStop
from .lost_runs import lose_orphan, lose_runs
from .model import TaskId
from .occupancy import vacate
from .orders import StopOrder
from .speeds import fade_slowness
from .times import HEARING_SECONDS
from .worker_lives import end_life
from .workers import Worker

__all__ = ["watch_workers"]

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
    fade_slowness(cell)
    for worker in list(cell.workers.values()):
        _watch_worker(cell, worker, now)
    _lose_orphans(cell, now)
    for (life, task, run), stop in list(cell.stops.items()):
        _watch_stop(cell, life, task, run, stop, now)


def _lose_orphans(cell: Cell, now: float) -> None:
    """Mark orphaned runs as lost once their leases have expired and no worker was listed."""
    for worker, orphans in list(cell.orphans.items()):
        for orphan in [each for each in orphans if _is_lapsed(cell, each.since, now)]:
            orphans.remove(orphan)
            if orphan.task.is_current_run(orphan.run, orphan.life):
                lose_orphan(cell, orphan.task, orphan.life, now)
            else:
                vacate(cell, orphan.life, orphan.task.id, orphan.run)
        if not orphans:
            del cell.orphans[worker]


def _watch_worker(cell: Cell, worker: Worker, now: float) -> None:
    if worker.silent_since is not None and worker.runs and _is_over(cell, worker, now):
        lose_runs(cell, worker, now, "the worker does not answer and its leases have expired")
        worker.settled = False
    if not worker.listed and not worker.runs:
        quiet = worker.silent_since is not None or not worker.settled
        if quiet or now - worker.delisted_at > _DELISTED_CLOSE_SECONDS:
            end_life(cell, worker, now, "no longer listed")
            return
    if not worker.renewing and now >= worker.next_renew_at:
        renew(cell, worker, now, RENEW_WAIT_MS if worker.runs else 0)


def _is_over(cell: Cell, worker: Worker, now: float) -> bool:
    if worker.clock_ms:
        # An earlier leader may have renewed later than this one did.
        is_known = worker.settled or _are_earlier_leases_over(cell, now)
        return worker.is_surely_lapsed(now) and is_known
    return _are_earlier_leases_over(cell, now)


def _are_earlier_leases_over(cell: Cell, now: float) -> bool:
    """Check whether all leases granted by earlier leaders have expired."""
    # Measured from the claim and not from the start, since reading the records may take seconds on
    # a slow store and would delay the restart of long-running tasks.
    return _is_lapsed(cell, cell.claimed_at, now)


def _is_lapsed(cell: Cell, since: float, now: float) -> bool:
    """Check whether leases granted before a time have expired, and workers had time to report."""
    has_heard = now - cell.started_at >= HEARING_SECONDS
    return has_heard and now - since >= cell.settings.takeover_lapse_s


def _watch_stop(cell: Cell, life: str, task: TaskId, run: int, stop: Stop, now: float) -> None:
    worker = cell.workers.get(life)
    if worker is None:
        del cell.stops[life, task, run]
        return
    patience = _STOP_RETRY_SECONDS
    if stop.answered_at is not None:
        patience = _ANSWERED_STOP_RETRY_SECONDS + cell.settings.stop_s
    if now - stop.sent_at < patience:
        return
    stop.sent_at = now
    cell.emit(SendStop(life, StopOrder(task, run, cell.token)))

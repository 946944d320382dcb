"""What time brings at workers: renewals that are due, leases that are over, stops to repeat."""

from .cell import Cell, PendingStop
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
"""Pause before a stop without an answer is sent again."""

_ANSWERED_STOP_RETRY_SECONDS = 2.0
"""Pause before a stop that was answered is repeated: its end comes with a report, and one may
wait for a second."""

_DELISTED_CLOSE_SECONDS = 15.0
"""How long an empty worker that is no longer listed is still called: entries that lapsed with
the store are back in about two seconds, and a lease is over long before."""


def watch_workers(cell: Cell, now: float) -> None:
    """Renew what is due, give up what is surely over, and repeat stops."""
    fade_slowness(cell)
    for worker in list(cell.workers.values()):
        _watch_worker(cell, worker, now)
    _lose_orphans(cell, now)
    for (life, task, run), stop in list(cell.pending_stops.items()):
        _watch_stop(cell, life, task, run, stop, now)


def _lose_orphans(cell: Cell, now: float) -> None:
    """Give up runs whose worker has not become known for as long as they may still be there."""
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
        lose_runs(cell, worker, now, "its leases are over and it does not answer")
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
    """Whether no lease that an earlier leader gave can still hold."""
    # Leases are counted from the claim: reading the records may take seconds on a store that loses
    # answers, and tasks that last stand meanwhile.
    return _is_lapsed(cell, cell.leadership_claimed_at, now)


def _is_lapsed(cell: Cell, since: float, now: float) -> bool:
    """Whether no lease that was given until a moment can still hold, where workers had a say."""
    has_heard = now - cell.started_at >= HEARING_SECONDS
    return has_heard and now - since >= cell.settings.unreached_run_expiry_s


def _watch_stop(
    cell: Cell, life: str, task: TaskId, run: int, stop: PendingStop, now: float
) -> None:
    worker = cell.workers.get(life)
    if worker is None:
        del cell.pending_stops[life, task, run]
        return
    patience = _STOP_RETRY_SECONDS
    if stop.answered_at is not None:
        patience = _ANSWERED_STOP_RETRY_SECONDS + cell.settings.stop_s
    if now - stop.sent_at < patience:
        return
    stop.sent_at = now
    cell.emit(SendStop(life, StopOrder(task, run, cell.token)))

"""Quarantine of workers: nothing new is placed on them for a limited time."""

from .cell import Cell
from .workers import QuarantineCause, Worker

__all__ = ["count_quarantined", "quarantine", "release_expired", "release_worker"]


def quarantine(
    cell: Cell,
    worker: Worker,
    cause: QuarantineCause,
    seconds: float,
    now: float,
    **evidence: float,
) -> None:
    """Quarantine a worker for a time, unless it is already quarantined for longer.

    Parameters
    ----------
    cell
        The leader's state.
    worker
        The worker.
    cause
        Why it is quarantined.
    seconds
        The duration.
    now
        The steady clock, in seconds.
    evidence
        Figures on which the decision is based, logged as fields.
    """
    until = now + seconds
    if until <= worker.quarantined_until:
        return
    is_changed = worker.quarantined_until <= now or worker.quarantine_cause is not cause
    worker.quarantined_until = until
    worker.quarantine_cause = cause
    if is_changed:
        cell.log_decision(
            "worker_set_aside",
            worker.life,
            cause=cause.value,
            for_s=seconds,
            **evidence,
            **_count_fields(cell, worker, cause, now),
        )


def release_worker(cell: Cell, worker: Worker, cause: QuarantineCause, now: float) -> None:
    """End a worker's quarantine if it has the given cause."""
    if worker.quarantine_cause is cause:
        worker.quarantined_until = min(worker.quarantined_until, now)
        _log_release(cell, worker, now)
        cell.needs_placement = True


def release_expired(cell: Cell, now: float) -> None:
    """Release and log the workers whose quarantine has expired."""
    for worker in cell.workers.values():
        if worker.quarantine_cause is not None and worker.quarantined_until <= now:
            _log_release(cell, worker, now)


def _log_release(cell: Cell, worker: Worker, now: float) -> None:
    cause, worker.quarantine_cause = worker.quarantine_cause, None
    cell.log_decision(
        "worker_back", worker.life, cause=cause.value, **_count_fields(cell, worker, cause, now)
    )


def count_quarantined(
    cell: Cell, service: str, cause: QuarantineCause, now: float
) -> tuple[int, int]:
    """Return how many workers of a service are quarantined for a cause, and how many there are."""
    workers = [each for each in cell.workers.values() if each.entry.service == service]
    return sum(
        each.quarantined_until > now and each.quarantine_cause is cause for each in workers
    ), len(workers)


def _count_fields(
    cell: Cell, worker: Worker, cause: QuarantineCause, now: float
) -> dict[str, object]:
    service = worker.entry.service
    quarantined, workers = count_quarantined(cell, service, cause, now)
    return {"service": service, "aside": quarantined, "workers": workers}

"""Quarantine of workers: nothing new is placed on them for a limited time."""

from .cell import Cell
from .workers import AsideCause, Worker

__all__ = ["count_aside", "set_aside", "take_back", "take_back_due"]


def set_aside(
    cell: Cell, worker: Worker, cause: AsideCause, seconds: float, now: float, **evidence: float
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
    if until <= worker.aside_until:
        return
    is_news = worker.aside_until <= now or worker.aside_for is not cause
    worker.aside_until = until
    worker.aside_for = cause
    if is_news:
        cell.tell(
            "worker_set_aside",
            worker.life,
            cause=cause.value,
            for_s=seconds,
            **evidence,
            **_show_counts(cell, worker, cause, now),
        )


def take_back(cell: Cell, worker: Worker, cause: AsideCause, now: float) -> None:
    """End a worker's quarantine if it has the given cause."""
    if worker.aside_for is cause:
        worker.aside_until = min(worker.aside_until, now)
        _tell_back(cell, worker, now)
        cell.placing_wanted = True


def take_back_due(cell: Cell, now: float) -> None:
    """Release and log the workers whose quarantine has expired."""
    for worker in cell.workers.values():
        if worker.aside_for is not None and worker.aside_until <= now:
            _tell_back(cell, worker, now)


def _tell_back(cell: Cell, worker: Worker, now: float) -> None:
    cause, worker.aside_for = worker.aside_for, None
    cell.tell(
        "worker_back", worker.life, cause=cause.value, **_show_counts(cell, worker, cause, now)
    )


def count_aside(cell: Cell, service: str, cause: AsideCause, now: float) -> tuple[int, int]:
    """Return how many workers of a service are quarantined for a cause, and how many there are."""
    alike = [each for each in cell.workers.values() if each.entry.service == service]
    return sum(each.aside_until > now and each.aside_for is cause for each in alike), len(alike)


def _show_counts(cell: Cell, worker: Worker, cause: AsideCause, now: float) -> dict[str, object]:
    service = worker.entry.service
    aside, workers = count_aside(cell, service, cause, now)
    return {"service": service, "aside": aside, "workers": workers}

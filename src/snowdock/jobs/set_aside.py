"""Workers on which nothing new is placed for a while, and what is told of that."""

from .cell import Cell
from .workers import AsideCause, Worker

__all__ = ["count_aside", "set_aside", "take_back", "take_back_due"]


def set_aside(
    cell: Cell, worker: Worker, cause: AsideCause, seconds: float, now: float, **evidence: float
) -> None:
    """Place nothing on a worker for so long, unless it is set aside for longer already.

    Parameters
    ----------
    cell
        The leader's state.
    worker
        The worker.
    cause
        What speaks against it.
    seconds
        For how long.
    now
        The steady clock, in seconds.
    evidence
        What the decision rests on, for the log.
    """
    until = now + seconds
    if until <= worker.aside_until:
        return
    is_news = worker.aside_until <= now or worker.aside_for is not cause
    worker.aside_until = until
    worker.aside_for = cause
    if is_news:
        cell.log_decision(
            "worker_set_aside",
            worker.life,
            cause=cause.value,
            for_s=seconds,
            **evidence,
            **_show_counts(cell, worker, cause, now),
        )


def take_back(cell: Cell, worker: Worker, cause: AsideCause, now: float) -> None:
    """End a worker's time aside, where it is set aside for that cause."""
    if worker.aside_for is cause:
        worker.aside_until = min(worker.aside_until, now)
        _tell_back(cell, worker, now)
        cell.needs_placement = True


def take_back_due(cell: Cell, now: float) -> None:
    """Tell of workers whose time aside is over."""
    for worker in cell.workers.values():
        if worker.aside_for is not None and worker.aside_until <= now:
            _tell_back(cell, worker, now)


def _tell_back(cell: Cell, worker: Worker, now: float) -> None:
    cause, worker.aside_for = worker.aside_for, None
    cell.log_decision(
        "worker_back", worker.life, cause=cause.value, **_show_counts(cell, worker, cause, now)
    )


def count_aside(cell: Cell, service: str, cause: AsideCause, now: float) -> tuple[int, int]:
    """Count the workers of a service that are set aside for a cause, and all of them."""
    alike = [each for each in cell.workers.values() if each.entry.service == service]
    return sum(each.aside_until > now and each.aside_for is cause for each in alike), len(alike)


def _show_counts(cell: Cell, worker: Worker, cause: AsideCause, now: float) -> dict[str, object]:
    service = worker.entry.service
    aside, workers = count_aside(cell, service, cause, now)
    return {"service": service, "aside": aside, "workers": workers}

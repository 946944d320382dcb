"""Identifiers of worker lives.

A life is one incarnation of a worker. A worker may restart under its id without its previous state,
so the leader keeps all state of a worker under the identifier of one life.
"""

__all__ = ["begins_later", "format_life", "worker_id_of"]

_BORN_SEPARATOR = "@"


def format_life(worker: str, born_ms: int | None) -> str:
    """Return the identifier of one life of a worker.

    Parameters
    ----------
    worker
        The worker's id.
    born_ms
        When this life began, by the worker's wall clock, in ms since 1970; None if not reported:
        then the worker's id identifies its only life.
    """
    return worker if born_ms is None else f"{worker}{_BORN_SEPARATOR}{born_ms}"


def worker_id_of(life: str) -> str:
    """Return the worker's id from the identifier of one of its lives."""
    worker, separator, born = life.rpartition(_BORN_SEPARATOR)
    return worker if separator and born.isdecimal() else life


def begins_later(life: str, other: str) -> bool:
    """Check whether a life of a worker certainly began after another one.

    It cannot be told if one of them doesn't report its start, or if the wall clock was set back.
    """
    born, other_born = _born_ms(life), _born_ms(other)
    return born is not None and other_born is not None and born > other_born


def _born_ms(life: str) -> int | None:
    suffix = life.removeprefix(worker_id_of(life)).removeprefix(_BORN_SEPARATOR)
    return int(suffix) if suffix else None

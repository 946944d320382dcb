"""Names of workers' lives.

A worker may start again under its id, and then holds nothing and knows nothing of before. All that
is kept of a worker is kept under the name of one life.
"""

__all__ = ["format_life", "worker_id_of"]

_BORN_SEPARATOR = "@"


def format_life(worker: str, born_ms: int | None) -> str:
    """Name one life of a worker.

    Parameters
    ----------
    worker
        The worker's id.
    born_ms
        When this life began, by the worker's time of day, in ms since 1970; None where untold:
        then the id names its only life.
    """
    return worker if born_ms is None else f"{worker}{_BORN_SEPARATOR}{born_ms}"


def worker_id_of(life: str) -> str:
    """Give the id of the worker whose life is named."""
    worker, separator, born = life.rpartition(_BORN_SEPARATOR)
    return worker if separator and born.isdecimal() else life

"""A counter of requests in flight, which a planned stop waits for."""

import contextlib
import threading
from collections.abc import Iterator

__all__ = ["InFlightCounter"]


class InFlightCounter:
    """A thread-safe counter.

    Without the lock, a lost update could let a planned stop cut off a request.
    """

    def __init__(self) -> None:
        self._count = 0
        self._lock = threading.Lock()

    @property
    def count(self) -> int:
        """The number of requests in flight."""
        return self._count

    @contextlib.contextmanager
    def track(self) -> Iterator[None]:
        """Count one request while the block runs."""
        with self._lock:
            self._count += 1
        try:
            yield
        finally:
            with self._lock:
                self._count -= 1

"""Counts what is in flight, so that a planned stop can wait for it."""

import contextlib
import threading
from collections.abc import Iterator

__all__ = ["InFlightCounter"]


class InFlightCounter:
    """A count that several threads change.

    A bare ``+=`` loses counts between threads, and a lost one lets a stop cut a request off.
    """

    def __init__(self) -> None:
        self._count = 0
        self._lock = threading.Lock()

    @property
    def count(self) -> int:
        """What is in flight now."""
        return self._count

    @contextlib.contextmanager
    def track(self) -> Iterator[None]:
        """Count one more while the block runs."""
        with self._lock:
            self._count += 1
        try:
            yield
        finally:
            with self._lock:
                self._count -= 1

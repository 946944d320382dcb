"""Virtual time: calls that are due at given moments, in order."""

import heapq
import itertools
from collections.abc import Callable

__all__ = ["Timeline"]


class Timeline:
    """A queue of calls by virtual time, in seconds."""

    def __init__(self) -> None:
        self._now = 0.0
        self._numbers = itertools.count()
        self._scheduled: list[tuple[float, int, Callable[[], None]]] = []

    @property
    def now(self) -> float:
        """The virtual time, in seconds."""
        return self._now

    def call_after(self, seconds: float, call: Callable[[], None]) -> None:
        """Have something called some time from now."""
        heapq.heappush(self._scheduled, (self._now + max(0.0, seconds), next(self._numbers), call))

    def run_until(self, end: float) -> None:
        """Make all calls that are due until a moment."""
        while self._scheduled and self._scheduled[0][0] <= end:
            self._now, _, call = heapq.heappop(self._scheduled)
            call()
        self._now = end

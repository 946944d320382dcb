"""Virtual clock with scheduled calls."""

import heapq
import itertools
from collections.abc import Callable

__all__ = ["Timeline"]


class Timeline:
    """Scheduled calls in order of virtual time, in seconds."""

    def __init__(self) -> None:
        self._now = 0.0
        self._numbers = itertools.count()
        self._scheduled: list[tuple[float, int, Callable[[], None]]] = []

    @property
    def now(self) -> float:
        """The virtual time, in seconds."""
        return self._now

    def call_after(self, seconds: float, call: Callable[[], None]) -> None:
        """Schedule a call after a number of seconds."""
        heapq.heappush(self._scheduled, (self._now + max(0.0, seconds), next(self._numbers), call))

    def run_until(self, end: float) -> None:
        """Make all calls that are due by a time, and advance the clock to it."""
        while self._scheduled and self._scheduled[0][0] <= end:
            self._now, _, call = heapq.heappop(self._scheduled)
            call()
        self._now = end

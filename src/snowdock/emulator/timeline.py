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
        self._due: list[tuple[float, int, Callable[[], None]]] = []

    @property
    def now(self) -> float:
        """The virtual time, in seconds."""
        return self._now

    def after(self, seconds: float, call: Callable[[], None]) -> None:
        """Schedule a call after a number of seconds."""
        heapq.heappush(self._due, (self._now + max(0.0, seconds), next(self._numbers), call))

    def run_until(self, end: float) -> None:
        """Make all calls that are due by a time, and advance the clock to it."""
        while self._due and self._due[0][0] <= end:
            self._now, _, call = heapq.heappop(self._due)
            call()
        self._now = end

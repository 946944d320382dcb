"""Assignment of return times to refused callers.

Responds to a burst of refusals: callers that were all told the same time would return together and
be refused again. Callers return in the order of their first attempts, at a bounded rate.
"""

import bisect
import heapq
import math

__all__ = ["MAX_RETRY_SECONDS", "RetryPlanner"]

MAX_RETRY_SECONDS = 60.0
"""Longest ``Retry-After``. Load is predicted from what is in the system now, which says nothing of
a later time."""

_MAX_PLANNED = 4096
"""Most callers whose return is planned; the same bound as that of the caller history."""

_OVERDUE_SECONDS = 1.0
"""How long after its planned return a caller counts as still to come."""

_MIN_RETURNS_PER_SECOND = 0.5
"""Lower bound of the rate, so that callers of a node that refuses few are spread over 2 s."""

_RETURN_MARGIN_SECONDS = 0.2
"""A caller returns up to 0.1 s later than told, and must then still have time for the answer."""


class RetryPlanner:
    """The callers that are expected to return, in the order of their first attempts."""

    def __init__(self) -> None:
        self._first_attempts: list[tuple[float, bytes]] = []
        self._planned: dict[bytes, tuple[float, float]] = {}
        self._due: list[tuple[float, bytes]] = []

    def __len__(self) -> int:
        return len(self._planned)

    def plan(
        self,
        key: bytes,
        first_seen: float,
        wait_s: float,
        remaining_s: float,
        returns_per_s: float,
        jitter: float,
        now: float,
    ) -> int:
        """Return the whole seconds after which a refused caller should return, at least 1.

        Callers of which more with earlier first attempts are expected get a later second. The
        spread does not go beyond the time at which the caller gives up, since it would return
        earlier instead; a wait that is longer by itself stays as it is.

        Parameters
        ----------
        key, first_seen
            The caller, and the time of its first attempt.
        wait_s
            Seconds until there is room for its job.
        remaining_s
            Seconds until the caller gives up.
        returns_per_s
            Number of callers that may return in a second.
        jitter
            Random number from 0 to 1.
        now
            Current time.
        """
        self.remove(key)
        self._drop_overdue(now)
        shortest_s = min(max(1.0, wait_s), MAX_RETRY_SECONDS)
        earlier = bisect.bisect_left(self._first_attempts, (first_seen, key))
        spread_s = (earlier + jitter) / max(returns_per_s, _MIN_RETURNS_PER_SECOND)
        latest_s = min(
            max(shortest_s, math.floor(remaining_s - _RETURN_MARGIN_SECONDS)), MAX_RETRY_SECONDS
        )
        seconds = math.ceil(min(shortest_s + math.floor(spread_s), latest_s))
        if len(self._planned) >= _MAX_PLANNED:
            self.remove(self._first_attempts[-1][1])
        bisect.insort(self._first_attempts, (first_seen, key))
        self._planned[key] = (first_seen, now + seconds)
        heapq.heappush(self._due, (now + seconds, key))
        return seconds

    def remove(self, key: bytes) -> None:
        """Remove a caller that has returned."""
        planned = self._planned.pop(key, None)
        if planned is not None:
            del self._first_attempts[bisect.bisect_left(self._first_attempts, (planned[0], key))]

    def _drop_overdue(self, now: float) -> None:
        while self._due and self._due[0][0] + _OVERDUE_SECONDS < now:
            due, key = heapq.heappop(self._due)
            # A caller may have returned and been planned again since.
            if key in self._planned and self._planned[key][1] <= due:
                self.remove(key)

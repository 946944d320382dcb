"""A token bucket that limits a rate.

It limits admission on a node without load information, so that neither all jobs are refused nor a
whole burst is taken.
"""

import math

__all__ = ["TokenBucket"]

_MAX_DEBT_SECONDS = 1.0
"""Longest time for which one admitted job may leave the bucket empty. Tokens are core-seconds, and
a gang can cost several seconds' worth of a node's rate; without this bound, one gang would keep
small jobs out for that long. 1 s is also the shortest ``Retry-After``."""


class TokenBucket:
    """A bucket that is filled at a constant rate; a job is admitted while it is not empty.

    Parameters
    ----------
    rate
        Tokens per second.
    depth
        Most tokens that the bucket holds; it is full at first.
    now
        Current time.
    """

    def __init__(self, rate: float, depth: float, now: float) -> None:
        self._rate = max(rate, 0.0)
        self._depth = max(depth, 0.0)
        self._tokens = self._depth
        self._filled_at = now

    def set_rate(self, rate: float, depth: float, now: float) -> None:
        """Change the rate and the depth."""
        self._fill(now)
        self._rate = max(rate, 0.0)
        self._depth = max(depth, 0.0)
        self._tokens = min(self._tokens, self._depth)

    def wait_s(self, now: float) -> float:
        """Return the seconds until the bucket is not empty: 0 if it is not, infinite if never."""
        self._fill(now)
        if self._tokens > 0:
            return 0.0
        return -self._tokens / self._rate if self._rate else math.inf

    def spend(self, cost: float, now: float) -> None:
        """Take the tokens of an admitted job. A cost beyond the content leaves a bounded debt."""
        self._fill(now)
        self._tokens = max(self._tokens - cost, -self._rate * _MAX_DEBT_SECONDS)

    def _fill(self, now: float) -> None:
        elapsed_s = max(0.0, now - self._filled_at)
        self._filled_at = max(now, self._filled_at)
        self._tokens = min(self._depth, self._tokens + elapsed_s * self._rate)

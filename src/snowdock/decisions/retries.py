"""Retries of requests: how long to wait, and how many a node may spend."""

import threading

__all__ = ["RetryBudget", "backoff_seconds"]

_FIRST_SECONDS = 0.02
_LONGEST_SECONDS = 1.0
_RATIO = 0.1
_MOST = 20.0


def backoff_seconds(tries: int, fraction: float) -> float:
    """Give the pause before another try, with full jitter.

    Parameters
    ----------
    tries
        Tries made so far, from 1.
    fraction
        A random number from 0 to 1.

    Returns
    -------
    float
        Seconds.
    """
    return min(_FIRST_SECONDS * 2 ** (tries - 1), _LONGEST_SECONDS) * fraction


class RetryBudget:
    """Allows retries in proportion to successes, so that they never multiply an overload."""

    def __init__(self) -> None:
        self._tokens = _MOST
        self._lock = threading.Lock()

    @property
    def tokens(self) -> float:
        """Retries that may be made now."""
        return self._tokens

    def note_success(self) -> None:
        """Earn a part of a retry."""
        with self._lock:
            self._tokens = min(_MOST, self._tokens + _RATIO)

    def take(self) -> bool:
        """Spend a retry, if there is one."""
        with self._lock:
            if self._tokens < 1:
                return False
            self._tokens -= 1
            return True

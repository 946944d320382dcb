"""Retries of requests: how long to wait, and how many a node may spend."""

import threading

__all__ = ["RetryBudget", "backoff_seconds"]

_INITIAL_BACKOFF_SECONDS = 0.02
_MAX_BACKOFF_SECONDS = 1.0
_TOKENS_PER_SUCCESS = 0.1
_MAX_TOKENS = 20.0


def backoff_seconds(tries: int, jitter: float) -> float:
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
    return min(_INITIAL_BACKOFF_SECONDS * 2 ** (tries - 1), _MAX_BACKOFF_SECONDS) * jitter


class RetryBudget:
    """Allows retries in proportion to successes, so that they never multiply an overload."""

    def __init__(self) -> None:
        self._tokens = _MAX_TOKENS
        self._lock = threading.Lock()

    @property
    def tokens(self) -> float:
        """Retries that may be made now."""
        return self._tokens

    def record_success(self) -> None:
        """Earn a part of a retry."""
        with self._lock:
            self._tokens = min(_MAX_TOKENS, self._tokens + _TOKENS_PER_SUCCESS)

    def try_spend(self) -> bool:
        """Spend a retry, if there is one."""
        with self._lock:
            if self._tokens < 1:
                return False
            self._tokens -= 1
            return True

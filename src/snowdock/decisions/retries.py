"""Backoff and budget for the retries of requests."""

import threading

__all__ = ["RetryBudget", "backoff_seconds"]

_INITIAL_BACKOFF_SECONDS = 0.02
_MAX_BACKOFF_SECONDS = 1.0
_TOKENS_PER_SUCCESS = 0.1
_MAX_TOKENS = 20.0


def backoff_seconds(tries: int, jitter: float) -> float:
    """Return the delay before the next try: exponential backoff with full jitter.

    Parameters
    ----------
    tries
        Number of tries made so far, at least 1.
    jitter
        A random number from 0 to 1.

    Returns
    -------
    float
        Seconds.
    """
    return min(_INITIAL_BACKOFF_SECONDS * 2 ** (tries - 1), _MAX_BACKOFF_SECONDS) * jitter


class RetryBudget:
    """Token bucket that limits retries to a share of successes, to avoid retry storms."""

    def __init__(self) -> None:
        self._tokens = _MAX_TOKENS
        self._lock = threading.Lock()

    @property
    def tokens(self) -> float:
        """Number of retries available now, including fractions."""
        return self._tokens

    def record_success(self) -> None:
        """Add the fraction of a token that a success earns."""
        with self._lock:
            self._tokens = min(_MAX_TOKENS, self._tokens + _TOKENS_PER_SUCCESS)

    def try_spend(self) -> bool:
        """Spend a token and return True, or return False if none is left."""
        with self._lock:
            if self._tokens < 1:
                return False
            self._tokens -= 1
            return True

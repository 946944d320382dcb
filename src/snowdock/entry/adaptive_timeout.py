"""A call timeout that adapts to the response times."""

__all__ = ["AdaptiveTimeout"]

_LIMIT_FACTOR = 5.0
"""The timeout as a multiple of the average response time."""

_NEWEST_WEIGHT = 0.2
"""Weight of the newest response time in the moving average."""


class AdaptiveTimeout:
    """A timeout for calls that can safely be retried.

    Parameters
    ----------
    min_s, max_s
        Bounds of the timeout, in seconds.
    """

    def __init__(self, min_s: float, max_s: float) -> None:
        self._min_s = min_s
        self._max_s = max_s
        self._average_s = 0.0

    def record_answer(self, seconds: float) -> None:
        """Record a response time, in seconds."""
        self._average_s += _NEWEST_WEIGHT * (seconds - self._average_s)

    def record_timeout(self) -> None:
        """Record a call that timed out, and double the timeout.

        With a constant timeout, each call to a server that has become slow would be abandoned
        before its answer, and would still cost the server work.
        """
        self._average_s = 2 * self.limit_s / _LIMIT_FACTOR

    @property
    def average_s(self) -> float:
        """Moving average of the response times, in seconds; 0 before the first."""
        return self._average_s

    @property
    def limit_s(self) -> float:
        """The timeout of the next call, in seconds."""
        return min(self._max_s, max(self._min_s, self._average_s * _LIMIT_FACTOR))

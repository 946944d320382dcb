"""A call timeout that adapts to the response times."""

__all__ = ["Patience"]

_FACTOR = 5.0
"""The timeout as a multiple of the average response time."""

_WEIGHT = 0.2
"""Weight of the newest response time in the moving average."""


class Patience:
    """A timeout for calls that can safely be retried.

    Parameters
    ----------
    min_s, max_s
        Bounds of the timeout, in seconds.
    """

    def __init__(self, shortest: float, longest: float) -> None:
        self._shortest = shortest
        self._longest = longest
        self._usual = 0.0

    def note(self, seconds: float) -> None:
        """Record a response time, in seconds."""
        self._usual += _WEIGHT * (seconds - self._usual)

    def miss(self) -> None:
        """Record a call that timed out, and double the timeout.

        With a constant timeout, each call to a server that has become slow would be abandoned
        before its answer, and would still cost the server work.
        """
        self._usual = 2 * self.limit / _FACTOR

    @property
    def usual(self) -> float:
        """Moving average of the response times, in seconds; 0 before the first."""
        return self._usual

    @property
    def limit(self) -> float:
        """The timeout of the next call, in seconds."""
        return min(self._longest, max(self._shortest, self._usual * _FACTOR))

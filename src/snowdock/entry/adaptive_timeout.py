"""How long to wait for a call's answer, learned from how long answers take."""

__all__ = ["AdaptiveTimeout"]

_LIMIT_FACTOR = 5.0
"""A call may take so many times as long as answers have taken lately."""

_NEWEST_WEIGHT = 0.2
"""Weight of the newest answer in the usual time."""


class AdaptiveTimeout:
    """A time limit for calls that may safely be sent again.

    Parameters
    ----------
    shortest, longest
        Its bounds, in seconds.
    """

    def __init__(self, min_s: float, max_s: float) -> None:
        self._min_s = min_s
        self._max_s = max_s
        self._average_s = 0.0

    def record_answer(self, seconds: float) -> None:
        """Take over how long an answer took."""
        self._average_s += _NEWEST_WEIGHT * (seconds - self._average_s)

    def record_timeout(self) -> None:
        """Take over that no answer came within the limit: the next one is twice as long.

        An other side that has become slow would else be given up each time before it answers,
        and be kept busy with what nobody waits for.
        """
        self._average_s = 2 * self.limit_s / _LIMIT_FACTOR

    @property
    def average_s(self) -> float:
        """How long answers have taken lately, in seconds; 0 before the first."""
        return self._average_s

    @property
    def limit_s(self) -> float:
        """The limit of the next call, in seconds."""
        return min(self._max_s, max(self._min_s, self._average_s * _LIMIT_FACTOR))

"""Results of a leader's renewals of its record in the store."""

from ..clocks import steady_seconds
from .patience import Patience

__all__ = ["CALL_SECONDS", "Renewals"]

_SHORTEST_SECONDS = 0.3
CALL_SECONDS = 1.0
"""Bounds of the timeout of one call. A renewal takes about 10 ms, and can safely be retried since
it is conditional."""

_TURNED_AWAY_TRIES = 2
"""Rejected renewals without a success in between, after which a leader reports the rejection."""

_AT_ONCE_SECONDS = 0.1
"""A renewal that fails faster counts as rejected; after a slower failure it may still arrive."""


class Renewals:
    """The renewals of one node; written by the election thread, read by others."""

    def __init__(self) -> None:
        self._patience = Patience(_SHORTEST_SECONDS, CALL_SECONDS)
        self._renewed_at = 0.0
        self._turned_away = 0

    @property
    def limit(self) -> float:
        """The timeout of the next renewal, in seconds."""
        return self._patience.limit

    @property
    def age_s(self) -> float:
        """Seconds since the start of the last renewal that was recorded."""
        return steady_seconds() - self._renewed_at

    @property
    def are_turned_away(self) -> bool:
        """Whether the store has rejected the last renewals."""
        return self._turned_away >= _TURNED_AWAY_TRIES

    def begin(self) -> None:
        """Start a term whose claim has just been recorded."""
        self._renewed_at = steady_seconds()
        self._turned_away = 0

    def succeed(self, began: float) -> None:
        """Record a successful renewal that began at a time of the steady clock."""
        self._renewed_at = began
        self._turned_away = 0
        self._patience.note(steady_seconds() - began)

    def fail(self, began: float) -> None:
        """Record a failed renewal that began at a time of the steady clock."""
        self._patience.miss()
        if steady_seconds() - began < _AT_ONCE_SECONDS:
            self._turned_away += 1

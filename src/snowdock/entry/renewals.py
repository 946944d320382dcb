"""How a leader's renewals of its record go."""

from ..clocks import steady_seconds
from .patience import Patience

__all__ = ["CALL_SECONDS", "Renewals"]

_SHORTEST_SECONDS = 0.3
CALL_SECONDS = 1.0
"""Bounds of one call: a renewal takes some 10 ms; it is conditional, so sending it again does
no harm."""

_TURNED_AWAY_TRIES = 2
"""Renewals that failed at once, one after the other, after which a leader tells that the store
turns it away; a single one may be chance."""

_AT_ONCE_SECONDS = 0.1
"""A renewal that fails sooner was turned away; one that fails later may be on its way."""


class Renewals:
    """The renewals of one node; written by the election's thread, read by others."""

    def __init__(self) -> None:
        self._patience = Patience(_SHORTEST_SECONDS, CALL_SECONDS)
        self._renewed_at = 0.0
        self._turned_away = 0

    @property
    def limit(self) -> float:
        """How long the next one may take, in seconds."""
        return self._patience.limit

    @property
    def age_s(self) -> float:
        """Seconds since the leadership was last on record."""
        return steady_seconds() - self._renewed_at

    @property
    def are_turned_away(self) -> bool:
        """Whether the store has turned the last ones away."""
        return self._turned_away >= _TURNED_AWAY_TRIES

    def begin(self) -> None:
        """Begin a leadership whose claim is on record now."""
        self._renewed_at = steady_seconds()
        self._turned_away = 0

    def succeed(self, began: float) -> None:
        """Take over that one that began at a steady time is on record."""
        self._renewed_at = began
        self._turned_away = 0
        self._patience.note(steady_seconds() - began)

    def fail(self, began: float) -> None:
        """Take over that one that began at a steady time had no good answer."""
        self._patience.miss()
        if steady_seconds() - began < _AT_ONCE_SECONDS:
            self._turned_away += 1

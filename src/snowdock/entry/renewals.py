"""How a leader's renewals of its record go."""

from ..clocks import steady_seconds
from .adaptive_timeout import AdaptiveTimeout

__all__ = ["MAX_CALL_SECONDS", "Renewals"]

_MIN_CALL_SECONDS = 0.3
MAX_CALL_SECONDS = 1.0
"""Bounds of one call: a renewal takes some 10 ms; it is conditional, so sending it again does
no harm."""

_REJECTED_RENEWALS = 2
"""Renewals that failed at once, one after the other, after which a leader tells that the store
turns it away; a single one may be chance."""

_REJECTION_SECONDS = 0.1
"""A renewal that fails sooner was turned away; one that fails later may be on its way."""


class Renewals:
    """The renewals of one node; written by the election's thread, read by others."""

    def __init__(self) -> None:
        self._timeout = AdaptiveTimeout(_MIN_CALL_SECONDS, MAX_CALL_SECONDS)
        self._renewed_at = 0.0
        self._rejected_count = 0

    @property
    def limit_s(self) -> float:
        """How long the next one may take, in seconds."""
        return self._timeout.limit_s

    @property
    def age_s(self) -> float:
        """Seconds since the leadership was last on record."""
        return steady_seconds() - self._renewed_at

    @property
    def are_rejected(self) -> bool:
        """Whether the store has turned the last ones away."""
        return self._rejected_count >= _REJECTED_RENEWALS

    def start_term(self) -> None:
        """Begin a leadership whose claim is on record now."""
        self._renewed_at = steady_seconds()
        self._rejected_count = 0

    def record_success(self, began: float) -> None:
        """Take over that one that began at a steady time is on record."""
        self._renewed_at = began
        self._rejected_count = 0
        self._timeout.record_answer(steady_seconds() - began)

    def record_failure(self, began: float) -> None:
        """Take over that one that began at a steady time had no good answer."""
        self._timeout.record_timeout()
        if steady_seconds() - began < _REJECTION_SECONDS:
            self._rejected_count += 1

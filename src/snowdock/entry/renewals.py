"""Results of a leader's renewals of its record in the store."""

from ..clocks import steady_seconds
from .adaptive_timeout import AdaptiveTimeout

__all__ = ["MAX_CALL_SECONDS", "OVERDUE_SECONDS", "Renewals"]

_MIN_CALL_SECONDS = 0.3
MAX_CALL_SECONDS = 1.0
"""Bounds of the timeout of one call. A renewal takes about 10 ms, and can safely be retried since
it is conditional."""

_REJECTED_RENEWALS = 2
"""Rejected renewals without a success in between, after which a leader reports the rejection.
A single one may be chance."""

_REJECTION_SECONDS = 0.1
"""A renewal that fails faster counts as rejected; after a slower failure it may still arrive."""

OVERDUE_SECONDS = 1.0
_OVERDUE_CALLS = 3.0
"""A renewal older than this is overdue: three are due in this time, and on a slow store one, whose
call may start just before the next is due."""


class Renewals:
    """The renewals of one node; written by the election thread, read by others."""

    def __init__(self) -> None:
        self._timeout = AdaptiveTimeout(_MIN_CALL_SECONDS, MAX_CALL_SECONDS)
        self._renewed_at = 0.0
        self._rejected_count = 0

    @property
    def limit_s(self) -> float:
        """The timeout of the next renewal, in seconds."""
        return self._timeout.limit_s

    @property
    def age_s(self) -> float:
        """Seconds since the start of the last renewal that was recorded."""
        return steady_seconds() - self._renewed_at

    @property
    def is_overdue(self) -> bool:
        """Whether the last recorded renewal is older than the store's response times explain."""
        return self.age_s > max(OVERDUE_SECONDS, _OVERDUE_CALLS * self._timeout.average_s)

    @property
    def are_rejected(self) -> bool:
        """Whether the store has rejected the last renewals."""
        return self._rejected_count >= _REJECTED_RENEWALS

    def start_term(self) -> None:
        """Start a term whose claim has just been recorded."""
        self._renewed_at = steady_seconds()
        self._rejected_count = 0

    def record_success(self, started_at: float) -> None:
        """Record a successful renewal that began at a time of the steady clock."""
        self._renewed_at = started_at
        self._rejected_count = 0
        self._timeout.record_answer(steady_seconds() - started_at)

    def record_failure(self, started_at: float) -> None:
        """Record a failed renewal that began at a time of the steady clock."""
        self._timeout.record_timeout()
        if steady_seconds() - started_at < _REJECTION_SECONDS:
            self._rejected_count += 1

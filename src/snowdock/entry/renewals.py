"""Results of a leader's renewals of its record in the store."""

from ..clocks import steady_seconds
from .adaptive_timeout import AdaptiveTimeout

__all__ = ["MAX_CALL_SECONDS", "Renewals"]

_MIN_CALL_SECONDS = 0.3
MAX_CALL_SECONDS = 1.0
"""Bounds of the timeout of one call. A renewal takes about 10 ms, and can safely be retried since
it is conditional."""

_REJECTED_RENEWALS = 2
"""Rejected renewals without a success in between, after which a leader reports the rejection."""

_MAX_LOST_ANSWERS = 3
"""Consecutive renewals whose answers may count as lost; then the store counts as slow after all."""

_FAST_CALL_SECONDS = 0.1
"""The answer to a renewal counts as lost, rather than late, if a read just after it takes less."""

_REJECTION_SECONDS = 0.1
"""A renewal that fails faster counts as rejected; after a slower failure it may still arrive."""


class Renewals:
    """The renewals of one node; written by the election thread, read by others."""

    def __init__(self) -> None:
        self._timeout = AdaptiveTimeout(_MIN_CALL_SECONDS, MAX_CALL_SECONDS)
        self._renewed_at = 0.0
        self._rejected_count = 0
        self._lost_count = 0

    @property
    def limit_s(self) -> float:
        """The timeout of the next renewal, in seconds."""
        return self._timeout.limit_s

    @property
    def age_s(self) -> float:
        """Seconds since the start of the last renewal that was recorded."""
        return steady_seconds() - self._renewed_at

    @property
    def are_rejected(self) -> bool:
        """Whether the store has rejected the last renewals."""
        return self._rejected_count >= _REJECTED_RENEWALS

    @property
    def may_be_lost(self) -> bool:
        """Whether the answer to a renewal that has just timed out may be lost rather than late."""
        return self.limit_s <= _MIN_CALL_SECONDS and self._lost_count < _MAX_LOST_ANSWERS

    def start_term(self) -> None:
        """Start a term whose claim has just been recorded."""
        self._renewed_at = steady_seconds()
        self._rejected_count = 0
        self._lost_count = 0

    def record_success(self, started_at: float) -> None:
        """Record a successful renewal that began at a time of the steady clock."""
        self._renewed_at = started_at
        self._rejected_count = 0
        self._lost_count = 0
        self._timeout.record_answer(steady_seconds() - started_at)

    def record_failure(self, started_at: float) -> None:
        """Record a failed renewal that began at a time of the steady clock."""
        self._timeout.record_timeout()
        if steady_seconds() - started_at < _REJECTION_SECONDS:
            self._rejected_count += 1

    def record_unanswered(self, read_s: float) -> bool:
        """Record a renewal without an answer and the duration of a read just after it, in seconds.

        Returns
        -------
        bool
            Whether the answer counts as lost, so that the next renewal is sent at once, with the
            same timeout. A renewal that is recorded meanwhile makes that one conflict.
        """
        is_lost = read_s <= _FAST_CALL_SECONDS
        self._lost_count += is_lost
        return is_lost

"""What a node knows of the leader on record, and how long it waits for one that is silent."""

from ..clocks import steady_seconds
from .leader_record import LeaderRecord
from .leader_signs import LeaderLiveness
from .turnover import next_turnover, timeout_factor

__all__ = ["KnownLeader"]


class KnownLeader:
    """The newest leader known, this node or another.

    Attributes
    ----------
    record
        Its newest record; None before the first.
    signs
        What was heard of it.
    is_evidently_gone
        Whether its end was evident when that was last looked at.
    """

    def __init__(self) -> None:
        self.record: LeaderRecord | None = None
        self.liveness = LeaderLiveness()
        self.is_evidently_gone = False
        self._first_seen_at = 0.0
        self._saw_term_start = False

    @property
    def timeout_factor(self) -> float:
        """How many times longer than usual it is waited for."""
        if self.record is None:
            return 1.0
        return timeout_factor(self.record.turnover, steady_seconds() - self._first_seen_at)

    @property
    def is_alive(self) -> bool:
        """Whether it has been heard of lately, and reaches the store."""
        return self.liveness.is_alive(self.timeout_factor)

    @property
    def watch_factor(self) -> float:
        """How many times longer than usual the store is watched for its renewal."""
        return max(self.timeout_factor, self.liveness.delay_factor())

    def update(self, record: LeaderRecord) -> None:
        """Take over a newer record, as it came from the store."""
        previous, self.record = self.record, record
        if previous is None or record.incarnation != previous.incarnation:
            self._first_seen_at = steady_seconds()
            self._saw_term_start = True

    def mark_unconfirmed(self) -> None:
        """Take note that the record may be old: its leader has to be heard, or seen to renew it."""
        self._saw_term_start = False
        self.liveness.mark_silent()

    def next_turnover(self) -> int:
        """Give the turnover of who takes its place."""
        if self.record is None:
            return 0
        led_s = steady_seconds() - self._first_seen_at if self._saw_term_start else None
        is_evident = self.record.resigned or self.is_evidently_gone
        return next_turnover(self.record.turnover, led_s, is_evident)

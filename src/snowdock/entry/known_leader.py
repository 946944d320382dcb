"""What a node knows of the leader on record, and how long it waits for one that is silent."""

from ..clocks import steady_seconds
from .leader_record import LeaderRecord
from .leader_signs import LeaderSigns
from .turnover import next_turnover, patience_factor

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
        self.signs = LeaderSigns()
        self.is_evidently_gone = False
        self._seen_at = 0.0
        self._was_seen_to_begin = False

    @property
    def patience_factor(self) -> float:
        """How many times longer than usual it is waited for."""
        if self.record is None:
            return 1.0
        return patience_factor(self.record.turnover, steady_seconds() - self._seen_at)

    @property
    def is_heard(self) -> bool:
        """Whether it has been heard of lately, and reaches the store."""
        return self.signs.is_heard(self.patience_factor)

    @property
    def watch_factor(self) -> float:
        """How many times longer than usual the store is watched for its renewal."""
        return max(self.patience_factor, self.signs.lateness())

    def take(self, record: LeaderRecord) -> None:
        """Take over a newer record, as it came from the store."""
        before, self.record = self.record, record
        if before is None or record.incarnation != before.incarnation:
            self._seen_at = steady_seconds()
            self._was_seen_to_begin = True

    def doubt(self) -> None:
        """Take note that the record may be old: its leader has to be heard, or seen to renew it."""
        self._was_seen_to_begin = False
        self.signs.forget()

    def next_turnover(self) -> int:
        """Give the turnover of who takes its place."""
        if self.record is None:
            return 0
        led_s = steady_seconds() - self._seen_at if self._was_seen_to_begin else None
        is_evident = self.record.resigned or self.is_evidently_gone
        return next_turnover(self.record.turnover, led_s, is_evident)

"""A node's view of the current leader: its newest record, its liveness and the timeouts for it."""

from ..clocks import steady_seconds
from .leader_record import LeaderRecord
from .leader_signs import LeaderSigns
from .turnover import next_turnover, patience_factor

__all__ = ["KnownLeader"]


class KnownLeader:
    """The newest known leader, this node or another.

    Attributes
    ----------
    record
        The leader's newest record; None before the first.
    liveness
        The heartbeats received from the leader.
    is_evidently_gone
        Whether the last check found evidence that the leader is gone.
    """

    def __init__(self) -> None:
        self.record: LeaderRecord | None = None
        self.signs = LeaderSigns()
        self.is_evidently_gone = False
        self._seen_at = 0.0
        self._was_seen_to_begin = False

    @property
    def patience_factor(self) -> float:
        """Factor by which the timeout for the leader is extended after short terms."""
        if self.record is None:
            return 1.0
        return patience_factor(self.record.turnover, steady_seconds() - self._seen_at)

    @property
    def is_heard(self) -> bool:
        """Whether the leader's heartbeats and renewals are on time."""
        return self.signs.is_heard(self.patience_factor)

    @property
    def watch_factor(self) -> float:
        """Factor by which the wait for a renewal in the store is extended."""
        return max(self.patience_factor, self.signs.lateness())

    def take(self, record: LeaderRecord) -> None:
        """Replace the record by a newer one."""
        before, self.record = self.record, record
        if before is None or record.incarnation != before.incarnation:
            self._seen_at = steady_seconds()
            self._was_seen_to_begin = True

    def doubt(self) -> None:
        """Mark the record as possibly outdated until a heartbeat or a renewal confirms it."""
        self._was_seen_to_begin = False
        self.signs.forget()

    def next_turnover(self) -> int:
        """Return the number of consecutive short terms that the leader's successor records."""
        if self.record is None:
            return 0
        led_s = steady_seconds() - self._seen_at if self._was_seen_to_begin else None
        is_evident = self.record.resigned or self.is_evidently_gone
        return next_turnover(self.record.turnover, led_s, is_evident)

"""A node's view of the current leader: its newest record, its liveness and the timeouts for it."""

from ..clocks import steady_seconds
from .leader_liveness import LeaderLiveness
from .leader_record import LeaderRecord
from .turnover import next_turnover, timeout_factor

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
        self.liveness = LeaderLiveness()
        self.is_evidently_gone = False
        self._first_seen_at = 0.0
        self._saw_term_start = False

    @property
    def timeout_factor(self) -> float:
        """Factor by which the timeout for the leader is extended after short terms."""
        if self.record is None:
            return 1.0
        return timeout_factor(self.record.turnover, steady_seconds() - self._first_seen_at)

    @property
    def is_alive(self) -> bool:
        """Whether the leader's heartbeats and renewals are on time."""
        return self.liveness.is_alive(self.timeout_factor)

    @property
    def is_heard(self) -> bool:
        """Whether the leader's heartbeats are on time."""
        return self.liveness.is_heard(self.timeout_factor)

    @property
    def renewal_wait_factor(self) -> float:
        """Factor by which the wait for a renewal in the store is extended."""
        return max(self.timeout_factor, self.liveness.delay_factor())

    def update(self, record: LeaderRecord) -> None:
        """Replace the record by a newer one."""
        previous, self.record = self.record, record
        if previous is None or record.incarnation != previous.incarnation:
            self._first_seen_at = steady_seconds()
            self._saw_term_start = True

    def mark_unconfirmed(self) -> None:
        """Mark the record as possibly outdated until a heartbeat or a renewal confirms it."""
        self._saw_term_start = False
        self.liveness.mark_silent()

    def next_turnover(self) -> int:
        """Return the number of consecutive short terms that the leader's successor records."""
        if self.record is None:
            return 0
        term_s = steady_seconds() - self._first_seen_at if self._saw_term_start else None
        is_evident = self.record.resigned or self.is_evidently_gone
        return next_turnover(self.record.turnover, term_s, is_evident)

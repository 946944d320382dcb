"""Follows the leader's records in the store: the newest one, and those appended after it."""

from collections.abc import Callable

from ..clocks import steady_seconds
from .known_leader import KnownLeader
from .leader_log import LeaderLog
from .leader_record import LeaderRecord
from .renewals import MAX_CALL_SECONDS

__all__ = ["LeaderWatch"]

_RENEWAL_WAIT_SECONDS = 0.45
_RENEWAL_WAIT_CALLS = 3
"""How long to wait for a renewal in the store before a claim: a fixed time, as one is due every
0.3 s, and a multiple of the duration of the read just before, as a slow store delays renewals."""


class LeaderWatch:
    """Watches the leaders' partition for one node.

    Parameters
    ----------
    log
        The node's read position in that partition.
    known_leader
        The newest known leader.
    on_records
        Called with the records of each read, in order.
    """

    def __init__(
        self,
        log: LeaderLog,
        known_leader: KnownLeader,
        on_records: Callable[[list[LeaderRecord]], None],
    ) -> None:
        self._log = log
        self._known_leader = known_leader
        self._on_records = on_records

    def read_newest(self) -> None:
        """Read the newest record, which may be outdated."""
        self._on_records(self._log.read_newest(MAX_CALL_SECONDS))
        self._known_leader.mark_unconfirmed()

    def read_new(self, seconds: float) -> bool:
        """Read new records; return whether there were any, or may have been."""
        records = self._log.read_new(seconds)
        if records is None:
            return True
        self._on_records(records)
        return bool(records)

    def wait_for_leader(self, seconds: float | None = None) -> bool:
        """Wait for a record of a leader, by default for the time in which a renewal is due.

        Returns
        -------
        bool
            Whether there was one, other than a resignation.
        """
        was_read = self.read_new(_RENEWAL_WAIT_SECONDS if seconds is None else seconds)
        leader = self._known_leader.record
        return was_read and not (leader and leader.resigned)

    def read_other_leader(self) -> bool:
        """Read all new records; return whether they name another leader, or may do so."""
        incarnation = self._known_leader.record.incarnation
        while self.read_new(0.0):
            if not self._log.has_position:
                return True
            if self._known_leader.record.incarnation != incarnation:
                return not self._known_leader.record.resigned
        return False

    def wait_for_renewal(self) -> bool:
        """Wait for a renewal by a leader that has not resigned; return whether one leads."""
        leader = self._known_leader.record
        if leader is None or leader.resigned:
            return False
        started_at = steady_seconds()
        # Records appended before now do not show that the leader is alive.
        if self.read_other_leader():
            return True
        if self._known_leader.record.resigned:
            return False
        call_s = steady_seconds() - started_at
        wait_s = (
            _RENEWAL_WAIT_SECONDS * self._known_leader.renewal_wait_factor
            + _RENEWAL_WAIT_CALLS * call_s
        )
        return self.wait_for_leader(wait_s) or self._known_leader.is_alive

"""Reads on record who leads: the newest record, and what is appended after it."""

from collections.abc import Callable

from ..clocks import steady_seconds
from .known_leader import KnownLeader
from .leader_log import LeaderLog
from .leader_record import LeaderRecord
from .renewals import MAX_CALL_SECONDS

__all__ = ["LeaderWatch"]

_PROBE_SECONDS = 0.45
_PROBE_CALLS = 3
"""How long the store is watched for a renewal before a claim: one is due each 0.3 s, and comes as
many times later as calls take; here a call takes what the look just before has taken."""


class LeaderWatch:
    """Watches the leaders' partition for one node.

    Parameters
    ----------
    log
        The node's place in that partition.
    known
        The newest leader known.
    take
        Called with the records of each read, in order.
    """

    def __init__(
        self, log: LeaderLog, known: KnownLeader, on_records: Callable[[list[LeaderRecord]], None]
    ) -> None:
        self._log = log
        self._known = known
        self._on_records = on_records

    def read_newest(self) -> None:
        """Read the newest record, which may be old."""
        self._on_records(self._log.read_newest(MAX_CALL_SECONDS))
        self._known.mark_unconfirmed()

    def read_new(self, seconds: float) -> bool:
        """Read the records since the last look; tell whether there were any, or may have been."""
        found = self._log.read_new(seconds)
        if found is None:
            return True
        self._on_records(found)
        return bool(found)

    def wait_for_leader(self, seconds: float | None = None) -> bool:
        """Wait for a record of a leader, as long as a renewal takes; tell whether there was one."""
        was_read = self.read_new(_PROBE_SECONDS if seconds is None else seconds)
        leader = self._known.record
        return was_read and not (leader and leader.resigned)

    def read_other_leader(self) -> bool:
        """Read what the store holds by now; tell whether it names another leader."""
        before = self._known.record.incarnation
        while self.read_new(0.0):
            if not self._log.has_position:
                return True
            if self._known.record.incarnation != before:
                return not self._known.record.resigned
        return False

    def wait_for_renewal(self) -> bool:
        """Watch for a renewal of a leader that has not resigned; tell whether it leads on."""
        leader = self._known.record
        if leader is None or leader.resigned:
            return False
        began = steady_seconds()
        # What was appended before tells nothing; only news from now on does.
        if self.read_other_leader():
            return True
        if self._known.record.resigned:
            return False
        call_s = steady_seconds() - began
        watch_s = _PROBE_SECONDS * self._known.watch_factor + _PROBE_CALLS * call_s
        return self.wait_for_leader(watch_s) or self._known.is_alive

"""Failure detection for the leader, by its heartbeats and by connecting to its address."""

import socket
from collections.abc import Callable

from ..clocks import steady_seconds
from .leader_record import Identity, LeaderRecord
from .messages import Beat
from .turnover import MOST_PATIENCE

__all__ = ["LeaderSigns", "find_evidence"]

_DUE_SECONDS = 0.2
"""Interval between a leader's heartbeats before the first one states it."""

_SILENT_BEATS = 2.0
"""Silence after which the leader counts as not alive, in heartbeat intervals."""

_MISSED_BEATS = 1.5
"""Silence after which a heartbeat counts as missed, in heartbeat intervals. The leader's port is
then probed, which takes a millisecond."""

_STALE_RENEWAL_SECONDS = 0.7
"""A leader whose last renewal is older may have lost the store: two more are due in this time."""

_GAP_FACTOR = 1.5
"""Limits are at least this multiple of the longest recent gap that ended."""

_GAP_FADING = 0.1
"""Linear decay of the longest recent gap, in seconds per second."""

_CONNECT_SECONDS = 0.2
"""Timeout of the connection attempt that probes the leader's port."""


class _WorstGap:
    """The longest recent gap between two heartbeats or renewals; decays linearly."""

    def __init__(self) -> None:
        self._seconds = 0.0
        self._noted_at = 0.0

    def note(self, seconds: float, now: float) -> None:
        """Record a gap that has ended."""
        self._seconds = max(seconds, self.at(now))
        self._noted_at = now

    def at(self, now: float) -> float:
        """Return the decayed maximum at a time, in seconds."""
        return max(0.0, self._seconds - _GAP_FADING * (now - self._noted_at))


class LeaderSigns:
    """Failure detector for one leader; written by the peer thread, read by the election thread.

    The limits adapt to the leader's recent delays, since the leader of a busy node may send
    heartbeats and renewals late without having failed.
    """

    def __init__(self) -> None:
        self._heard_at = 0.0
        self._renewed_s = 0.0
        self._due_s = _DUE_SECONDS
        self._is_turned_away = False
        self._finds_store_slow = False
        self._silence = _WorstGap()
        self._staleness = _WorstGap()

    def is_heard(self, factor: float = 1.0) -> bool:
        """Check whether the leader's heartbeats and renewals are on time, and not rejected.

        ``factor`` is the least factor by which the limits are extended.
        """
        now = steady_seconds()
        return (
            now - self._heard_at < self._longest_silence(now, factor)
            and self._renewed_s < self._oldest_renewal(now, factor)
            and not self._is_turned_away
        )

    def lateness(self) -> float:
        """Return the factor by which recent delays extend the limits."""
        now = steady_seconds()
        return max(
            self._longest_silence(now, 1.0) / self._usual_silence,
            self._oldest_renewal(now, 1.0) / _STALE_RENEWAL_SECONDS,
        )

    def _longest_silence(self, now: float, factor: float) -> float:
        usual = self._usual_silence
        learned = _GAP_FACTOR * self._silence.at(now) / usual
        return usual * max(factor, min(learned, MOST_PATIENCE))

    @property
    def _usual_silence(self) -> float:
        return _SILENT_BEATS * self._due_s

    def _oldest_renewal(self, now: float, factor: float) -> float:
        learned = _GAP_FACTOR * self._staleness.at(now) / _STALE_RENEWAL_SECONDS
        return _STALE_RENEWAL_SECONDS * max(factor, min(learned, MOST_PATIENCE))

    @property
    def finds_store_slow(self) -> bool:
        """Whether the leader's last heartbeat reported slow appends."""
        return self._finds_store_slow

    @property
    def is_turned_away(self) -> bool:
        """Whether a recent heartbeat reported that the store rejects the leader's renewals."""
        recently = steady_seconds() - self._heard_at < self._usual_silence
        return recently and self._is_turned_away

    @property
    def has_missed_a_beat(self) -> bool:
        """Whether the leader's next heartbeat is overdue."""
        return steady_seconds() - self._heard_at > _MISSED_BEATS * self._due_s

    def hear(self, beat: Beat) -> None:
        """Record a heartbeat of the leader."""
        now = steady_seconds()
        if self._heard_at:
            self._silence.note(now - self._heard_at, now)
        if beat.renewed_s < self._renewed_s and not self._is_turned_away:
            # A smaller age means a renewal in between; the last known age is its gap.
            self._staleness.note(self._renewed_s, now)
        self._heard_at = now
        self._due_s = beat.due_s
        self._renewed_s = beat.renewed_s
        self._is_turned_away = beat.turned_away
        self._finds_store_slow = beat.store_is_slow

    def expect(self) -> None:
        """Reset all limits for a new leader, and start the wait for its first heartbeat."""
        self._silence = _WorstGap()
        self._staleness = _WorstGap()
        self._heard_at = steady_seconds()
        self._renewed_s = 0.0
        self._is_turned_away = False
        self._finds_store_slow = False

    def forget(self) -> None:
        """Discard the last heartbeat: the leader has resigned, or its record may be outdated."""
        self._heard_at = 0.0
        self._renewed_s = 0.0
        self._is_turned_away = False


def find_evidence(
    leader: LeaderRecord,
    identity: Identity,
    signs: LeaderSigns,
    reaches_store: Callable[[], bool],
) -> str | None:
    """Return the evidence that a leader is gone; None if there is none.

    Parameters
    ----------
    leader
        The leader on record, which has not resigned.
    identity
        The identity of this node.
    signs
        The heartbeats received from the leader.
    reaches_store
        Returns whether the store has answered this node recently.

    Returns
    -------
    str or None
        The reason to log.
    """
    if leader.incarnation == identity.incarnation:
        return None
    if leader.node == identity.node:
        return "its process on this node has been replaced"
    if signs.is_turned_away and reaches_store():
        return "the store rejects its renewals"
    if signs.has_missed_a_beat and _refuses_connections(leader):
        return "no process listens at its address"
    return None


def _refuses_connections(leader: LeaderRecord) -> bool:
    """Check whether the leader's host refuses connections to the leader's port."""
    host, _, port = leader.address.rpartition(":")
    try:
        with socket.create_connection((host, int(port)), _CONNECT_SECONDS):
            return False
    except ConnectionRefusedError:
        return True
    except OSError:
        # A timeout is no evidence: the VM may be partitioned, and its process still running.
        return False

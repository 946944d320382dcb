"""Failure detection for the leader, by its heartbeats and by connecting to its address."""

import socket
from collections.abc import Callable

from ..clocks import steady_seconds
from ..errors import PlatformError
from ..platform.addresses import split_address
from .leader_record import LeaderRecord, NodeIdentity
from .messages import Heartbeat
from .renewals import OVERDUE_SECONDS

__all__ = ["LeaderLiveness", "find_end_evidence"]

_DEFAULT_HEARTBEAT_SECONDS = 0.2
"""Interval between a leader's heartbeats before the first one states it."""

_SILENCE_HEARTBEATS = 2.0
"""Silence after which the leader counts as not alive, in heartbeat intervals."""

_MISSED_HEARTBEAT_FACTOR = 1.5
"""Silence after which a heartbeat counts as missed, in heartbeat intervals. The leader's port is
then probed, which takes a millisecond."""

_MAX_RENEWAL_AGE_SECONDS = 0.7
"""A leader whose last renewal is older may have lost the store: two more are due in this time."""

_GAP_FACTOR = 1.5
"""Limits are at least this multiple of the longest recent gap that ended."""

_MAX_ADAPTED_LIMIT_SECONDS = 3.4
"""Upper bound of the limits that follow gaps: a takeover takes no longer, so replacing the leader
costs callers less than any longer wait for it."""

_GAP_DECAY_PER_SECOND = 0.1
"""Linear decay of the longest recent gap, in seconds per second."""

_CONNECT_TIMEOUT_SECONDS = 0.2
"""Timeout of the connection attempt that probes the leader's port."""


class _DecayingMaximum:
    """The longest recent gap between two heartbeats or renewals; decays linearly."""

    def __init__(self) -> None:
        self._seconds = 0.0
        self._recorded_at = 0.0

    def record(self, seconds: float, now: float) -> None:
        """Record a gap that has ended."""
        self._seconds = max(seconds, self.value_at(now))
        self._recorded_at = now

    def value_at(self, now: float) -> float:
        """Return the decayed maximum at a time, in seconds."""
        return max(0.0, self._seconds - _GAP_DECAY_PER_SECOND * (now - self._recorded_at))


class LeaderLiveness:
    """Failure detector for one leader; written by the peer thread, read by the election thread.

    The limits adapt to the leader's recent delays, since the leader of a busy node may send
    heartbeats and renewals late without having failed.
    """

    def __init__(self) -> None:
        self._last_heartbeat_at = 0.0
        self._renewal_age_s = 0.0
        self._due_s = _DEFAULT_HEARTBEAT_SECONDS
        self._renewals_rejected = False
        self._store_is_slow = False
        self._longest_heartbeat_gap = _DecayingMaximum()
        self._longest_renewal_gap = _DecayingMaximum()

    def is_heard(self, factor: float = 1.0) -> bool:
        """Check whether the leader's heartbeats are on time, with limits extended by a factor."""
        now = steady_seconds()
        return now - self._last_heartbeat_at < self._silence_limit(now, factor)

    def is_alive(self, factor: float = 1.0) -> bool:
        """Check whether the leader's heartbeats and renewals are on time, and not rejected.

        ``factor`` is the least factor by which the limits are extended.
        """
        now = steady_seconds()
        return (
            self.is_heard(factor)
            and self._renewal_age_s < self._renewal_age_limit(now, factor)
            and not self._renewals_rejected
        )

    def delay_factor(self) -> float:
        """Return the factor by which recent delays extend the limits."""
        now = steady_seconds()
        return max(
            self._silence_limit(now, 1.0) / self._base_silence_limit,
            self._renewal_age_limit(now, 1.0) / _MAX_RENEWAL_AGE_SECONDS,
        )

    def _silence_limit(self, now: float, factor: float) -> float:
        adapted_limit = _adapted_limit(self._longest_heartbeat_gap.value_at(now))
        return max(self._base_silence_limit * factor, adapted_limit)

    @property
    def _base_silence_limit(self) -> float:
        return _SILENCE_HEARTBEATS * self._due_s

    def _renewal_age_limit(self, now: float, factor: float) -> float:
        adapted_limit = _adapted_limit(self._longest_renewal_gap.value_at(now))
        return max(_MAX_RENEWAL_AGE_SECONDS * factor, adapted_limit)

    @property
    def renewal_is_overdue(self) -> bool:
        """Whether the leader is alive, but has reported a renewal older than the store explains.

        The limit follows recent gaps between renewals, which are longer on a slow store.
        """
        now = steady_seconds()
        limit_s = max(OVERDUE_SECONDS, self._renewal_age_limit(now, 1.0))
        return self.is_heard() and self._renewal_age_s > limit_s

    @property
    def store_is_slow(self) -> bool:
        """Whether the leader's last heartbeat reported slow appends."""
        return self._store_is_slow

    @property
    def renewals_rejected(self) -> bool:
        """Whether a recent heartbeat reported that the store rejects the leader's renewals."""
        recently = steady_seconds() - self._last_heartbeat_at < self._base_silence_limit
        return recently and self._renewals_rejected

    @property
    def has_missed_heartbeat(self) -> bool:
        """Whether the leader's next heartbeat is overdue."""
        return steady_seconds() - self._last_heartbeat_at > _MISSED_HEARTBEAT_FACTOR * self._due_s

    def record_heartbeat(self, heartbeat: Heartbeat) -> None:
        """Record a heartbeat of the leader."""
        now = steady_seconds()
        if self._last_heartbeat_at:
            self._longest_heartbeat_gap.record(now - self._last_heartbeat_at, now)
        if heartbeat.renewal_age_s < self._renewal_age_s and not self._renewals_rejected:
            # A smaller age means a renewal in between; the last known age is its gap.
            self._longest_renewal_gap.record(self._renewal_age_s, now)
        self._last_heartbeat_at = now
        self._due_s = heartbeat.due_s
        self._renewal_age_s = heartbeat.renewal_age_s
        self._renewals_rejected = heartbeat.renewals_rejected
        self._store_is_slow = heartbeat.store_is_slow

    def start_term(self) -> None:
        """Reset all limits for a new leader, and start the wait for its first heartbeat."""
        self._longest_heartbeat_gap = _DecayingMaximum()
        self._longest_renewal_gap = _DecayingMaximum()
        self._last_heartbeat_at = steady_seconds()
        self._renewal_age_s = 0.0
        self._renewals_rejected = False
        self._store_is_slow = False

    def mark_silent(self) -> None:
        """Discard the last heartbeat: the leader has resigned, or its record may be outdated."""
        self._last_heartbeat_at = 0.0
        self._renewal_age_s = 0.0
        self._renewals_rejected = False


def _adapted_limit(longest_gap_s: float) -> float:
    """Return the limit that follows from the longest recent gap, in seconds."""
    return min(_GAP_FACTOR * longest_gap_s, _MAX_ADAPTED_LIMIT_SECONDS)


def find_end_evidence(
    leader: LeaderRecord,
    identity: NodeIdentity,
    liveness: LeaderLiveness,
    reaches_store: Callable[[], bool],
) -> str | None:
    """Return the evidence that a leader is gone; None if there is none.

    Parameters
    ----------
    leader
        The leader on record, which has not resigned.
    identity
        The identity of this node.
    liveness
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
    if liveness.renewals_rejected and reaches_store():
        return "the store rejects its renewals"
    if liveness.has_missed_heartbeat and _refuses_connections(leader):
        return "no process listens at its address"
    return None


def _refuses_connections(leader: LeaderRecord) -> bool:
    """Check whether the leader's host refuses connections to the leader's port."""
    try:
        with socket.create_connection(split_address(leader.address), _CONNECT_TIMEOUT_SECONDS):
            return False
    except ConnectionRefusedError:
        return True
    except OSError:
        # A timeout is no evidence: the VM may be partitioned, and its process still running.
        return False
    except PlatformError:
        # An address that cannot be connected to is no evidence either.
        return False

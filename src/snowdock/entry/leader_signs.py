"""What tells a follower whether the leader still leads: its heartbeats, and its address."""

import socket
from collections.abc import Callable

from ..clocks import steady_seconds
from .leader_record import LeaderRecord, NodeIdentity
from .messages import Heartbeat
from .turnover import MAX_TIMEOUT_FACTOR

__all__ = ["LeaderLiveness", "find_end_evidence"]

_DEFAULT_HEARTBEAT_SECONDS = 0.2
"""When a leader's next heartbeat is due where it does not tell."""

_SILENCE_HEARTBEATS = 2.0
"""Where so many heartbeats that are due have not come, the leader may be gone."""

_MISSED_HEARTBEAT_FACTOR = 1.5
"""After this, one heartbeat is missing: it is worth a look whether the leader's process is there at
all, which takes a millisecond."""

_MAX_RENEWAL_AGE_SECONDS = 0.7
"""A leader whose own renewal is this old may have lost the store: two are due meanwhile."""

_GAP_FACTOR = 1.5
"""A leader that has been late and came back is waited for so many times as long again."""

_GAP_DECAY_PER_SECOND = 0.1
"""By how many seconds a second such a gap is forgotten."""

_CONNECT_TIMEOUT_SECONDS = 0.2
"""How long the look for the leader's process may take."""


class _DecayingMaximum:
    """The longest gap lately after which a sign did come; it fades."""

    def __init__(self) -> None:
        self._seconds = 0.0
        self._recorded_at = 0.0

    def record(self, seconds: float, now: float) -> None:
        """Take over a gap that is over."""
        self._seconds = max(seconds, self.value_at(now))
        self._recorded_at = now

    def value_at(self, now: float) -> float:
        """Give the gap, in seconds."""
        return max(0.0, self._seconds - _GAP_DECAY_PER_SECOND * (now - self._recorded_at))


class LeaderLiveness:
    """The newest signs of a leader; written by the thread that hears, read by the election's.

    How late they may be follows from how late the leader's own have come: one on a busy node is
    late now and then, and leads on.
    """

    def __init__(self) -> None:
        self._last_heartbeat_at = 0.0
        self._renewal_age_s = 0.0
        self._due_s = _DEFAULT_HEARTBEAT_SECONDS
        self._renewals_rejected = False
        self._store_is_slow = False
        self._longest_heartbeat_gap = _DecayingMaximum()
        self._longest_renewal_gap = _DecayingMaximum()

    def is_alive(self, factor: float = 1.0) -> bool:
        """Tell whether the leader has been heard of lately, and reaches the store.

        ``factor`` is how many times longer than usual it is waited for.
        """
        now = steady_seconds()
        return (
            now - self._last_heartbeat_at < self._silence_limit(now, factor)
            and self._renewal_age_s < self._renewal_age_limit(now, factor)
            and not self._renewals_rejected
        )

    def delay_factor(self) -> float:
        """Give how many times longer than usual the leader's signs have taken lately."""
        now = steady_seconds()
        return max(
            self._silence_limit(now, 1.0) / self._base_silence_limit,
            self._renewal_age_limit(now, 1.0) / _MAX_RENEWAL_AGE_SECONDS,
        )

    def _silence_limit(self, now: float, factor: float) -> float:
        base_limit = self._base_silence_limit
        adaptive_factor = _GAP_FACTOR * self._longest_heartbeat_gap.value_at(now) / base_limit
        return base_limit * max(factor, min(adaptive_factor, MAX_TIMEOUT_FACTOR))

    @property
    def _base_silence_limit(self) -> float:
        return _SILENCE_HEARTBEATS * self._due_s

    def _renewal_age_limit(self, now: float, factor: float) -> float:
        adaptive_factor = (
            _GAP_FACTOR * self._longest_renewal_gap.value_at(now) / _MAX_RENEWAL_AGE_SECONDS
        )
        return _MAX_RENEWAL_AGE_SECONDS * max(factor, min(adaptive_factor, MAX_TIMEOUT_FACTOR))

    @property
    def store_is_slow(self) -> bool:
        """Whether the leader has told with its last heartbeat that its appends take long."""
        return self._store_is_slow

    @property
    def renewals_rejected(self) -> bool:
        """Whether the leader has told lately that the store turns it away."""
        recently = steady_seconds() - self._last_heartbeat_at < self._base_silence_limit
        return recently and self._renewals_rejected

    @property
    def has_missed_heartbeat(self) -> bool:
        """Whether a heartbeat is missing."""
        return steady_seconds() - self._last_heartbeat_at > _MISSED_HEARTBEAT_FACTOR * self._due_s

    def record_heartbeat(self, beat: Heartbeat) -> None:
        """Take a heartbeat of the leader over."""
        now = steady_seconds()
        if self._last_heartbeat_at:
            self._longest_heartbeat_gap.record(now - self._last_heartbeat_at, now)
        if beat.renewal_age_s < self._renewal_age_s and not self._renewals_rejected:
            # It has renewed meanwhile, this late.
            self._longest_renewal_gap.record(self._renewal_age_s, now)
        self._last_heartbeat_at = now
        self._due_s = beat.due_s
        self._renewal_age_s = beat.renewal_age_s
        self._renewals_rejected = beat.renewals_rejected
        self._store_is_slow = beat.store_is_slow

    def start_term(self) -> None:
        """Give a leader that was just elected the time for its first heartbeat."""
        self._longest_heartbeat_gap = _DecayingMaximum()
        self._longest_renewal_gap = _DecayingMaximum()
        self._last_heartbeat_at = steady_seconds()
        self._renewal_age_s = 0.0
        self._renewals_rejected = False
        self._store_is_slow = False

    def mark_silent(self) -> None:
        """Take the leader as not heard: it has resigned, or what is known of it may be old."""
        self._last_heartbeat_at = 0.0
        self._renewal_age_s = 0.0
        self._renewals_rejected = False


def find_end_evidence(
    leader: LeaderRecord,
    identity: NodeIdentity,
    signs: LeaderLiveness,
    reaches_store: Callable[[], bool],
) -> str | None:
    """Tell by what it is evident that a leader leads no more; None where by nothing.

    Parameters
    ----------
    leader
        The leader on record, which has not resigned.
    identity
        This node.
    signs
        What was heard of the leader.
    reaches_store
        Whether the store has answered this node lately.
    """
    if leader.incarnation == identity.incarnation:
        return None
    if leader.node == identity.node:
        return "its process on this node has been replaced"
    if signs.renewals_rejected and reaches_store():
        return "the store turns it away"
    if signs.has_missed_heartbeat and _refuses_connections(leader):
        return "no process listens at its address"
    return None


def _refuses_connections(leader: LeaderRecord) -> bool:
    """Tell whether no process listens at a leader's address, though its machine is reached."""
    host, _, port = leader.address.rpartition(":")
    try:
        with socket.create_connection((host, int(port)), _CONNECT_TIMEOUT_SECONDS):
            return False
    except ConnectionRefusedError:
        return True
    except OSError:
        # No answer tells nothing: the machine may be cut off, and its process run on.
        return False

"""What tells a follower whether the leader still leads: its heartbeats, and its address."""

import socket
from collections.abc import Callable

from ..clocks import steady_seconds
from .leader_record import Identity, LeaderRecord
from .messages import Beat
from .turnover import MOST_PATIENCE

__all__ = ["LeaderSigns", "find_evidence"]

_DUE_SECONDS = 0.2
"""When a leader's next heartbeat is due where it does not tell."""

_SILENT_BEATS = 2.0
"""Where so many heartbeats that are due have not come, the leader may be gone."""

_MISSED_BEATS = 1.5
"""After this, one heartbeat is missing: it is worth a look whether the leader's process is there at
all, which takes a millisecond."""

_STALE_RENEWAL_SECONDS = 0.7
"""A leader whose own renewal is this old may have lost the store: two are due meanwhile."""

_GAP_FACTOR = 1.5
"""A leader that has been late and came back is waited for so many times as long again."""

_GAP_FADING = 0.1
"""By how many seconds a second such a gap is forgotten."""

_CONNECT_SECONDS = 0.2
"""How long the look for the leader's process may take."""


class _WorstGap:
    """The longest gap lately after which a sign did come; it fades."""

    def __init__(self) -> None:
        self._seconds = 0.0
        self._noted_at = 0.0

    def note(self, seconds: float, now: float) -> None:
        """Take over a gap that is over."""
        self._seconds = max(seconds, self.at(now))
        self._noted_at = now

    def at(self, now: float) -> float:
        """Give the gap, in seconds."""
        return max(0.0, self._seconds - _GAP_FADING * (now - self._noted_at))


class LeaderSigns:
    """The newest signs of a leader; written by the thread that hears, read by the election's.

    How late they may be follows from how late the leader's own have come: one on a busy node is
    late now and then, and leads on.
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
        """Tell whether the leader has been heard of lately, and reaches the store.

        ``factor`` is how many times longer than usual it is waited for.
        """
        now = steady_seconds()
        return (
            now - self._heard_at < self._longest_silence(now, factor)
            and self._renewed_s < self._oldest_renewal(now, factor)
            and not self._is_turned_away
        )

    def lateness(self) -> float:
        """Give how many times longer than usual the leader's signs have taken lately."""
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
        """Whether the leader has told with its last heartbeat that its appends take long."""
        return self._finds_store_slow

    @property
    def is_turned_away(self) -> bool:
        """Whether the leader has told lately that the store turns it away."""
        recently = steady_seconds() - self._heard_at < self._usual_silence
        return recently and self._is_turned_away

    @property
    def has_missed_a_beat(self) -> bool:
        """Whether a heartbeat is missing."""
        return steady_seconds() - self._heard_at > _MISSED_BEATS * self._due_s

    def hear(self, beat: Beat) -> None:
        """Take a heartbeat of the leader over."""
        now = steady_seconds()
        if self._heard_at:
            self._silence.note(now - self._heard_at, now)
        if beat.renewed_s < self._renewed_s and not self._is_turned_away:
            # It has renewed meanwhile, this late.
            self._staleness.note(self._renewed_s, now)
        self._heard_at = now
        self._due_s = beat.due_s
        self._renewed_s = beat.renewed_s
        self._is_turned_away = beat.turned_away
        self._finds_store_slow = beat.store_is_slow

    def expect(self) -> None:
        """Give a leader that was just elected the time for its first heartbeat."""
        self._silence = _WorstGap()
        self._staleness = _WorstGap()
        self._heard_at = steady_seconds()
        self._renewed_s = 0.0
        self._is_turned_away = False
        self._finds_store_slow = False

    def forget(self) -> None:
        """Take the leader as not heard: it has resigned, or what is known of it may be old."""
        self._heard_at = 0.0
        self._renewed_s = 0.0
        self._is_turned_away = False


def find_evidence(
    leader: LeaderRecord,
    identity: Identity,
    signs: LeaderSigns,
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
    if signs.is_turned_away and reaches_store():
        return "the store turns it away"
    if signs.has_missed_a_beat and _refuses_connections(leader):
        return "no process listens at its address"
    return None


def _refuses_connections(leader: LeaderRecord) -> bool:
    """Tell whether no process listens at a leader's address, though its machine is reached."""
    host, _, port = leader.address.rpartition(":")
    try:
        with socket.create_connection((host, int(port)), _CONNECT_SECONDS):
            return False
    except ConnectionRefusedError:
        return True
    except OSError:
        # No answer tells nothing: the machine may be cut off, and its process run on.
        return False

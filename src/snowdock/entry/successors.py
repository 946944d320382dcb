"""Choice of the peer to which a leader on a weak node hands over."""

import dataclasses
import threading

from .messages import Heartbeat

__all__ = ["SuccessorTracker"]

_MIN_DELAY_ADVANTAGE_SECONDS = 0.1
"""A peer is stronger if its claim delay is shorter by this much, a quarter of the longest delay."""

_MIN_STABLE_SECONDS = 1.5
"""How long a peer must have sent heartbeats without a gap. A handover to a peer that restarts
repeatedly would soon be followed by another change of leader."""

_MAX_GAP_SECONDS = 0.95
"""The longest silence that is not a gap; a heartbeat is due every 0.6 s."""

_MAX_AGE_WHILE_LATE_SECONDS = 0.6
"""While this node itself is late, a successor's last heartbeat must not be older. If all nodes slow
down at once, older heartbeats do not state the peers' lag."""

_MAX_GAP_WHILE_LATE_SECONDS = 3.0
"""The same while this node itself is late: it reads the heartbeats late, and the peers renew their
connections to it after 2 s without confirmation."""


@dataclasses.dataclass(slots=True)
class _Peer:
    """A peer: start of its heartbeats without a gap, last one, and claim delay."""

    stable_since: float
    last_heartbeat_at: float
    claim_delay_s: float


class SuccessorTracker:
    """The peers that send a node heartbeats; read and written by two threads."""

    def __init__(self) -> None:
        self._peers: dict[str, _Peer] = {}
        self._lock = threading.Lock()

    def record_heartbeat(self, heartbeat: Heartbeat, now: float, is_late: bool = False) -> None:
        """Record a peer's heartbeat.

        Parameters
        ----------
        heartbeat
            The heartbeat.
        now
            The steady clock in seconds.
        is_late
            Whether this node was late with its own work in the last seconds.
        """
        with self._lock:
            if not heartbeat.reaches_store:
                self._peers.pop(heartbeat.node, None)
                return
            known = self._peers.get(heartbeat.node)
            max_gap_s = _MAX_GAP_WHILE_LATE_SECONDS if is_late else _MAX_GAP_SECONDS
            if known is None or now - known.last_heartbeat_at > max_gap_s:
                self._peers[heartbeat.node] = _Peer(now, now, heartbeat.claim_delay_s)
                return
            known.last_heartbeat_at = now
            known.claim_delay_s = heartbeat.claim_delay_s

    def choose_successor(
        self, now: float, claim_delay_s: float, is_late: bool = False
    ) -> str | None:
        """Return the strongest peer without heartbeat gaps; None if no peer is stronger.

        Parameters
        ----------
        now
            The steady clock in seconds.
        claim_delay_s
            How long this node waits before a claim, to let stronger nodes claim first, in seconds.
        is_late
            Whether this node was late with its own work in the last seconds.
        """
        max_age_s = _MAX_AGE_WHILE_LATE_SECONDS if is_late else _MAX_GAP_SECONDS
        with self._lock:
            stable = [
                (peer.claim_delay_s, node)
                for node, peer in self._peers.items()
                if peer.claim_delay_s + _MIN_DELAY_ADVANTAGE_SECONDS <= claim_delay_s
                and now - peer.last_heartbeat_at <= max_age_s
                and peer.last_heartbeat_at - peer.stable_since >= _MIN_STABLE_SECONDS
            ]
        return min(stable)[1] if stable else None

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


@dataclasses.dataclass(slots=True)
class _StrongerPeer:
    """A stronger peer: the start of its heartbeats without a gap, the last one, its claim delay."""

    stable_since: float
    last_heard_at: float
    claim_delay_s: float


class SuccessorTracker:
    """The stronger peers that send a node heartbeats; read and written by two threads.

    Parameters
    ----------
    claim_delay_s
        How long this node waits before a claim, to let stronger nodes claim first, in seconds.
    """

    def __init__(self, claim_delay_s: float) -> None:
        self._claim_delay_s = claim_delay_s
        self._stronger_peers: dict[str, _StrongerPeer] = {}
        self._lock = threading.Lock()

    def record_heartbeat(self, heartbeat: Heartbeat, now: float) -> None:
        """Record a peer's heartbeat; ``now`` is the steady clock in seconds."""
        is_stronger = heartbeat.claim_delay_s + _MIN_DELAY_ADVANTAGE_SECONDS <= self._claim_delay_s
        with self._lock:
            if not is_stronger or not heartbeat.reaches_store:
                self._stronger_peers.pop(heartbeat.node, None)
                return
            known = self._stronger_peers.get(heartbeat.node)
            if known is None or now - known.last_heard_at > _MAX_GAP_SECONDS:
                self._stronger_peers[heartbeat.node] = _StrongerPeer(
                    now, now, heartbeat.claim_delay_s
                )
                return
            known.last_heard_at = now
            known.claim_delay_s = heartbeat.claim_delay_s

    def choose_successor(self, now: float) -> str | None:
        """Return the strongest peer without heartbeat gaps; None if there is none."""
        with self._lock:
            stable = [
                (peer.claim_delay_s, node)
                for node, peer in self._stronger_peers.items()
                if now - peer.last_heard_at <= _MAX_GAP_SECONDS
                and peer.last_heard_at - peer.stable_since >= _MIN_STABLE_SECONDS
            ]
        return min(stable)[1] if stable else None

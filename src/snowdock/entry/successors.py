"""To whom a leader on a weak node should hand over: a stronger peer that is steadily heard."""

import dataclasses
import threading

from .messages import Heartbeat

__all__ = ["SuccessorTracker"]

_MIN_DELAY_ADVANTAGE_SECONDS = 0.1
"""A peer whose claim delay is shorter by this much can bear clearly more: a quarter of the scale
on which the weakest nodes wait for 0.4 s."""

_MIN_STABLE_SECONDS = 1.5
"""How long a peer must have been heard without a break: one that is restarted again and again
would make each handover the first of two."""

_MAX_GAP_SECONDS = 0.95
"""A longer silence is a break; a heartbeat is due each 0.6 s."""


@dataclasses.dataclass(slots=True)
class _StrongerPeer:
    """Since when a stronger peer is heard without a break, until when, and its claim delay."""

    stable_since: float
    last_heard_at: float
    claim_delay_s: float


class SuccessorTracker:
    """The stronger peers that a node hears; read and written by two threads.

    Parameters
    ----------
    claim_delay_s
        How long this node leaves it to stronger ones to claim, in seconds.
    """

    def __init__(self, claim_delay_s: float) -> None:
        self._claim_delay_s = claim_delay_s
        self._stronger_peers: dict[str, _StrongerPeer] = {}
        self._lock = threading.Lock()

    def record_heartbeat(self, beat: Heartbeat, now: float) -> None:
        """Take a peer's heartbeat over; ``now`` is the steady clock in seconds."""
        is_stronger = beat.claim_delay_s + _MIN_DELAY_ADVANTAGE_SECONDS <= self._claim_delay_s
        with self._lock:
            if not is_stronger or not beat.reaches_store:
                self._stronger_peers.pop(beat.node, None)
                return
            known = self._stronger_peers.get(beat.node)
            if known is None or now - known.last_heard_at > _MAX_GAP_SECONDS:
                self._stronger_peers[beat.node] = _StrongerPeer(now, now, beat.claim_delay_s)
                return
            known.last_heard_at = now
            known.claim_delay_s = beat.claim_delay_s

    def choose_successor(self, now: float) -> str | None:
        """Give the strongest peer that is steadily heard; None where there is none."""
        with self._lock:
            stable = [
                (peer.claim_delay_s, node)
                for node, peer in self._stronger_peers.items()
                if now - peer.last_heard_at <= _MAX_GAP_SECONDS
                and peer.last_heard_at - peer.stable_since >= _MIN_STABLE_SECONDS
            ]
        return min(stable)[1] if stable else None

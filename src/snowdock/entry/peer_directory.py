"""Which peers were heard of lately, and where they connect."""

import dataclasses
import heapq
import threading

from ..clocks import steady_seconds
from .messages import Heartbeat

__all__ = ["PeerDirectory"]

_LIVE_SECONDS = 1.3
"""A peer without a heartbeat for this long is given nothing to do; two are due."""

_FORGET_SECONDS = 10.0
"""A peer without a heartbeat for this long is not connected to any more."""


@dataclasses.dataclass(frozen=True, slots=True)
class _Peer:
    """When a peer was heard last, where it connects, and how long it leaves claims to others."""

    heard_at: float
    address: str
    claim_delay_s: float


class PeerDirectory:
    """The last heartbeat of each peer; read and written by many threads."""

    def __init__(self) -> None:
        self._peers: dict[str, _Peer] = {}
        self._lock = threading.Lock()

    def record_heartbeat(self, beat: Heartbeat) -> bool:
        """Take a heartbeat over; tell whether the peer or its address is new."""
        with self._lock:
            known = self._peers.get(beat.node)
            self._peers[beat.node] = _Peer(steady_seconds(), beat.address, beat.claim_delay_s)
        return known is None or known.address != beat.address

    def addresses(self) -> dict[str, str]:
        """Give the addresses of all peers, by name."""
        oldest = steady_seconds() - _FORGET_SECONDS
        with self._lock:
            for node, peer in list(self._peers.items()):
                if peer.heard_at < oldest:
                    del self._peers[node]
            return {node: peer.address for node, peer in self._peers.items()}

    def live_peers(self) -> list[str]:
        """Give the names of the peers that can be given something to do."""
        return [node for node, _ in self._live_peer_delays()]

    def strongest_peers(self, max_count: int) -> set[str]:
        """Give the names of the live peers that would claim the lead first, so many at most."""
        found = heapq.nsmallest(
            max_count, self._live_peer_delays(), key=lambda peer: (peer[1], peer[0])
        )
        return {node for node, _ in found}

    def _live_peer_delays(self) -> list[tuple[str, float]]:
        oldest = steady_seconds() - _LIVE_SECONDS
        with self._lock:
            return [
                (node, peer.claim_delay_s)
                for node, peer in self._peers.items()
                if peer.heard_at > oldest
            ]

"""The peers that have sent heartbeats recently, and their addresses."""

import dataclasses
import heapq
import threading

from ..clocks import steady_seconds
from .messages import Heartbeat

__all__ = ["LIVE_SECONDS", "PeerDirectory"]

LIVE_SECONDS = 1.3
"""A peer without a heartbeat for this long is not live; two are due in this time."""

_FORGET_SECONDS = 10.0
"""A peer without a heartbeat for this long is removed from the directory."""


@dataclasses.dataclass(frozen=True, slots=True)
class _Peer:
    """The time of a peer's last heartbeat, and what it stated."""

    last_heartbeat_at: float
    address: str
    claim_delay_s: float
    reads_all_progress: bool


class PeerDirectory:
    """The last heartbeat of each peer; thread-safe."""

    def __init__(self) -> None:
        self._peers: dict[str, _Peer] = {}
        self._lock = threading.Lock()

    def record_heartbeat(self, heartbeat: Heartbeat) -> bool:
        """Record a heartbeat; return whether the peer or its address is new."""
        with self._lock:
            known = self._peers.get(heartbeat.node)
            self._peers[heartbeat.node] = _Peer(
                steady_seconds(),
                heartbeat.address,
                heartbeat.claim_delay_s,
                heartbeat.reads_all_progress,
            )
        return known is None or known.address != heartbeat.address

    def addresses(self) -> dict[str, str]:
        """Return the addresses of all peers by name, except those without recent heartbeats."""
        with self._lock:
            self._remove_old_peers()
            return {node: peer.address for node, peer in self._peers.items()}

    def all_read_progress(self) -> bool:
        """Check whether no peer is of a version that reads only the first progress partition."""
        with self._lock:
            self._remove_old_peers()
            return all(peer.reads_all_progress for peer in self._peers.values())

    def _remove_old_peers(self) -> None:
        oldest = steady_seconds() - _FORGET_SECONDS
        for node, peer in list(self._peers.items()):
            if peer.last_heartbeat_at < oldest:
                del self._peers[node]

    def live_peers(self) -> list[str]:
        """Return the names of the live peers."""
        return [node for node, _ in self._live_peer_delays()]

    def strongest_peers(self, max_count: int) -> set[str]:
        """Return up to ``max_count`` names of live peers, those with the shortest claim delays."""
        strongest = heapq.nsmallest(
            max_count, self._live_peer_delays(), key=lambda peer: (peer[1], peer[0])
        )
        return {node for node, _ in strongest}

    def _live_peer_delays(self) -> list[tuple[str, float]]:
        oldest = steady_seconds() - LIVE_SECONDS
        with self._lock:
            return [
                (node, peer.claim_delay_s)
                for node, peer in self._peers.items()
                if peer.last_heartbeat_at > oldest
            ]

"""Which peers were heard of lately, and where they connect."""

import threading
import time

from .messages import Beat

__all__ = ["PeerBook"]

_LIVE_SECONDS = 1.0
"""A peer without a heartbeat for this long is given nothing to do; five are due."""

_FORGET_SECONDS = 10.0
"""A peer without a heartbeat for this long is not connected to any more."""


class PeerBook:
    """The last heartbeat of each peer; read and written by many threads."""

    def __init__(self) -> None:
        self._beats: dict[str, tuple[float, str]] = {}
        self._lock = threading.Lock()

    def note(self, beat: Beat) -> bool:
        """Take a heartbeat over; tell whether the peer or its address is new."""
        now = time.monotonic()
        with self._lock:
            known = self._beats.get(beat.node)
            self._beats[beat.node] = (now, beat.address)
            for node, (heard_at, _) in list(self._beats.items()):
                if now - heard_at > _FORGET_SECONDS:
                    del self._beats[node]
        return known is None or known[1] != beat.address

    def addresses(self) -> dict[str, str]:
        """Give the addresses of all peers, by name."""
        with self._lock:
            return {node: address for node, (_, address) in self._beats.items()}

    def live(self) -> list[str]:
        """Give the names of the peers that can be given something to do."""
        now = time.monotonic()
        with self._lock:
            return [
                node
                for node, (heard_at, _) in self._beats.items()
                if now - heard_at < _LIVE_SECONDS
            ]

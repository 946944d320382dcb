"""Choice of the peer to which a leader on a weak node transfers its leadership."""

import dataclasses
import threading

from .messages import Beat

__all__ = ["Succession"]

_CLEARLY_STRONGER_SECONDS = 0.1
"""A peer is stronger if its claim delay is shorter by this much, a quarter of the longest delay."""

_STEADY_SECONDS = 1.5
"""How long a peer must have sent heartbeats without a gap. A transfer to a peer that restarts
repeatedly would soon be followed by another change of leader."""

_BREAK_SECONDS = 0.95
"""The longest silence that is not a gap; a heartbeat is due every 0.6 s."""


@dataclasses.dataclass(slots=True)
class _Heard:
    """A stronger peer: the start of its heartbeats without a gap, the last one, its claim delay."""

    since: float
    last: float
    claim_delay_s: float


class Succession:
    """The stronger peers that send a node heartbeats; read and written by two threads.

    Parameters
    ----------
    claim_delay_s
        How long this node waits before a claim, to let stronger nodes claim first, in seconds.
    """

    def __init__(self, claim_delay_s: float) -> None:
        self._claim_delay_s = claim_delay_s
        self._heard: dict[str, _Heard] = {}
        self._lock = threading.Lock()

    def hear(self, beat: Beat, now: float) -> None:
        """Record a peer's heartbeat; ``now`` is the steady clock in seconds."""
        is_stronger = beat.claim_delay_s + _CLEARLY_STRONGER_SECONDS <= self._claim_delay_s
        with self._lock:
            if not is_stronger or not beat.reaches_store:
                self._heard.pop(beat.node, None)
                return
            known = self._heard.get(beat.node)
            if known is None or now - known.last > _BREAK_SECONDS:
                self._heard[beat.node] = _Heard(now, now, beat.claim_delay_s)
                return
            known.last = now
            known.claim_delay_s = beat.claim_delay_s

    def successor(self, now: float) -> str | None:
        """Return the strongest peer without heartbeat gaps; None if there is none."""
        with self._lock:
            steady = [
                (heard.claim_delay_s, node)
                for node, heard in self._heard.items()
                if now - heard.last <= _BREAK_SECONDS
                and heard.last - heard.since >= _STEADY_SECONDS
            ]
        return min(steady)[1] if steady else None

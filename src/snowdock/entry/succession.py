"""To whom a leader on a weak node should hand over: a stronger peer that is steadily heard."""

import dataclasses
import threading

from .messages import Beat

__all__ = ["Succession"]

_CLEARLY_STRONGER_SECONDS = 0.1
"""A peer whose claim delay is shorter by this much can bear clearly more: a quarter of the scale
on which the weakest nodes wait for 0.4 s."""

_STEADY_SECONDS = 1.5
"""How long a peer must have been heard without a break: one that is restarted again and again
would make each handover the first of two."""

_BREAK_SECONDS = 0.95
"""A longer silence is a break; a heartbeat is due each 0.6 s."""


@dataclasses.dataclass(slots=True)
class _Heard:
    """Since when a stronger peer is heard without a break, until when, and its claim delay."""

    since: float
    last: float
    claim_delay_s: float


class Succession:
    """The stronger peers that a node hears; read and written by two threads.

    Parameters
    ----------
    claim_delay_s
        How long this node leaves it to stronger ones to claim, in seconds.
    """

    def __init__(self, claim_delay_s: float) -> None:
        self._claim_delay_s = claim_delay_s
        self._heard: dict[str, _Heard] = {}
        self._lock = threading.Lock()

    def hear(self, beat: Beat, now: float) -> None:
        """Take a peer's heartbeat over; ``now`` is the steady clock in seconds."""
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
        """Give the strongest peer that is steadily heard; None where there is none."""
        with self._lock:
            steady = [
                (heard.claim_delay_s, node)
                for node, heard in self._heard.items()
                if now - heard.last <= _BREAK_SECONDS
                and heard.last - heard.since >= _STEADY_SECONDS
            ]
        return min(steady)[1] if steady else None

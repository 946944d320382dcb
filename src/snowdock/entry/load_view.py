"""The newest load summary that a node knows, received from the leader or made by its own."""

import dataclasses
import threading

from ..clocks import steady_seconds
from ..errors import InvalidInput
from ..jobs.load_summary import LoadSummary, decode_summary, encode_summary
from ..logs import log_event

__all__ = ["LoadReading", "LoadView"]

_SEND_INTERVAL_SECONDS = 1.0
"""Minimum time between two summaries sent to one peer: with 97 nodes of 600 bytes each, the leader
sends less than 60 kB in a second."""

_INTERVAL_SLACK_SECONDS = 0.02
"""Heartbeats are sent every 0.2 s, give or take some milliseconds; without the slack, every second
interval would take 1.2 s."""


@dataclasses.dataclass(frozen=True, slots=True)
class LoadReading:
    """A load summary, and the seconds since it arrived at this node."""

    summary: LoadSummary
    age_s: float


class LoadView:
    """Holder of the newest load summary; thread-safe.

    Soft state: after a restart of the node it is empty until the next summary arrives.
    """

    def __init__(self) -> None:
        self._lock = threading.Lock()
        self._epoch = 0
        self._seen_epoch = 0
        self._summary: LoadSummary | None = None
        self._arrived_at = 0.0
        self._encoded = b""
        self._encoded_epoch = 0
        self._sent_at: dict[str, float] = {}
        self._rejected = b""

    def follow(self, epoch: int) -> None:
        """Follow the leader of an epoch; a summary of an earlier epoch is dropped."""
        with self._lock:
            self._epoch = max(self._epoch, epoch)
            if self._summary is not None and self._summary.epoch < self._epoch:
                self._summary = None

    def read(self) -> LoadReading | None:
        """Return the newest summary with its age, or None if there is none."""
        with self._lock:
            if self._summary is None:
                return None
            return LoadReading(self._summary, steady_seconds() - self._arrived_at)

    def publish(self, summary: LoadSummary) -> None:
        """Take a summary of this node's own leader, and send it to the peers from now on."""
        encoded = encode_summary(summary)
        with self._lock:
            if self._keep(summary):
                self._encoded = encoded
                if summary.epoch != self._encoded_epoch:
                    self._encoded_epoch = summary.epoch
                    self._sent_at.clear()

    def receive(self, data: bytes) -> None:
        """Take a summary from a peer's heartbeat; one that cannot be decoded is ignored."""
        if not data:
            return
        try:
            summary = decode_summary(data)
        except InvalidInput as error:
            # Logged once: a leader of another version sends one in each second.
            if data[:2] != self._rejected:
                self._rejected = data[:2]
                log_event("load_summary_ignored", reason=str(error), code=error.code)
            return
        with self._lock:
            self._keep(summary)

    def data_for(self, peer: str, epoch: int) -> bytes:
        """Return the summary to send with a heartbeat to a peer; empty if none is due.

        Parameters
        ----------
        peer
            The peer.
        epoch
            The epoch in which this node leads; 0 if it is not the leader.
        """
        now = steady_seconds()
        with self._lock:
            if not epoch or epoch != self._encoded_epoch:
                return b""
            due_at = self._sent_at.get(peer, 0.0) + _SEND_INTERVAL_SECONDS
            if now < due_at - _INTERVAL_SLACK_SECONDS:
                return b""
            self._sent_at[peer] = now
            return self._encoded

    def _keep(self, summary: LoadSummary) -> bool:
        """Keep a summary if it is newer; return whether it is."""
        # A repeated one keeps its age: a leader whose thread hangs still sends its last summary.
        held = self._summary
        is_newer = held is None or (summary.epoch, summary.made_at) > (held.epoch, held.made_at)
        if summary.epoch < self._epoch or not is_newer:
            return False
        if summary.epoch != self._seen_epoch:
            self._seen_epoch = summary.epoch
            log_event("load_summary_seen", epoch=summary.epoch)
        self._summary = summary
        self._arrived_at = steady_seconds()
        return True

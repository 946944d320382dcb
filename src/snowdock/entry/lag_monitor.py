"""The lag of this node: samples of several threads, log lines and metrics."""

import threading

from ..clocks import steady_seconds
from ..logs import log_event
from ..node.metrics import Metrics
from .leader_lag import LagSource, LeaderLag

__all__ = ["LagMonitor"]


class LagMonitor:
    """Thread-safe view of this node's `LeaderLag`.

    Parameters
    ----------
    metrics
        Gets the lag, and counts how often the node fell behind.
    """

    def __init__(self, metrics: Metrics) -> None:
        self._metrics = metrics
        self._lag = LeaderLag(steady_seconds())
        self._is_behind = False
        self._lock = threading.Lock()

    def record_heartbeat_lateness(self, seconds: float) -> None:
        """Record how late the peers' thread was for its heartbeats, and report the node's lag."""
        now = steady_seconds()
        with self._lock:
            self._lag.record(LagSource.HEARTBEATS, seconds, now)
            lag_s = self._lag.lag_s(now)
            delay_s = self._lag.held_delay_s(now)
            was_behind, self._is_behind = self._is_behind, delay_s > 0.0
        self._metrics.set("node_lag_seconds", "How far this node is behind its work.", lag_s)
        if self._is_behind and not was_behind:
            log_event("node_behind", lag_s=lag_s, delay_s=delay_s)
            self._metrics.count("node_behind_total", "Times that this node fell behind.")
        elif was_behind and not self._is_behind:
            log_event("node_caught_up")

    def record_event_age(self, seconds: float) -> None:
        """Record how old a timer event was when the leader handled it."""
        self._record(LagSource.EVENTS, seconds)

    def record_relay_excess(self, seconds: float) -> None:
        """Record how much longer a relayed request took than it should."""
        self._record(LagSource.RELAYS, seconds)

    def _record(self, source: LagSource, seconds: float) -> None:
        with self._lock:
            self._lag.record(source, seconds, steady_seconds())

    @property
    def is_late(self) -> bool:
        """Whether anything was late in the last seconds."""
        with self._lock:
            return self._lag.is_late(steady_seconds())

    @property
    def current_delay_s(self) -> float:
        """The extra claim delay for the present lag, in seconds."""
        with self._lock:
            return self._lag.current_delay_s(steady_seconds())

    @property
    def stated_delay_s(self) -> float:
        """The extra claim delay to state to peers, in seconds."""
        with self._lock:
            return self._lag.stated_delay_s(steady_seconds())

    @property
    def held_delay_s(self) -> float:
        """The extra claim delay, which outlasts the lag, in seconds."""
        with self._lock:
            return self._lag.held_delay_s(steady_seconds())

"""How far a node is behind its work, and the extra claim delay that follows from it.

Responds to a VM that runs several times slower for seconds: its threads wake late, but its
heartbeats and renewals remain frequent enough for it to keep the leadership.
"""

import bisect
import collections
import dataclasses
import enum
import statistics

__all__ = ["HandoverLimiter", "LagSource", "LeaderLag"]

_MIN_LAG_SECONDS = 0.15
"""A smaller lag has no effect: placement and messages between nodes are hardly delayed by it."""

_FULL_LAG_SECONDS = 0.5
"""The lag from which on the extra delay is at its maximum: peers' heartbeats are then read after
the time in which a missed one is noticed."""

_MAX_EXTRA_DELAY_SECONDS = 0.4
"""The extra delay of a node that is far behind, as long as the claim delay of the weakest node."""

_MIN_SUSTAINED_SECONDS = 0.5
"""Late samples must cover this time. A garbage collection or a pause makes one sample late."""

_WINDOW_SECONDS = 1.0
"""Age up to which samples count. The lag is their median, since a starved thread is at times run
at once, and a single late sample says nothing."""

_MIN_SAMPLES = 3
_MAX_SAMPLE_AGE_SECONDS = 3.0
"""The newest samples count up to this age if there are fewer in the window: a node that is far
behind takes few samples."""

_SLOT_SECONDS = 0.1
"""Samples within this time count as one, their median. After a pause, a thread handles all that has
queued up at once."""

_START_SECONDS = 3.0
"""Samples of a process that has just started are ignored: it loads its configuration, and opens
all its connections."""

_HOLD_SECONDS = 10.0
"""How long the extra delay lasts after the lag. A leader that has handed over has less to do, and
would otherwise be named as a successor while its VM is still slow."""

_HANDOVER_INTERVAL_SECONDS = 10.0
"""Minimum time between two handovers because of a lag."""

_HANDOVER_MEMORY_SECONDS = 120.0
"""Each handover because of a lag within this time doubles the interval before the next one. If each
new leader falls behind as well, the load causes it, and another handover does not help."""


class LagSource(enum.StrEnum):
    """What a lag was measured on."""

    HEARTBEATS = "heartbeats"
    EVENTS = "events"
    RELAYS = "relays"


@dataclasses.dataclass(slots=True)
class _Slot:
    """The lags in a slot that began at a time of the steady clock, in seconds, sorted."""

    at: float
    lags_s: list[float]

    @property
    def lag_s(self) -> float:
        return self.lags_s[(len(self.lags_s) - 1) // 2]


class LeaderLag:
    """Lag of one node, and its extra claim delay. Not thread-safe.

    Parameters
    ----------
    now
        When the process started, in seconds of the steady clock.
    """

    def __init__(self, now: float) -> None:
        self._counted_from = now + _START_SECONDS
        self._slots: dict[LagSource, collections.deque[_Slot]] = {
            source: collections.deque() for source in LagSource
        }
        self._held_delay_s = 0.0
        self._held_until = 0.0

    def record(self, source: LagSource, lag_s: float, now: float) -> None:
        """Record how late something was done at a time of the steady clock."""
        if now < self._counted_from:
            return
        slots = self._slots[source]
        if slots and now - slots[-1].at < _SLOT_SECONDS:
            bisect.insort(slots[-1].lags_s, lag_s)
            return
        slots.append(_Slot(now, [lag_s]))
        while now - slots[0].at > _MAX_SAMPLE_AGE_SECONDS:
            slots.popleft()
        self._hold(now)

    def lag_s(self, now: float) -> float:
        """Return the sustained lag of the source with the largest one; 0 if none is behind."""
        return max(self._sustained_lag_s(source, now) for source in LagSource)

    def is_late(self, now: float) -> bool:
        """Check whether anything was late in the last seconds, sustained or not."""
        return any(
            slot.lag_s >= _MIN_LAG_SECONDS and now - slot.at <= _MAX_SAMPLE_AGE_SECONDS
            for slots in self._slots.values()
            for slot in slots
        )

    def current_delay_s(self, now: float) -> float:
        """Return the extra claim delay for the present lag, in seconds."""
        return _extra_delay_s(self.lag_s(now))

    def held_delay_s(self, now: float) -> float:
        """Return the largest extra claim delay of the last seconds, in seconds."""
        return self._held_delay_s if now < self._held_until else 0.0

    def stated_delay_s(self, now: float) -> float:
        """Return the extra claim delay to state to peers, in seconds.

        A lag that is not sustained so far counts as well: if all nodes slow down at once, the
        leader would otherwise notice its lag before it learns of that of its peers.
        """
        latest_s = max(
            (
                slot.lag_s
                for slot in self._slots[LagSource.HEARTBEATS]
                if now - slot.at <= _MAX_SAMPLE_AGE_SECONDS
            ),
            default=0.0,
        )
        return max(self.held_delay_s(now), _extra_delay_s(latest_s))

    def _hold(self, now: float) -> None:
        current = self.current_delay_s(now)
        if current > 0.0:
            self._held_delay_s = max(current, self.held_delay_s(now))
            self._held_until = now + _HOLD_SECONDS

    def _sustained_lag_s(self, source: LagSource, now: float) -> float:
        known = [s for s in self._slots[source] if now - s.at <= _MAX_SAMPLE_AGE_SECONDS]
        recent = [s for s in known if now - s.at <= _WINDOW_SECONDS]
        if len(recent) < _MIN_SAMPLES:
            recent = known[-_MIN_SAMPLES:]
        late_at = [s.at for s in recent if s.lag_s >= _MIN_LAG_SECONDS]
        if len(recent) < _MIN_SAMPLES or not late_at:
            return 0.0
        if late_at[-1] - late_at[0] < _MIN_SUSTAINED_SECONDS:
            return 0.0
        lag_s = statistics.median_low(s.lag_s for s in recent)
        return lag_s if lag_s >= _MIN_LAG_SECONDS else 0.0


def _extra_delay_s(lag_s: float) -> float:
    excess = (lag_s - _MIN_LAG_SECONDS) / (_FULL_LAG_SECONDS - _MIN_LAG_SECONDS)
    return _MAX_EXTRA_DELAY_SECONDS * min(1.0, max(0.0, excess))


class HandoverLimiter:
    """Limits handovers because of a lag, by those that this node has made or seen."""

    def __init__(self) -> None:
        self._seen_at: collections.deque[float] = collections.deque()

    def record(self, now: float) -> None:
        """Record a handover because of a lag, at a time of the steady clock."""
        self._seen_at.append(now)

    def permits(self, now: float) -> bool:
        """Check whether there may be another such handover."""
        while self._seen_at and now - self._seen_at[0] > _HANDOVER_MEMORY_SECONDS:
            self._seen_at.popleft()
        if not self._seen_at:
            return True
        interval_s = _HANDOVER_INTERVAL_SECONDS * 2.0 ** (len(self._seen_at) - 1)
        return now - self._seen_at[-1] >= interval_s

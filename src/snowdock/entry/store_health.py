"""One node's view of the store: failing, slow, or silent, from the outcomes of its own calls.

Without I/O; the clock is passed in. It serves two kinds of load: a store that takes 50 times its
usual time, on which records must wait rather than be refused, and a store that answers nothing for
seconds, on which records that wait only use up their callers' time.
"""

import enum
import itertools
import math
import threading
from collections.abc import Callable

from .adaptive_timeout import AdaptiveTimeout

__all__ = ["MIN_ATTEMPT_SECONDS", "Admission", "StoreHealth"]

MIN_ATTEMPT_SECONDS = 0.8
_MAX_ATTEMPT_SECONDS = 2.0
"""Bounds of the timeout of one append. An append usually takes about 10 ms, and half a second on a
very slow store. The store still applies an append that has timed out, so repeating it early would
only add to the partition's queue."""

_FAILURES_UNTIL_DOWN = 2
"""Consecutive failures after which the store counts as down; a single one may be chance."""

_SLOW_APPEND_SECONDS = 0.1
"""The store counts as slow if appends usually take longer than this, ten times the normal time."""

_HANGING_APPEND_SECONDS = 0.2
"""The store also counts as slow while an append has had no answer for this long, so that no
further appends queue behind it."""

_SILENT_SECONDS = 0.6
_MAX_SILENT_SECONDS = 1.0
_SILENT_APPENDS = 2.0
"""The store counts as silent if an append has hung for this long while no call was answered. A very
slow store answers within about half a second. Where appends usually take longer, the limit is a
multiple of their time, but callers only wait 3 s."""

_SILENT_SECONDS_WITHOUT_RENEWAL = 0.3
"""The same if the leader's renewals are overdue, too: two nodes have had no answer."""

_SILENCE_PROBE_SECONDS = 0.4
"""Time from the end of a probe to the next one while the store is silent. The outcome of a probe is
unknown to its caller, so that there is only one at a time; reads also notice the store's return."""


class Admission(enum.Enum):
    """Whether a record may be sent to the store."""

    SEND = enum.auto()
    PROBE = enum.auto()
    """The store is silent, and the record is sent alone to find out whether it answers again. The
    caller must then call `StoreHealth.finish_silence_probe`."""
    REFUSE = enum.auto()


class StoreHealth:
    """Tracks failures, durations and silence of one node's appends; thread-safe.

    While the store counts as down, one record at a time is sent as a probe, and all others are
    refused at once. The same holds while it counts as silent.

    Parameters
    ----------
    clock
        Returns the time in seconds.
    renewal_is_overdue
        Returns whether the leader's last renewal is older than one that reaches the store.
    """

    def __init__(
        self, clock: Callable[[], float], renewal_is_overdue: Callable[[], bool] = lambda: False
    ) -> None:
        self._clock = clock
        self._renewal_is_overdue = renewal_is_overdue
        self._timeout = AdaptiveTimeout(MIN_ATTEMPT_SECONDS, _MAX_ATTEMPT_SECONDS)
        self._failures = 0
        self._failed_at = 0.0
        self._last_result_at = 0.0
        self._is_probing = False
        self._slow_probe_at = -math.inf
        self._started_at: dict[int, float] = {}
        # The first append that has timed out since the last answer, and when the last one did.
        self._timed_out_start = math.inf
        self._timed_out_at = -math.inf
        self._responded_at = 0.0
        self._silent_at = -math.inf
        # When the last probe of a silent store ended; infinite while there is one.
        self._silence_probe_at = -math.inf
        self._append_ids = itertools.count()
        self._lock = threading.Lock()

    def start_append(self) -> int:
        """Record the start of an append; return an identifier for `finish_append`."""
        with self._lock:
            append_id = next(self._append_ids)
            self._started_at[append_id] = self._clock()
            return append_id

    def finish_append(self, append_id: int, *, timed_out: bool = False) -> None:
        """Record the end of an append, and whether the store did not answer it in time."""
        with self._lock:
            start = self._started_at.pop(append_id)
            if timed_out:
                self._timed_out_start = min(self._timed_out_start, start)
                self._timed_out_at = self._clock()

    @property
    def attempt_timeout_s(self) -> float:
        """Timeout of one append, in seconds."""
        return self._timeout.limit_s

    def is_slow(self, slow_state_s: float) -> bool:
        """Check whether an append is hanging, or recent appends have usually been slow.

        Parameters
        ----------
        slow_state_s
            How long the store counts as slow after the last append, in seconds.
        """
        now = self._clock()
        with self._lock:
            oldest_start = min(self._started_at.values(), default=now)
        if now - oldest_start > _HANGING_APPEND_SECONDS:
            return True
        if now - self._last_result_at > slow_state_s:
            return False
        return self._timeout.average_s > _SLOW_APPEND_SECONDS

    def prefers_relay(self, slow_state_s: float) -> bool:
        """Check whether a record should be sent by way of the leader instead.

        If the store was slow some time ago, one record is let through as a probe, and the others go
        by way of the leader until the probe is answered.
        """
        if self.is_slow(slow_state_s):
            return True
        now = self._clock()
        with self._lock:
            if self._timeout.average_s <= _SLOW_APPEND_SECONDS:
                return False
            if now - self._slow_probe_at < slow_state_s:
                return True
            self._slow_probe_at = now
            return False

    def silent_seconds(self, answered_at: float) -> float:
        """Return for how long an append has hung while no call was answered; 0 if not at all.

        A node that the store has never answered has nothing to compare with, and also returns 0.

        Parameters
        ----------
        answered_at
            When the store last answered any call, in seconds of the clock; 0 for never.
        """
        with self._lock:
            answered_at = max(answered_at, self._responded_at)
            if not answered_at:
                return 0.0
            if answered_at > self._timed_out_at:
                self._timed_out_start = math.inf
            oldest_start = min([*self._started_at.values(), self._timed_out_start])
            return max(0.0, self._clock() - max(oldest_start, answered_at))

    def is_silent(self, answered_at: float) -> bool:
        """Check whether the store answers nothing; the parameter is that of `silent_seconds`."""
        seconds = self.silent_seconds(answered_at)
        limit_s = max(_SILENT_SECONDS, _SILENT_APPENDS * self._timeout.average_s)
        # Time-outs raise the usual time of an append, but only an answer ends the state.
        was_silent = seconds > 0 and self._silent_at > max(answered_at, self._responded_at)
        is_silent = (
            was_silent
            or seconds >= min(limit_s, _MAX_SILENT_SECONDS)
            or (seconds >= _SILENT_SECONDS_WITHOUT_RENEWAL and self._renewal_is_overdue())
        )
        if is_silent:
            self._silent_at = self._clock()
        return is_silent

    def was_silent_since(self, start: float) -> bool:
        """Check whether the store counted as silent at some time after ``start``."""
        return self._silent_at >= start

    def admit(self, answered_at: float, probe_delay_s: float) -> Admission:
        """Decide whether a record may be appended; the caller must then report the result.

        Parameters
        ----------
        answered_at
            When the store last answered any call, in seconds of the clock. After the last failure,
            such an answer ends the down state; a single further failure restores it.
        probe_delay_s
            How long the store counts as down before one record is sent as a probe, in seconds.
        """
        is_silent = self.is_silent(answered_at)
        now = self._clock()
        with self._lock:
            if is_silent:
                if now - self._silence_probe_at < _SILENCE_PROBE_SECONDS:
                    return Admission.REFUSE
                self._silence_probe_at = math.inf
                return Admission.PROBE
            if answered_at > self._failed_at:
                self._failures = min(self._failures, _FAILURES_UNTIL_DOWN - 1)
            if self._failures < _FAILURES_UNTIL_DOWN:
                return Admission.SEND
            if self._is_probing or now - self._failed_at < probe_delay_s:
                return Admission.REFUSE
            self._is_probing = True
            return Admission.SEND

    def finish_silence_probe(self) -> None:
        """Record that the probe of a silent store has ended."""
        with self._lock:
            self._silence_probe_at = self._clock()

    def record_success(self, seconds: float) -> None:
        """Record a successful append and its duration in seconds."""
        with self._lock:
            self._failures = 0
            self._is_probing = False
            self._last_result_at = self._responded_at = self._clock()
            self._timeout.record_answer(seconds)

    def release_probe(self) -> None:
        """Record that an admitted record was not sent, so that another may be the probe."""
        with self._lock:
            self._is_probing = False

    def record_failure(self, *, responded: bool = False) -> None:
        """Record a failed append, and whether the store has responded to it."""
        with self._lock:
            self._failures += 1
            self._is_probing = False
            self._timeout.record_timeout()
            self._last_result_at = self._failed_at = self._clock()
            if responded:
                self._responded_at = self._failed_at

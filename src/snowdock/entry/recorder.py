"""Batched appends of job records to the store.

The store handles the appends to a partition one at a time. While an append of this node is in
progress, further records for that partition wait and are sent together in the next one, so that the
throughput is kept when the store is slow.
"""

import dataclasses
import itertools
import math
import threading
import time

from ..clocks import steady_seconds
from ..errors import CallUnanswered, PlatformError
from ..jobs.model import JobId
from ..logs import log_error, log_event
from ..node.metrics import Metrics
from ..platform.store import KeyedRecord, StoreClient
from .messages import Recording
from .patience import Patience
from .topics import JOBS_TOPIC, job_part

__all__ = ["Recorder"]

_SHORTEST_TRY_SECONDS = 0.8
_LONGEST_TRY_SECONDS = 2.0
"""Bounds of the timeout of one append. An append usually takes about 10 ms, and half a second on a
very slow store. The store still applies an append that has timed out, so repeating it early would
only add to the partition's queue."""

_TRYING_SECONDS = 0.5
"""No further attempt starts after this time. Callers wait about 3 s, and their own retries go to
other nodes, which may reach the store when this one does not."""

_LEAST_SECONDS = 0.05
"""Shortest wait for an append, which usually takes 10 ms."""

_RETRY_SECONDS = 0.05
"""Pause between two attempts to append a record."""

_DOWN_FAILURES = 2
"""Consecutive failures after which the store counts as down."""

_DOWN_SECONDS = 0.4
"""How long the store counts as down before one record is sent as a probe."""

_SLOW_SECONDS = 0.1
"""The store counts as slow if appends usually take longer than this, ten times the normal time."""

_SLOW_MEMORY_SECONDS = 2.0
"""How long the store counts as slow after the last append; then one record is sent as a probe."""

_HANGING_SECONDS = 0.2
"""The store also counts as slow while an append has had no answer for this long, so that no
further appends queue behind it."""

_MOST_RECORDS = 64
"""Largest number of records in one append, well below the size limit of a call."""


class _StoreHealth:
    """Tracks failures and durations of recent appends.

    While the store counts as down, one record at a time is sent as a probe, and all others are
    refused at once.
    """

    def __init__(self) -> None:
        self._patience = Patience(_SHORTEST_TRY_SECONDS, _LONGEST_TRY_SECONDS)
        self._failures = 0
        self._failed_at = 0.0
        self._noted_at = 0.0
        self._is_probed = False
        self._slow_probe_at = -math.inf
        self._began: dict[int, float] = {}
        self._numbers = itertools.count()
        self._lock = threading.Lock()

    def begin(self) -> int:
        """Record the start of an append; return an identifier for `finish_append`."""
        with self._lock:
            number = next(self._numbers)
            self._began[number] = steady_seconds()
            return number

    def end(self, number: int) -> None:
        """Record the end of an append."""
        with self._lock:
            del self._began[number]

    @property
    def try_seconds(self) -> float:
        """Timeout of one append, in seconds."""
        return self._patience.limit

    @property
    def is_slow(self) -> bool:
        """Whether an append is hanging, or recent appends have usually been slow."""
        now = steady_seconds()
        with self._lock:
            oldest = min(self._began.values(), default=now)
        if now - oldest > _HANGING_SECONDS:
            return True
        if now - self._noted_at > _SLOW_MEMORY_SECONDS:
            return False
        return self._patience.usual > _SLOW_SECONDS

    def avoids_appends(self) -> bool:
        """Check whether a record should be sent by way of the leader instead.

        If the store was slow some time ago, one record is let through as a probe, and the others go
        by way of the leader until the probe is answered.
        """
        if self.is_slow:
            return True
        now = steady_seconds()
        with self._lock:
            if self._patience.usual <= _SLOW_SECONDS:
                return False
            if now - self._slow_probe_at < _SLOW_MEMORY_SECONDS:
                return True
            self._slow_probe_at = now
            return False

    def admit(self, answered_at: float) -> bool:
        """Check whether a record may be appended; the caller must then report the result.

        Parameters
        ----------
        answered_at
            When the store last answered any call, in steady seconds. After the last failure, such
            an answer ends the down state; a single further failure restores it.
        """
        with self._lock:
            if answered_at > self._failed_at:
                self._failures = min(self._failures, _DOWN_FAILURES - 1)
            if self._failures < _DOWN_FAILURES:
                return True
            if self._is_probed or steady_seconds() - self._failed_at < _DOWN_SECONDS:
                return False
            self._is_probed = True
            return True

    def note_success(self, seconds: float) -> None:
        """Record a successful append and its duration in seconds."""
        with self._lock:
            self._failures = 0
            self._is_probed = False
            self._noted_at = steady_seconds()
            self._patience.note(seconds)

    def note_untried(self) -> None:
        """Record that an admitted record was not sent, so that another may be the probe."""
        with self._lock:
            self._is_probed = False

    def note_failure(self) -> None:
        """Record a failed append."""
        with self._lock:
            self._failures += 1
            self._is_probed = False
            self._patience.miss()
            self._noted_at = self._failed_at = steady_seconds()


@dataclasses.dataclass(slots=True, eq=False)
class _Waiting:
    """A record that waits to be appended.

    Attributes
    ----------
    record
        The record.
    wake
        Set when the record's append has ended, or when its thread is to append all that wait.
    outcome
        Result of the append; None while it is not known.
    """

    record: KeyedRecord
    woken: threading.Event = dataclasses.field(default_factory=threading.Event)
    outcome: Recording | None = None


class _Partition:
    """Records waiting for a partition; ``is_busy`` while this node has an append in progress."""

    def __init__(self) -> None:
        self.lock = threading.Lock()
        self.waiting: list[_Waiting] = []
        self.is_busy = False


class Recorder:
    """Appends job records to the store; safe to call from many threads.

    Parameters
    ----------
    store
        The store.
    partition_count
        Number of partitions of the topic of jobs.
    metrics
        Counts and times appends.
    """

    def __init__(self, store: StoreClient, parts: int, metrics: Metrics) -> None:
        self._store = store
        self._metrics = metrics
        self._health = _StoreHealth()
        self._partitions = [_Partition() for _ in range(parts)]

    @property
    def is_slow(self) -> bool:
        """Whether this node's recent appends have been slow."""
        return self._health.is_slow

    def avoids_appends(self) -> bool:
        """Check whether a record should be sent by way of the leader instead of from this node."""
        return self._health.avoids_appends()

    def record(self, job: JobId, record: KeyedRecord, seconds: float) -> Recording:
        """Append a record to the store and wait for the result.

        Parameters
        ----------
        job
            The job.
        record
            The job's record.
        seconds
            Longest wait.
        """
        part = job_part(job, len(self._partitions))
        outcome = Recording.NOT_DONE
        began = steady_seconds()
        while steady_seconds() - began < min(_TRYING_SECONDS, seconds):
            if not self._health.admit(self._store.answered_at):
                return outcome
            left = seconds - (steady_seconds() - began)
            tried = self._try(part, record, max(_LEAST_SECONDS, left))
            if tried is Recording.DONE:
                return tried
            outcome = max(outcome, tried)
            log_event("record_failed", job=job, part=part, outcome=tried.name.lower())
            time.sleep(_RETRY_SECONDS)
        return outcome

    def _try(self, part: int, record: KeyedRecord, seconds: float) -> Recording:
        """Send a record once: in another thread's append, or in an own one for all that wait."""
        partition = self._partitions[part]
        own = _Waiting(record)
        with partition.lock:
            partition.waiting.append(own)
            is_turn = not partition.is_busy
            partition.is_busy = True
        end = steady_seconds() + seconds
        if not is_turn and not own.woken.wait(seconds):
            with partition.lock:
                if own.outcome is None and not own.woken.is_set():
                    return self._give_up(partition, own)
        if own.outcome is None:
            self._append_waiting(part, partition, end - steady_seconds())
        return own.outcome

    def _give_up(self, partition: _Partition, own: _Waiting) -> Recording:
        """Remove a record whose wait is over; call with the partition's lock held."""
        if own not in partition.waiting:
            return Recording.UNKNOWN
        partition.waiting.remove(own)
        # The record was admitted but not sent.
        self._health.note_untried()
        return Recording.NOT_DONE

    def _append_waiting(self, part: int, partition: _Partition, seconds: float) -> None:
        """Append the waiting records, then wake the thread of the first remaining one."""
        with partition.lock:
            batch = partition.waiting[:_MOST_RECORDS]
            del partition.waiting[:_MOST_RECORDS]
        outcome = self._append(part, [each.record for each in batch], seconds)
        for each in batch:
            each.outcome = outcome
            each.woken.set()
        with partition.lock:
            partition.is_busy = bool(partition.waiting)
            if partition.waiting:
                partition.waiting[0].woken.set()

    def _append(self, part: int, records: list[KeyedRecord], seconds: float) -> Recording:
        began = steady_seconds()
        # Other threads share the append, so a thread with little time left may not shorten it.
        limit = max(_SHORTEST_TRY_SECONDS, min(seconds, self._health.try_seconds))
        number = self._health.begin()
        try:
            self._store.append(JOBS_TOPIC, part, records, limit)
        except PlatformError as error:
            self._health.note_failure()
            self._metrics.count("store_appends_total", "Appends to the store.", outcome=error.code)
            log_event("append_failed", part=part, records=len(records), reason=str(error))
            is_unsure = isinstance(error, CallUnanswered) and not error.unsent
            return Recording.UNKNOWN if is_unsure else Recording.NOT_DONE
        except Exception as error:
            # The append may have been applied; the waiting threads still need a result.
            self._health.note_failure()
            log_error("append_failed", error, part=part, records=len(records))
            return Recording.UNKNOWN
        finally:
            self._health.end(number)
        taken = steady_seconds() - began
        self._health.note_success(taken)
        self._metrics.count("store_appends_total", "Appends to the store.", outcome="done")
        self._metrics.time("store_append_seconds", "Time of an append that was answered.", taken)
        return Recording.DONE

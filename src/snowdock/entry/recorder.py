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
from .adaptive_timeout import AdaptiveTimeout
from .messages import RecordOutcome
from .topics import JOBS_TOPIC, job_partition

__all__ = ["Recorder"]

_MIN_ATTEMPT_SECONDS = 0.8
_MAX_ATTEMPT_SECONDS = 2.0
"""Bounds of the timeout of one append. An append usually takes about 10 ms, and half a second on a
very slow store. The store still applies an append that has timed out, so repeating it early would
only add to the partition's queue."""

_RETRY_PERIOD_SECONDS = 0.5
"""No further attempt starts after this time. Callers wait about 3 s, and their own retries go to
other nodes, which may reach the store when this one does not."""

_MIN_WAIT_SECONDS = 0.05
"""Shortest wait for an append, which usually takes 10 ms."""

_RETRY_DELAY_SECONDS = 0.05
"""Pause between two attempts to append a record."""

_FAILURES_UNTIL_DOWN = 2
"""Consecutive failures after which the store counts as down."""

_PROBE_DELAY_SECONDS = 0.4
"""How long the store counts as down before one record is sent as a probe."""

_SLOW_APPEND_SECONDS = 0.1
"""The store counts as slow if appends usually take longer than this, ten times the normal time."""

_SLOW_STATE_SECONDS = 2.0
"""How long the store counts as slow after the last append; then one record is sent as a probe."""

_HANGING_APPEND_SECONDS = 0.2
"""The store also counts as slow while an append has had no answer for this long, so that no
further appends queue behind it."""

_MAX_BATCH_RECORDS = 64
"""Largest number of records in one append, well below the size limit of a call."""


class _StoreHealth:
    """Tracks failures and durations of recent appends.

    While the store counts as down, one record at a time is sent as a probe, and all others are
    refused at once.
    """

    def __init__(self) -> None:
        self._timeout = AdaptiveTimeout(_MIN_ATTEMPT_SECONDS, _MAX_ATTEMPT_SECONDS)
        self._failures = 0
        self._failed_at = 0.0
        self._last_result_at = 0.0
        self._is_probing = False
        self._slow_probe_at = -math.inf
        self._started_at: dict[int, float] = {}
        self._append_ids = itertools.count()
        self._lock = threading.Lock()

    def start_append(self) -> int:
        """Record the start of an append; return an identifier for `finish_append`."""
        with self._lock:
            append_id = next(self._append_ids)
            self._started_at[append_id] = steady_seconds()
            return append_id

    def finish_append(self, append_id: int) -> None:
        """Record the end of an append."""
        with self._lock:
            del self._started_at[append_id]

    @property
    def attempt_timeout_s(self) -> float:
        """Timeout of one append, in seconds."""
        return self._timeout.limit_s

    @property
    def is_slow(self) -> bool:
        """Whether an append is hanging, or recent appends have usually been slow."""
        now = steady_seconds()
        with self._lock:
            oldest_start = min(self._started_at.values(), default=now)
        if now - oldest_start > _HANGING_APPEND_SECONDS:
            return True
        if now - self._last_result_at > _SLOW_STATE_SECONDS:
            return False
        return self._timeout.average_s > _SLOW_APPEND_SECONDS

    def prefers_relay(self) -> bool:
        """Check whether a record should be sent by way of the leader instead.

        If the store was slow some time ago, one record is let through as a probe, and the others go
        by way of the leader until the probe is answered.
        """
        if self.is_slow:
            return True
        now = steady_seconds()
        with self._lock:
            if self._timeout.average_s <= _SLOW_APPEND_SECONDS:
                return False
            if now - self._slow_probe_at < _SLOW_STATE_SECONDS:
                return True
            self._slow_probe_at = now
            return False

    def may_append(self, answered_at: float) -> bool:
        """Check whether a record may be appended; the caller must then report the result.

        Parameters
        ----------
        answered_at
            When the store last answered any call, in steady seconds. After the last failure, such
            an answer ends the down state; a single further failure restores it.
        """
        with self._lock:
            if answered_at > self._failed_at:
                self._failures = min(self._failures, _FAILURES_UNTIL_DOWN - 1)
            if self._failures < _FAILURES_UNTIL_DOWN:
                return True
            if self._is_probing or steady_seconds() - self._failed_at < _PROBE_DELAY_SECONDS:
                return False
            self._is_probing = True
            return True

    def record_success(self, seconds: float) -> None:
        """Record a successful append and its duration in seconds."""
        with self._lock:
            self._failures = 0
            self._is_probing = False
            self._last_result_at = steady_seconds()
            self._timeout.record_answer(seconds)

    def release_probe(self) -> None:
        """Record that an admitted record was not sent, so that another may be the probe."""
        with self._lock:
            self._is_probing = False

    def record_failure(self) -> None:
        """Record a failed append."""
        with self._lock:
            self._failures += 1
            self._is_probing = False
            self._timeout.record_timeout()
            self._last_result_at = self._failed_at = steady_seconds()


@dataclasses.dataclass(slots=True, eq=False)
class _PendingRecord:
    """A record that waits to be appended.

    Attributes
    ----------
    record
        The record.
    wake
        Set when the record's append has ended, or when its thread is to append the waiting records.
    outcome
        Result of the append; None while it is not known.
    """

    record: KeyedRecord
    wake: threading.Event = dataclasses.field(default_factory=threading.Event)
    outcome: RecordOutcome | None = None


class _Partition:
    """Records waiting for a partition; ``is_busy`` while this node has an append in progress."""

    def __init__(self) -> None:
        self.lock = threading.Lock()
        self.pending: list[_PendingRecord] = []
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

    def __init__(self, store: StoreClient, partition_count: int, metrics: Metrics) -> None:
        self._store = store
        self._metrics = metrics
        self._health = _StoreHealth()
        self._partitions = [_Partition() for _ in range(partition_count)]

    @property
    def is_slow(self) -> bool:
        """Whether this node's recent appends have been slow."""
        return self._health.is_slow

    def prefers_relay(self) -> bool:
        """Check whether a record should be sent by way of the leader instead of from this node."""
        return self._health.prefers_relay()

    def record(self, job: JobId, record: KeyedRecord, seconds: float) -> RecordOutcome:
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
        partition_number = job_partition(job, len(self._partitions))
        outcome = RecordOutcome.NOT_DONE
        started_at = steady_seconds()
        while steady_seconds() - started_at < min(_RETRY_PERIOD_SECONDS, seconds):
            if not self._health.may_append(self._store.answered_at):
                return outcome
            remaining_s = seconds - (steady_seconds() - started_at)
            attempt_outcome = self._record_once(
                partition_number, record, max(_MIN_WAIT_SECONDS, remaining_s)
            )
            if attempt_outcome is RecordOutcome.DONE:
                return attempt_outcome
            outcome = max(outcome, attempt_outcome)
            log_event(
                "record_failed",
                job=job,
                part=partition_number,
                outcome=attempt_outcome.name.lower(),
            )
            time.sleep(_RETRY_DELAY_SECONDS)
        return outcome

    def _record_once(
        self, partition_number: int, record: KeyedRecord, seconds: float
    ) -> RecordOutcome:
        """Send a record once, in another thread's append or in one for all waiting records."""
        partition = self._partitions[partition_number]
        pending = _PendingRecord(record)
        with partition.lock:
            partition.pending.append(pending)
            is_appender = not partition.is_busy
            partition.is_busy = True
        deadline = steady_seconds() + seconds
        if not is_appender and not pending.wake.wait(seconds):
            with partition.lock:
                if pending.outcome is None and not pending.wake.is_set():
                    return self._withdraw(partition, pending)
        if pending.outcome is None:
            self._append_pending(partition_number, partition, deadline - steady_seconds())
        return pending.outcome

    def _withdraw(self, partition: _Partition, pending: _PendingRecord) -> RecordOutcome:
        """Remove a record whose timeout has expired; call with the partition's lock held."""
        if pending not in partition.pending:
            return RecordOutcome.UNKNOWN
        partition.pending.remove(pending)
        # The record was admitted but not sent.
        self._health.release_probe()
        return RecordOutcome.NOT_DONE

    def _append_pending(self, partition_number: int, partition: _Partition, seconds: float) -> None:
        """Append the waiting records, then wake the thread of the first remaining one."""
        with partition.lock:
            batch = partition.pending[:_MAX_BATCH_RECORDS]
            del partition.pending[:_MAX_BATCH_RECORDS]
        outcome = self._append(partition_number, [each.record for each in batch], seconds)
        for each in batch:
            each.outcome = outcome
            each.wake.set()
        with partition.lock:
            partition.is_busy = bool(partition.pending)
            if partition.pending:
                partition.pending[0].wake.set()

    def _append(
        self, partition_number: int, records: list[KeyedRecord], seconds: float
    ) -> RecordOutcome:
        started_at = steady_seconds()
        # Other threads share the append, so a thread with little time left may not shorten it.
        timeout_s = max(_MIN_ATTEMPT_SECONDS, min(seconds, self._health.attempt_timeout_s))
        append_id = self._health.start_append()
        try:
            self._store.append(JOBS_TOPIC, partition_number, records, timeout_s)
        except PlatformError as error:
            self._health.record_failure()
            self._metrics.count("store_appends_total", "Appends to the store.", outcome=error.code)
            log_event(
                "append_failed", part=partition_number, records=len(records), reason=str(error)
            )
            may_be_recorded = isinstance(error, CallUnanswered) and not error.unsent
            return RecordOutcome.UNKNOWN if may_be_recorded else RecordOutcome.NOT_DONE
        except Exception as error:
            # The append may have been applied; the waiting threads still need a result.
            self._health.record_failure()
            log_error("append_failed", error, part=partition_number, records=len(records))
            return RecordOutcome.UNKNOWN
        finally:
            self._health.finish_append(append_id)
        elapsed_s = steady_seconds() - started_at
        self._health.record_success(elapsed_s)
        self._metrics.count("store_appends_total", "Appends to the store.", outcome="done")
        self._metrics.time(
            "store_append_seconds", "Time of an append that was answered.", elapsed_s
        )
        return RecordOutcome.DONE

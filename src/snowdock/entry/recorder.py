"""Batched appends of job records to the store.

The store handles the appends to a partition one at a time. While an append of this node is in
progress, further records for that partition wait and are sent together in the next one, so that the
throughput is kept when the store is slow.

While the store is silent, records that have not been sent are refused, and only what has been sent
has an unknown outcome.
"""

import dataclasses
import threading
import time
from collections.abc import Callable

from ..clocks import steady_seconds
from ..errors import AppendRejected, CallUnanswered, PlatformError
from ..jobs.model import JobId
from ..logs import log_error, log_event
from ..node.metrics import Metrics
from ..platform.store import AppendLimits, KeyedRecord, StoreClient
from .messages import RecordOutcome
from .store_health import MIN_ATTEMPT_SECONDS, Admission, StoreHealth
from .topics import JOBS_TOPIC, job_partition

__all__ = ["Recorder"]

_RETRY_PERIOD_SECONDS = 0.5
"""No further attempt starts after this time. Callers wait about 3 s, and their own retries go to
other nodes, which may reach the store when this one does not."""

_MIN_WAIT_SECONDS = 0.05
"""Shortest wait for an append, which usually takes 10 ms."""

_RETRY_DELAY_SECONDS = 0.05
"""Pause between two attempts to append a record."""

_PROBE_DELAY_SECONDS = 0.4
"""How long the store counts as down before one record is sent as a probe."""

_SLOW_STATE_SECONDS = 2.0
"""How long the store counts as slow after the last append; then one record is sent as a probe."""

_TIMED_OUT_SECONDS = 0.3
"""An append without an answer that has failed sooner was reset or not connected, and says nothing
about a silent store."""

_SILENCE_POLL_SECONDS = 0.05
"""Interval at which a waiting record checks whether the store has become silent."""

_MAX_BATCH_RECORDS = 64
"""Largest number of records in one append, which is also limited by the store in bytes."""


@dataclasses.dataclass(slots=True, eq=False)
class _PendingRecord:
    """A record that waits to be appended.

    Attributes
    ----------
    record
        The record.
    wake
        Set when the record's append has ended, or when its thread may append the waiting records.
    outcome
        Result of the append, or why the store will never take the record; None while it is not
        known.
    """

    record: KeyedRecord
    wake: threading.Event = dataclasses.field(default_factory=threading.Event)
    outcome: RecordOutcome | AppendRejected | None = None


@dataclasses.dataclass(frozen=True, slots=True, eq=False)
class _Turn:
    """One append to a partition: its start in steady seconds, and its records."""

    started_at: float
    batch: list[_PendingRecord]


class _Partition:
    """Records waiting for a partition; ``turn`` is this node's append in progress, if any."""

    def __init__(self) -> None:
        self.lock = threading.Lock()
        self.pending: list[_PendingRecord] = []
        self.turn: _Turn | None = None


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
    renewal_is_overdue
        Returns whether the leader's last renewal is older than one that reaches the store.
    limits
        Returns the longest records and appends that the store takes.
    """

    def __init__(
        self,
        store: StoreClient,
        partition_count: int,
        metrics: Metrics,
        renewal_is_overdue: Callable[[], bool] = lambda: False,
        limits: Callable[[], AppendLimits] = AppendLimits,
    ) -> None:
        self._store = store
        self._metrics = metrics
        self._limits = limits
        self._health = StoreHealth(steady_seconds, renewal_is_overdue)
        self._silent_since: float | None = None
        self._partitions = [_Partition() for _ in range(partition_count)]

    @property
    def is_slow(self) -> bool:
        """Whether this node's recent appends have been slow."""
        return self._health.is_slow(_SLOW_STATE_SECONDS)

    def prefers_relay(self) -> bool:
        """Check whether a record should be sent by way of the leader instead of from this node.

        While the store does not answer this node, it may answer the leader.
        """
        return self._is_silent() or self._health.prefers_relay(_SLOW_STATE_SECONDS)

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
        if record.size > self._limits().record_bytes:
            # In one append with others, it would have all of them rejected.
            reason = f"the record has {record.size} bytes"
            log_event("record_rejected", job=job, part=partition_number, reason=reason)
            return outcome
        started_at = steady_seconds()
        while steady_seconds() - started_at < min(_RETRY_PERIOD_SECONDS, seconds):
            self._is_silent()
            admission = self._health.admit(self._store.answered_at, _PROBE_DELAY_SECONDS)
            if admission is Admission.REFUSE:
                return outcome
            remaining_s = seconds - (steady_seconds() - started_at)
            is_probe = admission is Admission.PROBE
            try:
                attempt_outcome = self._record_once(
                    partition_number, record, max(_MIN_WAIT_SECONDS, remaining_s), is_probe
                )
            except AppendRejected as error:
                log_event("record_rejected", job=job, part=partition_number, reason=str(error))
                return outcome
            finally:
                if is_probe:
                    self._health.finish_silence_probe()
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
        self, partition_number: int, record: KeyedRecord, seconds: float, is_probe: bool
    ) -> RecordOutcome:
        """Send a record once, in another thread's append or in one for all waiting records.

        Raises
        ------
        AppendRejected
            If the store will never take the record.
        """
        partition = self._partitions[partition_number]
        pending = _PendingRecord(record)
        deadline = steady_seconds() + seconds
        with partition.lock:
            partition.pending.append(pending)
        while True:
            with partition.lock:
                turn_or_outcome = self._decide(partition, pending, deadline, is_probe)
            if isinstance(turn_or_outcome, RecordOutcome):
                return turn_or_outcome
            if turn_or_outcome is not None:
                self._append_batch(
                    partition_number, partition, turn_or_outcome, deadline - steady_seconds()
                )
                continue
            remaining_s = max(0.0, deadline - steady_seconds())
            pending.wake.wait(min(_SILENCE_POLL_SECONDS, remaining_s))
            pending.wake.clear()

    def _decide(
        self, partition: _Partition, pending: _PendingRecord, deadline: float, is_probe: bool
    ) -> _Turn | RecordOutcome | None:
        """Return a record's outcome, or the append that its thread must make, or None to wait.

        Call with the partition's lock held.
        """
        if isinstance(pending.outcome, AppendRejected):
            raise pending.outcome
        if pending.outcome is not None:
            return pending.outcome
        is_over = steady_seconds() >= deadline
        if pending not in partition.pending:
            return RecordOutcome.UNKNOWN if is_over else None
        if is_probe:
            # Other records do not wait for a probe, which may hang on after the store's return.
            partition.pending.remove(pending)
            return _Turn(steady_seconds(), [pending])
        if self._is_silent():
            return self._withdraw(partition, pending)
        # An append that has hung in a silent store may hang on after the store's return.
        if partition.turn is None or self._health.was_silent_since(partition.turn.started_at):
            partition.turn = _Turn(steady_seconds(), self._take_batch(partition))
            return partition.turn
        return self._withdraw(partition, pending) if is_over else None

    def _take_batch(self, partition: _Partition) -> list[_PendingRecord]:
        """Remove and return the first waiting records, as many as one append may have."""
        count = 0
        size = 0
        max_bytes = self._limits().call_bytes
        for pending in partition.pending[:_MAX_BATCH_RECORDS]:
            size += pending.record.append_size
            if count and size > max_bytes:
                break
            count += 1
        batch = partition.pending[:count]
        del partition.pending[:count]
        return batch

    def _withdraw(self, partition: _Partition, pending: _PendingRecord) -> RecordOutcome:
        """Remove a record that was admitted but not sent."""
        partition.pending.remove(pending)
        self._health.release_probe()
        return RecordOutcome.NOT_DONE

    def _is_silent(self) -> bool:
        """Check whether the store is silent, and log the beginning and end of that state."""
        is_silent = self._health.is_silent(self._store.answered_at)
        now = steady_seconds()
        since = self._silent_since
        if is_silent and since is None:
            self._silent_since = now
            hung_s = self._health.silent_seconds(self._store.answered_at)
            log_event("store_silent", hung_s=hung_s)
        elif not is_silent and since is not None:
            self._silent_since = None
            log_event("store_answers", seconds=now - since)
        return is_silent

    def _append_batch(
        self, partition_number: int, partition: _Partition, turn: _Turn, seconds: float
    ) -> None:
        """Append the records of a turn, then wake their threads and that of the next record."""
        records = [each.record for each in turn.batch]
        outcomes = self._append_separable(partition_number, records, seconds)
        with partition.lock:
            for each, outcome in zip(turn.batch, outcomes, strict=True):
                each.outcome = outcome
            woken = list(turn.batch)
            if partition.turn is turn:
                partition.turn = None
                woken += partition.pending[:1]
        for each in woken:
            each.wake.set()

    def _append_separable(
        self, partition_number: int, records: list[KeyedRecord], seconds: float
    ) -> list[RecordOutcome | AppendRejected]:
        """Append records together, or each alone if the store rejects them for good.

        One record that the store never takes would have the others rejected at each attempt.
        """
        try:
            outcome = self._append(partition_number, records, seconds)
            return [outcome] * len(records)
        except AppendRejected as error:
            if len(records) == 1:
                return [error]
        outcomes = []
        for record in records:
            outcomes += self._append_separable(partition_number, [record], seconds)
        return outcomes

    def _append(
        self, partition_number: int, records: list[KeyedRecord], seconds: float
    ) -> RecordOutcome:
        """Append records once.

        Raises
        ------
        AppendRejected
            If the store will never take them as they are.
        """
        started_at = steady_seconds()
        # Other threads share the append, so a thread with little time left may not shorten it.
        timeout_s = max(MIN_ATTEMPT_SECONDS, min(seconds, self._health.attempt_timeout_s))
        append_id = self._health.start_append()
        timed_out = False
        try:
            self._store.append(JOBS_TOPIC, partition_number, records, timeout_s)
        except AppendRejected as error:
            # The store has answered, so that this says nothing against the next append.
            self._metrics.count("store_appends_total", "Appends to the store.", outcome=error.code)
            raise
        except PlatformError as error:
            is_unanswered = isinstance(error, CallUnanswered)
            timed_out = is_unanswered and steady_seconds() - started_at >= _TIMED_OUT_SECONDS
            self._health.record_failure(responded=not is_unanswered)
            self._metrics.count("store_appends_total", "Appends to the store.", outcome=error.code)
            log_event(
                "append_failed", part=partition_number, records=len(records), reason=str(error)
            )
            may_be_recorded = is_unanswered and not error.unsent
            return RecordOutcome.UNKNOWN if may_be_recorded else RecordOutcome.NOT_DONE
        except Exception as error:
            # The append may have been applied; the waiting threads still need a result.
            self._health.record_failure()
            log_error("append_failed", error, part=partition_number, records=len(records))
            return RecordOutcome.UNKNOWN
        finally:
            self._health.finish_append(append_id, timed_out=timed_out)
        elapsed_s = steady_seconds() - started_at
        self._health.record_success(elapsed_s)
        self._metrics.count("store_appends_total", "Appends to the store.", outcome="done")
        self._metrics.time(
            "store_append_seconds", "Time of an append that was answered.", elapsed_s
        )
        return RecordOutcome.DONE

"""Puts records of jobs on the store: those that come together go together.

A partition of the store takes its appends in turn. While one append of this node is on its way,
further records for the partition wait and go with the next, so that a store that has become slow
takes as many jobs as come.
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
"""Bounds of one try to put records on the store. An append takes some 10 ms, that of a store 80
times as slow some 500: one that is given up before is carried out all the same, and its repeat
takes a turn of the partition that others wait for."""

_TRYING_SECONDS = 0.5
"""A record that has been tried for this long is not tried again: callers wait about 3 s, and
their own retries meet other nodes, which may reach the store where this one does not."""

_MIN_WAIT_SECONDS = 0.05
"""An append is waited for so long at least: a usual one takes 10 ms."""

_RETRY_SECONDS = 0.05
"""Pause between two tries of a record."""

_FAILURES_UNTIL_DOWN = 2
"""Failures in a row after which the store counts as down; one alone may be chance."""

_DOWN_SECONDS = 0.4
"""How long the store counts as down before one record is tried again."""

_SLOW_APPEND_SECONDS = 0.1
"""An append that usually takes so long, ten times the usual, is that of a slow store."""

_SLOW_MEMORY_SECONDS = 2.0
"""How long that is remembered: after it one record is tried from here again."""

_HANGING_APPEND_SECONDS = 0.2
"""An append that has no answer after so long is that of a slow store, whatever was usual: what
comes meanwhile would else add to what the store has to do in turn."""

_MAX_BATCH_RECORDS = 64
"""The most records of one append: with the longest bodies, a quarter of what a call may hold."""


class _StoreHealth:
    """Whether appends have been failing lately, and how long they take.

    While they fail, one record at a time is tried; all others are refused at once.
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
        """Take note of an append that begins; give the number by which it ends."""
        with self._lock:
            append_id = next(self._append_ids)
            self._started_at[append_id] = steady_seconds()
            return append_id

    def finish_append(self, append_id: int) -> None:
        """Take note that an append is over."""
        with self._lock:
            del self._started_at[append_id]

    @property
    def attempt_timeout_s(self) -> float:
        """How long one try may take."""
        return self._timeout.limit_s

    @property
    def is_slow(self) -> bool:
        """Whether appends take long, or have usually taken long as far as that was seen lately."""
        now = steady_seconds()
        with self._lock:
            oldest_start = min(self._started_at.values(), default=now)
        if now - oldest_start > _HANGING_APPEND_SECONDS:
            return True
        if now - self._last_result_at > _SLOW_MEMORY_SECONDS:
            return False
        return self._timeout.average_s > _SLOW_APPEND_SECONDS

    def prefers_relay(self) -> bool:
        """Tell whether a record should better go another way than by an append from here.

        A store that was slow some time ago is tried with one record, not with all that come until
        its answer is there.
        """
        if self.is_slow:
            return True
        now = steady_seconds()
        with self._lock:
            if self._timeout.average_s <= _SLOW_APPEND_SECONDS:
                return False
            if now - self._slow_probe_at < _SLOW_MEMORY_SECONDS:
                return True
            self._slow_probe_at = now
            return False

    def may_append(self, answered_at: float) -> bool:
        """Tell whether a record may be tried; one that may has to tell how it went.

        ``answered_at`` tells when the store last answered any call, in steady seconds: where
        that is after the last failure, the next failure alone decides.
        """
        with self._lock:
            if answered_at > self._failed_at:
                self._failures = min(self._failures, _FAILURES_UNTIL_DOWN - 1)
            if self._failures < _FAILURES_UNTIL_DOWN:
                return True
            if self._is_probing or steady_seconds() - self._failed_at < _DOWN_SECONDS:
                return False
            self._is_probing = True
            return True

    def record_success(self, seconds: float) -> None:
        """Take over the time of an append that was answered."""
        with self._lock:
            self._failures = 0
            self._is_probing = False
            self._last_result_at = steady_seconds()
            self._timeout.record_answer(seconds)

    def release_probe(self) -> None:
        """Take over that a record which was let try did not."""
        with self._lock:
            self._is_probing = False

    def record_failure(self) -> None:
        """Take over an append without a good answer."""
        with self._lock:
            self._failures += 1
            self._is_probing = False
            self._timeout.record_timeout()
            self._last_result_at = self._failed_at = steady_seconds()


@dataclasses.dataclass(slots=True, eq=False)
class _PendingRecord:
    """A record that waits, and how its append went; None while that is not known.

    It is woken when its append is over, or when it is its turn to append for all that wait.
    """

    record: KeyedRecord
    wake: threading.Event = dataclasses.field(default_factory=threading.Event)
    outcome: RecordOutcome | None = None


class _Partition:
    """What waits for one partition; ``is_busy`` while an append of this node is on its way."""

    def __init__(self) -> None:
        self.lock = threading.Lock()
        self.pending: list[_PendingRecord] = []
        self.is_busy = False


class Recorder:
    """Appends records of jobs; many threads may call it at the same time.

    Parameters
    ----------
    store, parts
        The store, and the partitions of its topics.
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
        """Whether appends of this node have been slow lately, or have failed."""
        return self._health.is_slow

    def prefers_relay(self) -> bool:
        """Tell whether a record should better go by way of the leader."""
        return self._health.prefers_relay()

    def record(self, job: JobId, record: KeyedRecord, seconds: float) -> RecordOutcome:
        """Put a record on the store from this node, waiting for its append.

        Parameters
        ----------
        job, record
            The job, and its record.
        seconds
            The longest wait.
        """
        partition_number = job_partition(job, len(self._partitions))
        outcome = RecordOutcome.NOT_DONE
        started_at = steady_seconds()
        while steady_seconds() - started_at < min(_TRYING_SECONDS, seconds):
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
            time.sleep(_RETRY_SECONDS)
        return outcome

    def _record_once(
        self, partition_number: int, record: KeyedRecord, seconds: float
    ) -> RecordOutcome:
        """Try a record once: with another thread's append, or with an own one for all that wait."""
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
        """Take a record back that waits no longer; call with the partition's lock held."""
        if pending not in partition.pending:
            return RecordOutcome.UNKNOWN
        partition.pending.remove(pending)
        # It was let try, and will not.
        self._health.release_probe()
        return RecordOutcome.NOT_DONE

    def _append_pending(self, partition_number: int, partition: _Partition, seconds: float) -> None:
        """Append what waits, and wake the next that comes after it."""
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
        # Others wait for it too: whoever has little time left may not spoil it for them.
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
            # Nobody knows how far it came; those that wait for it have to be told.
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

"""Appends the leader's progress batches to the store, in order, retrying each until it succeeds.

A batch that the store rejects for good is given back instead, since no later one could follow it.

While one partition fails, the batches go to another one. At most one batch is being written at a
time, so that of several records of a job the one with the highest batch number is the newest,
whichever partition it is in and whenever the append was carried out.
"""

import concurrent.futures
import contextlib
import dataclasses
import functools
import queue
import threading
from collections.abc import Callable, Collection

from ..clocks import steady_seconds
from ..errors import (
    AppendConflict,
    AppendRejected,
    CallUnanswered,
    PlatformError,
    ProducerFenced,
    StoreRefused,
)
from ..jobs.events import BatchRejected, Persist, Persisted
from ..logs import log_error, log_event
from ..node.metrics import Metrics
from ..platform.store import KeyedRecord, Producer, StoreClient
from ..threads import ServiceThread
from .adaptive_timeout import AdaptiveTimeout
from .progress_partitions import FENCE_SEQUENCE, ProgressAppend, ProgressPartitions
from .topics import PROGRESS_TOPIC

__all__ = ["ProgressWriter", "fence_progress"]

_MIN_ATTEMPT_SECONDS = 0.25
_MAX_ATTEMPT_SECONDS = 1.0
"""Bounds of the timeout of one attempt. A batch usually takes about 10 ms; its sequence number
makes repeated appends harmless."""

_RETRY_DELAY_SECONDS = 0.1
"""Pause after a failed attempt, from the second one on."""

_NEXT_ATTEMPT_DELAY_SECONDS = 0.25
_MAX_PARALLEL_ATTEMPTS = 4
"""After this delay without an answer, the next attempt starts in parallel, up to a limit for each
partition: four attempts of at most a second each, a quarter of a second apart."""

_PRODUCER_NAME = "leader"
"""Producer name shared by all leaders, so that a later epoch fences the earlier ones."""


def fence_progress(store: StoreClient, epoch: int, seconds: float, partition: int) -> None:
    """Fence all earlier leaders, so that they can no longer append progress to a partition.

    Repeating the call is safe: if an earlier attempt was applied but its answer lost, the store
    reports the sequence number as used, which counts as success.

    Raises
    ------
    ProducerFenced
        If a later leader has already fenced this one.
    PlatformError
        If the fence may not have been applied.
    """
    producer = Producer(_PRODUCER_NAME, epoch, FENCE_SEQUENCE)
    try:
        store.append(PROGRESS_TOPIC, partition, [], seconds, producer=producer)
    except AppendConflict:
        log_event("fence_repeated", epoch=epoch, part=partition)


class ProgressWriter:
    """A thread that appends batches in order.

    A batch whose answer was lost is appended again with the same sequence number, so the store
    keeps it once.

    Parameters
    ----------
    store
        The store.
    epoch
        The leader's epoch.
    on_outcome
        Called for each batch that is stored, or that the store rejects for good.
    on_fenced
        Called once with the reason, if a later leader has fenced this one or a batch failed.
    metrics
        Counts and times appends.
    partitions
        The partitions that may hold progress; by default, only the first.
    may_switch
        Returns whether another partition may be used: whether all peers would read it.
    """

    def __init__(
        self,
        store: StoreClient,
        epoch: int,
        on_outcome: Callable[[Persisted | BatchRejected], None],
        on_fenced: Callable[[str], None],
        metrics: Metrics,
        partitions: ProgressPartitions | None = None,
        may_switch: Callable[[], bool] = lambda: True,
    ) -> None:
        self._store = store
        self._epoch = epoch
        self._on_outcome = on_outcome
        self._on_fenced = on_fenced
        self._metrics = metrics
        self._partitions = partitions or ProgressPartitions(1)
        self._may_switch = may_switch
        self._timeout = AdaptiveTimeout(_MIN_ATTEMPT_SECONDS, _MAX_ATTEMPT_SECONDS)
        # Appends of which an attempt had no answer. Even if the store rejects a later attempt, the
        # sequence number may be taken, so that it must not be used for another batch.
        self._uncertain: set[ProgressAppend] = set()
        self._batches: queue.SimpleQueue[Persist | None] = queue.SimpleQueue()
        self._stopped = threading.Event()
        self._thread = ServiceThread(self._run, "progress", self._stopped.is_set)

    def start(self) -> None:
        """Start the thread."""
        self._thread.start()

    def write(self, batch: Persist) -> None:
        """Queue a batch."""
        self._batches.put(batch)

    def stop(self) -> None:
        """Stop the thread; batches that are not stored yet may or may not be."""
        self._stopped.set()
        self._batches.put(None)

    def _run(self) -> None:
        while not self._stopped.is_set():
            batch = self._batches.get()
            if batch is None:
                return
            try:
                if not self._write(batch):
                    self._stopped.set()
                    return
            except Exception as error:
                # No later batch may be appended while the outcome of this one is unknown.
                log_error("progress_failed", error, batch=batch.number)
                self._on_fenced(f"a batch could not be written: {error}")
                self._stopped.set()
                return

    def _write(self, batch: Persist) -> bool:
        """Append a batch; return whether the writer may continue."""
        started_at = steady_seconds()
        self._partitions.begin(started_at)
        append = self._partitions.next_append(batch)
        outcome = self._append_once(append, self._timeout.limit_s)
        if isinstance(outcome, _AppendFailed):
            self._timeout.record_timeout()
            log_event(
                "dependency_lost",
                dependency="store",
                batch=batch.number,
                part=append.partition,
                reason=outcome.reason,
            )
            if outcome.may_be_stored:
                self._uncertain.add(append)
            outcome = self._append_until_answered(batch)
            log_event(
                "dependency_regained", dependency="store", seconds=steady_seconds() - started_at
            )
        elif isinstance(outcome, _Appended):
            self._partitions.settle(append)
        elif isinstance(outcome, _Rejected):
            self._partitions.withdraw(append)
        if isinstance(outcome, _Appended):
            self._timeout.record_answer(outcome.seconds)
            self._metrics.count("store_appends_total", "Appends to the store.", outcome="done")
            self._metrics.time(
                "store_append_seconds", "Time of an append that was answered.", outcome.seconds
            )
            self._on_outcome(Persisted(batch.number))
            return True
        if isinstance(outcome, _Rejected):
            log_event(
                "append_rejected",
                batch=batch.number,
                records=len(batch.records),
                reason=outcome.reason,
            )
            self._on_outcome(BatchRejected(batch.number))
            return True
        if isinstance(outcome, _Fenced):
            self._on_fenced(outcome.reason)
        return False

    def _append_until_answered(self, batch: Persist) -> "_Appended | _Rejected | _Fenced | None":
        """Retry a batch with overlapping attempts until one is answered; return None if stopped.

        An attempt that starts just before the store recovers may hang until its timeout, while
        another connection is answered at once. Attempts in a partition that was left count, too.
        """
        pending: dict[concurrent.futures.Future[_Outcome], ProgressAppend] = {}
        partitions = self._partitions
        with contextlib.closing(_AttemptPool(partitions.count)) as attempts:
            while not self._stopped.is_set():
                self._switch_if_overdue(batch)
                append = partitions.next_append(batch)
                if list(pending.values()).count(append) < _MAX_PARALLEL_ATTEMPTS:
                    attempt = functools.partial(self._append_once, append, _MAX_ATTEMPT_SECONDS)
                    pending[attempts.submit(attempt)] = append
                finished, _ = concurrent.futures.wait(
                    pending, self._seconds_until_next_attempt(), concurrent.futures.FIRST_COMPLETED
                )
                has_failed = False
                for future in finished:
                    append, outcome = pending.pop(future), future.result()
                    if isinstance(outcome, _AppendFailed):
                        has_failed = True
                        if outcome.may_be_stored:
                            self._uncertain.add(append)
                    elif not partitions.is_open(append):
                        continue
                    elif isinstance(outcome, _Fenced):
                        return outcome
                    else:
                        if isinstance(outcome, _Rejected):
                            if self._may_be_stored(append, pending.values()):
                                return _Fenced(f"an append that may be stored: {outcome.reason}")
                            partitions.withdraw(append)
                        else:
                            self._uncertain.discard(append)
                            partitions.settle(append)
                        if append.batch is batch:
                            return outcome
                if has_failed:
                    self._stopped.wait(_RETRY_DELAY_SECONDS)
        return None

    def _may_be_stored(self, append: ProgressAppend, pending: Collection[ProgressAppend]) -> bool:
        """Check whether an append may be stored although the store has rejected it."""
        is_unanswered = append in self._uncertain or append in pending
        return is_unanswered or self._partitions.is_open_elsewhere(append)

    def _seconds_until_next_attempt(self) -> float:
        until_switch_s = self._partitions.seconds_until_switch(steady_seconds())
        if until_switch_s <= 0:
            return _NEXT_ATTEMPT_DELAY_SECONDS
        return min(_NEXT_ATTEMPT_DELAY_SECONDS, until_switch_s)

    def _switch_if_overdue(self, batch: Persist) -> None:
        """Continue with the next partition once the current one has failed for too long."""
        partitions = self._partitions
        now = steady_seconds()
        if (
            partitions.count == 1
            or partitions.seconds_until_switch(now) > 0
            or not self._may_switch()
        ):
            return
        left = partitions.current
        partitions.switch(now)
        self._metrics.count(
            "progress_switches_total", "Changes of the partition that takes progress records."
        )
        log_event(
            "progress_partition_changed", batch=batch.number, left=left, part=partitions.current
        )

    def _append_once(self, append: ProgressAppend, seconds: float) -> "_Outcome":
        producer = Producer(_PRODUCER_NAME, self._epoch, append.sequence)
        records = [KeyedRecord(record.key, record.data) for record in append.batch.records]
        started_at = steady_seconds()
        try:
            self._store.append(
                PROGRESS_TOPIC, append.partition, records, seconds, producer=producer
            )
        except (ProducerFenced, AppendConflict) as error:
            return _Fenced(f"progress append: {error}")
        except PlatformError as error:
            self._metrics.count("store_appends_total", "Appends to the store.", outcome=error.code)
            if isinstance(error, AppendRejected):
                return _Rejected(str(error))
            is_unsent = isinstance(error, CallUnanswered) and error.unsent
            is_refused = is_unsent or isinstance(error, StoreRefused)
            return _AppendFailed(str(error), may_be_stored=not is_refused)
        return _Appended(steady_seconds() - started_at)


@dataclasses.dataclass(frozen=True, slots=True)
class _Appended:
    """The batch is stored; ``seconds`` is the duration of the attempt."""

    seconds: float


@dataclasses.dataclass(frozen=True, slots=True)
class _AppendFailed:
    """The attempt failed or had no answer; the batch may be stored nevertheless."""

    reason: str
    may_be_stored: bool


@dataclasses.dataclass(frozen=True, slots=True)
class _Rejected:
    """The store will never take the batch as it is; nothing of it is stored."""

    reason: str


@dataclasses.dataclass(frozen=True, slots=True)
class _Fenced:
    """Another leader has fenced this one, or it cannot tell what is stored."""

    reason: str


_Outcome = _Appended | _AppendFailed | _Rejected | _Fenced


class _AttemptPool:
    """Runs attempts of one batch on threads; does not wait for those still running on close."""

    def __init__(self, partition_count: int) -> None:
        self._pool = concurrent.futures.ThreadPoolExecutor(
            _MAX_PARALLEL_ATTEMPTS * partition_count, "progress-try"
        )

    def submit(self, attempt: Callable[[], _Outcome]) -> "concurrent.futures.Future[_Outcome]":
        """Start an attempt on a thread."""
        return self._pool.submit(attempt)

    def close(self) -> None:
        """Accept no more attempts."""
        self._pool.shutdown(wait=False)

"""Appends the leader's progress batches to the store, in order, retrying each until it succeeds."""

import concurrent.futures
import contextlib
import dataclasses
import queue
import threading
from collections.abc import Callable

from ..clocks import steady_seconds
from ..errors import (
    AppendConflict,
    PlatformError,
    ProducerFenced,
)
from ..jobs.events import Persist, Persisted
from ..logs import log_error, log_event
from ..node.metrics import Metrics
from ..platform.store import KeyedRecord, Producer, StoreClient
from ..threads import ServiceThread
from .adaptive_timeout import AdaptiveTimeout
from .topics import DEFAULT_PARTITION, PROGRESS_TOPIC

__all__ = ["ProgressWriter", "fence_progress"]

_MIN_ATTEMPT_SECONDS = 0.25
_MAX_ATTEMPT_SECONDS = 1.0
"""Bounds of the timeout of one attempt. A batch usually takes about 10 ms; its sequence number
makes repeated appends harmless."""

_RETRY_DELAY_SECONDS = 0.1
"""Pause after a failed attempt, from the second one on."""

_NEXT_ATTEMPT_DELAY_SECONDS = 0.25
_MAX_PARALLEL_ATTEMPTS = 4
"""After this delay without an answer, the next attempt starts in parallel, up to a limit: four
attempts of at most a second each, a quarter of a second apart."""

_PRODUCER_NAME = "leader"
"""Producer name shared by all leaders, so that a later epoch fences the earlier ones."""

_FENCE_SEQUENCE = 0
"""Sequence number of the fencing append; batches start at 1."""


def fence_progress(store: StoreClient, epoch: int, seconds: float) -> None:
    """Fence all earlier leaders, so that they can no longer append progress records.

    Repeating the call is safe: if an earlier attempt was applied but its answer lost, the store
    reports the sequence number as used, which counts as success.

    Raises
    ------
    ProducerFenced
        If a later leader has already fenced this one.
    PlatformError
        If the fence may not have been applied.
    """
    producer = Producer(_PRODUCER_NAME, epoch, _FENCE_SEQUENCE)
    try:
        store.append(PROGRESS_TOPIC, DEFAULT_PARTITION, [], seconds, producer=producer)
    except AppendConflict:
        log_event("fence_repeated", epoch=epoch)


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
    on_persisted
        Called for each batch that is stored.
    on_fenced
        Called once with the reason, if a later leader has fenced this one or a batch failed.
    metrics
        Counts and times appends.
    """

    def __init__(
        self,
        store: StoreClient,
        epoch: int,
        on_persisted: Callable[[Persisted], None],
        on_fenced: Callable[[str], None],
        metrics: Metrics,
    ) -> None:
        self._store = store
        self._epoch = epoch
        self._on_persisted = on_persisted
        self._on_fenced = on_fenced
        self._metrics = metrics
        self._timeout = AdaptiveTimeout(_MIN_ATTEMPT_SECONDS, _MAX_ATTEMPT_SECONDS)
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
        records = [KeyedRecord(record.job, record.data) for record in batch.records]
        started_at = steady_seconds()
        outcome = self._append_once(records, batch.number, self._timeout.limit_s)
        if isinstance(outcome, _AppendFailed):
            self._timeout.record_timeout()
            log_event(
                "dependency_lost", dependency="store", batch=batch.number, reason=outcome.reason
            )
            outcome = self._append_until_answered(records, batch.number)
            log_event(
                "dependency_regained", dependency="store", seconds=steady_seconds() - started_at
            )
        if isinstance(outcome, _Appended):
            self._timeout.record_answer(outcome.seconds)
            self._metrics.count("store_appends_total", "Appends to the store.", outcome="done")
            self._metrics.time(
                "store_append_seconds", "Time of an append that was answered.", outcome.seconds
            )
            self._on_persisted(Persisted(batch.number))
            return True
        if isinstance(outcome, _Fenced):
            self._on_fenced(outcome.reason)
        return False

    def _append_until_answered(
        self, records: list[KeyedRecord], sequence: int
    ) -> "_Appended | _Fenced | None":
        """Retry a batch with overlapping attempts until one is answered; return None if stopped.

        An attempt that starts just before the store recovers may hang until its timeout, while
        another connection is answered at once.
        """
        pending: set[concurrent.futures.Future[_Outcome]] = set()
        with contextlib.closing(_AttemptPool()) as attempts:
            while not self._stopped.is_set():
                if len(pending) < _MAX_PARALLEL_ATTEMPTS:
                    pending.add(
                        attempts.submit(
                            lambda: self._append_once(records, sequence, _MAX_ATTEMPT_SECONDS)
                        )
                    )
                finished, pending = concurrent.futures.wait(
                    pending, _NEXT_ATTEMPT_DELAY_SECONDS, concurrent.futures.FIRST_COMPLETED
                )
                outcomes = [each.result() for each in finished]
                for outcome in outcomes:
                    if not isinstance(outcome, _AppendFailed):
                        return outcome
                if outcomes:
                    self._stopped.wait(_RETRY_DELAY_SECONDS)
        return None

    def _append_once(self, records: list[KeyedRecord], sequence: int, seconds: float) -> "_Outcome":
        producer = Producer(_PRODUCER_NAME, self._epoch, sequence)
        started_at = steady_seconds()
        try:
            self._store.append(
                PROGRESS_TOPIC, DEFAULT_PARTITION, records, seconds, producer=producer
            )
        except (ProducerFenced, AppendConflict) as error:
            return _Fenced(f"progress append: {error}")
        except PlatformError as error:
            self._metrics.count("store_appends_total", "Appends to the store.", outcome=error.code)
            return _AppendFailed(str(error))
        return _Appended(steady_seconds() - started_at)


@dataclasses.dataclass(frozen=True, slots=True)
class _Appended:
    """The batch is stored; ``seconds`` is the duration of the attempt."""

    seconds: float


@dataclasses.dataclass(frozen=True, slots=True)
class _AppendFailed:
    """The attempt failed or had no answer; the batch may be stored nevertheless."""

    reason: str


@dataclasses.dataclass(frozen=True, slots=True)
class _Fenced:
    """Another leader has fenced this one."""

    reason: str


_Outcome = _Appended | _AppendFailed | _Fenced


class _AttemptPool:
    """Runs attempts of one batch on threads; does not wait for those still running on close."""

    def __init__(self) -> None:
        self._pool = concurrent.futures.ThreadPoolExecutor(_MAX_PARALLEL_ATTEMPTS, "progress-try")

    def submit(self, attempt: Callable[[], _Outcome]) -> "concurrent.futures.Future[_Outcome]":
        """Start an attempt on a thread."""
        return self._pool.submit(attempt)

    def close(self) -> None:
        """Accept no more attempts."""
        self._pool.shutdown(wait=False)

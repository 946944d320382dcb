"""Appends the leader's batches to the store, one at a time, each until it is on record."""

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
"""Bounds of one try: a batch takes some 10 ms; it is numbered, so sending it again does no
harm."""

_RETRY_DELAY_SECONDS = 0.1
"""Pause after a try that failed, from the second one on."""

_NEXT_ATTEMPT_DELAY_SECONDS = 0.25
_MAX_PARALLEL_ATTEMPTS = 4
"""After so long without an answer the next try begins beside the last; so many run at most, which
is one a quarter of a second for as long as one may take."""

_PRODUCER_NAME = "leader"
"""The name under which each leader appends, so that a later epoch shuts out the earlier ones."""

_FENCE_SEQUENCE = 0
"""The sequence number of the fencing; batches count from 1."""


def fence_progress(store: StoreClient, epoch: int, seconds: float) -> None:
    """Shut out all earlier leaders from the progress records.

    It may be repeated: where the answer of an earlier try was lost, the store holds the epoch
    already and takes the number as used. Taken for a failure, that kept a new leader from ever
    beginning.

    Raises
    ------
    ProducerFenced
        If a later leader has done so already.
    PlatformError
        If it may not have been done.
    """
    producer = Producer(_PRODUCER_NAME, epoch, _FENCE_SEQUENCE)
    try:
        store.append(PROGRESS_TOPIC, DEFAULT_PARTITION, [], seconds, producer=producer)
    except AppendConflict:
        log_event("fence_repeated", epoch=epoch)


class ProgressWriter:
    """A thread that puts batches on record in order.

    A batch whose answer was lost is appended again under its sequence number, so it stands on
    record once.

    Parameters
    ----------
    store
        The store.
    epoch
        The leader's epoch.
    persisted
        Called for each batch that is on record.
    fenced
        Called once if a later leader has shut this one out.
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
        """Put a batch on record as soon as those before it are."""
        self._batches.put(batch)

    def stop(self) -> None:
        """Stop; batches that are not on record may or may not get there."""
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
                # Nothing may overtake a batch whose fate is unknown.
                log_error("progress_failed", error, batch=batch.number)
                self._on_fenced(f"a batch could not be written: {error}")
                self._stopped.set()
                return

    def _write(self, batch: Persist) -> bool:
        """Put a batch on record; tell whether to go on."""
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
        """Try a batch again and again, without waiting for each try; none where told to stop.

        A try begun just before the store's return may hang until its end. The next one, on
        another connection, is answered at once.
        """
        running: set[concurrent.futures.Future[_Outcome]] = set()
        with contextlib.closing(_AttemptPool()) as attempts:
            while not self._stopped.is_set():
                if len(running) < _MAX_PARALLEL_ATTEMPTS:
                    running.add(
                        attempts.submit(
                            lambda: self._append_once(records, sequence, _MAX_ATTEMPT_SECONDS)
                        )
                    )
                finished, running = concurrent.futures.wait(
                    running, _NEXT_ATTEMPT_DELAY_SECONDS, concurrent.futures.FIRST_COMPLETED
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
    """A batch is on record; the try took so many seconds."""

    seconds: float


@dataclasses.dataclass(frozen=True, slots=True)
class _AppendFailed:
    """A try had no good answer; the batch may be on record all the same."""

    reason: str


@dataclasses.dataclass(frozen=True, slots=True)
class _Fenced:
    """Another leader writes."""

    reason: str


_Outcome = _Appended | _AppendFailed | _Fenced


class _AttemptPool:
    """Tries of one batch on threads of their own; those that still run are left to themselves."""

    def __init__(self) -> None:
        self._pool = concurrent.futures.ThreadPoolExecutor(_MAX_PARALLEL_ATTEMPTS, "progress-try")

    def submit(self, attempt: Callable[[], _Outcome]) -> "concurrent.futures.Future[_Outcome]":
        """Begin a try."""
        return self._pool.submit(attempt)

    def close(self) -> None:
        """Begin no more tries."""
        self._pool.shutdown(wait=False)

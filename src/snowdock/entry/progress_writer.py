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
from .patience import Patience
from .topics import PART, PROGRESS_TOPIC

__all__ = ["ProgressWriter", "fence_progress"]

_SHORTEST_TRY_SECONDS = 0.25
_CALL_SECONDS = 1.0
"""Bounds of one try: a batch takes some 10 ms; it is numbered, so sending it again does no
harm."""

_RETRY_SECONDS = 0.1
"""Pause after a try that failed, from the second one on."""

_NEXT_TRY_SECONDS = 0.25
_MOST_TRIES = 4
"""After so long without an answer the next try begins beside the last; so many run at most, which
is one a quarter of a second for as long as one may take."""

_PRODUCER = "leader"
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
    producer = Producer(_PRODUCER, epoch, _FENCE_SEQUENCE)
    try:
        store.append(PROGRESS_TOPIC, PART, [], seconds, producer=producer)
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
        persisted: Callable[[Persisted], None],
        fenced: Callable[[str], None],
        metrics: Metrics,
    ) -> None:
        self._store = store
        self._epoch = epoch
        self._persisted = persisted
        self._fenced = fenced
        self._metrics = metrics
        self._patience = Patience(_SHORTEST_TRY_SECONDS, _CALL_SECONDS)
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
                self._fenced(f"a batch could not be written: {error}")
                self._stopped.set()
                return

    def _write(self, batch: Persist) -> bool:
        """Put a batch on record; tell whether to go on."""
        records = [KeyedRecord(record.job, record.data) for record in batch.records]
        began = steady_seconds()
        outcome = self._try(records, batch.number, self._patience.limit)
        if isinstance(outcome, _Failed):
            self._patience.miss()
            log_event(
                "dependency_lost", dependency="store", batch=batch.number, reason=outcome.reason
            )
            outcome = self._try_until_answered(records, batch.number)
            log_event("dependency_regained", dependency="store", seconds=steady_seconds() - began)
        if isinstance(outcome, _Done):
            self._patience.note(outcome.seconds)
            self._metrics.count("store_appends_total", "Appends to the store.", outcome="done")
            self._metrics.time(
                "store_append_seconds", "Time of an append that was answered.", outcome.seconds
            )
            self._persisted(Persisted(batch.number))
            return True
        if isinstance(outcome, _ShutOut):
            self._fenced(outcome.reason)
        return False

    def _try_until_answered(
        self, records: list[KeyedRecord], number: int
    ) -> "_Done | _ShutOut | None":
        """Try a batch again and again, without waiting for each try; none where told to stop.

        A try begun just before the store's return may hang until its end. The next one, on
        another connection, is answered at once.
        """
        running: set[concurrent.futures.Future[_Outcome]] = set()
        with contextlib.closing(_Tries()) as tries:
            while not self._stopped.is_set():
                if len(running) < _MOST_TRIES:
                    running.add(tries.begin(lambda: self._try(records, number, _CALL_SECONDS)))
                ended, running = concurrent.futures.wait(
                    running, _NEXT_TRY_SECONDS, concurrent.futures.FIRST_COMPLETED
                )
                answers = [each.result() for each in ended]
                for answer in answers:
                    if not isinstance(answer, _Failed):
                        return answer
                if answers:
                    self._stopped.wait(_RETRY_SECONDS)
        return None

    def _try(self, records: list[KeyedRecord], number: int, seconds: float) -> "_Outcome":
        producer = Producer(_PRODUCER, self._epoch, number)
        began = steady_seconds()
        try:
            self._store.append(PROGRESS_TOPIC, PART, records, seconds, producer=producer)
        except (ProducerFenced, AppendConflict) as error:
            return _ShutOut(f"progress append: {error}")
        except PlatformError as error:
            self._metrics.count("store_appends_total", "Appends to the store.", outcome=error.code)
            return _Failed(str(error))
        return _Done(steady_seconds() - began)


@dataclasses.dataclass(frozen=True, slots=True)
class _Done:
    """A batch is on record; the try took so many seconds."""

    seconds: float


@dataclasses.dataclass(frozen=True, slots=True)
class _Failed:
    """A try had no good answer; the batch may be on record all the same."""

    reason: str


@dataclasses.dataclass(frozen=True, slots=True)
class _ShutOut:
    """Another leader writes."""

    reason: str


_Outcome = _Done | _Failed | _ShutOut


class _Tries:
    """Tries of one batch on threads of their own; those that still run are left to themselves."""

    def __init__(self) -> None:
        self._pool = concurrent.futures.ThreadPoolExecutor(_MOST_TRIES, "progress-try")

    def begin(self, attempt: Callable[[], _Outcome]) -> "concurrent.futures.Future[_Outcome]":
        """Begin a try."""
        return self._pool.submit(attempt)

    def close(self) -> None:
        """Begin no more tries."""
        self._pool.shutdown(wait=False)

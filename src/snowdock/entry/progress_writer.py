"""Appends the leader's batches to the store, one at a time, each until it is on record."""

import queue
import threading
import time
from collections.abc import Callable

from ..errors import (
    AppendConflict,
    CallUnanswered,
    PlatformError,
    ProducerFenced,
    StoreRefused,
)
from ..jobs.events import Persist, Persisted
from ..jobs.progress import cancel_key
from ..node.logs import log_error, log_event
from ..node.metrics import Metrics
from ..platform.store import KeyedRecord, Producer, StoreClient
from .patience import Patience
from .topics import JOBS_TOPIC, PART, PROGRESS_TOPIC, job_part

__all__ = ["ProgressWriter", "drop_jobs", "fence_progress"]

_SHORTEST_TRY_SECONDS = 0.25
_CALL_SECONDS = 1.0
"""Bounds of one try: a batch takes some 10 ms; it is numbered, so sending it again does no
harm."""

_RETRY_SECONDS = 0.1
"""Pause between tries of a batch, from the second failure on."""

_PRODUCER = "leader"
"""The name under which each leader appends, so that a later epoch shuts out the earlier ones."""

_FENCE_SEQUENCE = 0
"""The sequence number of the fencing; batches count from 1."""


def fence_progress(store: StoreClient, epoch: int, seconds: float) -> None:
    """Shut out all earlier leaders from the progress records.

    Raises
    ------
    ProducerFenced
        If a later leader has done so already.
    PlatformError
        If it may not have been done.
    """
    producer = Producer(_PRODUCER, epoch, _FENCE_SEQUENCE)
    store.append(PROGRESS_TOPIC, PART, [], seconds, producer=producer)


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
        self._thread = threading.Thread(target=self._run, name="progress", daemon=True)

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
                    return
            except Exception as error:
                # Nothing may overtake a batch whose fate is unknown.
                log_error("progress_failed", error, batch=batch.number)
                self._fenced(f"a batch could not be written: {error}")
                return

    def _write(self, batch: Persist) -> bool:
        records = [KeyedRecord(record.job, record.data) for record in batch.records]
        producer = Producer(_PRODUCER, self._epoch, batch.number)
        failing_since = None
        tries = 0
        while not self._stopped.is_set():
            began = time.monotonic()
            try:
                limit = self._patience.limit
                self._store.append(PROGRESS_TOPIC, PART, records, limit, producer=producer)
            except (ProducerFenced, AppendConflict) as error:
                self._fenced(f"progress append: {error}")
                return False
            except (CallUnanswered, StoreRefused, PlatformError) as error:
                tries += 1
                self._patience.miss()
                self._metrics.count(
                    "store_appends_total", "Appends to the store.", outcome=error.code
                )
                if failing_since is None:
                    failing_since = began
                    log_event(
                        "dependency_lost", dependency="store", batch=batch.number, reason=str(error)
                    )
                if tries > 1:
                    self._stopped.wait(_RETRY_SECONDS)
                continue
            self._patience.note(time.monotonic() - began)
            if failing_since is not None:
                seconds = time.monotonic() - failing_since
                log_event("dependency_regained", dependency="store", seconds=seconds)
            self._metrics.count("store_appends_total", "Appends to the store.", outcome="done")
            self._metrics.time(
                "store_append_seconds",
                "Time of an append that was answered.",
                time.monotonic() - began,
            )
            self._persisted(Persisted(batch.number))
            return True
        return False


def drop_jobs(store: StoreClient, parts: int, jobs: tuple[str, ...]) -> None:
    """Drop the records of jobs that have been final for long.

    Raises
    ------
    PlatformError
        If it may not have been done.
    """
    for part in range(parts):
        gone = [
            KeyedRecord(key, None)
            for job in jobs
            if job_part(job, parts) == part
            for key in (job, cancel_key(job))
        ]
        if gone:
            store.append(JOBS_TOPIC, part, gone, _CALL_SECONDS)
    store.append(PROGRESS_TOPIC, PART, [KeyedRecord(job, None) for job in jobs], _CALL_SECONDS)

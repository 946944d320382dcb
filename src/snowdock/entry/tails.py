"""Threads that follow keyed topics of the store."""

import math
import threading
from collections.abc import Callable

from ..clocks import steady_seconds
from ..errors import LogExpired, PlatformError
from ..logs import log_error, log_event
from ..platform.store import KeyedRecord, StoreClient
from ..threads import ServiceThread

__all__ = ["Tail"]

_SNAPSHOT_TIMEOUT_SECONDS = 1.5
"""How long one page of the newest records may take."""

_RETRY_DELAY_SECONDS = 0.15
"""Pause after a read that failed."""

_STABLE_AFTER_SECONDS = 0.5
"""After a failed read, answers are relied on again only when they have come for so long: just after
the store's return, others may be told of it a moment later."""

_SNAPSHOT_AFTER_SECONDS = 1.0
"""After the store was away for this long, all newest records are read: entries that lapsed
meanwhile may have left no record."""


class Tail:
    """Follows one partition of a keyed topic.

    Parameters
    ----------
    store
        The store.
    topic, part
        What is followed.
    wait_seconds
        How long one read waits for news.
    pause_seconds
        Pause after each read with news, to take several together.
    take
        Called with each record, in order.
    take_all
        Called with the newest records of all keys: at the start, and where some were missed.
    """

    def __init__(
        self,
        store: StoreClient,
        topic: str,
        partition: int,
        wait_seconds: float,
        pause_seconds: float,
        on_record: Callable[[KeyedRecord], None],
        on_snapshot: Callable[[list[KeyedRecord]], None],
    ) -> None:
        self._store = store
        self._topic = topic
        self._partition = partition
        self._wait_seconds = wait_seconds
        self._pause_seconds = pause_seconds
        self._on_record = on_record
        self._on_snapshot = on_snapshot
        self._next_offset: int | None = None
        self._read_at = 0.0
        self._failing_since: float | None = None
        self._failed_at = -math.inf
        self._stopped = threading.Event()
        self._thread = ServiceThread(self._run, f"tail-{topic}", self._stopped.is_set)

    @property
    def read_at(self) -> float:
        """The steady time at which the last answered read began, in seconds."""
        return self._read_at

    @property
    def failing_seconds(self) -> float:
        """For how long reads have failed; 0 while they are answered."""
        since = self._failing_since
        return 0.0 if since is None else steady_seconds() - since

    @property
    def seconds_since_failure(self) -> float:
        """For how long no read has failed; infinite where none ever has."""
        return steady_seconds() - self._failed_at

    @property
    def is_stable(self) -> bool:
        """Whether reads are answered, and have been for a while."""
        return not self.failing_seconds and self.seconds_since_failure > _STABLE_AFTER_SECONDS

    def start(self, next_offset: int | None = None) -> None:
        """Start following from an offset, or from the newest records."""
        self._next_offset = next_offset
        self._read_at = steady_seconds()
        self._thread.start()

    def stop(self) -> None:
        """Stop following."""
        self._stopped.set()

    def _run(self) -> None:
        while not self._stopped.is_set():
            try:
                self._read_once()
            except LogExpired as error:
                log_event("history_expired", topic=self._topic, first=error.first)
                self._next_offset = None
            except PlatformError as error:
                self._record_failure(error)
                self._stopped.wait(_RETRY_DELAY_SECONDS)
            except Exception as error:
                # Whatever one record brings about, those after it are still followed.
                log_error("tail_failed", error, topic=self._topic)
                self._stopped.wait(_RETRY_DELAY_SECONDS)

    def _read_once(self) -> None:
        started_at = steady_seconds()
        if self._next_offset is None:
            page = self._store.newest(self._topic, self._partition, _SNAPSHOT_TIMEOUT_SECONDS)
            self._record_success(started_at)
            self._next_offset = page.next_offset
            self._on_snapshot(page.records)
            return
        # A read that hangs when the store comes back tells so only when it is given up.
        wait_seconds = self._wait_seconds if self._failing_since is None else 0.0
        page = self._store.read(self._topic, self._partition, self._next_offset, wait_seconds)
        self._record_success(started_at)
        if self._next_offset is None:
            return
        self._next_offset = page.next_offset
        for record in page.records:
            self._on_record(record)
        if page.records and self._pause_seconds:
            self._stopped.wait(self._pause_seconds)

    def _record_failure(self, error: PlatformError) -> None:
        self._failed_at = steady_seconds()
        if self._failing_since is None:
            self._failing_since = steady_seconds()
            log_event("dependency_lost", dependency="store", topic=self._topic, reason=str(error))

    def _record_success(self, started_at: float) -> None:
        self._read_at = started_at
        if self._failing_since is None:
            return
        seconds = steady_seconds() - self._failing_since
        self._failing_since = None
        log_event("dependency_regained", dependency="store", topic=self._topic, seconds=seconds)
        if seconds > _SNAPSHOT_AFTER_SECONDS:
            self._next_offset = None

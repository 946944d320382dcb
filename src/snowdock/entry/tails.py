"""Following keyed topics of the store, as `tail -f` follows a file."""

import math
import threading
from collections.abc import Callable, Iterable

from ..clocks import steady_seconds
from ..errors import LogExpired, PlatformError
from ..logs import log_error, log_event
from ..platform.store import KeyedRecord, StoreClient
from ..threads import ServiceThread

__all__ = ["Tail", "handle_each"]

_SNAPSHOT_TIMEOUT_SECONDS = 1.5
"""Timeout of reading the newest records of all keys."""

_RETRY_DELAY_SECONDS = 0.15
"""Pause after a failed read."""

_STABLE_AFTER_SECONDS = 0.5
"""How long reads must succeed after a failure before the store counts as stable again. Other nodes
may notice the recovery slightly later."""

_SNAPSHOT_AFTER_SECONDS = 1.0
"""After an outage of the store longer than this, the newest records of all keys are read again,
since entries that expired meanwhile may have left no record."""


def handle_each(records: Iterable[KeyedRecord], handle: Callable[[KeyedRecord], None]) -> None:
    """Handle records in order; one whose handling fails is logged and skipped."""
    for record in records:
        try:
            handle(record)
        except Exception as error:
            log_error("record_skipped", error, key=record.short_key, offset=record.offset)


class Tail:
    """A thread that follows one partition of a keyed topic.

    Parameters
    ----------
    store
        The store.
    topic, partition
        The topic and its partition.
    wait_seconds
        How long one read waits for new records.
    pause_seconds
        Pause after each read with new records, to handle several together.
    on_record
        Called with each new record, in order; a record for which it fails is skipped.
    on_snapshot
        Called with the newest records of all keys, at the start and after records were missed. It
        handles them with `handle_each`.
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
        """The steady time up to which all records have been handled, in seconds.

        It is the start of the last read whose records were handled and reached the partition's end.
        If that read waited without finding new records, it is the end of its wait, since the store
        answers as soon as there is a record.
        """
        return self._read_at

    @property
    def failing_seconds(self) -> float:
        """Seconds for which reads have failed; 0 while they succeed."""
        since = self._failing_since
        return 0.0 if since is None else steady_seconds() - since

    @property
    def seconds_since_failure(self) -> float:
        """Seconds since the last failed read; infinite if there was none."""
        return steady_seconds() - self._failed_at

    @property
    def is_stable(self) -> bool:
        """Whether reads succeed, and have done so for a while."""
        return not self.failing_seconds and self.seconds_since_failure > _STABLE_AFTER_SECONDS

    def start(self, next_offset: int | None = None, read_at: float | None = None) -> None:
        """Start following.

        Parameters
        ----------
        next_offset
            The offset to follow from; None to read the newest records of all keys first.
        read_at
            The steady time up to which the records before that offset are known, in seconds; None
            for now.
        """
        self._next_offset = next_offset
        self._read_at = steady_seconds() if read_at is None else read_at
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
                # An error in handling a snapshot must not stop the reading.
                log_error("tail_failed", error, topic=self._topic)
                self._stopped.wait(_RETRY_DELAY_SECONDS)

    def _read_once(self) -> None:
        started_at = steady_seconds()
        if self._next_offset is None:
            page = self._store.newest(self._topic, self._partition, _SNAPSHOT_TIMEOUT_SECONDS)
            self._record_success()
            self._next_offset = page.next_offset
            self._on_snapshot(page.records)
            self._read_at = started_at
            return
        # A waiting read would notice the recovery of the store only at its timeout.
        wait_seconds = self._wait_seconds if self._failing_since is None else 0.0
        page = self._store.read(self._topic, self._partition, self._next_offset, wait_seconds)
        is_up_to_date = not page.records and page.next_offset == self._next_offset
        # An answer that came too early does not prove that the store has waited.
        has_waited = steady_seconds() - started_at >= wait_seconds
        self._record_success()
        if self._next_offset is None:
            return
        self._next_offset = page.next_offset
        handle_each(page.records, self._on_record)
        # Only after the records are handled, since they may be older than this read. A page that is
        # cut says nothing of the records that it leaves out.
        if not page.is_cut:
            self._read_at = started_at + (wait_seconds if is_up_to_date and has_waited else 0.0)
        if page.records and self._pause_seconds:
            self._stopped.wait(self._pause_seconds)

    def _record_failure(self, error: PlatformError) -> None:
        self._failed_at = steady_seconds()
        if self._failing_since is None:
            self._failing_since = steady_seconds()
            log_event("dependency_lost", dependency="store", topic=self._topic, reason=str(error))

    def _record_success(self) -> None:
        if self._failing_since is None:
            return
        seconds = steady_seconds() - self._failing_since
        self._failing_since = None
        log_event("dependency_regained", dependency="store", topic=self._topic, seconds=seconds)
        if seconds > _SNAPSHOT_AFTER_SECONDS:
            self._next_offset = None

"""Deletes obsolete job records from the store.

A new leader reads all records before it places tasks, so the duration of a takeover grows with
their number.
"""

import queue
import threading
from collections.abc import Iterable

from ..errors import PlatformError
from ..jobs.events import DropJobs, ForgetAccepted
from ..jobs.model import JobId
from ..jobs.progress import cancel_key
from ..logs import log_event
from ..platform.store import KeyedRecord, StoreClient
from ..threads import ServiceThread
from .topics import JOBS_TOPIC, PART, PROGRESS_TOPIC, job_part

__all__ = ["RecordCleaner"]

_GATHER_SECONDS = 2.0
"""Records dropped within this time are combined into one append for each partition."""

_CALL_SECONDS = 1.0
"""Timeout of one append. Records whose deletion fails stay, which costs only space and time."""


class RecordCleaner:
    """A thread that deletes job records.

    Parameters
    ----------
    store
        The store.
    partition_count
        Number of partitions of the topic of jobs.
    """

    def __init__(self, store: StoreClient, parts: int) -> None:
        self._store = store
        self._parts = parts
        self._wanted: queue.SimpleQueue[DropJobs | ForgetAccepted] = queue.SimpleQueue()
        self._stopped = threading.Event()
        self._thread = ServiceThread(self._run, "record-cleaner", self._stopped.is_set)

    def start(self) -> None:
        """Start the thread."""
        self._thread.start()

    def stop(self) -> None:
        """Stop the thread; queued records are not deleted."""
        self._stopped.set()

    def clean(self, effect: DropJobs | ForgetAccepted) -> None:
        """Queue records for deletion."""
        self._wanted.put(effect)

    def _run(self) -> None:
        while not self._stopped.wait(_GATHER_SECONDS):
            ended: set[str] = set()
            old: list[JobId] = []
            while not self._wanted.empty():
                effect = self._wanted.get()
                if isinstance(effect, DropJobs):
                    old += effect.jobs
                    ended.update(effect.jobs)
                else:
                    ended.update(effect.names)
            for part in range(self._parts):
                here = [name for name in ended if job_part(name, self._parts) == part]
                self._drop(JOBS_TOPIC, part, [*here, *map(cancel_key, here)])
            self._drop(PROGRESS_TOPIC, PART, old)

    def _drop(self, topic: str, part: int, keys: Iterable[str]) -> None:
        records = [KeyedRecord(key, None) for key in keys]
        if not records:
            return
        try:
            self._store.append(topic, part, records, _CALL_SECONDS)
        except PlatformError as error:
            log_event(
                "records_not_dropped",
                topic=topic,
                part=part,
                count=len(records),
                reason=str(error),
            )

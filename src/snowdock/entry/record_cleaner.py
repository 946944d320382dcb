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
from .topics import DEFAULT_PARTITION, JOBS_TOPIC, PROGRESS_TOPIC, job_partition

__all__ = ["RecordCleaner"]

_BATCH_SECONDS = 2.0
"""Records dropped within this time are combined into one append for each partition."""

_APPEND_TIMEOUT_SECONDS = 1.0
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

    def __init__(self, store: StoreClient, partition_count: int) -> None:
        self._store = store
        self._partition_count = partition_count
        self._pending: queue.SimpleQueue[DropJobs | ForgetAccepted] = queue.SimpleQueue()
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
        self._pending.put(effect)

    def _run(self) -> None:
        while not self._stopped.wait(_BATCH_SECONDS):
            ended_names: set[str] = set()
            dropped_jobs: list[JobId] = []
            while not self._pending.empty():
                effect = self._pending.get()
                if isinstance(effect, DropJobs):
                    dropped_jobs += effect.jobs
                    ended_names.update(effect.jobs)
                else:
                    ended_names.update(effect.names)
            for partition in range(self._partition_count):
                partition_names = [
                    name
                    for name in ended_names
                    if job_partition(name, self._partition_count) == partition
                ]
                self._drop(
                    JOBS_TOPIC, partition, [*partition_names, *map(cancel_key, partition_names)]
                )
            self._drop(PROGRESS_TOPIC, DEFAULT_PARTITION, dropped_jobs)

    def _drop(self, topic: str, partition: int, keys: Iterable[str]) -> None:
        records = [KeyedRecord(key, None) for key in keys]
        if not records:
            return
        try:
            self._store.append(topic, partition, records, _APPEND_TIMEOUT_SECONDS)
        except PlatformError as error:
            log_event(
                "records_not_dropped",
                topic=topic,
                part=partition,
                count=len(records),
                reason=str(error),
            )

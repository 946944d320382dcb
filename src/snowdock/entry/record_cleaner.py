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
from ..jobs.progress import cancel_key, parse_job_id
from ..logs import log_event
from ..platform.store import KeyedRecord, StoreClient
from ..threads import ServiceThread
from .progress_partitions import ProgressPartitions
from .topics import JOBS_TOPIC, PROGRESS_TOPIC, job_partition

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
    progress
        The partitions that may hold progress; by default, only the first.
    """

    def __init__(
        self,
        store: StoreClient,
        partition_count: int,
        progress: ProgressPartitions | None = None,
    ) -> None:
        self._store = store
        self._progress = progress or ProgressPartitions(1)
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
                ended_names.update(effect.names)
            kept_jobs = self._drop_submissions(ended_names)
            # A submission without progress would be started again by the next leader.
            droppable_jobs = [job for job in dropped_jobs if job not in kept_jobs]
            self._drop_progress(droppable_jobs)

    def _drop_progress(self, jobs: Iterable[JobId]) -> None:
        """Delete progress from all partitions, each job's newest record last.

        A job's later deletions are only sent once the earlier ones are certain. What stays is
        dropped by the next leader.
        """
        remaining = {job: self._progress.deletable_from(job) for job in jobs}
        blocked = [job for job, partitions in remaining.items() if not partitions]
        if blocked:
            reason = "an append of their progress has not been answered"
            log_event(
                "records_not_dropped", topic=PROGRESS_TOPIC, count=len(blocked), reason=reason
            )
        remaining = {job: partitions for job, partitions in remaining.items() if partitions}
        while remaining:
            deleted = {
                partition: self._drop(
                    PROGRESS_TOPIC,
                    partition,
                    [j for j, p in remaining.items() if p[0] == partition],
                )
                for partition in {partitions[0] for partitions in remaining.values()}
            }
            certain = {job: p for job, p in remaining.items() if deleted[p[0]]}
            self._progress.forget(job for job, p in certain.items() if len(p) == 1)
            remaining = {job: p[1:] for job, p in certain.items() if len(p) > 1}

    def _drop_submissions(self, names: set[str]) -> set[JobId]:
        """Delete submissions and cancellations; return the jobs of which some may remain."""
        kept_jobs = set()
        for partition in range(self._partition_count):
            partition_names = [
                name for name in names if job_partition(name, self._partition_count) == partition
            ]
            keys = [*partition_names, *map(cancel_key, partition_names)]
            if not self._drop(JOBS_TOPIC, partition, keys):
                kept_jobs.update(map(parse_job_id, partition_names))
        return kept_jobs

    def _drop(self, topic: str, partition: int, keys: Iterable[str]) -> bool:
        """Delete records; return whether it is certain that they are deleted."""
        records = [KeyedRecord(key, None) for key in keys]
        if not records:
            return True
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
            return False
        return True

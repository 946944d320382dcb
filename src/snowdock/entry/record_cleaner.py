"""Deletes obsolete job records from the store.

A new leader reads all records before it places tasks, so the duration of a takeover grows with
their number.
"""

import queue
import threading
from collections.abc import Iterable

from ..errors import PlatformError
from ..jobs.events import DropJobs, DropProgress, ForgetAccepted
from ..jobs.model import JobId
from ..jobs.progress import cancel_key, parse_job_id, parse_progress_key
from ..logs import log_event
from ..platform.store import KeyedRecord, StoreClient, split_records
from ..threads import ServiceThread
from .progress_partitions import ProgressPartitions
from .topics import JOBS_TOPIC, PROGRESS_TOPIC, job_partition

__all__ = ["RecordCleaner"]

_BATCH_SECONDS = 2.0
"""Records dropped within this time are combined into one append for each partition."""

_APPEND_TIMEOUT_SECONDS = 1.0
"""Timeout of one append. Records whose deletion fails stay, which costs only space and time."""

_Effect = DropJobs | DropProgress | ForgetAccepted


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
        self._pending: queue.SimpleQueue[_Effect] = queue.SimpleQueue()
        self._stopped = threading.Event()
        self._thread = ServiceThread(self._run, "record-cleaner", self._stopped.is_set)

    def start(self) -> None:
        """Start the thread."""
        self._thread.start()

    def stop(self) -> None:
        """Stop the thread; queued records are not deleted."""
        self._stopped.set()

    def clean(self, effect: _Effect) -> None:
        """Queue records for deletion."""
        self._pending.put(effect)

    def _run(self) -> None:
        while not self._stopped.wait(_BATCH_SECONDS):
            ended_names: set[str] = set()
            dropped_jobs: list[JobId] = []
            dropped_blocks: list[str] = []
            while not self._pending.empty():
                effect = self._pending.get()
                if isinstance(effect, DropProgress):
                    dropped_blocks += effect.keys
                    continue
                if isinstance(effect, DropJobs):
                    dropped_jobs += effect.jobs
                    ended_names.update(effect.jobs)
                ended_names.update(effect.names)
            kept_jobs = self._drop_submissions(ended_names)
            # The blocks of a job without its own record would never be deleted.
            kept_jobs.update(map(parse_progress_key, self._drop_progress(dropped_blocks)))
            # A submission without progress would be started again by the next leader.
            droppable_jobs = [job for job in dropped_jobs if job not in kept_jobs]
            self._drop_progress(droppable_jobs)

    def _drop_progress(self, keys: Iterable[str]) -> set[str]:
        """Delete progress from all partitions, each key's newest record last.

        A key's later deletions are only sent once the earlier ones are certain. What stays is
        dropped by the next leader.

        Returns
        -------
        set of str
            The keys of which a record may remain.
        """
        kept = set(keys)
        remaining = {key: self._progress.deletable_from(key) for key in kept}
        blocked = [key for key, partitions in remaining.items() if not partitions]
        if blocked:
            reason = "an append of their progress has not been answered"
            log_event(
                "records_not_dropped", topic=PROGRESS_TOPIC, count=len(blocked), reason=reason
            )
        remaining = {key: parts for key, parts in remaining.items() if parts}
        while remaining:
            failed: set[str] = set()
            for partition in {partitions[0] for partitions in remaining.values()}:
                due = [key for key, parts in remaining.items() if parts[0] == partition]
                failed |= self._drop(PROGRESS_TOPIC, partition, due)
            certain = {key: parts for key, parts in remaining.items() if key not in failed}
            deleted = [key for key, parts in certain.items() if len(parts) == 1]
            self._progress.forget(deleted)
            kept.difference_update(deleted)
            remaining = {key: parts[1:] for key, parts in certain.items() if len(parts) > 1}
        return kept

    def _drop_submissions(self, names: set[str]) -> set[JobId]:
        """Delete submissions and cancellations; return the jobs of which some may remain."""
        kept_jobs = set()
        for partition in range(self._partition_count):
            partition_names = [
                name for name in names if job_partition(name, self._partition_count) == partition
            ]
            keys = [*partition_names, *map(cancel_key, partition_names)]
            failed = self._drop(JOBS_TOPIC, partition, keys)
            kept_jobs.update(
                parse_job_id(name)
                for name in partition_names
                if name in failed or cancel_key(name) in failed
            )
        return kept_jobs

    def _drop(self, topic: str, partition: int, keys: Iterable[str]) -> set[str]:
        """Delete records; return the keys of those that may remain."""
        failed: set[str] = set()
        records = [KeyedRecord(key, None) for key in keys]
        for batch in split_records(records, self._store.limits):
            try:
                self._store.append(topic, partition, batch, _APPEND_TIMEOUT_SECONDS)
            except PlatformError as error:
                failed.update(record.key for record in batch)
                log_event(
                    "records_not_dropped",
                    topic=topic,
                    part=partition,
                    count=len(batch),
                    reason=str(error),
                )
        return failed

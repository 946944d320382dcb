"""The handle of a running leader: its actor, and the threads that send it events."""

import threading

import pykka

from ..clocks import steady_seconds
from ..errors import InvalidInput, PlatformError
from ..jobs.events import (
    ConfigurationChanged,
    Event,
    JobAccepted,
    JobCancelled,
    Ticked,
    WorkerDelisted,
    WorkerListed,
)
from ..jobs.model import Configuration
from ..jobs.progress import CANCEL_PREFIX, decode_accepted, job_of_record
from ..jobs.times import TICK_SECONDS
from ..logs import log_error
from ..platform.store import KeyedRecord
from ..platform.worker_list import WORKER_TOPIC, decode_worker_entry
from ..threads import ServiceThread
from .leader import LeaderContext
from .statuses import StatusBook
from .tails import Tail
from .topics import JOBS_TOPIC, PART

__all__ = ["LeaderHandle"]

_KEY_TOLD = 60
"""Length to which the key of an unusable entry is truncated in logs."""

_JOBS_WAIT_SECONDS = 1.0
"""How long one read of new jobs waits, which bounds how outdated "no such job" may be."""

_WORKERS_WAIT_SECONDS = 1.0
"""How long one read of the worker list waits."""

_WORKERS_PAUSE_SECONDS = 0.2
"""Pause between reads of the worker list, to read several changes at once."""

_LAPSE_SECONDS = 4.0
"""How long after a store outage a missing worker entry may still return: entries that expired
during the outage return in about two seconds, and a read may be two seconds old."""


class LeaderHandle:
    """Sends a leader the events of the jobs topic, of the worker list and of the clock.

    Parameters
    ----------
    context
        The leader's dependencies on its node.
    actor
        The leader's actor.
    statuses
        The job statuses shown to callers.
    """

    def __init__(self, context: LeaderContext, actor: pykka.ActorRef, statuses: StatusBook) -> None:
        self._context = context
        self._actor = actor
        self._statuses = statuses
        # By worker id: the life in the newest usable entry, and the offset of the newest entry.
        self._listed: dict[str, str] = {}
        self._taken: dict[str, int] = {}
        self._stopped = threading.Event()
        self._jobs = [
            Tail(
                context.store,
                JOBS_TOPIC,
                part,
                _JOBS_WAIT_SECONDS,
                0.0,
                self.take_job,
                self._take_jobs,
            )
            for part in range(context.parts)
        ]
        self._workers = Tail(
            context.store,
            WORKER_TOPIC,
            PART,
            _WORKERS_WAIT_SECONDS,
            _WORKERS_PAUSE_SECONDS,
            self._take_worker,
            self._take_all_workers,
        )

    @property
    def statuses(self) -> StatusBook:
        """The job statuses shown to callers."""
        return self._statuses

    @property
    def jobs_read_at(self) -> float:
        """The time up to which all accepted jobs are known, in seconds of the steady clock.

        Jobs that were read count as known only after the leader has handled their events.
        """
        read_at = min(tail.read_at for tail in self._jobs)
        return min(read_at, self._statuses.taken_until)

    def start(self, job_offsets: list[int]) -> None:
        """Start sending events; jobs of each partition are read from the given offset on."""
        self._workers.start()
        for tail, offset in zip(self._jobs, job_offsets, strict=True):
            tail.start(offset)
        ServiceThread(self._tick, "leader-ticks", self._stopped.is_set).start()

    def configure(self, configuration: Configuration) -> None:
        """Send the leader a newer configuration."""
        self._tell(ConfigurationChanged(configuration))

    def take_job(self, record: KeyedRecord) -> None:
        """Send the leader a job's record or its cancellation; known ones have no effect."""
        if record.value is None:
            return
        if record.key.startswith(CANCEL_PREFIX):
            self._tell(JobCancelled(record.key.removeprefix(CANCEL_PREFIX)))
            return
        try:
            accepted = decode_accepted(record.value)
            self._tell(JobAccepted(job_of_record(record.key), accepted))
        except InvalidInput as error:
            log_error("job_record_unusable", error, job=record.key)
            self._statuses.note_unreadable([job_of_record(record.key)])

    def stop(self) -> None:
        """Stop the threads and the actor."""
        self._stopped.set()
        for tail in self._jobs:
            tail.stop()
        self._workers.stop()
        self._actor.stop(block=False)

    def _tell(self, event: Event) -> None:
        try:
            self._actor.tell(event)
        except pykka.ActorDeadError:
            self._stopped.set()

    def _tick(self) -> None:
        while not self._stopped.wait(TICK_SECONDS):
            self._tell(Ticked(self._context.count_askers(), steady_seconds()))

    def _take_jobs(self, records: list[KeyedRecord]) -> None:
        for record in records:
            self.take_job(record)

    def _take_worker(self, record: KeyedRecord) -> None:
        if record.offset < self._taken.get(record.key, record.offset):
            # A newer entry was read before; this one may name an earlier life of the worker.
            return
        self._taken[record.key] = record.offset
        if record.value is None:
            self._delist(record.key, self._may_return())
            return
        try:
            entry = decode_worker_entry(record.key, record.value)
        except PlatformError as error:
            self._let_go(record, error)
            return
        self._listed[record.key] = entry.life
        self._tell(WorkerListed(entry))

    def _delist(self, worker: str, may_return: bool) -> None:
        life = self._listed.pop(worker, None)
        if life is not None:
            self._tell(WorkerDelisted(life, may_return))

    def _let_go(self, record: KeyedRecord, error: PlatformError) -> None:
        """Delist a worker whose entry is unusable; its runs remain monitored."""
        log_error("worker_entry_unusable", error, worker=record.key[:_KEY_TOLD])
        self._context.metrics.count(
            "entries_unusable_total", "Entries of others that cannot be used.", table="workers"
        )
        self._delist(record.key, may_return=False)

    def _may_return(self) -> bool:
        return self._workers.seconds_since_failure < _LAPSE_SECONDS

    def _take_all_workers(self, records: list[KeyedRecord]) -> None:
        for worker in self._listed.keys() - {record.key for record in records}:
            self._delist(worker, self._may_return())
        for record in records:
            self._take_worker(record)

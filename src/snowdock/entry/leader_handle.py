"""The handle of a running leader: its actor, and the threads that send it events."""

import threading

import pykka

from ..clocks import steady_seconds
from ..errors import InvalidInput, PlatformError
from ..jobs.events import (
    ConfigurationChanged,
    EarlierLeadersEnded,
    Event,
    JobAccepted,
    JobAnnounced,
    JobCancelled,
    JobWithdrawn,
    Ticked,
    WorkerDelisted,
    WorkerListed,
)
from ..jobs.model import Configuration, JobId
from ..jobs.progress import CANCEL_PREFIX, decode_accepted, is_job_key, parse_job_id
from ..jobs.timeouts import TICK_SECONDS, lease_expiry_after_claim_seconds
from ..logs import log_error, log_event
from ..platform.store import KeyedRecord
from ..platform.worker_entries import WORKER_TOPIC, decode_worker_entry
from ..threads import ServiceThread
from .job_status_table import JobStatusTable
from .leader import LeaderContext
from .tails import Tail, handle_each
from .topics import DEFAULT_PARTITION, JOBS_TOPIC, job_partition

__all__ = ["LeaderHandle", "has_job_key"]

_JOBS_WAIT_SECONDS = 1.0
"""How long one read of new jobs waits, which bounds how outdated "no such job" may be."""

_WORKERS_WAIT_SECONDS = 1.0
"""How long one read of the worker list waits."""

_WORKERS_PAUSE_SECONDS = 0.2
"""Pause between reads of the worker list, to read several changes at once."""

_RELISTING_GRACE_SECONDS = 4.0
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

    def __init__(
        self, context: LeaderContext, actor: pykka.ActorRef, statuses: JobStatusTable
    ) -> None:
        self._context = context
        self._actor = actor
        self._statuses = statuses
        # By worker id: the life in the newest usable entry, and the offset of the newest entry.
        self._listed_lives: dict[str, str] = {}
        self._applied_offsets: dict[str, int] = {}
        self._stopped = threading.Event()
        self._job_tails = [
            Tail(
                context.store,
                JOBS_TOPIC,
                part,
                _JOBS_WAIT_SECONDS,
                0.0,
                self.apply_job_record,
                self._apply_job_records,
            )
            for part in range(context.parts)
        ]
        self._worker_tail = Tail(
            context.store,
            WORKER_TOPIC,
            DEFAULT_PARTITION,
            _WORKERS_WAIT_SECONDS,
            _WORKERS_PAUSE_SECONDS,
            self._apply_worker_record,
            self._replace_workers,
        )

    @property
    def statuses(self) -> JobStatusTable:
        """The job statuses shown to callers."""
        return self._statuses

    def known_until(self, job: JobId) -> float:
        """Return the time up to which a job would be known, in seconds of the steady clock.

        Only the job's own partition counts. Records that were read count only after the leader has
        handled their events.
        """
        tail = self._job_tails[job_partition(job, len(self._job_tails))]
        return min(tail.read_at, self._statuses.processed_until)

    def start(self, job_offsets: list[int], jobs_read_at: float) -> None:
        """Start sending events.

        Parameters
        ----------
        job_offsets
            For each partition of the jobs topic, the offset from which to read jobs.
        jobs_read_at
            When the jobs before these offsets were read, in seconds of the steady clock.
        """
        self._worker_tail.start()
        for tail, offset in zip(self._job_tails, job_offsets, strict=True):
            tail.start(offset, jobs_read_at)
        ServiceThread(self._tick, "leader-ticks", self._stopped.is_set).start()

    def configure(self, configuration: Configuration) -> None:
        """Send the leader a newer configuration."""
        self._post(ConfigurationChanged(configuration))

    def apply_job_record(self, record: KeyedRecord) -> None:
        """Send the leader a job's record or its cancellation; known ones have no effect."""
        if record.value is None or not has_job_key(record):
            return
        if record.key.startswith(CANCEL_PREFIX):
            self._post(JobCancelled(record.key.removeprefix(CANCEL_PREFIX)))
            return
        try:
            accepted = decode_accepted(record.value)
            self._post(JobAccepted(parse_job_id(record.key), accepted))
        except InvalidInput as error:
            log_error("job_record_unusable", error, job=record.key)
            self._statuses.add_unreadable([parse_job_id(record.key)])

    def announce_job_record(self, record: KeyedRecord) -> None:
        """Tell the leader of a job's record that is about to be appended."""
        if record.value is None or record.key.startswith(CANCEL_PREFIX):
            return
        if not has_job_key(record):
            return
        try:
            accepted = decode_accepted(record.value)
        except InvalidInput as error:
            log_error("job_record_unusable", error, job=record.key)
            return
        self._post(JobAnnounced(parse_job_id(record.key), accepted))

    def withdraw_job_record(self, record: KeyedRecord) -> None:
        """Tell the leader of an announced record that was certainly not appended."""
        if not record.key.startswith(CANCEL_PREFIX):
            self._post(JobWithdrawn(parse_job_id(record.key)))

    def stop(self) -> None:
        """Stop the threads and the actor."""
        self._stopped.set()
        for tail in self._job_tails:
            tail.stop()
        self._worker_tail.stop()
        self._actor.stop(block=False)

    def _post(self, event: Event) -> None:
        try:
            self._actor.tell(event)
        except pykka.ActorDeadError:
            self._stopped.set()

    def _tick(self) -> None:
        context = self._context
        expiry_s = context.settings.unreached_run_expiry_s
        while not self._stopped.wait(TICK_SECONDS):
            newest_expiry_s = lease_expiry_after_claim_seconds(
                context.settings.lease_s, context.earlier_authority_s()
            )
            if newest_expiry_s < expiry_s:
                expiry_s = newest_expiry_s
                self._post(EarlierLeadersEnded(expiry_s))
            self._post(Ticked(context.count_advice_nodes(), steady_seconds()))

    def _apply_job_records(self, records: list[KeyedRecord]) -> None:
        handle_each(records, self.apply_job_record)

    def _apply_worker_record(self, record: KeyedRecord) -> None:
        if record.offset < self._applied_offsets.get(record.key, record.offset):
            # A newer entry was read before; this one may name an earlier life of the worker.
            return
        self._applied_offsets[record.key] = record.offset
        if record.value is None:
            self._delist(record.key, self._may_return())
            return
        try:
            entry = decode_worker_entry(record.key, record.value)
        except PlatformError as error:
            self._delist_unusable(record, error)
            return
        self._listed_lives[record.key] = entry.life
        self._post(WorkerListed(entry))

    def _delist(self, worker: str, may_return: bool) -> None:
        life = self._listed_lives.pop(worker, None)
        if life is not None:
            self._post(WorkerDelisted(life, may_return))

    def _delist_unusable(self, record: KeyedRecord, error: PlatformError) -> None:
        """Delist a worker whose entry is unusable; its runs remain monitored."""
        log_error("worker_entry_unusable", error, worker=record.short_key)
        self._context.metrics.count(
            "entries_unusable_total", "Entries of others that cannot be used.", table="workers"
        )
        self._delist(record.key, may_return=False)

    def _may_return(self) -> bool:
        return self._worker_tail.seconds_since_failure < _RELISTING_GRACE_SECONDS

    def _replace_workers(self, records: list[KeyedRecord]) -> None:
        for worker in self._listed_lives.keys() - {record.key for record in records}:
            self._delist(worker, self._may_return())
        handle_each(records, self._apply_worker_record)


def has_job_key(record: KeyedRecord) -> bool:
    """Check whether a record of the jobs topic has a key of snowdock's; log any other key."""
    if is_job_key(record.key):
        return True
    log_event("job_key_unusable", key=record.short_key)
    return False

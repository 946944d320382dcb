"""Start of a leader after an election: fence earlier leaders, and load the jobs on record."""

import concurrent.futures
import dataclasses
import time
from collections.abc import Callable, Iterable, Mapping
from types import MappingProxyType

from ..clocks import steady_seconds
from ..errors import InvalidInput, PlatformError, ProducerFenced
from ..jobs.model import JobId
from ..jobs.progress import (
    CANCEL_PREFIX,
    AcceptedJob,
    JobProgress,
    decode_accepted,
    is_progress_key,
    parse_job_id,
)
from ..jobs.progress_layout import ProgressLayout
from ..jobs.recorded_progress import ProgressOnRecord, check_progress, read_progress
from ..jobs.takeover import RecordedJobs
from ..logs import log_error, log_event
from ..platform.store import KeyedRecord, StoreClient, StorePage
from .job_status_table import JobStatusTable
from .leader import Leader, LeaderContext
from .leader_handle import LeaderHandle, has_job_key
from .progress_writer import fence_progress
from .topics import JOBS_TOPIC, PROGRESS_TOPIC, progress_partition_count

__all__ = ["classify_records", "fence_and_read", "start_leader"]

_CALL_TIMEOUT_SECONDS = 3.0
"""Timeout of one call to the store; a page of many jobs takes longer than an append."""

_TAKEOVER_RETRY_SECONDS = 0.1
"""Pause before a takeover is retried after the store did not answer."""

_READ_THREADS = 12
"""Number of partitions read concurrently, since a call to a slow store takes about 0.4 s."""


def fence_and_read(store: StoreClient, parts: int, epoch: int) -> tuple[RecordedJobs, list[int]]:
    """Fence earlier leaders, then read all job and progress records.

    All partitions of the progress are fenced before any is read. Otherwise an earlier leader could
    record a placement in one of them after the read, and the task would be placed twice.

    The jobs are read after the fences, too. Otherwise an earlier leader could still record the
    progress of a job that was accepted after the read, and the job would be started again from the
    beginning when its submission is read.

    Returns
    -------
    recorded : RecordedJobs
        The jobs on record.
    job_offsets : list of int
        For each partition of the jobs topic, the offset from which to follow it.
    """
    progress_parts = range(progress_partition_count(parts))

    def fence(part: int) -> None:
        fence_progress(store, epoch, _CALL_TIMEOUT_SECONDS, part)

    def read(topic_part: tuple[str, int]) -> StorePage:
        return store.newest(*topic_part, _CALL_TIMEOUT_SECONDS)

    with concurrent.futures.ThreadPoolExecutor(_READ_THREADS) as pool:
        list(pool.map(fence, progress_parts))
        progress_reads = pool.map(read, [(PROGRESS_TOPIC, part) for part in progress_parts])
        job_pages = list(pool.map(read, [(JOBS_TOPIC, part) for part in range(parts)]))
        progress_pages = list(progress_reads)
    on_record = _read_progress([page.records for page in progress_pages])
    records = [record for page in job_pages for record in page.records]
    recorded = classify_records(
        records, on_record.progress, on_record.unreadable, on_record.layouts
    )
    recorded = dataclasses.replace(
        recorded, progress_partitions=on_record.partitions, layouts=on_record.layouts
    )
    return recorded, [page.next_offset for page in job_pages]


def _read_progress(partitions: Iterable[Iterable[KeyedRecord]]) -> ProgressOnRecord:
    """Read the newest progress of jobs from the records of each partition.

    A malformed record doesn't raise, since it would keep every node from leading.
    """
    on_record = read_progress(map(_list_progress, partitions))
    for each in on_record.malformed:
        log_error("progress_record_unusable", each.error, job=each.key, part=each.partition)
    return on_record


def _list_progress(records: Iterable[KeyedRecord]) -> list[tuple[str, bytes]]:
    """Return the keys and data of a partition's records; other programs' keys are left out."""
    listed = []
    for record in records:
        if not is_progress_key(record.key):
            log_event("progress_key_unusable", key=record.short_key)
        elif record.value:
            listed.append((record.key, record.value))
    return listed


def classify_records(
    records: Iterable[KeyedRecord],
    progress: dict[JobId, JobProgress],
    unreadable: frozenset[JobId] = frozenset(),
    layouts: Mapping[JobId, ProgressLayout] = MappingProxyType({}),
) -> RecordedJobs:
    """Classify the records of the jobs topic into accepted, cancelled and unstartable jobs.

    Teams choose job identifiers themselves, so that jobs of several teams may share one. The job
    of the team named in the progress record is kept, or else the one accepted first. A job whose
    progress does not match it counts as unreadable.
    """
    accepted: dict[JobId, AcceptedJob] = {}
    cancelled = set()
    unstartable = set()
    mismatched = set()
    for record in records:
        if not has_job_key(record):
            continue
        if record.key.startswith(CANCEL_PREFIX):
            cancelled.add(record.key.removeprefix(CANCEL_PREFIX))
        elif record.value:
            job = parse_job_id(record.key)
            if job in unreadable:
                continue
            job_progress = progress.get(job)
            try:
                job_record = decode_accepted(record.value)
            except InvalidInput as error:
                log_error("job_record_unusable", error, job=record.key)
                unstartable.add(job)
                continue
            if job_progress is not None and job_progress.team != job_record.team:
                log_event(
                    "job_of_another_team", job=job, team=job_progress.team, by=job_record.team
                )
                continue
            earlier = accepted.get(job)
            if earlier is None or job_record.accepted_ms < earlier.accepted_ms:
                accepted[job] = job_record
    for job in accepted.keys() & progress.keys():
        try:
            check_progress(accepted[job].spec, progress[job], layouts.get(job))
        except InvalidInput as error:
            log_error("progress_record_unusable", error, job=job)
            mismatched.add(job)
    unstartable -= accepted.keys()
    return RecordedJobs(
        {job: record for job, record in accepted.items() if job not in mismatched},
        cancelled,
        {job: record for job, record in progress.items() if job not in mismatched},
        unreadable | mismatched,
        frozenset(unstartable),
    )


def start_leader(context: LeaderContext, still_leads: Callable[[], bool]) -> LeaderHandle | None:
    """Fence earlier leaders, load the jobs on record and start a leader.

    Parameters
    ----------
    context
        The leader's context.
    still_leads
        Returns whether this node still leads in this epoch; called before each attempt.

    Returns
    -------
    LeaderHandle or None
        None if another node has become the leader.
    """
    started_at = steady_seconds()
    while still_leads():
        read_at = steady_seconds()
        try:
            recorded, job_offsets = fence_and_read(context.store, context.parts, context.epoch)
        except ProducerFenced as error:
            context.step_down(str(error))
            return None
        except PlatformError as error:
            log_event("takeover_delayed", epoch=context.epoch, reason=str(error))
            time.sleep(_TAKEOVER_RETRY_SECONDS)
            continue
        statuses = JobStatusTable()
        actor = Leader.start(context, statuses, recorded)
        handle = LeaderHandle(context, actor, statuses)
        handle.start(job_offsets, read_at)
        log_event(
            "leading",
            epoch=context.epoch,
            jobs=len(recorded.accepted),
            seconds=steady_seconds() - started_at,
        )
        return handle
    return None

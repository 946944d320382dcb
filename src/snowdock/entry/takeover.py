"""How a node takes the lead over: it shuts out earlier leaders, and reads what is on record."""

import concurrent.futures
import time
from collections.abc import Callable, Iterable

from ..clocks import steady_seconds
from ..errors import InvalidInput, PlatformError, ProducerFenced
from ..jobs.model import JobId
from ..jobs.progress import (
    CANCEL_PREFIX,
    AcceptedJob,
    JobProgress,
    decode_accepted,
    decode_progress,
    parse_job_id,
)
from ..jobs.takeover import RecordedJobs
from ..logs import log_error, log_event
from ..platform.store import KeyedRecord, StoreClient
from .job_status_table import JobStatusTable
from .leader import Leader, LeaderContext
from .leader_handle import LeaderHandle
from .progress_writer import fence_progress
from .topics import DEFAULT_PARTITION, JOBS_TOPIC, PROGRESS_TOPIC

__all__ = ["classify_records", "start_leader"]

_CALL_TIMEOUT_SECONDS = 3.0
"""How long one call to the store may take: a page of many jobs takes longer than an append."""

_TAKEOVER_RETRY_SECONDS = 0.1
"""Pause before a takeover that the store did not answer is tried again."""

_READ_THREADS = 12
"""Partitions that a takeover reads at the same time: on a slow store each call takes some 0.4 s."""


def _fence_and_read(store: StoreClient, parts: int, epoch: int) -> tuple[RecordedJobs, list[int]]:
    """Shut earlier leaders out, and read all that is on record of jobs.

    Jobs are read meanwhile, since no leader writes them; gives also from where to follow each
    of their partitions.
    """
    with concurrent.futures.ThreadPoolExecutor(_READ_THREADS) as pool:
        reads = pool.map(
            lambda part: store.newest(JOBS_TOPIC, part, _CALL_TIMEOUT_SECONDS), range(parts)
        )
        fence_progress(store, epoch, _CALL_TIMEOUT_SECONDS)
        newest = store.newest(PROGRESS_TOPIC, DEFAULT_PARTITION, _CALL_TIMEOUT_SECONDS)
        pages = list(reads)
    progress, unreadable = _read_progress(newest.records)
    records = [record for page in pages for record in page.records]
    recorded = classify_records(records, progress, unreadable)
    return recorded, [page.next_offset for page in pages]


def _read_progress(
    records: Iterable[KeyedRecord],
) -> tuple[dict[JobId, JobProgress], frozenset[JobId]]:
    """Give the progress of jobs, and those whose record cannot be read.

    One record that cannot be read may not keep every node from leading.
    """
    progress = {}
    unreadable = set()
    for record in records:
        if not record.value:
            continue
        try:
            progress[record.key] = decode_progress(record.value)
        except InvalidInput as error:
            log_error("progress_record_unusable", error, job=record.key)
            unreadable.add(record.key)
    return progress, frozenset(unreadable)


def classify_records(
    records: Iterable[KeyedRecord],
    progress: dict[JobId, JobProgress],
    unreadable: frozenset[JobId] = frozenset(),
) -> RecordedJobs:
    """Tell jobs from cancels, and of jobs that share an identifier the one that counts.

    That is the one whose team its progress names, else the one that was taken in first: teams
    choose identifiers themselves, and may choose that of another's job.
    """
    accepted: dict[JobId, AcceptedJob] = {}
    cancelled = set()
    unstartable = set()
    for record in records:
        if record.key.startswith(CANCEL_PREFIX):
            cancelled.add(record.key.removeprefix(CANCEL_PREFIX))
        elif record.value:
            job = parse_job_id(record.key)
            if job in unreadable:
                continue
            known = progress.get(job)
            try:
                found = decode_accepted(record.value)
            except InvalidInput as error:
                log_error("job_record_unusable", error, job=record.key)
                unstartable.add(job)
                continue
            if known is not None and known.team != found.team:
                log_event("job_of_another_team", job=job, team=known.team, by=found.team)
                continue
            other = accepted.get(job)
            if other is None or found.accepted_ms < other.accepted_ms:
                accepted[job] = found
    unstartable -= accepted.keys()
    return RecordedJobs(accepted, cancelled, progress, unreadable, frozenset(unstartable))


def start_leader(context: LeaderContext, still_leads: Callable[[], bool]) -> LeaderHandle | None:
    """Take over from earlier leaders and start leading.

    Parameters
    ----------
    context
        What the leader needs of its node.
    is_wanted
        Whether this node still leads in this epoch; asked between tries.

    Returns
    -------
    LeaderHandle or None
        None where another node leads meanwhile.
    """
    started_at = steady_seconds()
    while still_leads():
        try:
            recorded, job_offsets = _fence_and_read(context.store, context.parts, context.epoch)
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
        handle.start(job_offsets)
        log_event(
            "leading",
            epoch=context.epoch,
            jobs=len(recorded.accepted),
            seconds=steady_seconds() - started_at,
        )
        return handle
    return None

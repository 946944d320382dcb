"""Reconstruction of a new leader's state from durable records."""

import dataclasses

from .cell import Cell, UnsubmittedProgress
from .events import DropProgress, Effect, JobAccepted, PublishStatus
from .model import JobId
from .progress import AcceptedJob, JobProgress, parse_job_id
from .progress_layout import ProgressLayout
from .reducer import accept_job
from .restored_jobs import recorded_seconds, restore_job
from .runs import cancel_job

__all__ = ["RecordedJobs", "restore"]


@dataclasses.dataclass(frozen=True, slots=True)
class RecordedJobs:
    """All records of jobs in the store: submissions, cancellations and progress.

    Cancelled jobs are identified by their `record_name`. ``unreadable`` jobs have a progress record
    that cannot be decoded, ``unstartable`` ones such a submission record. No status is published
    for either, and they are not reported as unknown.

    ``progress_partitions`` are those in which the store holds a record of progress, the newest
    last, by the record's key. ``layouts`` are the blocks of progress, by job.
    """

    accepted: dict[JobId, AcceptedJob]
    cancelled: set[str]
    progress: dict[JobId, JobProgress]
    unreadable: frozenset[JobId] = frozenset()
    unstartable: frozenset[JobId] = frozenset()
    progress_partitions: dict[str, tuple[int, ...]] = dataclasses.field(default_factory=dict)
    layouts: dict[JobId, ProgressLayout] = dataclasses.field(default_factory=dict)


def restore(cell: Cell, recorded: RecordedJobs, now: float, wall_ms: float) -> list[Effect]:
    """Restore a new leader's state; call before any event, and execute the effects first.

    For a job that has ended and has no runs left, only the final status may be recorded.

    Runs placed by an earlier leader count as running until their worker reports otherwise.
    """
    cell.now = now
    cell.unreadable_jobs = set(recorded.unreadable)
    for job_id, accepted in recorded.accepted.items():
        cell.created_in_event = 0
        progress = recorded.progress.get(job_id)
        if progress is None:
            # Without the contract, jobs that never started count as new after a takeover.
            recorded_s = recorded_seconds(accepted, wall_ms) if cell.load_history else 0.0
            accept_job(cell, JobAccepted(job_id, accepted), now, wall_ms, recorded_s)
            cell.jobs[job_id].layout = recorded.layouts.get(job_id)
            _cancel_if_recorded(cell, job_id, recorded, now)
            continue
        layout = recorded.layouts.get(job_id)
        restore_job(cell, job_id, accepted, progress, layout, now, wall_ms)
        _cancel_if_recorded(cell, job_id, recorded, now)
    for job_id in recorded.progress.keys() - recorded.accepted.keys():
        layout = recorded.layouts.get(job_id)
        _restore_without_submission(cell, job_id, recorded.progress[job_id], layout, now)
    for name in recorded.cancelled:
        if parse_job_id(name) not in cell.jobs.keys() | cell.job_ended_at.keys():
            cell.early_cancellations.add(name)
    effects, cell.effects = cell.effects, []
    return effects


def _cancel_if_recorded(cell: Cell, job_id: JobId, recorded: RecordedJobs, now: float) -> None:
    job = cell.jobs[job_id]
    if job.record_name in recorded.cancelled:
        cancel_job(cell, job, now)


def _restore_without_submission(
    cell: Cell, job_id: JobId, progress: JobProgress, layout: ProgressLayout | None, now: float
) -> None:
    """Publish the final status of a job without a submission, or keep the progress of others."""
    if not progress.status.is_final:
        cell.log_decision("job_record_missing", job_id, status=progress.status.name.lower())
        cell.unsubmitted[job_id] = UnsubmittedProgress(progress, layout)
        return
    if layout is not None:
        cell.emit(DropProgress(tuple(layout.keys)))
    cell.job_ended_at[job_id] = now
    # The job's queue is unknown, and not needed since the job has ended.
    cell.emit(PublishStatus(job_id, "", progress.status, progress.team))

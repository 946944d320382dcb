"""Jobs that are placed while their submissions are being recorded.

On a slow store an append takes a large part of a short job's objective. The record of an announced
job and that of its first placement are appended at the same time; a start waits for both.
"""

from .cell import Cell
from .events import JobAnnounced
from .expansion import expand_job
from .job_objects import release_objects
from .job_state import Job, Phase
from .load import predict_job
from .model import JobId
from .progress import AcceptedJob
from .reservations import release_claim
from .runs import stop_run

__all__ = ["announce_job", "confirm_job", "withdraw_expired_jobs", "withdraw_job"]

_MAX_ANNOUNCED_SECONDS = 5.0
"""Time after which an announced job is withdrawn. Callers give up their submissions after three
seconds, and a record that is appended later makes the job known again."""


def announce_job(cell: Cell, event: JobAnnounced, now: float, wall_ms: float) -> None:
    """Add a job whose record is being appended, unless it is known or scheduled for later."""
    job_id, accepted = event.job, event.accepted
    is_known = job_id in cell.jobs or job_id in cell.job_ended_at
    has_unknown_runs = job_id in cell.unreadable_jobs or job_id in cell.unsubmitted
    if is_known or has_unknown_runs or accepted.spec.repetitions:
        return
    job = Job(job_id, accepted, now - accepted.waited_s, announced_at=now)
    cell.add_job(job)
    cell.held_starts[job_id] = []
    predict_job(cell, job)
    expand_job(cell, job, wall_ms)


def confirm_job(cell: Cell, job: Job, recorded: AcceptedJob, now: float) -> bool:
    """Confirm an announced job by its record; the starts that were held may be released then.

    Returns
    -------
    bool
        False if the record is that of another job under the same identifier; the announced one is
        withdrawn then.
    """
    if (recorded.team, recorded.spec) != (job.team, job.accepted.spec):
        withdraw_job(cell, job.id, now)
        return False
    job.accepted = recorded
    job.announced_at = None
    return True


def withdraw_job(cell: Cell, job_id: JobId, now: float) -> None:
    """Remove an announced job that is not recorded; nothing of it has started."""
    job = cell.jobs.get(job_id)
    if job is None or job.is_recorded:
        return
    for task in job.all_tasks():
        if task.phase is Phase.RECORDED:
            stop_run(cell, task, now)
    for step in job.all_steps():
        cell.dequeue(step)
        release_claim(cell, step.key)
    # Its progress may be on record already. Without a submission, a takeover ignores it.
    cell.dirty_jobs.pop(job_id, None)
    if cell.change_set is not None:
        cell.change_set.jobs.pop(job_id, None)
    cell.held_starts.pop(job_id, None)
    cell.unexpanded_jobs.pop(job_id, None)
    release_objects(cell, job)
    cell.remove_job(job_id)
    cell.needs_placement = True
    cell.log_decision("job_withdrawn", job_id, queue=job.queue, announced_s=now - job.announced_at)


def withdraw_expired_jobs(cell: Cell, now: float) -> None:
    """Withdraw the jobs that were announced long ago, and of which no record was read."""
    expired = []
    for job_id in cell.held_starts:
        if now - cell.jobs[job_id].announced_at < _MAX_ANNOUNCED_SECONDS:
            break
        expired.append(job_id)
    for job_id in expired:
        withdraw_job(cell, job_id, now)

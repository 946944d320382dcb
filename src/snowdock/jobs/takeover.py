"""Reconstruction of a new leader's state from durable records."""

import dataclasses

from .cell import Cell, Orphan
from .charges import restore_charges
from .events import DropProgress, Effect, ForgetAccepted, JobAccepted, PublishStatus
from .evidence import Charge, Evidence
from .job_state import Job, Phase
from .lives import worker_id_of
from .model import JobId
from .progress import AcceptedJob, JobProgress, TaskProgress, parse_job_id
from .progress_layout import ProgressLayout
from .reducer import accept_job
from .runs import cancel_job, complete_job_if_done, create_repetition, enqueue_ready_steps

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
        progress = recorded.progress.get(job_id)
        if progress is None:
            # Without the contract, jobs that never started count as new after a takeover.
            recorded_s = _recorded_seconds(accepted, wall_ms) if cell.load_history else 0.0
            accept_job(cell, JobAccepted(job_id, accepted), now, wall_ms, recorded_s)
            cell.jobs[job_id].layout = recorded.layouts.get(job_id)
            _cancel_if_recorded(cell, job_id, recorded, now)
            continue
        layout = recorded.layouts.get(job_id)
        _restore_job(cell, job_id, accepted, progress, layout, now, wall_ms)
        _cancel_if_recorded(cell, job_id, recorded, now)
    for job_id in recorded.progress.keys() - recorded.accepted.keys():
        layout = recorded.layouts.get(job_id)
        _restore_ended(cell, job_id, recorded.progress[job_id], layout, now)
    for name in recorded.cancelled:
        if parse_job_id(name) not in cell.jobs.keys() | cell.job_ended_at.keys():
            cell.early_cancellations.add(name)
    effects, cell.effects = cell.effects, []
    return effects


def _recorded_seconds(accepted: AcceptedJob, wall_ms: float) -> float:
    """Return for how long a job's acceptance has been recorded."""
    return max(0.0, (wall_ms - accepted.accepted_ms) / 1000)


def _cancel_if_recorded(cell: Cell, job_id: JobId, recorded: RecordedJobs, now: float) -> None:
    job = cell.jobs[job_id]
    if job.record_name in recorded.cancelled:
        cancel_job(cell, job, now)


def _restore_ended(
    cell: Cell, job_id: JobId, progress: JobProgress, layout: ProgressLayout | None, now: float
) -> None:
    """Publish the final status of a job for which nothing else is recorded."""
    if not progress.status.is_final:
        cell.log_decision("job_record_missing", job_id, status=progress.status.name.lower())
        return
    if layout is not None:
        cell.emit(DropProgress(tuple(layout.keys)))
    cell.job_ended_at[job_id] = now
    # The job's queue is unknown, and not needed since the job has ended.
    cell.emit(PublishStatus(job_id, "", progress.status, progress.team))


def _restore_job(
    cell: Cell,
    job_id: JobId,
    accepted: AcceptedJob,
    progress: JobProgress,
    layout: ProgressLayout | None,
    now: float,
    wall_ms: float,
) -> None:
    age_s = _recorded_seconds(accepted, wall_ms) + accepted.waited_s
    job = Job(job_id, accepted, now - age_s, progress.status, layout=layout)
    cell.jobs[job_id] = job
    if job.status.is_final:
        cell.job_ended_at[job_id] = now
    obsolete_keys = [] if layout is None else layout.drop_finished()
    if obsolete_keys:
        cell.emit(DropProgress(tuple(obsolete_keys)))
    spec = accepted.spec
    reached = max((record.repetition + 1 for record in progress.tasks), default=0)
    reached = max(reached, 0 if layout is None else layout.finished_end)
    while len(job.repetitions) < max(reached, 0 if spec.repetitions else 1):
        if layout is not None and layout.is_finished(len(job.repetitions)):
            job.repetitions.append([])
        else:
            create_repetition(job, len(job.repetitions))
    for record in progress.tasks:
        _restore_task(cell, job, record)
    cell.publish_status(job)
    if job.status.is_final:
        if not progress.tasks:
            cell.emit(ForgetAccepted((job.record_name,)))
        return
    if spec.repetitions:
        cell.scheduled_jobs[job_id] = job
    for steps in job.repetitions:
        for step in steps:
            step.done_count = sum(task.phase is Phase.DONE for task in step.tasks)
        enqueue_ready_steps(cell, steps)
    # The earlier leader may have recorded the last end, but not yet that of the job.
    complete_job_if_done(cell, job, now)


def _restore_task(cell: Cell, job: Job, record: TaskProgress) -> None:
    task = job.repetitions[record.repetition][record.step].tasks[record.index]
    task.run = record.run
    task.failed_runs = set(record.failed_runs)
    restore_charges(cell, task, _read_charges(record))
    task.checkpoint = record.checkpoint
    # The start of the phase is not recorded. If it were left at 0, the first report would clear a
    # long-running task's losses, as if the task had run since this machine booted.
    task.phase_since = task.ordered_at = cell.now
    if record.run:
        task.idle_since = cell.leadership_claimed_at
    if record.done:
        task.phase = Phase.DONE
    if not record.life:
        return
    task.life = record.life
    task.address = record.address
    cell.team_usage.add_run(record.life, task.id, record.run, job.team, task.step.spec.size)
    if not record.done:
        task.phase = Phase.RUNNING
    orphan = Orphan(task, record.run, record.life, cell.leadership_claimed_at)
    cell.orphans.setdefault(worker_id_of(record.life), []).append(orphan)


def _read_charges(record: TaskProgress) -> tuple[Charge, ...]:
    """Return the recorded charges; records of earlier versions do not name the workers."""
    if record.charges:
        return tuple(
            Charge(each.run, each.evidence, each.life, each.address) for each in record.charges
        )
    crashed = set(record.crashed_runs)
    return tuple(
        Charge(run, Evidence.CRASH if run in crashed else Evidence.LOSS) for run in record.lost_runs
    )

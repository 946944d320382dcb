"""Reducer of the leader: applies each event to the state and returns the resulting effects."""

import dataclasses

from .announced_jobs import announce_job, confirm_job, withdraw_expired_jobs, withdraw_job
from .cell import Cell, UnsubmittedProgress
from .early_advice import prepare_restarts
from .events import (
    AdviceAnswered,
    AdviceFailed,
    BatchRejected,
    ConfigurationChanged,
    DropJobs,
    DropProgress,
    EarlierLeadersEnded,
    Effect,
    Event,
    ForgetAccepted,
    JobAccepted,
    JobAnnounced,
    JobCancelled,
    JobWithdrawn,
    Persisted,
    RenewAnswered,
    StartAnswered,
    StopAnswered,
    Ticked,
    WorkerDelisted,
    WorkerListed,
)
from .expansion import expand_job, expand_waiting, publish_job_room, release_ended_jobs
from .job_objects import release_objects
from .job_state import Job, Phase
from .load import predict_job, summarize_load
from .order_answers import handle_start_answer, handle_stop_answer
from .overdue import log_overdue_runs
from .placement import place_waiting_steps
from .placement_advice import apply_advice, expire_requests, handle_advice_failure
from .progress import AcceptedJob, parse_job_id, record_name
from .progress_batches import (
    handle_persisted,
    handle_rejected,
    release_held_starts,
    send_batch,
)
from .quarantine import release_expired
from .restored_jobs import restore_late_job
from .room_use import log_room_use
from .runs import abort_gang, cancel_job
from .shares import log_team_usage, sum_capacity
from .starving import log_starving_jobs
from .worker_lives import handle_worker_delisted, handle_worker_listed, list_pending_workers
from .worker_reports import handle_renewal
from .worker_watch import watch_workers

__all__ = ["accept_job", "reduce"]

_MAX_PLACEMENT_DELAY_SECONDS = 0.02
"""Maximum time by which placement is delayed while further events are queued. It is a small part
of the slack of the shortest jobs."""

_GANG_ABORT_SHARE = 0.6
"""Fraction of a gang's waiting time after which its start is aborted. The remaining time lets the
stop orders arrive before a member's own wait times out."""


def reduce(
    cell: Cell, event: Event, now: float, wall_ms: float, is_last: bool = True
) -> list[Effect]:
    """Apply an event to the state and return the effects to carry out.

    Parameters
    ----------
    cell
        State of the leader, changed in place.
    event
        The event.
    now
        Current time on the steady clock, in seconds.
    wall_ms
        Current wall-clock time, in ms since 1970.
    is_last
        Whether no further event is queued. While events are queued, placement passes are delayed
        so that one pass covers several events.
    """
    cell.now = now
    cell.created_in_event = 0
    _apply(cell, event, now, wall_ms)
    is_due = is_last or now - cell.last_placement_at >= _MAX_PLACEMENT_DELAY_SECONDS
    if (cell.needs_placement and is_due) or isinstance(event, Ticked):
        place_waiting_steps(cell, now)
    if isinstance(event, Ticked):
        prepare_restarts(cell, now)
    send_batch(cell)
    effects, cell.effects = cell.effects, []
    return effects


def _apply(cell: Cell, event: Event, now: float, wall_ms: float) -> None:
    match event:
        case RenewAnswered():
            handle_renewal(cell, event, now)
        case StartAnswered():
            handle_start_answer(cell, event, now)
        case Persisted(number):
            handle_persisted(cell, number, now)
        case BatchRejected(number):
            handle_rejected(cell, number, now)
        case AdviceAnswered():
            apply_advice(cell, event, now)
        case AdviceFailed():
            handle_advice_failure(cell, event, now)
        case JobAccepted():
            accept_job(cell, event, now, wall_ms)
        case JobAnnounced():
            announce_job(cell, event, now, wall_ms)
        case JobWithdrawn(job):
            withdraw_job(cell, job, now)
        case JobCancelled(name):
            _handle_cancellation(cell, name, now)
        case StopAnswered():
            handle_stop_answer(cell, event, now)
        case WorkerListed(entry):
            handle_worker_listed(cell, entry, now)
        case WorkerDelisted(life, may_return):
            handle_worker_delisted(cell, life, may_return, now)
        case ConfigurationChanged(configuration):
            if configuration.version > cell.configuration.version:
                cell.configuration = configuration
                cell.log_decision("configuration", str(configuration.version))
                list_pending_workers(cell, now)
                cell.needs_placement = True
        case EarlierLeadersEnded(expiry_s):
            cell.settings = dataclasses.replace(cell.settings, unreached_run_expiry_s=expiry_s)
        case Ticked(advice_node_count):
            cell.advice_node_count = advice_node_count
            _handle_tick(cell, now, wall_ms)


def accept_job(
    cell: Cell, event: JobAccepted, now: float, wall_ms: float, recorded_s: float = 0.0
) -> None:
    """Add an accepted job; a job that is already known is left unchanged.

    ``recorded_s`` is for how long its acceptance has been recorded, in seconds.
    """
    if event.job in cell.unreadable_jobs:
        # A resubmission; earlier runs of the job are unknown.
        cell.log_decision("job_record_unreadable", event.job)
        return
    if event.job in cell.job_ended_at:
        # A resubmission. The submission record is deleted only once the end of the job is recorded:
        # until then a new leader can restore the job from this record alone.
        cell.deferred.append(ForgetAccepted((record_name(event.job, event.accepted.team),)))
        return
    known = cell.jobs.get(event.job)
    if known is not None and not known.is_recorded:
        if confirm_job(cell, known, event.accepted, now):
            _publish_accepted_job(cell, known)
            if known.record_name in cell.early_cancellations:
                cancel_job(cell, known, now)
            release_held_starts(cell, known, now)
            return
        known = None
    if known is not None:
        _handle_resubmission(cell, known, event.accepted)
        return
    unsubmitted = cell.unsubmitted.pop(event.job, None)
    if unsubmitted is not None and unsubmitted.progress.team == event.accepted.team:
        _accept_late_job(cell, event, unsubmitted, now, wall_ms)
        return
    job = Job(event.job, event.accepted, now - event.accepted.waited_s - recorded_s)
    cell.add_job(job)
    _publish_accepted_job(cell, job)
    predict_job(cell, job)
    if job.record_name in cell.early_cancellations:
        cancel_job(cell, job, now)
    else:
        expand_job(cell, job, wall_ms)


def _accept_late_job(
    cell: Cell, event: JobAccepted, unsubmitted: UnsubmittedProgress, now: float, wall_ms: float
) -> None:
    """Add a job whose progress was on record before its submission was read."""
    restore_late_job(cell, event.job, event.accepted, unsubmitted, now, wall_ms)
    job = cell.jobs[event.job]
    _publish_accepted_job(cell, job)
    if job.record_name in cell.early_cancellations:
        cancel_job(cell, job, now)


def _publish_accepted_job(cell: Cell, job: Job) -> None:
    cell.publish_status(job)
    steps = job.accepted.spec.steps
    queue = cell.queue_of(job)
    cell.log_decision(
        "job_taken",
        job.id,
        queue=job.queue,
        steps=len(steps),
        stretch=queue.stretch,
        target_s=queue.target_latency_ms / 1000,
        lasts=any(step.long_running for step in steps),
    )


def _handle_resubmission(cell: Cell, job: Job, resubmitted: AcceptedJob) -> None:
    """Ignore the resubmission of a known job, and delete the record of one by another team."""
    if resubmitted.team != job.team:
        cell.log_decision("job_of_another_team", job.id, team=job.team, by=resubmitted.team)
        cell.emit(ForgetAccepted((record_name(job.id, resubmitted.team),)))


def _handle_cancellation(cell: Cell, name: str, now: float) -> None:
    job = cell.jobs.get(parse_job_id(name))
    if job is None or not job.is_recorded:
        cell.early_cancellations.add(name)
    elif job.record_name == name:
        cancel_job(cell, job, now)
    else:
        cell.log_decision("cancel_by_another_team", job.id, team=job.team)


def _handle_tick(cell: Cell, now: float, wall_ms: float) -> None:
    watch_workers(cell, now)
    release_expired(cell, now)
    expire_requests(cell, now)
    cell.capacity = sum_capacity(cell)
    expand_waiting(cell, wall_ms)
    release_ended_jobs(cell)
    _abort_late_gangs(cell, now)
    _drop_expired_jobs(cell, now)
    withdraw_expired_jobs(cell, now)
    log_room_use(cell, now)
    log_team_usage(cell, now)
    log_starving_jobs(cell, now)
    log_overdue_runs(cell, now)
    summarize_load(cell, now)
    publish_job_room(cell, now)


def _abort_late_gangs(cell: Cell, now: float) -> None:
    longest_wait_s = cell.settings.gang_wait_s * _GANG_ABORT_SHARE
    for key, step in list(cell.starting_gangs.items()):
        unanswered = [task.phase_since for task in step.tasks if task.phase is Phase.ORDERED]
        if not unanswered:
            del cell.starting_gangs[key]
        elif now - min(unanswered) > longest_wait_s:
            cell.log_decision("gang_given_up", step.job.id, step=step.number)
            abort_gang(cell, step, now)


def _drop_expired_jobs(cell: Cell, now: float) -> None:
    expired = []
    for job, final_at in cell.job_ended_at.items():
        if now - final_at < cell.settings.retention_s:
            break
        expired.append(job)
    names = []
    blocks = []
    for job_id in expired:
        del cell.job_ended_at[job_id]
        job = cell.remove_job(job_id)
        if job is not None:
            cell.recorded_ends.pop(job_id, None)
            release_objects(cell, job)
        name = job_id if job is None else job.record_name
        if job is not None and job.layout is not None:
            blocks += job.layout.keys
        names.append(name)
        cell.early_cancellations.discard(name)
    if blocks:
        cell.emit(DropProgress(tuple(blocks)))
    if expired:
        # Deferred, it could drop a job that is submitted again under the same identifier.
        cell.emit(DropJobs(tuple(expired), tuple(names)))

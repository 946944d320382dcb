"""Reducer of the leader: applies each event to the state and returns the resulting effects."""

from .advising import take_advice, take_advice_failure
from .batches import flush, take_persisted
from .cell import Cell
from .events import (
    AdviceAnswered,
    AdviceFailed,
    ConfigurationChanged,
    DropJobs,
    Effect,
    Event,
    ForgetAccepted,
    JobAccepted,
    JobCancelled,
    Persisted,
    RenewAnswered,
    StartAnswered,
    StopAnswered,
    Ticked,
    WorkerDelisted,
    WorkerListed,
)
from .order_answers import take_start_answer, take_stop_answer
from .overdue import tell_overdue
from .parts import Job, Phase
from .placing import place_waiting
from .progress import AcceptedJob, job_of_record, record_name
from .room_use import tell_room_use
from .runs import abort_gang, cancel_job, open_repetition, open_steps
from .set_aside import take_back_due
from .shares import count_capacity, tell_team_use
from .starving import tell_starving
from .worker_lives import delist_worker, list_named_workers, list_worker
from .worker_reports import take_renewal
from .worker_watch import watch_workers

__all__ = ["accept_job", "reduce"]

_PLACING_WAIT_SECONDS = 0.02
"""Maximum time by which placement is delayed while further events are queued. It is a small part
of the slack of the shortest jobs."""

_GANG_PATIENCE = 0.6
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
    _apply(cell, event, now, wall_ms)
    is_due = is_last or now - cell.placed_at >= _PLACING_WAIT_SECONDS
    if (cell.placing_wanted and is_due) or isinstance(event, Ticked):
        place_waiting(cell, now)
    flush(cell)
    effects, cell.effects = cell.effects, []
    return effects


def _apply(cell: Cell, event: Event, now: float, wall_ms: float) -> None:
    match event:
        case RenewAnswered():
            take_renewal(cell, event, now)
        case StartAnswered():
            take_start_answer(cell, event, now)
        case Persisted(number):
            take_persisted(cell, number, now)
        case AdviceAnswered():
            take_advice(cell, event, now)
        case AdviceFailed():
            take_advice_failure(cell, event, now)
        case JobAccepted():
            accept_job(cell, event, now, wall_ms)
        case JobCancelled(name):
            _cancel(cell, name, now)
        case StopAnswered():
            take_stop_answer(cell, event, now)
        case WorkerListed(entry):
            list_worker(cell, entry, now)
        case WorkerDelisted(life, may_return):
            delist_worker(cell, life, may_return, now)
        case ConfigurationChanged(configuration):
            if configuration.version > cell.configuration.version:
                cell.configuration = configuration
                cell.tell("configuration", str(configuration.version))
                list_named_workers(cell, now)
                cell.placing_wanted = True
        case Ticked(askers):
            cell.askers = askers
            _tick(cell, now, wall_ms)


def accept_job(cell: Cell, event: JobAccepted, now: float, wall_ms: float) -> None:
    """Add an accepted job; a job that is already known is left unchanged."""
    if event.job in cell.unreadable:
        # A resubmission; earlier runs of the job are unknown.
        cell.tell("job_record_unreadable", event.job)
        return
    if event.job in cell.final_jobs:
        # A resubmission. The acceptance record is deleted only once the job's end is stored: a
        # successor leader knows the job from this record alone until then.
        cell.held.append(ForgetAccepted((record_name(event.job, event.accepted.team),)))
        return
    known = cell.jobs.get(event.job)
    if known is not None:
        _take_again(cell, known, event.accepted)
        return
    job = Job(event.job, event.accepted, now)
    cell.jobs[job.id] = job
    cell.publish(job)
    cell.tell(
        "job_taken",
        job.id,
        queue=job.queue,
        steps=len(event.accepted.spec.steps),
        stretch=cell.queue_of(job).stretch,
        target_s=cell.queue_of(job).target_latency_ms / 1000,
        lasts=any(step.long_running for step in event.accepted.spec.steps),
    )
    if job.record_name in cell.cancelled_ahead:
        cancel_job(cell, job, now)
    elif event.accepted.spec.repetitions:
        cell.scheduled[job.id] = job
        _open_due(cell, job, wall_ms)
    else:
        open_steps(cell, open_repetition(job, 0))


def _take_again(cell: Cell, job: Job, again: AcceptedJob) -> None:
    """Ignore the resubmission of a known job, and delete the record of one by another team."""
    if again.team != job.team:
        cell.tell("job_of_another_team", job.id, team=job.team, by=again.team)
        cell.emit(ForgetAccepted((record_name(job.id, again.team),)))


def _open_due(cell: Cell, job: Job, wall_ms: float) -> None:
    spec = job.accepted.spec
    while len(job.repetitions) < spec.repetitions:
        due_ms = spec.first_due_ms + len(job.repetitions) * spec.interval_ms
        if wall_ms < due_ms:
            return
        open_steps(cell, open_repetition(job, len(job.repetitions)))
    cell.scheduled.pop(job.id, None)


def _cancel(cell: Cell, name: str, now: float) -> None:
    job = cell.jobs.get(job_of_record(name))
    if job is None:
        cell.cancelled_ahead.add(name)
    elif job.record_name == name:
        cancel_job(cell, job, now)
    else:
        cell.tell("cancel_by_another_team", job.id, team=job.team)


def _tick(cell: Cell, now: float, wall_ms: float) -> None:
    watch_workers(cell, now)
    take_back_due(cell, now)
    cell.capacity = count_capacity(cell)
    for job in list(cell.scheduled.values()):
        _open_due(cell, job, wall_ms)
    _give_up_late_gangs(cell, now)
    _forget_old_jobs(cell, now)
    tell_room_use(cell, now)
    tell_team_use(cell, now)
    tell_starving(cell, now)
    tell_overdue(cell, now)


def _give_up_late_gangs(cell: Cell, now: float) -> None:
    patience = cell.settings.gang_wait_s * _GANG_PATIENCE
    for key, step in list(cell.starting_gangs.items()):
        unanswered = [task.since for task in step.tasks if task.phase is Phase.ORDERED]
        if not unanswered:
            del cell.starting_gangs[key]
        elif now - min(unanswered) > patience:
            cell.tell("gang_given_up", step.job.id, step=step.number)
            abort_gang(cell, step, now)


def _forget_old_jobs(cell: Cell, now: float) -> None:
    old = []
    for job, final_at in cell.final_jobs.items():
        if now - final_at < cell.settings.retention_s:
            break
        old.append(job)
    names = []
    for job_id in old:
        del cell.final_jobs[job_id]
        job = cell.jobs.pop(job_id, None)
        name = job_id if job is None else job.record_name
        names.append(name)
        cell.cancelled_ahead.discard(name)
    if old:
        cell.emit(DropJobs(tuple(old)))
        cell.held.append(ForgetAccepted(tuple(names)))

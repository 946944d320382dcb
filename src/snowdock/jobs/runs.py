"""State transitions of runs, tasks, steps and jobs, mainly at the end of a run."""

import enum
import math

from .cell import Cell, DeferredRenewal, PendingStop
from .charges import charge_ended_run, forget_charges
from .durability import mark_dirty
from .events import PublishStatus, SendStop
from .failed_runs import record_failed_run, record_success
from .job_objects import add_tasks, has_place
from .job_state import Job, Phase, Step, Task
from .load import record_completed
from .model import JobStatus, TaskId
from .occupancy import vacate
from .orders import EndedRun, EndKind, StopOrder
from .ranking import update_rank
from .workers import Worker

__all__ = [
    "EndCause",
    "abort_gang",
    "acknowledge_ends",
    "apply_run_end",
    "cancel_job",
    "complete_job_if_done",
    "enqueue_ready_steps",
    "fail_job",
    "mark_job_running",
    "postpone_malformed_start",
    "send_stop",
    "stop_run",
    "void_run",
]


_EARLY_FAILURE_SECONDS = 2.0
"""A run that fails within this time of its start has failed early."""

_EARLY_PAUSE_SECONDS = 0.25
_MAX_EARLY_PAUSE_SECONDS = 3.0
"""Pause of a long-running task after the first early failure, which doubles with each further one
in a row, and its upper bound."""

_MALFORMED_PAUSE_SECONDS = 1.0
_MAX_MALFORMED_PAUSE_SECONDS = 30.0
"""Delay of a task's next start after a worker refused one as malformed, which doubles with each
further refusal, and its upper bound: other workers probably refuse it as well."""


class EndCause(enum.Enum):
    """The rule by which a job ended."""

    DONE = "done"
    """All tasks are done."""
    FAILED_ATTEMPTS = "failed_attempts"
    """The runs of a task, or of a gang, have failed as often as the queue permits."""
    CRASHES = "crashes"
    """A task was given up because workers crashed under it."""
    CANCEL_RECORD = "cancel_record"
    """The store has a record that cancels the job."""


def enqueue_ready_steps(cell: Cell, steps: list[Step]) -> None:
    """Enqueue the steps of a repetition whose predecessors are done."""
    for step in steps:
        key = step.key
        if step.job.status.is_final or step.is_done or not _is_ready(step):
            cell.held_steps.pop(key, None)
        elif key not in cell.waiting_steps and not has_place(cell, step.job):
            cell.held_steps[key] = step
        else:
            add_tasks(cell, step)
            if step.waiting_tasks:
                _add_to_queue(cell, step)
            cell.held_steps.pop(key, None)


def _is_ready(step: Step) -> bool:
    """Check whether the steps that must come before a step are done.

    After a takeover a step may have a run without that: the earlier leader had recorded the run,
    but not yet the ends before it, which are in another record. No such run was started.
    """
    # A finished repetition has dropped its steps.
    steps = step.job.repetitions.get(step.repetition)
    return steps is not None and all(steps[earlier].is_done for earlier in step.spec.after)


def _enqueue_step(cell: Cell, step: Step) -> None:
    if not step.job.status.is_final and _is_ready(step):
        _add_to_queue(cell, step)


def _add_to_queue(cell: Cell, step: Step) -> None:
    """Add a step that may start to the waiting steps; a gang only as a whole."""
    if step.spec.gang and (step.uncreated_count or any(task.is_placed for task in step.tasks)):
        return
    if step.key not in cell.waiting_steps:
        if step.key not in cell.held_steps or not step.queued_at:
            # One that gave its place to others has gone on waiting.
            step.queued_at = cell.now
        cell.enqueue(step)
        update_rank(cell, step, cell.now)
    step.next_search_at = 0.0
    cell.needs_placement = True


def mark_job_running(cell: Cell, job: Job) -> None:
    """Set a pending job to running, after a worker confirmed a run of it.

    Jobs whose starts are refused or lost stay pending.
    """
    if job.status is JobStatus.PENDING:
        job.status = JobStatus.RUNNING
        cell.publish_status(job)


# -- ends ----------------------------------------------------------------------------------


def apply_run_end(cell: Cell, worker: Worker, end: EndedRun, now: float) -> None:
    """Apply the end of a run that a worker reports."""
    vacate(cell, worker.life, end.task, end.run)
    cell.pending_stops.pop((worker.life, end.task, end.run), None)
    cell.needs_placement = True
    task = cell.find_task(end.task)
    _record_worker_health(cell, worker, end, task, now)
    if task is None:
        unsubmitted = cell.unsubmitted.get(end.task.job)
        if unsubmitted is not None:
            unsubmitted.ends.append((worker, end))
        return
    if not task.is_current_run(end.run, worker.life):
        _apply_stale_end(cell, task, end, worker.life, now)
        return
    task.life = ""
    job = task.step.job
    mark_job_running(cell, job)
    mark_dirty(cell, job)
    if end.checkpoint:
        task.checkpoint = end.checkpoint
    cell.log_decision(
        "run_ended",
        job.id,
        task=task.id,
        run=end.run,
        how=end.kind.value,
        worker=worker.life,
        number=end.number,
    )
    if task.phase is Phase.DONE:
        return
    if end.kind is EndKind.DONE and not task.step.spec.long_running:
        _complete_task(cell, task, now)
        return
    if task.step.spec.long_running:
        _pause_after_early_failure(task, end.kind, now)
    elif end.kind is EndKind.FAILED:
        _record_failure(cell, task, end.run, worker.life, now)
    if charge_ended_run(cell, worker, task, end.run):
        fail_job(cell, job, EndCause.CRASHES, now)
    if not job.status.is_final:
        _requeue_task(cell, task, now)


def _apply_stale_end(cell: Cell, task: Task, end: EndedRun, life: str, now: float) -> None:
    """Apply the end of a run that was considered lost; a failure still counts as an attempt."""
    cell.log_decision(
        "stale_end", task.id.job, task=task.id, run=end.run, how=end.kind.value, worker=life
    )
    if end.kind is not EndKind.FAILED or task.step.spec.long_running:
        return
    if end.run > task.run or (end.run == task.run and task.is_placed):
        # The run of an earlier job under the same identifier: this job's is not there.
        return
    if end.run in task.failed_runs:
        # Already counted; the acknowledgement has not reached the worker.
        return
    if task.phase is not Phase.DONE and not task.step.job.status.is_final:
        mark_dirty(cell, task.step.job)
        _record_failure(cell, task, end.run, life, now)


def _record_worker_health(
    cell: Cell, worker: Worker, end: EndedRun, task: Task | None, now: float
) -> None:
    if task is None:
        return
    if end.kind is EndKind.DONE:
        began_at = task.phase_since if task.is_current_run(end.run, worker.life) else -math.inf
        record_success(cell, worker, task.step, began_at, now)
    elif end.kind is EndKind.FAILED:
        record_failed_run(cell, worker, task.step, now)


def _complete_task(cell: Cell, task: Task, now: float) -> None:
    step = task.step
    # The success of one member completes the whole gang.
    finished_tasks = step.tasks if step.spec.gang else [task]
    for each in finished_tasks:
        if each.phase is not Phase.DONE:
            each.phase = Phase.DONE
            step.done_count += 1
            record_completed(cell, each)
    if not step.is_done or step.job.status.is_final:
        return
    cell.dequeue(step)
    job = step.job
    steps = job.repetitions[step.repetition]
    if all(each.is_done for each in steps):
        complete_job_if_done(cell, job, now)
    else:
        enqueue_ready_steps(cell, steps)


def complete_job_if_done(cell: Cell, job: Job, now: float) -> None:
    """Complete a job if all tasks of all its repetitions are done."""
    if job.find_next_repetition() is not None:
        return
    if all(step.is_done for step in job.all_steps()):
        _end_job(cell, job, JobStatus.COMPLETED, EndCause.DONE, now)


def _record_failure(cell: Cell, task: Task, run: int, life: str, now: float) -> None:
    """Count a failed run, and fail the job if its queue permits no further attempt."""
    step = task.step
    _avoid_worker(task, life)
    # All members share the failure count: a gang's run fails once, however many members fail.
    for each in step.tasks if step.spec.gang else [task]:
        each.failed_runs |= {run}
    step.not_before = now + cell.policy.backoff_seconds(step, task.failures)
    max_attempts = cell.queue_of(step.job).max_attempts
    if task.failures >= max_attempts:
        cell.log_decision(
            "attempts_used_up",
            step.job.id,
            task=task.id,
            failed_runs=sorted(task.failed_runs),
            max_attempts=max_attempts,
        )
        fail_job(cell, step.job, EndCause.FAILED_ATTEMPTS, now)


def _avoid_worker(task: Task, life: str) -> None:
    if task.avoided_lives is None:
        task.avoided_lives = set()
    task.avoided_lives.add(life)


def _pause_after_early_failure(task: Task, kind: EndKind, now: float) -> None:
    """Delay the next start of a long-running task that failed just after its start.

    Such a failure uses up no attempt, so the task could start again and again without a pause.
    """
    if kind is not EndKind.FAILED or now - task.phase_since >= _EARLY_FAILURE_SECONDS:
        task.early_failures = 0
        return
    pause_s = min(_MAX_EARLY_PAUSE_SECONDS, _EARLY_PAUSE_SECONDS * 2**task.early_failures)
    task.early_failures += 1
    task.not_before = now + pause_s


def postpone_malformed_start(cell: Cell, task: Task, life: str, now: float) -> None:
    """Delay a task's next start after a worker refused one as malformed.

    Nothing has run, so no attempt is used up. Another worker may accept the start.
    """
    job = task.step.job
    if job.status.is_final:
        return
    _avoid_worker(task, life)
    pause_s = min(_MAX_MALFORMED_PAUSE_SECONDS, _MALFORMED_PAUSE_SECONDS * 2**task.malformed_starts)
    task.malformed_starts += 1
    task.step.not_before = max(task.step.not_before, now + pause_s)
    cell.log_decision(
        "malformed_start_postponed",
        job.id,
        task=task.id,
        worker=life,
        refusals=task.malformed_starts,
        pause_s=pause_s,
    )


def _requeue_task(cell: Cell, task: Task, now: float) -> None:
    task.phase = Phase.WAITING
    task.phase_since = now
    if task.is_confirmed:
        # A lost run ended when it was last seen, not when its lease expired.
        task.idle_since = task.seen_at
    task.percent = 0.0
    task.measured_at = 0.0
    task.measured_percent = 0.0
    step = task.step
    if step.spec.gang:
        abort_gang(cell, step, now)
    _enqueue_step(cell, step)


def abort_gang(cell: Cell, step: Step, now: float) -> None:
    """Stop all members of a gang's run; the gang is requeued once all of them have ended."""
    for task in step.tasks:
        if task.phase in (Phase.ORDERED, Phase.UNSURE, Phase.RUNNING, Phase.RECORDED):
            stop_run(cell, task, now)
    _enqueue_step(cell, step)


def stop_run(cell: Cell, task: Task, now: float) -> None:
    """Stop a task's current run, or discard it if its start was not ordered yet."""
    if not task.is_placed:
        return
    if task.phase is Phase.RECORDED:
        _discard_run(cell, task)
        return
    task.phase = Phase.STOPPING
    task.phase_since = now
    if (task.life, task.id, task.run) not in cell.pending_stops:
        send_stop(cell, task.life, task.id, task.run, now)


def send_stop(cell: Cell, life: str, task: TaskId, run: int, now: float) -> None:
    """Send the first stop order for a run; the order is repeated until the run ends."""
    cell.pending_stops[life, task, run] = PendingStop(now)
    cell.emit(SendStop(life, StopOrder(task, run, cell.token)))


def _discard_run(cell: Cell, task: Task) -> None:
    vacate(cell, task.life, task.id, task.run)
    cell.pending_stops.pop((task.life, task.id, task.run), None)
    cell.needs_placement = True
    task.life = ""
    if task.phase is not Phase.DONE:
        task.phase = Phase.WAITING
    mark_dirty(cell, task.step.job)


def void_run(cell: Cell, task: Task, now: float) -> None:
    """Discard a run that never started or has certainly ended, without counting an attempt."""
    _discard_run(cell, task)
    if task.phase is not Phase.DONE and not task.step.job.status.is_final:
        _requeue_task(cell, task, now)


# -- jobs ----------------------------------------------------------------------------------


def cancel_job(cell: Cell, job: Job, now: float) -> None:
    """Cancel a job that has not ended."""
    if not job.status.is_final:
        _end_job(cell, job, JobStatus.CANCELLED, EndCause.CANCEL_RECORD, now)


def fail_job(cell: Cell, job: Job, cause: EndCause, now: float) -> None:
    """Fail a job that has not ended; the status is published once it is recorded."""
    if not job.status.is_final:
        _end_job(cell, job, JobStatus.FAILED, cause, now)


def _end_job(cell: Cell, job: Job, status: JobStatus, cause: EndCause, now: float) -> None:
    job.status = status
    forget_charges(cell, job)
    cell.job_ended_at[job.id] = now
    cell.unexpanded_jobs.pop(job.id, None)
    for step in job.all_steps():
        cell.dequeue(step)
        cell.partial_steps.pop(step.key, None)
    for task in job.all_tasks():
        if task.phase is not Phase.DONE:
            stop_run(cell, task, now)
    mark_dirty(cell, job)
    cell.deferred.append(PublishStatus(job.id, job.queue, status, job.team))
    cell.log_decision(
        "job_ended",
        job.id,
        status=status.name.lower(),
        cause=cause.value,
        queue=job.queue,
        seconds=now - job.submitted_at,
    )


def acknowledge_ends(cell: Cell, worker: Worker) -> None:
    """Acknowledge a worker's reported ends once they are recorded, so that it can drop them."""
    cell.deferred.append(DeferredRenewal(worker.life, worker.last_processed_end))

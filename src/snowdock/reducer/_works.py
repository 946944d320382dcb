"""Handlers of work and attempt records."""

from ..declarations import WorkSpec
from ..effects import Accepted, StopRequired, Verdict, WorkQueued
from ..leases import earliest_loss_ms
from ..records import (
    AttemptEnded,
    AttemptLost,
    AttemptStarted,
    StopRequested,
    WorkCancelled,
    WorkSubmitted,
)
from ..state import Outcome, Task, TaskState, VmState, Work
from ._common import (
    RECORDS_PER_ENTRY,
    Context,
    close_attempt,
    find_attempt,
    finish_work_if_done,
    remove_expired_works,
    require,
    set_task_state,
)

__all__ = ["HANDLERS", "cancel", "create", "service_number"]


_MAX_LOSSES = 5
"""Number of lost running attempts after which a task fails, since the task itself may crash its
workers."""

_LOSS_OUTCOMES = frozenset((Outcome.ABSENT, Outcome.LOST))


def service_number(context: Context, index: int) -> int:
    """Return the work number of a declared service, counted down from the entry's last number."""
    return (context.offset + 1) * RECORDS_PER_ENTRY - 1 - index


def create(context: Context, number: int, key: str, spec: WorkSpec) -> None:
    """Add a work with all its tasks queued to the state."""
    state = context.state
    tasks = [Task() for _ in range(spec.tasks)]
    state.works[number] = Work(number, key, spec, tasks, state.now_ms, open_tasks=spec.tasks)
    state.work_keys[key] = number
    state.queued_tasks += spec.tasks
    context.effects.append(WorkQueued(number))


def _apply_work_submitted(context: Context, record: WorkSubmitted) -> Verdict:
    state = context.state
    known = state.work_keys.get(record.key)
    if known is not None:
        # The caller has repeated the submission, such as after a lost answer.
        require(state.works[known].spec == record.spec, "the key was used for another work")
        return Accepted(known)
    spec = record.spec
    declarations = state.configuration.declarations
    require(spec.team in declarations.teams, f"unknown team {spec.team}")
    limit = declarations.limits.queued_tasks
    require(state.queued_tasks + spec.tasks <= limit, "too many tasks are queued")
    remove_expired_works(state)
    create(context, context.work_number, record.key, spec)
    return Accepted(context.work_number)


def _apply_work_cancelled(context: Context, record: WorkCancelled) -> Verdict:
    work = context.state.works.get(record.work)
    require(work is not None, "unknown work")
    require(work.spec.kind != "service", "a declared service ends only by a configuration change")
    cancel(context, work)
    return Accepted(work.number)


def cancel(context: Context, work: Work) -> None:
    """Cancel a work; this has no effect on a work that is cancelled or finished already."""
    if work.cancelled or work.is_finished:
        return
    work.cancelled = True
    for number, task in enumerate(work.tasks):
        if task.state == TaskState.QUEUED:
            set_task_state(context.state, work, task, TaskState.CANCELLED)
        elif task.is_assigned:
            _require_stop(context, work, number, "stop")
    finish_work_if_done(context, work)


def _require_stop(context: Context, work: Work, number: int, how: str) -> None:
    task = work.tasks[number]
    if task.stopping:
        return
    task.stopping = True
    context.effects.append(StopRequired(work.number, number, task.attempt, task.worker, how))


def _apply_attempt_started(context: Context, record: AttemptStarted) -> Verdict:
    state = context.state
    work, task = find_attempt(state, record.work, record.task, record.attempt)
    require(task.state == TaskState.PLACED, "the attempt has started already")
    set_task_state(state, work, task, TaskState.RUNNING)
    if work.started_ms == 0:
        work.started_ms = state.now_ms
    return Accepted()


def _apply_stop_requested(context: Context, record: StopRequested) -> Verdict:
    work, task = find_attempt(context.state, record.work, record.task, record.attempt)
    require(work.spec.preemptible, "the work is not preemptible")
    require(not task.stopping, "the attempt is stopping already")
    _require_stop(context, work, record.task, record.how)
    return Accepted()


def _apply_attempt_ended(context: Context, record: AttemptEnded) -> Verdict:
    work, _ = find_attempt(context.state, record.work, record.task, record.attempt)
    try:
        outcome = Outcome(record.outcome)
    except ValueError:
        outcome = None
    require(outcome not in (None, Outcome.LOST), "not an outcome that a worker reports")
    _end_attempt(context, work, record.task, outcome)
    return Accepted()


def _apply_attempt_lost(context: Context, record: AttemptLost) -> Verdict:
    state = context.state
    work, task = find_attempt(state, record.work, record.task, record.attempt)
    worker = state.workers[task.worker]
    require(worker.state == VmState.GONE, "the worker's VM is not gone")
    require(worker.fenced_ms > 0, "a member may still renew the lease")
    margin = state.configuration.declarations.limits.clock_margin_ms
    earliest = earliest_loss_ms(worker.fenced_ms, state.longest_lease_ms, margin)
    require(context.batch.sent_ms > earliest, "the lease may still hold")
    _end_attempt(context, work, record.task, Outcome.LOST)
    return Accepted()


def _end_attempt(context: Context, work: Work, number: int, outcome: Outcome) -> None:
    state = context.state
    task = work.tasks[number]
    worker = state.workers[task.worker]
    task.losses += task.state == TaskState.RUNNING and outcome in _LOSS_OUTCOMES
    close_attempt(context, work, number, outcome)
    if outcome == Outcome.FAILED:
        worker.failure_streak += 1
        task.failures += 1
    elif outcome == Outcome.SUCCEEDED:
        worker.failure_streak = 0
    set_task_state(state, work, task, _next_state(work, task, outcome))
    if task.state == TaskState.FAILED and work.spec.kind == "gang":
        cancel(context, work)
    elif task.state == TaskState.QUEUED:
        _requeue(context, work)
    finish_work_if_done(context, work)


def _next_state(work: Work, task: Task, outcome: Outcome) -> TaskState:
    is_service = work.spec.kind == "service"
    if outcome == Outcome.SUCCEEDED and not is_service:
        return TaskState.SUCCEEDED
    if work.cancelled:
        return TaskState.CANCELLED
    are_retries_exhausted = outcome == Outcome.FAILED and task.failures > work.spec.retries
    if not is_service and (are_retries_exhausted or task.losses >= _MAX_LOSSES):
        return TaskState.FAILED
    return TaskState.QUEUED


def _requeue(context: Context, work: Work) -> None:
    """Announce that a work has queued tasks again.

    The assigned tasks of a gang are stopped first, since a gang is placed only as a whole.
    """
    if work.spec.kind == "gang":
        for number, task in enumerate(work.tasks):
            if task.is_assigned:
                _require_stop(context, work, number, "checkpoint")
    if not (work.spec.kind == "gang" and any(task.is_assigned for task in work.tasks)):
        context.effects.append(WorkQueued(work.number))


HANDLERS = {
    WorkSubmitted: _apply_work_submitted,
    WorkCancelled: _apply_work_cancelled,
    AttemptStarted: _apply_attempt_started,
    AttemptEnded: _apply_attempt_ended,
    AttemptLost: _apply_attempt_lost,
    StopRequested: _apply_stop_requested,
}

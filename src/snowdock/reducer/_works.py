"""Handlers of work and attempt records."""

from ..declarations import WorkSpec
from ..effects import Accepted, StopWanted, Verdict, WorkQueued
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
from ._tools import (
    RECORDS_PER_ENTRY,
    Context,
    close_attempt,
    find_attempt,
    forget_old,
    note_if_over,
    require,
    set_task_state,
)

__all__ = ["HANDLERS", "cancel", "create", "service_number"]


_MOST_LOSSES = 5
"""Number of lost running attempts after which a task fails, since the task itself may crash its
workers."""

_LOSSES = frozenset((Outcome.ABSENT, Outcome.LOST))


def service_number(context: Context, index: int) -> int:
    """Return the work number of a declared service, counted down from the entry's last number."""
    return (context.offset + 1) * RECORDS_PER_ENTRY - 1 - index


def create(context: Context, number: int, key: str, spec: WorkSpec) -> None:
    """Add a work with all its tasks queued to the state."""
    state = context.state
    tasks = [Task() for _ in range(spec.tasks)]
    state.works[number] = Work(number, key, spec, tasks, state.now_ms, open_tasks=spec.tasks)
    state.keys[key] = number
    state.queued_tasks += spec.tasks
    context.effects.append(WorkQueued(number))


def _submitted(context: Context, record: WorkSubmitted) -> Verdict:
    state = context.state
    known = state.keys.get(record.key)
    if known is not None:
        # The caller has repeated the submission, such as after a lost answer.
        require(state.works[known].spec == record.spec, "the key was used for another work")
        return Accepted(known)
    spec = record.spec
    declarations = state.configuration.declarations
    require(spec.team in declarations.teams, f"unknown team {spec.team}")
    limit = declarations.limits.queued_tasks
    require(state.queued_tasks + spec.tasks <= limit, "too many tasks are queued")
    forget_old(state)
    create(context, context.number, record.key, spec)
    return Accepted(context.number)


def _cancelled(context: Context, record: WorkCancelled) -> Verdict:
    work = context.state.works.get(record.work)
    require(work is not None, "unknown work")
    require(work.spec.kind != "service", "a declared service ends only by a configuration change")
    cancel(context, work)
    return Accepted(work.number)


def cancel(context: Context, work: Work) -> None:
    """Cancel a work; this has no effect on a work that is cancelled or finished already."""
    if work.cancelled or work.is_over:
        return
    work.cancelled = True
    for number, task in enumerate(work.tasks):
        if task.state == TaskState.QUEUED:
            set_task_state(context.state, work, task, TaskState.CANCELLED)
        elif task.holds_room:
            _want_stop(context, work, number, "stop")
    note_if_over(context, work)


def _want_stop(context: Context, work: Work, number: int, how: str) -> None:
    task = work.tasks[number]
    if task.stopping:
        return
    task.stopping = True
    context.effects.append(StopWanted(work.number, number, task.attempt, task.worker, how))


def _started(context: Context, record: AttemptStarted) -> Verdict:
    state = context.state
    work, task = find_attempt(state, record.work, record.task, record.attempt)
    require(task.state == TaskState.PLACED, "the attempt has started already")
    set_task_state(state, work, task, TaskState.RUNNING)
    if work.started_ms == 0:
        work.started_ms = state.now_ms
    return Accepted()


def _stop_requested(context: Context, record: StopRequested) -> Verdict:
    work, task = find_attempt(context.state, record.work, record.task, record.attempt)
    require(work.spec.preemptible, "the work is not preemptible")
    require(not task.stopping, "the attempt is stopping already")
    _want_stop(context, work, record.task, record.how)
    return Accepted()


def _ended(context: Context, record: AttemptEnded) -> Verdict:
    work, _ = find_attempt(context.state, record.work, record.task, record.attempt)
    try:
        outcome = Outcome(record.outcome)
    except ValueError:
        outcome = None
    require(outcome not in (None, Outcome.LOST), "not an outcome that a worker reports")
    _end(context, work, record.task, outcome)
    return Accepted()


def _lost(context: Context, record: AttemptLost) -> Verdict:
    state = context.state
    work, task = find_attempt(state, record.work, record.task, record.attempt)
    worker = state.workers[task.worker]
    require(worker.state == VmState.GONE, "the worker's VM is not gone")
    require(worker.fenced_ms > 0, "a member may still renew the lease")
    margin = state.configuration.declarations.limits.clock_margin_ms
    earliest = earliest_loss_ms(worker.fenced_ms, state.longest_lease_ms, margin)
    require(context.batch.at_ms > earliest, "the lease may still hold")
    _end(context, work, record.task, Outcome.LOST)
    return Accepted()


def _end(context: Context, work: Work, number: int, outcome: Outcome) -> None:
    state = context.state
    task = work.tasks[number]
    worker = state.workers[task.worker]
    task.losses += task.state == TaskState.RUNNING and outcome in _LOSSES
    close_attempt(context, work, number, outcome)
    if outcome == Outcome.FAILED:
        worker.streak += 1
        task.failures += 1
    elif outcome == Outcome.SUCCEEDED:
        worker.streak = 0
    set_task_state(state, work, task, _next_state(work, task, outcome))
    if task.state == TaskState.FAILED and work.spec.kind == "gang":
        cancel(context, work)
    elif task.state == TaskState.QUEUED:
        _requeued(context, work)
    note_if_over(context, work)


def _next_state(work: Work, task: Task, outcome: Outcome) -> TaskState:
    is_service = work.spec.kind == "service"
    if outcome == Outcome.SUCCEEDED and not is_service:
        return TaskState.SUCCEEDED
    if work.cancelled:
        return TaskState.CANCELLED
    is_used_up = outcome == Outcome.FAILED and task.failures > work.spec.retries
    if not is_service and (is_used_up or task.losses >= _MOST_LOSSES):
        return TaskState.FAILED
    return TaskState.QUEUED


def _requeued(context: Context, work: Work) -> None:
    """Announce that a work has queued tasks again.

    The assigned tasks of a gang are stopped first, since a gang is placed only as a whole.
    """
    if work.spec.kind == "gang":
        for number, task in enumerate(work.tasks):
            if task.holds_room:
                _want_stop(context, work, number, "checkpoint")
    if not (work.spec.kind == "gang" and any(task.holds_room for task in work.tasks)):
        context.effects.append(WorkQueued(work.number))


HANDLERS = {
    WorkSubmitted: _submitted,
    WorkCancelled: _cancelled,
    AttemptStarted: _started,
    AttemptEnded: _ended,
    AttemptLost: _lost,
    StopRequested: _stop_requested,
}

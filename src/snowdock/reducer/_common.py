"""Context, checks and state changes that the reducer's handlers share."""

import dataclasses

from ..declarations import ZERO_SIZE, Size
from ..effects import AttemptClosed, Effect, WorkFinished
from ..records import Batch
from ..state import Outcome, State, Task, TaskState, Work, Worker, format_attempt_id

__all__ = [
    "FINISHED_TASKS_KEPT",
    "KEY_WINDOW_MS",
    "RECORDS_PER_ENTRY",
    "Context",
    "InvalidRecord",
    "assign_task",
    "close_attempt",
    "find_attempt",
    "finish_work_if_done",
    "remove_expired_works",
    "require",
    "set_task_state",
]

RECORDS_PER_ENTRY = 4096
"""Maximum number of records in a batch; the work number of a record is
``offset * RECORDS_PER_ENTRY + index``, which is unique."""


FINISHED_TASKS_KEPT = 10_000
"""Number of tasks of finished works that are kept; older works keep only counts by state."""

KEY_WINDOW_MS = 8 * 3600 * 1000
"""How long the key and the task counts of a finished work are kept.

This bounds the memory of a node: at 13,000 jobs a day, these take about 4 MB, and those of a whole
day would take 11 MB; see ``docs/CAPACITY.md``.
"""


class InvalidRecord(Exception):
    """Raised if a record is not valid in the state at its offset."""

    def __init__(self, reason: str) -> None:
        super().__init__(reason)
        self.reason = reason


@dataclasses.dataclass(slots=True)
class Context:
    """A record's position in the log, with the state and the effects of the entry so far.

    ``index`` is the position of the record in its batch.
    """

    state: State
    effects: list[Effect]
    batch: Batch
    offset: int
    index: int

    @property
    def work_number(self) -> int:
        """The number of a work that the record submits, unique to the record."""
        return self.offset * RECORDS_PER_ENTRY + self.index


def require(condition: object, reason: str) -> None:
    """Reject the record unless the condition holds.

    Raises
    ------
    InvalidRecord
        If the condition is false.
    """
    if not condition:
        raise InvalidRecord(reason)


def find_attempt(state: State, work: int, task: int, attempt: int) -> tuple[Work, Task]:
    """Return the work and the task of an attempt that is assigned to a worker.

    Raises
    ------
    InvalidRecord
        If there is no such attempt or it is not the task's current one.
    """
    found = state.works.get(work)
    require(found is not None, "unknown work")
    require(0 <= task < len(found.tasks), "unknown task")
    entry = found.tasks[task]
    require(entry.attempt == attempt and entry.is_assigned, "the attempt is not current")
    return found, entry


def set_task_state(state: State, work: Work, task: Task, value: TaskState) -> None:
    """Set a task's state and update the counts of queued and open tasks."""
    state.queued_tasks += (value == TaskState.QUEUED) - (task.state == TaskState.QUEUED)
    was_over = task.is_finished
    task.state = value
    work.open_tasks += was_over - task.is_finished


def assign_task(state: State, work: Work, number: int, worker: Worker) -> int:
    """Assign the next attempt of a task to a worker.

    Returns
    -------
    int
        The attempt's number.
    """
    task = work.tasks[number]
    task.attempt += 1
    task.worker = worker.name
    task.stopping = False
    set_task_state(state, work, task, TaskState.PLACED)
    size = work.spec.size
    worker.attempts[format_attempt_id(work.number, number, task.attempt)] = size
    worker.used = worker.used.plus(size)
    _add_usage(state, work.spec.team, size)
    return task.attempt


def _add_usage(state: State, team: str, size: Size) -> None:
    state.team_usage[team] = state.team_usage.get(team, ZERO_SIZE).plus(size)


def _subtract_usage(state: State, team: str, size: Size) -> None:
    left = state.team_usage[team].minus(size)
    if left == ZERO_SIZE:
        del state.team_usage[team]
    else:
        state.team_usage[team] = left


def close_attempt(context: Context, work: Work, number: int, outcome: Outcome) -> None:
    """Free the capacity of a task's attempt and emit `AttemptClosed`.

    The caller sets the task's next state.
    """
    state = context.state
    task = work.tasks[number]
    worker = state.workers[task.worker]
    size = worker.attempts.pop(format_attempt_id(work.number, number, task.attempt))
    worker.used = worker.used.minus(size)
    _subtract_usage(state, work.spec.team, size)
    context.effects.append(
        AttemptClosed(work.number, number, task.attempt, task.worker, outcome.value)
    )


def finish_work_if_done(context: Context, work: Work) -> None:
    """Emit `WorkFinished` once when all tasks of a work have ended."""
    if work.finished_ms == 0 and work.is_finished:
        work.finished_ms = context.state.now_ms
        context.effects.append(WorkFinished(work.number))
        _compact_finished(context.state, work)


def _compact_finished(state: State, work: Work) -> None:
    """Replace the tasks of the oldest finished works by counts of their states."""
    state.finished_works.append(work.number)
    state.finished_tasks += len(work.tasks)
    while state.finished_tasks > FINISHED_TASKS_KEPT and len(state.finished_works) > 1:
        oldest = state.works[state.finished_works.pop(0)]
        state.finished_tasks -= len(oldest.tasks)
        oldest.final_counts = oldest.counts
        oldest.tasks = []
        state.compacted_works.append(oldest.number)


def remove_expired_works(state: State) -> None:
    """Remove compacted works and their keys that ended more than `KEY_WINDOW_MS` ago."""
    horizon = state.now_ms - KEY_WINDOW_MS
    while state.compacted_works and state.works[state.compacted_works[0]].finished_ms < horizon:
        work = state.works.pop(state.compacted_works.pop(0))
        if state.work_keys.get(work.key) == work.number:
            del state.work_keys[work.key]

"""What the reducer's parts share: the context of a record, checks, and room accounting."""

import dataclasses

from ..declarations import ZERO, Size
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
"""Work numbers are ``offset * RECORDS_PER_ENTRY + index``, so they never repeat."""


FINISHED_TASKS_KEPT = 10_000
"""Tasks of ended works that are kept one by one."""

KEY_WINDOW_MS = 8 * 3600 * 1000
"""How long after a work's end its key, and the counts of its tasks, are kept.

At the target's 13,000 jobs a day these are some 4 MB; a whole day's would be 11 MB, which a
node does not have (``docs/CAPACITY.md``).
"""


class InvalidRecord(Exception):
    """A record does not fit the state at its offset and is void."""

    def __init__(self, reason: str) -> None:
        super().__init__(reason)
        self.reason = reason


@dataclasses.dataclass(slots=True)
class Context:
    """Where a record stands: the state, the effects so far, its batch and its place."""

    state: State
    effects: list[Effect]
    batch: Batch
    offset: int
    index: int

    @property
    def work_number(self) -> int:
        """A number that belongs to this record alone."""
        return self.offset * RECORDS_PER_ENTRY + self.index


def require(condition: object, reason: str) -> None:
    """Find the record void unless the condition holds."""
    if not condition:
        raise InvalidRecord(reason)


def find_attempt(state: State, work: int, task: int, attempt: int) -> tuple[Work, Task]:
    """Find an attempt that holds room; anything else makes the record void."""
    found = state.works.get(work)
    require(found is not None, "unknown work")
    require(0 <= task < len(found.tasks), "unknown task")
    entry = found.tasks[task]
    require(entry.attempt == attempt and entry.is_assigned, "the attempt is not current")
    return found, entry


def set_task_state(state: State, work: Work, task: Task, value: TaskState) -> None:
    """Change a task's state and keep the counts of queued and of open tasks."""
    state.queued_tasks += (value == TaskState.QUEUED) - (task.state == TaskState.QUEUED)
    was_over = task.is_finished
    task.state = value
    work.open_tasks += was_over - task.is_finished


def assign_task(state: State, work: Work, number: int, worker: Worker) -> int:
    """Give a task's next attempt room on a worker.

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
    state.team_usage[team] = state.team_usage.get(team, ZERO).plus(size)


def _subtract_usage(state: State, team: str, size: Size) -> None:
    left = state.team_usage[team].minus(size)
    if left == ZERO:
        del state.team_usage[team]
    else:
        state.team_usage[team] = left


def close_attempt(context: Context, work: Work, number: int, outcome: Outcome) -> None:
    """Free an attempt's room and tell of its end; the task's next state is the caller's."""
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
    """Tell of the work's end, once, when its last task has ended."""
    if work.finished_ms == 0 and work.is_finished:
        work.finished_ms = context.state.now_ms
        context.effects.append(WorkFinished(work.number))
        _compact_finished(context.state, work)


def _compact_finished(state: State, work: Work) -> None:
    """Keep the tasks of the newest ended works, and fold those of older ones into counts."""
    state.finished_works.append(work.number)
    state.finished_tasks += len(work.tasks)
    while state.finished_tasks > FINISHED_TASKS_KEPT and len(state.finished_works) > 1:
        oldest = state.works[state.finished_works.pop(0)]
        state.finished_tasks -= len(oldest.tasks)
        oldest.final_counts = oldest.counts
        oldest.tasks = []
        state.compacted_works.append(oldest.number)


def remove_expired_works(state: State) -> None:
    """Forget folded works, and their keys, once no caller asks again for the same work."""
    horizon = state.now_ms - KEY_WINDOW_MS
    while state.compacted_works and state.works[state.compacted_works[0]].finished_ms < horizon:
        work = state.works.pop(state.compacted_works.pop(0))
        if state.work_keys.get(work.key) == work.number:
            del state.work_keys[work.key]

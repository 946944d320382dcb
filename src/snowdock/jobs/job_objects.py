"""Creation and removal of the objects of jobs, within a limit on all of them together.

A job of a few bytes may expand to millions of tasks. A step and a task take memory, and time in
each event that looks at them, only from when they may start; until then they are numbers.

Each job may use an eighth of what is free, so that some is left for any further job (dynamic
thresholds, Choudhury and Hahne 1998). A quarter of all is reserved for the first objects of each
job, so that a small job starts beside any number of large ones that hold what they have.
"""

import math

from .cell import Cell
from .charges import forget_charges, forget_task_charges
from .job_state import Job, Phase, Step, Task, drop_done_tasks
from .model import TaskId

__all__ = [
    "CROWDED_STEP_COUNT",
    "MAX_CREATED_PER_EVENT",
    "add_tasks",
    "drop_spec",
    "has_place",
    "may_open_repetition",
    "open_repetition",
    "release_objects",
    "restore_task",
]

_JOB_SHARE = 8
"""Each job may use the free objects divided by this."""

_MAX_JOB_SHARE = 16
"""Each job may use the limit divided by this: all of its tasks are looked at when one changes."""

_RESERVED_SHARE = 4
_RESERVED_OBJECTS_PER_JOB = 128
"""The limit divided by this is reserved for the first so many objects of each job."""

MAX_CREATED_PER_EVENT = 2_000
"""Number of steps and tasks after which one event creates no more: some milliseconds."""

_MAX_WAITING_TASKS = 256
_MAX_WAITING_TASKS_IN_CROWD = 32
"""Maximum number of a large job's tasks that wait in memory for each step, and while many steps
wait. Each search looks at all of them."""

CROWDED_STEP_COUNT = 50
_MAX_WAITING_STEPS = ((CROWDED_STEP_COUNT, 32), (1_000, 6), (math.inf, 1))
"""While fewer steps than the first number wait, the maximum number of waiting steps of one job.
Each of them takes time in each placement pass, and delays the searches for the others."""


def _free_objects(cell: Cell) -> int:
    """Return how many more steps and tasks may be held; may be negative after a takeover."""
    return cell.settings.max_job_objects - cell.object_count


def _allowance(cell: Cell, job: Job) -> int:
    """Return how many more objects a job may create."""
    max_objects = cell.settings.max_job_objects
    free = _free_objects(cell)
    unreserved = free - max_objects // _RESERVED_SHARE
    share = min(unreserved // _JOB_SHARE, max_objects // _MAX_JOB_SHARE)
    first = min(free // _JOB_SHARE, _RESERVED_OBJECTS_PER_JOB)
    return max(share, first) - job.object_count


# -- waiting steps -------------------------------------------------------------------------


def has_place(cell: Cell, job: Job) -> bool:
    """Check whether a further step of a job may be among the waiting steps."""
    return job.waiting_steps < next(
        places for limit, places in _MAX_WAITING_STEPS if len(cell.waiting_steps) < limit
    )


# -- repetitions ---------------------------------------------------------------------------


def may_open_repetition(cell: Cell, job: Job) -> bool:
    """Check whether a job may get a further repetition."""
    step_count = len(job.accepted.spec.steps)
    if all(step.is_done for step in job.all_steps()):
        return _free_objects(cell) // _JOB_SHARE >= step_count
    return has_place(cell, job) and _allowance(cell, job) >= step_count


def open_repetition(cell: Cell, job: Job, repetition: int, wall_ms: float) -> list[Step]:
    """Create the steps of a repetition, without their tasks."""
    overdue_s = max(0.0, wall_ms - job.due_ms(repetition)) / 1000
    submitted_at = max(job.submitted_at, cell.now - overdue_s)
    steps = []
    first_position = 0
    for number, spec in enumerate(job.accepted.spec.steps):
        steps.append(Step(job, repetition, number, spec, submitted_at, first_position))
        first_position += spec.count
    job.repetitions[repetition] = steps
    _count(cell, job, len(steps))
    return steps


# -- tasks ---------------------------------------------------------------------------------


def add_tasks(cell: Cell, step: Step) -> int:
    """Create as many further tasks of a step as may be; return how many.

    A step of which some are left is kept in ``cell.partial_steps``.
    """
    if not step.uncreated_count:
        return 0
    count = _count_addable(cell, step)
    job = step.job
    for _ in range(count):
        index = step.next_uncreated_index()
        step.tasks.append(Task(TaskId(job.id, step.repetition, step.number, index), step))
        step.next_index = index + 1
    if step.is_restored and count:
        step.tasks.sort(key=lambda task: task.id.index)
    _count(cell, job, count)
    if step.uncreated_count:
        cell.partial_steps[step.key] = step
    else:
        cell.partial_steps.pop(step.key, None)
    return count


def _count_addable(cell: Cell, step: Step) -> int:
    wanted = step.uncreated_count
    allowed = _allowance(cell, step.job)
    if step.spec.gang:
        # Its tasks start together or not at all.
        return wanted if wanted <= max(allowed, _free_objects(cell) // 2) else 0
    if allowed < wanted and not step.job.has_many_tasks:
        # The tasks of larger jobs are dropped whenever their progress is recorded.
        allowed += _drop_done_tasks(cell, step.job)
    allowed = min(allowed, MAX_CREATED_PER_EVENT - cell.created_in_event)
    if allowed <= 0:
        return 0
    if not step.job.has_many_tasks:
        return min(wanted, allowed)
    waiting = sum(task.phase is Phase.WAITING for task in step.tasks)
    is_crowd = len(cell.waiting_steps) >= CROWDED_STEP_COUNT
    max_waiting = _MAX_WAITING_TASKS_IN_CROWD if is_crowd else _MAX_WAITING_TASKS
    return max(0, min(wanted, max_waiting - waiting, allowed))


def restore_task(cell: Cell, step: Step, index: int) -> Task | None:
    """Create a task that is on record, or return None if the step has none of this index.

    Tasks are restored in ascending order, before any other of the step is created.
    """
    if not 0 <= index < step.spec.count:
        return None
    task = Task(TaskId(step.job.id, step.repetition, step.number, index), step)
    step.tasks.append(task)
    _count(cell, step.job, 1)
    return task


# -- removal -------------------------------------------------------------------------------


def release_objects(cell: Cell, job: Job) -> None:
    """Remove all steps and tasks of a job that has ended and of which nothing runs."""
    for step in job.all_steps():
        cell.partial_steps.pop(step.key, None)
        cell.held_steps.pop(step.key, None)
    forget_charges(cell, job)
    job.repetitions.clear()
    _count(cell, job, -job.object_count)


def drop_spec(cell: Cell, job: Job) -> None:
    """Drop the specification of a job whose end is recorded."""
    cell.held_bytes -= job.held_bytes
    job.drop_spec()


def _drop_done_tasks(cell: Cell, job: Job) -> int:
    dropped = drop_done_tasks(job)
    for task in dropped:
        forget_task_charges(cell, task)
    cell.object_count -= len(dropped)
    return len(dropped)


def _count(cell: Cell, job: Job, change: int) -> None:
    job.object_count += change
    cell.object_count += change
    cell.created_in_event += max(0, change)

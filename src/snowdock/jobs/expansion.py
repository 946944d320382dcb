"""Creation of due repetitions, and of tasks that may start, as far as memory and time allow.

`job_objects` has the limits. What does not fit now is created in later timer events, in turns.
"""

import itertools

from .cell import Cell
from .events import PublishJobRoom
from .job_objects import (
    MAX_CREATED_PER_EVENT,
    add_tasks,
    may_open_repetition,
    open_repetition,
    release_objects,
)
from .job_state import Job, Step
from .runs import enqueue_ready_steps

__all__ = ["expand_job", "expand_waiting", "publish_job_room", "release_ended_jobs"]

_MAX_STEPS_PER_EVENT = 500
"""Number of steps with tasks left that one event looks at."""

_PLACE_SECONDS = 0.5
_ADVISED_PLACE_SECONDS = 2.0
"""How long a step waits among the waiting steps before it gives its place to another one of its
job; the longer time is for answers about workers."""

_MAX_ENDED_SHARE = 0.25
"""Share of the limit above which jobs that have ended give up their steps and tasks."""


def expand_job(cell: Cell, job: Job, wall_ms: float) -> None:
    """Create the repetitions of a job that are due; the others are kept for later."""
    while (number := job.find_next_repetition()) is not None:
        cell.unexpanded_jobs[job.id] = job
        if wall_ms < job.due_ms(number) or _has_created_enough(cell):
            return
        if not may_open_repetition(cell, job):
            return
        enqueue_ready_steps(cell, open_repetition(cell, job, number, wall_ms))
    cell.unexpanded_jobs.pop(job.id, None)


def expand_waiting(cell: Cell, wall_ms: float) -> None:
    """Create what steps and jobs have left, in turns: those that were looked at go last."""
    _replace_waiting_steps(cell)
    for key in list(itertools.islice(cell.held_steps, _MAX_STEPS_PER_EVENT)):
        if _has_created_enough(cell):
            return
        step = cell.held_steps[key]
        enqueue_ready_steps(cell, [step])
        if key in cell.held_steps:
            cell.held_steps[key] = cell.held_steps.pop(key)
    for key in list(itertools.islice(cell.partial_steps, _MAX_STEPS_PER_EVENT)):
        if _has_created_enough(cell):
            return
        step = cell.partial_steps.pop(key)
        cell.partial_steps[key] = step
        if add_tasks(cell, step):
            enqueue_ready_steps(cell, [step])
    for job in list(cell.unexpanded_jobs.values()):
        if _has_created_enough(cell):
            return
        before = cell.object_count
        expand_job(cell, job, wall_ms)
        if cell.object_count > before and job.id in cell.unexpanded_jobs:
            cell.unexpanded_jobs[job.id] = cell.unexpanded_jobs.pop(job.id)


def _replace_waiting_steps(cell: Cell) -> None:
    """Have steps that could not be placed give their places to other steps of their jobs."""
    holding = {step.job.id for step in cell.held_steps.values()}
    if not holding:
        return
    for key, step in list(cell.waiting_steps.items()):
        if key[0] in holding and _may_give_way(cell, step):
            cell.dequeue(step)
            cell.held_steps[key] = step


def _may_give_way(cell: Cell, step: Step) -> bool:
    waited_s = cell.now - max(step.place_since, step.placed_at)
    if step.advice is None:
        return waited_s >= _PLACE_SECONDS
    return waited_s >= _ADVISED_PLACE_SECONDS and not step.advice.pending


def _has_created_enough(cell: Cell) -> bool:
    return cell.created_in_event >= MAX_CREATED_PER_EVENT


def release_ended_jobs(cell: Cell) -> None:
    """Remove the steps and tasks of jobs that have ended, the longest ended first, to make room.

    While there is room they are kept, since a stray run of theirs then counts with its size.
    """
    max_objects = cell.settings.max_job_objects * _MAX_ENDED_SHARE
    while cell.object_count > max_objects and cell.recorded_ends:
        release_objects(cell, cell.recorded_ends.pop(next(iter(cell.recorded_ends))))


def publish_job_room(cell: Cell, now: float) -> None:
    """Publish how much of the room for open jobs is in use."""
    settings = cell.settings
    used = max(
        cell.object_count / settings.max_job_objects, cell.held_bytes / settings.max_job_bytes
    )
    room = cell.room_history.add(used, now)
    cell.emit(PublishJobRoom(room, cell.object_count, cell.held_bytes, len(cell.unexpanded_jobs)))

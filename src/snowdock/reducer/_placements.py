"""Handler of placement records, which checks capacity and quota at the record's offset."""

from ..declarations import ZERO
from ..effects import Accepted, AttemptAssigned, Verdict
from ..records import TasksPlaced
from ..state import State, VmState, Work
from ._common import Context, assign_task, require

__all__ = ["HANDLERS"]


def _apply_tasks_placed(context: Context, record: TasksPlaced) -> Verdict:
    state = context.state
    work = state.works.get(record.work)
    require(work is not None and not work.cancelled, "the work is unknown or cancelled")
    _check_tasks(work, record)
    _check_capacity(state, work, record)
    _check_quota(state, work, len(record.placements))
    for placement in record.placements:
        worker = state.workers[placement.worker]
        attempt = assign_task(state, work, placement.task, worker)
        context.effects.append(
            AttemptAssigned(work.number, placement.task, attempt, placement.worker)
        )
    return Accepted()


def _check_tasks(work: Work, record: TasksPlaced) -> None:
    queued = set(work.queued)
    numbers = [placement.task for placement in record.placements]
    require(numbers, "the record places no tasks")
    require(len(set(numbers)) == len(numbers), "a task is placed twice")
    require(queued.issuperset(numbers), "a task is not queued")
    if work.spec.kind == "gang":
        require(len(numbers) == len(queued), "a gang must be placed as a whole")
        require(not any(task.is_assigned for task in work.tasks), "the gang has assigned tasks")


def _check_capacity(state: State, work: Work, record: TasksPlaced) -> None:
    free = {}
    for placement in record.placements:
        worker = state.workers.get(placement.worker)
        require(worker is not None and worker.state == VmState.LIVE, "the worker is not live")
        left = free.get(placement.worker, worker.free)
        require(left.holds(work.spec.size), f"not enough capacity on {placement.worker}")
        free[placement.worker] = left.minus(work.spec.size)


def _check_quota(state: State, work: Work, count: int) -> None:
    team = state.configuration.declarations.teams.get(work.spec.team)
    require(team is not None, "the team is no longer declared")
    wanted = state.team_usage.get(work.spec.team, ZERO)
    for _ in range(count):
        wanted = wanted.plus(work.spec.size)
    require(team.quota.holds(wanted), "the team's quota is exceeded")


HANDLERS = {TasksPlaced: _apply_tasks_placed}

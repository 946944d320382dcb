"""Placement of the queued tasks of one work."""

import dataclasses

from ..declarations import ZERO, Size, WorkSpec
from ..policies import PolicyBook
from ..records import Placement, TasksPlaced
from ..state import State, Work
from .room import RoomIndex

__all__ = ["Crowd", "Waiting", "describe", "fits_nowhere", "place"]

_FRACTION_STEPS = 20
"""Free fractions are rounded to this many steps to raise the hit rate of the score cache."""

BATCH_TASKS = 256
"""Maximum number of tasks placed by one record; a gang is never split."""


@dataclasses.dataclass(frozen=True, slots=True)
class Waiting:
    """The reason why a work cannot be placed now.

    ``needs_capacity`` is true if preempting other work would help.
    """

    reason: str
    needs_room: bool = False


@dataclasses.dataclass(slots=True)
class Crowd:
    """Number of assigned tasks of one work by VM, rack and data hall."""

    vms: dict[str, int] = dataclasses.field(default_factory=dict)
    racks: dict[str, int] = dataclasses.field(default_factory=dict)
    halls: dict[str, int] = dataclasses.field(default_factory=dict)

    def add(self, worker) -> None:
        """Count a task assigned to a worker."""
        for counts, key in (
            (self.vms, worker.name),
            (self.racks, worker.rack),
            (self.halls, worker.hall),
        ):
            counts[key] = counts.get(key, 0) + 1


def describe(spec: WorkSpec, waited_ms: int) -> dict[str, object]:
    """Return the properties of a work that a policy program receives."""
    return {
        "kind": spec.kind,
        "name": spec.name,
        "team": spec.team,
        "tasks": spec.tasks,
        "cpu": spec.size.cpu / 1000,
        "memory_gb": spec.size.memory / 1024,
        "accelerators": spec.size.accelerators,
        "run_seconds": spec.run_ms / 1000,
        "priority": spec.priority,
        "urgent": spec.urgent,
        "waited_seconds": waited_ms / 1000,
        # Declared work has no latency target, and teams have no weights.
        "slack_seconds": 0.0,
        "overdue": 0.0,
        "share_used": 0.0,
    }


def fits_nowhere(index: RoomIndex, size: Size) -> bool:
    """Return whether the size exceeds the total capacity of every worker."""
    return not any(worker.capacity.holds(size) for worker in index.workers.values())


def _affordable(state: State, work: Work, reserved: Size, wanted: int) -> int:
    """Return how many of the wanted tasks fit the rest of the team's quota."""
    team = state.configuration.declarations.teams.get(work.spec.team)
    if team is None:
        return 0
    left = team.quota.minus(state.usage.get(work.spec.team, ZERO)).minus(reserved)
    size = work.spec.size
    counts = [wanted]
    for have, need in (
        (left.cpu, size.cpu),
        (left.memory, size.memory),
        (left.accelerators, size.accelerators),
    ):
        if need:
            counts.append(have // need)
    return max(0, min(counts))


def place(
    work: Work, state: State, index: RoomIndex, policies: PolicyBook, reserved: Size
) -> TasksPlaced | Waiting:
    """Choose workers for the queued tasks of a work.

    Parameters
    ----------
    work
        The work.
    state
        The shared state, for the team's quota and usage.
    index
        The free capacity of workers. Capacity for the chosen tasks is reserved in it; the
        caller releases it.
    policies
        The policy programs in force.
    reserved
        The size of the team's placements that this node has proposed and that are not yet
        decided.

    Returns
    -------
    TasksPlaced or Unplaced
        The record to propose, or the reason why there is none.
    """
    queued = work.queued
    spec = work.spec
    if spec.kind == "gang" and any(task.holds_room for task in work.tasks):
        return Waiting("the rest of the gang is being stopped")
    wanted = len(queued) if spec.kind == "gang" else min(len(queued), BATCH_TASKS)
    count = _affordable(state, work, reserved, wanted)
    if count == 0 or (spec.kind == "gang" and count < wanted):
        return Waiting(f"team {spec.team} is at its quota")
    chosen = _choose(work, count, index, policies)
    if not chosen or (spec.kind == "gang" and len(chosen) < wanted):
        for name in chosen:
            index.release(name, spec.size)
        return _explain(index, spec)
    return TasksPlaced(
        work.number,
        [Placement(task, name) for task, name in zip(queued, chosen, strict=False)],
    )


def _explain(index: RoomIndex, spec: WorkSpec) -> Waiting:
    if fits_nowhere(index, spec.size):
        return Waiting("no worker could ever hold one task")
    if spec.kind == "gang":
        return Waiting(f"no room for all {spec.tasks} tasks at once", needs_room=True)
    return Waiting("no room now", needs_room=True)


def _choose(work: Work, count: int, index: RoomIndex, policies: PolicyBook) -> list[str]:
    crowd = Crowd()
    for task in work.tasks:
        if task.holds_room:
            crowd.add(index.workers[task.worker])
    described = describe(work.spec, 0)
    chosen: list[str] = []
    for _ in range(count):
        name = _best(work.spec, described, crowd, index, policies)
        if name is None:
            break
        index.reserve(name, work.spec.size)
        crowd.add(index.workers[name])
        chosen.append(name)
    return chosen


def _best(
    spec: WorkSpec, described: dict, crowd: Crowd, index: RoomIndex, policies: PolicyBook
) -> str | None:
    best, best_score = None, None
    for name in index.candidates(spec.size):
        score = policies.score(spec.kind, described, _show_vm(index, name, crowd))
        if score is not None and (best_score is None or score > best_score):
            best, best_score = name, score
    return best


def _show_vm(index: RoomIndex, name: str, crowd: Crowd) -> dict[str, object]:
    """Return the properties of a worker that a policy program receives.

    The free fraction is rounded so that similar workers share a cached score.
    """
    worker = index.workers[name]
    fraction = index.free(name).cpu / worker.capacity.cpu
    return {
        "free_fraction": round(fraction * _FRACTION_STEPS) / _FRACTION_STEPS,
        "failure_streak": worker.streak,
        "same_vm": crowd.vms.get(name, 0),
        "same_rack": crowd.racks.get(worker.rack, 0),
        "same_hall": crowd.halls.get(worker.hall, 0),
        "accelerators": worker.capacity.accelerators,
        # Declared work reports no progress, so the speed of its workers is unknown.
        "slowness": 1.0,
    }

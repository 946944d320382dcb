"""Placement of the queued tasks of one work."""

import dataclasses

from ..declarations import ZERO, Size, WorkSpec
from ..policies import PolicySet
from ..records import Placement, TasksPlaced
from ..state import State, Work
from .capacity_index import CapacityIndex

__all__ = ["PlacementCounts", "Unplaced", "describe_work", "fits_nowhere", "place_tasks"]

_FRACTION_STEPS = 20
"""Free fractions are rounded to this many steps to raise the hit rate of the score cache."""

MAX_TASKS_PER_RECORD = 256
"""Maximum number of tasks placed by one record; a gang is never split."""


@dataclasses.dataclass(frozen=True, slots=True)
class Unplaced:
    """The reason why a work cannot be placed now.

    ``needs_capacity`` is true if preempting other work would help.
    """

    reason: str
    needs_capacity: bool = False


@dataclasses.dataclass(slots=True)
class PlacementCounts:
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


def describe_work(spec: WorkSpec, waited_ms: int) -> dict[str, object]:
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


def fits_nowhere(index: CapacityIndex, size: Size) -> bool:
    """Return whether the size exceeds the total capacity of every worker."""
    return not any(worker.capacity.holds(size) for worker in index.workers.values())


def _count_within_quota(state: State, work: Work, reserved: Size, wanted: int) -> int:
    """Return how many of the wanted tasks fit the rest of the team's quota."""
    team = state.configuration.declarations.teams.get(work.spec.team)
    if team is None:
        return 0
    left = team.quota.minus(state.team_usage.get(work.spec.team, ZERO)).minus(reserved)
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


def place_tasks(
    work: Work, state: State, index: CapacityIndex, policies: PolicySet, reserved: Size
) -> TasksPlaced | Unplaced:
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
    if spec.kind == "gang" and any(task.is_assigned for task in work.tasks):
        return Unplaced("the rest of the gang is being stopped")
    wanted = len(queued) if spec.kind == "gang" else min(len(queued), MAX_TASKS_PER_RECORD)
    count = _count_within_quota(state, work, reserved, wanted)
    if count == 0 or (spec.kind == "gang" and count < wanted):
        return Unplaced(f"team {spec.team} is at its quota")
    chosen = _choose_workers(work, count, index, policies)
    if not chosen or (spec.kind == "gang" and len(chosen) < wanted):
        for name in chosen:
            index.release(name, spec.size)
        return _build_unplaced(index, spec)
    return TasksPlaced(
        work.number,
        [Placement(task, name) for task, name in zip(queued, chosen, strict=False)],
    )


def _build_unplaced(index: CapacityIndex, spec: WorkSpec) -> Unplaced:
    if fits_nowhere(index, spec.size):
        return Unplaced("no worker could ever hold one task")
    if spec.kind == "gang":
        return Unplaced(f"no room for all {spec.tasks} tasks at once", needs_capacity=True)
    return Unplaced("no room now", needs_capacity=True)


def _choose_workers(work: Work, count: int, index: CapacityIndex, policies: PolicySet) -> list[str]:
    counts = PlacementCounts()
    for task in work.tasks:
        if task.is_assigned:
            counts.add(index.workers[task.worker])
    work_view = describe_work(work.spec, 0)
    chosen: list[str] = []
    for _ in range(count):
        name = _find_best_worker(work.spec, work_view, counts, index, policies)
        if name is None:
            break
        index.reserve(name, work.spec.size)
        counts.add(index.workers[name])
        chosen.append(name)
    return chosen


def _find_best_worker(
    spec: WorkSpec,
    work_view: dict,
    counts: PlacementCounts,
    index: CapacityIndex,
    policies: PolicySet,
) -> str | None:
    best, best_score = None, None
    for name in index.candidates(spec.size):
        score = policies.score(spec.kind, work_view, _describe_worker(index, name, counts))
        if score is not None and (best_score is None or score > best_score):
            best, best_score = name, score
    return best


def _describe_worker(index: CapacityIndex, name: str, counts: PlacementCounts) -> dict[str, object]:
    """Return the properties of a worker that a policy program receives.

    The free fraction is rounded so that similar workers share a cached score.
    """
    worker = index.workers[name]
    fraction = index.free(name).cpu / worker.capacity.cpu
    return {
        "free_fraction": round(fraction * _FRACTION_STEPS) / _FRACTION_STEPS,
        "failure_streak": worker.failure_streak,
        "same_vm": counts.vms.get(name, 0),
        "same_rack": counts.racks.get(worker.rack, 0),
        "same_hall": counts.halls.get(worker.hall, 0),
        "accelerators": worker.capacity.accelerators,
        # Declared work reports no progress, so the speed of its workers is unknown.
        "slowness": 1.0,
    }

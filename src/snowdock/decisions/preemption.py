"""Preemption of running work in favour of queued work."""

import dataclasses
import random
from collections.abc import Iterator

from ..declarations import ZERO, Size
from ..policies import PolicySet
from ..records import StopRequested
from ..state import State, VmState, Work, Worker, parse_attempt_id
from .placements import describe_work

__all__ = ["choose_preemptions"]

_MIN_SAMPLED_WORKERS = 24
"""Minimum number of workers sampled for one decision, if that many are live."""


@dataclasses.dataclass(slots=True)
class _PreemptionPlan:
    """The attempts to end on one worker so that a task fits, and the size they free."""

    stops: list[StopRequested] = dataclasses.field(default_factory=list)
    freed: Size = ZERO


def choose_preemptions(
    work: Work, state: State, policies: PolicySet, rng: random.Random
) -> list[StopRequested]:
    """Choose running attempts to end so that the queued tasks of a work can be placed.

    Parameters
    ----------
    work
        The work that could not be placed.
    state
        The shared state.
    policies
        The policy programs, which decide for each victim whether and how it ends.
    rng
        Source of randomness for sampling workers.

    Returns
    -------
    list of StopRequested
        The plans that end the fewest attempts. Empty if the policy allows none, or if not
        all tasks of a gang would fit. Non-preemptible work is never included.
    """
    live = [w for w in state.workers.values() if w.state == VmState.LIVE]
    live = [w for w in live if w.capacity.holds(work.spec.size)]
    wanted = len(work.queued)
    sampled = rng.sample(live, min(len(live), max(_MIN_SAMPLED_WORKERS, 2 * wanted)))
    plans = [_plan_worker(work, worker, state, policies) for worker in sampled]
    found = sorted((plan for plan in plans if plan is not None), key=lambda p: len(p.stops))
    chosen = found[:wanted]
    if work.spec.kind == "gang" and len(chosen) < wanted:
        return []
    return [stop for plan in chosen for stop in plan.stops]


def _plan_worker(
    work: Work, worker: Worker, state: State, policies: PolicySet
) -> _PreemptionPlan | None:
    """Plan the preemptions on one worker, or return None if they would not free enough."""
    plan = _PreemptionPlan()
    missing = work.spec.size.minus(worker.free)
    work_view = describe_work(work.spec, 0)
    stopping = _stopping_size(worker, state)
    if stopping.holds(missing):
        # Attempts that are already stopping will free enough.
        return None
    for number, task, attempt, victim in _find_victims(worker, state):
        if plan.freed.plus(stopping).holds(missing):
            break
        how = policies.call(work.spec.kind, "preempt", work_view, describe_work(victim.spec, 0))
        if how:
            plan.stops.append(StopRequested(number, task, attempt, how))
            plan.freed = plan.freed.plus(victim.spec.size)
    return plan if plan.stops and plan.freed.plus(stopping).holds(missing) else None


def _stopping_size(worker: Worker, state: State) -> Size:
    total = ZERO
    for name, size in worker.attempts.items():
        number, task, _ = parse_attempt_id(name)
        if state.works[number].tasks[task].stopping:
            total = total.plus(size)
    return total


def _find_victims(worker: Worker, state: State) -> Iterator[tuple[int, int, int, Work]]:
    """Return the preemptible attempts on a worker, lowest priority first."""
    found = []
    for name in worker.attempts:
        number, task, attempt = parse_attempt_id(name)
        victim = state.works[number]
        if victim.spec.preemptible and not victim.tasks[task].stopping:
            found.append((number, task, attempt, victim))
    return iter(sorted(found, key=lambda entry: entry[3].spec.priority))

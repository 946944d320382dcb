"""Scheduling decisions about jobs that are made by policy programs."""

import math
from collections.abc import Callable

from ..declarations import Declarations
from ..declarations import Policy as PolicyChoice
from ..policies import PolicyFailure, PolicySet
from .cell import Cell, SchedulingPolicy
from .job_state import Step
from .shares import share_used
from .workers import Worker

__all__ = ["make_policy"]

_PROGRAM = "deadline_first.star"
_HIGHEST_PRIORITY = 100
_PRIORITY_STEP = 10
"""Queue priority 0 is passed to programs as 100, 1 as 90 and so on: in programs, higher numbers
have a higher priority."""

_FREE_FRACTION_STEPS = 20
"""Free fractions are rounded to multiples of 1/20, so that scores can be cached."""

_SLOWNESS_STEPS = 5
"""Slowness is rounded to multiples of 1/5, so that scores can be cached."""


def make_policy(
    on_failure: Callable[[PolicyFailure], None], current_cell: Callable[[], Cell]
) -> SchedulingPolicy:
    """Create the scheduling policy of a leader from the shipped programs.

    Parameters
    ----------
    on_failure
        Called for each failure of a program.
    current_cell
        Returns the state of the leader.
    """
    choice = PolicyChoice(_PROGRAM)
    policies = PolicySet(on_failure)
    policies.replace(Declarations(policies={"batch": choice, "gang": choice}))

    def rank(step: Step, now: float) -> float:
        return policies.call(_policy_kind(step), "rank", _describe_step(current_cell(), step, now))

    def score(step: Step, worker: Worker, step_runs: int) -> float | None:
        if step.policy_view is None:
            step.policy_view = _describe_step_coarsely(current_cell(), step)
        return policies.score(
            step.policy_view["kind"], step.policy_view, _describe_worker(worker, step_runs)
        )

    def backoff_seconds(step: Step, failures: int) -> float:
        work = _describe_step(current_cell(), step, step.submitted_at)
        return policies.call(_policy_kind(step), "backoff_seconds", work, failures)

    def may_preempt(step: Step, other: Step, now: float) -> bool:
        work = _describe_step(current_cell(), step, now)
        victim = _describe_step(current_cell(), other, now)
        return bool(policies.call(_policy_kind(step), "preempt", work, victim))

    return SchedulingPolicy(rank, score, backoff_seconds, may_preempt)


def _policy_kind(step: Step) -> str:
    if step.spec.long_running:
        return "service"
    return "gang" if step.spec.gang else "batch"


def _describe_step(cell: Cell, step: Step, now: float) -> dict[str, object]:
    spec = step.spec
    queue = cell.queue_of(step.job)
    waited = now - step.submitted_at
    objective = max(0.001, cell.objective_seconds(step.job))
    return {
        "kind": _policy_kind(step),
        "name": f"{queue.name}/{step.number}",
        "team": step.job.team,
        "share_used": round(share_used(cell, step.job.team), 2),
        "tasks": spec.count,
        "cpu": spec.size.cpu / 1000,
        "memory_gb": spec.size.memory / 1024,
        "accelerators": spec.size.accelerators,
        "run_seconds": spec.estimate_ms / 1000,
        "priority": _HIGHEST_PRIORITY - _PRIORITY_STEP * queue.priority,
        "urgent": False,
        "waited_seconds": waited,
        "slack_seconds": objective - waited - step.job.critical_paths_ms[step.number] / 1000,
        "overdue": waited / objective,
    }


def _describe_step_coarsely(cell: Cell, step: Step) -> dict[str, object]:
    """Describe a step for scoring, such that similar steps share their cached scores.

    Sizes and times are rounded up to powers of two and are part of the name.
    """
    work = _describe_step(cell, step, step.submitted_at)
    for field in ("tasks", "cpu", "memory_gb", "run_seconds"):
        work[field] = _next_power_of_two(work[field])
    work["slack_seconds"] = work["overdue"] = work["share_used"] = 0.0
    work["team"] = ""
    sizes = "/".join(str(work[field]) for field in ("tasks", "cpu", "memory_gb", "run_seconds"))
    work["name"] = f"{cell.queue_of(step.job).name}/{sizes}"
    return work


def _next_power_of_two(number: float) -> float:
    return 2.0 ** math.ceil(math.log2(number)) if number > 0 else 0.0


def _describe_worker(worker: Worker, step_runs: int) -> dict[str, object]:
    """Describe a worker for scoring, such that similar workers share their cached scores."""
    capacity = worker.entry.capacity.cpu or 1
    fraction = worker.free.cpu / capacity
    return {
        "free_fraction": round(fraction * _FREE_FRACTION_STEPS) / _FREE_FRACTION_STEPS,
        "failure_streak": worker.failure_streak,
        "same_vm": step_runs,
        "same_rack": step_runs,
        "same_hall": step_runs,
        "accelerators": worker.entry.capacity.accelerators,
        "slowness": round(worker.slowness * _SLOWNESS_STEPS) / _SLOWNESS_STEPS,
    }

"""The decisions that policy programs make about jobs."""

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
"""A queue's priority 0 is shown to programs as 100, 1 as 90 and so on: there the highest
number goes first."""

_FREE_FRACTION_STEPS = 20
"""Free fractions are rounded to this many steps, so that scores can be remembered."""

_SLOWNESS_STEPS = 5
"""Slowness is rounded to a fifth, for the same reason."""


def make_policy(
    alarm: Callable[[PolicyFailure], None], current_cell: Callable[[], Cell]
) -> SchedulingPolicy:
    """Make the decisions of a leader from the shipped programs.

    Parameters
    ----------
    alarm
        Told of each failure of a program.
    cell_of
        Gives the leader's state, for the terms of queues.
    """
    choice = PolicyChoice(_PROGRAM)
    book = PolicySet(alarm)
    book.replace(Declarations(policies={"batch": choice, "gang": choice}))

    def rank(step: Step, now: float) -> float:
        return book.call(_policy_kind(step), "rank", _describe_step(current_cell(), step, now))

    def score(step: Step, worker: Worker, step_runs: int) -> float | None:
        if step.policy_view is None:
            step.policy_view = _describe_step_coarsely(current_cell(), step)
        return book.score(
            step.policy_view["kind"], step.policy_view, _describe_worker(worker, step_runs)
        )

    def backoff_seconds(step: Step, failures: int) -> float:
        work = _describe_step(current_cell(), step, step.job.submitted_at)
        return book.call(_policy_kind(step), "backoff_seconds", work, failures)

    def yields(step: Step, other: Step, now: float) -> bool:
        work = _describe_step(current_cell(), step, now)
        victim = _describe_step(current_cell(), other, now)
        return bool(book.call(_policy_kind(step), "preempt", work, victim))

    return SchedulingPolicy(rank, score, backoff_seconds, yields)


def _policy_kind(step: Step) -> str:
    if step.spec.long_running:
        return "service"
    return "gang" if step.spec.gang else "batch"


def _describe_step(cell: Cell, step: Step, now: float) -> dict[str, object]:
    spec = step.spec
    queue = cell.queue_of(step.job)
    waited = now - step.job.submitted_at
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
    """Describe a step for scores: alike steps look equal, so that their scores are shared.

    Sizes and times are rounded up to powers of two, and the name tells them all.
    """
    work = _describe_step(cell, step, step.job.submitted_at)
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
    """Show a worker to a program, coarsely, so that equal ones look equal."""
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

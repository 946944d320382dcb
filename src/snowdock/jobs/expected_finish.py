"""Choice of workers by expected finish, in pools with lasting differences of speed.

Steps with slack fill slow workers; gangs, which run at the pace of their slowest member, and steps
with little slack go to fast ones, and wait for these if that lets them end earlier, or in time.
"""

import math
from collections.abc import Iterable

from .candidates import Candidate
from .cell import Cell
from .job_state import Step
from .machine_speeds import is_slow
from .reservations import find_earliest_slots, last_end
from .speeds import has_tail, typical_seconds
from .worker_pools import WorkerPool
from .workers import Worker

__all__ = ["order_by_speed", "prefer_by_finish", "withhold_slow_workers"]

_SLACK_SHARE = 0.15
"""Share of a job's objective that a step on a slow worker must leave: its run may take longer. With
a share of 0.5, gangs find fewer fast workers free, and three times as much work is thrown away."""

_MIN_SLACK_S = 2.0
"""Slack, in seconds, that a step must leave however short its objective is: under overload,
placement and the report of a result take about as long. Without it, short jobs went to slow
workers, and 30 % more of them were late."""

_LIKELY = 0.5
"""Chance that a step has a run in the tail of its queue from which it is expected to have one."""

_SLOWNESS_PREFERENCE = 2.0
"""Score for each unit of slowness: `deadline_first.star` subtracts one, and the rest outweighs its
preference for full workers."""


def _latest_end(cell: Cell, step: Step) -> float:
    """Return when a step has to end for its job to be in time, in steady seconds."""
    job = step.job
    later_s = (job.critical_paths_ms[step.number] - step.spec.estimate_ms) / 1000
    return job.submitted_at + cell.objective_seconds(job) - later_s


def _longest_seconds(cell: Cell, step: Step) -> float:
    """Return how long the longest run of a step probably takes on a machine of normal speed."""
    seconds = typical_seconds(step)
    if has_tail(cell, step):
        times = cell.queue_times[step.job.queue]
        if 1 - (1 - times.tail_share) ** step.spec.count >= _LIKELY:
            seconds *= math.exp(times.mean_log_tail)
    return seconds


def has_slack(cell: Cell, step: Step, now: float) -> bool:
    """Check whether a step ends in time on a slow worker, too."""
    if step.spec.gang or step.spec.long_running:
        return False
    slack_s = max(_MIN_SLACK_S, _SLACK_SHARE * cell.objective_seconds(step.job))
    end = now + _longest_seconds(cell, step) * math.exp(cell.slow_log_slowness)
    return end + slack_s <= _latest_end(cell, step)


def prefer_by_finish(
    cell: Cell, step: Step, candidates: list[Candidate], now: float
) -> list[Candidate]:
    """Raise the scores of slow workers for a step with slack."""
    if cell.is_uneven and candidates and has_slack(cell, step, now):
        for candidate in candidates:
            candidate.score += _SLOWNESS_PREFERENCE * candidate.worker.slowness
    return candidates


def order_by_speed(cell: Cell, step: Step, pool: WorkerPool, now: float) -> list[Worker]:
    """Return a pool's workers in the order in which a step prefers advice about them."""
    if not cell.is_uneven:
        return pool.by_free_cpu
    return pool.order_by_speed(cell, slow_first=has_slack(cell, step, now))


def withhold_slow_workers(
    cell: Cell,
    step: Step,
    candidates: list[Candidate],
    wanted: int,
    fit: Iterable[Worker],
    now: float,
) -> list[Candidate]:
    """Leave out slow workers if fast ones are expected to be free soon enough.

    Parameters
    ----------
    cell
        State of the leader.
    step
        The step.
    candidates
        Workers that can take tasks now.
    wanted
        Number of tasks to place.
    fit
        Workers that may run the step.
    now
        Current time on the steady clock, in seconds.
    """
    if not cell.is_uneven or not candidates or step.spec.long_running:
        return candidates
    fast = [each for each in candidates if not is_slow(cell, each.worker)]
    if len(fast) == len(candidates):
        return candidates
    free_slots = sum(each.count for each in fast)
    if free_slots >= wanted and step.spec.gang:
        return fast
    typical = typical_seconds(step)
    end_here = now + typical * max(each.worker.slowness for each in candidates)
    if step.spec.gang:
        # A gang doesn't wait for longer than it could gain.
        gain_s = typical * (math.exp(cell.slow_log_slowness) - math.exp(cell.fast_log_slowness))
        if step.waited_seconds(now) > gain_s:
            return candidates
        latest_end = end_here
        missing = wanted
    else:
        latest_end = _latest_end(cell, step)
        missing = wanted - free_slots
        if end_here <= latest_end or missing <= 0:
            return candidates
    fast_fit = [worker for worker in fit if not is_slow(cell, worker)]
    slots = find_earliest_slots(cell, step, fast_fit, missing, now)
    if len(slots) < missing:
        return candidates
    return fast if last_end(step, slots) < latest_end else candidates

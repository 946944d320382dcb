"""Attribution of failed runs to either the worker or the step.

Some jobs fail on every worker, and some workers fail every run. From one worker's point of view
both look the same: a series of failed runs. Each step that failed on a worker is therefore weighted
by the probability of its failures on a sound worker: close to 1 if the step fails everywhere, and
the usual failure rate of a run otherwise. The probability that a step fails everywhere is estimated
from the recent share of such steps and from its results on other workers. The weight is the
negative logarithm of the failures' probability. A worker's failure score is the sum of the weights
of all steps that failed on it since the last success. Above `_QUARANTINE_SCORE` the worker is
quarantined, and afterwards it is on probation and accepts one run at a time. Later results of a
step change its weight on all workers.

This state is not recorded: a new leader starts with empty scores.
"""

import math

from .cell import Cell
from .job_state import Step
from .quarantine import count_quarantined, quarantine, release_worker
from .workers import QuarantineCause, StepFailures, Worker

__all__ = [
    "begin_probation_run",
    "has_probation_run",
    "is_doubtful",
    "is_on_probation",
    "record_failed_run",
    "record_success",
]

_RUN_FAILURE_PROBABILITY = 0.05
"""Probability that a run of a sound step fails on a sound worker."""

_OTHER_WORKER_FAILURE_PROBABILITY = 0.15
"""Probability that a sound step fails on another worker, which may itself be faulty."""

_SUCCESS_FACTOR = 0.1
"""Factor applied to the probability that a step fails everywhere, for each worker on which it
succeeded. Above 0, since only some tasks of the step may fail everywhere."""

_QUARANTINE_SCORE = 3.2
"""Failure score from which a worker is quarantined: two failed runs are enough where few steps
fail, and more are needed where many steps fail everywhere."""

_MIN_FAILING_SHARE = 0.03
"""Initial value and lower bound of the share of steps that fail everywhere."""

_FAILING_SHARE_GAIN = 0.05
"""Gain of the moving average of failing steps; it covers about the last 20 steps."""

_FAILING_STEP_MIN_WORKERS = 2
"""Workers on which a step must fail, without a success anywhere, to count as failing everywhere."""

_MAX_FAILED_STEPS = 32
"""Maximum number of failed steps kept per worker; beyond it the oldest is dropped."""

_MAX_QUARANTINED_SHARE = 0.5
"""Maximum share of a service's workers that may be in quarantine for failures at a time."""

_MIN_QUARANTINE_SECONDS = 2.0
_MAX_QUARANTINE_SECONDS = 8.0
"""Bounds of the quarantine time; it doubles each time until a run succeeds on the worker."""

_PROBATION_SECONDS = 2.0
"""How long a worker accepts one run at a time after its quarantine; its failure score stays. The
time is limited since a long run would otherwise keep the worker on probation."""

_SIGNIFICANT_WEIGHT = math.log(2)
"""Minimum weight at which a further failure renews the quarantine: failures that are likely on a
sound worker do not."""

_DOUBTFUL_SCORE = 1.0
"""Failure score from which a worker is avoided for last attempts."""


def record_failed_run(cell: Cell, worker: Worker, step: Step, now: float) -> None:
    """Record a failed run of a step on a worker, and quarantine the worker if needed."""
    failures = _add_failure(worker, step, now)
    if worker.life not in step.failed_on:
        step.failed_on.add(worker.life)
        _mark_failing_step(cell, worker, step)
        _reevaluate_others(cell, worker, step, now)
    _update_failure_score(cell, worker)
    if worker.quarantine_count and _failure_weight(cell, worker, failures) < _SIGNIFICANT_WEIGHT:
        return
    _quarantine_if_over_score(cell, worker, now)


def record_success(cell: Cell, worker: Worker, step: Step, began_at: float, now: float) -> None:
    """Record a successful run, and clear the worker of the failures before the run began.

    Failures after `began_at` are kept: the run does not show that the worker recovered from them.
    """
    for key, failures in list(worker.failures_by_step.items()):
        if failures.last_failed_at <= began_at:
            del worker.failures_by_step[key]
    _update_failure_score(cell, worker)
    if not worker.failures_by_step:
        _reset_quarantine(cell, worker, now)
    if worker.life in step.done_on:
        return
    if not step.done_on:
        _update_failing_share(cell, worker, fails_everywhere=False)
    step.done_on.add(worker.life)
    _reevaluate_others(cell, worker, step, now)


def _add_failure(worker: Worker, step: Step, now: float) -> StepFailures:
    failures = worker.failures_by_step.pop(step.key, None) or StepFailures(step)
    failures.run_count += 1
    failures.last_failed_at = now
    worker.failures_by_step[step.key] = failures
    if len(worker.failures_by_step) > _MAX_FAILED_STEPS:
        del worker.failures_by_step[next(iter(worker.failures_by_step))]
    return failures


def _mark_failing_step(cell: Cell, worker: Worker, step: Step) -> None:
    """Mark a step as failing everywhere, once, when it has failed on enough workers."""
    if (
        step.fails_everywhere
        or step.done_on
        or len(_other_failed_workers(cell, step)) < _FAILING_STEP_MIN_WORKERS
    ):
        return
    step.fails_everywhere = True
    _update_failing_share(cell, worker, fails_everywhere=True)


def _quarantine_if_over_score(cell: Cell, worker: Worker, now: float) -> None:
    if worker.failure_score < _QUARANTINE_SCORE or _is_quarantine_full(cell, worker, now):
        return
    seconds = min(_MIN_QUARANTINE_SECONDS * 2**worker.quarantine_count, _MAX_QUARANTINE_SECONDS)
    worker.quarantine_count += 1
    worker.probation_run = None
    worker.probation_until = now + seconds + _PROBATION_SECONDS
    quarantine(
        cell,
        worker,
        QuarantineCause.FAILURES,
        seconds,
        now,
        steps=len(worker.failures_by_step),
        doubt=worker.failure_score,
        bad_share=_failing_step_share(cell, worker),
    )


def _reset_quarantine(cell: Cell, worker: Worker, now: float) -> None:
    """End a worker's quarantine and probation, and reset the duration of the next quarantine."""
    worker.quarantine_count = 0
    worker.probation_until = 0.0
    worker.probation_run = None
    release_worker(cell, worker, QuarantineCause.FAILURES, now)


def _reevaluate_others(cell: Cell, worker: Worker, step: Step, now: float) -> None:
    """Update the other workers on which a step has failed, after its result on one worker."""
    # Sorted, because the order of a set differs between processes and would make runs of one seed
    # differ.
    for life in sorted(step.failed_on):
        other = cell.workers.get(life)
        if other is None or other is worker:
            continue
        is_cleared = _update_failure_score(cell, other) < _QUARANTINE_SCORE
        if is_cleared and other.is_quarantined_for_failures:
            _reset_quarantine(cell, other, now)
        elif not other.quarantine_count:
            _quarantine_if_over_score(cell, other, now)


def _other_failed_workers(cell: Cell, step: Step, worker: Worker | None = None) -> set[str]:
    """Return the other workers on which a step has failed, except those found to be faulty."""
    own = "" if worker is None else worker.life
    return {life for life in step.failed_on if life != own and not _is_faulty(cell, life)}


def _is_faulty(cell: Cell, life: str) -> bool:
    worker = cell.workers.get(life)
    return worker is not None and worker.is_quarantined_for_failures


def _update_failure_score(cell: Cell, worker: Worker) -> float:
    """Recompute and return a worker's failure score, which is cached for placement passes."""
    worker.failure_score = sum(
        _failure_weight(cell, worker, failures) for failures in worker.failures_by_step.values()
    )
    return worker.failure_score


def is_doubtful(worker: Worker) -> bool:
    """Check whether a worker is to be avoided for last attempts while it has other runs."""
    return worker.failure_score >= _DOUBTFUL_SCORE and bool(worker.runs)


def is_on_probation(worker: Worker, now: float) -> bool:
    """Check whether a worker is on probation after its quarantine: it takes one run at a time."""
    return worker.probation_until > now


def has_probation_run(worker: Worker, now: float) -> bool:
    """Check whether a worker on probation already has its one run."""
    return is_on_probation(worker, now) and worker.probation_run in worker.runs


def begin_probation_run(worker: Worker, run: tuple, now: float) -> None:
    """Record the run that a worker executes on probation, if it is on probation."""
    if is_on_probation(worker, now):
        worker.probation_run = run


def _failure_weight(cell: Cell, worker: Worker, failures: StepFailures) -> float:
    """Return the weight of a step's failures in the failure score of a worker."""
    step = failures.step
    failing_probability = _failing_step_share(cell, worker)
    sound_probability = (1 - failing_probability) * _OTHER_WORKER_FAILURE_PROBABILITY ** len(
        _other_failed_workers(cell, step, worker)
    )
    failing_probability *= _SUCCESS_FACTOR ** len(step.done_on - {worker.life})
    failing_probability /= failing_probability + sound_probability
    return -math.log(
        failing_probability
        + (1 - failing_probability) * _RUN_FAILURE_PROBABILITY**failures.run_count
    )


def _update_failing_share(cell: Cell, worker: Worker, fails_everywhere: bool) -> None:
    """Update the moving average of the share of steps that fail everywhere."""
    share = _failing_step_share(cell, worker)
    share += _FAILING_SHARE_GAIN * (fails_everywhere - share)
    cell.failing_step_share[worker.entry.service] = max(_MIN_FAILING_SHARE, share)


def _failing_step_share(cell: Cell, worker: Worker) -> float:
    return cell.failing_step_share.get(worker.entry.service, _MIN_FAILING_SHARE)


def _is_quarantine_full(cell: Cell, worker: Worker, now: float) -> bool:
    """Check whether a further quarantine would exceed the maximum share of the service."""
    quarantined, workers = count_quarantined(
        cell, worker.entry.service, QuarantineCause.FAILURES, now
    )
    return quarantined + 1 > _MAX_QUARANTINED_SHARE * workers

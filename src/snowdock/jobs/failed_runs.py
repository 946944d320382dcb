"""Whom a failed run speaks against: its worker, or the job that brought it.

The load this answers: jobs all of whose runs fail, wherever they run, beside workers that spoil
all they start. Seen from one worker both look alike, runs that fail in a row, so these are weighed
by how surprising they would be on a sound worker: a matter of course where the step is bad, and a
run's own fault else. Whether a step is bad is judged by how many are lately, and by how it fares on
other workers. The weight is the negative logarithm of that chance; a worker collects one for each
step that failed there since its last good end. Beyond `_LIMIT` it is set aside, and takes one run
at a time when it is back. What is learned of a step later changes its weight everywhere.

All of this is a leader's own: a successor begins without doubts.
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
"""The chance that a run of a good step fails on a sound worker: a few in a hundred do."""

_OTHER_WORKER_FAILURE_PROBABILITY = 0.15
"""The chance that a good step fails on another worker, which may be one that spoils its runs."""

_SUCCESS_FACTOR = 0.1
"""What is left of the chance that a step is bad with each worker on which it ended well; not
nothing, since single tasks of it may be bad."""

_QUARANTINE_SCORE = 3.2
"""Doubt beyond which a worker is set aside. On a calm day two runs of one step that fail, or one
each of two, suffice; where four in ten steps are bad it takes four of these."""

_MIN_FAILING_SHARE = 0.03
"""The share of bad steps before any is known, and the least that is reckoned with."""

_FAILING_SHARE_GAIN = 0.05
"""How fast the share of bad steps follows: the last twenty steps decide."""

_FAILING_STEP_MIN_WORKERS = 2
"""Workers on which a step has failed, and none on which it ended well, to count it as bad."""

_MAX_FAILED_STEPS = 32
"""The most steps that a worker is charged with: the oldest is dropped where nothing ends well."""

_MAX_QUARANTINED_SHARE = 0.5
"""The largest share of a service's workers that is set aside for failures at a time."""

_MIN_QUARANTINE_SECONDS = 2.0
_MAX_QUARANTINE_SECONDS = 8.0
"""Bounds of the time aside; it doubles each time until a run ends well there."""

_PROBATION_SECONDS = 2.0
"""How long a worker that is back takes one run at a time; then it is open to all, in doubt still.
Longer runs prove nothing sooner, and one that lasts would prove nothing ever."""

_SIGNIFICANT_WEIGHT = math.log(2)
"""A failure on trial that would be a matter of course on a sound worker ends no trial."""

_DOUBTFUL_SCORE = 1.0
"""Doubt from which a worker is no place for what may not fail again."""


def record_failed_run(cell: Cell, worker: Worker, step: Step, now: float) -> None:
    """Weigh a run of a step that failed on a worker."""
    failures = _add_failure(worker, step, now)
    if worker.life not in step.failed_on:
        step.failed_on.add(worker.life)
        _mark_failing_step(cell, worker, step)
        _reevaluate_others(cell, worker, step, now)
    _update_failure_score(cell, worker)
    if worker.quarantine_count and _failure_weight(cell, worker, failures) < _SIGNIFICANT_WEIGHT:
        return
    _quarantine_if_suspect(cell, worker, now)


def record_success(cell: Cell, worker: Worker, step: Step, began_at: float, now: float) -> None:
    """Clear a worker of what failed before a run began there that has ended well.

    That run speaks for the worker as it is now; one that began earlier does not.
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
        _update_failing_share(cell, worker, is_bad=False)
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
    """Count a step as bad, once, when it has failed on enough workers."""
    if (
        step.fails_everywhere
        or step.done_on
        or len(_other_failed_workers(cell, step)) < _FAILING_STEP_MIN_WORKERS
    ):
        return
    step.fails_everywhere = True
    _update_failing_share(cell, worker, is_bad=True)


def _quarantine_if_suspect(cell: Cell, worker: Worker, now: float) -> None:
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
    """End what follows from a worker's failures: its time aside, its trial, and their growth."""
    worker.quarantine_count = 0
    worker.probation_until = 0.0
    worker.probation_run = None
    release_worker(cell, worker, QuarantineCause.FAILURES, now)


def _reevaluate_others(cell: Cell, worker: Worker, step: Step, now: float) -> None:
    """Judge other workers where a step has failed by what it did on one."""
    # In one order: a set has another one in each process, and a seed would play other days.
    for life in sorted(step.failed_on):
        other = cell.workers.get(life)
        if other is None or other is worker:
            continue
        is_cleared = _update_failure_score(cell, other) < _QUARANTINE_SCORE
        if is_cleared and other.is_quarantined_for_failures:
            _reset_quarantine(cell, other, now)
        elif not other.quarantine_count:
            _quarantine_if_suspect(cell, other, now)


def _other_failed_workers(cell: Cell, step: Step, worker: Worker | None = None) -> set[str]:
    """Give the other workers where a step has failed, but for those thought to spoil runs."""
    own = "" if worker is None else worker.life
    return {life for life in step.failed_on if life != own and not _is_faulty(cell, life)}


def _is_faulty(cell: Cell, life: str) -> bool:
    worker = cell.workers.get(life)
    return worker is not None and worker.is_quarantined_for_failures


def _update_failure_score(cell: Cell, worker: Worker) -> float:
    """Reckon a worker's doubt anew and give it; passes look at it some thousand times a second."""
    worker.failure_score = sum(
        _failure_weight(cell, worker, charge) for charge in worker.failures_by_step.values()
    )
    return worker.failure_score


def is_doubtful(worker: Worker) -> bool:
    """Whether a worker is no place for what may not fail again, while another run proves it."""
    return worker.failure_score >= _DOUBTFUL_SCORE and bool(worker.runs)


def is_on_probation(worker: Worker, now: float) -> bool:
    """Whether a worker that was set aside takes one run at a time."""
    return worker.probation_until > now


def has_probation_run(worker: Worker, now: float) -> bool:
    """Whether a worker on trial has the one run that shows whether it still fails."""
    return is_on_probation(worker, now) and worker.probation_run in worker.runs


def begin_probation_run(worker: Worker, run: tuple, now: float) -> None:
    """Note what a worker is proved by, if it has to be."""
    if is_on_probation(worker, now):
        worker.probation_run = run


def _failure_weight(cell: Cell, worker: Worker, failures: StepFailures) -> float:
    """Give how much a step's failures on a worker speak against that worker."""
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


def _update_failing_share(cell: Cell, worker: Worker, is_bad: bool) -> None:
    """Learn from a step how usual bad ones are."""
    share = _failing_step_share(cell, worker)
    share += _FAILING_SHARE_GAIN * (is_bad - share)
    cell.failing_step_share[worker.entry.service] = max(_MIN_FAILING_SHARE, share)


def _failing_step_share(cell: Cell, worker: Worker) -> float:
    return cell.failing_step_share.get(worker.entry.service, _MIN_FAILING_SHARE)


def _is_quarantine_full(cell: Cell, worker: Worker, now: float) -> bool:
    """Whether as much of a service is set aside for failures as may be."""
    quarantined, workers = count_quarantined(
        cell, worker.entry.service, QuarantineCause.FAILURES, now
    )
    return quarantined + 1 > _MAX_QUARANTINED_SHARE * workers

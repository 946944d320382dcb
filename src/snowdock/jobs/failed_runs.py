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
from .parts import Step
from .set_aside import count_aside, set_aside, take_back
from .workers import AsideCause, Charge, Worker

__all__ = [
    "begin_trial",
    "is_being_proved",
    "is_doubtful",
    "is_on_trial",
    "note_failed_run",
    "note_good_end",
]

_OWN_FAULT = 0.05
"""Probability that a run of a sound step fails on a sound worker."""

_FAULT_ELSEWHERE = 0.15
"""Probability that a sound step fails on another worker, which may itself be faulty."""

_GOOD_ENDS_FACTOR = 0.1
"""Factor applied to the probability that a step fails everywhere, for each worker on which it
succeeded. Above 0, since only some tasks of the step may fail everywhere."""

_LIMIT = 3.2
"""Failure score from which a worker is quarantined. With few failing steps, two failed runs are
enough, of one step or of two; if 40 % of the steps fail everywhere, it takes four steps."""

_USUAL_BAD = 0.03
"""Initial value and lower bound of the share of steps that fail everywhere."""

_SHARE_GAIN = 0.05
"""Gain of the moving average of failing steps; it covers about the last 20 steps."""

_BAD_FROM = 2
"""Workers on which a step must fail, without a success anywhere, to count as failing everywhere."""

_MOST_CHARGES = 32
"""Maximum number of failed steps kept per worker; beyond it the oldest is dropped."""

_MOST_ASIDE = 0.5
"""Maximum share of a service's workers that may be in quarantine for failures at a time."""

_ASIDE_SECONDS = 2.0
_LONGEST_ASIDE_SECONDS = 8.0
"""Bounds of the quarantine time; it doubles each time until a run succeeds on the worker."""

_TRIAL_SECONDS = 2.0
"""How long a worker accepts one run at a time after its quarantine; its failure score stays. The
time is limited since a long run would otherwise keep the worker on probation."""

_TELLING_WEIGHT = math.log(2)
"""Minimum weight at which a further failure renews the quarantine: failures that are likely on a
sound worker do not."""

_DOUBTFUL = 1.0
"""Failure score from which a worker is avoided for last attempts."""


def note_failed_run(cell: Cell, worker: Worker, step: Step, now: float) -> None:
    """Record a failed run of a step on a worker, and quarantine the worker if needed."""
    charge = _charge(worker, step, now)
    if worker.life not in step.failed_on:
        step.failed_on.add(worker.life)
        _judge_step(cell, worker, step)
        _reconsider_others(cell, worker, step, now)
    _reckon(cell, worker)
    if worker.times_aside and _weight(cell, worker, charge) < _TELLING_WEIGHT:
        return
    _set_aside_if_doubted(cell, worker, now)


def note_good_end(cell: Cell, worker: Worker, step: Step, began_at: float, now: float) -> None:
    """Record a successful run, and clear the worker of the failures before the run began.

    Failures after `began_at` are kept: the run does not show that the worker recovered from them.
    """
    for key, charge in list(worker.charged.items()):
        if charge.at <= began_at:
            del worker.charged[key]
    _reckon(cell, worker)
    if not worker.charged:
        _acquit(cell, worker, now)
    if worker.life in step.done_on:
        return
    if not step.done_on:
        _note_share(cell, worker, is_bad=False)
    step.done_on.add(worker.life)
    _reconsider_others(cell, worker, step, now)


def _charge(worker: Worker, step: Step, now: float) -> Charge:
    charge = worker.charged.pop(step.key, None) or Charge(step)
    charge.runs += 1
    charge.at = now
    worker.charged[step.key] = charge
    if len(worker.charged) > _MOST_CHARGES:
        del worker.charged[next(iter(worker.charged))]
    return charge


def _judge_step(cell: Cell, worker: Worker, step: Step) -> None:
    """Mark a step as failing everywhere, once, when it has failed on enough workers."""
    if step.is_bad or step.done_on or len(_failed_elsewhere(cell, step)) < _BAD_FROM:
        return
    step.is_bad = True
    _note_share(cell, worker, is_bad=True)


def _set_aside_if_doubted(cell: Cell, worker: Worker, now: float) -> None:
    if worker.doubt < _LIMIT or _is_enough_aside(cell, worker, now):
        return
    seconds = min(_ASIDE_SECONDS * 2**worker.times_aside, _LONGEST_ASIDE_SECONDS)
    worker.times_aside += 1
    worker.trial = None
    worker.trial_until = now + seconds + _TRIAL_SECONDS
    set_aside(
        cell,
        worker,
        AsideCause.FAILURES,
        seconds,
        now,
        steps=len(worker.charged),
        doubt=worker.doubt,
        bad_share=_bad_share(cell, worker),
    )


def _acquit(cell: Cell, worker: Worker, now: float) -> None:
    """End a worker's quarantine and probation, and reset the duration of the next quarantine."""
    worker.times_aside = 0
    worker.trial_until = 0.0
    worker.trial = None
    take_back(cell, worker, AsideCause.FAILURES, now)


def _reconsider_others(cell: Cell, worker: Worker, step: Step, now: float) -> None:
    """Update the other workers on which a step has failed, after its result on one worker."""
    # Sorted, because the order of a set differs between processes and would make runs of one seed
    # differ.
    for life in sorted(step.failed_on):
        other = cell.workers.get(life)
        if other is None or other is worker:
            continue
        is_cleared = _reckon(cell, other) < _LIMIT
        if is_cleared and other.is_aside_for_failures:
            _acquit(cell, other, now)
        elif not other.times_aside:
            _set_aside_if_doubted(cell, other, now)


def _failed_elsewhere(cell: Cell, step: Step, worker: Worker | None = None) -> set[str]:
    """Return the other workers on which a step has failed, except those found to be faulty."""
    own = "" if worker is None else worker.life
    return {life for life in step.failed_on if life != own and not _spoils(cell, life)}


def _spoils(cell: Cell, life: str) -> bool:
    worker = cell.workers.get(life)
    return worker is not None and worker.is_aside_for_failures


def _reckon(cell: Cell, worker: Worker) -> float:
    """Recompute and return a worker's failure score, which is cached for placement passes."""
    worker.doubt = sum(_weight(cell, worker, charge) for charge in worker.charged.values())
    return worker.doubt


def is_doubtful(worker: Worker) -> bool:
    """Check whether a worker is to be avoided for last attempts while it has other runs."""
    return worker.doubt >= _DOUBTFUL and bool(worker.runs)


def is_on_trial(worker: Worker, now: float) -> bool:
    """Check whether a worker is on probation after its quarantine: it takes one run at a time."""
    return worker.trial_until > now


def is_being_proved(worker: Worker, now: float) -> bool:
    """Check whether a worker on probation already has its one run."""
    return is_on_trial(worker, now) and worker.trial in worker.runs


def begin_trial(worker: Worker, run: tuple, now: float) -> None:
    """Record the run that a worker executes on probation, if it is on probation."""
    if is_on_trial(worker, now):
        worker.trial = run


def _weight(cell: Cell, worker: Worker, charge: Charge) -> float:
    """Return the weight of a step's failures in the failure score of a worker."""
    step = charge.step
    bad = _bad_share(cell, worker)
    good = (1 - bad) * _FAULT_ELSEWHERE ** len(_failed_elsewhere(cell, step, worker))
    bad *= _GOOD_ENDS_FACTOR ** len(step.done_on - {worker.life})
    bad /= bad + good
    return -math.log(bad + (1 - bad) * _OWN_FAULT**charge.runs)


def _note_share(cell: Cell, worker: Worker, is_bad: bool) -> None:
    """Update the moving average of the share of steps that fail everywhere."""
    share = _bad_share(cell, worker)
    share += _SHARE_GAIN * (is_bad - share)
    cell.bad_share[worker.entry.service] = max(_USUAL_BAD, share)


def _bad_share(cell: Cell, worker: Worker) -> float:
    return cell.bad_share.get(worker.entry.service, _USUAL_BAD)


def _is_enough_aside(cell: Cell, worker: Worker, now: float) -> bool:
    """Check whether a further quarantine would exceed the maximum share of the service."""
    aside, workers = count_aside(cell, worker.entry.service, AsideCause.FAILURES, now)
    return aside + 1 > _MOST_ASIDE * workers

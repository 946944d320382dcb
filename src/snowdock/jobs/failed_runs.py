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
"""The chance that a run of a good step fails on a sound worker: a few in a hundred do."""

_FAULT_ELSEWHERE = 0.15
"""The chance that a good step fails on another worker, which may be one that spoils its runs."""

_GOOD_ENDS_FACTOR = 0.1
"""What is left of the chance that a step is bad with each worker on which it ended well; not
nothing, since single tasks of it may be bad."""

_LIMIT = 3.2
"""Doubt beyond which a worker is set aside. On a calm day two runs of one step that fail, or one
each of two, suffice; where four in ten steps are bad it takes four of these."""

_USUAL_BAD = 0.03
"""The share of bad steps before any is known, and the least that is reckoned with."""

_SHARE_GAIN = 0.05
"""How fast the share of bad steps follows: the last twenty steps decide."""

_BAD_FROM = 2
"""Workers on which a step has failed, and none on which it ended well, to count it as bad."""

_MOST_CHARGES = 32
"""The most steps that a worker is charged with: the oldest is dropped where nothing ends well."""

_MOST_ASIDE = 0.5
"""The largest share of a service's workers that is set aside for failures at a time."""

_ASIDE_SECONDS = 2.0
_LONGEST_ASIDE_SECONDS = 8.0
"""Bounds of the time aside; it doubles each time until a run ends well there."""

_TRIAL_SECONDS = 2.0
"""How long a worker that is back takes one run at a time; then it is open to all, in doubt still.
Longer runs prove nothing sooner, and one that lasts would prove nothing ever."""

_TELLING_WEIGHT = math.log(2)
"""A failure on trial that would be a matter of course on a sound worker ends no trial."""

_DOUBTFUL = 1.0
"""Doubt from which a worker is no place for what may not fail again."""


def note_failed_run(cell: Cell, worker: Worker, step: Step, now: float) -> None:
    """Weigh a run of a step that failed on a worker."""
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
    """Clear a worker of what failed before a run began there that has ended well.

    That run speaks for the worker as it is now; one that began earlier does not.
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
    """Count a step as bad, once, when it has failed on enough workers."""
    if step.fails_everywhere or step.done_on or len(_failed_elsewhere(cell, step)) < _BAD_FROM:
        return
    step.fails_everywhere = True
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
    """End what follows from a worker's failures: its time aside, its trial, and their growth."""
    worker.times_aside = 0
    worker.trial_until = 0.0
    worker.trial = None
    take_back(cell, worker, AsideCause.FAILURES, now)


def _reconsider_others(cell: Cell, worker: Worker, step: Step, now: float) -> None:
    """Judge other workers where a step has failed by what it did on one."""
    # In one order: a set has another one in each process, and a seed would play other days.
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
    """Give the other workers where a step has failed, but for those thought to spoil runs."""
    own = "" if worker is None else worker.life
    return {life for life in step.failed_on if life != own and not _spoils(cell, life)}


def _spoils(cell: Cell, life: str) -> bool:
    worker = cell.workers.get(life)
    return worker is not None and worker.is_aside_for_failures


def _reckon(cell: Cell, worker: Worker) -> float:
    """Reckon a worker's doubt anew and give it; passes look at it some thousand times a second."""
    worker.doubt = sum(_weight(cell, worker, charge) for charge in worker.charged.values())
    return worker.doubt


def is_doubtful(worker: Worker) -> bool:
    """Whether a worker is no place for what may not fail again, while another run proves it."""
    return worker.doubt >= _DOUBTFUL and bool(worker.runs)


def is_on_trial(worker: Worker, now: float) -> bool:
    """Whether a worker that was set aside takes one run at a time."""
    return worker.trial_until > now


def is_being_proved(worker: Worker, now: float) -> bool:
    """Whether a worker on trial has the one run that shows whether it still fails."""
    return is_on_trial(worker, now) and worker.trial in worker.runs


def begin_trial(worker: Worker, run: tuple, now: float) -> None:
    """Note what a worker is proved by, if it has to be."""
    if is_on_trial(worker, now):
        worker.trial = run


def _weight(cell: Cell, worker: Worker, charge: Charge) -> float:
    """Give how much a step's failures on a worker speak against that worker."""
    step = charge.step
    bad = _bad_share(cell, worker)
    good = (1 - bad) * _FAULT_ELSEWHERE ** len(_failed_elsewhere(cell, step, worker))
    bad *= _GOOD_ENDS_FACTOR ** len(step.done_on - {worker.life})
    bad /= bad + good
    return -math.log(bad + (1 - bad) * _OWN_FAULT**charge.runs)


def _note_share(cell: Cell, worker: Worker, is_bad: bool) -> None:
    """Learn from a step how usual bad ones are."""
    share = _bad_share(cell, worker)
    share += _SHARE_GAIN * (is_bad - share)
    cell.failing_step_share[worker.entry.service] = max(_USUAL_BAD, share)


def _bad_share(cell: Cell, worker: Worker) -> float:
    return cell.failing_step_share.get(worker.entry.service, _USUAL_BAD)


def _is_enough_aside(cell: Cell, worker: Worker, now: float) -> bool:
    """Whether as much of a service is set aside for failures as may be."""
    aside, workers = count_aside(cell, worker.entry.service, AsideCause.FAILURES, now)
    return aside + 1 > _MOST_ASIDE * workers

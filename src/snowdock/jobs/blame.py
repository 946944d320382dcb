"""Whom a failed run speaks against: its worker, or the job that brought it.

The load this answers: jobs all of whose runs fail, wherever they run, beside workers that spoil
all they start. Seen from one worker both look alike, runs that fail in a row, so a failure is
weighed by how surprising it would be on a sound worker: little where the step has failed on other
workers, or where most of what is new fails at the time; much where the step ends well elsewhere,
or hardly anything fails. The weight is the negative logarithm of that chance. A worker collects one
weight for each step that failed there since its last good end; beyond `_LIMIT` it is set aside, and
takes one run at a time when it is back. What is learned of a step later changes its weight
everywhere.

All of this is a leader's own: a successor begins without doubts.
"""

import math

from .cell import Cell
from .parts import Step
from .set_aside import Cause, set_aside, take_back
from .workers import Worker

__all__ = ["begin_trial", "doubt", "is_doubtful", "is_on_trial", "note_failed_run", "note_good_end"]

_OWN_FAULT = 0.05
"""The least chance that a run of a good step fails on a sound worker: a few in a hundred do, by
their own fault. With it two steps in a row suffice to set a worker aside on a calm day."""

_LIMIT = 4.6
"""Doubt beyond which a worker is set aside: its failures would come about by chance once in a
hundred such rows."""

_EVIDENCE_ELSEWHERE = 1.0
"""What another worker's end of a step weighs beside what is usual: as much as one end does."""

_SHARE_GAIN = 0.05
"""How fast the usual share of failures follows: the last twenty steps decide."""

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
    _note_first_end(cell, worker, step, has_failed=True)
    is_news = worker.life not in step.failed_on
    step.failed_on.add(worker.life)
    worker.charged[step.key] = step
    if is_news:
        _weigh_again(cell, step, now)
    was_aside = worker.times_aside > 0
    if doubt(cell, worker) < _LIMIT or (
        was_aside and _weight(cell, worker, step) < _TELLING_WEIGHT
    ):
        return
    if _is_enough_aside(cell, worker, now):
        return
    seconds = min(_ASIDE_SECONDS * 2**worker.times_aside, _LONGEST_ASIDE_SECONDS)
    worker.times_aside += 1
    worker.trial = None
    worker.trial_until = now + seconds + _TRIAL_SECONDS
    set_aside(cell, worker, Cause.FAILURES, seconds, now)


def note_good_end(cell: Cell, worker: Worker, step: Step | None, now: float) -> None:
    """Clear a worker where a run ended well, and weigh that step's failures elsewhere anew."""
    worker.charged.clear()
    worker.times_aside = 0
    worker.trial_until = 0.0
    worker.trial = None
    take_back(cell, worker, Cause.FAILURES, now)
    if step is None:
        return
    _note_first_end(cell, worker, step, has_failed=False)
    if worker.life not in step.done_on:
        step.done_on.add(worker.life)
        _weigh_again(cell, step, now)


def doubt(cell: Cell, worker: Worker) -> float:
    """Give how much speaks against a worker; 0 where nothing does."""
    return sum(_weight(cell, worker, step) for step in worker.charged.values())


def is_doubtful(cell: Cell, worker: Worker) -> bool:
    """Whether a worker is no place for what may not fail again, while another run proves it."""
    return bool(worker.charged and worker.runs) and doubt(cell, worker) >= _DOUBTFUL


def is_on_trial(worker: Worker, now: float) -> bool:
    """Whether a worker that was set aside is being proved by the one run that it took since."""
    return worker.trial is not None and worker.trial_until > now and worker.trial in worker.runs


def begin_trial(worker: Worker, run: tuple, now: float) -> None:
    """Note what a worker is proved by, if it has to be."""
    if worker.trial_until > now:
        worker.trial = run


def _weight(cell: Cell, worker: Worker, step: Step) -> float:
    """Give how much a step's failure on a worker speaks against that worker."""
    failed = len(step.failed_on - {worker.life}) * _EVIDENCE_ELSEWHERE
    done = len(step.done_on - {worker.life}) * _EVIDENCE_ELSEWHERE
    usual = cell.failing_share.get(worker.entry.service, _OWN_FAULT)
    chance = (usual + failed) / (1.0 + failed + done)
    return -math.log(max(_OWN_FAULT, chance))


def _note_first_end(cell: Cell, worker: Worker, step: Step, has_failed: bool) -> None:
    """Learn from a step's first end how usual failures are."""
    if step.failed_on or step.done_on:
        return
    service = worker.entry.service
    usual = cell.failing_share.get(service, _OWN_FAULT)
    cell.failing_share[service] = usual + _SHARE_GAIN * (has_failed - usual)


def _weigh_again(cell: Cell, step: Step, now: float) -> None:
    """Take workers back that were set aside for what turns out to be the step's own doing."""
    for life in step.failed_on:
        worker = cell.workers.get(life)
        if worker is not None and worker.aside_until > now and doubt(cell, worker) < _LIMIT:
            worker.times_aside = 0
            worker.trial_until = 0.0
            take_back(cell, worker, Cause.FAILURES, now)


def _is_enough_aside(cell: Cell, worker: Worker, now: float) -> bool:
    """Whether as much of a service is set aside for failures as may be."""
    alike = [each for each in cell.workers.values() if each.entry.service == worker.entry.service]
    aside = sum(each.aside_until > now and each.aside_for == Cause.FAILURES.value for each in alike)
    return aside + 1 > _MOST_ASIDE * len(alike)

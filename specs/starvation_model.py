"""Two workers that may be set aside for failures: how long a job waits beside them.

Runs of other jobs fail on either worker at any time, and a run that goes on may stand on one that
is on trial. A job that only one of them may run waits meanwhile. Time goes in ticks of half a
second; the job is placed at a tick as soon as the worker that may run it is open to it.
"""

import dataclasses
from typing import NamedTuple

from minicheck import Protocol

from .tools import Rules, make_protocol, replace_item

__all__ = ["RULES", "Bounds", "State", "Worker", "make_model"]

RULES = ("half", "longest_aside", "trial_ends", "last_resort")
"""Rules that may be left out: half of the workers at most are aside, the time aside has a bound, a
trial ends, and a job that has waited for long takes any worker."""

QUARANTINE_TICKS = 4
MAX_QUARANTINE_TICKS = 16
PROBATION_TICKS = 4
LAST_RESORT_TICKS = 4
MAX_WAIT_TICKS = 6
"""Users allow a job to run nothing for three seconds."""

_MAX_QUARANTINES = 3


@dataclasses.dataclass(frozen=True)
class Bounds:
    """How far the search goes."""

    takeovers: int = 1
    failures: int = 5


class Worker(NamedTuple):
    """A worker as the leader sees it, in ticks.

    ``aside`` and ``trial`` are what is left of its time aside and of its trial, ``times`` how often
    it was set aside; a run that goes on ``is_held`` there; nothing began for ``closed`` ticks.
    """

    aside: int = 0
    trial: int = 0
    times: int = 0
    is_held: bool = False
    closed: int = 0


class State(NamedTuple):
    """The workers, of which the first may run the job, how long that has waited, and bounds."""

    workers: tuple[Worker, Worker] = (Worker(), Worker())
    waited: int = 0
    failures: int = 0
    takeovers: int = 0
    is_done: bool = False


class Model:
    """Makes the transitions."""

    def __init__(self, bounds: Bounds, rules: Rules) -> None:
        self._bounds = bounds
        self._holds = rules.holds

    def transitions(self, state: State) -> list:
        """List what can happen next."""
        workers = tuple(Worker(*worker) for worker in state.workers)
        state = state._replace(workers=workers)
        if not _waits_within_bounds(state) or not _closed_within_bounds(state):
            return []
        steps = [("half a second goes by", self._tick(state))]
        for number, worker in enumerate(workers):
            if state.failures < self._bounds.failures and not worker.aside:
                steps.append((f"runs fail on {number}", self._fail(state, number)))
            if worker.trial and not worker.aside and not worker.is_held:
                held = replace_item(workers, number, worker._replace(is_held=True, closed=0))
                steps.append((f"a run goes on at {number}", state._replace(workers=held)))
        if state.takeovers < self._bounds.takeovers:
            after = state._replace(workers=(Worker(), Worker()), takeovers=state.takeovers + 1)
            steps.append(("another leader takes over", after))
        return steps

    def _fail(self, state: State, number: int) -> State:
        """Have enough runs fail on a worker to doubt it."""
        state = state._replace(failures=state.failures + 1)
        if self._holds("half") and any(worker.aside for worker in state.workers):
            return state
        worker = state.workers[number]
        ticks = QUARANTINE_TICKS * 2**worker.times
        if self._holds("longest_aside"):
            ticks = min(ticks, MAX_QUARANTINE_TICKS)
        quarantined = Worker(ticks, PROBATION_TICKS, min(worker.times + 1, _MAX_QUARANTINES))
        return state._replace(workers=replace_item(state.workers, number, quarantined))

    def _tick(self, state: State) -> State:
        is_last_resort = self._holds("last_resort") and state.waited >= LAST_RESORT_TICKS
        workers = tuple(self._advance_worker(worker) for worker in state.workers)
        if state.is_done or is_last_resort or _is_open(state.workers[0]):
            return state._replace(workers=workers, is_done=True, waited=0)
        return state._replace(workers=workers, waited=state.waited + 1)

    def _advance_worker(self, worker: Worker) -> Worker:
        closed = 0 if _is_open(worker) else worker.closed + 1
        if worker.aside:
            return worker._replace(aside=worker.aside - 1, closed=closed)
        if worker.trial and (self._holds("trial_ends") or not worker.is_held):
            trial = worker.trial - 1
            return worker._replace(trial=trial, is_held=worker.is_held and trial > 0, closed=closed)
        return worker._replace(closed=closed)


def _is_open(worker: Worker) -> bool:
    return not worker.aside and not worker.is_held


def _waits_within_bounds(state: State) -> bool:
    return state.waited <= MAX_WAIT_TICKS


def _closed_within_bounds(state: State) -> bool:
    return all(worker.closed <= MAX_QUARANTINE_TICKS for worker in state.workers)


def _half_is_open(state: State) -> bool:
    return sum(worker.aside > 0 for worker in state.workers) <= 1


def _to_state(fields: dict) -> State:
    return State(**{**fields, "workers": tuple(Worker(*worker) for worker in fields["workers"])})


def make_model(bounds: Bounds, left_out: str = "") -> Protocol:
    """Make the model for the checker; ``left_out`` is one of `RULES`, or nothing."""
    model = Model(bounds, Rules(left_out))
    return make_protocol(
        "starvation",
        left_out,
        State(),
        model.transitions,
        {
            "waits_are_bounded": lambda fields: _waits_within_bounds(_to_state(fields)),
            "closed_is_bounded": lambda fields: _closed_within_bounds(_to_state(fields)),
            "half_is_open": lambda fields: _half_is_open(_to_state(fields)),
        },
        lambda fields: fields["is_done"],
    )

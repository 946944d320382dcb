"""Model of two workers that may be quarantined for failures: the waiting time of a job is bounded.

Runs of other jobs may fail on either worker at any time, and a long run may occupy a worker that is
on probation. Only the first worker may run the waiting job. A tick is half a second; the job is
placed at the first tick at which that worker is available.
"""

import dataclasses
from typing import NamedTuple

from minicheck import Protocol

from .tools import Rules, make_protocol, replace_item

__all__ = ["RULES", "Bounds", "State", "Worker", "make_model"]

RULES = ("half", "longest_aside", "trial_ends", "last_resort")
"""Rules that may be left out: at most half of the workers are quarantined, the quarantine time is
bounded, probation ends, and a job that has waited for long accepts any worker."""

QUARANTINE_TICKS = 4
MAX_QUARANTINE_TICKS = 16
PROBATION_TICKS = 4
LAST_RESORT_TICKS = 4
MAX_WAIT_TICKS = 6
"""A job may wait for three seconds without running anything."""

_MAX_QUARANTINES = 3


@dataclasses.dataclass(frozen=True)
class Bounds:
    """Limits of the search."""

    takeovers: int = 1
    failures: int = 5


class Worker(NamedTuple):
    """A worker in the leader's state; times are in ticks.

    ``quarantine`` and ``probation`` are the remaining times of both, ``quarantines`` the number of
    quarantines, ``is_occupied`` whether a long run occupies the worker, and ``unavailable`` the
    time for which it has not been available.
    """

    quarantine: int = 0
    probation: int = 0
    quarantines: int = 0
    is_occupied: bool = False
    unavailable: int = 0


class State(NamedTuple):
    """The workers, the job's waiting time in ticks, and the counts that are bounded."""

    workers: tuple[Worker, Worker] = (Worker(), Worker())
    waited: int = 0
    failures: int = 0
    takeovers: int = 0
    is_done: bool = False


class Model:
    """The transitions of the model."""

    def __init__(self, bounds: Bounds, rules: Rules) -> None:
        self._bounds = bounds
        self._holds = rules.holds

    def transitions(self, state: State) -> list:
        """Return all labels and next states."""
        workers = tuple(Worker(*worker) for worker in state.workers)
        state = state._replace(workers=workers)
        if not _waits_within_bounds(state) or not _unavailable_within_bounds(state):
            return []
        steps = [("half a second goes by", self._tick(state))]
        for number, worker in enumerate(workers):
            if state.failures < self._bounds.failures and not worker.quarantine:
                steps.append((f"runs fail on {number}", self._fail(state, number)))
            if worker.probation and not worker.quarantine and not worker.is_occupied:
                occupied = replace_item(
                    workers, number, worker._replace(is_occupied=True, unavailable=0)
                )
                steps.append((f"a run goes on at {number}", state._replace(workers=occupied)))
        if state.takeovers < self._bounds.takeovers:
            after = state._replace(workers=(Worker(), Worker()), takeovers=state.takeovers + 1)
            steps.append(("another leader takes over", after))
        return steps

    def _fail(self, state: State, number: int) -> State:
        """Return the state after enough failures on a worker to quarantine it."""
        state = state._replace(failures=state.failures + 1)
        if self._holds("half") and any(worker.quarantine for worker in state.workers):
            return state
        worker = state.workers[number]
        ticks = QUARANTINE_TICKS * 2**worker.quarantines
        if self._holds("longest_aside"):
            ticks = min(ticks, MAX_QUARANTINE_TICKS)
        quarantined = Worker(ticks, PROBATION_TICKS, min(worker.quarantines + 1, _MAX_QUARANTINES))
        return state._replace(workers=replace_item(state.workers, number, quarantined))

    def _tick(self, state: State) -> State:
        is_last_resort = self._holds("last_resort") and state.waited >= LAST_RESORT_TICKS
        workers = tuple(self._advance_worker(worker) for worker in state.workers)
        if state.is_done or is_last_resort or _is_open(state.workers[0]):
            return state._replace(workers=workers, is_done=True, waited=0)
        return state._replace(workers=workers, waited=state.waited + 1)

    def _advance_worker(self, worker: Worker) -> Worker:
        unavailable = 0 if _is_open(worker) else worker.unavailable + 1
        if worker.quarantine:
            return worker._replace(quarantine=worker.quarantine - 1, unavailable=unavailable)
        if worker.probation and (self._holds("trial_ends") or not worker.is_occupied):
            probation = worker.probation - 1
            return worker._replace(
                probation=probation,
                is_occupied=worker.is_occupied and probation > 0,
                unavailable=unavailable,
            )
        return worker._replace(unavailable=unavailable)


def _is_open(worker: Worker) -> bool:
    return not worker.quarantine and not worker.is_occupied


def _waits_within_bounds(state: State) -> bool:
    return state.waited <= MAX_WAIT_TICKS


def _unavailable_within_bounds(state: State) -> bool:
    return all(worker.unavailable <= MAX_QUARANTINE_TICKS for worker in state.workers)


def _half_is_open(state: State) -> bool:
    return sum(worker.quarantine > 0 for worker in state.workers) <= 1


def _to_state(fields: dict) -> State:
    return State(**{**fields, "workers": tuple(Worker(*worker) for worker in fields["workers"])})


def make_model(bounds: Bounds, left_out: str = "") -> Protocol:
    """Build the checker's protocol; ``left_out`` is one of `RULES`, or an empty string."""
    model = Model(bounds, Rules(left_out))
    return make_protocol(
        "starvation",
        left_out,
        State(),
        model.transitions,
        {
            "waits_are_bounded": lambda fields: _waits_within_bounds(_to_state(fields)),
            "closed_is_bounded": lambda fields: _unavailable_within_bounds(_to_state(fields)),
            "half_is_open": lambda fields: _half_is_open(_to_state(fields)),
        },
        lambda fields: fields["is_done"],
    )

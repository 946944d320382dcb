"""Model of a task that crashes each worker that starts it: the number of its starts is bounded.

A start that arrives crashes its worker, or is interrupted with its gang just before. The leader may
observe this in several ways, and may be replaced by another leader. Each observation is charged to
the task and recorded; the charges bound the number of starts after the third crash.
"""

import dataclasses
import enum
from typing import NamedTuple

from minicheck import Protocol

from .tools import Rules, make_protocol

__all__ = ["RULES", "Bounds", "Phase", "State", "make_model"]

MOST_CRASHES = 3
MOST_LOSSES = 5
COUNT_ALL_FROM = 3
MOST_MORE = 2
"""The number of starts that users allow after the third crash."""

RULES = (
    "answered",
    "unanswered",
    "lapsed",
    "adopted",
    "orphans",
    "leaving",
    "told_ends",
    "on_record",
)
"""Rules that may be left out: what is charged, and that charges are recorded before a start."""


class Phase(enum.IntEnum):
    """The task's phase in the leader's state."""

    WAITING = 0
    PLACED = 1
    ORDERED = 2
    UNANSWERED = 3
    RUNNING = 4
    ADOPTED = 5
    """Placed by an earlier leader; its worker has not reported yet."""
    GIVEN_UP = 6


class There(enum.IntEnum):
    """The state of the latest run at its worker."""

    NOTHING = 0
    ON_ITS_WAY = 1
    CRASHED = 2
    BROKEN_OFF = 3
    """The run ended with its gang, and its worker continued."""


_PLACED = (Phase.PLACED, Phase.ORDERED, Phase.UNANSWERED, Phase.RUNNING, Phase.ADOPTED)

_RULE_OF_PHASE = {
    Phase.RUNNING: "answered",
    Phase.UNANSWERED: "unanswered",
    Phase.ADOPTED: "adopted",
}
"""The rule by which a response of the worker's next life is charged, for each phase."""


@dataclasses.dataclass(frozen=True)
class Bounds:
    """Limits of the search."""

    takeovers: int = 2


class Record(NamedTuple):
    """The task's record in the store; ``run`` is the parity of the latest run's number."""

    run: int = 0
    is_placed: bool = False
    crashes: int = 0
    losses: int = 0


class State(NamedTuple):
    """The leader's state, the record in the store, and the actual state.

    The actual state is the run's state at the worker (``there``), the number of crashed workers
    (``crashed``, at most three), and the number of starts that arrived after that (``more``).
    """

    phase: Phase = Phase.WAITING
    run: int = 0
    crashes: int = 0
    losses: int = 0
    record: Record = Record()
    there: There = There.NOTHING
    crashed: int = 0
    more: int = 0
    takeovers: int = 0


class Model:
    """The transitions of the model."""

    def __init__(self, bounds: Bounds, rules: Rules) -> None:
        self._bounds = bounds
        self._holds = rules.holds

    def transitions(self, state: State) -> list:
        """Return all labels and next states."""
        state = state._replace(record=Record(*state.record))
        if state.more > MOST_MORE:
            return []
        steps = [*self._of_leader(state), *self._of_worker(state)]
        if state.record != _to_record(state):
            steps.append(("is on record", self._put_on_record(state)))
        if state.takeovers < self._bounds.takeovers:
            steps.append(("another leader takes over", self._take_over(state)))
        return steps

    @staticmethod
    def _put_on_record(state: State) -> State:
        # A new leader looks for the previous run until the new one is recorded.
        is_new = state.record.run != state.run
        there = There.NOTHING if is_new else state.there
        return state._replace(record=_to_record(state), there=there)

    def _take_over(self, state: State) -> State:
        record = state.record
        crashes, losses = (record.crashes, record.losses) if self._holds("on_record") else (0, 0)
        after = state._replace(
            phase=Phase.ADOPTED if record.is_placed else Phase.WAITING,
            run=record.run,
            crashes=crashes,
            losses=losses,
            takeovers=state.takeovers + 1,
        )
        return _give_up_if_due(after)

    def _of_leader(self, state: State) -> list:
        phase, there = state.phase, state.there
        if phase is Phase.WAITING:
            return [("is placed", state._replace(phase=Phase.PLACED, run=1 - state.run))]
        if phase is Phase.PLACED and state.record == _to_record(state):
            sent = state._replace(phase=Phase.ORDERED, there=There.ON_ITS_WAY)
            return [("is sent", sent)]
        if phase is Phase.ORDERED:
            steps = [("is not answered", state._replace(phase=Phase.UNANSWERED))]
            if there in (There.CRASHED, There.BROKEN_OFF):
                steps.append(("is answered", state._replace(phase=Phase.RUNNING)))
            return steps
        return self._settle(state)

    def _settle(self, state: State) -> list:
        """Return the transitions by which the leader learns that a run has ended."""
        phase, there = state.phase, state.there
        if phase not in _RULE_OF_PHASE:
            return []
        if there is There.BROKEN_OFF:
            counts = state.losses >= COUNT_ALL_FROM
            after = self._charge(state, "told_ends", 0) if counts else self._forget(state)
            return [("is told as broken off", after)]
        if there is not There.CRASHED:
            # A start that is still in transit is rejected: by the worker, or by its fencing token.
            return [("was not there", self._forget(state))] if phase is not Phase.RUNNING else []
        # If the worker has not confirmed the run, it may have gone before the start arrived.
        crashes = 1 if phase is Phase.RUNNING else 0
        steps = [("another life answers", self._charge(state, _RULE_OF_PHASE[phase], crashes))]
        steps.append(("another life answers, it had drained", self._charge(state, "leaving", 0)))
        if phase is Phase.ADOPTED:
            steps.append(("its worker is not known", self._charge(state, "orphans", 0)))
        else:
            steps.append(("leases are over", self._charge(state, "lapsed", 0)))
        return steps

    @staticmethod
    def _forget(state: State) -> State:
        return state._replace(phase=Phase.WAITING, there=There.NOTHING)

    def _charge(self, state: State, rule: str, crashes: int) -> State:
        after = state._replace(phase=Phase.WAITING)
        if not self._holds(rule):
            return after
        after = after._replace(crashes=state.crashes + crashes, losses=state.losses + 1)
        return _give_up_if_due(after)

    def _of_worker(self, state: State) -> list:
        if state.there is not There.ON_ITS_WAY:
            return []
        more = state.more + (state.crashed >= MOST_CRASHES)
        crashed = min(state.crashed + 1, MOST_CRASHES)
        arrived = state._replace(there=There.CRASHED, crashed=crashed, more=more)
        broken = state._replace(there=There.BROKEN_OFF, more=more)
        lost = state._replace(there=There.NOTHING)
        return [("arrives", arrived), ("breaks off", broken), ("is lost on its way", lost)]


def _to_record(state: State) -> Record:
    return Record(state.run, state.phase in _PLACED, state.crashes, state.losses)


def _give_up_if_due(state: State) -> State:
    if state.crashes >= MOST_CRASHES or state.losses >= MOST_LOSSES:
        return state._replace(phase=Phase.GIVEN_UP)
    return state


def make_model(bounds: Bounds, left_out: str = "") -> Protocol:
    """Build the checker's protocol; ``left_out`` is one of `RULES`, or an empty string."""
    model = Model(bounds, Rules(left_out))
    return make_protocol(
        "crash",
        left_out,
        State(),
        model.transitions,
        {"starts_are_bounded": lambda state: state["more"] <= MOST_MORE},
        lambda state: state["phase"] is Phase.GIVEN_UP,
    )

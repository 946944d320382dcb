"""Model of a task that works on workers that do not crash: it is never given up.

Its workers may be partitioned until its leases expire, may answer again or never, may shut down as
planned, and gangs may be interrupted. Each loss is charged to the task and recorded, and leaders
may change. Nothing of this is a cause to fail its job. `crash_model` is of tasks that crash their
workers; the two share the charges.
"""

import dataclasses
import enum
from typing import NamedTuple

from minicheck import Protocol

from .tools import Rules, make_protocol

__all__ = ["RULES", "Bounds", "Phase", "State", "make_model"]

MAX_LOSSES = 5
"""Losses of any kind that would give a task up if they counted like crashes."""

MAX_CRASHES = 3

RULES = ("evidence", "planned_ends", "early_ends", "refusals")
"""Rules that may be left out: losses without evidence of a crash, planned shutdowns, runs that end
early, and refused starts do not count toward giving up."""


class Phase(enum.IntEnum):
    """The task's phase in the leader's state."""

    WAITING = 0
    PLACED = 1
    ORDERED = 2
    RUNNING = 3
    ADOPTED = 4
    """Placed by an earlier leader; its worker has not reported yet."""
    GIVEN_UP = 5
    DONE = 6


class RemoteState(enum.IntEnum):
    """The state of the latest run at its worker."""

    NOTHING = 0
    WORKING = 1
    LAPSED = 2
    """The worker is partitioned, and the run's lease has expired there."""


_PLACED_PHASES = (Phase.PLACED, Phase.ORDERED, Phase.RUNNING, Phase.ADOPTED)


@dataclasses.dataclass(frozen=True)
class Bounds:
    """Limits of the search: changes of leader, and starts that do not end well."""

    takeovers: int = 1
    troubles: int = 6


class Record(NamedTuple):
    """The task's record in the store; ``run`` is the parity of the latest run's number."""

    run: int = 0
    is_placed: bool = False
    losses: int = 0


class State(NamedTuple):
    """The leader's state, the record in the store, and the run's state at its worker.

    ``crashes``, ``early_ends`` and ``failures`` count what is charged only if a rule is left out.
    """

    phase: Phase = Phase.WAITING
    run: int = 0
    losses: int = 0
    crashes: int = 0
    early_ends: int = 0
    failures: int = 0
    record: Record = Record()
    remote: RemoteState = RemoteState.NOTHING
    takeovers: int = 0
    troubles: int = 0


class Model:
    """The transitions of the model."""

    def __init__(self, bounds: Bounds, rules: Rules) -> None:
        self._bounds = bounds
        self._holds = rules.holds

    def transitions(self, state: State) -> list:
        """Return all labels and next states."""
        state = state._replace(record=Record(*state.record))
        if state.phase in (Phase.GIVEN_UP, Phase.DONE):
            return []
        steps = self._leader_steps(state)
        if state.losses:
            healed = state._replace(losses=state.losses - 1)
            steps.append(("a worker that was cut off answers", healed))
        if state.record != _make_record(state):
            steps.append(("is on record", _append_record(state)))
        if state.takeovers < self._bounds.takeovers:
            steps.append(("another leader takes over", self._change_leader(state)))
        return steps

    @staticmethod
    def _change_leader(state: State) -> State:
        record = state.record
        return state._replace(
            phase=Phase.ADOPTED if record.is_placed else Phase.WAITING,
            run=record.run,
            losses=record.losses,
            takeovers=state.takeovers + 1,
        )

    def _leader_steps(self, state: State) -> list:
        if state.phase is Phase.WAITING:
            return [("is placed", state._replace(phase=Phase.PLACED, run=1 - state.run))]
        if state.phase is Phase.PLACED:
            if state.record != _make_record(state):
                return []
            return [("is sent", state._replace(phase=Phase.ORDERED))]
        is_troubled = state.troubles >= self._bounds.troubles
        steps = [] if is_troubled else self._trouble_steps(state)
        if state.phase is Phase.ORDERED:
            running = state._replace(phase=Phase.RUNNING, remote=RemoteState.WORKING)
            return [*steps, ("is answered", running)]
        if state.remote is RemoteState.LAPSED:
            is_adopted = state.phase is Phase.ADOPTED
            label = "its worker is not known" if is_adopted else "leases are over"
            return [(f"{label}, cut off", self._charge(state, "losses"))]
        if state.phase is Phase.ADOPTED:
            if state.remote is RemoteState.WORKING:
                return [*steps, ("is reported", state._replace(phase=Phase.RUNNING))]
            return [("was not there", _requeue(state))]
        done = state._replace(phase=Phase.DONE, remote=RemoteState.NOTHING)
        return [*steps, ("is done", done)]

    def _trouble_steps(self, state: State) -> list:
        state = state._replace(troubles=state.troubles + 1)
        if state.phase is Phase.ORDERED:
            refused = _requeue(state)
            if not self._holds("refusals"):
                refused = self._charge(state, "failures")
            return [("is refused as malformed", refused)]
        if state.remote is not RemoteState.WORKING:
            return []
        steps = [("is cut off", state._replace(remote=RemoteState.LAPSED))]
        if state.phase is Phase.RUNNING:
            leaves = ends = _requeue(state)
            if not self._holds("planned_ends"):
                leaves = self._charge(state, "crashes")
            if not self._holds("early_ends"):
                ends = self._charge(state, "early_ends")
            steps += [("its worker leaves", leaves), ("is told as broken off", ends)]
        return steps

    def _charge(self, state: State, kind: str) -> State:
        after = _requeue(state)._replace(**{kind: getattr(state, kind) + 1})
        counted = after.crashes + after.early_ends
        if not self._holds("evidence"):
            counted += after.losses
        is_over_limit = counted >= MAX_LOSSES or MAX_CRASHES in (after.crashes, after.failures)
        return after._replace(phase=Phase.GIVEN_UP) if is_over_limit else after


def _append_record(state: State) -> State:
    # A new leader looks for the previous run until the new one is recorded.
    is_new = state.record.run != state.run
    remote = RemoteState.NOTHING if is_new else state.remote
    return state._replace(record=_make_record(state), remote=remote)


def _requeue(state: State) -> State:
    return state._replace(phase=Phase.WAITING, remote=RemoteState.NOTHING)


def _make_record(state: State) -> Record:
    return Record(state.run, state.phase in _PLACED_PHASES, state.losses)


def make_model(bounds: Bounds, left_out: str = "") -> Protocol:
    """Build the checker's protocol; ``left_out`` is one of `RULES`, or an empty string."""
    model = Model(bounds, Rules(left_out))
    return make_protocol(
        "loss",
        left_out,
        State(),
        model.transitions,
        {"is_never_given_up": lambda state: state["phase"] is not Phase.GIVEN_UP},
        lambda state: state["phase"] is Phase.DONE,
    )

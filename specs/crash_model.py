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

MAX_CRASHES = 3
MAX_LOSSES = 5
COUNT_INTERRUPTIONS_FROM_LOSSES = 3
MAX_EXTRA_STARTS = 2
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


class RemoteState(enum.IntEnum):
    """The state of the latest run at its worker."""

    NOTHING = 0
    IN_TRANSIT = 1
    CRASHED = 2
    INTERRUPTED = 3
    """The run ended with its gang, and its worker continued."""


_PLACED_PHASES = (Phase.PLACED, Phase.ORDERED, Phase.UNANSWERED, Phase.RUNNING, Phase.ADOPTED)

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

    The actual state is the run's state at the worker (``remote``), the number of crashed workers
    (``crashed``, at most three), and the number of starts after that (``extra_starts``).
    """

    phase: Phase = Phase.WAITING
    run: int = 0
    crashes: int = 0
    losses: int = 0
    record: Record = Record()
    remote: RemoteState = RemoteState.NOTHING
    crashed: int = 0
    extra_starts: int = 0
    takeovers: int = 0


class Model:
    """The transitions of the model."""

    def __init__(self, bounds: Bounds, rules: Rules) -> None:
        self._bounds = bounds
        self._holds = rules.holds

    def transitions(self, state: State) -> list:
        """Return all labels and next states."""
        state = state._replace(record=Record(*state.record))
        if state.extra_starts > MAX_EXTRA_STARTS:
            return []
        steps = [*self._leader_steps(state), *self._worker_steps(state)]
        if state.record != _make_record(state):
            steps.append(("is on record", self._append_record(state)))
        if state.takeovers < self._bounds.takeovers:
            steps.append(("another leader takes over", self._change_leader(state)))
        return steps

    @staticmethod
    def _append_record(state: State) -> State:
        # A new leader looks for the previous run until the new one is recorded.
        is_new = state.record.run != state.run
        remote = RemoteState.NOTHING if is_new else state.remote
        return state._replace(record=_make_record(state), remote=remote)

    def _change_leader(self, state: State) -> State:
        record = state.record
        crashes, losses = (record.crashes, record.losses) if self._holds("on_record") else (0, 0)
        after = state._replace(
            phase=Phase.ADOPTED if record.is_placed else Phase.WAITING,
            run=record.run,
            crashes=crashes,
            losses=losses,
            takeovers=state.takeovers + 1,
        )
        return _give_up_at_limit(after)

    def _leader_steps(self, state: State) -> list:
        phase, remote = state.phase, state.remote
        if phase is Phase.WAITING:
            return [("is placed", state._replace(phase=Phase.PLACED, run=1 - state.run))]
        if phase is Phase.PLACED and state.record == _make_record(state):
            sent = state._replace(phase=Phase.ORDERED, remote=RemoteState.IN_TRANSIT)
            return [("is sent", sent)]
        if phase is Phase.ORDERED:
            steps = [("is not answered", state._replace(phase=Phase.UNANSWERED))]
            if remote in (RemoteState.CRASHED, RemoteState.INTERRUPTED):
                steps.append(("is answered", state._replace(phase=Phase.RUNNING)))
            return steps
        return self._run_end_steps(state)

    def _run_end_steps(self, state: State) -> list:
        """Return the transitions by which the leader learns that a run has ended."""
        phase, remote = state.phase, state.remote
        if phase not in _RULE_OF_PHASE:
            return []
        if remote is RemoteState.INTERRUPTED:
            counts = state.losses >= COUNT_INTERRUPTIONS_FROM_LOSSES
            after = self._charge(state, "told_ends", 0) if counts else self._requeue(state)
            return [("is told as broken off", after)]
        if remote is not RemoteState.CRASHED:
            # A start that is still in transit is rejected: by the worker, or by its fencing token.
            return [("was not there", self._requeue(state))] if phase is not Phase.RUNNING else []
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
    def _requeue(state: State) -> State:
        return state._replace(phase=Phase.WAITING, remote=RemoteState.NOTHING)

    def _charge(self, state: State, rule: str, crashes: int) -> State:
        after = state._replace(phase=Phase.WAITING)
        if not self._holds(rule):
            return after
        after = after._replace(crashes=state.crashes + crashes, losses=state.losses + 1)
        return _give_up_at_limit(after)

    def _worker_steps(self, state: State) -> list:
        if state.remote is not RemoteState.IN_TRANSIT:
            return []
        extra_starts = state.extra_starts + (state.crashed >= MAX_CRASHES)
        crashed = min(state.crashed + 1, MAX_CRASHES)
        arrived = state._replace(
            remote=RemoteState.CRASHED, crashed=crashed, extra_starts=extra_starts
        )
        interrupted = state._replace(remote=RemoteState.INTERRUPTED, extra_starts=extra_starts)
        lost = state._replace(remote=RemoteState.NOTHING)
        return [("arrives", arrived), ("breaks off", interrupted), ("is lost on its way", lost)]


def _make_record(state: State) -> Record:
    return Record(state.run, state.phase in _PLACED_PHASES, state.crashes, state.losses)


def _give_up_at_limit(state: State) -> State:
    if state.crashes >= MAX_CRASHES or state.losses >= MAX_LOSSES:
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
        {"starts_are_bounded": lambda state: state["extra_starts"] <= MAX_EXTRA_STARTS},
        lambda state: state["phase"] is Phase.GIVEN_UP,
    )

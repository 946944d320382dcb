"""Model of a task that crashes each worker that starts it: the number of its starts is bounded.

A start that arrives crashes its worker, or is interrupted with its gang just before. The leader may
observe this in several ways, and may be replaced by another leader. Each observation is charged to
the task and recorded; a charge may be resolved later, also by another leader. Together they bound
the number of starts after the third crash.

Assumed: a crashed worker returns before its loss is ignored. `loss_model` is of tasks that work.
"""

import dataclasses
import enum
from typing import NamedTuple

from minicheck import Protocol

from .tools import Rules, make_protocol

__all__ = ["RULES", "Bounds", "Phase", "State", "make_model"]

MAX_CRASHES = 3
MAX_POSSIBLE_CRASHES = 5
COUNT_INTERRUPTIONS_FROM_CRASHES = 3
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
    "hold",
)
"""Rules that may be left out: what is charged, that charges are recorded before a start, that a
task waits while its losses may be crashes."""


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
    """Limits of the search: changes of leader, and partitions of workers."""

    takeovers: int = 1
    partitions: int = 0


class Charges(NamedTuple):
    """The numbers of charges.

    ``losses`` and ``uncertain`` are unresolved and of crashed workers, ``partitioned`` and
    ``ignored`` of workers that are up; the latter no longer delay a start.
    """

    crashes: int = 0
    possible: int = 0
    losses: int = 0
    uncertain: int = 0
    partitioned: int = 0
    ignored: int = 0
    early_ends: int = 0

    @property
    def unresolved(self) -> int:
        """The number of losses, of which it is not known whether they are crashes."""
        return self.losses + self.uncertain + self.partitioned + self.ignored


class Record(NamedTuple):
    """The task's record in the store; ``run`` is the parity of the latest run's number."""

    run: int = 0
    is_placed: bool = False
    charges: Charges = Charges()


class State(NamedTuple):
    """The leader's state, the record in the store, and the actual state.

    The actual state is the run's state at the worker (``remote``), the number of crashed workers
    (``crashed``, at most three), and the number of starts after that (``extra_starts``).
    """

    phase: Phase = Phase.WAITING
    run: int = 0
    charges: Charges = Charges()
    record: Record = Record()
    remote: RemoteState = RemoteState.NOTHING
    crashed: int = 0
    extra_starts: int = 0
    takeovers: int = 0
    partitions: int = 0


class Model:
    """The transitions of the model."""

    def __init__(self, bounds: Bounds, rules: Rules) -> None:
        self._bounds = bounds
        self._holds = rules.holds

    def transitions(self, state: State) -> list:
        """Return all labels and next states."""
        run, is_placed, charges = state.record
        state = state._replace(
            charges=Charges(*state.charges), record=Record(run, is_placed, Charges(*charges))
        )
        if state.extra_starts > MAX_EXTRA_STARTS:
            return []
        steps = [*self._leader_steps(state), *self._worker_steps(state)]
        if state.phase is not Phase.GIVEN_UP:
            steps += self._resolutions(state)
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
        charges = record.charges if self._holds("on_record") else Charges()
        # A new leader does not know how long ago the losses were.
        charges = charges._replace(partitioned=charges.partitioned + charges.ignored, ignored=0)
        after = state._replace(
            phase=Phase.ADOPTED if record.is_placed else Phase.WAITING,
            run=record.run,
            charges=charges,
            takeovers=state.takeovers + 1,
        )
        return _give_up_at_limit(after)

    def _leader_steps(self, state: State) -> list:
        phase, remote = state.phase, state.remote
        if phase is Phase.WAITING:
            if self._is_on_hold(state.charges):
                return []
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
        if remote is RemoteState.CRASHED:
            return self._crash_steps(state)
        if remote is RemoteState.INTERRUPTED:
            counts = self._count_open(state.charges) >= COUNT_INTERRUPTIONS_FROM_CRASHES
            after = self._charge(state, "told_ends", "early_ends") if counts else _requeue(state)
            return [("is told as broken off", after)]
        if phase is Phase.RUNNING:
            return []
        # A start that is still in transit is rejected: by the worker, or by its fencing token.
        steps = [("was not there", _requeue(state))]
        if state.partitions < self._bounds.partitions:
            after = self._charge(state, "", "partitioned")
            after = after._replace(remote=RemoteState.NOTHING, partitions=state.partitions + 1)
            is_known = phase is not Phase.ADOPTED
            label = "leases are over" if is_known else "its worker is not known"
            steps.append((f"{label}, cut off", after))
        return steps

    def _crash_steps(self, state: State) -> list:
        """Return the transitions by which the leader learns that a worker crashed."""
        phase = state.phase
        # If the worker has not confirmed the run, it may have gone before the start arrived.
        is_told = phase is Phase.RUNNING
        seen = self._charge(state, _RULE_OF_PHASE[phase], "crashes" if is_told else "possible")
        steps = [("another life answers", seen)]
        drained = self._charge(state, "leaving", "possible")
        steps.append(("another life answers, it had drained", drained))
        if phase is Phase.ADOPTED:
            after = self._charge(state, "orphans", "uncertain")
            steps.append(("its worker is not known", after))
        else:
            after = self._charge(state, "lapsed", "losses" if is_told else "uncertain")
            steps.append(("leases are over", after))
        return steps

    def _resolutions(self, state: State) -> list:
        """Return the transitions by which the leader learns more about charged losses."""
        charges = state.charges
        steps = []
        if charges.losses:
            crash = charges._replace(losses=charges.losses - 1, crashes=charges.crashes + 1)
            steps.append(
                (
                    "a loss: another life has its id",
                    _give_up_at_limit(state._replace(charges=crash)),
                )
            )
        if charges.uncertain:
            possible = charges._replace(
                uncertain=charges.uncertain - 1, possible=charges.possible + 1
            )
            steps.append(
                (
                    "an uncertain loss: another life has its id",
                    _give_up_at_limit(state._replace(charges=possible)),
                )
            )
        if charges.partitioned + charges.ignored:
            kind = "partitioned" if charges.partitioned else "ignored"
            healed = charges._replace(**{kind: getattr(charges, kind) - 1})
            steps.append(("a worker that was cut off answers", state._replace(charges=healed)))
        is_idle = state.phase is Phase.WAITING and not charges.losses + charges.uncertain
        if charges.partitioned and is_idle:
            ignored = charges._replace(partitioned=0, ignored=charges.ignored + charges.partitioned)
            steps.append(("no sign of the lost workers", state._replace(charges=ignored)))
        return steps

    def _charge(self, state: State, rule: str, kind: str) -> State:
        after = _requeue(state, keep_remote=True)
        if rule and not self._holds(rule):
            return after
        charges = state.charges._replace(**{kind: getattr(state.charges, kind) + 1})
        return _give_up_at_limit(after._replace(charges=charges))

    @staticmethod
    def _count_open(charges: Charges) -> int:
        """Return the number of workers that may have crashed under the task."""
        return charges.crashes + charges.possible + charges.unresolved - charges.ignored

    def _is_on_hold(self, charges: Charges) -> bool:
        if not self._holds("hold"):
            return False
        return _count_starts(charges, self._count_open(charges)) >= MAX_POSSIBLE_CRASHES

    def _worker_steps(self, state: State) -> list:
        if state.remote is not RemoteState.IN_TRANSIT:
            return []
        crashed = min(state.crashed + 1, MAX_CRASHES)
        lost = ("is lost on its way", state._replace(remote=RemoteState.NOTHING))
        extra_starts = state.extra_starts + (state.crashed >= MAX_CRASHES)
        state = state._replace(extra_starts=extra_starts)
        arrived = state._replace(remote=RemoteState.CRASHED, crashed=crashed)
        interrupted = state._replace(remote=RemoteState.INTERRUPTED)
        return [("arrives", arrived), ("breaks off", interrupted), lost]


def _requeue(state: State, keep_remote: bool = False) -> State:
    remote = state.remote if keep_remote else RemoteState.NOTHING
    return state._replace(phase=Phase.WAITING, remote=remote)


def _count_starts(charges: Charges, crashes: int) -> int:
    if crashes < COUNT_INTERRUPTIONS_FROM_CRASHES:
        return crashes
    return crashes + charges.early_ends


def _give_up_at_limit(state: State) -> State:
    charges = state.charges
    counted = _count_starts(charges, charges.crashes + charges.possible)
    if charges.crashes >= MAX_CRASHES or counted >= MAX_POSSIBLE_CRASHES:
        return state._replace(phase=Phase.GIVEN_UP)
    return state


def _make_record(state: State) -> Record:
    return Record(state.run, state.phase in _PLACED_PHASES, state.charges)


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

"""Model of one task and a worker that may restart under the same id.

The worker has reported the end of another task before, which is acknowledged. Each life numbers its
ends from 1. A start or an acknowledgement in transit may reach another life than the one it was
sent to. A new leader restores what is recorded. A second worker, which never restarts, runs the
task once the leader considers it to be running nowhere.
"""

import dataclasses
from typing import NamedTuple

from minicheck import Protocol

from .tools import Rules, make_protocol

__all__ = ["RULES", "Bounds", "State", "make_model"]

RULES = ("by_life", "greeting", "record_first", "end_on_record")
"""Rules that may be left out: a worker's state is kept by life, a call is accepted only by the life
that it was sent to, a start is sent after its placement is recorded, and an end is acknowledged
after it is recorded."""

_ACKNOWLEDGED_ENDS = 1

_OTHER_WORKER = -1
"""The recorded life of the second worker, which never restarts."""


@dataclasses.dataclass(frozen=True)
class Bounds:
    """Limits of the search."""

    restarts: int = 2
    takeovers: int = 2
    runs: int = 3


class State(NamedTuple):
    """The worker's current life, the messages to it, the leader's state, and the recorded state.

    ``end`` is the number and run of the end that the life lists; ends up to ``dropped_up_to`` are
    dropped. ``start`` and ``ack`` are the addressed life and the run or number.

    ``life`` is the worker's life in the leader's state, ``placed`` the run that is placed there
    (0 for none), ``is_sent`` whether its start was sent, and ``known`` the number of the last end
    that the leader has read.
    """

    worker_life: int = 0
    running: int = 0
    ends: int = _ACKNOWLEDGED_ENDS
    end: tuple = ()
    dropped_up_to: int = _ACKNOWLEDGED_ENDS
    start: tuple = ()
    ack: tuple = ()
    life: int = 0
    placed: int = 0
    is_sent: bool = False
    run: int = 0
    known: int = _ACKNOWLEDGED_ENDS
    is_done: bool = False
    recorded_run: int = 0
    recorded_life: int = 0
    is_recorded_done: bool = False
    elsewhere: int = 0
    is_end_acknowledged: bool = False
    runs_twice: bool = False
    takeovers: int = 0


class Model:
    """The transitions of the model."""

    def __init__(self, bounds: Bounds, rules: Rules) -> None:
        self._bounds = bounds
        self._holds = rules.holds

    def transitions(self, state: State) -> list:
        """Return all labels and next states."""
        if state.runs_twice:
            return []
        steps = [*self._worker_steps(state), *self._leader_steps(state)]
        return [(label, after) for label, after in steps if after != state]

    # -- the worker ------------------------------------------------------------------------

    def _worker_steps(self, state: State) -> list:
        steps = []
        if state.worker_life < self._bounds.restarts:
            begun = state._replace(
                worker_life=state.worker_life + 1, running=0, ends=0, end=(), dropped_up_to=0
            )
            steps.append(("the worker begins another life", begun))
        if state.running and not state.end:
            ends = state.ends + 1
            ended = state._replace(running=0, ends=ends, end=(ends, state.running))
            steps.append(("the run ends well", ended))
        if state.start:
            steps.append(("the start arrives", self._receive_start(state)))
        if state.ack:
            steps.append(("the acknowledgement arrives", self._receive_ack(state)))
        if state.elsewhere:
            ended = state._replace(elsewhere=0, is_done=True, is_recorded_done=True)
            steps.append(("the run elsewhere ends", ended))
        return steps

    def _accepts_call(self, state: State, life: int) -> bool:
        return life == state.worker_life or not self._holds("greeting")

    def _receive_start(self, state: State) -> State:
        life, run = state.start
        after = state._replace(start=())
        if not self._accepts_call(state, life) or state.running or state.end:
            return after
        runs_twice = state.is_end_acknowledged or bool(state.elsewhere)
        return after._replace(running=run, runs_twice=runs_twice)

    def _receive_ack(self, state: State) -> State:
        life, number = state.ack
        after = state._replace(ack=())
        if not self._accepts_call(state, life):
            return after
        after = after._replace(dropped_up_to=max(state.dropped_up_to, number))
        if state.end and state.end[0] <= number:
            return after._replace(end=(), is_end_acknowledged=True)
        return after

    # -- the leader ------------------------------------------------------------------------

    def _leader_steps(self, state: State) -> list:
        steps = [
            ("the leader hears the worker", self._apply_report(state)),
            ("progress goes on record", self._record(state)),
        ]
        is_idle = not (state.placed or state.elsewhere or state.is_done)
        if is_idle and state.run < self._bounds.runs:
            placed = state._replace(run=state.run + 1, placed=state.run + 1, is_sent=False)
            steps.append(("the task is placed", placed))
        if is_idle:
            steps.append(("the task starts elsewhere", self._start_elsewhere(state)))
        if state.placed and not state.is_sent and self._may_send(state):
            sent = state._replace(start=(state.life, state.placed), is_sent=True)
            steps.append(("the start is sent", sent))
        if self._may_acknowledge(state):
            steps.append(("ends are acknowledged", state._replace(ack=(state.life, state.known))))
        if state.takeovers < self._bounds.takeovers:
            steps.append(("another leader takes over", self._change_leader(state)))
        return steps

    def _may_send(self, state: State) -> bool:
        is_recorded = (state.recorded_run, state.recorded_life) == (state.placed, state.life)
        return is_recorded or not self._holds("record_first")

    def _may_acknowledge(self, state: State) -> bool:
        if state.ack or not state.known:
            return False
        is_recorded = state.is_recorded_done or not state.is_done
        return is_recorded or not self._holds("end_on_record")

    def _start_elsewhere(self, state: State) -> State:
        run = state.run + 1
        runs_twice = state.is_end_acknowledged or bool(state.running)
        recorded = state._replace(recorded_run=run, recorded_life=_OTHER_WORKER)
        return recorded._replace(run=run, elsewhere=run, runs_twice=runs_twice)

    def _record(self, state: State) -> State:
        done = state._replace(is_recorded_done=state.is_done)
        if not state.placed:
            return done
        return done._replace(recorded_run=state.run, recorded_life=state.life)

    def _apply_report(self, state: State) -> State:
        """Apply the worker's report of its runs, received over a connection of its current life."""
        if state.worker_life != state.life and self._holds("by_life"):
            # The previous life has ended, and so have all of its runs.
            return state._replace(life=state.worker_life, placed=0, known=0)
        after = state._replace(life=state.worker_life)
        if state.end and state.end[0] > state.known:
            number, run = state.end
            after = after._replace(known=number)
            return after._replace(is_done=True, placed=0) if run == state.placed else after
        if state.running or state.end or state.start or not state.is_sent:
            return after
        # The run has gone, and its end is not listed.
        return after._replace(placed=0)

    def _change_leader(self, state: State) -> State:
        is_there = state.recorded_life != _OTHER_WORKER and not state.is_recorded_done
        return state._replace(
            life=max(0, state.recorded_life),
            placed=state.recorded_run if is_there else 0,
            is_sent=True,
            run=state.recorded_run,
            known=0,
            is_done=state.is_recorded_done,
            takeovers=state.takeovers + 1,
        )


def make_model(bounds: Bounds, left_out: str = "") -> Protocol:
    """Build the checker's protocol; ``left_out`` is one of `RULES`, or an empty string."""
    model = Model(bounds, Rules(left_out))
    return make_protocol(
        "life",
        left_out,
        State(),
        model.transitions,
        {"a task runs once": lambda state: not state["runs_twice"]},
        lambda state: state["is_done"],
    )

"""Model of a team's quota use, as counted by the leader and as it is: no start exceeds the quota.

All tasks have the same size. The leader counts tasks that run or may run at a worker. An order may
be executed long after it was sent, its response may be lost, a worker may be disconnected and
continue to run, the leader may change, and the quota may be lowered between a placement and its
start.

Placements that aren't recorded yet are counted, too. This isn't a rule that can be left out, since
the check before a start is sent would prevent the violation.
"""

import dataclasses
import enum
from typing import NamedTuple

from minicheck import Protocol

from .tools import Rules, make_protocol, replaced

__all__ = ["RULES", "Bounds", "Phase", "State", "make_model"]

QUOTA = 2
LOWERED_QUOTA = 1

RULES = ("unanswered", "stopping", "cut_off", "adopted", "looked_at_where_sent")
"""Rules that may be left out: the phases that are counted, and the check before sending."""


class Phase(enum.IntEnum):
    """A task's phase in the leader's state."""

    WAITING = 0
    HELD = 1
    ORDERED = 2
    UNANSWERED = 3
    RUNNING = 4
    STOPPING = 5
    CUT_OFF = 6
    ADOPTED = 7
    """Placed by an earlier leader; its worker has not reported yet."""
    DONE = 8


class There(enum.IntEnum):
    """A task's state at its worker."""

    NOTHING = 0
    ON_ITS_WAY = 1
    RUNNING = 2
    ENDED = 3


_RULE_OF_PHASE = {
    Phase.UNANSWERED: "unanswered",
    Phase.STOPPING: "stopping",
    Phase.CUT_OFF: "cut_off",
    Phase.ADOPTED: "adopted",
}


@dataclasses.dataclass(frozen=True)
class Bounds:
    """Limits of the search."""

    tasks: int = 3
    takeovers: int = 1


class State(NamedTuple):
    """The leader's phases, the tasks' states at workers, and whether a start exceeded the quota."""

    phases: tuple = ()
    there: tuple = ()
    quota: int = QUOTA
    takeovers: int = 0
    passed: bool = False


class Model:
    """The transitions of the model."""

    def __init__(self, bounds: Bounds, rules: Rules) -> None:
        self._bounds = bounds
        self._holds = rules.holds

    def transitions(self, state: State) -> list:
        """Return all labels and next states."""
        steps = []
        if state.quota == QUOTA:
            steps.append(("the quota is lowered", state._replace(quota=LOWERED_QUOTA)))
        if state.takeovers < self._bounds.takeovers:
            steps.append(("another leader takes over", self._take_over(state)))
        for task in range(self._bounds.tasks):
            steps += self._of_leader(state, task)
            steps += self._of_worker(state, task)
        return steps

    def _counted(self, state: State) -> int:
        return sum(self._counts(phase) for phase in state.phases)

    def _counts(self, phase: Phase) -> bool:
        if phase in (Phase.WAITING, Phase.DONE):
            return False
        rule = _RULE_OF_PHASE.get(phase)
        return rule is None or self._holds(rule)

    def _take_over(self, state: State) -> State:
        """Adopt every recorded placement as possibly running."""
        gone = (Phase.WAITING, Phase.DONE)
        phases = tuple(phase if phase in gone else Phase.ADOPTED for phase in state.phases)
        return state._replace(phases=phases, takeovers=state.takeovers + 1)

    def _of_leader(self, state: State, task: int) -> list:
        phase, there = state.phases[task], state.there[task]
        if phase is Phase.WAITING and self._counted(state) < state.quota:
            return [(f"{task} is placed", _believe(state, task, Phase.HELD))]
        if phase is Phase.HELD:
            return [self._send(state, task)]
        steps = []
        if phase is Phase.ORDERED and there is There.RUNNING:
            steps.append((f"{task} is answered", _believe(state, task, Phase.RUNNING)))
        if phase is Phase.ORDERED:
            steps.append((f"no answer of {task}", _believe(state, task, Phase.UNANSWERED)))
        if phase in (Phase.RUNNING, Phase.UNANSWERED):
            steps.append((f"{task} is to stop", _believe(state, task, Phase.STOPPING)))
        if phase is Phase.RUNNING:
            steps.append((f"{task} is cut off", _believe(state, task, Phase.CUT_OFF)))
        if there is There.ENDED and phase in (Phase.RUNNING, Phase.UNANSWERED):
            steps.append((f"end of {task} is listed", _believe(state, task, Phase.DONE)))
        steps += self._settle(state, task)
        return steps

    def _send(self, state: State, task: int) -> tuple:
        others = self._counted(state) - 1
        if others >= state.quota and self._holds("looked_at_where_sent"):
            return (f"{task} is not sent", _believe(state, task, Phase.WAITING))
        real = sum(there in (There.ON_ITS_WAY, There.RUNNING) for there in state.there)
        after = _believe(state, task, Phase.ORDERED)
        after = _be(after, task, There.ON_ITS_WAY)
        return (f"{task} is sent", after._replace(passed=state.passed or real >= state.quota))

    def _settle(self, state: State, task: int) -> list:
        """Return the transitions by which the leader learns a run's state or end."""
        phase, there = state.phases[task], state.there[task]
        if phase is Phase.STOPPING:
            # The worker refuses a start that arrives later, and lists a run that ended.
            return [(f"{task} has stopped", _again(state, task))]
        if phase is Phase.CUT_OFF and there is There.ENDED:
            return [(f"lease of {task} is over", _again(state, task))]
        if phase is not Phase.ADOPTED:
            return []
        if there is There.RUNNING:
            return [(f"{task} goes on", _believe(state, task, Phase.RUNNING))]
        # The new leader's fencing token rejects a start that is in transit.
        return [(f"{task} was not there", _again(state, task))]

    def _of_worker(self, state: State, task: int) -> list:
        there = state.there[task]
        if there is There.ON_ITS_WAY:
            return [(f"{task} begins", _be(state, task, There.RUNNING))]
        if there is There.RUNNING:
            return [(f"{task} ends", _be(state, task, There.ENDED))]
        return []


def _believe(state: State, task: int, phase: Phase) -> State:
    return state._replace(phases=replaced(state.phases, task, phase))


def _be(state: State, task: int, there: There) -> State:
    return state._replace(there=replaced(state.there, task, there))


def _again(state: State, task: int) -> State:
    return _be(_believe(state, task, Phase.WAITING), task, There.NOTHING)


def make_model(bounds: Bounds, left_out: str = "") -> Protocol:
    """Build the checker's protocol; ``left_out`` is one of `RULES`, or an empty string."""
    model = Model(bounds, Rules(left_out))
    initial = State((Phase.WAITING,) * bounds.tasks, (There.NOTHING,) * bounds.tasks)
    return make_protocol(
        "quota",
        left_out,
        initial,
        model.transitions,
        {"no_start_passes_the_quota": lambda state: not state["passed"]},
        lambda state: all(phase is Phase.DONE for phase in state["phases"]),
    )

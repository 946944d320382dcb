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

from .tools import Rules, make_protocol, replace_item

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


class RemoteState(enum.IntEnum):
    """A task's state at its worker."""

    NOTHING = 0
    IN_TRANSIT = 1
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
    remote: tuple = ()
    quota: int = QUOTA
    takeovers: int = 0
    exceeded: bool = False


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
            steps.append(("another leader takes over", self._change_leader(state)))
        for task in range(self._bounds.tasks):
            steps += self._leader_steps(state, task)
            steps += self._worker_steps(state, task)
        return steps

    def _count_quota_use(self, state: State) -> int:
        return sum(self._is_counted(phase) for phase in state.phases)

    def _is_counted(self, phase: Phase) -> bool:
        if phase in (Phase.WAITING, Phase.DONE):
            return False
        rule = _RULE_OF_PHASE.get(phase)
        return rule is None or self._holds(rule)

    def _change_leader(self, state: State) -> State:
        """Adopt every recorded placement as possibly running."""
        unplaced_phases = (Phase.WAITING, Phase.DONE)
        phases = tuple(
            phase if phase in unplaced_phases else Phase.ADOPTED for phase in state.phases
        )
        return state._replace(phases=phases, takeovers=state.takeovers + 1)

    def _leader_steps(self, state: State, task: int) -> list:
        phase, remote = state.phases[task], state.remote[task]
        if phase is Phase.WAITING and self._count_quota_use(state) < state.quota:
            return [(f"{task} is placed", _set_phase(state, task, Phase.HELD))]
        if phase is Phase.HELD:
            return [self._send_step(state, task)]
        steps = []
        if phase is Phase.ORDERED and remote is RemoteState.RUNNING:
            steps.append((f"{task} is answered", _set_phase(state, task, Phase.RUNNING)))
        if phase is Phase.ORDERED:
            steps.append((f"no answer of {task}", _set_phase(state, task, Phase.UNANSWERED)))
        if phase in (Phase.RUNNING, Phase.UNANSWERED):
            steps.append((f"{task} is to stop", _set_phase(state, task, Phase.STOPPING)))
        if phase is Phase.RUNNING:
            steps.append((f"{task} is cut off", _set_phase(state, task, Phase.CUT_OFF)))
        if remote is RemoteState.ENDED and phase in (Phase.RUNNING, Phase.UNANSWERED):
            steps.append((f"end of {task} is listed", _set_phase(state, task, Phase.DONE)))
        steps += self._run_end_steps(state, task)
        return steps

    def _send_step(self, state: State, task: int) -> tuple:
        others = self._count_quota_use(state) - 1
        if others >= state.quota and self._holds("looked_at_where_sent"):
            return (f"{task} is not sent", _set_phase(state, task, Phase.WAITING))
        running = sum(
            remote in (RemoteState.IN_TRANSIT, RemoteState.RUNNING) for remote in state.remote
        )
        after = _set_phase(state, task, Phase.ORDERED)
        after = _set_remote_state(after, task, RemoteState.IN_TRANSIT)
        return (
            f"{task} is sent",
            after._replace(exceeded=state.exceeded or running >= state.quota),
        )

    def _run_end_steps(self, state: State, task: int) -> list:
        """Return the transitions by which the leader learns a run's state or end."""
        phase, remote = state.phases[task], state.remote[task]
        if phase is Phase.STOPPING:
            # The worker refuses a start that arrives later, and lists a run that ended.
            return [(f"{task} has stopped", _requeue(state, task))]
        if phase is Phase.CUT_OFF and remote is RemoteState.ENDED:
            return [(f"lease of {task} is over", _requeue(state, task))]
        if phase is not Phase.ADOPTED:
            return []
        if remote is RemoteState.RUNNING:
            return [(f"{task} goes on", _set_phase(state, task, Phase.RUNNING))]
        # The new leader's fencing token rejects a start that is in transit.
        return [(f"{task} was not there", _requeue(state, task))]

    def _worker_steps(self, state: State, task: int) -> list:
        remote = state.remote[task]
        if remote is RemoteState.IN_TRANSIT:
            return [(f"{task} begins", _set_remote_state(state, task, RemoteState.RUNNING))]
        if remote is RemoteState.RUNNING:
            return [(f"{task} ends", _set_remote_state(state, task, RemoteState.ENDED))]
        return []


def _set_phase(state: State, task: int, phase: Phase) -> State:
    return state._replace(phases=replace_item(state.phases, task, phase))


def _set_remote_state(state: State, task: int, remote: RemoteState) -> State:
    return state._replace(remote=replace_item(state.remote, task, remote))


def _requeue(state: State, task: int) -> State:
    return _set_remote_state(_set_phase(state, task, Phase.WAITING), task, RemoteState.NOTHING)


def make_model(bounds: Bounds, left_out: str = "") -> Protocol:
    """Build the checker's protocol; ``left_out`` is one of `RULES`, or an empty string."""
    model = Model(bounds, Rules(left_out))
    initial = State((Phase.WAITING,) * bounds.tasks, (RemoteState.NOTHING,) * bounds.tasks)
    return make_protocol(
        "quota",
        left_out,
        initial,
        model.transitions,
        {"no_start_passes_the_quota": lambda state: not state["exceeded"]},
        lambda state: all(phase is Phase.DONE for phase in state["phases"]),
    )

"""Model of one non-repeatable request: it runs at most once, and "not run" is always true.

A caller sends it to two nodes with the same id, one after the other or concurrently. Appends may
arrive late, twice, or never; nodes may time out, and restart with empty memory.
"""

import dataclasses
from typing import NamedTuple

from minicheck import Protocol

from .tools import Rules, make_protocol, replace_item

__all__ = ["RULES", "Append", "Bounds", "State", "make_model", "parse_append"]

RULES = (
    "intent_before_sending",
    "one_intent",
    "own_incarnation",
    "giving_up_is_final",
    "no_retry_after_sending",
    "not_run_needs_a_verdict",
)
"""Rules that may be left out."""

IDLE, WAITING, SENT, FINISHED = "idle", "waiting", "sent", "over"


@dataclasses.dataclass(frozen=True)
class Bounds:
    """Limits of the search."""

    restarts: int = 2
    resends: int = 1


class Node(NamedTuple):
    """A node's attempt: its incarnation, its phase, and the outcome returned to its caller."""

    incarnation: int = 0
    phase: str = IDLE
    outcome: str = ""


class Append(NamedTuple):
    """An intent in transit to the log."""

    node: int
    incarnation: int

    @property
    def label(self) -> str:
        """The transition's label in a trace."""
        return f"log takes the intent of node {self.node} incarnation {self.incarnation}"


class State(NamedTuple):
    """The log, the nodes, and the messages in transit.

    ``holder`` is the node and incarnation of the valid intent; ``wire`` holds the appends in
    transit, ``sent`` the nodes of the requests in transit to the minion.
    """

    holder: tuple = ()
    log: tuple = ()
    ended: str = ""
    nodes: tuple = (Node(), Node())
    wire: frozenset = frozenset()
    sent: tuple = ()
    runs: tuple = ()
    restarts: int = 0
    resends: int = 0


def parse_append(label: str) -> Append | None:
    """Parse the append from a transition's label; return None for other transitions."""
    words = label.split()
    if words[:2] != ["log", "takes"]:
        return None
    return Append(int(words[6]), int(words[8]))


class Model:
    """The transitions of the model."""

    def __init__(self, bounds: Bounds, rules: Rules) -> None:
        self._bounds = bounds
        self._holds = rules.holds

    def transitions(self, state: State) -> list:
        """Return all labels and next states."""
        steps = [*self._log_steps(state), *self._minion_steps(state)]
        for number, node in enumerate(state.nodes):
            steps += self._node_steps(state, number, node)
        return steps

    def _node_steps(self, state: State, number: int, node: Node) -> list:
        steps = []

        def step(label: str, changed: Node, **fields: object) -> None:
            nodes = replace_item(state.nodes, number, changed)
            steps.append((f"node {number} {label}", state._replace(nodes=nodes, **fields)))

        if node.phase == IDLE:
            intent = Append(number, node.incarnation)
            if state.holder:
                self._answer_known_outcome(state, node, step)
            step("proposes", node._replace(phase=WAITING), wire=state.wire | {intent})
            if not self._holds("intent_before_sending"):
                step("sends", node._replace(phase=SENT), sent=(*state.sent, number))
        if node.phase == WAITING:
            self._waiting_steps(state, number, node, step)
        if node.phase == SENT:
            self._sent_steps(state, number, node, step)
        if state.restarts < self._bounds.restarts:
            fresh = Node(node.incarnation + 1)
            step("restarts", fresh, restarts=state.restarts + 1)
        return steps

    def _answer_known_outcome(self, state: State, node: Node, step) -> None:
        outcome = {"not_run": "not_run", "ran": "ran"}.get(state.ended, "unknown")
        step(f"tells {outcome}", node._replace(phase=FINISHED, outcome=outcome))

    def _is_own(self, state: State, number: int, node: Node) -> bool:
        if not state.holder:
            return False
        if not self._holds("own_incarnation"):
            return state.holder[0] == number
        return state.holder == (number, node.incarnation)

    def _waiting_steps(self, state: State, number: int, node: Node, step) -> None:
        intent = Append(number, node.incarnation)
        if state.resends < self._bounds.resends:
            step("appends again", node, wire=state.wire | {intent}, resends=state.resends + 1)
        is_own = self._is_own(state, number, node)
        # Judged by the intent in the log, or, without the rule, by any own intent.
        judged = intent in state.log or (is_own and not self._holds("own_incarnation"))
        gave_up = state.ended and self._holds("giving_up_is_final")
        if judged and is_own and not gave_up:
            step("sends", node._replace(phase=SENT), sent=(*state.sent, number))
        elif judged:
            self._answer_known_outcome(state, node, step)
        # Before its intent is judged, a node can't exclude another node's attempt with the id.
        knows = (judged and is_own) or not self._holds("not_run_needs_a_verdict")
        outcome = "not_run" if knows and not state.ended else "unknown"
        ended = state.ended or ("not_run" if is_own else "")
        after = FINISHED if self._holds("giving_up_is_final") else WAITING
        step("gives up", node._replace(phase=after, outcome=outcome), ended=ended)

    def _sent_steps(self, state: State, number: int, node: Node, step) -> None:
        is_own = self._is_own(state, number, node)
        if number in state.runs:
            ended = state.ended or ("ran" if is_own else "")
            step("gets the answer", node._replace(phase=FINISHED, outcome="ran"), ended=ended)
        step("loses the answer", node._replace(phase=FINISHED, outcome="unknown"))
        if not self._holds("no_retry_after_sending") and len(state.sent) < 2:
            step("sends again", node, sent=(*state.sent, number))
        elif number not in state.sent and number not in state.runs:
            # The connection was refused, so nothing was sent.
            ended = state.ended or ("not_run" if is_own else "")
            step("was refused", node._replace(phase=FINISHED, outcome="not_run"), ended=ended)

    def _log_steps(self, state: State) -> list:
        steps = []
        for intent in state.wire:
            left = state.wire - {intent}
            holder = state.holder
            if not holder or not self._holds("one_intent"):
                holder = tuple(intent)
            node = state.nodes[intent.node]
            # A node that gave up appended the end right after the intent.
            gave_up = node.outcome == "unknown" and holder == tuple(intent)
            ended = "not_run" if gave_up and not state.ended else state.ended
            taken = state._replace(wire=left, holder=holder, log=(*state.log, intent), ended=ended)
            if intent in state.log:
                # A repeated batch is invalid, by its sequence number.
                taken = state._replace(wire=left)
            # An earlier incarnation can't append any more.
            if state.nodes[intent.node].incarnation != intent.incarnation:
                taken = state._replace(wire=left)
            steps.append((intent.label, taken))
            steps.append(("an append is lost", state._replace(wire=left)))
        return steps

    @staticmethod
    def _minion_steps(state: State) -> list:
        steps = []
        for index, number in enumerate(state.sent):
            left = (*state.sent[:index], *state.sent[index + 1 :])
            ran = state._replace(sent=left, runs=(*state.runs, number))
            steps.append((f"the minion runs the request of node {number}", ran))
            steps.append(("a request is lost", state._replace(sent=left)))
        return steps


def make_model(bounds: Bounds, left_out: str = "") -> Protocol:
    """Build the checker's protocol; ``left_out`` is one of `RULES`, or an empty string."""
    model = Model(bounds, Rules(left_out))
    return make_protocol(
        "request",
        left_out,
        State(),
        model.transitions,
        {"at_most_once": _at_most_once, "not_run_is_true": _not_run_is_true},
        lambda state: all(node.phase == FINISHED for node in state["nodes"]),
    )


def _at_most_once(state: dict) -> bool:
    return len(state["runs"]) <= 1


def _not_run_is_true(state: dict) -> bool:
    """Check whether a request that was reported as "not run" neither ran nor is in transit."""
    return not any(
        node.outcome == "not_run" and (number in state["runs"] or number in state["sent"])
        for number, node in enumerate(state["nodes"])
    ) and not (state["ended"] == "not_run" and (state["runs"] or state["sent"]))

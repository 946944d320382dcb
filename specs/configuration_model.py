"""Model of configuration changes: concurrent operators, and versions that never decrease.

Two operators change the configuration through two nodes, each based on the version that its node
showed. A node may restart with empty memory and then reads the log from its start.
"""

import dataclasses
from typing import NamedTuple

from minicheck import Protocol

from .tools import Rules, make_protocol, replace_item

__all__ = ["RULES", "Append", "Bounds", "State", "make_model", "parse_append"]

RULES = ("base_is_current", "caught_up_before_serving")
"""Rules that may be left out."""


@dataclasses.dataclass(frozen=True)
class Bounds:
    """Limits of the search."""

    records: int = 3
    restarts: int = 1


class Node(NamedTuple):
    """A node's position in the log, and its pending change.

    ``end`` is the end of the log when the node started; the node reads up to it before it serves.
    """

    read: int = 0
    end: int = 0
    pending: tuple = ()


class Append(NamedTuple):
    """A change: the node that sent it, and the version that it is based on."""

    node: int
    base: int

    @property
    def label(self) -> str:
        """The transition's label in a trace."""
        return f"log takes change {self.node} from {self.base}"


class State(NamedTuple):
    """The log and the nodes.

    ``log`` holds pairs of a change and whether it is valid; ``shown`` is the latest version shown
    by each node.
    """

    log: tuple = ()
    nodes: tuple = (Node(), Node())
    shown: tuple = (0, 0)
    decreased: bool = False
    restarts: int = 0


def parse_append(label: str) -> Append | None:
    """Parse the append from a transition's label; return None for other transitions."""
    words = label.split()
    if words[:2] != ["log", "takes"]:
        return None
    return Append(int(words[3]), int(words[5]))


def version_at(log: tuple, length: int) -> int:
    """Return the version of a prefix of the log: the position of its last valid change."""
    return max((n + 1 for n, (_, valid) in enumerate(log[:length]) if valid), default=0)


class Model:
    """The transitions of the model."""

    def __init__(self, bounds: Bounds, rules: Rules) -> None:
        self._bounds = bounds
        self._holds = rules.holds

    def transitions(self, state: State) -> list:
        """Return all labels and next states."""
        steps = []
        for number, node in enumerate(state.nodes):
            steps += self._node_steps(state, number, node)
        return steps

    def _node_steps(self, state: State, number: int, node: Node) -> list:
        steps = []

        def step(label: str, changed: Node, **fields: object) -> None:
            nodes = replace_item(state.nodes, number, changed)
            steps.append((label, state._replace(nodes=nodes, **fields)))

        version = version_at(state.log, node.read)
        if node.read < len(state.log):
            step(f"node {number} reads", node._replace(read=node.read + 1))
        serves = node.read >= node.end or not self._holds("caught_up_before_serving")
        if serves and state.shown[number] != version:
            decreased = state.decreased or version < state.shown[number]
            shown = replace_item(state.shown, number, version)
            step(f"node {number} shows {version}", node, shown=shown, decreased=decreased)
        if serves and not node.pending and state.shown[number] == version:
            change = Append(number, version)
            step(f"operator asks node {number}", node._replace(pending=change))
        if node.pending and len(state.log) < self._bounds.records:
            taken = self._append(state, node.pending)
            # The response may be lost; the same change is then appended again.
            steps.append((node.pending.label, taken))
            nodes = replace_item(taken.nodes, number, node._replace(pending=()))
            steps.append((node.pending.label, taken._replace(nodes=nodes)))
        if state.restarts < self._bounds.restarts:
            fresh = Node(end=len(state.log))
            step(f"node {number} restarts", fresh, restarts=state.restarts + 1)
        return steps

    def _append(self, state: State, change: Append) -> State:
        # A repeated change is invalid, since its base is no longer current.
        is_current = change.base == version_at(state.log, len(state.log))
        valid = is_current or not self._holds("base_is_current")
        return state._replace(log=(*state.log, (change, valid)))


def make_model(bounds: Bounds, left_out: str = "") -> Protocol:
    """Build the checker's protocol; ``left_out`` is one of `RULES`, or an empty string."""
    model = Model(bounds, Rules(left_out))
    return make_protocol(
        "configuration",
        left_out,
        State(),
        model.transitions,
        {
            "never_falls_back": lambda state: not state["decreased"],
            "no_change_is_overwritten_unseen": _not_overwritten,
            "one_change_one_version": _one_version,
        },
        lambda state: (
            len(state["log"]) >= bounds.records
            or all(node.read == len(state["log"]) and not node.pending for node in state["nodes"])
        ),
    )


def _not_overwritten(state: dict) -> bool:
    """Check whether each valid change is based on the version right before it."""
    log = state["log"]
    return all(
        not valid or change.base == version_at(log, n) for n, (change, valid) in enumerate(log)
    )


def _one_version(state: dict) -> bool:
    valid = [change for change, is_valid in state["log"] if is_valid]
    return len(set(valid)) == len(valid)

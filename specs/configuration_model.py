"""The protocol of the configuration: racing operators, and versions that never fall.

Two operators change the configuration through two nodes, each from the version that its node
showed. A node may restart with empty memory and reads the log from its start.
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
    """How far the search goes."""

    records: int = 3
    restarts: int = 1


class Node(NamedTuple):
    """What a node has read, whether it serves, and the change that it has on its way.

    ``end`` is where the log ended when the node started, which it reads to before it serves.
    """

    read: int = 0
    end: int = 0
    pending: tuple = ()


class Append(NamedTuple):
    """A change: who sent it, and the version it is made from."""

    node: int
    base: int

    @property
    def label(self) -> str:
        """The step's name in a trace."""
        return f"log takes change {self.node} from {self.base}"


class State(NamedTuple):
    """``log`` holds the changes and whether each is valid; ``shown`` the newest version shown."""

    log: tuple = ()
    nodes: tuple = (Node(), Node())
    shown: tuple = (0, 0)
    fell: bool = False
    restarts: int = 0


def parse_append(label: str) -> Append | None:
    """Read back an append from a step's name, or None for another step."""
    words = label.split()
    if words[:2] != ["log", "takes"]:
        return None
    return Append(int(words[3]), int(words[5]))


def version_at(log: tuple, length: int) -> int:
    """Give the version that a prefix of the log means: the position of its last valid change."""
    return max((n + 1 for n, (_, valid) in enumerate(log[:length]) if valid), default=0)


class Model:
    """Makes the transitions."""

    def __init__(self, bounds: Bounds, rules: Rules) -> None:
        self._bounds = bounds
        self._holds = rules.holds

    def transitions(self, state: State) -> list:
        """List what can happen next."""
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
            fell = state.fell or version < state.shown[number]
            shown = replace_item(state.shown, number, version)
            step(f"node {number} shows {version}", node, shown=shown, fell=fell)
        if serves and not node.pending and state.shown[number] == version:
            change = Append(number, version)
            step(f"operator asks node {number}", node._replace(pending=change))
        if node.pending and len(state.log) < self._bounds.records:
            taken = self._append(state, node.pending)
            # The answer may be lost; then the same change is appended again.
            steps.append((node.pending.label, taken))
            nodes = replace_item(taken.nodes, number, node._replace(pending=()))
            steps.append((node.pending.label, taken._replace(nodes=nodes)))
        if state.restarts < self._bounds.restarts:
            fresh = Node(end=len(state.log))
            step(f"node {number} restarts", fresh, restarts=state.restarts + 1)
        return steps

    def _append(self, state: State, change: Append) -> State:
        # A repeated change needs no rule of its own: its base is no longer current.
        is_current = change.base == version_at(state.log, len(state.log))
        valid = is_current or not self._holds("base_is_current")
        return state._replace(log=(*state.log, (change, valid)))


def make_model(bounds: Bounds, left_out: str = "") -> Protocol:
    """Make the model for the checker; ``left_out`` is one of `RULES`, or nothing."""
    model = Model(bounds, Rules(left_out))
    return make_protocol(
        "configuration",
        left_out,
        State(),
        model.transitions,
        {
            "never_falls_back": lambda state: not state["fell"],
            "no_change_is_overwritten_unseen": _not_overwritten,
            "one_change_one_version": _one_version,
        },
        lambda state: (
            len(state["log"]) >= bounds.records
            or all(node.read == len(state["log"]) and not node.pending for node in state["nodes"])
        ),
    )


def _not_overwritten(state: dict) -> bool:
    """Check that each valid change was made from the version right before it."""
    log = state["log"]
    return all(
        not valid or change.base == version_at(log, n) for n, (change, valid) in enumerate(log)
    )


def _one_version(state: dict) -> bool:
    valid = [change for change, is_valid in state["log"] if is_valid]
    return len(set(valid)) == len(valid)

"""Model of the division of one minion's slots between two nodes.

A node uses only its own share, as of the log that it has read. It may restart with empty
memory while requests that it forwarded still run; they end within a deadline.
"""

import dataclasses
from typing import NamedTuple

from minicheck import Protocol

from .tools import Rules, make_protocol, replace_item

__all__ = ["RULES", "SLOTS", "Append", "Bounds", "State", "make_model", "parse_append"]

SLOTS = 2
DEADLINE_TICKS = 1

RULES = (
    "taken_only_if_free",
    "own_share_only",
    "out_of_use_before_returning",
    "cooling",
)
"""Rules that may be left out."""


@dataclasses.dataclass(frozen=True)
class Bounds:
    """Limits of the search."""

    ticks: int = 3
    restarts: int = 1


class Node(NamedTuple):
    """A node's share as it has read it, the slots being returned, and the node's incarnation."""

    known: int = 0
    returning: int = 0
    incarnation: int = 0


class Append(NamedTuple):
    """A record that a node appends."""

    node: int
    kind: str

    @property
    def label(self) -> str:
        """The transition's label in a trace."""
        return f"node {self.node} appends {self.kind}"


class State(NamedTuple):
    """The shares, the nodes, and the requests at the minion.

    ``running`` and ``orphans`` hold the start times of requests of current and earlier
    incarnations, ``cooling`` the ticks until which slots of a restarted node stay unused.
    """

    now: int = 0
    shares: tuple = (0, 0)
    cooling: tuple = ()
    nodes: tuple = (Node(), Node())
    running: tuple = ((), ())
    orphans: tuple = ()
    restarts: int = 0


def parse_append(label: str) -> Append | None:
    """Parse the append from a transition's label; return None for other transitions."""
    words = label.split()
    return Append(int(words[1]), words[3]) if words[2:3] == ["appends"] else None


class Model:
    """The transitions of the model."""

    def __init__(self, bounds: Bounds, rules: Rules) -> None:
        self._bounds = bounds
        self._holds = rules.holds

    def transitions(self, state: State) -> list:
        """Return all labels and next states."""
        steps = self._tick_steps(state)
        for number, node in enumerate(state.nodes):
            steps += self._node_steps(state, number, node)
            steps += self._record_steps(state, number, node)
        return steps

    def _tick_steps(self, state: State) -> list:
        if state.now >= self._bounds.ticks:
            return []
        now = state.now + 1
        # Requests end within their deadline, even if their node has restarted.
        running = tuple(
            tuple(since for since in own if since + DEADLINE_TICKS >= now) for own in state.running
        )
        orphans = tuple(since for since in state.orphans if since + DEADLINE_TICKS >= now)
        cooling = tuple(until for until in state.cooling if until >= now)
        after = state._replace(now=now, running=running, orphans=orphans, cooling=cooling)
        return [("tick", after)]

    def _node_steps(self, state: State, number: int, node: Node) -> list:
        steps = []
        running = state.running[number]
        usable = node.known - node.returning if self._holds("own_share_only") else SLOTS
        if len(running) < usable:
            more = replace_item(state.running, number, tuple(sorted((*running, state.now))))
            steps.append((f"node {number} sends", state._replace(running=more)))
        for index in range(len(running)):
            fewer = replace_item(state.running, number, (*running[:index], *running[index + 1 :]))
            steps.append((f"node {number} gets an answer", state._replace(running=fewer)))
        if node.known != state.shares[number]:
            returned = max(0, node.known - state.shares[number])
            read = node._replace(
                known=state.shares[number], returning=max(0, node.returning - returned)
            )
            after = state._replace(nodes=replace_item(state.nodes, number, read))
            steps.append((f"node {number} reads", after))
        return steps

    def _record_steps(self, state: State, number: int, node: Node) -> list:
        steps = []
        allocated = sum(state.shares) + len(state.cooling)
        if allocated < SLOTS or not self._holds("taken_only_if_free"):
            shares = replace_item(state.shares, number, state.shares[number] + 1)
            label = Append(number, "taken").label
            if shares[number] <= SLOTS:
                steps.append((label, state._replace(shares=shares)))
        steps += self._return_steps(state, number, node)
        if state.restarts < self._bounds.restarts:
            steps.append((Append(number, "joined").label, self._restart(state, number, node)))
        return steps

    def _return_steps(self, state: State, number: int, node: Node) -> list:
        in_use = len(state.running[number])
        idle = node.known - node.returning - in_use
        if self._holds("out_of_use_before_returning"):
            may_return = idle > 0
        else:
            may_return = node.known > node.returning
        if not may_return or not state.shares[number]:
            return []
        after = state._replace(
            nodes=replace_item(state.nodes, number, node._replace(returning=node.returning + 1)),
            shares=replace_item(state.shares, number, state.shares[number] - 1),
        )
        return [(Append(number, "returned").label, after)]

    def _restart(self, state: State, number: int, node: Node) -> State:
        cooling = state.cooling
        if self._holds("cooling"):
            until = (state.now + DEADLINE_TICKS,) * state.shares[number]
            cooling = tuple(sorted((*cooling, *until)))
        return state._replace(
            nodes=replace_item(state.nodes, number, Node(incarnation=node.incarnation + 1)),
            shares=replace_item(state.shares, number, 0),
            running=replace_item(state.running, number, ()),
            orphans=tuple(sorted((*state.orphans, *state.running[number]))),
            cooling=cooling,
            restarts=state.restarts + 1,
        )


def make_model(bounds: Bounds, left_out: str = "") -> Protocol:
    """Build the checker's protocol; ``left_out`` is one of `RULES`, or an empty string."""
    model = Model(bounds, Rules(left_out))
    return make_protocol(
        "slots",
        left_out,
        State(),
        model.transitions,
        {"never_over_slots": _never_over_slots},
        lambda state: sum(state["shares"]) == SLOTS or state["now"] >= bounds.ticks,
    )


def _never_over_slots(state: dict) -> bool:
    return sum(map(len, state["running"])) + len(state["orphans"]) <= SLOTS

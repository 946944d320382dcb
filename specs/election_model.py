"""Model of the leader election: conditional claims, fencing at workers, and leader timeouts.

A new leader is silent for a while after its claim, since it reads and restores state. The timeouts
are those of `snowdock.entry.turnover`.
"""

import dataclasses
from typing import NamedTuple

from minicheck import Protocol

from snowdock.entry.turnover import next_turnover, timeout_factor

from .tools import Rules, make_protocol, replace_item

__all__ = ["MAX_CLAIMS", "RULES", "Bounds", "State", "make_model"]

NODES = 2
LEADER_TIMEOUT_TICKS = 1
"""The timeout in ticks for a leader that has restored its state."""

STARTUP_SILENCE_TICKS = 5
"""Ticks for which a new leader is silent."""

MAX_CLAIMS = 4
"""Timeouts of 1, 2 and 4 ticks are too short, and one of 8 is long enough."""

RULES = ("claim_on_condition", "growing_patience", "fenced_orders")
"""Rules that may be left out."""


@dataclasses.dataclass(frozen=True)
class Bounds:
    """Limits of the search."""

    ticks: int = 14
    orders: int = 2


class Node(NamedTuple):
    """A node's position in the leaders' partition, and the epoch in which it leads (0 for none)."""

    seen_end: int = 0
    own_epoch: int = 0


class State(NamedTuple):
    """The partition's end, its last claim, the nodes, and the epochs of a worker's orders."""

    now: int = 0
    end: int = 0
    leader: int = -1
    claimed_at: int = 0
    turnover: int = 0
    claims: int = 0
    is_settled: bool = False
    nodes: tuple = (Node(),) * NODES
    orders: tuple = ()


class Model:
    """The transitions of the model."""

    def __init__(self, bounds: Bounds, rules: Rules) -> None:
        self._bounds = bounds
        self._holds = rules.holds

    def transitions(self, state: State) -> list:
        """Return all labels and next states."""
        steps = self._tick_steps(state)
        for number, node in enumerate(state.nodes):
            steps += self._read_steps(state, number, node)
            steps += self._claim_steps(state, number, node)
            steps += self._order_steps(state, number, node)
        return steps

    def _tick_steps(self, state: State) -> list:
        if state.now >= self._bounds.ticks:
            return []
        now = state.now + 1
        has_reported = state.claims > 0 and now >= state.claimed_at + STARTUP_SILENCE_TICKS
        return [("tick", state._replace(now=now, is_settled=state.is_settled or has_reported))]

    def _read_steps(self, state: State, number: int, node: Node) -> list:
        if node.seen_end == state.end:
            return []
        # A leader that reads another node's claim is deposed.
        own_epoch = node.own_epoch if state.leader == number else 0
        nodes = replace_item(state.nodes, number, Node(state.end, own_epoch))
        return [(f"node {number} reads", state._replace(nodes=nodes))]

    def _claim_steps(self, state: State, number: int, node: Node) -> list:
        if node.own_epoch or state.is_settled or state.claims > MAX_CLAIMS:
            return []
        if node.seen_end != state.end and self._holds("claim_on_condition"):
            return []
        leader_age = state.now - state.claimed_at
        if state.claims and leader_age < self._takeover_timeout(state):
            return []
        turnover = 0
        if state.claims:
            # A tick is a second here.
            turnover = next_turnover(state.turnover, float(leader_age), is_evident=False)
        nodes = replace_item(state.nodes, number, Node(node.seen_end + 1, node.seen_end + 1))
        after = state._replace(
            end=state.end + 1,
            leader=number,
            claimed_at=state.now,
            turnover=turnover,
            claims=state.claims + 1,
            nodes=nodes,
        )
        return [(f"node {number} claims", after)]

    def _takeover_timeout(self, state: State) -> float:
        if not self._holds("growing_patience"):
            return LEADER_TIMEOUT_TICKS
        return LEADER_TIMEOUT_TICKS * timeout_factor(state.turnover, 0.0)

    def _order_steps(self, state: State, number: int, node: Node) -> list:
        if not node.own_epoch or len(state.orders) >= self._bounds.orders:
            return []
        newest = max(state.orders, default=0)
        if node.own_epoch < newest and self._holds("fenced_orders"):
            return []
        orders = (*state.orders, node.own_epoch)
        return [(f"node {number} orders", state._replace(orders=orders))]


def make_model(bounds: Bounds, left_out: str = "") -> Protocol:
    """Build the checker's protocol; ``left_out`` is one of `RULES`, or an empty string."""
    model = Model(bounds, Rules(left_out))
    return make_protocol(
        "election",
        left_out,
        State(),
        model.transitions,
        {
            "one_leader_an_epoch": _one_leader_per_epoch,
            "takeovers_end": lambda state: state["claims"] <= MAX_CLAIMS,
            "no_order_of_an_older_leader": _order_epochs_never_decrease,
        },
        lambda state: state["is_settled"] or state["now"] >= bounds.ticks,
    )


def _one_leader_per_epoch(state: dict) -> bool:
    epochs = [node.own_epoch for node in state["nodes"] if node.own_epoch]
    return len(epochs) == len(set(epochs))


def _order_epochs_never_decrease(state: dict) -> bool:
    return list(state["orders"]) == sorted(state["orders"])

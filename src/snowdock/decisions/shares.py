"""Division of a minion's slots among the nodes."""

import dataclasses

from ..reducer import count_minion_slots
from ..state import MemberState, Minion, State, VmState
from .ownership import rank_owners

__all__ = ["MinionView", "target_share", "view_minions"]


@dataclasses.dataclass(frozen=True, slots=True)
class MinionView:
    """A minion from the point of view of one node.

    Attributes
    ----------
    share
        Slots that the node holds.
    target
        Slots that the node should hold.
    unassigned
        Slots that no node holds and that are not cooling down.
    is_live
        Whether the minion takes new requests.
    """

    name: str
    group: str
    hall: str
    address: str
    share: int
    target: int
    unassigned: int
    is_live: bool


def view_minions(state: State, node: str, now_ms: int) -> tuple[MinionView, ...]:
    """Return a node's view of all minions.

    Parameters
    ----------
    state
        The shared state.
    node
        The node.
    now_ms
        The node's clock in milliseconds since the epoch. The log's time, ``state.now_ms``,
        would not advance while nothing is appended, and cooled slots would not be taken.

    Returns
    -------
    tuple of MinionView
        A view of each minion.
    """
    live = [m.name for m in state.members.values() if m.state == MemberState.LIVE]
    return tuple(
        _build_view(state, minion, node, live, now_ms) for minion in state.minions.values()
    )


def _build_view(
    state: State, minion: Minion, node: str, live: list[str], now_ms: int
) -> MinionView:
    slots = count_minion_slots(state, minion)
    cooling = sum(
        entry.slots
        for entry in state.cooling_slots
        if entry.minion == minion.name and entry.until_ms > now_ms
    )
    return MinionView(
        name=minion.name,
        group=minion.group,
        hall=minion.hall,
        address=minion.address,
        share=minion.shares.get(node, 0),
        target=target_share(minion.name, slots, node, live),
        unassigned=slots - cooling - sum(minion.shares.values()),
        is_live=minion.state == VmState.LIVE,
    )


def target_share(minion: str, slots: int, node: str, nodes: list[str]) -> int:
    """Return how many of a minion's slots a node should hold.

    The targets of all nodes add up to ``slots``. Which nodes get a slot more than others
    depends on the minion.

    Parameters
    ----------
    minion
        The minion's name.
    slots
        The number of its slots.
    node
        The node.
    nodes
        All nodes that take requests.

    Returns
    -------
    int
        Number of slots; 0 if ``node`` is not in ``nodes``.
    """
    if node not in nodes:
        return 0
    rank = rank_owners(f"minion/{minion}", nodes).index(node)
    return slots // len(nodes) + (rank < slots % len(nodes))

"""How a minion's slots are divided among the nodes."""

import dataclasses

from ..reducer import count_minion_slots
from ..state import MemberState, Minion, State, VmState
from .ownership import rank_owners

__all__ = ["MinionView", "target_share", "view_minions"]


@dataclasses.dataclass(frozen=True, slots=True)
class MinionView:
    """A minion as one node may use it.

    ``share`` slots are the node's own, ``target`` is what it should hold, and ``unshared``
    slots are nobody's.
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
    """Show all minions to a node.

    Parameters
    ----------
    state
        The shared state.
    node
        The node.
    now_ms
        The node's clock: time on the log stands still while nothing is appended, and slots
        that have cooled down by the clock may be taken, which moves the log's time on.

    Returns
    -------
    tuple of MinionView
        One for each minion.
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
    """Tell how many of a minion's slots a node should hold.

    Over all nodes the targets add up to exactly ``slots``; which nodes get the odd ones
    differs from minion to minion.

    Parameters
    ----------
    minion
        The minion's name.
    slots
        All its slots.
    node
        The node asked about.
    nodes
        All nodes that take requests.

    Returns
    -------
    int
        Slots; 0 for a node that is not among them.
    """
    if node not in nodes:
        return 0
    rank = rank_owners(f"minion/{minion}", nodes).index(node)
    return slots // len(nodes) + (rank < slots % len(nodes))

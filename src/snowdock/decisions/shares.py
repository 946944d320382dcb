"""How a minion's slots are divided among the nodes."""

from .ownership import owner_order

__all__ = ["target_share"]


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
    place = owner_order(f"minion/{minion}", nodes).index(node)
    return slots // len(nodes) + (place < slots % len(nodes))

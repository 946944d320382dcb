"""Assignment of keys to nodes by rendezvous hashing over the nodes that seem alive.

Ownership avoids duplicate effort only. If two nodes act on the same key, the log's order
decides between their records.
"""

from collections.abc import Iterable
from hashlib import blake2b

__all__ = ["owner", "owner_order"]


def owner_order(thing: str, nodes: Iterable[str]) -> list[str]:
    """Return the nodes in order of preference for a key."""
    return sorted(nodes, key=lambda node: _weight(thing, node), reverse=True)


def owner(thing: str, nodes: Iterable[str]) -> str | None:
    """Return the node that should act on a key, or None if there are no nodes."""
    return max(nodes, key=lambda node: _weight(thing, node), default=None)


def _weight(thing: str, node: str) -> bytes:
    return blake2b(f"{node}\0{thing}".encode(), digest_size=8).digest()

"""Assignment of keys to nodes by rendezvous hashing over the nodes that seem alive.

Ownership avoids duplicate effort only. If two nodes act on the same key, the log's order
decides between their records.
"""

from collections.abc import Iterable
from hashlib import blake2b

__all__ = ["find_owner", "rank_owners"]


def rank_owners(key: str, nodes: Iterable[str]) -> list[str]:
    """Return the nodes in order of preference for a key."""
    return sorted(nodes, key=lambda node: _weight(key, node), reverse=True)


def find_owner(key: str, nodes: Iterable[str]) -> str | None:
    """Return the node that should act on a key, or None if there are no nodes."""
    return max(nodes, key=lambda node: _weight(key, node), default=None)


def _weight(key: str, node: str) -> bytes:
    return blake2b(f"{node}\0{key}".encode(), digest_size=8).digest()

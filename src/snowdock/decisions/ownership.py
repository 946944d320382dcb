"""Which node acts on what: rendezvous hashing over the nodes that seem alive.

It is only a hint. Two nodes that act on the same thing do no harm; the log judges.
"""

from collections.abc import Iterable
from hashlib import blake2b

__all__ = ["find_owner", "rank_owners"]


def rank_owners(key: str, nodes: Iterable[str]) -> list[str]:
    """Rank nodes for a thing, the one that should act first."""
    return sorted(nodes, key=lambda node: _weight(key, node), reverse=True)


def find_owner(key: str, nodes: Iterable[str]) -> str | None:
    """Name the node that should act on a thing, or None where there is no node."""
    return max(nodes, key=lambda node: _weight(key, node), default=None)


def _weight(key: str, node: str) -> bytes:
    return blake2b(f"{node}\0{key}".encode(), digest_size=8).digest()

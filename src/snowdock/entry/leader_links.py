"""The connections that a node keeps to its peers, depending on who leads."""

import threading
from collections.abc import Callable

from .election import Election
from .peer_directory import PeerDirectory

__all__ = ["LeaderLinks"]


class LeaderLinks:
    """Connects a leader to all known peers, and any other node to the leader only.

    Leader changes and depositions are reported by different threads, in any order. Therefore each
    update derives the connections from the election's current state.

    Parameters
    ----------
    node
        This node's name.
    election
        The election, with the newest known leader.
    directory
        The peers that have sent heartbeats recently.
    set_addresses
        Connects to the given peers, by name, and closes all other connections.
    """

    def __init__(
        self,
        node: str,
        election: Election,
        directory: PeerDirectory,
        set_addresses: Callable[[dict[str, str]], None],
    ) -> None:
        self._node = node
        self._election = election
        self._directory = directory
        self._set_addresses = set_addresses
        self._lock = threading.Lock()

    def update(self) -> None:
        """Open and close connections to match who leads now."""
        with self._lock:
            self._set_addresses(self._choose_addresses())

    def _choose_addresses(self) -> dict[str, str]:
        if self._election.own_epoch:
            return self._directory.addresses()
        leader = self._election.leader
        if leader is None or leader.node == self._node:
            return {}
        return {leader.node: leader.address}

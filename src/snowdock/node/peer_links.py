"""Connections from a node to its peers, and which heartbeat is due on each."""

import dataclasses
from collections.abc import Callable, Collection, Iterator

import zmq

__all__ = ["HeartbeatPlan", "PeerLinks"]

_CONFIRMATION_TIMEOUT_SECONDS = 2.0
"""A connection over which a peer has heard nothing for so long is made anew: it may have gone
silent without a reset. Three of the less frequent heartbeats are due meanwhile."""


@dataclasses.dataclass(frozen=True, slots=True)
class HeartbeatPlan:
    """Which peers get a heartbeat at each turn; the others get one at each n-th.

    Attributes
    ----------
    seldom
        The n: a heartbeat costs a leader some 0.2 ms of processor time for each peer, and most
        peers need to know of it less soon than those that would take its place.
    frequent
        Gives the names of the peers that get one at each turn.
    """

    rare_interval: int = 1
    frequent_peers: Callable[[], Collection[str]] = tuple


@dataclasses.dataclass(slots=True, eq=False)
class _Link:
    """One connection.

    ``is_new`` until a heartbeat has gone out over it; ``heard_at`` tells when a heartbeat of the
    peer came last, None before the first, and ``confirmed_at`` when the peer last heard of us.
    """

    address: str
    socket: zmq.Socket
    confirmed_at: float
    is_new: bool = True
    last_heartbeat_at: float | None = None


class PeerLinks:
    """The connections to peers by name, for the one thread that owns them.

    Parameters
    ----------
    make_socket
        Makes an unconnected socket.
    poller
        Told of each socket.
    plan
        Which peers get which heartbeats.
    """

    def __init__(
        self, make_socket: Callable[[], zmq.Socket], poller: zmq.Poller, plan: HeartbeatPlan
    ) -> None:
        self._make_socket = make_socket
        self._poller = poller
        self._plan = plan
        self._links: dict[str, _Link] = {}
        self._tick_count = 0

    def __contains__(self, node: str) -> bool:
        return node in self._links

    def socket(self, node: str) -> zmq.Socket:
        """Give the socket that is connected to a peer."""
        return self._links[node].socket

    def connect(self, node: str, address: str, now: float) -> None:
        """Connect to a peer, if that has not been done."""
        if node not in self._links:
            self._links[node] = _Link(address, self._open(address), now)

    def set_addresses(self, addresses: dict[str, str], now: float) -> None:
        """Connect to these peers, and to no others."""
        for node, link in list(self._links.items()):
            if addresses.get(node) != link.address:
                self._close(self._links.pop(node).socket)
        for node, address in addresses.items():
            self.connect(node, address, now)

    def record_heartbeat(self, node: str, last_received_s: float | None, now: float) -> None:
        """Take over a heartbeat of a peer that last heard of this node so many seconds ago."""
        link = self._links.get(node)
        if link is None:
            return
        link.last_heartbeat_at = now
        if last_received_s is not None:
            link.confirmed_at = max(link.confirmed_at, now - last_received_s)

    def reconnect_unconfirmed(self, now: float) -> list[str]:
        """Make connections anew that seem to have gone silent; give the peers' names."""
        reconnected = []
        for node, link in self._links.items():
            if now - link.confirmed_at > _CONFIRMATION_TIMEOUT_SECONDS:
                self._close(link.socket)
                link.socket = self._open(link.address)
                link.confirmed_at = now
                link.is_new = True
                reconnected.append(node)
        return reconnected

    def due_heartbeats(self, now: float) -> Iterator[tuple[zmq.Socket, bool, float | None]]:
        """Give where heartbeats are due at this turn.

        Yields
        ------
        tuple
            The socket, whether that peer gets one at each turn, and how many seconds ago it was
            heard itself; None where it never was.
        """
        self._tick_count += 1
        frequent_peers = self._plan.frequent_peers()
        for number, (node, link) in enumerate(self._links.items()):
            is_frequent = node in frequent_peers
            # The less frequent ones are spread over the turns.
            is_scheduled = (self._tick_count + number) % self._plan.rare_interval == 0
            if is_frequent or is_scheduled or link.is_new:
                link.is_new = False
                yield link.socket, is_frequent, self._heartbeat_age_s(link, now)

    @staticmethod
    def _heartbeat_age_s(link: _Link, now: float) -> float | None:
        return None if link.last_heartbeat_at is None else now - link.last_heartbeat_at

    def _open(self, address: str) -> zmq.Socket:
        socket = self._make_socket()
        try:
            socket.connect(f"tcp://{address}")
        except zmq.ZMQError:
            socket.close()
            raise
        self._poller.register(socket, zmq.POLLIN)
        return socket

    def _close(self, socket: zmq.Socket) -> None:
        self._poller.unregister(socket)
        socket.close()

"""Connections from a node to its peers, and the schedule of heartbeats on them."""

import dataclasses
from collections.abc import Callable, Collection, Iterator

import zmq

__all__ = ["HeartbeatPlan", "PeerLinks"]

_CONFIRMATION_TIMEOUT_SECONDS = 2.0
"""Age of the last confirmed heartbeat after which a connection is replaced: it may be dead
without a reset. At least three infrequent heartbeats fall into this time."""

_CLOSE_DELAY_SECONDS = 0.25
"""How long a connection to a removed peer still receives: a peer leaves once it has sent its last
responses, and the record of that may be read before them."""


@dataclasses.dataclass(frozen=True, slots=True)
class HeartbeatPlan:
    """How often each peer is sent a heartbeat.

    Attributes
    ----------
    rare_interval
        Number of ticks between heartbeats to the peers that are not frequent. A longer interval
        saves processor time of the sender, which pays for each heartbeat to each peer.
    frequent_peers
        Returns the names of the peers that are sent a heartbeat at each tick.
    """

    rare_interval: int = 1
    frequent_peers: Callable[[], Collection[str]] = tuple


@dataclasses.dataclass(slots=True, eq=False)
class _Link:
    """One connection; times are in seconds on the monotonic clock.

    Attributes
    ----------
    confirmed_at
        When the peer last received a heartbeat of this node.
    is_new
        Whether no heartbeat has been sent over the connection yet.
    last_heartbeat_at
        When the last heartbeat of the peer arrived; None before the first.
    """

    address: str
    socket: zmq.Socket
    confirmed_at: float
    is_new: bool = True
    last_heartbeat_at: float | None = None


class PeerLinks:
    """The connections to peers by name. Not thread-safe: one thread owns them.

    Parameters
    ----------
    make_socket
        Creates an unconnected socket.
    poller
        Each socket is registered with it.
    plan
        How often each peer is sent a heartbeat.
    """

    def __init__(
        self, make_socket: Callable[[], zmq.Socket], poller: zmq.Poller, plan: HeartbeatPlan
    ) -> None:
        self._make_socket = make_socket
        self._poller = poller
        self._plan = plan
        self._links: dict[str, _Link] = {}
        self._closing: dict[zmq.Socket, float] = {}
        self._tick_count = 0

    def __contains__(self, node: str) -> bool:
        return node in self._links

    def socket(self, node: str) -> zmq.Socket:
        """Return the socket that is connected to a peer."""
        return self._links[node].socket

    def connect(self, node: str, address: str, now: float) -> None:
        """Connect to a peer unless it is connected already."""
        if node not in self._links:
            self._links[node] = _Link(address, self._open(address), now)

    def set_addresses(self, addresses: dict[str, str], now: float) -> None:
        """Connect to the given peers, and close the connections to all others after a delay.

        A peer whose address has changed is connected anew.
        """
        for node, link in list(self._links.items()):
            if addresses.get(node) != link.address:
                self._closing[self._links.pop(node).socket] = now + _CLOSE_DELAY_SECONDS
        for node, address in addresses.items():
            self.connect(node, address, now)

    def close_removed(self, now: float) -> set[zmq.Socket]:
        """Close the connections to removed peers whose delay is over, and return their sockets."""
        closed = {socket for socket, close_at in self._closing.items() if close_at <= now}
        for socket in closed:
            del self._closing[socket]
            self._close(socket)
        return closed

    def record_heartbeat(self, node: str, last_received_s: float | None, now: float) -> None:
        """Record a heartbeat of a peer.

        Parameters
        ----------
        node
            The peer.
        last_received_s
            Seconds since the peer last received a heartbeat of this node; None if it never did.
        now
            The time in seconds on the monotonic clock.
        """
        link = self._links.get(node)
        if link is None:
            return
        link.last_heartbeat_at = now
        if last_received_s is not None:
            link.confirmed_at = max(link.confirmed_at, now - last_received_s)

    def reconnect_unconfirmed(self, now: float) -> dict[str, zmq.Socket]:
        """Replace connections without recent confirmation; return the closed sockets by peer."""
        closed = {}
        for node, link in self._links.items():
            if now - link.confirmed_at > _CONFIRMATION_TIMEOUT_SECONDS:
                closed[node] = link.socket
                self._close(link.socket)
                link.socket = self._open(link.address)
                link.confirmed_at = now
                link.is_new = True
        return closed

    def due_heartbeats(self, now: float) -> Iterator[tuple[str, zmq.Socket, bool, float | None]]:
        """Start the next tick and yield the connections on which a heartbeat is due.

        Yields
        ------
        tuple
            The peer, the socket, whether the peer is sent a heartbeat at each tick, and the seconds
            since the last heartbeat of the peer arrived, or None if there was none.
        """
        self._tick_count += 1
        frequent_peers = self._plan.frequent_peers()
        for number, (node, link) in enumerate(self._links.items()):
            is_frequent = node in frequent_peers
            # Infrequent heartbeats are spread over the ticks.
            is_scheduled = (self._tick_count + number) % self._plan.rare_interval == 0
            if is_frequent or is_scheduled or link.is_new:
                link.is_new = False
                yield node, link.socket, is_frequent, self._heartbeat_age_s(link, now)

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

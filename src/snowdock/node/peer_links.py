"""Connections from a node to its peers, and the schedule of heartbeats on them."""

import dataclasses
from collections.abc import Callable, Collection, Iterator

import zmq

__all__ = ["BeatPlan", "PeerLinks"]

_UNCONFIRMED_SECONDS = 2.0
"""Age of the last confirmed heartbeat after which a connection is replaced: it may be dead
without a reset. At least three infrequent heartbeats fall into this time."""


@dataclasses.dataclass(frozen=True, slots=True)
class BeatPlan:
    """How often each peer is sent a heartbeat.

    Attributes
    ----------
    rare_interval
        Number of ticks between heartbeats to the peers that are not frequent. A longer interval
        saves processor time of the sender, which pays for each heartbeat to each peer.
    frequent_peers
        Returns the names of the peers that are sent a heartbeat at each tick.
    """

    seldom: int = 1
    frequent: Callable[[], Collection[str]] = tuple


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
    heard_at: float | None = None


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
        self, make_socket: Callable[[], zmq.Socket], poller: zmq.Poller, plan: BeatPlan
    ) -> None:
        self._make_socket = make_socket
        self._poller = poller
        self._plan = plan
        self._links: dict[str, _Link] = {}
        self._turn = 0

    def __contains__(self, node: str) -> bool:
        return node in self._links

    def socket(self, node: str) -> zmq.Socket:
        """Return the socket that is connected to a peer."""
        return self._links[node].socket

    def connect(self, node: str, address: str, now: float) -> None:
        """Connect to a peer unless it is connected already."""
        if node not in self._links:
            self._links[node] = _Link(address, self._open(address), now)

    def keep_only(self, addresses: dict[str, str], now: float) -> None:
        """Connect to the given peers and close the connections to all others."""
        for node, link in list(self._links.items()):
            if addresses.get(node) != link.address:
                self._close(self._links.pop(node).socket)
        for node, address in addresses.items():
            self.connect(node, address, now)

    def hear(self, node: str, heard_s: float | None, now: float) -> None:
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
        link.heard_at = now
        if heard_s is not None:
            link.confirmed_at = max(link.confirmed_at, now - heard_s)

    def renew_unconfirmed(self, now: float) -> list[str]:
        """Replace connections without recent confirmation, and return the names of their peers."""
        renewed = []
        for node, link in self._links.items():
            if now - link.confirmed_at > _UNCONFIRMED_SECONDS:
                self._close(link.socket)
                link.socket = self._open(link.address)
                link.confirmed_at = now
                link.is_new = True
                renewed.append(node)
        return renewed

    def due_beats(self, now: float) -> Iterator[tuple[zmq.Socket, bool, float | None]]:
        """Start the next tick and yield the connections on which a heartbeat is due.

        Yields
        ------
        tuple
            The socket, whether the peer is sent a heartbeat at each tick, and the seconds since
            the last heartbeat of the peer arrived, or None if there was none.
        """
        self._turn += 1
        frequent = self._plan.frequent()
        for number, (node, link) in enumerate(self._links.items()):
            is_frequent = node in frequent
            # Infrequent heartbeats are spread over the ticks.
            is_turn = (self._turn + number) % self._plan.seldom == 0
            if is_frequent or is_turn or link.is_new:
                link.is_new = False
                yield link.socket, is_frequent, self._heard_s(link, now)

    @staticmethod
    def _heard_s(link: _Link, now: float) -> float | None:
        return None if link.heard_at is None else now - link.heard_at

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

"""Entry daemons whose paths to the store, to workers and to each other can be cut for groups.

All paths pass proxies, which tell the daemons apart by the addresses that these connect from. Data
that is sent over a cut path arrives once the path is open again, as after a network partition.
"""

import contextlib
import select
import socket
import struct
import subprocess
import sys
import threading
from collections.abc import Callable, Collection

from tests.standins.entry_cluster import EntryCluster, EntryProcess
from tests.standins.ports import free_port
from tests.standins.proxied_daemon import PEER_LISTEN_VARIABLE, SOURCE_VARIABLE

__all__ = ["STORE", "CutCluster", "CutProcess", "Network", "cut_apart", "cut_between", "cut_group"]

STORE = "store"
"""The store's name as an endpoint; nodes and workers have their own names."""

_CHUNK_BYTES = 65_536
_CONNECT_TIMEOUT_SECONDS = 2.0
_ACCEPT_TIMEOUT_SECONDS = 0.2
_CLOSE_POLL_SECONDS = 0.2
"""Interval of the checks whether a client has given up, which bounds the open sockets."""

_LINGER_RESET = struct.pack("ii", 1, 0)

IsCut = Callable[[str, str], bool]
"""Whether the path from one endpoint to another is cut, by their names."""


def cut_between(senders: Collection[str], receivers: Collection[str]) -> IsCut:
    """Cut the paths from some endpoints to others, in that direction only."""
    return lambda sender, receiver: sender in senders and receiver in receivers


def cut_apart(some: Collection[str], others: Collection[str]) -> IsCut:
    """Cut the paths between some endpoints and others, in both directions."""
    return lambda sender, receiver: (
        (sender in some and receiver in others) or (sender in others and receiver in some)
    )


def cut_group(group: Collection[str], sends: bool = False, hears: bool = False) -> IsCut:
    """Cut a group of endpoints off from all others.

    With ``sends``, what the group sends still arrives outside, and with ``hears``, the reverse.
    """

    def is_cut(sender: str, receiver: str) -> bool:
        if (sender in group) == (receiver in group):
            return False
        return not (sends if sender in group else hears)

    return is_cut


class Network:
    """The paths between all endpoints, and which of them are cut."""

    def __init__(self) -> None:
        self._is_cut: IsCut = lambda _sender, _receiver: False
        self._changed = threading.Condition()
        self._nodes: dict[str, str] = {}

    def cut(self, *cuts: IsCut) -> None:
        """Replace all cuts."""
        with self._changed:
            self._is_cut = lambda sender, receiver: any(cut(sender, receiver) for cut in cuts)
            self._changed.notify_all()

    def add_node(self, ip: str, node: str) -> None:
        self._nodes[ip] = node

    def wait_open(self, sender: str, receiver: str, seconds: float | None = None) -> bool:
        """Wait until a path is open; return whether it is."""
        with self._changed:
            return self._changed.wait_for(lambda: not self._is_cut(sender, receiver), seconds)

    def find_sender(self, connection: socket.socket) -> str | None:
        """Return the node from whose address an accepted connection comes."""
        return self._nodes.get(connection.getpeername()[0])


class CutProxy:
    """Forwards connections to one endpoint while the paths to and from it are open."""

    def __init__(
        self, network: Network, target: str, name: str, listen: tuple[str, int] = ("127.0.0.1", 0)
    ) -> None:
        host, _, port = target.rpartition(":")
        self.name = name
        self._network = network
        self._target = (host, int(port))
        self._listener = socket.create_server(listen)
        self._listener.settimeout(_ACCEPT_TIMEOUT_SECONDS)
        self.address = "{}:{}".format(*self._listener.getsockname())
        self._sockets: set[socket.socket] = set()
        self._lock = threading.Lock()
        self._is_closed = False
        threading.Thread(target=self._accept, daemon=True).start()

    def close(self) -> None:
        self._is_closed = True
        with self._lock:
            sockets, self._sockets = self._sockets, set()
        for each in sockets:
            _reset(each)

    def _accept(self) -> None:
        while not self._is_closed:
            try:
                client, _ = self._listener.accept()
            except TimeoutError:
                continue
            except OSError:
                break
            client.settimeout(None)
            threading.Thread(target=self._serve, args=(client,), daemon=True).start()
        self._listener.close()

    def _serve(self, client: socket.socket) -> None:
        """Forward one connection, which is established only once its path is open."""
        with self._lock:
            self._sockets.add(client)
        sender = self._network.find_sender(client)
        if sender is None:
            self._drop(client)
            return
        while not self._is_open_both_ways(sender):
            if self._is_closed or _was_closed(client):
                self._drop(client)
                return
        try:
            server = socket.create_connection(self._target, _CONNECT_TIMEOUT_SECONDS)
        except OSError:
            self._drop(client)
            return
        server.settimeout(None)
        with self._lock:
            self._sockets.add(server)
        threading.Thread(
            target=self._forward, args=(server, client, self.name, sender), daemon=True
        ).start()
        self._forward(client, server, sender, self.name)

    def _is_open_both_ways(self, sender: str) -> bool:
        """Check whether the paths to and from a sender are open, or wait a moment for it."""
        return self._network.wait_open(
            sender, self.name, _CLOSE_POLL_SECONDS
        ) and self._network.wait_open(self.name, sender, _CLOSE_POLL_SECONDS)

    def _forward(
        self, source: socket.socket, sink: socket.socket, sender: str, receiver: str
    ) -> None:
        data = b"\0"
        while data:
            try:
                data = source.recv(_CHUNK_BYTES)
            except OSError:
                data = b""
            self._network.wait_open(sender, receiver)
            try:
                sink.sendall(data)
            except OSError:
                break
        # The other direction's thread ends with its socket, without waiting for more data.
        self._drop(source)
        self._drop(sink)

    def _drop(self, each: socket.socket) -> None:
        with self._lock:
            self._sockets.discard(each)
        with contextlib.suppress(OSError):
            each.shutdown(socket.SHUT_RDWR)
        with contextlib.suppress(OSError):
            each.close()


def _reset(each: socket.socket) -> None:
    with contextlib.suppress(OSError):
        each.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, _LINGER_RESET)
        each.shutdown(socket.SHUT_RDWR)
    with contextlib.suppress(OSError):
        each.close()


def _was_closed(client: socket.socket) -> bool:
    """Check whether the other end of a connection has closed it, even with data left to read."""
    poller = select.poll()
    try:
        poller.register(client, select.POLLRDHUP)
    except (OSError, ValueError):
        return True
    return bool(poller.poll(0))


class CutProcess(EntryProcess):
    """An entry daemon whose stated peer address is that of a proxy."""

    def __init__(self, cluster: "CutCluster", number: int) -> None:
        self.peer_proxy: CutProxy | None = None
        super().__init__(cluster, number)

    def environment(self) -> dict[str, str]:
        return {
            **super().environment(),
            PEER_LISTEN_VARIABLE: self._hidden_address,
            SOURCE_VARIABLE: self.ip,
        }

    def start(self) -> None:
        network = self.cluster.network
        if self.peer_proxy is None:
            self._hidden_address = f"{self.ip}:{free_port(self.ip)}"
            listen = (self.ip, self.peer)
            network.add_node(self.ip, self.node)
            self.peer_proxy = CutProxy(network, self._hidden_address, self.node, listen)
        with self.log.open("ab") as log:
            self.process = subprocess.Popen(
                [sys.executable, "-m", "tests.standins.proxied_daemon"],
                env=self.environment(),
                stdout=log,
                stderr=log,
            )


class CutCluster(EntryCluster):
    """Entry daemons, the store and the workers, all of whose paths may be cut in ``network``."""

    def __init__(self, nodes: int, workers: int = 3, work_s: float = 0.1) -> None:
        self.network = Network()
        super().__init__(
            nodes,
            workers,
            work_s,
            lambda target: CutProxy(self.network, target, STORE),
            CutProcess,
        )
        self.name_proxies()

    def name_proxies(self) -> None:
        """Name the workers' proxies, also of those that were added since."""
        for life, proxy in zip(list(self.workers.models), list(self.workers.proxies), strict=False):
            proxy.name = life

    @property
    def endpoints(self) -> set[str]:
        """The names of all endpoints."""
        return {STORE, *(node.node for node in self.nodes), *self.workers.models}

    def close(self) -> None:
        self.network.cut()
        super().close()
        for node in self.nodes:
            node.peer_proxy.close()

"""An entry daemon whose connections pass proxies that tell the nodes apart.

It connects from an address of its own, and listens for its peers at another address than it states
to them, where a proxy listens.
"""

import os
import socket

import zmq

from snowdock.entry import daemon
from snowdock.node.peers import PeerOptions

__all__ = ["PEER_LISTEN_VARIABLE", "SOURCE_VARIABLE"]

PEER_LISTEN_VARIABLE = "SNOWDOCK_TEST_PEER_LISTEN"
SOURCE_VARIABLE = "SNOWDOCK_TEST_SOURCE"
"""Names of the environment variables with the address to listen at, and to connect from."""


def _options_behind_proxy(_stated: str, *args, **options) -> PeerOptions:
    return PeerOptions(os.environ[PEER_LISTEN_VARIABLE], *args, **options)


class _BoundSocket(socket.socket):
    """A socket that connects from the node's address."""

    def connect(self, address) -> None:
        self._bind_source()
        super().connect(address)

    def connect_ex(self, address) -> int:
        self._bind_source()
        return super().connect_ex(address)

    def _bind_source(self) -> None:
        if self.family == socket.AF_INET:
            # The port is chosen when connecting, when it need not be free for other addresses.
            self.setsockopt(socket.IPPROTO_IP, _IP_BIND_ADDRESS_NO_PORT, 1)
            self.bind((os.environ[SOURCE_VARIABLE], 0))


_IP_BIND_ADDRESS_NO_PORT = 24


class _BoundPeerSocket(zmq.Socket):
    """A socket that connects to peers from the node's address."""

    def connect(self, address: str):
        host = address.replace("tcp://", f"tcp://{os.environ[SOURCE_VARIABLE]}:0;")
        return super().connect(host)


class _BoundContext(zmq.Context):
    _socket_class = _BoundPeerSocket


def main() -> None:
    """Run the daemon."""
    daemon.PeerOptions = _options_behind_proxy
    socket.socket = _BoundSocket
    zmq.Context = _BoundContext
    daemon.main()


if __name__ == "__main__":
    main()

"""An entry daemon that listens for its peers at another address than it states to them.

A proxy at the stated address can then cut its paths to and from each of them. Its HTTP connections
leave from its own loopback address, by which a proxy knows it.
"""

import contextlib
import os
import socket
from collections.abc import Callable

from snowdock.entry import daemon
from snowdock.node.peers import PeerOptions

__all__ = ["PEER_LISTEN_VARIABLE"]

_IP_BIND_ADDRESS_NO_PORT = 24
"""Socket option by which the port of a bound address is chosen on connecting; not in `socket`."""

PEER_LISTEN_VARIABLE = "SNOWDOCK_TEST_PEER_LISTEN"
"""Name of the environment variable with the address to listen at."""


def _hide(_stated: str, *args, **options) -> PeerOptions:
    return PeerOptions(os.environ[PEER_LISTEN_VARIABLE], *args, **options)


def _connect_from(ip: str, connect: Callable) -> Callable:
    def bind_and_connect(self: socket.socket, address) -> int | None:
        # A second call for a non-blocking connection finds the socket bound.
        with contextlib.suppress(OSError):
            self.setsockopt(socket.IPPROTO_IP, _IP_BIND_ADDRESS_NO_PORT, 1)
            self.bind((ip, 0))
        return connect(self, address)

    return bind_and_connect


def _leave_from(ip: str) -> None:
    """Open all connections of Python sockets from an address."""
    for name in ("connect", "connect_ex"):
        setattr(socket.socket, name, _connect_from(ip, getattr(socket.socket, name)))


if __name__ == "__main__":
    _leave_from(os.environ[PEER_LISTEN_VARIABLE].rpartition(":")[0])
    daemon.PeerOptions = _hide
    daemon.main()

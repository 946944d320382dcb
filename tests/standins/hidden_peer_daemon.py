"""An entry daemon that listens for its peers at another address than it states to them.

A proxy at the stated address can then cut its paths to and from each of them.
"""

import os

from snowdock.entry import daemon
from snowdock.node.peers import PeerOptions

__all__ = ["PEER_LISTEN_VARIABLE"]

PEER_LISTEN_VARIABLE = "SNOWDOCK_TEST_PEER_LISTEN"
"""Name of the environment variable with the address to listen at."""


def _hide(_stated: str, *args, **options) -> PeerOptions:
    return PeerOptions(os.environ[PEER_LISTEN_VARIABLE], *args, **options)


if __name__ == "__main__":
    daemon.PeerOptions = _hide
    daemon.main()

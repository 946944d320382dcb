"""Ports for processes that are told where to listen."""

import random
import socket

__all__ = ["free_port"]

_PORTS = range(10_000, 32_768)
"""Below the ports that Linux gives to outgoing connections, any of which could take a port between
its choice and the start of the process that is to listen there."""

_random = random.SystemRandom()
_returned: set[tuple[str, int]] = set()


def free_port(ip: str = "127.0.0.1") -> int:
    """Return a port of an address that nothing uses, and that was not returned before."""
    while True:
        port = _random.choice(_PORTS)
        if (ip, port) not in _returned and _is_free(ip, port):
            _returned.add((ip, port))
            return port


def _is_free(ip: str, port: int) -> bool:
    with socket.socket() as probe:
        try:
            probe.bind((ip, port))
        except OSError:
            return False
    return True

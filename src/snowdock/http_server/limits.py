"""Limits on the connections of one HTTP server, and how they follow from the VM's size."""

import dataclasses

__all__ = [
    "CONNECTION_BYTES",
    "DECODED_FACTOR",
    "RECEIVE_BUFFER_BYTES",
    "SMALL_REQUEST_BYTES",
    "ConnectionLimits",
    "budget_bytes",
    "max_connections",
]

RECEIVE_BUFFER_BYTES = 8192
"""Receive buffer that is requested for each connection; Linux keeps up to twice as much. Bytes that
have arrived and are not read yet count as memory of the VM."""

CONNECTION_BYTES = 2 * RECEIVE_BUFFER_BYTES + 8192
"""Most that a connection keeps beside its requests: its receive buffer, and its objects."""

SMALL_REQUEST_BYTES = 16_384
"""A request up to this size is read as soon as it arrives, and may use the whole budget. All
requests that the platform's clients send are smaller."""

DECODED_FACTOR = 4
"""What a body takes while it is handled, in multiples of its size: the body, its decoded form, and
the record of it."""

_BUDGET_SHARE = 1 / 8
"""Share of the VM's memory for requests that are not answered yet. A node uses about half of the
smallest VM's memory without any."""

_CONNECTIONS_SHARE = 1 / 4
"""Share of the VM's memory for connections, beside their requests."""


@dataclasses.dataclass(frozen=True, slots=True)
class ConnectionLimits:
    """The limits of one server.

    Attributes
    ----------
    connections
        Connections that are served at once.
    budget_bytes
        Most bytes of requests that are not answered yet, and of answers that are not read yet.
    header_bytes, body_bytes
        Largest head and body of a request that are accepted.
    header_timeout_s
        Seconds from the first byte of a request to the end of its head.
    body_timeout_s
        Seconds from the end of a request's head to that of its body, and for reading an answer.
    idle_timeout_s
        Seconds without any bytes after which a connection is closed.
    """

    connections: int
    budget_bytes: int
    header_bytes: int = 65_536
    body_bytes: int = 1_000_000
    header_timeout_s: float = 10.0
    body_timeout_s: float = 30.0
    idle_timeout_s: float = 60.0

    @property
    def room_bytes(self) -> int:
        """The budget, raised so that one request with the largest legal body always fits."""
        largest = 2 * DECODED_FACTOR * (self.body_bytes + self.header_bytes)
        return max(self.budget_bytes, largest)

    @property
    def bulk_room_bytes(self) -> int:
        """The part of the budget that requests which are not small may use."""
        return self.room_bytes * 3 // 4


def budget_bytes(memory_mb: float) -> int:
    """Return the budget of a VM with ``memory_mb`` MB of memory."""
    return int(memory_mb * 1_000_000 * _BUDGET_SHARE)


def max_connections(memory_mb: float) -> int:
    """Return the number of connections that a VM with ``memory_mb`` MB of memory can keep."""
    return int(memory_mb * 1_000_000 * _CONNECTIONS_SHARE / CONNECTION_BYTES)

"""How fast a connection advances, and which connections are closed when room runs out."""

import heapq
import math
from collections.abc import Callable, Iterable
from typing import TypeVar

from .limits import SMALL_REQUEST_BYTES

__all__ = ["Progress", "choose_victims", "is_nearly_whole"]

_Connection = TypeVar("_Connection")

_RATE_SECONDS = 1.0
"""Time constant of the rate: a client that stalls for a few seconds has lost its credit."""

_NEARLY_WHOLE_SHARE = 0.8
"""Share of a body from which on its request is nearly whole."""

_NEARLY_WHOLE_SECONDS = 1.0
"""A request whose client has been silent for longer is not about to be whole, however little of it
is missing."""


class Progress:
    """The rate at which bytes arrive, which decays while none do.

    A new connection starts with the credit of a small request.

    Parameters
    ----------
    now
        The time in seconds on the monotonic clock.
    """

    __slots__ = ("_advanced_at", "_bytes_per_s")

    def __init__(self, now: float) -> None:
        self._advanced_at = now
        self._bytes_per_s = SMALL_REQUEST_BYTES / _RATE_SECONDS

    @property
    def advanced_at(self) -> float:
        """When bytes last moved."""
        return self._advanced_at

    def rate(self, now: float) -> float:
        """Return the present rate, in bytes per second."""
        return self._bytes_per_s * math.exp((self._advanced_at - now) / _RATE_SECONDS)

    def advance(self, size: int, now: float) -> None:
        """Record that ``size`` bytes moved."""
        self._bytes_per_s = self.rate(now) + size / _RATE_SECONDS
        self._advanced_at = now


def is_nearly_whole(received: int, expected: int, silent_s: float) -> bool:
    """Return whether a body of a known length is about to be whole.

    Parameters
    ----------
    received, expected
        Bytes of the body.
    silent_s
        Seconds since bytes last arrived.
    """
    return silent_s < _NEARLY_WHOLE_SECONDS and received >= _NEARLY_WHOLE_SHARE * expected


def choose_victims(
    connections: Iterable[_Connection],
    kept_bytes: Callable[[_Connection], int],
    rate: Callable[[_Connection], float],
    most: int,
) -> list[_Connection]:
    """Return the connections that keep most and advance least, the worst one first.

    Parameters
    ----------
    connections
        Those that may be closed.
    kept_bytes, rate
        What a connection keeps, in bytes, and its rate in bytes per second.
    most
        Number of connections to return at most.
    """
    return heapq.nlargest(most, connections, key=lambda c: kept_bytes(c) / (1.0 + rate(c)))

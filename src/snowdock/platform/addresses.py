"""Addresses of external systems: an IPv4 address and a port."""

import ipaddress
import re

from ..errors import PlatformError

__all__ = ["split_address"]

_LARGEST_PORT = 65_535

_PORT = re.compile(r"[0-9]{1,5}")
"""A port's digits; `int` raises ValueError for thousands of them."""


def split_address(address: str) -> tuple[str, int]:
    """Return the IPv4 address and the port of an address.

    Raises
    ------
    PlatformError
        If it is anything else, such as a host name.
    """
    host, _, port = address.rpartition(":")
    try:
        ipaddress.IPv4Address(host)
    except ValueError as error:
        raise PlatformError(f"invalid IP address in {address[:60]!r}") from error
    if not (_PORT.fullmatch(port) and 0 < int(port) <= _LARGEST_PORT):
        raise PlatformError(f"invalid port in {address[:60]!r}")
    return host, int(port)

"""Ids of requests: version 7 UUIDs, whose first 48 bits are their birth in milliseconds.

The time lets a node refuse an id whose record may have been dropped, instead of running the
request a second time.
"""

import secrets
import time
import uuid

__all__ = ["new_request_id", "request_time_ms"]

_VERSION = 7


def new_request_id(now_ms: int | None = None) -> str:
    """Make an id for a new request."""
    created_ms = int(time.time() * 1000) if now_ms is None else now_ms
    value = (created_ms & (2**48 - 1)) << 80 | secrets.randbits(80)
    value = value & ~(0xF << 76) | _VERSION << 76
    value = value & ~(0x3 << 62) | 0x2 << 62
    return str(uuid.UUID(int=value))


def request_time_ms(text: str) -> int | None:
    """Tell when an id was made, or None where it is not a version 7 UUID in lower case."""
    try:
        value = uuid.UUID(text)
    except ValueError:
        return None
    if value.version != _VERSION or str(value) != text:
        return None
    return value.int >> 80

"""The entries that workers keep in the platform's store, decoded into types.

An entry may come from another writer. One that lacks a field, or holds one of another type, out of
its range, or with a word that is not known here, names no worker: nothing in it is guessed.
"""

import ipaddress
from typing import Annotated, Literal

import msgspec
from msgspec import UNSET, Meta

from ..declarations import Size
from ..errors import PlatformError
from ..jobs.lives import format_life
from ..jobs.workers import WorkerEntry
from ._json import BornMs, decode_born_ms, decode_json

__all__ = ["WORKER_TOPIC", "decode_worker_entry"]

WORKER_TOPIC = "keyed.servers"

_Amount = Annotated[int, Meta(ge=0, le=1_000_000_000)]
_Name = Annotated[str, Meta(min_length=1, max_length=255)]
_LARGEST_PORT = 65_535


class _Capacity(msgspec.Struct):
    cpu: _Amount
    mem_mb: _Amount
    gpu: _Amount


class _Entry(msgspec.Struct):
    service: _Name
    address: str
    zone: str
    version: str
    slots: _Amount
    # A draining worker takes nothing new.
    state: Literal["ready", "draining"]
    cold_left_ms: Annotated[float, Meta(ge=0)]
    capacity: _Capacity
    # The worker's kind and its rack, in this order of usefulness but not of position: the
    # rack is the label that names a rack, e.g. "r1-3".
    labels: list[str]
    seq: Annotated[int, Meta(ge=0)]
    born: BornMs = UNSET
    remaining_ms: float | None = None


def _check_address(address: str) -> None:
    """Tell an IP number and port from anything else; a call to anything else could not be made."""
    host, _, port = address.rpartition(":")
    try:
        ipaddress.IPv4Address(host)
    except ValueError as error:
        raise PlatformError(f"not an address: {address[:60]!r}") from error
    if not (port.isascii() and port.isdigit() and 0 < int(port) <= _LARGEST_PORT):
        raise PlatformError(f"not a port: {address[:60]!r}")


def _find_rack(labels: list[str]) -> str:
    for label in labels:
        if label.startswith("r") and "-" in label:
            return label
    return labels[-1] if labels else ""


def decode_worker_entry(key: str, data: bytes) -> WorkerEntry:
    """Decode a worker's entry; its key is the worker's id.

    Raises
    ------
    PlatformError
        If it does not fit.
    """
    entry = decode_json(data, _Entry, f"worker entry {key[:60]!r}")
    _check_address(entry.address)
    capacity = entry.capacity
    return WorkerEntry(
        life=format_life(key, decode_born_ms(entry.born)),
        service=entry.service,
        address=entry.address,
        hall=entry.zone,
        rack=_find_rack(entry.labels),
        labels=frozenset(entry.labels),
        capacity=Size(capacity.cpu, capacity.mem_mb, capacity.gpu),
        draining=entry.state != "ready",
        remaining_ms=entry.remaining_ms,
    )

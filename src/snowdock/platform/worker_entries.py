"""Decoding of the workers' entries in the platform's store.

Entries are validated strictly, because other programs may write to the same topic: an entry with a
missing field, a wrong type, an unknown value or a value out of range is rejected.
"""

import re
from typing import Annotated, Literal

import msgspec
from msgspec import UNSET, Meta

from ..declarations import Size
from ..errors import PlatformError
from ..jobs.lives import format_life, worker_id_of
from ..jobs.model import Amount
from ..jobs.workers import WorkerEntry
from ._json import MAX_STORED_INT, BornMs, decode_born_ms, decode_json
from .addresses import split_address

__all__ = ["WORKER_TOPIC", "decode_worker_entry"]

WORKER_TOPIC = "keyed.servers"

_Name = Annotated[str, Meta(min_length=1, max_length=255)]

_WORKER_ID = re.compile(r"[!-~]{1,255}")
"""Visible ASCII characters, since a worker's id is sent as a header."""


class _Capacity(msgspec.Struct):
    cpu: Amount
    mem_mb: Amount
    gpu: Amount


class _Entry(msgspec.Struct):
    service: _Name
    address: str
    zone: str
    version: str
    slots: Amount
    # A draining worker accepts no new tasks.
    state: Literal["ready", "draining"]
    cold_left_ms: Annotated[float, Meta(ge=0)]
    capacity: _Capacity
    # In no fixed order; one of them is the rack, e.g. "r1-3".
    labels: list[str]
    seq: Annotated[int, Meta(ge=0, le=MAX_STORED_INT)]
    born: BornMs = UNSET
    remaining_ms: float | None = None


def _make_life(worker: str, born: BornMs) -> str:
    """Return the identifier of a worker's life.

    Raises
    ------
    PlatformError
        If the worker's id cannot be sent as a header, or reads like the life of another worker.
    """
    life = format_life(worker, decode_born_ms(born))
    if not _WORKER_ID.fullmatch(worker) or worker_id_of(life) != worker:
        raise PlatformError(f"invalid worker id {worker[:60]!r}")
    return life


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
        If the entry is malformed.
    """
    entry = decode_json(data, _Entry, f"worker entry {key[:60]!r}")
    split_address(entry.address)
    capacity = entry.capacity
    return WorkerEntry(
        life=_make_life(key, entry.born),
        service=entry.service,
        address=entry.address,
        hall=entry.zone,
        rack=_find_rack(entry.labels),
        labels=frozenset(entry.labels),
        capacity=Size(capacity.cpu, capacity.mem_mb, capacity.gpu),
        draining=entry.state != "ready",
        remaining_ms=entry.remaining_ms,
    )

"""The entries that workers keep in the platform's store, decoded into types."""

import msgspec

from ..declarations import Size
from ..jobs.workers import WorkerEntry
from ._json import decode_json

__all__ = ["WORKER_TOPIC", "decode_worker_entry"]

WORKER_TOPIC = "keyed.servers"


class _Capacity(msgspec.Struct):
    cpu: int = 0
    mem_mb: int = 0
    gpu: int = 0


class _Entry(msgspec.Struct):
    service: str
    address: str
    zone: str = ""
    # "ready" or "draining"; a draining worker takes nothing new.
    state: str = "ready"
    capacity: _Capacity = msgspec.field(default_factory=_Capacity)
    # The worker's kind and its rack, in this order of usefulness but not of position: the
    # rack is the label that names a rack, e.g. "r1-3".
    labels: list[str] = []
    remaining_ms: float | None = None
    machine: str = ""


def _find_rack(labels: list[str]) -> str:
    for label in labels:
        if label.startswith("r") and "-" in label:
            return label
    return labels[-1] if labels else ""


def decode_worker_entry(key: str, data: bytes) -> WorkerEntry:
    """Decode a worker's entry; the key names this life of the worker.

    Raises
    ------
    PlatformError
        If it does not fit.
    """
    entry = decode_json(data, _Entry, f"worker entry {key}", strict=False)
    capacity = entry.capacity
    return WorkerEntry(
        life=key,
        service=entry.service,
        address=entry.address,
        hall=entry.zone,
        rack=_find_rack(entry.labels),
        labels=frozenset(entry.labels),
        capacity=Size(capacity.cpu, capacity.mem_mb, capacity.gpu),
        draining=entry.state != "ready",
        remaining_ms=entry.remaining_ms,
    )

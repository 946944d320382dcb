"""Stand-in of the platform's store: a partitioned log with keyed topics, in memory.

It follows the page on the wire: the limits of a record, of a call and of what a partition keeps,
conditions, producers, waiting reads, and pages of the newest records.
"""

import asyncio
import base64
import collections
import dataclasses
import json
import struct
import time

from .http_server import HttpServer, Reply, Request

__all__ = ["StoreLimits", "StoreStandin"]

_PAGE_ITEMS = 500
_PAGE_BYTES = 1_000_000
_DEFAULT_READ_KB = 1024
_MAX_READ_WAIT_SECONDS = 30.0
_KEPT_PRODUCER_ANSWERS = 5
_MAX_QUEUE_SECONDS = 2.0


@dataclasses.dataclass(frozen=True, slots=True)
class StoreLimits:
    """Limits of the store, under the names that the settings file has for them."""

    record_bytes: int = 262_144
    call_bytes: int = 2_097_152
    keep_s: float = 20.0
    part_mb: float = 200.0
    append_ms: float = 2.0
    part_mb_s: float = 20.0


@dataclasses.dataclass(slots=True)
class _Producer:
    epoch: int
    sequence: int
    answers: dict[int, tuple[int, int]] = dataclasses.field(default_factory=dict)


class _Partition:
    """Records of one partition, the newest of each key, and its producers."""

    def __init__(self) -> None:
        self.first = 0
        self.kept: collections.deque[tuple[float, bytes]] = collections.deque()
        self.kept_bytes = 0
        self.newest: dict[str, tuple[int, bytes]] = {}
        self.producers: dict[str, _Producer] = {}
        self.busy_until = 0.0
        self.changed = asyncio.Event()

    @property
    def end(self) -> int:
        return self.first + len(self.kept)

    def add(self, record: bytes, limits: StoreLimits) -> None:
        key_end = 1 + record[0]
        key, value = record[1:key_end].decode(), record[key_end:]
        if value:
            self.newest[key] = (self.end, value)
        else:
            self.newest.pop(key, None)
        now = time.monotonic()
        self.kept.append((now, record))
        self.kept_bytes += len(record)
        most_bytes = limits.part_mb * 1_000_000
        while self.kept and (self.kept[0][0] < now - limits.keep_s or self.kept_bytes > most_bytes):
            self.kept_bytes -= len(self.kept.popleft()[1])
            self.first += 1

    def notify(self) -> None:
        changed, self.changed = self.changed, asyncio.Event()
        changed.set()


class StoreStandin:
    """The store.

    While `is_silent` is set, no call is carried out and none is answered; the connections of the
    calls that came meanwhile are closed afterwards.

    Attributes
    ----------
    refused
        Appends refused because a record or a call was too long: topic, partition and bytes.
    """

    def __init__(self, limits: StoreLimits) -> None:
        self._limits = limits
        self._parts: dict[tuple[str, int], _Partition] = {}
        self._up = asyncio.Event()
        self._up.set()
        self._server = HttpServer(self._handle)
        self.refused: list[tuple[str, int, int]] = []

    async def start(self, host: str) -> None:
        """Start serving."""
        await self._server.start(host)

    @property
    def address(self) -> str:
        """The IP address and port."""
        return self._server.address

    @property
    def is_silent(self) -> bool:
        """Whether the store answers nothing."""
        return not self._up.is_set()

    def set_silent(self, is_silent: bool) -> None:
        """Begin or end an outage in which the store answers nothing."""
        if is_silent:
            self._up.clear()
        else:
            self._up.set()

    def put(self, topic: str, key: str, value: object) -> None:
        """Append a record as the operator or a server does; None drops the key."""
        name = key.encode()
        data = b"" if value is None else json.dumps(value).encode()
        part = self._part(topic, 0)
        part.add(bytes((len(name),)) + name + data, self._limits)
        part.notify()

    def _part(self, topic: str, number: int) -> _Partition:
        return self._parts.setdefault((topic, number), _Partition())

    async def _handle(self, request: Request) -> Reply | None:
        reply = None if self.is_silent else await self._answer(request)
        if self.is_silent:
            await self._up.wait()
            return None
        return reply

    async def _answer(self, request: Request) -> Reply:
        topic, number = request.query["topic"], int(request.query["part"])
        part = self._part(topic, number)
        if request.path == "/v1/log-append":
            return await self._append(part, topic, number, request)
        if request.path == "/v1/log-read":
            return await self._read(part, request.query)
        if request.path == "/v1/log-newest":
            return self._read_newest(part, request.query.get("after", ""))
        return Reply(404)

    async def _append(self, part: _Partition, topic: str, number: int, request: Request) -> Reply:
        records = _split_records(request.body)
        longest = max(map(len, records), default=0)
        limits = self._limits
        if longest > limits.record_bytes or len(request.body) > limits.call_bytes:
            self.refused.append((topic, number, longest))
            return _json({"reason": "size"}, 413)
        now = time.monotonic()
        if part.busy_until - now > _MAX_QUEUE_SECONDS:
            return Reply(503)
        took_s = limits.append_ms / 1000 + len(request.body) / (limits.part_mb_s * 1_000_000)
        part.busy_until = max(part.busy_until, now) + took_s
        await asyncio.sleep(part.busy_until - now)
        if self.is_silent:
            # The call came just before the outage and is not carried out.
            return Reply(503)
        return self._append_in_turn(part, records, request.query)

    def _append_in_turn(
        self, part: _Partition, records: list[bytes], query: dict[str, str]
    ) -> Reply:
        producer = None
        if "producer" in query:
            epoch, sequence = int(query["epoch"]), int(query["seq"])
            producer = part.producers.get(query["producer"])
            if producer is not None and epoch < producer.epoch:
                return _json({"reason": "fenced"}, 409)
            if producer is None or epoch > producer.epoch:
                producer = part.producers[query["producer"]] = _Producer(epoch, sequence - 1)
            if sequence in producer.answers:
                offset, end = producer.answers[sequence]
                return _json({"offset": offset, "end": end})
            if sequence != producer.sequence + 1:
                return _json({"reason": "seq", "seq": producer.sequence + 1}, 409)
        if "as_of" in query and int(query["as_of"]) != part.end:
            return _json({"end": part.end}, 412)
        offset = part.end
        for record in records:
            part.add(record, self._limits)
        if producer is not None:
            producer.sequence = sequence
            producer.answers[sequence] = (offset, part.end)
            producer.answers.pop(sequence - _KEPT_PRODUCER_ANSWERS, None)
        if records:
            part.notify()
        return _json({"offset": offset, "end": part.end})

    async def _read(self, part: _Partition, query: dict[str, str]) -> Reply:
        start = int(query["from"])
        wait_s = min(_MAX_READ_WAIT_SECONDS, int(query.get("wait_ms", "0")) / 1000)
        deadline = time.monotonic() + wait_s
        while part.end <= start and start >= part.first:
            remaining_s = deadline - time.monotonic()
            if remaining_s <= 0:
                break
            try:
                await asyncio.wait_for(part.changed.wait(), remaining_s)
            except TimeoutError:
                break
        if start < part.first:
            return _json({"first": part.first}, 410)
        most = int(query.get("max_kb", _DEFAULT_READ_KB)) * 1024
        chunks = [struct.pack(">QQ", part.end, part.first)]
        size = 0
        for number in range(start - part.first, len(part.kept)):
            record = part.kept[number][1]
            size += len(record)
            if size > most and len(chunks) > 1:
                break
            chunks.append(struct.pack(">I", len(record)) + record)
        return Reply(200, b"".join(chunks), "application/octet-stream")

    @staticmethod
    def _read_newest(part: _Partition, after: str) -> Reply:
        keys = sorted(key for key in part.newest if key > after)
        items = []
        size = 0
        for key in keys[:_PAGE_ITEMS]:
            offset, value = part.newest[key]
            size += len(value)
            if size > _PAGE_BYTES and items:
                break
            items.append({"key": key, "value": base64.b64encode(value).decode(), "offset": offset})
        return _json({"items": items, "has_more": len(items) < len(keys), "end": part.end})


def _split_records(body: bytes) -> list[bytes]:
    records = []
    position = 0
    while position < len(body):
        (length,) = struct.unpack_from(">I", body, position)
        records.append(body[position + 4 : position + 4 + length])
        position += 4 + length
    return records


def _json(value: object, status: int = 200) -> Reply:
    return Reply(status, json.dumps(value).encode())

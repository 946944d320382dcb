"""Client of the platform's store, a partitioned log with keyed topics."""

import base64
import dataclasses
import json
import re
import struct
from collections.abc import Iterable, Iterator
from urllib.parse import quote

import msgspec

from ..clocks import steady_seconds
from ..errors import (
    AppendConflict,
    AppendRejected,
    CallUnanswered,
    LogExpired,
    PlatformError,
    ProducerFenced,
    StoreRefused,
)
from ._json import decode_json
from .http_pool import HttpPool, HttpReply

__all__ = [
    "AppendLimits",
    "KeyedRecord",
    "Producer",
    "StoreClient",
    "StorePage",
    "split_records",
]

_LENGTH_PREFIX = struct.Struct(">I")
_PAGE_HEADER = struct.Struct(">QQ")
_LONG_POLL_SLACK_SECONDS = 0.7
"""Added to the wait of a long poll for its timeout; leaves room for a store that takes 0.3 s,
which is 70 times its normal time."""

_MAX_KEY_BYTES = 255
"""Longest key, since a record states its length in one byte."""

_MAX_LOGGED_KEY_CHARS = 60
"""Length to which keys are truncated in logs."""

_REPLACEMENT = "\ufffd"
_LONE_SURROGATE = re.compile("[\ud800-\udfff]")

_REFUSAL_STATUSES = (408, 429, 503, 507)


@dataclasses.dataclass(frozen=True, slots=True)
class AppendLimits:
    """The longest record, and the longest append, that the store takes; in bytes.

    A record's length is that of its key and value, and one byte more. Each record of an append
    counts with four bytes more than its length.
    """

    record_bytes: int = 262_144
    call_bytes: int = 2_097_152


@dataclasses.dataclass(frozen=True, slots=True)
class KeyedRecord:
    """A record of a keyed topic; ``value`` is None if the key was deleted."""

    key: str
    value: bytes | None
    offset: int = -1

    @property
    def short_key(self) -> str:
        """The key, truncated for logs; other programs may write long ones."""
        return self.key[:_MAX_LOGGED_KEY_CHARS]

    @property
    def size(self) -> int:
        """The record's length in bytes, as the store counts it."""
        return 1 + len(self.key.encode()) + len(self.value or b"")

    @property
    def append_size(self) -> int:
        """What the record adds to the length of an append, in bytes."""
        return _LENGTH_PREFIX.size + self.size


@dataclasses.dataclass(frozen=True, slots=True)
class StorePage:
    """Records read, and the offset of the next read.

    ``is_cut`` is whether the partition had further records when the page was made: a page has a
    megabyte of records at most.
    """

    records: list[KeyedRecord]
    next_offset: int
    is_cut: bool = False


@dataclasses.dataclass(frozen=True, slots=True)
class Producer:
    """Identity of a writer; appends with a lower epoch of the same name are fenced off."""

    name: str
    epoch: int
    sequence: int


class _Appended(msgspec.Struct):
    offset: int = -1
    end: int = -1


class _Conflict(msgspec.Struct):
    reason: str = ""
    end: int = -1
    first: int = 0


class _Item(msgspec.Struct):
    key: str
    offset: int
    value: str = ""


class _NewestPage(msgspec.Struct):
    items: list[_Item]
    has_more: bool
    end: int


def _encode_record(record: KeyedRecord) -> bytes:
    key = record.key.encode()
    body = bytes((len(key),)) + key + (record.value or b"")
    return _LENGTH_PREFIX.pack(len(body)) + body


def _decode_records(data: bytes, first_offset: int) -> list[KeyedRecord]:
    records = []
    position = 0
    while position + _LENGTH_PREFIX.size <= len(data):
        (length,) = _LENGTH_PREFIX.unpack_from(data, position)
        position += _LENGTH_PREFIX.size
        body = data[position : position + length]
        position += length
        # Another program's record may be empty, or shorter than its key length says.
        key_end = 1 + (body[0] if body else 0)
        value = body[key_end:]
        key = body[1:key_end].decode("utf-8", "replace")
        records.append(KeyedRecord(key, value or None, first_offset + len(records)))
    return records


def split_records(
    records: Iterable[KeyedRecord], limits: AppendLimits
) -> Iterator[list[KeyedRecord]]:
    """Yield records in their order, in lists that the store takes as one append each."""
    batch: list[KeyedRecord] = []
    size = 0
    for record in records:
        if batch and size + record.append_size > limits.call_bytes:
            yield batch
            batch, size = [], 0
        batch.append(record)
        size += record.append_size
    if batch:
        yield batch


def _check_sizes(topic: str, records: list[KeyedRecord], limits: AppendLimits) -> None:
    """Check an append against the store's limits.

    Raises
    ------
    AppendRejected
        If a key, a record, or the append as a whole, is too long.
    """
    for record in records:
        if len(record.key.encode()) > _MAX_KEY_BYTES:
            raise AppendRejected(
                f"key {record.key[:_MAX_KEY_BYTES]!r} of {topic} has more than "
                f"{_MAX_KEY_BYTES} bytes"
            )
        if record.size > limits.record_bytes:
            raise AppendRejected(
                f"record {record.key!r} of {topic} has {record.size} bytes; "
                f"the store takes {limits.record_bytes}"
            )
    total = sum(record.append_size for record in records)
    if total > limits.call_bytes:
        raise AppendRejected(
            f"append of {len(records)} records to {topic} has {total} bytes; "
            f"the store takes {limits.call_bytes}"
        )


def _decode_value(item: _Item) -> bytes:
    """Return a record's bytes; a value that isn't Base64 is returned as it is, for its decoder."""
    try:
        return base64.b64decode(item.value, validate=True)
    except ValueError:
        return item.value.encode("utf-8", "replace")


def _decode(reply: HttpReply, model: type):
    return decode_json(reply.data, model, "store response")


def _decode_newest_page(reply: HttpReply) -> _NewestPage:
    """Decode a page of newest records.

    Keys are chosen by other programs and may not be UTF-8. What is not is replaced, as in `read`.
    """
    try:
        return _decode(reply, _NewestPage)
    except PlatformError:
        text = _replace_invalid_text(reply.data)
        return decode_json(text.encode(), _NewestPage, "store response")


def _replace_invalid_text(data: bytes) -> str:
    """Return JSON with U+FFFD in place of bytes that are not UTF-8 and of lone surrogates.

    Raises
    ------
    PlatformError
        If it is not JSON even so.
    """
    try:
        # The standard library accepts lone surrogates, which msgspec does not.
        value = json.loads(data.decode("utf-8", "replace"))
    except (ValueError, RecursionError) as error:
        raise PlatformError(f"invalid store response: {error}") from error
    return _LONE_SURROGATE.sub(_REPLACEMENT, json.dumps(value, ensure_ascii=False))


def _find_last_key(items: list[_Item], used: set[str], partition: str) -> str:
    """Return the key of a page after which to read on.

    A key with replaced bytes is used only if there is no other, since the store does not have it
    and may repeat records after it.

    Raises
    ------
    PlatformError
        If the page repeats a key after which the list was read on.
    """
    keys = [item.key for item in items]
    if not used.isdisjoint(keys):
        raise PlatformError(f"page of {partition} up to {keys[-1]!r} does not advance")
    sound = [key for key in keys if _REPLACEMENT not in key]
    return (sound or keys)[-1]


class StoreClient:
    """Appends records to topics of the store and reads them.

    Parameters
    ----------
    address
        IP address and port of the store.
    connections
        Most connections that are kept open.
    node
        Name of the node, part of the user agent.
    limits
        The longest records and appends that the store takes.
    """

    def __init__(
        self,
        address: str,
        connections: int,
        node: str = "",
        limits: AppendLimits = AppendLimits(),
    ) -> None:
        self._limits = limits
        self._connections = connections
        self._headers = {"User-Agent": f"snowdock/{node}"}
        self._http = HttpPool(address, connections, self._headers)
        self._answered_at = 0.0

    @property
    def answered_at(self) -> float:
        """Time of the last successful call, in steady seconds."""
        return self._answered_at

    @property
    def limits(self) -> AppendLimits:
        """The longest records and appends that the store takes."""
        return self._limits

    def set_address(self, address: str) -> None:
        """Use another address for all later calls."""
        self._http = HttpPool(address, self._connections, self._headers)

    def set_limits(self, limits: AppendLimits) -> None:
        """Apply other limits to all later appends."""
        self._limits = limits

    def append(
        self,
        topic: str,
        part: int,
        records: list[KeyedRecord],
        timeout_s: float,
        *,
        producer: Producer | None = None,
        expected_end: int | None = None,
    ) -> int:
        """Append records, all or none, and return the offset of the first.

        Parameters
        ----------
        topic, part
            The keyed topic and its partition.
        records
            Records to append; an empty list only sets the producer's epoch.
        timeout_s
            Timeout for each part of the response, in seconds.
        producer
            Makes the append idempotent and fences off producers with a lower epoch.
        expected_end
            Append only if the partition ends at this offset.

        Raises
        ------
        StoreRefused
            If the store rejected the append, but may take it later.
        AppendRejected
            If the append exceeds the store's limits, or the store rejected it for good.
        AppendConflict
            If the partition ends elsewhere, or the sequence number has a gap.
        ProducerFenced
            If a producer with a higher epoch has appended.
        CallUnanswered
            If the append may have been carried out, or may be later.
        """
        _check_sizes(topic, records, self._limits)
        target = f"/v1/log-append?topic={quote(topic)}&part={part}"
        if producer is not None:
            target += (
                f"&producer={quote(producer.name)}&epoch={producer.epoch}&seq={producer.sequence}"
            )
        if expected_end is not None:
            target += f"&as_of={expected_end}"
        body = b"".join(map(_encode_record, records))
        reply = self._call("POST", target, body, timeout_s)
        if reply.status == 200:
            return _decode(reply, _Appended).offset
        self._raise_for_status(reply, AppendRejected)
        raise CallUnanswered(f"append returned status {reply.status}", False)

    def _call(self, method: str, target: str, body: bytes | None, timeout_s: float) -> HttpReply:
        reply = self._http.call(method, target, body, timeout_s)
        if reply.status == 200:
            self._answered_at = steady_seconds()
        return reply

    @staticmethod
    def _raise_for_status(reply: HttpReply, rejection: type[PlatformError] = PlatformError) -> None:
        if reply.status in _REFUSAL_STATUSES:
            raise StoreRefused(f"the store returned status {reply.status}")
        if reply.status == 412:
            raise AppendConflict("unexpected end of the partition", _decode(reply, _Conflict).end)
        if reply.status == 409:
            conflict = _decode(reply, _Conflict)
            if conflict.reason == "fenced":
                raise ProducerFenced("a producer with a higher epoch has appended")
            raise AppendConflict(f"append conflict: {conflict.reason}", conflict.end)
        if reply.status == 410:
            raise LogExpired("these records have expired", _decode(reply, _Conflict).first)
        if 400 <= reply.status < 500:
            raise rejection(f"the store returned status {reply.status}: {reply.data[:200]!r}")

    def read(self, topic: str, part: int, offset: int, wait_seconds: float) -> StorePage:
        """Read records from an offset on, waiting up to ``wait_seconds`` for the first.

        Raises
        ------
        LogExpired
            If records from that offset on have expired; call `newest` instead.
        StoreRefused, CallUnanswered, PlatformError
            If there is no usable response.
        """
        wait_ms = round(wait_seconds * 1000)
        target = f"/v1/log-read?topic={quote(topic)}&part={part}&from={offset}&wait_ms={wait_ms}"
        timeout_s = wait_seconds + _LONG_POLL_SLACK_SECONDS
        reply = self._call("GET", target, None, timeout_s)
        if reply.status != 200:
            self._raise_for_status(reply)
            raise CallUnanswered(f"read returned status {reply.status}", False)
        if len(reply.data) < _PAGE_HEADER.size:
            raise PlatformError(f"the store's page has only {len(reply.data)} bytes")
        end, _first = _PAGE_HEADER.unpack_from(reply.data)
        records = _decode_records(reply.data[_PAGE_HEADER.size :], offset)
        # A page may end before the partition; an empty one means no records before its end.
        next_offset = offset + len(records) if records else max(offset, end)
        return StorePage(records, next_offset, is_cut=next_offset < end)

    def newest(self, topic: str, part: int, timeout_s: float) -> StorePage:
        """Read the newest record of each key, page by page.

        The pages aren't a snapshot: records appended in the meantime may be included or not.
        ``next_offset`` is the partition's end at the first page, so that reading on from there
        misses no record.

        Raises
        ------
        StoreRefused, CallUnanswered, PlatformError
            If there is no usable response.
        """
        records: list[KeyedRecord] = []
        first_end = None
        target = first_page = f"/v1/log-newest?topic={quote(topic)}&part={part}"
        used: set[str] = set()
        while True:
            reply = self._call("GET", target, None, timeout_s)
            if reply.status != 200:
                self._raise_for_status(reply)
                raise CallUnanswered(f"newest returned status {reply.status}", False)
            page = _decode_newest_page(reply)
            first_end = page.end if first_end is None else first_end
            for item in page.items:
                records.append(KeyedRecord(item.key, _decode_value(item), item.offset))
            if not page.has_more:
                return StorePage(records, first_end)
            if not page.items:
                raise PlatformError(f"page of {topic}[{part}] has no items but more")
            after = _find_last_key(page.items, used, f"{topic}[{part}]")
            used.add(after)
            target = f"{first_page}&after={quote(after)}"

"""What is known of callers whose earlier attempts were not accepted.

Responds to callers that return after a refusal or an outage, often at another node: they keep the
time of their first attempt, and are not refused while an earlier attempt may have been accepted.
"""

import collections
import dataclasses
import hashlib
import itertools
from collections.abc import Iterable
from typing import Annotated

import msgspec
from msgspec import Meta

from ..errors import DECODE_ERRORS, InvalidInput

__all__ = [
    "MAX_CALLERS",
    "CallerEntry",
    "CallerHistory",
    "CallerNews",
    "KnownCaller",
    "caller_key",
    "decode_news",
    "encode_news",
]

MAX_CALLERS = 4096
_RETENTION_SECONDS = 30.0
"""Bounds of the history. Callers give up about 3 s after their first attempt, so that even 1,300
refused callers in a second are kept until they give up."""

_EARLIER_SECONDS = 0.05
"""An entry of a peer counts as earlier only by more than this, a few times the resolution and the
transit time of an age, so that nodes do not pass the same entry back and forth."""

_EVICTION_SCAN = 64
"""Oldest entries that are searched for one whose outcome is known before an entry is evicted."""

_KEY_BYTES = 8

_MAX_NEWS_ENTRIES = 256
"""Entries of a heartbeat beyond which it counts as invalid; twice as many as any node sends."""


class CallerEntry(msgspec.Struct, array_like=True, frozen=True):
    """A caller as sent to peers.

    Attributes
    ----------
    key
        The `caller_key` of its job.
    age_ms
        Time since its first attempt. An age does not depend on the wall clocks of two nodes.
    is_in_doubt
        Whether an earlier attempt may have been accepted.
    """

    key: Annotated[bytes, Meta(max_length=_KEY_BYTES)]
    age_ms: Annotated[int, Meta(ge=0)]
    is_in_doubt: bool = False


class CallerNews(msgspec.Struct, array_like=True, frozen=True):
    """What a node's heartbeats tell of callers.

    Attributes
    ----------
    entries
        Callers with a recent change.
    node_count
        For a leader: number of live nodes, among which the load of a summary's cluster is divided.
    """

    entries: Annotated[list[CallerEntry], Meta(max_length=_MAX_NEWS_ENTRIES)] = []
    node_count: Annotated[int, Meta(ge=0)] = 0


def encode_news(news: CallerNews) -> bytes:
    """Encode news for a heartbeat."""
    return msgspec.msgpack.encode(news)


def decode_news(data: bytes) -> CallerNews:
    """Decode the news of a heartbeat.

    Raises
    ------
    InvalidInput
        If the data cannot be decoded.
    """
    try:
        return msgspec.msgpack.decode(data, type=CallerNews)
    except DECODE_ERRORS as error:
        raise InvalidInput(f"cannot decode news of callers: {error}") from error


@dataclasses.dataclass(frozen=True, slots=True)
class KnownCaller:
    """A caller with the time of its first attempt, and whether an earlier attempt is in doubt."""

    first_seen: float
    is_in_doubt: bool


@dataclasses.dataclass(slots=True)
class _Caller:
    first_seen: float
    is_in_doubt: bool
    changed_at: float
    is_own: bool


def caller_key(record_name: str) -> bytes:
    """Return the key of a caller's job, given the name of its record, which includes the team."""
    return hashlib.blake2b(record_name.encode(), digest_size=_KEY_BYTES).digest()


class CallerHistory:
    """Callers by the key of their job, bounded in number and time; the oldest are dropped first."""

    def __init__(self) -> None:
        # In the order of their last change.
        self._callers: collections.OrderedDict[bytes, _Caller] = collections.OrderedDict()

    def __len__(self) -> int:
        return len(self._callers)

    def find(self, key: bytes, now: float) -> KnownCaller | None:
        """Return a caller, or None if it is not known."""
        self._drop_expired(now)
        caller = self._callers.get(key)
        return KnownCaller(caller.first_seen, caller.is_in_doubt) if caller else None

    def record(self, key: bytes, first_seen: float, is_in_doubt: bool, now: float) -> None:
        """Record a caller whose attempt on this node was refused or has an unknown outcome."""
        self._update(key, first_seen, is_in_doubt, now, is_own=True)

    def merge(self, entries: Iterable[CallerEntry], now: float) -> None:
        """Add the entries of a peer."""
        for entry in itertools.islice(entries, MAX_CALLERS):
            first_seen = now - max(0, entry.age_ms) / 1000
            if now - first_seen < _RETENTION_SECONDS:
                self._update(entry.key, first_seen, entry.is_in_doubt, now, is_own=False)

    def list_changed(self, since: float, now: float, limit: int, own: bool) -> list[CallerEntry]:
        """Return the entries that have changed since a time, newest first.

        Parameters
        ----------
        since, now
            Start of the period, and the current time.
        limit
            Most entries to return.
        own
            Whether to return only those recorded on this node, and none of its peers.
        """
        self._drop_expired(now)
        recent = itertools.takewhile(
            lambda item: item[1].changed_at >= since, reversed(self._callers.items())
        )
        found = (
            CallerEntry(key, max(0, round((now - caller.first_seen) * 1000)), caller.is_in_doubt)
            for key, caller in recent
            if caller.is_own or not own
        )
        return list(itertools.islice(found, limit))

    def _update(
        self, key: bytes, first_seen: float, is_in_doubt: bool, now: float, is_own: bool
    ) -> None:
        caller = self._callers.get(key)
        if caller is None:
            self._make_room(now)
            self._callers[key] = _Caller(first_seen, is_in_doubt, now, is_own)
            return
        is_earlier = first_seen < caller.first_seen - _EARLIER_SECONDS
        caller.first_seen = min(first_seen, caller.first_seen)
        if is_earlier or (is_in_doubt and not caller.is_in_doubt):
            caller.is_in_doubt = caller.is_in_doubt or is_in_doubt
            caller.changed_at, caller.is_own = now, is_own
            self._callers.move_to_end(key)

    def _make_room(self, now: float) -> None:
        """Drop an entry if the history is full; one in doubt only if there are many of them."""
        self._drop_expired(now)
        if len(self._callers) < MAX_CALLERS:
            return
        oldest = itertools.islice(self._callers.items(), _EVICTION_SCAN)
        settled = (key for key, caller in oldest if not caller.is_in_doubt)
        del self._callers[next(settled, next(iter(self._callers)))]

    def _drop_expired(self, now: float) -> None:
        while self._callers:
            key = next(iter(self._callers))
            if now - self._callers[key].changed_at < _RETENTION_SECONDS:
                return
            del self._callers[key]

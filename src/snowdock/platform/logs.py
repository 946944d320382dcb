"""The platform's append-only log service."""

import dataclasses

import msgspec

from ..errors import LogExpired
from ._http import HttpClient
from ._json import decode_json

__all__ = ["LogClient", "LogPage", "RawEntry"]

_LONG_POLL_SLACK_SECONDS = 2.0


@dataclasses.dataclass(frozen=True, slots=True)
class RawEntry:
    """One append as the log holds it."""

    offset: int
    data: bytes


@dataclasses.dataclass(frozen=True, slots=True)
class LogPage:
    """Entries read, and the offset that the next append will get."""

    entries: list[RawEntry]
    end: int


class _Appended(msgspec.Struct):
    offset: int


class _Page(msgspec.Struct):
    first: int
    end: int
    entries: list[tuple[int, bytes]]


class LogClient:
    """Appends to and reads from one stream of the log."""

    def __init__(self, client: HttpClient, url: str) -> None:
        self._client = client
        self._url = url

    def append(self, data: bytes) -> int:
        """Append and give back the offset.

        Raises
        ------
        PlatformError
            If the answer did not come; the append may have taken effect.
        """
        answer = self._client.request("POST", f"{self._url}/append", data)
        return decode_json(answer, _Appended).offset

    def read(self, offset: int, wait_seconds: float) -> LogPage:
        """Read entries from an offset on, waiting a while for the first.

        Raises
        ------
        LogExpired
            If the offset is older than the log's first entry.
        PlatformError
            If there is no whole answer.
        """
        url = f"{self._url}/read?from={offset}&wait_ms={round(wait_seconds * 1000)}"
        timeout = wait_seconds + _LONG_POLL_SLACK_SECONDS
        page = msgspec.msgpack.decode(self._read_page(url, timeout), type=_Page)
        if offset < page.first:
            raise LogExpired(f"offset {offset} is gone, first is {page.first}", page.first)
        return LogPage([RawEntry(number, data) for number, data in page.entries], page.end)

    def _read_page(self, url: str, timeout: float) -> bytes:
        return self._client.request("GET", url, timeout=timeout)

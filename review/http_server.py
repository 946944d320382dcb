"""A small HTTP/1.1 server and client for the stand-ins, on the standard library only."""

import asyncio
import contextlib
import dataclasses
from collections.abc import Awaitable, Callable
from urllib.parse import parse_qsl, urlsplit

__all__ = ["HttpServer", "Reply", "Request", "call"]

_CLIENT_SECONDS = 5.0
"""Time-out of a client's call."""


@dataclasses.dataclass(frozen=True, slots=True)
class Request:
    """A request as read from a connection; the names of headers are in lower case."""

    method: str
    path: str
    query: dict[str, str]
    headers: dict[str, str]
    body: bytes


@dataclasses.dataclass(frozen=True, slots=True)
class Reply:
    """A response: its status, body and content type."""

    status: int
    body: bytes = b""
    content_type: str = "application/json"


Handler = Callable[[Request], Awaitable[Reply | None]]
"""Handles a request; None closes the connection without a response."""


class HttpServer:
    """Serves one handler on a free loopback port, with connections that are kept open."""

    def __init__(self, handle: Handler) -> None:
        self._handle = handle
        self._server: asyncio.Server | None = None
        self._writers: set[asyncio.StreamWriter] = set()
        self.address = ""

    async def start(self, host: str) -> None:
        """Listen on a free port of a loopback address."""
        self._server = await asyncio.start_server(self._serve, host, 0, backlog=512)
        port = self._server.sockets[0].getsockname()[1]
        self.address = f"{host}:{port}"

    def close(self) -> None:
        """Stop listening and close all connections, as the end of a process does."""
        self._server.close()
        for writer in self._writers:
            writer.transport.abort()

    async def _serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        self._writers.add(writer)
        # A connection that is still open when the case ends is cancelled.
        ended = (ConnectionError, asyncio.IncompleteReadError, asyncio.CancelledError)
        with contextlib.suppress(*ended):
            while True:
                request = await _read_request(reader)
                if request is None:
                    break
                reply = await self._handle(request)
                if reply is None:
                    break
                head = (
                    f"HTTP/1.1 {reply.status} X\r\nContent-Type: {reply.content_type}\r\n"
                    f"Content-Length: {len(reply.body)}\r\n\r\n"
                )
                writer.write(head.encode() + reply.body)
                await writer.drain()
        self._writers.discard(writer)
        with contextlib.suppress(ConnectionError):
            writer.close()


async def _read_request(reader: asyncio.StreamReader) -> Request | None:
    line = (await reader.readline()).decode("latin-1").split()
    if len(line) < 2:
        return None
    headers = await _read_headers(reader)
    body = await reader.readexactly(int(headers.get("content-length", "0")))
    target = urlsplit(line[1])
    return Request(line[0], target.path, dict(parse_qsl(target.query)), headers, body)


async def _read_headers(reader: asyncio.StreamReader) -> dict[str, str]:
    headers = {}
    while True:
        line = (await reader.readline()).decode("latin-1").strip()
        if not line:
            return headers
        name, _, value = line.partition(":")
        headers[name.lower()] = value.strip()


async def call(
    address: str, method: str, path: str, headers: dict[str, str], body: bytes = b""
) -> tuple[int, bytes]:
    """Send a request over a connection of its own; return status 0 if there is no response."""
    try:
        return await asyncio.wait_for(_call(address, method, path, headers, body), _CLIENT_SECONDS)
    except (OSError, ValueError, IndexError, TimeoutError, asyncio.IncompleteReadError):
        return 0, b""


async def _call(
    address: str, method: str, path: str, headers: dict[str, str], body: bytes
) -> tuple[int, bytes]:
    host, _, port = address.rpartition(":")
    reader, writer = await asyncio.open_connection(host, int(port))
    try:
        lines = [f"{method} {path} HTTP/1.1", *(f"{name}: {v}" for name, v in headers.items())]
        lines += [f"Content-Length: {len(body)}", "Connection: close", "", ""]
        writer.write("\r\n".join(lines).encode() + body)
        await writer.drain()
        status = int((await reader.readline()).split()[1])
        answered = await _read_headers(reader)
        data = await reader.readexactly(int(answered.get("content-length", "0")))
        return status, data
    finally:
        writer.close()

"""Parsing of requests in bounded memory and in time that is linear in their size."""

from io import BytesIO

import httptools
from waitress.parser import (
    HTTPRequestParser,
    ParsingError,
    TransferEncodingNotImplemented,
)

from ..errors import BodyTooLarge, HeadTooLarge, InvalidInput, NotImplementedHere, SnowdockError
from .limits import DECODED_FACTOR
from .progress import is_nearly_whole

__all__ = ["RequestParser"]

_MAX_FIELDS = 100
"""Most header fields of a request; each takes some hundred bytes once parsed, however short."""

_PARSED_HEAD_FACTOR = 3
"""What a parsed head takes, in multiples of its size."""

_BLOCK_BYTES = 8192
"""Size from which on a block of a body is complete; one read returns as much."""

_HEAD_END = b"\r\n\r\n"

_CHUNKED_HEAD = b"POST / HTTP/1.1\r\nTransfer-Encoding: chunked\r\n\r\n"
"""Makes an HTTP parser expect a chunked body."""


class _Body:
    """The bytes of a body, in blocks of similar size.

    One growing array in each of many connections would fragment the heap.
    """

    __slots__ = ("_blocks", "_size", "_tail")

    def __init__(self) -> None:
        self._blocks: list[bytes] = []
        self._tail = bytearray()
        self._size = 0

    def __len__(self) -> int:
        return self._size

    def append(self, data: bytes) -> None:
        """Append bytes."""
        self._tail += data
        self._size += len(data)
        if len(self._tail) >= _BLOCK_BYTES:
            self._blocks.append(bytes(self._tail))
            self._tail.clear()

    def join(self) -> bytes:
        """Return all bytes."""
        return b"".join([*self._blocks, self._tail])


class _ChunkDecoder:
    """Decodes a chunked body with httptools, which keeps neither chunk lines nor trailers.

    Parameters
    ----------
    body
        The decoded bytes are appended to it.
    """

    def __init__(self, body: _Body) -> None:
        self._body = body
        self._messages = 0
        self.is_complete = False
        self._parser: httptools.HttpRequestParser | None = httptools.HttpRequestParser(self)
        self._parser.feed_data(_CHUNKED_HEAD)

    @property
    def has_more(self) -> bool:
        """Whether bytes of another request followed the body."""
        return self._messages > 1

    def feed(self, data: bytes) -> None:
        """Decode a part of the body.

        Raises
        ------
        InvalidInput
            If it is malformed.
        """
        if self._parser is None:
            return
        try:
            self._parser.feed_data(data)
        except (httptools.HttpParserError, httptools.HttpParserUpgrade) as error:
            if not self.is_complete:
                raise InvalidInput(f"malformed chunked body: {error}") from error
            self._messages += 1

    def close(self) -> None:
        """Release the body; the parser refers to this object and would keep it for a while."""
        self._parser = None
        self._body = _Body()

    def on_message_begin(self) -> None:
        """Count the messages; called by httptools."""
        self._messages += 1

    def on_body(self, data: bytes) -> None:
        """Append decoded bytes; called by httptools."""
        if not self.is_complete:
            self._body.append(data)

    def on_message_complete(self) -> None:
        """Note the end of the body; called by httptools."""
        self.is_complete = True


class RequestParser(HTTPRequestParser):
    """Collects one request.

    Unlike its base class, it counts the decoded bytes of a chunked body, accepts bodies of exactly
    the largest size, keeps no framing, uses no temporary files, and limits header fields.
    ``error`` is a `SnowdockError`.

    Parameters
    ----------
    adj
        Waitress's settings, with the largest head and body.
    """

    error: SnowdockError | None

    def __init__(self, adj) -> None:
        super().__init__(adj)
        self._head = bytearray()
        self._body = _Body()
        self._content = b""
        self._decoder: _ChunkDecoder | None = None
        self._bytes_received = 0

    @property
    def kept_bytes(self) -> int:
        """Bytes that the request keeps; once it is whole, those that handling it takes."""
        head = len(self._head) + _PARSED_HEAD_FACTOR * self.header_bytes_received
        return head + len(self._body) + DECODED_FACTOR * len(self._content)

    @property
    def bytes_received(self) -> int:
        """Bytes that arrived, the framing included."""
        return self._bytes_received

    def is_nearly_whole(self, silent_s: float) -> bool:
        """Return whether the body is about to be whole; that of a chunked one is not known."""
        is_known = self.headers_finished and self._decoder is None
        return is_known and is_nearly_whole(len(self._body), self.content_length, silent_s)

    def received(self, data: bytes) -> int:
        """Add bytes and return how many of them belong to this request."""
        if self.completed:
            return 0
        consumed = self._add_body(data) if self.headers_finished else self._add_head(data)
        self._bytes_received += consumed
        return consumed

    def get_body_stream(self) -> BytesIO:
        """Return the body as a stream."""
        return BytesIO(self._content)

    def close(self) -> None:
        """Release what the request keeps."""
        self._content = b""
        self._head = bytearray()
        self._release_body()

    def _release_body(self) -> None:
        self._body = _Body()
        if self._decoder is not None:
            self._decoder.close()

    def _fail(self, error: SnowdockError) -> None:
        self.error = error
        self.completed = True
        self.close()

    def _add_head(self, data: bytes) -> int:
        searched = max(0, len(self._head) - len(_HEAD_END) + 1)
        self._head += data
        found = self._head.find(_HEAD_END, searched)
        size = len(self._head) if found < 0 else found + len(_HEAD_END)
        consumed = len(data) - (len(self._head) - size)
        if size > self.adj.max_request_header_size:
            self._fail(
                HeadTooLarge(f"the head is larger than {self.adj.max_request_header_size} bytes")
            )
        elif found >= 0:
            # Blank lines before a request are allowed.
            self._parse_head(bytes(self._head[:size]).lstrip())
        return consumed

    def _parse_head(self, head: bytes) -> None:
        self._head = bytearray()
        self.headers_finished = True
        if not head:
            self.empty = True
            self.completed = True
            return
        if head.count(b"\r\n") > _MAX_FIELDS + 2:
            self._fail(HeadTooLarge(f"the head has more than {_MAX_FIELDS} fields"))
            return
        self.header_bytes_received = len(head)
        try:
            self.parse_header(head)
        except (ParsingError, ValueError) as error:
            # Waitress converts numbers of any length.
            self._fail(InvalidInput(str(error)))
            return
        except TransferEncodingNotImplemented as error:
            self._fail(NotImplementedHere(str(error)))
            return
        # The receivers of waitress would buffer the framing and write files.
        self.body_rcv = None
        if self.chunked:
            self._decoder = _ChunkDecoder(self._body)
        elif self.content_length > self.adj.max_request_body_size:
            self._fail_body()
        elif not self.content_length:
            self.completed = True

    def _fail_body(self) -> None:
        self._fail(BodyTooLarge(f"the body is larger than {self.adj.max_request_body_size} bytes"))

    def _add_body(self, data: bytes) -> int:
        if self._decoder is None:
            taken = data[: self.content_length - len(self._body)]
            self._body.append(taken)
            if len(self._body) == self.content_length:
                self._finish()
            return len(taken)
        try:
            self._decoder.feed(data)
        except InvalidInput as error:
            self._fail(error)
            return len(data)
        if len(self._body) > self.adj.max_request_body_size:
            self._fail_body()
        elif self._decoder.is_complete:
            if self._decoder.has_more:
                # Where the next request begins is unknown, so the client has to send it again.
                self.headers["CONNECTION"] = "close"
            self._finish()
        return len(data)

    def _finish(self) -> None:
        self._content = self._body.join()
        self._release_body()
        self.headers["CONTENT_LENGTH"] = str(len(self._content))
        self.completed = True

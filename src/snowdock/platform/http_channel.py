"""Non-blocking HTTP calls to one address, one at a time, on a shared event loop.

Responses are parsed incrementally by httptools.
"""

import dataclasses
import errno
import functools
import selectors
import socket
from collections.abc import Callable

import httptools

from ..clocks import steady_seconds
from ..errors import CallUnanswered, PlatformError
from .addresses import split_address
from .call_loop import CallLoop

__all__ = ["CallOutcome", "Handshake", "HttpChannel", "Reply"]

_CONNECT_SECONDS = 1.0
"""Connection timeout: a SYN within a region is answered in a few ms, and a lost one is
retransmitted after about a second."""

_READ_BYTES = 65_536
"""Most bytes read by one call of ``recv``; most responses have a few hundred bytes."""

_MAX_REPLY_BYTES = 64 * 1024 * 1024
"""Longest body of a response; 500 ends with a checkpoint of 128 KiB each fit. An endless one would
fill the node's memory."""

_MAX_LABEL_CHARS = 80
"""Length to which the address and the path of a call are truncated in messages."""


@dataclasses.dataclass(frozen=True, slots=True)
class Reply:
    """A complete HTTP response."""

    status: int
    data: bytes


CallOutcome = Reply | CallUnanswered
"""Result of a call; an unanswered call may have been carried out."""


@dataclasses.dataclass(frozen=True, slots=True)
class Handshake:
    """Request that is sent first over each new connection, to check which process answers.

    Attributes
    ----------
    path, body
        Path and body of the request.
    check
        Called with the reply. Returns None if calls may follow over this connection, or else the
        outcome of the pending call, which is then not sent.
    timeout_s
        Timeout for each part of the reply, in seconds. A handshake has no side effects, so this may
        be shorter than a call's timeout.
    max_attempts
        Most handshakes sent for one call, each over a new connection.
    """

    path: str
    body: bytes
    check: Callable[[Reply], CallOutcome | None]
    timeout_s: float
    max_attempts: int


class HttpChannel:
    """Calls to one address, one at a time, over a persistent connection.

    A connection never outlives the process at its other end, so every call after a handshake
    reaches the process that was checked, or none.

    Parameters
    ----------
    loop
        Event loop that makes the calls; all methods must be called on its thread.
    address
        IP address and port; calls to an invalid address fail as unsent.
    headers
        Headers sent with each call.
    handshake
        Request sent first over each new connection, if given.
    """

    def __init__(
        self,
        loop: CallLoop,
        address: str,
        headers: dict[str, str],
        handshake: Handshake | None = None,
    ) -> None:
        self._loop = loop
        self._address = address
        lines = [f"Host: {address}", *(f"{name}: {value}" for name, value in headers.items())]
        self._header_lines = "\r\n".join(lines).encode("utf-8", "replace")
        self._handshake = handshake
        self._is_handshaking = False
        self._handshakes_sent = 0
        self._request = b""
        self._socket: socket.socket | None = None
        self._is_connected = False
        self._watched_events = 0
        self._unsent = b""
        self._parser: httptools.HttpResponseParser | None = None
        self._body: list[bytes] = []
        self._body_bytes = 0
        self._is_complete = False
        self._keeps_alive = False
        self._on_outcome: Callable[[CallOutcome], None] | None = None
        self._call_label = ""
        self._timeout_s = 0.0
        self._deadline = 0.0
        self._timer_at = 0.0

    @property
    def is_busy(self) -> bool:
        """Whether a call is in progress."""
        return self._on_outcome is not None

    @property
    def _current_timeout_s(self) -> float:
        """Timeout for each part of the reply to the current request, in seconds."""
        return self._handshake.timeout_s if self._is_handshaking else self._timeout_s

    def call(
        self, path: str, body: bytes, timeout_s: float, on_outcome: Callable[[CallOutcome], None]
    ) -> None:
        """Send a POST request; no other call may be in progress.

        Parameters
        ----------
        path, body
            Path and body of the request.
        timeout_s
            Timeout for each part of the reply, in seconds.
        on_outcome
            Called with the outcome, on the loop's thread.
        """
        self._on_outcome = on_outcome
        self._call_label = f"POST {self._address[:_MAX_LABEL_CHARS]}{path[:_MAX_LABEL_CHARS]}"
        self._timeout_s = timeout_s
        self._handshakes_sent = 0
        self._request = self._format_request(path, body)
        if self._socket is None:
            self._connect()
        else:
            self._send_request(self._request)

    def _format_request(self, path: str, body: bytes) -> bytes:
        return b"POST %b HTTP/1.1\r\n%b\r\nContent-Length: %d\r\n\r\n%b" % (
            path.encode(),
            self._header_lines,
            len(body),
            body,
        )

    def close_if_idle(self) -> None:
        """Close the connection if no call is in progress.

        Used when another connection to the address has stopped responding, as this one may have
        too.
        """
        if not self.is_busy:
            self._disconnect()

    def close(self) -> None:
        """Close the connection; a call in progress gets no outcome."""
        self._on_outcome = None
        self._disconnect()

    def _check_deadline(self, now: float) -> None:
        """Fail the call if its deadline has passed."""
        if not self.is_busy or self._timer_at > now:
            return
        if self._deadline > now:
            self._set_timer(self._deadline)
            return
        if self._is_handshaking and self._handshakes_sent < self._handshake.max_attempts:
            self._disconnect()
            self._connect()
            return
        unsent = not self._is_connected
        self._fail("connection timed out" if unsent else "response timed out", unsent)

    # -- the connection --------------------------------------------------------------------

    def _connect(self) -> None:
        try:
            address = split_address(self._address)
            self._socket = socket.socket(socket.AF_INET, socket.SOCK_STREAM)
        except (PlatformError, OSError) as error:
            self._fail_later(str(error))
            return
        self._socket.setblocking(False)
        self._socket.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        error_number = self._socket.connect_ex(address)
        if error_number not in (0, errno.EINPROGRESS):
            self._close_socket()
            self._fail_later(_format_errno(error_number))
            return
        on_ready = functools.partial(self._handle_ready, self._socket)
        self._loop.watch(self._socket, selectors.EVENT_WRITE, on_ready)
        self._set_deadline(min(self._timeout_s, _CONNECT_SECONDS))

    def _fail_later(self, reason: str) -> None:
        """Fail a call that could not be sent, after the current callback.

        Its own callback may start a call that fails at once as well.
        """
        outcome = CallUnanswered(f"{self._call_label}: {reason}", True)
        self._loop.submit(functools.partial(self._finish_call, outcome))

    def _disconnect(self) -> None:
        if self._socket is None:
            return
        self._loop.unwatch(self._socket)
        self._close_socket()

    def _close_socket(self) -> None:
        self._socket.close()
        self._socket = None
        self._is_connected = False
        self._is_handshaking = False
        self._watched_events = 0

    def _handle_ready(self, ready_socket: socket.socket, events: int) -> None:
        if ready_socket is not self._socket:
            # The socket was closed by the callback of another socket in the same round.
            return
        if not self._is_connected:
            error_number = self._socket.getsockopt(socket.SOL_SOCKET, socket.SO_ERROR)
            if error_number:
                self._fail(_format_errno(error_number), unsent=True)
                return
            self._is_connected = True
            self._send_first_request()
        elif events & selectors.EVENT_READ:
            self._receive()
        elif events & selectors.EVENT_WRITE:
            self._send()

    # -- one call --------------------------------------------------------------------------

    def _send_first_request(self) -> None:
        """Send the handshake over a new connection, or the call if there is no handshake."""
        if self._handshake is None:
            self._send_request(self._request)
            return
        self._is_handshaking = True
        self._handshakes_sent += 1
        self._send_request(self._format_request(self._handshake.path, self._handshake.body))

    def _send_request(self, request: bytes) -> None:
        self._body = []
        self._body_bytes = 0
        self._is_complete = False
        self._parser = httptools.HttpResponseParser(self)
        self._unsent = request
        self._send()

    def _send(self) -> None:
        self._set_deadline(self._current_timeout_s)
        try:
            sent = self._socket.send(self._unsent)
        except BlockingIOError:
            sent = 0
        except OSError as error:
            self._fail(str(error), unsent=False)
            return
        self._unsent = self._unsent[sent:]
        events = selectors.EVENT_READ
        if self._unsent:
            events |= selectors.EVENT_WRITE
        if events != self._watched_events:
            self._watched_events = events
            self._loop.change_events(self._socket, events)

    def _receive(self) -> None:
        try:
            data = self._socket.recv(_READ_BYTES)
        except BlockingIOError:
            return
        except OSError as error:
            self._handle_connection_end(str(error))
            return
        if not data:
            self._handle_connection_end("the connection was closed")
            return
        if not self.is_busy:
            # Data without a request in progress can't be matched to a call.
            self._disconnect()
            return
        self._deadline = steady_seconds() + self._current_timeout_s
        try:
            self._parser.feed_data(data)
        except httptools.HttpParserError as error:
            self._fail(f"invalid HTTP response: {error}", unsent=False)
            return
        if self._body_bytes > _MAX_REPLY_BYTES:
            self._fail(f"response is longer than {_MAX_REPLY_BYTES} bytes", unsent=False)
        elif self._is_complete:
            self._handle_reply()

    def _handle_connection_end(self, reason: str) -> None:
        if self.is_busy:
            self._fail(reason, unsent=False)
        else:
            self._disconnect()

    def _handle_reply(self) -> None:
        reply = Reply(self._parser.get_status_code(), b"".join(self._body))
        if self._is_handshaking:
            self._handle_handshake_reply(reply)
            return
        if not self._keeps_alive:
            self._disconnect()
        self._finish_call(reply)

    def _handle_handshake_reply(self, reply: Reply) -> None:
        outcome = self._handshake.check(reply)
        if outcome is not None:
            self._disconnect()
            self._finish_call(outcome)
        elif not self._keeps_alive:
            self._fail("the connection was closed after the handshake", unsent=True)
        else:
            self._is_handshaking = False
            self._send_request(self._request)

    def _fail(self, reason: str, unsent: bool) -> None:
        # A call that waits for the handshake was not sent.
        unsent = unsent or self._is_handshaking
        self._disconnect()
        self._finish_call(CallUnanswered(f"{self._call_label}: {reason}", unsent))

    def _finish_call(self, outcome: CallOutcome) -> None:
        on_outcome, self._on_outcome = self._on_outcome, None
        if on_outcome is not None:
            on_outcome(outcome)

    def _set_deadline(self, timeout_s: float) -> None:
        self._deadline = steady_seconds() + timeout_s
        # An earlier pending timer is kept: it checks the deadline and sets the next timer.
        if self._timer_at > self._deadline or self._timer_at <= steady_seconds():
            self._set_timer(self._deadline)

    def _set_timer(self, at: float) -> None:
        self._timer_at = at
        self._loop.call_at(at, self._check_deadline)

    # -- called by httptools ---------------------------------------------------------------

    def on_body(self, data: bytes) -> None:
        """Append a part of the response's body."""
        self._body.append(data)
        self._body_bytes += len(data)

    def on_message_complete(self) -> None:
        """Mark the response as complete and record whether the connection is kept alive."""
        self._is_complete = True
        self._keeps_alive = self._parser.should_keep_alive()


def _format_errno(error_number: int) -> str:
    return errno.errorcode.get(error_number, str(error_number))

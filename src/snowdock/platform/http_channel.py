"""HTTP calls to one address, one at a time, made by a loop that makes many others beside.

Requests are written and answers parsed as they come, by httptools; nothing here waits.
"""

import dataclasses
import errno
import functools
import selectors
import socket
from collections.abc import Callable

import httptools

from ..clocks import steady_seconds
from ..errors import CallUnanswered
from .call_loop import CallLoop

__all__ = ["CallOutcome", "Handshake", "HttpChannel", "Reply"]

_CONNECT_SECONDS = 1.0
"""Longest wait for a connection: a path within a region answers in a few ms, a lost opening
packet is repeated after about a second."""

_READ_BYTES = 65_536
"""The most that is read at a time; an answer has some hundred bytes."""


@dataclasses.dataclass(frozen=True, slots=True)
class Reply:
    """A whole answer."""

    status: int
    data: bytes


CallOutcome = Reply | CallUnanswered
"""What came of a call; without an answer, it may have been carried out."""


@dataclasses.dataclass(frozen=True, slots=True)
class Handshake:
    """A call that goes first over each new connection.

    Attributes
    ----------
    path, body
        What is sent.
    judge
        Given its answer: None where calls may follow over this connection, else the outcome of the
        call that waited for it, which is not sent.
    seconds, tries
        The longest wait for each part of its answer, and over how many connections it is sent for
        one call at most: it changes nothing, so it is repeated sooner than a call.
    """

    path: str
    body: bytes
    check: Callable[[Reply], CallOutcome | None]
    timeout_s: float
    max_attempts: int


class HttpChannel:
    """Calls to one address, one at a time, over a connection that is kept between them.

    A connection never outlives the process at its other end. So where a greeting has told which
    process that is, all calls that follow over the connection reach it or nobody.

    Parameters
    ----------
    loop
        Makes the calls; all methods are to be called on its thread.
    address
        IP number and port.
    headers
        Sent with each call.
    greeting
        Sent first over each new connection, if given.
    """

    def __init__(
        self,
        loop: CallLoop,
        address: str,
        headers: dict[str, str],
        handshake: Handshake | None = None,
    ) -> None:
        self._loop = loop
        host, _, port = address.rpartition(":")
        self._host = host
        self._port = int(port)
        lines = [f"Host: {address}", *(f"{name}: {value}" for name, value in headers.items())]
        self._header_lines = "\r\n".join(lines).encode()
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
        self._is_complete = False
        self._keeps_alive = False
        self._on_outcome: Callable[[CallOutcome], None] | None = None
        self._call_label = ""
        self._timeout_s = 0.0
        self._deadline = 0.0
        self._timer_at = 0.0

    @property
    def is_busy(self) -> bool:
        """Whether a call is on its way."""
        return self._on_outcome is not None

    @property
    def _current_timeout_s(self) -> float:
        """The longest wait for a part of the answer to what is being sent, in seconds."""
        return self._handshake.timeout_s if self._is_handshaking else self._timeout_s

    def call(
        self, path: str, body: bytes, timeout_s: float, on_outcome: Callable[[CallOutcome], None]
    ) -> None:
        """Post a body; only while no call is on its way.

        Parameters
        ----------
        path, body
            What is sent.
        seconds
            The longest wait for each part of the answer.
        answered
            Called with the outcome, on the loop's thread.
        """
        self._on_outcome = on_outcome
        self._call_label = f"POST {self._host}:{self._port}{path[:80]}"
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
        """Use the connection no more if no call is on its way over it.

        Where one connection to an address has gone silent, others may have as well.
        """
        if not self.is_busy:
            self._disconnect()

    def close(self) -> None:
        """Close the connection; a call on its way gets no outcome any more."""
        self._on_outcome = None
        self._disconnect()

    def _check_deadline(self, now: float) -> None:
        """Give the call up if its time is over."""
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
        self._fail("no connection in time" if unsent else "no answer in time", unsent)

    # -- the connection --------------------------------------------------------------------

    def _connect(self) -> None:
        self._socket = socket.socket(socket.AF_INET, socket.SOCK_STREAM)
        self._socket.setblocking(False)
        self._socket.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        error_number = self._socket.connect_ex((self._host, self._port))
        if error_number not in (0, errno.EINPROGRESS):
            self._close_socket()
            # Told later: what is asked for in answer to it may fail at once, too.
            outcome = CallUnanswered(f"{self._call_label}: {_format_errno(error_number)}", True)
            self._loop.submit(functools.partial(self._finish_call, outcome))
            return
        on_ready = functools.partial(self._handle_ready, self._socket)
        self._loop.watch(self._socket, selectors.EVENT_WRITE, on_ready)
        self._set_deadline(min(self._timeout_s, _CONNECT_SECONDS))

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
            # It was given up by what another socket that is ready brought about.
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
        """Send the greeting over a new connection, or the call where there is none."""
        if self._handshake is None:
            self._send_request(self._request)
            return
        self._is_handshaking = True
        self._handshakes_sent += 1
        self._send_request(self._format_request(self._handshake.path, self._handshake.body))

    def _send_request(self, request: bytes) -> None:
        self._body = []
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
            # Nothing was asked; what this answers is unknown.
            self._disconnect()
            return
        self._deadline = steady_seconds() + self._current_timeout_s
        try:
            self._parser.feed_data(data)
        except httptools.HttpParserError as error:
            self._fail(f"not HTTP: {error}", unsent=False)
            return
        if self._is_complete:
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
            self._fail("the connection was not kept after the greeting", unsent=True)
        else:
            self._is_handshaking = False
            self._send_request(self._request)

    def _fail(self, reason: str, unsent: bool) -> None:
        # A call that waits for its greeting was not sent.
        unsent = unsent or self._is_handshaking
        self._disconnect()
        self._finish_call(CallUnanswered(f"{self._call_label}: {reason}", unsent))

    def _finish_call(self, outcome: CallOutcome) -> None:
        on_outcome, self._on_outcome = self._on_outcome, None
        if on_outcome is not None:
            on_outcome(outcome)

    def _set_deadline(self, timeout_s: float) -> None:
        self._deadline = steady_seconds() + timeout_s
        # An earlier reminder that is still to come looks at the limit anew.
        if self._timer_at > self._deadline or self._timer_at <= steady_seconds():
            self._set_timer(self._deadline)

    def _set_timer(self, at: float) -> None:
        self._timer_at = at
        self._loop.call_at(at, self._check_deadline)

    # -- called by httptools ---------------------------------------------------------------

    def on_body(self, data: bytes) -> None:
        """Take a part of the answer's body."""
        self._body.append(data)

    def on_message_complete(self) -> None:
        """Take note that the answer is whole, and whether the connection is kept."""
        self._is_complete = True
        self._keeps_alive = self._parser.should_keep_alive()


def _format_errno(error_number: int) -> str:
    return errno.errorcode.get(error_number, str(error_number))

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
from ..errors import CallUnanswered
from .call_loop import CallLoop

__all__ = ["Channel", "Greeting", "Outcome", "Reply"]

_CONNECT_SECONDS = 1.0
"""Connection timeout: a SYN within a region is answered in a few ms, and a lost one is
retransmitted after about a second."""

_READ_BYTES = 65_536
"""Most bytes read by one call of ``recv``; most responses have a few hundred bytes."""


@dataclasses.dataclass(frozen=True, slots=True)
class Reply:
    """A complete HTTP response."""

    status: int
    data: bytes


Outcome = Reply | CallUnanswered
"""Result of a call; an unanswered call may have been carried out."""


@dataclasses.dataclass(frozen=True, slots=True)
class Greeting:
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
    judge: Callable[[Reply], Outcome | None]
    seconds: float
    tries: int


class Channel:
    """Calls to one address, one at a time, over a persistent connection.

    A connection never outlives the process at its other end, so every call after a handshake
    reaches the process that was checked, or none.

    Parameters
    ----------
    loop
        Event loop that makes the calls; all methods must be called on its thread.
    address
        IP address and port.
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
        greeting: Greeting | None = None,
    ) -> None:
        self._loop = loop
        host, _, port = address.rpartition(":")
        self._host = host
        self._port = int(port)
        lines = [f"Host: {address}", *(f"{name}: {value}" for name, value in headers.items())]
        self._head = "\r\n".join(lines).encode()
        self._greeting = greeting
        self._is_greeting = False
        self._greetings_sent = 0
        self._request = b""
        self._socket: socket.socket | None = None
        self._is_connected = False
        self._watched = 0
        self._unsent = b""
        self._parser: httptools.HttpResponseParser | None = None
        self._body: list[bytes] = []
        self._is_whole = False
        self._is_kept = False
        self._answered: Callable[[Outcome], None] | None = None
        self._call = ""
        self._seconds = 0.0
        self._limit_at = 0.0
        self._reminded_at = 0.0

    @property
    def is_busy(self) -> bool:
        """Whether a call is in progress."""
        return self._answered is not None

    @property
    def _patience(self) -> float:
        """Timeout for each part of the reply to the current request, in seconds."""
        return self._greeting.seconds if self._is_greeting else self._seconds

    def call(
        self, path: str, body: bytes, seconds: float, answered: Callable[[Outcome], None]
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
        self._answered = answered
        self._call = f"POST {self._host}:{self._port}{path[:80]}"
        self._seconds = seconds
        self._greetings_sent = 0
        self._request = self._write(path, body)
        if self._socket is None:
            self._connect()
        else:
            self._begin(self._request)

    def _write(self, path: str, body: bytes) -> bytes:
        return b"POST %b HTTP/1.1\r\n%b\r\nContent-Length: %d\r\n\r\n%b" % (
            path.encode(),
            self._head,
            len(body),
            body,
        )

    def drop_idle(self) -> None:
        """Close the connection if no call is in progress.

        Used when another connection to the address has stopped responding, as this one may have
        too.
        """
        if not self.is_busy:
            self._disconnect()

    def close(self) -> None:
        """Close the connection; a call in progress gets no outcome."""
        self._answered = None
        self._disconnect()

    def _check_time(self, now: float) -> None:
        """Fail the call if its deadline has passed."""
        if not self.is_busy or self._reminded_at > now:
            return
        if self._limit_at > now:
            self._set_reminder(self._limit_at)
            return
        if self._is_greeting and self._greetings_sent < self._greeting.tries:
            self._disconnect()
            self._connect()
            return
        unsent = not self._is_connected
        self._fail("connection timed out" if unsent else "response timed out", unsent)

    # -- the connection --------------------------------------------------------------------

    def _connect(self) -> None:
        self._socket = socket.socket(socket.AF_INET, socket.SOCK_STREAM)
        self._socket.setblocking(False)
        self._socket.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        failure = self._socket.connect_ex((self._host, self._port))
        if failure not in (0, errno.EINPROGRESS):
            self._forget_socket()
            # Deferred, because the callback may start a call that fails at once as well.
            refused = CallUnanswered(f"{self._call}: {_describe(failure)}", True)
            self._loop.submit(functools.partial(self._conclude, refused))
            return
        ready = functools.partial(self._take_ready, self._socket)
        self._loop.watch(self._socket, selectors.EVENT_WRITE, ready)
        self._limit(min(self._seconds, _CONNECT_SECONDS))

    def _disconnect(self) -> None:
        if self._socket is None:
            return
        self._loop.unwatch(self._socket)
        self._forget_socket()

    def _forget_socket(self) -> None:
        self._socket.close()
        self._socket = None
        self._is_connected = False
        self._is_greeting = False
        self._watched = 0

    def _take_ready(self, ready: socket.socket, events: int) -> None:
        if ready is not self._socket:
            # The socket was closed by the callback of another socket in the same round.
            return
        if not self._is_connected:
            failure = self._socket.getsockopt(socket.SOL_SOCKET, socket.SO_ERROR)
            if failure:
                self._fail(_describe(failure), unsent=True)
                return
            self._is_connected = True
            self._greet()
        elif events & selectors.EVENT_READ:
            self._receive()
        elif events & selectors.EVENT_WRITE:
            self._send()

    # -- one call --------------------------------------------------------------------------

    def _greet(self) -> None:
        """Send the handshake over a new connection, or the call if there is no handshake."""
        if self._greeting is None:
            self._begin(self._request)
            return
        self._is_greeting = True
        self._greetings_sent += 1
        self._begin(self._write(self._greeting.path, self._greeting.body))

    def _begin(self, request: bytes) -> None:
        self._body = []
        self._is_whole = False
        self._parser = httptools.HttpResponseParser(self)
        self._unsent = request
        self._send()

    def _send(self) -> None:
        self._limit(self._patience)
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
        if events != self._watched:
            self._watched = events
            self._loop.rewatch(self._socket, events)

    def _receive(self) -> None:
        try:
            data = self._socket.recv(_READ_BYTES)
        except BlockingIOError:
            return
        except OSError as error:
            self._end_connection(str(error))
            return
        if not data:
            self._end_connection("the connection was closed")
            return
        if not self.is_busy:
            # Data without a request in progress can't be matched to a call.
            self._disconnect()
            return
        self._limit_at = steady_seconds() + self._patience
        try:
            self._parser.feed_data(data)
        except httptools.HttpParserError as error:
            self._fail(f"invalid HTTP response: {error}", unsent=False)
            return
        if self._is_whole:
            self._finish()

    def _end_connection(self, reason: str) -> None:
        if self.is_busy:
            self._fail(reason, unsent=False)
        else:
            self._disconnect()

    def _finish(self) -> None:
        reply = Reply(self._parser.get_status_code(), b"".join(self._body))
        if self._is_greeting:
            self._finish_greeting(reply)
            return
        if not self._is_kept:
            self._disconnect()
        self._conclude(reply)

    def _finish_greeting(self, reply: Reply) -> None:
        instead = self._greeting.judge(reply)
        if instead is not None:
            self._disconnect()
            self._conclude(instead)
        elif not self._is_kept:
            self._fail("the connection was closed after the handshake", unsent=True)
        else:
            self._is_greeting = False
            self._begin(self._request)

    def _fail(self, reason: str, unsent: bool) -> None:
        # A call that waits for the handshake was not sent.
        unsent = unsent or self._is_greeting
        self._disconnect()
        self._conclude(CallUnanswered(f"{self._call}: {reason}", unsent))

    def _conclude(self, outcome: Outcome) -> None:
        answered, self._answered = self._answered, None
        if answered is not None:
            answered(outcome)

    def _limit(self, seconds: float) -> None:
        self._limit_at = steady_seconds() + seconds
        # An earlier pending timer is kept: it checks the deadline and sets the next timer.
        if self._reminded_at > self._limit_at or self._reminded_at <= steady_seconds():
            self._set_reminder(self._limit_at)

    def _set_reminder(self, at: float) -> None:
        self._reminded_at = at
        self._loop.remind(at, self._check_time)

    # -- called by httptools ---------------------------------------------------------------

    def on_body(self, data: bytes) -> None:
        """Append a part of the response's body."""
        self._body.append(data)

    def on_message_complete(self) -> None:
        """Mark the response as complete and record whether the connection is kept alive."""
        self._is_whole = True
        self._is_kept = self._parser.should_keep_alive()


def _describe(failure: int) -> str:
    return errno.errorcode.get(failure, str(failure))

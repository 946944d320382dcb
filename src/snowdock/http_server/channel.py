"""One connection of a client: what it keeps, its deadlines, and how it is refused."""

import contextlib
import http
import socket

from waitress.channel import HTTPChannel

from ..clocks import steady_seconds
from ..errors import Overloaded, RequestTimedOut, SnowdockError
from ..node.http_models import not_run_response
from .limits import CONNECTION_BYTES, SMALL_REQUEST_BYTES, ConnectionLimits
from .progress import Progress
from .request_parser import RequestParser

__all__ = ["Channel"]

_LINGER_SECONDS = 2.0
"""How long a refused client may go on sending; a connection that is closed before would be reset,
and the client might not get its answer."""

_MIN_POLLS = 2
"""Rounds after which a request that arrived with a new connection has been read."""


class Channel(HTTPChannel):
    """A connection. Requests are parsed one at a time, after the answer to the one before.

    Only the I/O thread closes connections; worker threads leave a refusal for it.
    """

    parser_class = RequestParser

    def __init__(self, server, sock: socket.socket, addr, adj, map=None) -> None:
        now = steady_seconds()
        self._unparsed = b""
        self._progress = Progress(now)
        self._request_began_at = now
        self._head_ended_at = now
        self._served_at = now
        self._refusal: SnowdockError | None = None
        self._discards_until: float | None = None
        self._turn = 0
        self._polls = 0
        self._is_pipelined = False
        super().__init__(server, sock, addr, adj, map=map)

    @property
    def kept_bytes(self) -> int:
        """Bytes of requests that are not answered yet, and of answers that are not read yet."""
        requests = [*self.requests, self.request] if self.request else self.requests
        kept = sum(request.kept_bytes for request in tuple(requests))
        return kept + len(self._unparsed) + self.total_outbufs_len

    @property
    def is_pipelined(self) -> bool:
        """Whether the request in handling arrived before the answer to the one before it."""
        return self._is_pipelined

    @property
    def connection_bytes(self) -> int:
        """All bytes that the connection may keep."""
        return CONNECTION_BYTES + self.kept_bytes

    @property
    def is_discarding(self) -> bool:
        """Whether the client was refused, and what it sends is discarded."""
        return self._discards_until is not None

    @property
    def _is_to_refuse(self) -> bool:
        """Whether a refusal is to be carried out by the I/O thread."""
        return self.connected and self._refusal is not None and not self.is_discarding

    def rate(self, now: float) -> float:
        """Return the rate at which the connection advances, in bytes per second."""
        return 0.0 if self.is_discarding else self._progress.rate(now)

    def may_be_closed(self, now: float) -> bool:
        """Return whether no request is being handled, about to be whole, or possibly unread."""
        request = self.request
        if self.requests or self.will_close or self._polls < _MIN_POLLS:
            return False
        silent_s = now - self._progress.advanced_at
        return request is None or not request.is_nearly_whole(silent_s)

    def overdue_reason(self, now: float, limits: ConnectionLimits) -> str:
        """Return which deadline of the connection has passed, or an empty string."""
        if self._discards_until is not None:
            return "lingering" if now > self._discards_until else ""
        if self.requests or self.will_close:
            return ""
        request = self.request
        if self.total_outbufs_len:
            if now - self._served_at > limits.body_timeout_s:
                return "answer_unread"
        elif request is not None:
            if not request.headers_finished:
                if now - self._request_began_at > limits.header_timeout_s:
                    return "head_timeout"
            elif now - self._head_ended_at > limits.body_timeout_s:
                return "body_timeout"
        return "idle" if now - self._progress.advanced_at > limits.idle_timeout_s else ""

    # -- called by waitress on the I/O thread ----------------------------------------------

    def readable(self) -> bool:
        """Return whether to read, which for a long request is so in its turns."""
        if self.is_discarding:
            return True
        self._polls += 1
        return super().readable() and not self._unparsed and self.server.is_due(self._turn)

    def writable(self) -> bool:
        """Return whether there is something to send, or a refusal to carry out."""
        return bool(self._is_to_refuse or super().writable())

    def handle_read(self) -> None:
        """Read and parse what has arrived."""
        if self.is_discarding:
            with contextlib.suppress(OSError):
                # An empty read has closed the connection.
                self.recv(self.adj.recv_bytes)
            return
        super().handle_read()
        if not self.connected:
            return
        request = self.request
        is_long = request is not None and request.bytes_received > SMALL_REQUEST_BYTES
        self._turn = self.server.reserve_turn() if is_long else 0
        self.account()
        self.server.enforce_budget(is_long)
        if self._is_to_refuse:
            self._refuse(self._refusal.code)

    def handle_write(self) -> None:
        """Send what is left of answers, then go on with pipelined requests."""
        if self._is_to_refuse:
            self._refuse(self._refusal.code)
            return
        unsent = self.total_outbufs_len
        super().handle_write()
        if self.total_outbufs_len < unsent:
            self._progress.advance(unsent - self.total_outbufs_len, steady_seconds())
        self._resume()
        self.account()

    def handle_close(self) -> None:
        """Close the connection and release what it keeps."""
        super().handle_close()
        self._release_request()
        self.account()

    def received(self, data: bytes) -> bool:
        """Parse bytes, up to the end of a request."""
        with self.requests_lock:
            if self.will_close or self.close_when_flushed or self._refusal:
                return False
            self._progress.advance(len(data), steady_seconds())
            self._unparsed += data
            self._parse(arrived=True)
        return True

    def _parse(self, arrived: bool) -> None:
        """Parse the next request, unless the client was refused; ``requests_lock`` is held.

        Parameters
        ----------
        arrived
            Whether the bytes have just been read, on the I/O thread.
        """
        while self._unparsed and not self.requests and self._refusal is None:
            if self.request is None:
                self.request = self.parser_class(self.adj)
                self._request_began_at = steady_seconds()
            request = self.request
            was_in_head = not request.headers_finished
            consumed = request.received(self._unparsed)
            self._unparsed = self._unparsed[consumed:]
            if was_in_head and request.headers_finished:
                self._head_ended_at = steady_seconds()
            if request.error is not None:
                self._refusal = request.error
            elif request.completed:
                self.request = None
                self.sent_continue = False
                if not request.empty:
                    self._admit(request, arrived)
            elif request.expect_continue and request.headers_finished and not self.sent_continue:
                self.send_continue()

    def _admit(self, request: RequestParser, arrived: bool) -> None:
        """Hand a whole request to a worker thread, or refuse it if there is no room for it."""
        self._is_pipelined = not arrived
        if self.server.has_room(self, request.kept_bytes, makes_room=arrived):
            self.requests.append(request)
            self.server.add_task(self)
        else:
            self._refusal = Overloaded("requests keep all of the node's room for them")

    # -- called on a worker thread ---------------------------------------------------------

    def service(self) -> None:
        """Handle a request, then go on with pipelined ones."""
        super().service()
        now = steady_seconds()
        self._served_at = now
        self._progress.advance(0, now)
        self._resume()
        self.account()
        if self._refusal is not None:
            self.server.pull_trigger()

    def _resume(self) -> None:
        """Go on with bytes that arrived before the last answer was sent."""
        if not self._unparsed:
            return
        with self.requests_lock:
            if self.connected and not (
                self.will_close or self.close_when_flushed or self.total_outbufs_len
            ):
                self._parse(arrived=False)

    def account(self) -> None:
        """Tell the budget what the connection keeps; a closed one keeps nothing."""
        self.server.account(self, self.kept_bytes if self.connected else 0)

    # -- refusals, on the I/O thread -------------------------------------------------------

    def close_overdue(self, reason: str) -> None:
        """Close the connection since a deadline has passed."""
        self._close(RequestTimedOut(f"the request did not arrive in time ({reason})"), reason)

    def evict(self, reason: str, lingers: bool) -> None:
        """Close the connection to make room, which a lingering one keeps a descriptor of."""
        error = Overloaded(f"the node has no room for this request ({reason})")
        self._close(error, reason, lingers)

    def _close(self, error: SnowdockError, reason: str, lingers: bool = True) -> None:
        """Close the connection, with an answer if a request has begun, unless one is handled."""
        if self.is_discarding:
            self.handle_close()
            return
        with self.requests_lock:
            if self.requests:
                return
            # From here on, no worker thread takes up a pipelined request.
            self._refusal = self._refusal or error
        if self.request is not None:
            self._refuse(reason, lingers)
        else:
            self.server.report_closed(self, reason)
            self.handle_close()

    def _refuse(self, reason: str, lingers: bool = True) -> None:
        """Answer that the request was not run, and close the connection.

        Parameters
        ----------
        reason
            The reason in logs and metrics.
        lingers
            Whether the client may first read the answer.
        """
        self.server.report_closed(self, reason)
        has_unsent_answer = self.total_outbufs_len > 0
        if not has_unsent_answer:
            with contextlib.suppress(OSError):
                self.socket.send(_format_refusal(self._refusal))
                self.socket.shutdown(socket.SHUT_WR)
        if has_unsent_answer or not lingers:
            self.handle_close()
            return
        self._release_request()
        self.request = None
        self._discards_until = steady_seconds() + _LINGER_SECONDS
        self.account()

    def _release_request(self) -> None:
        if self.request is not None:
            self.request.close()
        self._unparsed = b""

    def refuse_new(self, error: SnowdockError) -> None:
        """Refuse a connection that was just accepted."""
        self._refusal = error
        self._refuse("connections")


def _format_refusal(error: SnowdockError) -> bytes:
    answer = not_run_response(error)
    headers = {
        "Content-Type": answer.content_type,
        "Content-Length": str(len(answer.body)),
        "Connection": "close",
        **answer.headers,
    }
    phrase = http.HTTPStatus(answer.status).phrase
    lines = [f"HTTP/1.1 {answer.status} {phrase}", *(f"{k}: {v}" for k, v in headers.items())]
    return "\r\n".join([*lines, "", ""]).encode("latin-1", "replace") + answer.body

"""The listening socket, and the limits that all its connections share."""

import logging
import socket
from collections.abc import Callable

from waitress.adjustments import Adjustments
from waitress.server import TcpWSGIServer

from ..clocks import steady_seconds
from ..errors import Overloaded
from ..logs import log_event
from ..node.metrics import Metrics
from .budget import Budget, ReadTurns
from .channel import Channel
from .dispatcher import Dispatcher
from .limits import DECODED_FACTOR, RECEIVE_BUFFER_BYTES, SMALL_REQUEST_BYTES, ConnectionLimits
from .progress import choose_victims

__all__ = ["BoundedServer", "create_server"]

_CHECK_INTERVAL_SECONDS = 1
"""Time between checks of the connections' deadlines."""

_LONG_READS_PER_ROUND = 16
"""Long requests that are read before short ones are looked at again; one read takes well below a
millisecond."""

_CONNECTIONS_PER_EXTRA_ACCEPT = 64
"""One more connection is accepted in a round for each such number that are open, since a round
takes longer with each of them."""

_EXCESS_SHARE = 1 / 64
"""Share of the connections that are closed beyond the excess, since finding them means to look at
all."""

_BUDGET_LOW_MARK = 7 / 8
"""Share of the budget down to which connections are closed when it is spent: finding them means to
look at all."""

_EXTRA_CONNECTIONS = 100
"""Connections above the limit that are accepted to be refused. Further ones wait in the accept
queue."""


class BoundedServer(TcpWSGIServer):
    """A waitress server whose connections share limits.

    Parameters
    ----------
    application
        The WSGI application.
    limits
        The limits.
    metrics
        Receives the connections that are closed, and the bytes that are kept.
    name
        Name of the listener in logs and metrics.
    **options
        Arguments of the base class.
    """

    channel_class = Channel

    def __init__(
        self,
        application: Callable,
        limits: ConnectionLimits,
        metrics: Metrics,
        name: str,
        **options,
    ) -> None:
        self._limits = limits
        self._metrics = metrics
        self._name = name
        self._budget = Budget()
        self._turns = ReadTurns(_LONG_READS_PER_ROUND)
        self._is_woken = False
        self._overdue: set[Channel] = set()
        super().__init__(application, **options)
        self.set_limits(limits)

    @property
    def limits(self) -> ConnectionLimits:
        """The limits in force."""
        return self._limits

    def set_limits(self, limits: ConnectionLimits) -> None:
        """Replace the limits; sizes apply to new requests."""
        self._limits = limits
        self.adj.max_request_header_size = limits.header_bytes
        self.adj.max_request_body_size = limits.body_bytes
        # Waitress counts its own descriptors as well.
        self.adj.connection_limit = limits.connections + _EXTRA_CONNECTIONS

    # -- called by waitress on the I/O thread ----------------------------------------------

    def bind_server_socket(self) -> None:
        """Bind the socket; connections inherit the size of its receive buffer."""
        self.socket.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, RECEIVE_BUFFER_BYTES)
        super().bind_server_socket()

    def readable(self) -> bool:
        """Begin a round; waitress asks the listener once in each."""
        self._turns.begin_round()
        self._is_woken = False
        return super().readable()

    def pull_trigger(self) -> None:
        """Wake the I/O thread, once a round."""
        if not self._is_woken:
            self._is_woken = True
            super().pull_trigger()

    def handle_accept(self) -> None:
        """Accept connections, and close others if there are too many."""
        for _ in range(1 + len(self.active_channels) // _CONNECTIONS_PER_EXTRA_ACCEPT):
            known = len(self.active_channels)
            super().handle_accept()
            if len(self.active_channels) == known:
                return
            if len(self.active_channels) > self._limits.connections:
                self._evict_connections()
            if len(self.active_channels) > self._limits.connections:
                newest = next(reversed(self.active_channels.values()))
                newest.refuse_new(Overloaded("all connections of the node are in use"))

    def maintenance(self, now: float) -> None:
        """Close the connections that are past a deadline; waitress's own clock may jump."""
        now = steady_seconds()
        overdue = {}
        for channel in self.active_channels.values():
            reason = channel.overdue_reason(now, self._limits)
            if reason:
                overdue[channel] = reason
        # What arrived while the process was stopped is read before the second check.
        for channel in overdue.keys() & self._overdue:
            channel.close_overdue(overdue.pop(channel))
        self._overdue = set(overdue)
        self.enforce_budget(is_long=True)
        self._metrics.set(
            "connections_kept_bytes",
            "Bytes of requests that are not answered and of answers that are not read.",
            self._budget.total,
            listener=self._name,
        )
        self._metrics.set(
            "connections_open",
            "Open connections of clients.",
            len(self.active_channels),
            listener=self._name,
        )

    # -- turns -----------------------------------------------------------------------------

    def reserve_turn(self) -> int:
        """Return the round in which a long request is read again."""
        return self._turns.reserve()

    def is_due(self, turn: int) -> bool:
        """Return whether a connection may be read; if not, the next round begins at once."""
        if self._turns.is_due(turn):
            return True
        self.pull_trigger()
        return False

    # -- the budget ------------------------------------------------------------------------

    def account(self, channel: Channel, kept: int) -> None:
        """Set the bytes that a connection keeps."""
        self._budget.set(id(channel), kept)

    def has_room(self, channel: Channel, kept: int, makes_room: bool) -> bool:
        """Return whether a whole request may be handled.

        Parameters
        ----------
        channel
            Its connection.
        kept
            Bytes that handling it takes.
        makes_room
            Whether other connections may be closed for it; only on the I/O thread.
        """
        is_small = kept <= DECODED_FACTOR * SMALL_REQUEST_BYTES
        room = self._limits.room_bytes if is_small else self._limits.bulk_room_bytes
        self.account(channel, kept)
        if self._budget.total > room and makes_room:
            self._evict_kept(room, channel)
        return self._budget.total <= room

    def enforce_budget(self, is_long: bool) -> None:
        """Close connections if too many bytes are kept.

        Parameters
        ----------
        is_long
            Whether a long request has grown; short ones may use the whole budget.
        """
        room = self._limits.bulk_room_bytes if is_long else self._limits.room_bytes
        if self._budget.total > room:
            self._evict_kept(room, None)

    def _evict_kept(self, room: int, spared: Channel | None) -> None:
        now = steady_seconds()
        found = [
            channel
            for channel in self.active_channels.values()
            if channel is not spared and channel.kept_bytes and channel.may_be_closed(now)
        ]
        victims = choose_victims(found, lambda c: c.kept_bytes, lambda c: c.rate(now), len(found))
        for channel in victims:
            if self._budget.total <= room * _BUDGET_LOW_MARK:
                break
            channel.evict("budget", lingers=True)

    def _evict_connections(self) -> None:
        now = steady_seconds()
        limit = self._limits.connections
        excess = len(self.active_channels) - limit + int(limit * _EXCESS_SHARE)
        found = [channel for channel in self.active_channels.values() if channel.may_be_closed(now)]
        victims = choose_victims(found, lambda c: c.connection_bytes, lambda c: c.rate(now), excess)
        for channel in victims:
            channel.evict("connections", lingers=False)

    def report_closed(self, channel: Channel, reason: str) -> None:
        """Count and log a client that was closed or refused."""
        self._metrics.count(
            "connections_closed_total",
            "Connections that were closed or refused, by listener and reason.",
            listener=self._name,
            reason=reason,
        )
        log_event(
            "connection_closed",
            listener=self._name,
            how=reason,
            client=f"{channel.addr[0]}:{channel.addr[1]}",
            kept=channel.kept_bytes,
        )


class _EventHandler(logging.Handler):
    """Passes messages of waitress on as events, whose rate is limited.

    Its own stream would block the I/O thread if nobody reads it.
    """

    def emit(self, record: logging.LogRecord) -> None:
        """Log a message."""
        log_event("http_server", how=record.name, message=record.getMessage()[:200])


def _log_events_of_waitress() -> None:
    logger = logging.getLogger("waitress")
    logger.propagate = False
    if not logger.handlers:
        logger.addHandler(_EventHandler(logging.WARNING))


def create_server(
    application: Callable,
    addresses: list[str],
    limits: ConnectionLimits,
    metrics: Metrics,
    name: str,
    threads: int,
    backlog: int = 1024,
) -> BoundedServer:
    """Open listeners that share an I/O thread and the threads that handle requests.

    All of them serve once the ``run`` method of the result is called, on the I/O thread.

    Parameters
    ----------
    application
        The WSGI application.
    addresses
        IP addresses and ports.
    limits
        The limits of each listener.
    metrics, name
        As for `BoundedServer`.
    threads
        Requests that are handled at once.
    backlog
        Length of the accept queue.
    """
    _log_events_of_waitress()
    shared = Adjustments(
        listen=" ".join(addresses),
        backlog=backlog,
        cleanup_interval=_CHECK_INTERVAL_SECONDS,
        # `select` is limited to descriptors below 1,024.
        asyncore_use_poll=True,
        clear_untrusted_proxy_headers=True,
        # Temporary files are memory on a VM without a disk, and take descriptors.
        outbuf_overflow=limits.room_bytes,
        ident=None,
    )
    dispatcher = Dispatcher(threads)
    channels: dict = {}
    servers = [
        BoundedServer(
            application,
            limits,
            metrics,
            name,
            map=channels,
            dispatcher=dispatcher,
            adj=shared,
            sockinfo=info,
        )
        for info in shared.listen
    ]
    return servers[-1]

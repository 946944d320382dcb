"""Messaging between nodes over ZeroMQ; one thread owns all sockets."""

import concurrent.futures
import contextlib
import dataclasses
import heapq
import hmac
import itertools
import queue
import threading
from collections.abc import Callable, Collection

import pykka
import zmq
from zmq.auth.thread import ThreadAuthenticator

from ..clocks import steady_seconds
from ..errors import CallUnanswered, InvalidInput, PlatformError
from ..logs import log_error, log_event
from ..threads import ServiceThread
from .peer_links import HeartbeatPlan, PeerLinks

__all__ = ["PeerMessages", "PeerOptions", "Peers"]

MAX_QUEUED_MESSAGES = 1000
_MAX_MESSAGE_BYTES = 64 * 1024 * 1024
"""Longest response of a peer, which may be the state of the cluster."""

_MAX_ANSWER_THREADS = 160
"""Maximum number of threads that process requests of peers. With a slow store, each may be blocked
for a second or two, and 100 jobs a second may arrive. Threads are started on demand."""

_LOOKUP_THREADS = 8
"""Threads that process lookups of peers, each of which takes well below a millisecond."""

_MAX_LOOKUP_AGE_SECONDS = 2.0
"""A lookup that has waited longer for a thread is dropped: its sender has given up."""

_MAX_POLL_SECONDS = 0.25
"""Maximum wait for messages, which also bounds the delay of a stop."""

_LINK_HEARTBEAT_MS = 500
"""Interval between ZeroMQ heartbeats on a connection; a third of the timeout."""

_LINK_TIMEOUT_MS = 1500
"""Time without ZeroMQ heartbeats after which a connection is replaced. TCP alone would take
minutes to detect a peer that lost power."""

_HANDSHAKE_TIMEOUT_MS = 5000
"""Time for the handshake of a new connection, after which it is closed; peers need milliseconds."""

_KEEPALIVE_SECONDS = 5
_KEEPALIVE_PROBES = 3
"""TCP keepalive interval, and the number of missed probes after which a connection is closed."""

_MAX_MESSAGES_PER_SOCKET = 100
"""Maximum number of messages read from one socket before the next one is served."""

_MIN_RECONNECT_MS = 100
_MAX_RECONNECT_MS = 1000
"""Bounds of the delay before a reconnect, which doubles with each attempt."""

_UNIFORM_PLAN = HeartbeatPlan()
"""Sends every heartbeat to every peer."""


@dataclasses.dataclass(frozen=True, slots=True)
class PeerOptions:
    """The options of a node's connections to its peers.

    Attributes
    ----------
    listen
        IP address and port to listen on.
    heartbeat_interval_s
        Seconds between heartbeats.
    public_key, secret_key
        The cluster's CURVE keys in Z85; empty for unauthenticated connections.
    plan
        How often each peer is sent a heartbeat.
    max_request_bytes
        Longest heartbeat or request of a peer; its connection is closed at a longer one.
    confirms_links
        Whether heartbeats report when the receiver's last heartbeat arrived, which detects dead
        connections. Otherwise ZeroMQ heartbeats are used, which cost more processor time.
    """

    listen: str
    heartbeat_interval_s: float
    public_key: str = ""
    secret_key: str = ""
    plan: HeartbeatPlan = _UNIFORM_PLAN
    confirms_links: bool = False
    max_request_bytes: int = _MAX_MESSAGE_BYTES


@dataclasses.dataclass(frozen=True, slots=True)
class PeerMessages:
    """The codec and the types of the messages that peers exchange.

    Attributes
    ----------
    encode, decode
        The codec; ``decode`` raises `InvalidInput` for an invalid message.
    heartbeat
        The type of heartbeats.
    requests, responses
        The types of requests and responses. Each has a ``number``, except for requests without
        a response.
    lookups
        The types of requests that are processed without waiting for anything. They have threads
        of their own, since the others may all be blocked.
    """

    encode: Callable[[object], bytes]
    decode: Callable[[bytes], object]
    heartbeat: type
    requests: tuple[type, ...]
    responses: tuple[type, ...]
    lookups: tuple[type, ...] = ()


@dataclasses.dataclass(frozen=True, slots=True)
class _Addresses:
    """The addresses of all peers, by name."""

    addresses: dict[str, str]


@dataclasses.dataclass(frozen=True, slots=True)
class _Connect:
    """An additional peer that is known only by its address."""

    address: str


@dataclasses.dataclass(frozen=True, slots=True)
class _PeerSend:
    """A message to send to a peer; ``request`` is its number if it is a request."""

    node: str
    data: bytes
    request: int | None = None


@dataclasses.dataclass(frozen=True, slots=True)
class _Reply:
    """A response to send to the socket identity of a requester."""

    identity: bytes
    data: bytes


Outcome = object | PlatformError
"""The response to a request, or the reason why there is none."""


@dataclasses.dataclass(slots=True)
class _PendingRequest:
    """A request without a response so far, and the socket over which it was sent, if it was.

    ``on_outcome`` is called once, with the response or the reason why there is none.
    """

    node: str
    on_outcome: Callable[[Outcome], None]
    socket: zmq.Socket | None = None


_Outgoing = _Addresses | _Connect | _PeerSend | _Reply


class _SingleKeyProvider:
    """Credentials provider that accepts only the cluster's public key."""

    def __init__(self, public_key: str) -> None:
        self._key = public_key.encode()

    def callback(self, domain: str, key: bytes) -> bool:
        """Return whether a client with a public key in Z85 may connect; called by pyzmq."""
        return hmac.compare_digest(key, self._key)


class Peers:
    """Exchanges heartbeats, requests and responses with peers.

    ZeroMQ sockets are not thread-safe, so one thread owns them. Other threads queue messages
    and wake that thread through an in-process socket.

    Parameters
    ----------
    options
        The options of the connections.
    messages
        The codec and the types of messages.
    answer_request
        Returns the response to a request, a future of it, or None for no response; called on a pool
        of threads.
    on_heartbeat
        Called with each received heartbeat.
    make_heartbeat
        Creates the heartbeat to send to a peer. Its arguments are the peer, the seconds until the
        next heartbeat to that peer is due, and the seconds since the last heartbeat of that peer
        arrived, or None if there was none.
    record_lateness
        Called with the seconds by which the thread was late, each time that heartbeats are due.
    """

    def __init__(
        self,
        options: PeerOptions,
        messages: PeerMessages,
        answer_request: Callable[[object], object | None],
        on_heartbeat: Callable[[object], None],
        make_heartbeat: Callable[[str, float, float | None], object],
        record_lateness: Callable[[float], None] = lambda _: None,
    ) -> None:
        self._options = options
        self._messages = messages
        self._answer_request = answer_request
        self._on_heartbeat = on_heartbeat
        self._make_heartbeat = make_heartbeat
        self._record_lateness = record_lateness
        self._context = zmq.Context()
        self._outgoing: queue.SimpleQueue[_Outgoing] = queue.SimpleQueue()
        self._wake_lock = threading.Lock()
        self._wake_sender = self._context.socket(zmq.PAIR)
        self._wake_receiver = self._context.socket(zmq.PAIR)
        self._wake_receiver.bind("inproc://wake")
        self._wake_sender.connect("inproc://wake")
        self._authenticator = self._start_authenticator()
        self._listener = self._make_socket(zmq.ROUTER)
        # Whoever reaches the port may begin a message, for which ZeroMQ allocates all of its size.
        self._listener.maxmsgsize = options.max_request_bytes
        self._listener.handshake_ivl = _HANDSHAKE_TIMEOUT_MS
        self._listener.bind(f"tcp://{options.listen}")
        self._poller = zmq.Poller()
        self._poller.register(self._listener, zmq.POLLIN)
        self._poller.register(self._wake_receiver, zmq.POLLIN)
        self._links = PeerLinks(lambda: self._make_socket(zmq.DEALER), self._poller, options.plan)
        self._request_numbers = itertools.count(1)
        self._pending_requests: dict[int, _PendingRequest] = {}
        # Deadlines and numbers of requests; those of answered ones stay until they are due.
        self._deadlines: list[tuple[float, int]] = []
        self._pending_lock = threading.Lock()
        self._answer_pool = concurrent.futures.ThreadPoolExecutor(
            _MAX_ANSWER_THREADS, "peer-answer"
        )
        self._lookup_pool = concurrent.futures.ThreadPoolExecutor(_LOOKUP_THREADS, "peer-lookup")
        self._stopped = threading.Event()
        self._next_heartbeat_at = 0.0
        self._thread = ServiceThread(self._run, "peers", self._stopped.is_set)

    def _start_authenticator(self) -> ThreadAuthenticator | None:
        """Start CURVE authentication if the cluster has keys."""
        public = self._options.public_key
        if not public:
            return None
        authenticator = ThreadAuthenticator(self._context)
        authenticator.start()
        authenticator.configure_curve_callback(credentials_provider=_SingleKeyProvider(public))
        return authenticator

    def _make_socket(self, kind: int) -> zmq.Socket:
        socket = self._context.socket(kind)
        options = self._options
        if options.public_key:
            socket.curve_publickey = options.public_key.encode()
            socket.curve_secretkey = options.secret_key.encode()
            if kind == zmq.ROUTER:
                socket.curve_server = True
            else:
                socket.curve_serverkey = options.public_key.encode()
        if not options.confirms_links:
            socket.heartbeat_ivl = _LINK_HEARTBEAT_MS
            socket.heartbeat_timeout = _LINK_TIMEOUT_MS
        # The kernel closes connections left open by a peer that lost power.
        socket.tcp_keepalive = 1
        socket.tcp_keepalive_idle = _KEEPALIVE_SECONDS
        socket.tcp_keepalive_intvl = _KEEPALIVE_SECONDS
        socket.tcp_keepalive_cnt = _KEEPALIVE_PROBES
        socket.connect_timeout = _LINK_TIMEOUT_MS
        socket.reconnect_ivl = _MIN_RECONNECT_MS
        socket.reconnect_ivl_max = _MAX_RECONNECT_MS
        socket.linger = 0
        socket.sndhwm = socket.rcvhwm = MAX_QUEUED_MESSAGES
        socket.maxmsgsize = _MAX_MESSAGE_BYTES
        return socket

    def start(self) -> None:
        """Start the thread that owns the sockets."""
        self._thread.start()

    def stop(self) -> None:
        """Close all sockets."""
        self._stopped.set()
        self._thread.join()
        for pool in (self._answer_pool, self._lookup_pool):
            pool.shutdown(wait=False, cancel_futures=True)
        if self._authenticator is not None:
            self._authenticator.stop()
        self._context.destroy(linger=0)

    def set_addresses(self, addresses: dict[str, str]) -> None:
        """Set the addresses of all peers, by name."""
        self._enqueue_outgoing(_Addresses(dict(addresses)))

    def ask(self, node: str, make: Callable[[int], object], timeout: float) -> object:
        """Send a request to a peer and wait for the response.

        Parameters
        ----------
        node
            The peer.
        make
            Creates the request from its number.
        timeout
            Seconds to wait for the response.

        Raises
        ------
        CallUnanswered
            At once, if there is no connection to the peer, so that the request is not sent; or when
            the connection is closed.
        PlatformError
            If there is no response in time; the peer may have handled the request.
        """
        future = pykka.ThreadingFuture()
        number = self._send_numbered(node, make, _PendingRequest(node, future.set))
        try:
            outcome = future.get(timeout=timeout)
        except pykka.Timeout as error:
            raise PlatformError(f"peer {node} did not answer") from error
        finally:
            self._pop_pending(number)
        if isinstance(outcome, PlatformError):
            raise outcome
        return outcome

    def request(
        self,
        node: str,
        make: Callable[[int], object],
        timeout: float,
        on_outcome: Callable[[Outcome], None],
    ) -> None:
        """Send a request to a peer without waiting for the response.

        Parameters
        ----------
        node, make
            As for `ask`.
        timeout
            Seconds after which there is no response; checked about every 0.2 s.
        on_outcome
            Called once on the thread that owns the sockets, with the response or with the error
            that `ask` would raise. It must not block.
        """
        pending = _PendingRequest(node, on_outcome)
        self._send_numbered(node, make, pending, steady_seconds() + timeout)

    def _send_numbered(
        self,
        node: str,
        make: Callable[[int], object],
        pending: _PendingRequest,
        deadline: float | None = None,
    ) -> int:
        number = next(self._request_numbers)
        with self._pending_lock:
            self._pending_requests[number] = pending
            if deadline is not None:
                heapq.heappush(self._deadlines, (deadline, number))
        self._enqueue_outgoing(_PeerSend(node, self._messages.encode(make(number)), number))
        return number

    def _pop_pending(self, number: int | None) -> _PendingRequest | None:
        with self._pending_lock:
            return self._pending_requests.pop(number, None)

    def tell(self, node: str, message: object) -> None:
        """Send a message without a response to a peer; delivery is not guaranteed."""
        self._enqueue_outgoing(_PeerSend(node, self._messages.encode(message)))

    def ask_address(self, address: str, make: Callable[[int], object], timeout: float) -> object:
        """Send a request to a peer that is known only by its address; see `ask`."""
        self._enqueue_outgoing(_Connect(address))
        return self.ask(address, make, timeout)

    def _enqueue_outgoing(self, item: _Outgoing) -> None:
        self._outgoing.put(item)
        # If the wake queue is full, the thread has enough pending wake-ups.
        with self._wake_lock, contextlib.suppress(zmq.Again):
            self._wake_sender.send(b"", zmq.NOBLOCK)

    def _run(self) -> None:
        while not self._stopped.is_set():
            ready = [socket for socket, _ in self._poller.poll(self._poll_ms())]
            for socket in ready:
                self._receive_pending(socket)
            # Must come after the reads, since it may close sockets that are ready.
            if self._wake_receiver in ready:
                self._send_outgoing()
            self._send_due_heartbeats()
            self._fail_requests_on(self._links.close_removed(steady_seconds()), "closed")
            self._fail_overdue_requests()

    def _receive_pending(self, socket: zmq.Socket) -> None:
        """Receive and dispatch the pending messages of a socket."""
        for _ in range(_MAX_MESSAGES_PER_SOCKET):
            try:
                frames = socket.recv_multipart(zmq.NOBLOCK)
            except zmq.Again:
                return
            try:
                self._dispatch_frames(socket, frames)
            except (InvalidInput, ValueError, zmq.ZMQError) as error:
                log_error("peer_message_dropped", error)
            except Exception as error:
                # A failing message must not stop the thread.
                log_error("peer_message_failed", error)

    def _poll_ms(self) -> int:
        until_heartbeat_s = max(0.0, self._next_heartbeat_at - steady_seconds())
        return int(min(until_heartbeat_s, _MAX_POLL_SECONDS) * 1000) + 1

    def _dispatch_frames(self, socket: zmq.Socket, frames: list[bytes]) -> None:
        if socket is self._wake_receiver:
            return
        if socket is self._listener:
            sender, data = frames
            self._handle_message(sender, self._messages.decode(data))
        else:
            self._handle_response(self._messages.decode(frames[0]))

    def _send_outgoing(self) -> None:
        while not self._outgoing.empty():
            item = self._outgoing.get()
            try:
                self._send(item)
            except (ValueError, zmq.ZMQError) as error:
                # An invalid address or message must not stop the thread.
                log_error("peer_send_failed", error)

    def _send(self, item: _Outgoing) -> None:
        if isinstance(item, _Addresses):
            self._links.set_addresses(item.addresses, steady_seconds())
        elif isinstance(item, _Connect):
            self._links.connect(item.address, item.address, steady_seconds())
        elif isinstance(item, _Reply):
            self._try_send(self._listener, [item.identity, item.data])
        elif item.node not in self._links:
            log_event("peer_unknown", peer=item.node)
            self._fail_request(item)
        else:
            self._send_request(item, self._links.socket(item.node))

    def _send_request(self, item: _PeerSend, socket: zmq.Socket) -> None:
        if not self._try_send(socket, [item.data]):
            self._fail_request(item)
            return
        with self._pending_lock:
            pending = self._pending_requests.get(item.request)
            if pending is not None:
                pending.socket = socket

    def _fail_request(self, item: _PeerSend) -> None:
        """Fail a request that cannot be sent, so that its sender does not wait for the timeout."""
        pending = self._pop_pending(item.request)
        if pending is not None:
            error = CallUnanswered(f"there is no open connection to peer {item.node}", unsent=True)
            self._report_outcome(pending, error)

    def _fail_requests_on(self, closed: Collection[zmq.Socket], change: str) -> None:
        """Fail the requests that were sent over connections that were closed or renewed."""
        if not closed:
            return
        with self._pending_lock:
            failed = [
                self._pending_requests.pop(number)
                for number, pending in list(self._pending_requests.items())
                if pending.socket in closed
            ]
        for pending in failed:
            message = f"the connection to peer {pending.node} was {change}"
            self._report_outcome(pending, CallUnanswered(message, unsent=False))

    def _fail_overdue_requests(self) -> None:
        now = steady_seconds()
        overdue = []
        with self._pending_lock:
            while self._deadlines and self._deadlines[0][0] <= now:
                _, number = heapq.heappop(self._deadlines)
                if number in self._pending_requests:
                    overdue.append(self._pending_requests.pop(number))
        for pending in overdue:
            error = PlatformError(f"peer {pending.node} did not answer")
            self._report_outcome(pending, error)

    @staticmethod
    def _report_outcome(pending: _PendingRequest, outcome: Outcome) -> None:
        try:
            pending.on_outcome(outcome)
        except Exception as error:
            # A failing receiver must not stop the thread.
            log_error("peer_outcome_failed", error, peer=pending.node)

    @staticmethod
    def _try_send(socket: zmq.Socket, frames: list[bytes]) -> bool:
        """Send a message; return whether it was sent or queued."""
        try:
            socket.send_multipart(frames, zmq.NOBLOCK)
        except zmq.ZMQError as error:
            # The queue is full or the peer is gone.
            log_error("peer_send_failed", error)
            return False
        return True

    def _handle_message(self, sender: bytes, message: object) -> None:
        if isinstance(message, self._messages.heartbeat):
            if self._options.confirms_links:
                self._links.record_heartbeat(message.node, message.heard_s, steady_seconds())
            self._on_heartbeat(message)
        elif isinstance(message, self._messages.requests):
            if isinstance(message, self._messages.lookups):
                self._lookup_pool.submit(self._process_lookup, sender, message, steady_seconds())
            else:
                self._answer_pool.submit(self._process_request, sender, message)

    def _process_lookup(self, sender: bytes, request: object, received_at: float) -> None:
        if steady_seconds() - received_at < _MAX_LOOKUP_AGE_SECONDS:
            self._process_request(sender, request)

    def _process_request(self, sender: bytes, request: object) -> None:
        answer = self._answer_request(request)
        if isinstance(answer, concurrent.futures.Future):
            answer.add_done_callback(lambda future: self._reply(sender, future.result()))
        elif answer is not None:
            self._reply(sender, answer)

    def _reply(self, sender: bytes, answer: object) -> None:
        self._enqueue_outgoing(_Reply(sender, self._messages.encode(answer)))

    def _handle_response(self, message: object) -> None:
        if not isinstance(message, self._messages.responses):
            return
        pending = self._pop_pending(message.number)
        if pending is not None:
            self._report_outcome(pending, message)

    def _send_due_heartbeats(self) -> None:
        now = steady_seconds()
        if now < self._next_heartbeat_at:
            return
        if self._next_heartbeat_at:
            self._record_lateness(now - self._next_heartbeat_at)
        options = self._options
        self._next_heartbeat_at = now + options.heartbeat_interval_s
        if options.confirms_links:
            renewed = self._links.reconnect_unconfirmed(now)
            for node in renewed:
                log_event("peer_link_renewed", peer=node)
            self._fail_requests_on(set(renewed.values()), "renewed")
        for node, socket, is_frequent, last_received_s in self._links.due_heartbeats(now):
            due_s = options.heartbeat_interval_s * (
                1 if is_frequent else options.plan.rare_interval
            )
            heartbeat = self._make_heartbeat(node, due_s, last_received_s)
            self._try_send(socket, [self._messages.encode(heartbeat)])

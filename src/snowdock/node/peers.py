"""Sockets to the other nodes, by pyzmq: one thread owns them all."""

import concurrent.futures
import contextlib
import dataclasses
import hmac
import itertools
import queue
import threading
from collections.abc import Callable

import pykka
import zmq
from zmq.auth.thread import ThreadAuthenticator

from ..clocks import steady_seconds
from ..errors import InvalidInput, PlatformError
from ..logs import log_error, log_event
from ..threads import ServiceThread
from .peer_links import BeatPlan, PeerLinks

__all__ = ["PeerMessages", "PeerOptions", "Peers"]

_MAX_QUEUED_MESSAGES = 1000
_MAX_MESSAGE_BYTES = 64 * 1024 * 1024
_ANSWERERS = 160
"""Threads that answer questions: with a slow store each of a leader's may wait for a second or two,
and 100 jobs a second may come. They are started as they are needed."""

_LONGEST_POLL_SECONDS = 0.25
"""The longest wait for messages: also how late a stop may be noticed."""

_LINK_HEARTBEAT_MS = 500
"""Time between signs of life on a connection; three are due before it is made anew."""

_LINK_TIMEOUT_MS = 1500
"""A connection without a sign of life for this long is made anew: a peer without power says
nothing, and TCP alone would wait for minutes."""

_KEEPALIVE_SECONDS = 5
_KEEPALIVE_PROBES = 3
"""Time between a kernel's probes of a connection without traffic, and how many may be missed."""

_TAKEN_AT_A_TIME = 100
"""The most messages taken from one socket before the others have their turn."""

_RECONNECT_MS = 100
_LONGEST_RECONNECT_MS = 1000
"""Bounds of the pause before a connection is tried again; it doubles with each try."""


_EVERY_BEAT = BeatPlan()
"""Each peer gets each heartbeat."""


@dataclasses.dataclass(frozen=True, slots=True)
class PeerOptions:
    """Where a node listens for peers, and what it needs of them.

    Attributes
    ----------
    listen
        IP number and port.
    beat_seconds
        Time between heartbeats.
    public_key, secret_key
        The cluster's keys in Z85; empty for connections without them.
    plan
        Which peers get which heartbeats.
    confirms_links
        Whether heartbeats tell when the receiver was heard last, so that a connection that has
        gone silent is noticed by them. Else the connections have signs of life of their own,
        which cost a leader of 17 peers a quarter of its processor time.
    """

    listen: str
    beat_seconds: float
    public_key: str = ""
    secret_key: str = ""
    plan: BeatPlan = _EVERY_BEAT
    confirms_links: bool = False


@dataclasses.dataclass(frozen=True, slots=True)
class PeerMessages:
    """The messages that peers exchange.

    Attributes
    ----------
    encode, decode
        The codec; decoding raises `InvalidInput`.
    heartbeat
        The type of heartbeats.
    questions, answers
        The types of questions and of answers; each has a ``number``, but for questions that are
        never answered.
    """

    encode: Callable[[object], bytes]
    decode: Callable[[bytes], object]
    heartbeat: type
    questions: tuple[type, ...]
    answers: tuple[type, ...]


@dataclasses.dataclass(frozen=True, slots=True)
class _Addresses:
    """All peers and where they listen."""

    addresses: dict[str, str]


@dataclasses.dataclass(frozen=True, slots=True)
class _Connect:
    """One more peer, known by its address only."""

    address: str


@dataclasses.dataclass(frozen=True, slots=True)
class _Ask:
    """A question, or a message without an answer, on its way to a peer."""

    node: str
    data: bytes


@dataclasses.dataclass(frozen=True, slots=True)
class _Reply:
    """An answer on its way back to a socket's identity."""

    identity: bytes
    data: bytes


_Outgoing = _Addresses | _Connect | _Ask | _Reply


class _OneKey:
    """Knows the one public key whose holders are peers."""

    def __init__(self, public_key: str) -> None:
        self._key = public_key.encode()

    def callback(self, domain: str, key: bytes) -> bool:
        """Tell whether a key, in Z85, may connect; pyzmq names this method."""
        return hmac.compare_digest(key, self._key)


class Peers:
    """Sends heartbeats and questions to peers and answers theirs.

    pyzmq's sockets belong to one thread; other threads hand messages over through a queue
    and wake that thread through an in-process socket.

    Parameters
    ----------
    options
        Where to listen, and how often to send heartbeats.
    messages
        What is exchanged.
    answer
        Makes the answer to a question; called on one of a few threads.
    heard
        Called with each heartbeat.
    make_beat
        Makes the heartbeat to send to one peer, given in how many seconds the next one is due, and
        how many seconds ago that peer was heard last (None for never).
    """

    def __init__(
        self,
        options: PeerOptions,
        messages: PeerMessages,
        answer: Callable[[object], object | None],
        heard: Callable[[object], None],
        make_beat: Callable[[float, float | None], object],
    ) -> None:
        self._options = options
        self._messages = messages
        self._answer = answer
        self._heard = heard
        self._make_beat = make_beat
        self._context = zmq.Context()
        self._outgoing: queue.SimpleQueue[_Outgoing] = queue.SimpleQueue()
        self._wake_lock = threading.Lock()
        self._wake = self._context.socket(zmq.PAIR)
        self._woken = self._context.socket(zmq.PAIR)
        self._woken.bind("inproc://wake")
        self._wake.connect("inproc://wake")
        self._authenticator = self._start_authenticator()
        self._listener = self._socket(zmq.ROUTER)
        self._listener.bind(f"tcp://{options.listen}")
        self._poller = zmq.Poller()
        self._poller.register(self._listener, zmq.POLLIN)
        self._poller.register(self._woken, zmq.POLLIN)
        self._links = PeerLinks(lambda: self._socket(zmq.DEALER), self._poller, options.plan)
        self._numbers = itertools.count(1)
        self._questions: dict[int, pykka.Future] = {}
        self._questions_lock = threading.Lock()
        self._answerers = concurrent.futures.ThreadPoolExecutor(_ANSWERERS, "peer-answer")
        self._stopped = threading.Event()
        self._next_beat = 0.0
        self._thread = ServiceThread(self._run, "peers", self._stopped.is_set)

    def _start_authenticator(self) -> ThreadAuthenticator | None:
        """Let only holders of the cluster's keys in, if there are keys."""
        public = self._options.public_key
        if not public:
            return None
        authenticator = ThreadAuthenticator(self._context)
        authenticator.start()
        authenticator.configure_curve_callback(credentials_provider=_OneKey(public))
        return authenticator

    def _socket(self, kind: int) -> zmq.Socket:
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
        # What a peer without power has left open is closed by the kernel.
        socket.tcp_keepalive = 1
        socket.tcp_keepalive_idle = _KEEPALIVE_SECONDS
        socket.tcp_keepalive_intvl = _KEEPALIVE_SECONDS
        socket.tcp_keepalive_cnt = _KEEPALIVE_PROBES
        socket.connect_timeout = _LINK_TIMEOUT_MS
        socket.reconnect_ivl = _RECONNECT_MS
        socket.reconnect_ivl_max = _LONGEST_RECONNECT_MS
        socket.linger = 0
        socket.sndhwm = socket.rcvhwm = _MAX_QUEUED_MESSAGES
        socket.maxmsgsize = _MAX_MESSAGE_BYTES
        return socket

    def start(self) -> None:
        """Start the thread that owns the sockets."""
        self._thread.start()

    def stop(self) -> None:
        """Close all sockets."""
        self._stopped.set()
        self._thread.join()
        self._answerers.shutdown(wait=False, cancel_futures=True)
        if self._authenticator is not None:
            self._authenticator.stop()
        self._context.destroy(linger=0)

    def set_addresses(self, addresses: dict[str, str]) -> None:
        """Name the peers and where they listen."""
        self._hand_over(_Addresses(dict(addresses)))

    def ask(self, node: str, make: Callable[[int], object], timeout: float) -> object:
        """Send a question to a peer and wait for the answer.

        Raises
        ------
        PlatformError
            If there is no answer in time; the peer may have acted on the question.
        """
        number = next(self._numbers)
        future = pykka.ThreadingFuture()
        with self._questions_lock:
            self._questions[number] = future
        self._hand_over(_Ask(node, self._messages.encode(make(number))))
        try:
            return future.get(timeout=timeout)
        except pykka.Timeout as error:
            raise PlatformError(f"peer {node} did not answer") from error
        finally:
            with self._questions_lock:
                self._questions.pop(number, None)

    def tell(self, node: str, message: object) -> None:
        """Send a peer a message that it does not answer; it may get lost."""
        self._hand_over(_Ask(node, self._messages.encode(message)))

    def ask_address(self, address: str, make: Callable[[int], object], timeout: float) -> object:
        """Ask a peer that is known by its address only."""
        self._hand_over(_Connect(address))
        return self.ask(address, make, timeout)

    def _hand_over(self, item: _Outgoing) -> None:
        self._outgoing.put(item)
        # A full wake queue means that the thread has been woken often enough.
        with self._wake_lock, contextlib.suppress(zmq.Again):
            self._wake.send(b"", zmq.NOBLOCK)

    def _run(self) -> None:
        while not self._stopped.is_set():
            ready = [socket for socket, _ in self._poller.poll(self._poll_ms())]
            for socket in ready:
                self._serve_all(socket)
            # Last, since it may close sockets that are ready.
            if self._woken in ready:
                self._send_outgoing()
            self._beat()

    def _serve_all(self, socket: zmq.Socket) -> None:
        """Take what has come over a socket."""
        for _ in range(_TAKEN_AT_A_TIME):
            try:
                frames = socket.recv_multipart(zmq.NOBLOCK)
            except zmq.Again:
                return
            try:
                self._serve(socket, frames)
            except (InvalidInput, ValueError, zmq.ZMQError) as error:
                log_error("peer_message_dropped", error)
            except Exception as error:
                # One message may not end the exchange of all others.
                log_error("peer_message_failed", error)

    def _poll_ms(self) -> int:
        until_beat = max(0.0, self._next_beat - steady_seconds())
        return int(min(until_beat, _LONGEST_POLL_SECONDS) * 1000) + 1

    def _serve(self, socket: zmq.Socket, frames: list[bytes]) -> None:
        if socket is self._woken:
            return
        if socket is self._listener:
            sender, data = frames
            self._take(sender, self._messages.decode(data))
        else:
            self._take_answer(self._messages.decode(frames[0]))

    def _send_outgoing(self) -> None:
        while not self._outgoing.empty():
            item = self._outgoing.get()
            try:
                self._send(item)
            except (ValueError, zmq.ZMQError) as error:
                # An address or message that does not fit may not end the exchange of all others.
                log_error("peer_send_failed", error)

    def _send(self, item: _Outgoing) -> None:
        if isinstance(item, _Addresses):
            self._links.keep_only(item.addresses, steady_seconds())
        elif isinstance(item, _Connect):
            self._links.connect(item.address, item.address, steady_seconds())
        elif isinstance(item, _Reply):
            self._try_send(self._listener, [item.identity, item.data])
        elif item.node in self._links:
            self._try_send(self._links.socket(item.node), [item.data])
        else:
            log_event("peer_unknown", peer=item.node)

    @staticmethod
    def _try_send(socket: zmq.Socket, frames: list[bytes]) -> None:
        try:
            socket.send_multipart(frames, zmq.NOBLOCK)
        except zmq.ZMQError as error:
            # A full queue or a peer that went away; whoever asked runs into its timeout.
            log_error("peer_send_failed", error)

    def _take(self, sender: bytes, message: object) -> None:
        if isinstance(message, self._messages.heartbeat):
            if self._options.confirms_links:
                self._links.hear(message.node, message.heard_s, steady_seconds())
            self._heard(message)
        elif isinstance(message, self._messages.questions):
            self._answerers.submit(self._answer_one, sender, message)

    def _answer_one(self, sender: bytes, question: object) -> None:
        answer = self._answer(question)
        if answer is not None:
            self._hand_over(_Reply(sender, self._messages.encode(answer)))

    def _take_answer(self, message: object) -> None:
        if not isinstance(message, self._messages.answers):
            return
        with self._questions_lock:
            future = self._questions.pop(message.number, None)
        if future is not None:
            future.set(message)

    def _beat(self) -> None:
        now = steady_seconds()
        if now < self._next_beat:
            return
        options = self._options
        self._next_beat = now + options.beat_seconds
        if options.confirms_links:
            for node in self._links.renew_unconfirmed(now):
                log_event("peer_link_renewed", peer=node)
        for socket, is_frequent, heard_s in self._links.due_beats(now):
            due_s = options.beat_seconds * (1 if is_frequent else options.plan.seldom)
            beat = self._make_beat(due_s, heard_s)
            self._try_send(socket, [self._messages.encode(beat)])

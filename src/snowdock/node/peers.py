"""Sockets to the other nodes, by pyzmq: one thread owns them all."""

import concurrent.futures
import contextlib
import dataclasses
import hmac
import itertools
import queue
import threading
import time
from collections.abc import Callable

import pykka
import zmq
from zmq.auth.thread import ThreadAuthenticator

from ..errors import InvalidInput, PlatformError
from .logs import log_error
from .parts import Parts
from .peer_messages import (
    AnswerGiven,
    AnswerWanted,
    CallAnswered,
    CallForwarded,
    Heartbeat,
    PeerMessage,
    StateGiven,
    StateWanted,
    decode_peer_message,
    encode_peer_message,
)

__all__ = ["Peers"]

_MAX_QUEUED_MESSAGES = 1000
_MAX_MESSAGE_BYTES = 64 * 1024 * 1024
_ANSWERERS = 16
_POLL_MS = 250

Answer = StateGiven | CallAnswered | AnswerGiven
Question = StateWanted | CallForwarded | AnswerWanted


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
    """A question on its way to a peer."""

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
    parts
        The node.
    answer
        Makes the answer to a question; called on one of a few threads.
    heard
        Called with each heartbeat.
    """

    def __init__(
        self,
        parts: Parts,
        answer: Callable[[Question], Answer | None],
        heard: Callable[[Heartbeat], None],
    ) -> None:
        self._parts = parts
        self._answer = answer
        self._heard = heard
        self._context = zmq.Context()
        self._outgoing: queue.SimpleQueue[_Outgoing] = queue.SimpleQueue()
        self._wake_lock = threading.Lock()
        self._wake = self._context.socket(zmq.PAIR)
        self._woken = self._context.socket(zmq.PAIR)
        self._woken.bind("inproc://wake")
        self._wake.connect("inproc://wake")
        self._authenticator = self._start_authenticator()
        self._listener = self._socket(zmq.ROUTER)
        self._listener.bind(f"tcp://{parts.settings.node.peer}")
        self._dealers: dict[str, zmq.Socket] = {}
        self._addresses: dict[str, str] = {}
        self._numbers = itertools.count(1)
        self._questions: dict[int, pykka.Future] = {}
        self._questions_lock = threading.Lock()
        self._answerers = concurrent.futures.ThreadPoolExecutor(_ANSWERERS, "peer-answer")
        self._stopped = threading.Event()
        self._next_beat = 0.0
        self._thread = threading.Thread(target=self._run, name="peers", daemon=True)

    def _start_authenticator(self) -> ThreadAuthenticator | None:
        """Let only holders of the cluster's keys in, if there are keys."""
        public = self._parts.settings.security.peer_public_key
        if not public:
            return None
        authenticator = ThreadAuthenticator(self._context)
        authenticator.start()
        authenticator.configure_curve_callback(credentials_provider=_OneKey(public))
        return authenticator

    def _socket(self, kind: int) -> zmq.Socket:
        socket = self._context.socket(kind)
        security = self._parts.settings.security
        if security.peer_public_key:
            socket.curve_publickey = security.peer_public_key.encode()
            socket.curve_secretkey = security.peer_secret_key.encode()
            if kind == zmq.ROUTER:
                socket.curve_server = True
            else:
                socket.curve_serverkey = security.peer_public_key.encode()
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

    def ask(self, node: str, make: Callable[[int], Question], timeout: float) -> Answer:
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
        self._hand_over(_Ask(node, encode_peer_message(make(number))))
        try:
            return future.get(timeout=timeout)
        except pykka.Timeout as error:
            raise PlatformError(f"peer {node} did not answer") from error
        finally:
            with self._questions_lock:
                self._questions.pop(number, None)

    def ask_address(self, address: str, make: Callable[[int], Question], timeout: float) -> Answer:
        """Ask a peer that is known by its address only."""
        self._hand_over(_Connect(address))
        return self.ask(address, make, timeout)

    def _hand_over(self, item: _Outgoing) -> None:
        self._outgoing.put(item)
        # A full wake queue means that the thread has been woken often enough.
        with self._wake_lock, contextlib.suppress(zmq.Again):
            self._wake.send(b"", zmq.NOBLOCK)

    def _run(self) -> None:
        poller = zmq.Poller()
        poller.register(self._listener, zmq.POLLIN)
        poller.register(self._woken, zmq.POLLIN)
        while not self._stopped.is_set():
            for socket, _ in poller.poll(_POLL_MS):
                try:
                    self._serve(socket)
                except (InvalidInput, ValueError) as error:
                    log_error("peer_message_dropped", error)
            known = set(self._dealers.values())
            for socket in known - {s for s, _ in poller.sockets}:
                poller.register(socket, zmq.POLLIN)
            for socket in {s for s, _ in poller.sockets} - known:
                if socket not in (self._listener, self._woken):
                    poller.unregister(socket)
                    socket.close()
            self._beat()

    def _serve(self, socket: zmq.Socket) -> None:
        if socket is self._woken:
            socket.recv()
            self._send_outgoing()
        elif socket is self._listener:
            sender, data = socket.recv_multipart()
            self._take(sender, decode_peer_message(data))
        else:
            self._take_answer(decode_peer_message(socket.recv()))

    def _send_outgoing(self) -> None:
        while not self._outgoing.empty():
            item = self._outgoing.get()
            if isinstance(item, _Addresses):
                self._reconnect(item.addresses)
            elif isinstance(item, _Connect):
                self._connect(item.address, item.address)
            elif isinstance(item, _Reply):
                self._try_send(self._listener, [item.identity, item.data])
            elif item.node in self._dealers:
                self._try_send(self._dealers[item.node], [item.data])

    @staticmethod
    def _try_send(socket: zmq.Socket, frames: list[bytes]) -> None:
        try:
            socket.send_multipart(frames, zmq.NOBLOCK)
        except zmq.ZMQError as error:
            # A full queue or a peer that went away; whoever asked runs into its timeout.
            log_error("peer_send_failed", error)

    def _reconnect(self, addresses: dict[str, str]) -> None:
        for node in list(self._dealers):
            if addresses.get(node) != self._addresses.get(node):
                del self._dealers[node]
                del self._addresses[node]
        for node, address in addresses.items():
            self._connect(node, address)

    def _connect(self, node: str, address: str) -> None:
        if node in self._dealers:
            return
        socket = self._socket(zmq.DEALER)
        socket.connect(f"tcp://{address}")
        self._dealers[node] = socket
        self._addresses[node] = address

    def _take(self, sender: bytes, message: PeerMessage) -> None:
        if isinstance(message, Heartbeat):
            self._heard(message)
        elif isinstance(message, Question):
            self._answerers.submit(self._answer_one, sender, message)

    def _answer_one(self, sender: bytes, question: Question) -> None:
        answer = self._answer(question)
        if answer is not None:
            self._hand_over(_Reply(sender, encode_peer_message(answer)))

    def _take_answer(self, message: PeerMessage) -> None:
        if not isinstance(message, Answer):
            return
        with self._questions_lock:
            future = self._questions.pop(message.number, None)
        if future is not None:
            future.set(message)

    def _beat(self) -> None:
        now = time.monotonic()
        if now < self._next_beat:
            return
        parts = self._parts
        self._next_beat = now + parts.settings.timing.heartbeat_ms / 1000
        digest_offset, digest = parts.digest
        data = encode_peer_message(
            Heartbeat(
                parts.settings.node.name,
                parts.incarnation,
                parts.applied_offset,
                digest_offset,
                digest,
                parts.reaches_log,
                parts.idle_slots,
            )
        )
        for dealer in self._dealers.values():
            self._try_send(dealer, [data])

"""One thread that waits for many connections.

A leader calls each of hundreds of workers all the time, and most of those calls wait for an end.
A thread a call costs a switch of threads at each answer; here one thread waits for all of them.
"""

import collections
import contextlib
import heapq
import itertools
import selectors
import socket
import threading
from collections.abc import Callable

from ..clocks import steady_seconds
from ..threads import ServiceThread

__all__ = ["CallLoop"]

_MAX_WAKE_BYTES = 4096
"""The most wake-ups that are taken at a time."""

_MAX_WAIT_SECONDS = 1.0
"""The longest wait for something to happen; a stop wakes the thread anyway."""


class CallLoop:
    """The thread that waits.

    What it watches belongs to it; what other threads want of that goes through `submit`.

    Parameters
    ----------
    name
        The thread's name.
    """

    def __init__(self, name: str) -> None:
        self._selector = selectors.DefaultSelector()
        self._submitted: collections.deque[Callable[[], None]] = collections.deque()
        self._timers: list[tuple[float, int, Callable[[float], None]]] = []
        self._timer_numbers = itertools.count()
        self._stopped = threading.Event()
        self._wake_sender, self._wake_receiver = socket.socketpair()
        self._wake_sender.setblocking(False)
        self._wake_receiver.setblocking(False)
        self._selector.register(self._wake_receiver, selectors.EVENT_READ, self._drain_wakeups)
        self._thread = ServiceThread(self._run, name, self._stopped.is_set)

    def start(self) -> None:
        """Start the thread."""
        self._thread.start()

    def stop(self) -> None:
        """Make no more calls; those on their way are left to themselves."""
        self._stopped.set()
        self.flush()

    def submit(self, function: Callable[[], None]) -> None:
        """Have a function called on the loop's thread, once the loop is flushed."""
        self._submitted.append(function)

    def flush(self) -> None:
        """Wake the loop's thread for what was submitted: once for many calls."""
        # A full pipe means that it has been woken often enough, a closed one that it has ended.
        with contextlib.suppress(OSError):
            self._wake_sender.send(b"w")

    def watch(self, sock: socket.socket, events: int, on_ready: Callable[[int], None]) -> None:
        """Call a function whenever a socket is ready; on the loop's thread."""
        self._selector.register(sock, events, on_ready)

    def change_events(self, sock: socket.socket, events: int) -> None:
        """Watch a socket for other events."""
        self._selector.modify(sock, events, self._selector.get_key(sock).data)

    def unwatch(self, sock: socket.socket) -> None:
        """Watch a socket no more."""
        self._selector.unregister(sock)

    def call_at(self, at: float, callback: Callable[[float], None]) -> None:
        """Call a function with the steady time once it is ``at``, in seconds."""
        heapq.heappush(self._timers, (at, next(self._timer_numbers), callback))

    def _drain_wakeups(self, _events: int) -> None:
        with contextlib.suppress(BlockingIOError):
            self._wake_receiver.recv(_MAX_WAKE_BYTES)

    def _run(self) -> None:
        while not self._stopped.is_set():
            for key, events in self._selector.select(self._wait_seconds()):
                key.data(events)
            while self._submitted:
                self._submitted.popleft()()
            now = steady_seconds()
            while self._timers and self._timers[0][0] <= now:
                heapq.heappop(self._timers)[2](now)
        self._close_all()

    def _close_all(self) -> None:
        for key in list(self._selector.get_map().values()):
            key.fileobj.close()
        self._wake_sender.close()
        self._selector.close()

    def _wait_seconds(self) -> float:
        if self._submitted:
            return 0.0
        if not self._timers:
            return _MAX_WAIT_SECONDS
        return min(_MAX_WAIT_SECONDS, max(0.0, self._timers[0][0] - steady_seconds()))

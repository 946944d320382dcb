"""The threads that handle requests."""

import queue
import threading
from collections import deque

from ..logs import log_error
from .channel import Channel

__all__ = ["Dispatcher"]

_MAX_PIPELINED = 2
"""Threads that handle pipelined requests at once. Clients that send many requests at a time would
keep all threads busy, and the I/O thread would wait for the interpreter at each of its calls."""


class Dispatcher:
    """Handles the requests of connections, few of the pipelined ones at a time.

    Takes the place of waitress's dispatcher, whose lock the I/O thread may fail to get while the
    threads take one short task after the other.

    Parameters
    ----------
    threads
        Number of threads.
    """

    def __init__(self, threads: int) -> None:
        self._ready: queue.SimpleQueue[Channel] = queue.SimpleQueue()
        self._pipelined: deque[Channel] = deque()
        self._pipelined_ready = 0
        self._lock = threading.Lock()
        for number in range(threads):
            threading.Thread(target=self._run, name=f"http-{number}", daemon=True).start()

    def add_task(self, task: Channel) -> None:
        """Add a connection with a request to handle."""
        if task.is_pipelined:
            with self._lock:
                if self._pipelined_ready >= _MAX_PIPELINED:
                    self._pipelined.append(task)
                    return
                self._pipelined_ready += 1
        self._ready.put(task)

    def shutdown(self) -> None:
        """Leave the threads, which end with the process."""

    def _run(self) -> None:
        while True:
            task = self._ready.get()
            was_pipelined = task.is_pipelined
            try:
                task.service()
            except Exception as error:
                log_error("http_task_failed", error)
            if was_pipelined:
                self._end_pipelined()

    def _end_pipelined(self) -> None:
        with self._lock:
            if self._pipelined:
                self._ready.put(self._pipelined.popleft())
            else:
                self._pipelined_ready -= 1

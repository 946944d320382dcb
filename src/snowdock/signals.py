"""Handling of signals in the main thread while it waits."""

import collections
import signal
import threading
from collections.abc import Callable, Mapping

__all__ = ["SignalHandlers"]

_CHECK_INTERVAL_SECONDS = 0.2
"""Longest delay of a function while the main thread waits."""


class SignalHandlers:
    """Calls functions in the main thread for the signals that arrive.

    The system may deliver a signal to any thread, which does not end a wait of the main thread
    without a timeout: Python's handler would run only after it. The handlers themselves take no
    locks, since they may interrupt the main thread, or each other, at any point.

    Parameters
    ----------
    functions
        The function of each signal, by its number.
    """

    def __init__(self, functions: Mapping[int, Callable[[], None]]) -> None:
        self._functions = functions
        self._received: collections.deque[int] = collections.deque()
        for number in functions:
            signal.signal(number, lambda received, _frame: self._received.append(received))

    def wait_until_set(self, event: threading.Event) -> None:
        """Wait until an event is set, and call the functions of signals; for the main thread."""
        while not event.wait(_CHECK_INTERVAL_SECONDS):
            while self._received:
                self._functions[self._received.popleft()]()

"""Threads that a node cannot do without: an end that nobody asked for is never missed."""

import threading
from collections.abc import Callable

from .logs import log_error

__all__ = ["ServiceThread", "add_lost_thread_listener"]

LostThreadListener = Callable[[str], None]

_listeners: list[LostThreadListener] = []


def add_lost_thread_listener(listener: LostThreadListener) -> None:
    """Call a function with the name of each service thread that ends unasked, on that thread.

    Whoever listens ends the process: a node without its front or its heartbeats would go on
    looking alive to some and be dead to others.
    """
    _listeners.append(listener)


class ServiceThread(threading.Thread):
    """A daemon thread that runs until it is asked to end.

    Parameters
    ----------
    target
        What it runs.
    name
        Told in logs.
    may_end
        Whether the thread has been asked to end; by default it never is.
    """

    def __init__(
        self,
        target: Callable[[], None],
        name: str,
        is_stopping: Callable[[], bool] = lambda: False,
    ) -> None:
        super().__init__(name=name, daemon=True)
        self._target_function = target
        self._is_stopping = is_stopping

    def run(self) -> None:
        """Run the target, and tell of an end that nobody asked for."""
        cause: BaseException | str = "it returned"
        try:
            self._target_function()
            if self._is_stopping():
                return
        except BaseException as error:
            # Also what would end the interpreter: in a thread it would only end that thread.
            cause = error
        log_error("thread_lost", cause, thread=self.name)
        for listener in list(_listeners):
            listener(self.name)

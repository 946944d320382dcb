"""Threads that a node depends on; an unrequested end of one is logged and reported."""

import threading
from collections.abc import Callable

from .logs import log_error

__all__ = ["ServiceThread", "add_lost_thread_listener"]

LostThreadListener = Callable[[str], None]

_listeners: list[LostThreadListener] = []


def add_lost_thread_listener(listener: LostThreadListener) -> None:
    """Register a function to call, on the thread itself, when a service thread ends unrequested.

    The function is called with the thread's name. The daemon's listener ends the process, since a
    node without its front or its heartbeats would seem alive to only some of its peers.
    """
    _listeners.append(listener)


class ServiceThread(threading.Thread):
    """A daemon thread that runs until its end is requested.

    Parameters
    ----------
    target
        The function to run.
    name
        The thread's name, which is logged.
    is_stopping
        Returns whether the end of the thread was requested; by default it never is.
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
        """Run the target; log an unrequested end and call the listeners."""
        cause: BaseException | str = "it returned"
        try:
            self._target_function()
            if self._is_stopping():
                return
        except BaseException as error:
            # SystemExit and KeyboardInterrupt too, as they would only end this thread.
            cause = error
        log_error("thread_lost", cause, thread=self.name)
        for listener in list(_listeners):
            listener(self.name)

"""Threads of the soak test."""

import threading


class CheckedThread(threading.Thread):
    """A daemon thread that raises in `join` the exception that ended it."""

    def __init__(self) -> None:
        super().__init__(daemon=True)
        self._error: Exception | None = None

    def run(self) -> None:
        try:
            self.work()
        except Exception as error:
            self._error = error

    def work(self) -> None:
        """Do what the thread is for."""
        raise NotImplementedError

    def join(self, timeout: float | None = None) -> None:
        super().join(timeout)
        if self._error is not None:
            raise self._error

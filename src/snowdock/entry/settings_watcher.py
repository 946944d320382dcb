"""Reloads a node's settings when their file changes or on request."""

import os
import pathlib
import threading
from collections.abc import Callable

from ..errors import SettingsUnreadable
from ..logs import log_error
from ..platform.node_settings import SETTINGS_VARIABLE, NodeEnvironment, read_node_environment
from ..threads import ServiceThread

__all__ = ["SettingsWatcher"]

_POLL_SECONDS = 1.0
"""Time between checks of the file, and so the longest delay until a change takes effect."""


class SettingsWatcher:
    """A thread that watches the settings file.

    Parameters
    ----------
    on_reload
        Called with the settings after each reload.
    """

    def __init__(self, on_reload: Callable[[NodeEnvironment], None]) -> None:
        self._on_reload = on_reload
        self._stopped = threading.Event()
        self._reload_requested = threading.Event()
        self._thread = ServiceThread(self._run, "settings", self._stopped.is_set)

    def start(self) -> None:
        """Start watching."""
        self._thread.start()

    def stop(self) -> None:
        """Stop watching; the thread ends with its next check."""
        self._stopped.set()

    def request_reload(self) -> None:
        """Request a reload now, even if the file has not changed."""
        self._reload_requested.set()

    def _run(self) -> None:
        path = pathlib.Path(os.environ.get(SETTINGS_VARIABLE, ""))
        last_modified_ns = _read_modified_ns(path)
        while not self._stopped.is_set():
            is_requested = self._reload_requested.wait(_POLL_SECONDS)
            self._reload_requested.clear()
            modified_ns = _read_modified_ns(path)
            if not is_requested and modified_ns == last_modified_ns:
                continue
            last_modified_ns = modified_ns
            try:
                environment = read_node_environment()
            except SettingsUnreadable as error:
                log_error("settings_unusable", error)
                continue
            self._on_reload(environment)


def _read_modified_ns(path: pathlib.Path) -> int:
    try:
        return path.stat().st_mtime_ns
    except OSError:
        # The file may be in the middle of a replacement; the next check finds the new one.
        return 0

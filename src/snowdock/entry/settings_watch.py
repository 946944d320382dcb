"""Reloads a node's settings when their file changes or on request."""

import os
import pathlib
import threading
from collections.abc import Callable

from ..errors import SettingsUnreadable
from ..logs import log_error
from ..platform.node_settings import SETTINGS_VARIABLE, NodeEnvironment, read_node_environment
from ..threads import ServiceThread

__all__ = ["SettingsWatch"]

_LOOK_SECONDS = 1.0
"""Time between checks of the file, and so the longest delay until a change takes effect."""


class SettingsWatch:
    """A thread that watches the settings file.

    Parameters
    ----------
    on_reload
        Called with the settings after each reload.
    """

    def __init__(self, changed: Callable[[NodeEnvironment], None]) -> None:
        self._changed = changed
        self._stopped = threading.Event()
        self._asked = threading.Event()
        self._thread = ServiceThread(self._run, "settings", self._stopped.is_set)

    def start(self) -> None:
        """Start watching."""
        self._thread.start()

    def stop(self) -> None:
        """Stop watching; the thread ends with its next check."""
        self._stopped.set()

    def read_again(self) -> None:
        """Request a reload now, even if the file has not changed."""
        self._asked.set()

    def _run(self) -> None:
        path = pathlib.Path(os.environ.get(SETTINGS_VARIABLE, ""))
        seen = _modified(path)
        while not self._stopped.is_set():
            asked = self._asked.wait(_LOOK_SECONDS)
            self._asked.clear()
            now_seen = _modified(path)
            if not asked and now_seen == seen:
                continue
            seen = now_seen
            try:
                found = read_node_environment()
            except SettingsUnreadable as error:
                log_error("settings_unusable", error)
                continue
            self._changed(found)


def _modified(path: pathlib.Path) -> int:
    try:
        return path.stat().st_mtime_ns
    except OSError:
        # The file may be in the middle of a replacement; the next check finds the new one.
        return 0

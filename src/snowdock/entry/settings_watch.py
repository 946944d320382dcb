"""Reads a node's settings again when their file changes or somebody asks for it."""

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
"""Time between looks at the file: a change is in force within about a second."""


class SettingsWatch:
    """A thread that watches the settings file.

    Parameters
    ----------
    changed
        Called with the settings each time they have been read again.
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
        """Watch no more; the thread ends with its next look."""
        self._stopped.set()

    def read_again(self) -> None:
        """Have the file read now, changed or not."""
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
        # It is being replaced; the next look finds the new one.
        return 0

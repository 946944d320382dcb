"""Crowds of clients that stop short and stay open, and what a process keeps for them."""

import contextlib
import os
import pathlib
import selectors
import socket
import threading
import time
from collections.abc import Sequence

__all__ = ["Crowd", "Footprint", "drip"]

_STALL_SECONDS = 2.0
"""A crowd stops sending once no client could send anything for this time."""

_MAX_WAITS = 15
"""Pauses after which a process that still reads is waited for no longer."""

_SAMPLE_SECONDS = 0.02
_CONNECT_SECONDS = 1.0
_LISTEN_STATE = "0A"


class Crowd:
    """Connections that send the same bytes, and stay open until they are closed.

    Parameters
    ----------
    address
        IP address and port.
    size
        Number of connections; those that can't be opened are left out.
    """

    def __init__(self, address: tuple[str, int], size: int) -> None:
        self._sockets: list[socket.socket] = []
        for _ in range(size):
            with contextlib.suppress(OSError):
                client = socket.create_connection(address, _CONNECT_SECONDS)
                client.setblocking(False)
                self._sockets.append(client)

    def close(self) -> None:
        for client in self._sockets:
            client.close()

    def send(self, data: bytes, footprint: "Footprint | None" = None) -> None:
        """Send bytes over all connections, reading no answers.

        Ends when all is sent, when nothing moves any more, or when a footprint is over its bound.
        """
        unsent = {client: memoryview(data) for client in self._sockets}
        selector = selectors.DefaultSelector()
        for client in self._sockets:
            selector.register(client, selectors.EVENT_WRITE)
        while unsent and not (footprint and footprint.is_exceeded):
            ready = selector.select(_STALL_SECONDS)
            if not ready:
                break
            for key, _ in ready:
                client = key.fileobj
                try:
                    unsent[client] = unsent[client][client.send(unsent[client]) :]
                except BlockingIOError:
                    continue
                except OSError:
                    unsent[client] = memoryview(b"")
                if not unsent[client]:
                    del unsent[client]
                    selector.unregister(client)
        selector.close()


class Footprint:
    """Samples what a process keeps; a context manager.

    Memory is the resident memory, the sizes of open temporary files, and the bytes that have
    arrived on its connections and are not read yet.

    Parameters
    ----------
    pid
        The process.
    max_memory_mb, max_descriptors
        The bounds.
    """

    def __init__(self, pid: int, max_memory_mb: float, max_descriptors: int) -> None:
        self._folder = pathlib.Path("/proc", str(pid))
        self._max_memory_mb = max_memory_mb
        self._max_descriptors = max_descriptors
        self._memory_mb = 0.0
        self._descriptors = 0
        self._unread = 0
        self._stopped = threading.Event()
        self._thread = threading.Thread(target=self._run, daemon=True)

    @property
    def memory_mb(self) -> float:
        """Most memory that was seen, in MB."""
        return self._memory_mb

    @property
    def descriptors(self) -> int:
        """Most open descriptors that were seen."""
        return self._descriptors

    @property
    def is_exceeded(self) -> bool:
        """Whether a bound was exceeded."""
        return self._memory_mb > self._max_memory_mb or self._descriptors > self._max_descriptors

    def wait_until_read(self) -> None:
        """Wait until the process has read what has arrived, or reads nothing any more."""
        for _ in range(_MAX_WAITS):
            previous = self._unread
            time.sleep(_STALL_SECONDS)
            if self.is_exceeded or self._unread in (0, previous):
                return

    def __enter__(self) -> "Footprint":
        self._thread.start()
        return self

    def __exit__(self, *exception: object) -> None:
        self._stopped.set()
        self._thread.join()

    def _run(self) -> None:
        while not self._stopped.wait(_SAMPLE_SECONDS):
            with contextlib.suppress(OSError):
                self._sample()

    def _sample(self) -> None:
        names = os.listdir(self._folder / "fd")
        inodes = set()
        file_bytes = 0
        for name in names:
            # A descriptor may be closed meanwhile.
            with contextlib.suppress(OSError):
                path = self._folder / "fd" / name
                target = os.readlink(path)
                if target.startswith("socket:["):
                    inodes.add(target[len("socket:[") : -1])
                elif target.endswith(" (deleted)"):
                    file_bytes += path.stat().st_size
        self._unread = self._unread_bytes(inodes)
        memory = self._resident_bytes() + file_bytes + self._unread
        self._memory_mb = max(self._memory_mb, memory / 1_000_000)
        self._descriptors = max(self._descriptors, len(names))

    def _resident_bytes(self) -> int:
        """Return the peak of the resident memory so far."""
        for line in (self._folder / "status").read_text().splitlines():
            if line.startswith("VmHWM:"):
                return int(line.split()[1]) * 1024
        return 0

    def _unread_bytes(self, inodes: set[str]) -> int:
        rows = (line.split() for line in (self._folder / "net/tcp").read_text().splitlines()[1:])
        return sum(
            int(row[4].partition(":")[2], 16)
            for row in rows
            if row[9] in inodes and row[3] != _LISTEN_STATE
        )


def drip(crowd: Crowd, pieces: Sequence[bytes], pause_s: float, stopped: threading.Event) -> None:
    """Send pieces over a crowd with a pause between them, until stopped."""
    for piece in pieces:
        if stopped.is_set():
            return
        crowd.send(piece)
        time.sleep(pause_s)

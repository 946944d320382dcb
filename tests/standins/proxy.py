"""A loopback TCP proxy that can delay, reset or black-hole connections, also in one direction."""

import contextlib
import enum
import socket
import struct
import threading
import time

CHUNK_BYTES = 65_536
ACCEPT_TIMEOUT_SECONDS = 0.2
LINGER_RESET = struct.pack("ii", 1, 0)


class Mode(enum.Enum):
    PASS = "pass"
    DELAY = "delay"
    SILENT = "silent"
    CUT_REQUESTS = "cut requests"
    CUT_ANSWERS = "cut answers"
    RESET = "reset"


class Proxy:
    """Forwards one port; ``mode`` may be changed while connections are open.

    Data that arrives while a direction is cut or silenced is dropped.
    """

    def __init__(self, target: str) -> None:
        host, _, port = target.rpartition(":")
        self.mode = Mode.PASS
        self.delay_s = 0.0
        self.accepted = 0
        self._target = (host, int(port))
        self._listener = socket.create_server(("127.0.0.1", 0))
        self._listener.settimeout(ACCEPT_TIMEOUT_SECONDS)
        self.address = f"127.0.0.1:{self._listener.getsockname()[1]}"
        self._sockets: set[socket.socket] = set()
        self._blackholed: set[socket.socket] = set()
        self._lock = threading.Lock()
        self._closed = False
        threading.Thread(target=self._accept, daemon=True).start()

    def set(self, mode: Mode, delay_s: float = 0.0) -> None:
        self.mode = mode
        self.delay_s = delay_s
        if mode is Mode.RESET:
            with self._lock:
                sockets, self._sockets = self._sockets, set()
            for each in sockets:
                self._reset(each)

    def swallow_open(self) -> None:
        """Black-hole the open connections permanently; new connections work."""
        with self._lock:
            self._blackholed |= self._sockets

    def close(self) -> None:
        self._closed = True
        self.set(Mode.RESET)

    @staticmethod
    def _reset(each: socket.socket) -> None:
        with contextlib.suppress(OSError):
            each.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, LINGER_RESET)
            each.shutdown(socket.SHUT_RDWR)
        with contextlib.suppress(OSError):
            each.close()

    def _accept(self) -> None:
        while not self._closed:
            try:
                client, _ = self._listener.accept()
            except TimeoutError:
                continue
            except OSError:
                return
            if self.mode is Mode.RESET:
                self._reset(client)
                continue
            try:
                server = socket.create_connection(self._target, 2)
            except OSError:
                self._reset(client)
                continue
            # The timeout applies to connecting only; one direction may be idle for long.
            server.settimeout(None)
            with self._lock:
                self.accepted += 1
                self._sockets |= {client, server}
            for source, sink, cut in (
                (client, server, Mode.CUT_REQUESTS),
                (server, client, Mode.CUT_ANSWERS),
            ):
                threading.Thread(
                    target=self._forward, args=(source, sink, cut), daemon=True
                ).start()
        self._listener.close()

    def _forward(self, source: socket.socket, sink: socket.socket, cut: Mode) -> None:
        with contextlib.suppress(OSError):
            while data := source.recv(CHUNK_BYTES):
                if self.mode is Mode.DELAY:
                    time.sleep(self.delay_s)
                if self.mode not in (Mode.SILENT, cut) and source not in self._blackholed:
                    sink.sendall(data)
        with contextlib.suppress(OSError):
            sink.shutdown(socket.SHUT_RDWR)
        with self._lock:
            self._sockets -= {source, sink}
        for each in (source, sink):
            with contextlib.suppress(OSError):
                each.close()

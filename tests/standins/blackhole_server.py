"""A server that can stop answering on its open connections, while new connections work."""

import contextlib
import re
import socket
import threading

BODY = b'{"clock_ms":1,"running":[],"ended":[],"good":[]}'
ANSWER = b"HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%b" % (len(BODY), BODY)


class BlackholeServer:
    """Answers each request; ``blackhole_open`` black-holes all connections that are open.

    Responses are delayed while ``may_answer`` is cleared, so that concurrent calls need one
    connection each.
    """

    def __init__(self) -> None:
        self.may_answer = threading.Event()
        self.may_answer.set()
        self.accepted = 0
        self.received = 0
        self._blackholed: set[socket.socket] = set()
        self._connections: set[socket.socket] = set()
        self._listener = socket.create_server(("127.0.0.1", 0))
        self.address = f"127.0.0.1:{self._listener.getsockname()[1]}"
        threading.Thread(target=self._accept, daemon=True).start()

    def blackhole_open(self) -> None:
        """Stop answering on all open connections, without closing them."""
        self._blackholed |= self._connections

    def close(self) -> None:
        """Close the listener and all connections."""
        with contextlib.suppress(OSError):
            self._listener.shutdown(socket.SHUT_RDWR)
        self._listener.close()
        for each in list(self._connections):
            each.close()

    def _accept(self) -> None:
        with contextlib.suppress(OSError):
            while True:
                connection, _ = self._listener.accept()
                self.accepted += 1
                self._connections.add(connection)
                threading.Thread(target=self._serve, args=(connection,), daemon=True).start()

    def _serve(self, connection: socket.socket) -> None:
        with contextlib.suppress(OSError):
            while _read_request(connection):
                self.received += 1
                self.may_answer.wait(10.0)
                if connection not in self._blackholed:
                    connection.sendall(ANSWER)
        self._connections.discard(connection)


def _read_request(connection: socket.socket) -> bool:
    """Read a whole request and return True, or False if the connection was closed."""
    data = b""
    while b"\r\n\r\n" not in data:
        part = connection.recv(65_536)
        if not part:
            return False
        data += part
    head, _, body = data.partition(b"\r\n\r\n")
    length = re.search(rb"(?i)^content-length: *(\d+)", head, re.MULTILINE)
    missing = (int(length[1]) if length else 0) - len(body)
    while missing > 0:
        part = connection.recv(missing)
        if not part:
            return False
        missing -= len(part)
    return True

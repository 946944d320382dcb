"""Tests of the stand-ins' HTTP server."""

import http.client
import os
import threading
import unittest

from tests.standins.entry_cluster import wait_until
from tests.standins.platform import Server


class TestServer(unittest.TestCase):
    def test_late_response_does_not_write_to_a_reused_descriptor(self) -> None:
        """A response after the server's end writes to no descriptor that was opened since."""
        entered, released = threading.Event(), threading.Event()

        def handle(*_: object) -> tuple[int, bytes]:
            entered.set()
            released.wait(5.0)
            return 200, b""

        other_threads = set(threading.enumerate())
        server = Server(handle)
        caller = http.client.HTTPConnection("127.0.0.1", server.port, timeout=5.0)
        self.addCleanup(caller.close)
        caller.request("GET", "/")
        entered.wait(5.0)
        descriptor = server._server.trigger.trigger
        own_threads = set(threading.enumerate()) - other_threads
        threads = {each for each in own_threads if each.name.startswith("waitress")}
        server.close()
        self.assertTrue(wait_until(lambda: not _is_open(descriptor), 5.0))
        reader, writer = os.pipe()
        os.dup2(writer, descriptor)
        for each in {writer, descriptor}:
            self.addCleanup(os.close, each)
        self.addCleanup(os.close, reader)
        os.set_blocking(reader, False)
        released.set()
        for thread in threads:
            thread.join(5.0)
        with self.assertRaises(BlockingIOError):
            os.read(reader, 10)


def _is_open(descriptor: int) -> bool:
    try:
        os.fstat(descriptor)
    except OSError:
        return False
    return True


if __name__ == "__main__":
    unittest.main()

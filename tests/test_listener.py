"""Tests of the listeners with many open descriptors and with too many callers."""

import os
import resource
import socket
import threading
import types
import unittest
import unittest.mock
from contextlib import ExitStack

import urllib3

from snowdock.entry.listener import create_listener, max_callers
from snowdock.entry.probe_server import ProbeServer
from snowdock.node.metrics import Metrics
from snowdock.threads import ServiceThread
from tests.standins.entry_cluster import wait_until
from tests.standins.ports import free_port

DESCRIPTORS = 1500
EXCESS_CONNECTIONS = 10
"""Connections above the limit."""


def serve_empty_object(environ, start_response):
    start_response("200 OK", [("Content-Length", "2")])
    return [b"{}"]


class TestListeners(unittest.TestCase):
    def setUp(self) -> None:
        before = resource.getrlimit(resource.RLIMIT_NOFILE)
        wanted = (max(before[0], min(before[1], 4096)), before[1])
        resource.setrlimit(resource.RLIMIT_NOFILE, wanted)
        self.addCleanup(resource.setrlimit, resource.RLIMIT_NOFILE, before)
        self.resources = ExitStack()
        self.addCleanup(self.resources.close)

    def occupy_descriptors(self) -> None:
        for _ in range(DESCRIPTORS):
            self.resources.callback(os.close, os.open(os.devnull, os.O_RDONLY))

    def start_listener(self, max_descriptors: int, application=serve_empty_object) -> str:
        address = f"127.0.0.1:{free_port('127.0.0.1')}"
        environment = types.SimpleNamespace(
            front_address=address,
            max_descriptors=max_descriptors,
            memory_mb=300.0,
            body_timeout_s=30.0,
        )
        listener = create_listener(application, environment, Metrics())
        ServiceThread(listener.run, "front").start()
        return address

    def request(self, address: str, path: str = "/") -> urllib3.BaseHTTPResponse:
        host, _, port = address.rpartition(":")
        pool = urllib3.HTTPConnectionPool(host, int(port), retries=False, timeout=10)
        self.resources.callback(pool.close)
        return pool.request("GET", path)

    def test_listener_with_many_descriptors(self) -> None:
        """Connections with a descriptor above 1,023 are served."""
        self.occupy_descriptors()
        address = self.start_listener(4100)
        for _ in range(3):
            self.assertEqual(self.request(address).status, 200)

    def test_probes_with_many_descriptors(self) -> None:
        """Probes on a connection with a descriptor above 1,023 are answered."""
        self.occupy_descriptors()
        address = f"127.0.0.1:{free_port('127.0.0.1')}"
        self.enterContext(unittest.mock.patch.dict(os.environ, SNOWDOCK_METRICS_PORT="0"))
        ProbeServer(address, lambda: True, Metrics()).start()
        for _ in range(3):
            self.assertEqual(self.request(address, "/v1/readiness").status, 200)

    def occupy_connections(self, address: str, size: int, data: bytes = b"") -> None:
        host, _, port = address.rpartition(":")
        for _ in range(size):
            client = socket.create_connection((host, int(port)))
            self.resources.enter_context(client)
            client.sendall(data)

    def test_silent_callers_above_the_limit(self) -> None:
        """A caller is served although more silent connections are open than the limit."""
        address = self.start_listener(200)
        self.assertEqual(self.request(address).status, 200)
        self.occupy_connections(address, max_callers(200) + EXCESS_CONNECTIONS)
        self.assertEqual(self.request(address).status, 200)

    def test_callers_above_the_limit(self) -> None:
        """Requests above the limit of those in handling get 503 with a `Retry-After` and a close.

        The answer states that they were not run.
        """
        released = threading.Event()
        self.addCleanup(released.set)
        handled = []

        def wait(environ, start_response):
            handled.append(environ["PATH_INFO"])
            released.wait(10)
            return serve_empty_object(environ, start_response)

        address = self.start_listener(200, wait)
        limit = max_callers(200)
        self.occupy_connections(address, limit, b"GET /held HTTP/1.1\r\n\r\n")
        refused = self.request(address, "/above")
        self.assertEqual(refused.status, 503)
        self.assertEqual(refused.headers["Connection"], "close")
        self.assertIn("Retry-After", refused.headers)
        self.assertEqual(refused.json()["outcome"], "not-run")
        released.set()
        self.assertTrue(wait_until(lambda: len(handled) == limit))
        self.assertNotIn("/above", handled)


if __name__ == "__main__":
    unittest.main()

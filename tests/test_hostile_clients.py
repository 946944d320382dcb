"""Tests with clients that stop short and stay open: a process lives, stays small and answers.

Crowds and bounds follow from the smallest VM's memory and from the limits in the settings.
"""

import json
import os
import secrets
import socket
import threading
import unittest
from collections.abc import Callable

import urllib3

from tests.standins.cluster import Cluster
from tests.standins.entry_cluster import CONFIGURATION, EntryCluster, EntryProcess, wait_until
from tests.standins.hostile_clients import Crowd, Footprint, drip
from tests.standins.ports import free_port

MEMORY_MB = 160
"""Memory of the smallest VM."""

MAX_DESCRIPTORS = 1500
CROWD = 700
"""Clients at once: the connections that a node with so many descriptors serves, less a few."""

MAX_BODY = 262_144
MAX_HEADER = 16_384
LIMITS = {
    "max_header_bytes": MAX_HEADER,
    "max_body_bytes": MAX_BODY,
    "header_timeout_ms": 3000,
    "idle_timeout_ms": 15_000,
}
API_MEMORY_MB = 300
"""Memory of a usual VM."""

API_CROWD = 95
"""Clients at once of the API, which serves 100 connections."""

API_BODY = 4_000_000
_ATTEMPTS = 6
_GUARD_SECONDS = 30.0
"""Wait for a state that does not come on its own; not a bound on the product."""


def head(*fields: str, path: str = "/jobs/0123456789abcdef") -> bytes:
    """Return the head of a submission, without the line that ends it."""
    lines = (f"POST {path} HTTP/1.1", "Host: jobs.example", "Content-Type: application/json")
    return "".join(f"{line}\r\n" for line in (*lines, *fields)).encode()


def with_length(size: int) -> bytes:
    """Return a submission with a length that lacks its last byte."""
    return head(f"Content-Length: {size}") + b"\r\n" + b" " * (size - 1)


def in_chunks(chunk: int, size: int) -> bytes:
    """Return a chunked submission of ``size`` bytes that lacks the chunk that ends it."""
    one = b"%x\r\n" % chunk + b" " * chunk + b"\r\n"
    return CHUNKED_HEAD + one * (size // chunk)


CHUNKED_HEAD = head("Transfer-Encoding: chunked") + b"\r\n"


def check_outcome(
    test: unittest.TestCase, is_running: bool, footprint: Footprint, answered: bool
) -> None:
    """Check that a process lives, stayed within its bounds and answered a request."""
    test.assertTrue(is_running, "the process ended")
    test.assertFalse(
        footprint.is_exceeded,
        f"{footprint.memory_mb:.0f} MB, {footprint.descriptors} descriptors",
    )
    test.assertTrue(answered, "no ordinary request was answered")


class HostileCase(unittest.TestCase):
    """Runs one daemon, and checks its footprint and an ordinary request."""

    def start(self, limits: dict = LIMITS, callers: str = "") -> EntryProcess:
        metrics_port = free_port("127.0.1.1")

        class Process(EntryProcess):
            def write_settings(self) -> None:
                super().write_settings()
                text = self.settings.read_text()
                stated = f"[limits]\nmemory_mb = {MEMORY_MB}\n"
                self.settings.write_text(text.replace("[limits]\n", stated) + callers)

            def environment(self) -> dict[str, str]:
                return {**super().environment(), "SNOWDOCK_METRICS_PORT": str(metrics_port)}

        self.cluster = EntryCluster(1, 1, make_process=Process)
        self.addCleanup(self.cluster.close)
        self.metrics_port = metrics_port
        configuration = {**CONFIGURATION, "version": 4, "limits": limits}
        self.cluster.store.put("keyed.op", "config", configuration)
        (self.node,) = self.cluster.nodes
        self.assertTrue(self.cluster.wait_ready())
        self.assertTrue(wait_until(self.submit), "the node accepts no job in calm")
        return self.node

    def submit(self, body: bytes | None = None) -> bool:
        """Submit an ordinary job and return whether it was accepted."""
        path, job = self.cluster.make_job([{"count": 1, "cpu": 10, "mem_mb": 10}])
        return self.node.call("POST", path, body or job)[0] == 200

    def footprint(self) -> Footprint:
        found = Footprint(self.node.process.pid, MEMORY_MB, MAX_DESCRIPTORS)
        return self.enterContext(found)

    def crowd(self, size: int = CROWD, port: int | None = None) -> Crowd:
        found = Crowd((self.node.ip, port or self.node.front), size)
        self.addCleanup(found.close)
        return found

    def check(self, footprint: Footprint, ask: Callable[[], bool] | None = None) -> None:
        """Check that the process lives, stayed within its bounds and answers a request."""
        answered = not footprint.is_exceeded and any(
            (ask or self.submit)() for _ in range(_ATTEMPTS)
        )
        check_outcome(self, self.node.process.poll() is None, footprint, answered)

    def check_crowd(self, data: bytes, limits: dict = LIMITS, size: int = CROWD) -> None:
        """Check a daemon whose front listener gets the same bytes from a whole crowd."""
        self.start(limits)
        footprint = self.footprint()
        self.crowd(size).send(data, footprint)
        footprint.wait_until_read()
        self.check(footprint)


class TestBodies(HostileCase):
    def test_bodies_with_a_length_exhaust_memory(self) -> None:
        """Bodies of legal size that lack their last byte."""
        self.check_crowd(with_length(MAX_BODY - 1))

    def test_large_chunks_exhaust_memory(self) -> None:
        """Bodies in large chunks that lack the last chunk."""
        self.check_crowd(in_chunks(8000, MAX_BODY - 16_000))

    def test_small_chunks_occupy_the_io_thread(self) -> None:
        """Bodies in one-byte chunks that lack the last chunk."""
        self.check_crowd(in_chunks(1, 40_000))

    def test_endless_chunk_line_exhausts_memory(self) -> None:
        """A chunk extension that never ends."""
        self.check_crowd(CHUNKED_HEAD + b"1;" + b"a" * (MAX_BODY - 1000))

    def test_endless_trailer_exhausts_memory(self) -> None:
        """A trailer that never ends."""
        self.check_crowd(CHUNKED_HEAD + b"0\r\nA: " + b"a" * (MAX_BODY - 1000))

    def test_large_bodies_fill_temporary_files(self) -> None:
        """Bodies above 512 KiB, where the configuration sets no limit."""
        self.check_crowd(with_length(900_000), {}, CROWD // 2)

    def test_whole_bodies_exhaust_memory(self) -> None:
        """Whole bodies of legal size, all at once, that hold as many steps as fit."""
        step = b'{"count":1},'
        start, end = b'{"spec":"","steps":[', b'{"count":1}]}'
        body = start + step * ((MAX_BODY - 100 - len(start + end)) // len(step)) + end
        self.check_crowd(head(f"Content-Length: {len(body)}") + b"\r\n" + body)

    def test_largest_body_is_rejected(self) -> None:
        """A job of exactly the largest legal size is accepted in calm."""
        self.start()
        self.assertTrue(self.submit(self.padded_job()))

    def test_largest_body_in_one_byte_chunks_is_rejected(self) -> None:
        """A job of the largest legal size, in chunks of one byte, is accepted in calm."""
        self.start()
        body = self.padded_job()
        with socket.create_connection((self.node.ip, self.node.front), _GUARD_SECONDS) as client:
            path = f"/jobs/{secrets.token_hex(8)}"
            chunks = b"".join(b"1\r\n%c\r\n" % byte for byte in body)
            request = head("Transfer-Encoding: chunked", path=path) + b"\r\n" + chunks
            client.sendall(request + b"0\r\n\r\n")
            self.assertEqual(client.recv(12), b"HTTP/1.1 200")

    def padded_job(self) -> bytes:
        body = json.dumps({"spec": "x", "steps": [{"count": 1, "cpu": 10}]}).encode()
        return body + b" " * (MAX_BODY - len(body))


class TestHeads(HostileCase):
    def test_many_header_fields_exhaust_memory(self) -> None:
        """A head with as many fields as fit, of a body that lacks its last byte."""
        fields = [f"{number:x}:" for number in range((MAX_HEADER - 1000) // 6)]
        self.check_crowd(head("Content-Length: 9", *fields) + b"\r\n12345678")

    def test_pipelined_requests_exhaust_memory(self) -> None:
        """Short requests sent at once, of whose answers nothing is read."""
        request = b"GET /none HTTP/1.1\r\nHost: h\r\n\r\n"
        self.check_crowd(request * 8000)

    def test_crowd_shuts_ordinary_callers_out(self) -> None:
        """More silent connections than a node serves, each with half a head."""
        self.check_crowd(head(), size=MAX_DESCRIPTORS)


class TestDeadlines(HostileCase):
    """Clients that go on sending a byte at a time are closed in the end."""

    def check_closed(self, start: bytes, piece: bytes, size: int = 60) -> None:
        limits = {**LIMITS, "header_timeout_ms": 1000, "idle_timeout_ms": 2000}
        node = self.start(limits, "[callers]\nbody_timeout_ms = 1000\n")
        footprint = self.footprint()
        folder = f"/proc/{node.process.pid}/fd"
        before = len(os.listdir(folder))
        crowd = self.crowd(size)
        self.assertTrue(wait_until(lambda: len(os.listdir(folder)) >= before + size))
        crowd.send(start)
        stopped = threading.Event()
        pieces = [piece] * int(_GUARD_SECONDS * 10)
        dripping = threading.Thread(target=drip, args=(crowd, pieces, 0.1, stopped))
        dripping.start()
        try:
            is_closed = wait_until(
                lambda: len(os.listdir(folder)) < before + size // 2, _GUARD_SECONDS
            )
        finally:
            stopped.set()
            dripping.join()
        self.assertTrue(is_closed, "the connections are kept open")
        self.check(footprint)

    def test_dripped_head_is_kept_open(self) -> None:
        """A head of which a byte comes now and then."""
        self.check_closed(head() + b"X: ", b"a")

    def test_dripped_body_is_kept_open(self) -> None:
        """A body of which a byte comes now and then."""
        self.check_closed(with_length(MAX_BODY - 1)[: len(head()) + 40], b" ")

    def test_dripped_chunk_line_is_kept_open(self) -> None:
        """A chunk extension of which a byte comes now and then."""
        self.check_closed(CHUNKED_HEAD + b"1;a", b"a")

    def test_silent_connections_are_kept_open(self) -> None:
        """Connections that send nothing."""
        self.check_closed(b"", b"")


class TestOtherListeners(HostileCase):
    def test_bodies_to_the_readiness_listener_fill_files(self) -> None:
        """Large bodies to the listener of the readiness probes."""
        self.start()
        footprint = self.footprint()
        self.crowd(API_CROWD, self.node.ready).send(with_length(API_BODY), footprint)
        footprint.wait_until_read()
        self.check(footprint, lambda: self.node.probe() == 200)

    def test_bodies_to_the_metrics_listener_fill_files(self) -> None:
        """Large bodies to the listener of the metrics, which serves the probes as well."""
        self.start()
        footprint = self.footprint()
        self.crowd(API_CROWD, self.metrics_port).send(with_length(API_BODY), footprint)
        footprint.wait_until_read()
        self.check(footprint, lambda: self.node.probe() == 200)

    def test_silent_crowd_blocks_the_readiness_probes(self) -> None:
        """More silent connections to the readiness listener than it serves."""
        self.start()
        footprint = self.footprint()
        self.crowd(2 * API_CROWD, self.node.ready).send(b"GET /v1/readiness HTTP/1.1\r\n")
        self.check(footprint, lambda: self.node.probe() == 200)

    def test_unfinished_peer_messages_exhaust_memory(self) -> None:
        """Messages of 60 MB to the peers' port, of which most is never sent."""
        self.start()
        footprint = self.footprint()
        crowd = self.crowd(API_CROWD, self.node.peer)
        greeting = b"\xff" + bytes(8) + b"\x7f\x03\x00NULL" + bytes(16) + b"\x00" + bytes(31)
        ready = b"\x04\x29\x05READY\x0bSocket-Type\x00\x00\x00\x06DEALER\x08Identity" + bytes(4)
        crowd.send(greeting + ready)
        crowd.send(b"\x02" + (60_000_000).to_bytes(8, "big") + bytes(3_000_000), footprint)
        footprint.wait_until_read()
        self.check(footprint)


class TestProductApi(unittest.TestCase):
    """The API of ``snowdockd``, with its defaults."""

    def setUp(self) -> None:
        self.cluster = Cluster(workers=1, minions=1)
        self.addCleanup(self.cluster.close)
        self.cluster.start_nodes(1)
        self.process = self.cluster.nodes["node-0"]
        host, _, port = self.cluster.addresses["node-0"].rpartition(":")
        self.address = (host, int(port))

    def is_answered(self) -> bool:
        """Ask over a new connection."""
        pool = urllib3.HTTPConnectionPool(*self.address, retries=False, timeout=5)
        try:
            return pool.request("GET", "/v1/status").status == 200
        except urllib3.exceptions.HTTPError:
            return False

    def check_crowd(self, data: bytes, size: int) -> None:
        footprint = Footprint(self.process.pid, API_MEMORY_MB, MAX_DESCRIPTORS)
        with footprint:
            crowd = Crowd(self.address, size)
            self.addCleanup(crowd.close)
            crowd.send(data, footprint)
            footprint.wait_until_read()
            answered = not footprint.is_exceeded and any(
                self.is_answered() for _ in range(_ATTEMPTS)
            )
        check_outcome(self, self.process.is_running, footprint, answered)

    def test_bodies_to_the_api_fill_temporary_files(self) -> None:
        """Bodies of legal size that lack their last byte."""
        self.check_crowd(with_length(API_BODY - 1), API_CROWD)

    def test_silent_crowd_shuts_callers_out_of_the_api(self) -> None:
        """More silent connections than the API serves."""
        self.check_crowd(head(), 2 * API_CROWD)


if __name__ == "__main__":
    unittest.main()

"""Tests of the bounded HTTP server: parsing, choosing whom to close, turns and refusals."""

import json
import select
import socket
import threading
import unittest

from waitress.adjustments import Adjustments

from snowdock.http_server import ConnectionLimits, budget_bytes, create_server, max_connections
from snowdock.http_server.budget import Budget, ReadTurns
from snowdock.http_server.progress import Progress, choose_victims, is_nearly_whole
from snowdock.http_server.request_parser import RequestParser
from snowdock.node.metrics import Metrics
from snowdock.threads import ServiceThread
from tests.standins.entry_cluster import wait_until
from tests.standins.ports import free_port

MAX_BODY = 1000
MAX_HEAD = 500
HEAD = b"POST /a HTTP/1.1\r\nHost: h\r\n"
CHUNKED = HEAD + b"Transfer-Encoding: chunked\r\n\r\n"
SETTINGS = Adjustments(max_request_body_size=MAX_BODY, max_request_header_size=MAX_HEAD)


def parse(data: bytes, piece: int) -> tuple[RequestParser, int]:
    """Parse a request in pieces; return it and how many bytes it took."""
    parser = RequestParser(SETTINGS)
    taken = 0
    while taken < len(data) and not parser.completed:
        taken += parser.received(data[taken : taken + piece])
    return parser, taken


def with_length(size: int) -> bytes:
    return HEAD + b"Content-Length: %d\r\n\r\n" % size + b"x" * size


class TestRequestParser(unittest.TestCase):
    def test_pieces_of_any_size(self) -> None:
        """Heads, lengths and chunks mean the same however the bytes arrive."""
        chunks = b"3;a=b\r\nabc\r\n2\r\nde\r\n0\r\nTrailer: x\r\n\r\n"
        for piece in (1, 2, 3, 7, 8192):
            with self.subTest(piece):
                parser, _ = parse(CHUNKED + chunks, piece)
                self.assertTrue(parser.completed)
                self.assertEqual(parser.get_body_stream().read(), b"abcde")
                self.assertEqual(parser.headers["CONTENT_LENGTH"], "5")
                self.assertNotIn("CONNECTION", parser.headers)
                parser, taken = parse(b"\r\n" + with_length(9) + b"GET /b", piece)
                if not parser.empty:
                    self.assertEqual(parser.get_body_stream().read(), b"x" * 9)
                    self.assertEqual(taken, len(with_length(9)) + 2)

    def test_largest_bodies(self) -> None:
        """A body of the largest size is accepted in either form, a longer one is not."""
        one_byte = b"1\r\nx\r\n"
        for size, status in ((MAX_BODY, None), (MAX_BODY + 1, 413)):
            for data in (with_length(size), CHUNKED + one_byte * size + b"0\r\n\r\n"):
                with self.subTest(size=size, start=data[:60]):
                    parser, _ = parse(data, 64)
                    self.assertTrue(parser.completed)
                    self.assertEqual(getattr(parser.error, "status", None), status)

    def test_framing_is_not_kept(self) -> None:
        """Chunk lines and trailers of any length keep nothing; a head is limited."""
        for start in (b"1;", b"0\r\nA: "):
            parser, _ = parse(CHUNKED + start + b"a" * 100_000, 8192)
            self.assertLess(parser.kept_bytes, 1000)
        parser, _ = parse(HEAD + b"A: " + b"a" * 100_000, 8192)
        self.assertEqual(parser.error.status, 431)
        self.assertEqual(parser.kept_bytes, 0)

    def test_many_fields(self) -> None:
        """A head with more than a hundred fields is refused, however small it is."""
        settings = Adjustments(max_request_header_size=9999)
        for count, status in ((90, None), (101, 431)):
            parser = RequestParser(settings)
            parser.received(HEAD + b"a:\r\n" * count + b"\r\n")
            self.assertEqual(getattr(parser.error, "status", None), status)

    def test_malformed(self) -> None:
        """Malformed heads and chunks are invalid input."""
        cases = (
            HEAD + b"Content-Length: x\r\n\r\n",
            HEAD + b"Content-Length: " + b"9" * 5000 + b"\r\n\r\n",
            CHUNKED + b"zz\r\n",
            CHUNKED + b"1\r\nxy\r\n",
        )
        settings = Adjustments(max_request_header_size=9999)
        for data in cases:
            parser = RequestParser(settings)
            parser.received(data[:9000])
            parser.received(data[parser.bytes_received :])
            self.assertEqual(parser.error.status, 400, data)
        parser, _ = parse(HEAD + b"Transfer-Encoding: gzip\r\n\r\n", 8192)
        self.assertEqual(parser.error.status, 501)

    def test_request_behind_chunks(self) -> None:
        """A connection ends after a chunked body with bytes of another request behind it."""
        parser, _ = parse(CHUNKED + b"1\r\nx\r\n0\r\n\r\nGET /b HTTP/1.1\r\n\r\n", 8192)
        self.assertTrue(parser.completed)
        self.assertEqual(parser.get_body_stream().read(), b"x")
        self.assertEqual(parser.headers["CONNECTION"], "close")


class TestProgress(unittest.TestCase):
    def test_victims_keep_most_and_advance_least(self) -> None:
        """Of equal ones the slowest is closed first, of stalled ones the largest."""
        fast, slow = Progress(0.0), Progress(0.0)
        for second in range(10):
            fast.advance(50_000, float(second))
            slow.advance(1, float(second))
        rates = {"fast": fast.rate(10.0), "slow": slow.rate(10.0), "stalled": 0.0, "small": 0.0}
        kept = {"fast": 200_000, "slow": 200_000, "stalled": 200_000, "small": 900}
        victims = choose_victims(kept, kept.get, rates.get, 4)
        self.assertEqual(victims, ["stalled", "slow", "small", "fast"])
        self.assertEqual(choose_victims(kept, kept.get, rates.get, 1), ["stalled"])

    def test_new_connection_has_credit(self) -> None:
        """A new connection advances more than one that has been silent for seconds."""
        self.assertGreater(Progress(9.0).rate(9.1), 100 * Progress(0.0).rate(9.1))

    def test_nearly_whole(self) -> None:
        """A body is about to be whole while its client sends, not once it has stopped short."""
        self.assertTrue(is_nearly_whole(999, 1000, 0.1))
        self.assertFalse(is_nearly_whole(999, 1000, 2.0))
        self.assertFalse(is_nearly_whole(500, 1000, 0.1))


class TestBudget(unittest.TestCase):
    def test_total(self) -> None:
        """The total follows what each connection keeps; a closed one keeps nothing."""
        budget = Budget()
        budget.set(1, 500)
        budget.set(2, 70)
        budget.set(1, 30)
        self.assertEqual(budget.total, 100)
        budget.set(1, 0)
        budget.set(1, 0)
        self.assertEqual(budget.total, 70)

    def test_turns(self) -> None:
        """Long requests are read in the order of their turns, a few in each round."""
        turns = ReadTurns(2)
        turns.begin_round()
        reserved = [turns.reserve() for _ in range(5)]
        self.assertEqual(reserved, sorted(reserved))
        read = []
        for _ in range(6):
            turns.begin_round()
            read.append(sum(turns.is_due(turn) for turn in reserved))
        self.assertEqual(read[-1], 5)
        self.assertLessEqual(max(b - a for a, b in zip([0, *read], read, strict=False)), 2)

    def test_limits_of_the_smallest_vm(self) -> None:
        """The largest body fits the budget of any VM; the limits grow with its memory."""
        for memory_mb in (160, 300, 552):
            limits = ConnectionLimits(max_connections(memory_mb), budget_bytes(memory_mb))
            self.assertGreater(limits.connections, 1500)
            self.assertGreaterEqual(limits.bulk_room_bytes, 4 * limits.body_bytes)
            self.assertLess(limits.room_bytes, memory_mb * 1_000_000 / 7)


class ServerCase(unittest.TestCase):
    """Runs a server whose application blocks on one path."""

    def start(self, **limits) -> None:
        self.released = threading.Event()
        self.addCleanup(self.released.set)
        self.handled: list[str] = []
        self.metrics = Metrics()
        host, port = "127.0.0.1", free_port()
        self.address = (host, port)
        options = {"connections": 50, "budget_bytes": 1_000_000, "body_bytes": 100_000, **limits}
        server = create_server(
            self.serve, [f"{host}:{port}"], ConnectionLimits(**options), self.metrics, "test", 4
        )
        ServiceThread(server.run, "front").start()

    def serve(self, environ, start_response):
        self.handled.append(environ["PATH_INFO"])
        if environ["PATH_INFO"] == "/held":
            self.released.wait(10)
        body = environ["wsgi.input"].read()
        start_response("200 OK", [("Content-Length", str(len(body)))])
        return [body]

    def connect(self, data: bytes) -> socket.socket:
        client = self.enterContext(socket.create_connection(self.address, 10))
        client.sendall(data)
        return client

    @staticmethod
    def read(client: socket.socket) -> bytes:
        """Read until the server closes."""
        found = b""
        while data := client.recv(65_536):
            found += data
        return found

    def check_refused(self, client: socket.socket, status: int, reason: str) -> None:
        """Check the answer to a refused request, its metric, and that it was not run."""
        head, _, body = self.read(client).partition(b"\r\n\r\n")
        self.assertTrue(head.startswith(b"HTTP/1.1 %d " % status), head)
        self.assertIn(b"Snowdock-Outcome: not-run", head)
        self.assertEqual(json.loads(body)["outcome"], "not-run")
        if status == 503:
            self.assertIn(b"Retry-After: ", head)
        self.assertIn(f'reason="{reason}"'.encode(), self.metrics.render()[0])
        self.assertEqual(self.handled, [])


class TestServer(ServerCase):
    def test_pipelined_requests_are_answered_in_order(self) -> None:
        """Requests sent at once, some of them with bodies, are answered one after the other."""
        self.start()
        bodies = [str(number).encode() for number in range(300)]
        requests = [HEAD + b"Content-Length: %d\r\n\r\n%b" % (len(b), b) for b in bodies]
        last = b"GET /last HTTP/1.1\r\nConnection: close\r\n\r\n"
        answers = self.read(self.connect(b"".join(requests) + last))
        self.assertEqual(answers.count(b"HTTP/1.1 200"), 301)
        found = [part.partition(b"HTTP/1.1")[0] for part in answers.split(b"\r\n\r\n")[1:]]
        self.assertEqual(found, [*bodies, b""])

    def test_pipelined_requests_occupy_all_threads(self) -> None:
        """Clients that send many requests at once leave threads to others, and are all served."""
        self.start()
        requests = b"GET /a HTTP/1.1\r\n\r\n" + b"GET /held HTTP/1.1\r\n\r\n" * 2
        crowd = [self.connect(requests) for _ in range(10)]
        self.assertTrue(wait_until(lambda: self.handled.count("/held") == 2))
        client = self.connect(b"GET /b HTTP/1.1\r\nConnection: close\r\n\r\n")
        self.assertTrue(self.read(client).startswith(b"HTTP/1.1 200"))
        self.assertEqual(self.handled.count("/held"), 2)
        self.released.set()
        for client in crowd:
            answers = b""
            while answers.count(b"HTTP/1.1 200") < 3:
                answers += client.recv(1000)

    def test_continue(self) -> None:
        """A client that waits for a go-ahead gets it, then its answer."""
        self.start()
        client = self.connect(HEAD + b"Expect: 100-continue\r\nContent-Length: 2\r\n\r\n")
        self.assertIn(b"100 Continue", client.recv(1000))
        client.sendall(b"ab")
        self.assertIn(b"200 OK", client.recv(1000))

    def test_refusals(self) -> None:
        """Each early refusal says that the request was not run, although its client sends on."""
        self.start()
        cases = (
            (with_length(500_000), 413, "body_too_large"),
            (HEAD + b"A: " + b"a" * 100_000, 431, "head_too_large"),
            (b"nonsense\r\n\r\n", 400, "invalid_input"),
            (HEAD + b"Transfer-Encoding: gzip\r\n\r\n", 501, "not_implemented"),
        )
        for data, status, reason in cases:
            with self.subTest(reason):
                client = self.connect(data)
                client.shutdown(socket.SHUT_WR)
                self.check_refused(client, status, reason)

    def test_overdue_requests(self) -> None:
        """A head and a body that do not arrive in time are refused; silence is closed."""
        self.start(header_timeout_s=0.2, body_timeout_s=0.2, idle_timeout_s=0.2)
        self.check_refused(self.connect(HEAD), 503, "head_timeout")
        self.check_refused(self.connect(with_length(50)[:-1]), 503, "body_timeout")
        self.assertEqual(self.read(self.connect(b"")), b"")
        self.assertIn(b'reason="idle"', self.metrics.render()[0])

    def test_request_being_handled_is_not_closed(self) -> None:
        """No deadline, and no lack of room, closes a connection whose request is handled."""
        self.start(
            header_timeout_s=0.1,
            body_timeout_s=0.1,
            idle_timeout_s=0.1,
            connections=10,
            body_bytes=10_000,
            budget_bytes=100,
        )
        held = self.connect(b"POST /held HTTP/1.1\r\nContent-Length: 3\r\n\r\nabc")
        self.assertTrue(wait_until(lambda: self.handled))
        for _ in range(100):
            self.connect(with_length(10_000)[:-1])
        self.assertTrue(wait_until(lambda: b'reason="conn' in self.metrics.render()[0]))
        self.released.set()
        answer = held.recv(1000)
        if not answer.endswith(b"abc"):
            answer += held.recv(1000)
        self.assertTrue(answer.startswith(b"HTTP/1.1 200") and answer.endswith(b"abc"), answer)

    def test_budget_closes_the_largest_stalled(self) -> None:
        """When the budget is spent, stalled bodies are refused, and a small request is served."""
        self.start(budget_bytes=100, body_bytes=100_000, header_bytes=1000)
        crowd = [self.connect(with_length(100_000)[:-1]) for _ in range(12)]
        self.assertTrue(wait_until(lambda: b'reason="budget"' in self.metrics.render()[0]))
        client = self.connect(b"GET /a HTTP/1.1\r\nConnection: close\r\n\r\n")
        answer = self.read(client)
        self.assertTrue(answer.startswith(b"HTTP/1.1 200"), answer)
        self.handled.clear()
        refused, _, _ = select.select(crowd, [], [], 10)
        self.check_refused(refused[0], 503, "budget")

    def test_unread_answers_are_closed(self) -> None:
        """A client that does not read its answer is closed once its time is over."""
        self.start(body_timeout_s=0.2, body_bytes=30_000_000, budget_bytes=300_000_000)
        body = b"x" * 30_000_000
        client = self.connect(HEAD + b"Content-Length: %d\r\n\r\n" % len(body) + body)
        closed = b'reason="answer_unread"'
        self.assertTrue(wait_until(lambda: closed in self.metrics.render()[0]))
        self.assertLess(len(self.read_until_reset(client)), len(body))

    def read_until_reset(self, client: socket.socket) -> bytes:
        try:
            return self.read(client)
        except ConnectionResetError:
            return b""


if __name__ == "__main__":
    unittest.main()

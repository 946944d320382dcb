"""What the stand-ins share: a small HTTP server, switches for faults, and a ledger.

``POST /faults`` sets faults. A fault names the agents it applies to (a node's name, or ``*``)
and what happens to their requests: ``refuse`` answers 503 without effect, ``lose`` takes
effect but answers 504, ``slow_ms`` delays the effect. ``GET /ledger`` tells all that happened.
"""

import argparse
import threading
import time
from collections.abc import Callable
from urllib.parse import parse_qs

import msgspec
import waitress

THREADS = 24


class Fault(msgspec.Struct):
    """Faults for one agent; ``path`` bounds them to one path."""

    refuse: bool = False
    lose: bool = False
    slow_ms: int = 0
    path: str = ""


class Response(msgspec.Struct):
    """An HTTP answer."""

    status: int
    body: bytes = b""
    headers: dict[str, str] = {}


class Request(msgspec.Struct):
    """An HTTP request."""

    method: str
    path: str
    query: dict[str, str]
    headers: dict[str, str]
    body: bytes
    agent: str


def json_response(value) -> Response:
    return Response(200, msgspec.json.encode(value))


def now_ms() -> int:
    return int(time.time() * 1000)


class Standin:
    """Serves a handler, with faults and a ledger in front of it."""

    def __init__(self, handler: Callable[[Request], Response]) -> None:
        self._handler = handler
        self._faults: dict[str, Fault] = {}
        self._ledger: list[dict] = []
        self._lock = threading.Lock()

    def record_event(self, event: str, **fields) -> None:
        """Write a line of the ledger."""
        with self._lock:
            self._ledger.append({"at_ms": now_ms(), "event": event, **fields})

    def _fault(self, request: Request) -> Fault:
        for agent in (request.agent, "*"):
            fault = self._faults.get(agent)
            if fault is not None and fault.path in request.path:
                return fault
        return Fault()

    def answer(self, request: Request) -> Response:
        if request.path == "/faults":
            faults = msgspec.json.decode(request.body, type=dict[str, Fault])
            self._faults = faults
            return json_response({})
        if request.path == "/ledger":
            with self._lock:
                return json_response(self._ledger)
        fault = self._fault(request)
        if fault.refuse:
            return Response(503)
        if fault.slow_ms:
            time.sleep(fault.slow_ms / 1000)
        answer = self._handler(request)
        return Response(504) if fault.lose else answer

    def _application(self, environ, start_response):
        headers = {
            key[5:].replace("_", "-").lower(): value
            for key, value in environ.items()
            if key.startswith("HTTP_")
        }
        agent = headers.get("user-agent", "").removeprefix("snowdock/")
        query = {key: values[0] for key, values in parse_qs(environ["QUERY_STRING"]).items()}
        body = environ["wsgi.input"].read()
        request = Request(
            environ["REQUEST_METHOD"], environ["PATH_INFO"], query, headers, body, agent
        )
        answer = self.answer(request)
        response_headers = {"Content-Length": str(len(answer.body)), **answer.headers}
        start_response(f"{answer.status} x", list(response_headers.items()))
        return [answer.body]

    def serve(self, port: int) -> None:
        """Serve on a loopback port; 0 takes a free one. Prints the address, then serves."""
        server = waitress.create_server(
            self._application, host="127.0.0.1", port=port, threads=THREADS
        )
        print(f"http://127.0.0.1:{server.effective_port}", flush=True)
        server.run()


def make_parser(description: str) -> argparse.ArgumentParser:
    argument_parser = argparse.ArgumentParser(description=description)
    argument_parser.add_argument("--port", type=int, default=0)
    return argument_parser

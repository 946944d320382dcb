"""Base of the stand-ins: a small HTTP server with injected faults and a ledger.

``POST /faults`` sets the faults by agent (a node's name, or ``*`` for all): ``refuse`` responds
with 503 without executing the request, ``lose`` executes it but responds with 504, ``slow_ms``
delays its execution. ``GET /ledger`` returns all recorded events.
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
    """Faults for one agent; ``path`` limits them to paths that contain it."""

    refuse: bool = False
    lose: bool = False
    slow_ms: int = 0
    path: str = ""


class Response(msgspec.Struct):
    """An HTTP response."""

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
    """Serves a handler over HTTP, with injected faults and a ledger."""

    def __init__(self, handler: Callable[[Request], Response]) -> None:
        self._handler = handler
        self._faults: dict[str, Fault] = {}
        self._ledger: list[dict] = []
        self._lock = threading.Lock()

    def record_event(self, event: str, **fields) -> None:
        """Append an event to the ledger."""
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
        """Print the address and serve on a loopback port; port 0 selects a free one."""
        server = waitress.create_server(
            self._application, host="127.0.0.1", port=port, threads=THREADS
        )
        print(f"http://127.0.0.1:{server.effective_port}", flush=True)
        server.run()


def make_parser(description: str) -> argparse.ArgumentParser:
    argument_parser = argparse.ArgumentParser(description=description)
    argument_parser.add_argument("--port", type=int, default=0)
    return argument_parser

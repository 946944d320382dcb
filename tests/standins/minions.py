"""Stand-in for minions with a bounded number of slots and faults on request.

One process may serve several minions, each under its own path ``/NAME``. Header ``X-Behave``
requests a fault: ``truncate``, ``wrong_id``, ``refuse`` or ``hang``.
"""

import threading
import time

from tests.standins._http import Request, Response, Standin, make_parser

HANG_SECONDS = 3


class Minion:
    """Limits concurrent requests and records each request that ran."""

    def __init__(self, name: str, slots: int, note) -> None:
        self.name = name
        self._free = slots
        self._note = note
        self._lock = threading.Lock()

    def run(self, request: Request) -> Response:
        request_id = request.headers.get("x-request-id", "")
        with self._lock:
            if self._free == 0:
                self._note("over_slots", minion=self.name, request=request_id)
                return Response(503, b"", {"X-Not-Run": "true"})
            self._free -= 1
        try:
            return self._run(request, request_id)
        finally:
            with self._lock:
                self._free += 1

    def _run(self, request: Request, request_id: str) -> Response:
        behave = request.headers.get("x-behave", "")
        if behave == "refuse":
            return Response(503, b"", {"X-Not-Run": "true"})
        self._note("ran", minion=self.name, request=request_id, agent=request.agent)
        time.sleep(float(request.headers.get("x-work-ms", "0")) / 1000)
        if behave == "hang":
            time.sleep(HANG_SECONDS)
        body = b"answer to " + request_id.encode() + b": " + request.body
        headers = {"X-Request-Id": request_id, "Content-Type": "text/plain"}
        if behave == "wrong_id":
            headers["X-Request-Id"] = "somebody-else"
        if behave == "truncate":
            headers["Content-Length"] = str(len(body) + 10)
        return Response(200, body, headers)


def main() -> None:
    options = make_parser(__doc__)
    options.add_argument("--names", required=True)
    options.add_argument("--slots", type=int, default=8)
    given = options.parse_args()

    def handle(request: Request) -> Response:
        name = request.path.split("/")[1]
        return minions[name].run(request)

    standin = Standin(handle)
    minions = {
        name: Minion(name, given.slots, standin.record_event) for name in given.names.split(",")
    }
    standin.serve(given.port)


if __name__ == "__main__":
    main()

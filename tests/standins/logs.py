"""Stand-in for the platform's append-only log service."""

import threading

import msgspec

from tests.standins._http import Request, Response, Standin, json_response, make_parser

PAGE_ENTRIES = 500


class Log:
    """A log with long polling that keeps a bounded number of entries."""

    def __init__(self, retention: int) -> None:
        self._retention = retention
        self._first = 0
        self._entries: list[bytes] = []
        self._changed = threading.Condition()

    def append(self, data: bytes) -> int:
        with self._changed:
            self._entries.append(data)
            excess = len(self._entries) - self._retention
            if excess > 0:
                del self._entries[:excess]
                self._first += excess
            self._changed.notify_all()
            return self._first + len(self._entries) - 1

    def read(self, offset: int, wait_ms: int) -> dict:
        with self._changed:
            self._changed.wait_for(
                lambda: offset < self._first + len(self._entries), timeout=wait_ms / 1000
            )
            start = max(offset - self._first, 0)
            page = self._entries[start : start + PAGE_ENTRIES]
            return {
                "first": self._first,
                "end": self._first + len(self._entries),
                "entries": [
                    (self._first + start + number, data) for number, data in enumerate(page)
                ],
            }


def main() -> None:
    options = make_parser(__doc__)
    options.add_argument("--retention", type=int, default=100_000)
    given = options.parse_args()
    log = Log(given.retention)

    def handle(request: Request) -> Response:
        if request.path == "/append":
            offset = log.append(request.body)
            standin.record_event("append", agent=request.agent, bytes=len(request.body))
            return json_response({"offset": offset})
        if request.path == "/read":
            page = log.read(int(request.query["from"]), int(request.query["wait_ms"]))
            return Response(200, msgspec.msgpack.encode(page))
        return Response(404)

    standin = Standin(handle)
    standin.serve(given.port)


if __name__ == "__main__":
    main()

"""Stand-in for the platform's VM list, which shows changes after a delay."""

import threading
import time

import msgspec

from tests.standins._http import Request, Response, Standin, json_response, make_parser


class VmHistory:
    """The versions of the VM list; ``POST /set`` sets VMs and ``POST /remove`` removes them."""

    def __init__(self, lag_seconds: float) -> None:
        self._lag = lag_seconds
        self._lock = threading.Lock()
        self._history: list[tuple[float, dict[str, dict]]] = [(0.0, {})]

    def change(self, vms: list[dict], removed: list[str]) -> None:
        with self._lock:
            vms_by_name = dict(self._history[-1][1])
            for vm in vms:
                vms_by_name[vm["name"]] = vm
            for name in removed:
                vms_by_name.pop(name, None)
            self._history.append((time.monotonic(), vms_by_name))

    def read(self, since: int) -> dict:
        horizon = time.monotonic() - self._lag
        with self._lock:
            shown = max(n for n, (at, _) in enumerate(self._history) if at <= horizon)
            if shown == since:
                return {"version": shown, "vms": None}
            return {"version": shown, "vms": list(self._history[shown][1].values())}


def main() -> None:
    options = make_parser(__doc__)
    options.add_argument("--lag-ms", type=int, default=200)
    given = options.parse_args()
    book = VmHistory(given.lag_ms / 1000)

    def handle(request: Request) -> Response:
        if request.path == "/vms":
            return json_response(book.read(int(request.query["since"])))
        if request.path == "/set":
            vms = msgspec.json.decode(request.body)
            book.change(vms, [])
            standin.record_event("set", vms=[f"{vm['name']}:{vm['state']}" for vm in vms])
            return json_response({})
        if request.path == "/remove":
            names = msgspec.json.decode(request.body)
            book.change([], names)
            standin.record_event("removed", vms=names)
            return json_response({})
        return Response(404)

    standin = Standin(handle)
    standin.serve(given.port)


if __name__ == "__main__":
    main()

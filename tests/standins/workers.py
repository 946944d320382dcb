"""Stand-in for workers that run attempts under leases.

One process may serve several workers, each under its own path ``/NAME``.
"""

import secrets
import threading
import time

import msgspec

from snowdock.platform.worker_client import AttemptReport, SyncOrder, SyncReport
from tests.standins._http import Request, Response, Standin, json_response, make_parser, now_ms

TICK_SECONDS = 0.02


class Attempt(msgspec.Struct):
    cpu: int
    memory: int
    accelerators: int
    ends_at: float
    lease_until: float
    state: str = "running"


class Worker:
    """One worker; with ``fail_all``, each attempt fails as soon as it starts."""

    def __init__(self, name: str, size: tuple[int, int, int], note) -> None:
        self.name = name
        self.boot = secrets.token_hex(4)
        self.size = size
        self.fail_all = False
        self._note = note
        self._attempts: dict[str, Attempt] = {}
        self._refused: set[str] = set()
        self._lock = threading.Lock()

    def _record(self, event: str, attempt: str) -> None:
        entry = self._attempts.get(attempt)
        size = (0, 0, 0) if entry is None else (entry.cpu, entry.memory, entry.accelerators)
        self._note(event, worker=self.name, boot=self.boot, attempt=attempt, size=size)

    def tick(self) -> None:
        with self._lock:
            now = time.monotonic()
            for name, attempt in self._attempts.items():
                if attempt.state != "running":
                    continue
                if attempt.lease_until < now:
                    self._end(name, attempt, "lapsed")
                elif attempt.ends_at and attempt.ends_at < now:
                    self._end(name, attempt, "succeeded")

    def _end(self, name: str, attempt: Attempt, state: str) -> None:
        attempt.state = state
        self._record(state, name)

    def _has_room_for(self, order) -> bool:
        running = [a for a in self._attempts.values() if a.state == "running"]
        return (
            sum(a.cpu for a in running) + order.cpu <= self.size[0]
            and sum(a.memory for a in running) + order.memory <= self.size[1]
            and sum(a.accelerators for a in running) + order.accelerators <= self.size[2]
        )

    def _start(self, order, lease_until: float) -> None:
        name = order.attempt
        if name in self._attempts or name in self._refused:
            return
        late = now_ms() > order.not_after_ms
        if late or not self._has_room_for(order):
            self._refused.add(name)
            reason = "late" if late else "no room"
            self._note("refused", worker=self.name, attempt=name, reason=reason)
            return
        now = time.monotonic()
        ends_at = now + order.run_ms / 1000 if order.run_ms else 0
        self._attempts[name] = Attempt(
            order.cpu, order.memory, order.accelerators, ends_at, lease_until
        )
        self._record("started", name)
        if self.fail_all:
            self._end(name, self._attempts[name], "failed")

    def sync(self, order: SyncOrder) -> SyncReport | None:
        if now_ms() > order.not_after_ms:
            return None
        if order.boot != self.boot:
            return self.status()
        with self._lock:
            lease_until = time.monotonic() + order.lease_ms / 1000
            for name in order.forget:
                known = self._attempts.get(name)
                if known is not None and known.state != "running":
                    del self._attempts[name]
                    self._refused.add(name)
            for start in order.start:
                self._start(start, lease_until)
            for name in order.renew:
                if name in self._attempts:
                    self._attempts[name].lease_until = lease_until
                else:
                    self._refused.add(name)
            for stop in order.stop:
                attempt = self._attempts.get(stop.attempt)
                if attempt is None:
                    self._refused.add(stop.attempt)
                elif attempt.state == "running":
                    self._end(stop.attempt, attempt, "stopped")
            named = {*order.renew, *(s.attempt for s in order.start)}
            named |= {s.attempt for s in order.stop}
            answer = self._make_answer(named)
            for name in order.renew:
                if answer.attempts[name].state == "running":
                    del answer.attempts[name]
            return answer

    def _make_answer(self, named: set[str]) -> SyncReport:
        reports = {}
        for name in named | set(self._attempts):
            attempt = self._attempts.get(name)
            if attempt is not None:
                reports[name] = AttemptReport(attempt.state, attempt.cpu, attempt.memory)
            else:
                reports[name] = AttemptReport("absent")
        return SyncReport(self.name, self.boot, *self.size, attempts=reports)

    def status(self) -> SyncReport:
        with self._lock:
            return self._make_answer(set())


def main() -> None:
    options = make_parser(__doc__)
    options.add_argument("--names", required=True)
    options.add_argument("--cpu", type=int, default=16_000)
    options.add_argument("--memory", type=int, default=65_536)
    options.add_argument("--accelerators", type=int, default=0)
    given = options.parse_args()
    size = (given.cpu, given.memory, given.accelerators)

    def handle(request: Request) -> Response:
        _, name, action = request.path.split("/")
        worker = workers[name]
        if action == "status":
            return json_response(worker.status())
        if action == "sync":
            answer = worker.sync(msgspec.json.decode(request.body, type=SyncOrder))
            return Response(409) if answer is None else json_response(answer)
        if action == "fail_all":
            worker.fail_all = request.query["on"] == "1"
            return json_response({})
        if action == "reboot":
            workers[name] = Worker(name, size, standin.record_event)
            standin.record_event("rebooted", worker=name)
            return json_response({})
        return Response(404)

    def watch() -> None:
        while True:
            time.sleep(TICK_SECONDS)
            for worker in list(workers.values()):
                worker.tick()

    standin = Standin(handle)
    workers = {name: Worker(name, size, standin.record_event) for name in given.names.split(",")}
    threading.Thread(target=watch, daemon=True).start()
    standin.serve(given.port)


if __name__ == "__main__":
    main()

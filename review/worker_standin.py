"""Stand-ins of the platform's workers, in real time; they record what they start and end."""

import asyncio
import collections
import contextlib
import dataclasses
import json
import time
from collections.abc import Callable

from .http_server import HttpServer, Reply, Request
from .store_standin import StoreStandin

__all__ = ["Ledger", "WorkPlan", "WorkerStandin"]

_MOST_LISTED_ENDS = 500
_MOST_WAIT_SECONDS = 2.0
_LEASE_CHECK_SECONDS = 0.02
_CLOCK_START_MS = 480_000.0


@dataclasses.dataclass(frozen=True, slots=True)
class WorkPlan:
    """What a task does: its work in seconds, and how often it saves a checkpoint, if it does."""

    work_s: float
    checkpoint_s: float = 0.0


@dataclasses.dataclass(slots=True)
class _Run:
    run: int
    began_at: float
    plan: WorkPlan
    is_stopping: bool = False

    def saved(self, task: str, now: float) -> str:
        """Return the newest checkpoint, 16 characters as in the examples of the page."""
        if not self.plan.checkpoint_s:
            return ""
        count = int((now - self.began_at) / self.plan.checkpoint_s)
        return f"{count:08x}{hash(task) & 0xFFFFFFFF:08x}" if count else ""

    def percent(self, now: float) -> int:
        return min(99, int(100 * (now - self.began_at) / self.plan.work_s))


class Ledger:
    """What the workers saw, in order: starts, ends, and which ends were taken note of."""

    def __init__(self, note: Callable[..., None]) -> None:
        self._note = note
        self.starts: collections.Counter[str] = collections.Counter()
        self.started_at: dict[str, float] = {}
        self.done: dict[str, tuple[int, str, float]] = {}
        self.doubled: list[str] = []
        self.running: dict[str, tuple[int, str]] = {}
        self.seen_done: set[str] = set()

    def start(self, task: str, run: int, worker: str) -> None:
        """Record a start; note a second run beside another, or after one that ended done."""
        now = time.monotonic()
        self.starts[task] += 1
        self.started_at[task] = now
        self._note("start", task=task, run=run, worker=worker)
        beside = self.running.get(task)
        if beside is not None:
            self.doubled.append(task)
            self._note("DOUBLE beside another run", task=task, run=run, other=beside[0])
        elif task in self.done:
            earlier = self.done[task]
            self.doubled.append(task)
            self._note(
                "DOUBLE after a run that ended done",
                task=task,
                run=run,
                worker=worker,
                done_run=earlier[0],
                done_worker=earlier[1],
                done_s_ago=round(now - earlier[2], 3),
                was_seen=task in self.seen_done,
            )
        self.running[task] = (run, worker)

    def end(self, task: str, run: int, worker: str, how: str) -> None:
        """Record the end of a run."""
        self._note("end", task=task, run=run, worker=worker, how=how)
        self.running.pop(task, None)
        if how == "done":
            self.done.setdefault(task, (run, worker, time.monotonic()))

    def take_note(self, task: str, how: str) -> None:
        """Record that the system has taken note of an end."""
        if how == "done":
            self.seen_done.add(task)


class WorkerStandin:
    """One worker: leases, fencing, runs, ends and its account of itself in the store."""

    def __init__(
        self,
        name: str,
        labels: list[str],
        store: StoreStandin,
        ledger: Ledger,
        plan: Callable[[str], WorkPlan],
        hold_max_ms: float,
        stop_timeout_ms: float,
    ) -> None:
        self.name = name
        self._labels = labels
        self._store = store
        self._ledger = ledger
        self._plan = plan
        self._hold_max_ms = hold_max_ms
        self._stop_s = stop_timeout_ms / 1000 / 2
        self._server = HttpServer(self._handle)
        self._began_at = time.monotonic()
        self._token = 0
        self._lease_until_ms = 0.0
        self._runs: dict[str, _Run] = {}
        self._highest: dict[str, int] = {}
        self._ends: collections.deque[tuple[int, str, int, str, str]] = collections.deque()
        self._end_number = 0
        self._ended = asyncio.Event()
        self._sequence = 0
        self._tasks: list[asyncio.Task] = []
        self.most_pending_ends = 0

    async def start(self, host: str, service: str, heartbeat_ms: float) -> None:
        """Start serving and writing to the store."""
        await self._server.start(host)
        self._tasks = [
            asyncio.create_task(self._beat(service, heartbeat_ms / 1000)),
            asyncio.create_task(self._watch_lease()),
        ]

    @property
    def running(self) -> list[str]:
        """The tasks that run here."""
        return list(self._runs)

    async def leave_unsaid(self, serves_s: float) -> None:
        """Leave without having stated `draining`: the entry goes, and it serves on for a while."""
        self._tasks.pop(0).cancel()
        self._store.put("keyed.servers", self.name, None)
        await asyncio.sleep(serves_s)
        for task in self._tasks:
            task.cancel()
        for task, entry in self._runs.items():
            self._ledger.end(task, entry.run, self.name, "gone with its worker")
        self._runs.clear()
        self._server.close()

    @property
    def _clock_ms(self) -> float:
        return int(_CLOCK_START_MS + (time.monotonic() - self._began_at) * 1000)

    async def _beat(self, service: str, seconds: float) -> None:
        while True:
            if not self._store.is_silent:
                self._sequence += 1
                entry = {
                    "service": service,
                    "address": self._server.address,
                    "zone": "halfway-tree",
                    "version": "v1",
                    "slots": 8,
                    "state": "ready",
                    "cold_left_ms": 0,
                    "capacity": {"cpu": 16000, "mem_mb": 65536, "gpu": 0},
                    "labels": self._labels,
                    "clock_ms": self._clock_ms,
                    "seq": self._sequence,
                }
                self._store.put("keyed.servers", self.name, entry)
            await asyncio.sleep(seconds)

    async def _watch_lease(self) -> None:
        while True:
            await asyncio.sleep(_LEASE_CHECK_SECONDS)
            if self._runs and self._clock_ms > self._lease_until_ms:
                for task in list(self._runs):
                    self._end(task, "lapsed")

    async def _handle(self, request: Request) -> Reply:
        if request.headers.get("x-expected-instance", self.name) != self.name:
            return Reply(421)
        body = json.loads(request.body or b"{}")
        if body.get("fencing_token", 0) < self._token:
            return self._refuse("fence")
        self._token = body.get("fencing_token", 0)
        if request.path == "/v1/run-start":
            return self._start(body)
        if request.path == "/v1/run-stop":
            return self._stop(body)
        if request.path == "/v1/hold":
            return await self._hold(body)
        return Reply(404)

    def _refuse(self, reason: str) -> Reply:
        return _json({"clock_ms": self._clock_ms, "reason": reason}, 409)

    def _extend_lease(self, deadline_ms: float) -> None:
        latest = self._clock_ms + self._hold_max_ms
        self._lease_until_ms = max(self._lease_until_ms, min(deadline_ms, latest))

    def _start(self, body: dict) -> Reply:
        task, run = body["task"], body["run"]
        present = self._runs.get(task)
        if present is not None and present.run == run:
            return _json({"clock_ms": self._clock_ms})
        if present is not None or run <= self._highest.get(task, 0):
            self._extend_lease(body["deadline_ms"])
            return self._refuse("old")
        if body["deadline_ms"] <= self._clock_ms:
            return self._refuse("late")
        self._extend_lease(body["deadline_ms"])
        plan = self._plan(task)
        entry = self._runs[task] = _Run(run, time.monotonic(), plan)
        self._ledger.start(task, run, self.name)
        asyncio.get_running_loop().call_later(plan.work_s, self._finish, task, entry)
        return _json({"clock_ms": self._clock_ms})

    def _finish(self, task: str, entry: _Run) -> None:
        if self._runs.get(task) is entry:
            self._end(task, "done")

    def _stop(self, body: dict) -> Reply:
        task, run = body["task"], body["run"]
        present = self._runs.get(task)
        if present is not None and present.run == run and not present.is_stopping:
            present.is_stopping = True
            asyncio.get_running_loop().call_later(self._stop_s, self._finish_stop, task, present)
        self._highest[task] = max(run, self._highest.get(task, 0))
        return _json({"clock_ms": self._clock_ms})

    def _finish_stop(self, task: str, entry: _Run) -> None:
        if self._runs.get(task) is entry:
            self._end(task, "stopped")

    def _end(self, task: str, how: str) -> None:
        entry = self._runs.pop(task)
        self._highest[task] = max(entry.run, self._highest.get(task, 0))
        saved = "" if how == "done" else entry.saved(task, time.monotonic())
        self._end_number += 1
        self._ends.append((self._end_number, task, entry.run, how, saved))
        self.most_pending_ends = max(self.most_pending_ends, len(self._ends))
        self._ledger.end(task, entry.run, self.name, how)
        ended, self._ended = self._ended, asyncio.Event()
        ended.set()

    async def _hold(self, body: dict) -> Reply:
        while self._ends and self._ends[0][0] <= body.get("last_seen", 0):
            _, task, _, how, _ = self._ends.popleft()
            self._ledger.take_note(task, how)
        if "deadline_ms" in body:
            self._extend_lease(body["deadline_ms"])
        wait_s = min(_MOST_WAIT_SECONDS, body.get("wait_ms", 0) / 1000)
        if wait_s and not self._ends:
            with contextlib.suppress(TimeoutError):
                await asyncio.wait_for(self._ended.wait(), wait_s)
        now = time.monotonic()
        running = [
            [task, entry.run, entry.saved(task, now), entry.percent(now), 10]
            for task, entry in self._runs.items()
        ]
        ended = [list(end) for end, _ in zip(self._ends, range(_MOST_LISTED_ENDS), strict=False)]
        return _json({"clock_ms": self._clock_ms, "running": running, "ended": ended})


def _json(value: object, status: int = 200) -> Reply:
    return Reply(status, json.dumps(value).encode())

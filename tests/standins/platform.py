"""Stand-ins that implement the protocols of the platform's store, workers and advice service.

They run in the test's own process on free ports, and can inject faults.
"""

import base64
import dataclasses
import itertools
import json
import logging
import math
import struct
import threading
import time
from collections.abc import Callable
from urllib.parse import parse_qs

import waitress

from snowdock.declarations import Size
from snowdock.emulator.checks import InvariantChecker
from snowdock.emulator.starvation import StarvationChecker
from snowdock.emulator.timeline import Timeline
from snowdock.emulator.worker_model import GangRegistry, RunPlan, WorkerModel, WorkerTimings
from snowdock.jobs.model import StepSpec, TaskId
from snowdock.jobs.orders import Refusal, RenewOrder, StartOrder, StopOrder
from snowdock.jobs.workers import WorkerEntry
from snowdock.platform.worker_calls import format_task, parse_task

Reply = tuple[int, bytes]

logging.getLogger("waitress").setLevel(logging.CRITICAL)

THREADS = 48
STORE_THREADS = 160
"""A silent store holds a thread for each call of some seconds."""

MAX_CONNECTIONS = 2000
_PORT_RELEASE_TIMEOUT_SECONDS = 5.0
"""The longest that a port may take to be released."""


class Server:
    """An HTTP server on a loopback port; port 0 selects a free one."""

    def __init__(
        self,
        handle: Callable[[str, str, dict[str, str], bytes, dict], Reply],
        port: int = 0,
        threads: int = THREADS,
    ) -> None:
        self._handle = handle
        self._server = waitress.create_server(
            self._application,
            host="127.0.0.1",
            port=port,
            threads=threads,
            connection_limit=MAX_CONNECTIONS,
            # select() fails for descriptors beyond 1,023, which dozens of nodes exceed.
            asyncore_use_poll=True,
        )
        self._wake_loop = self._server.trigger._physical_pull
        self._server.trigger._physical_pull = self._wake_open_loop
        self._wake_lock = threading.Lock()
        self._is_closed = False
        self.port = self._server.effective_port
        self.address = f"127.0.0.1:{self.port}"
        threading.Thread(target=self._server.run, daemon=True).start()

    def _application(self, environ, start_response):
        query = {k: v[0] for k, v in parse_qs(environ["QUERY_STRING"]).items()}
        body = environ["wsgi.input"].read()
        status, answer = self._handle(
            environ["REQUEST_METHOD"], environ["PATH_INFO"], query, body, environ
        )
        # For an answer that is cut off, the server closes the connection after fewer bytes.
        length = len(answer) + (status == CUT_OFF[0])
        start_response(f"{status} x", [("Content-Length", str(length))])
        return [answer]

    def close(self) -> None:
        # Close the server on its own thread. The lock is held, since a response that wakes the
        # thread meanwhile would make it close connections that are still being written to.
        trigger = self._server.trigger
        with trigger.lock:
            trigger.thunks.append(self._close_server)
            trigger.pull_trigger()
        # Without this, the server's threads would outlive it.
        self._server.task_dispatcher.shutdown(cancel_pending=True, timeout=0)

    def _wake_open_loop(self) -> None:
        """Wake the server's loop unless it is closed.

        waitress would write to the number of the closed descriptor, which another connection of
        this process may have by then.
        """
        with self._wake_lock:
            if not self._is_closed:
                self._wake_loop()

    def _close_server(self) -> None:
        with self._wake_lock:
            self._is_closed = True
            self._server.close()


CUT_OFF: Reply = (299, b"")
"""An answer whose connection is closed before its end."""


def json_reply(value: object, status: int = 200) -> Reply:
    return status, json.dumps(value).encode()


class Partition:
    """One partition of a keyed topic."""

    def __init__(self) -> None:
        self.first = 0
        self.records: list[tuple[bytes, bytes]] = []
        self.newest: dict[bytes, tuple[int, bytes]] = {}
        self.producers: dict[str, tuple[int, int, dict[int, int]]] = {}

    @property
    def end(self) -> int:
        return self.first + len(self.records)

    def copy(self) -> "Partition":
        """Return a partition with the same records."""
        copied = Partition()
        copied.first = self.first
        copied.records = list(self.records)
        copied.newest = dict(self.newest)
        return copied


_MAX_NEWEST_ITEMS = 50
"""Fewer than the platform's 500, so that a test gets several pages from few records."""

_MAX_PAGE_BYTES = 1_000_000
_DEFAULT_READ_KB = 1024


class StoreStandin:
    """The store: appends, reads with long polling, latest records, producers, conditions.

    Appends of too long records, and too long appends, are rejected; ``rejected`` has the lengths of
    their longest records. Pages are cut as the platform cuts them.

    Faults: with ``refuse``, calls are refused; with ``silent``, they hang; with ``lose``, appends
    are executed but not answered in time; with ``hides_new_records``, reads return no records.
    After `show_no_changes_to`, a node's reads return nothing that was appended later.
    ``part_faults`` has the fault of a topic's partition: "refuse" and "silent" as above, "reset"
    closes connections, and "late" executes calls only after their callers have given up.

    ``key_form`` is how a list of newest records states a key that is not UTF-8: "replaced" by
    U+FFFD, with "escaped" surrogates, or as "raw" bytes.
    """

    def __init__(self) -> None:
        self.refuse = False
        self.hides_new_records = False
        self.silent = False
        self.lose = False
        self.refused_agents: set[str] = set()
        self._outdated: dict[str, dict[tuple[str, int], Partition]] = {}
        self.part_faults: dict[tuple[str, int], str] = {}
        self.calls: list[str] = []
        self.record_bytes = 262_144
        self.call_bytes = 2_097_152
        self.rejected: list[int] = []
        self.key_form = "replaced"
        self._parts: dict[tuple[str, int], Partition] = {}
        self._changed = threading.Condition()
        self._server = Server(self._handle, threads=STORE_THREADS)
        self.address = self._server.address

    def close(self) -> None:
        self._server.close()

    def part(self, topic: str, number: int = 0) -> Partition:
        return self._parts.setdefault((topic, number), Partition())

    def put(self, topic: str, key: str, value: object) -> None:
        """Append a JSON value as the operator or a worker does; None deletes the key."""
        self.put_raw(topic, key, b"" if value is None else json.dumps(value).encode())

    def put_raw(self, topic: str, key: str | bytes, data: bytes) -> None:
        """Append raw bytes."""
        raw_key = key.encode() if isinstance(key, str) else key
        with self._changed:
            self._append(self.part(topic), [(raw_key, data)])

    def keys(self, topic: str) -> set[str]:
        """Return the keys of all partitions of a topic."""
        with self._changed:
            parts = [part for (name, _), part in self._parts.items() if name == topic]
            return {key.decode(errors="replace") for part in parts for key in part.newest}

    def show_no_changes_to(self, node: str) -> None:
        """Answer all further reads of a node with what the store has now."""
        with self._changed:
            self._outdated[f"snowdock/{node}"] = {
                key: part.copy() for key, part in self._parts.items()
            }

    def discard_history(self, topic: str) -> None:
        with self._changed:
            part = self.part(topic)
            part.first = part.end
            part.records.clear()
            self._changed.notify_all()

    def _append(self, part: Partition, records: list[tuple[bytes, bytes]]) -> int:
        offset = part.end
        for key, value in records:
            if value:
                part.newest[key] = (part.end, value)
            else:
                part.newest.pop(key, None)
            part.records.append((key, value))
        self._changed.notify_all()
        return offset

    def _handle(self, method, path, query, body, environ) -> Reply:
        self.calls.append(path)
        topic, number = query["topic"], int(query["part"])
        fault = self.part_faults.get((topic, number))
        if (
            self.refuse
            or fault == "refuse"
            or environ.get("HTTP_USER_AGENT") in self.refused_agents
        ):
            return 503, b""
        if fault == "reset":
            return CUT_OFF
        if self.silent or fault in ("silent", "late"):
            time.sleep(3)
            if fault != "late":
                return 503, b""
        with self._changed:
            part = self._parts.setdefault((topic, number), Partition())
            if path == "/v1/log-append":
                reply = self._handle_append(part, query, body)
            elif path == "/v1/log-read":
                return self._read(self._part_shown_to(environ, topic, number, part), query)
            else:
                return self._read_newest(self._part_shown_to(environ, topic, number, part), query)
        if self.lose:
            time.sleep(3)
        return reply

    def _handle_append(self, part: Partition, query, body: bytes) -> Reply:
        records = []
        longest = 0
        position = 0
        while position < len(body):
            (length,) = struct.unpack_from(">I", body, position)
            longest = max(longest, length)
            data = body[position + 4 : position + 4 + length]
            position += 4 + length
            records.append((data[1 : 1 + data[0]], data[1 + data[0] :]))
        if longest > self.record_bytes or len(body) > self.call_bytes:
            self.rejected.append(longest)
            return json_reply({"reason": "size"}, 413)
        producer = query.get("producer")
        if producer is not None:
            refusal = self._check_producer(part, producer, query)
            if refusal is not None:
                return refusal
        if "as_of" in query and int(query["as_of"]) != part.end:
            return json_reply({"end": part.end}, 412)
        offset = self._append(part, records)
        if producer is not None and records:
            epoch, sequence = int(query["epoch"]), int(query["seq"])
            answers = part.producers[producer][2]
            answers[sequence] = offset
            part.producers[producer] = (epoch, sequence, answers)
        return json_reply({"offset": offset, "end": part.end})

    @staticmethod
    def _check_producer(part: Partition, producer: str, query) -> Reply | None:
        epoch, sequence = int(query["epoch"]), int(query["seq"])
        seen_epoch, seen_sequence, answers = part.producers.get(producer, (-1, -1, {}))
        if epoch < seen_epoch:
            return json_reply({"reason": "fenced"}, 409)
        if epoch > seen_epoch:
            part.producers[producer] = (epoch, sequence, {})
            return None
        if sequence in answers:
            return json_reply({"offset": answers[sequence], "end": part.end})
        if sequence != seen_sequence + 1:
            return json_reply({"reason": "seq"}, 409)
        return None

    def _part_shown_to(self, environ, topic: str, number: int, part: Partition) -> Partition:
        shown = self._outdated.get(environ.get("HTTP_USER_AGENT"))
        return part if shown is None else shown.get((topic, number), Partition())

    def _read(self, part: Partition, query) -> Reply:
        start = int(query["from"])
        wait = int(query.get("wait_ms", 0)) / 1000
        self._changed.wait_for(
            lambda: (part.end > start and not self.hides_new_records) or start < part.first,
            timeout=wait,
        )
        if start < part.first:
            return json_reply({"first": part.first}, 410)
        if self.hides_new_records:
            return 200, struct.pack(">QQ", start, part.first)
        page = [struct.pack(">QQ", part.end, part.first)]
        size = 0
        for key, value in part.records[start - part.first :]:
            data = bytes((len(key),)) + key + value
            size += len(data)
            if size > int(query.get("max_kb", _DEFAULT_READ_KB)) * 1024 and len(page) > 1:
                break
            page.append(struct.pack(">I", len(data)) + data)
        return 200, b"".join(page)

    def _read_newest(self, part: Partition, query) -> Reply:
        after = query.get("after", "").encode()
        keys = sorted(key for key in part.newest if key > after)
        items = []
        size = 0
        for key in keys[:_MAX_NEWEST_ITEMS]:
            offset, value = part.newest[key]
            size += len(value)
            if size > _MAX_PAGE_BYTES and items:
                break
            text = base64.b64encode(value).decode()
            errors = "replace" if self.key_form == "replaced" else "surrogateescape"
            items.append({"key": key.decode(errors=errors), "value": text, "offset": offset})
        page = {"items": items, "has_more": len(keys) > len(items), "end": part.end}
        if self.key_form == "raw":
            return 200, json.dumps(page, ensure_ascii=False).encode(errors="surrogateescape")
        return json_reply(page)


_STARVATION_CHECK_SECONDS = 0.1
"""The interval of the checks for starving jobs."""

_REPLACEMENT_DELAY_SECONDS = 1.5
"""The delay after which another worker replaces one that a task has crashed."""

_SHRINK_GRACE_SECONDS = 4.5
"""Three seconds and one heartbeat: a leader may use a worker's previous capacity for that long."""


class WorkersStandin:
    """Workers in real time, each on its own port and recorded in a store.

    ``work_s`` is the duration of a run in seconds; ``checks`` records all starts and ends. The
    first task of a job in ``crashing_jobs`` crashes each worker that starts it; the worker is
    replaced after a delay. All runs of a job in ``failing_jobs`` fail. Runs of long-running steps
    last until they are stopped, unless ``plan_long_running`` is replaced. ``starvation`` checks the
    jobs in ``accepted_jobs``. ``starts`` has the task, run and worker of each start, and
    ``renewals`` the worker of each accepted renewal and the end of its lease, in ms of the worker's
    clock.
    """

    def __init__(
        self,
        store: StoreStandin,
        count: int,
        work_s: float = 0.1,
        proxies: Callable[[str], object] | None = None,
    ) -> None:
        self.checks = InvariantChecker()
        self.work_s = work_s
        self.unresponsive: set[str] = set()
        self.crashing_jobs: set[str] = set()
        self.failing_jobs: set[str] = set()
        self.plan_long_running: Callable[[], RunPlan] = lambda: RunPlan(math.inf)
        self._closed = False
        self.accepted_jobs: list[str] = []
        self.starvation = StarvationChecker(self.checks)
        self._replacement_numbers = itertools.count()
        self.steps: dict[str, list[StepSpec]] = {}
        self.starts: list[tuple[str, int, str]] = []
        self.renewals: list[tuple[str, float]] = []
        self._timeline = Timeline()
        self._started_at = time.monotonic()
        self._gangs = GangRegistry()
        self._lock = threading.Condition()
        self._store = store
        self.models: dict[str, WorkerModel] = {}
        self._servers: dict[str, Server] = {}
        self._born_ms: dict[str, int] = {}
        self._make_proxy = proxies
        self.proxies: list = []
        for number in range(count):
            self.add(f"i-{number}")
        threading.Thread(target=self._run_timeline, daemon=True).start()

    def close(self) -> None:
        self._closed = True
        for proxy in self.proxies:
            proxy.close()
        for server in self._servers.values():
            server.close()

    def add(self, life: str) -> None:
        server = Server(lambda *call, life=life: self._handle(life, *call))
        address = server.address
        if self._make_proxy is not None:
            self.proxies.append(self._make_proxy(address))
            address = self.proxies[-1].address
        entry = WorkerEntry(
            life, "pool", address, "hall", "r1-0", frozenset(), Size(4000, 16_000, 0)
        )
        self._begin_life(entry)
        self._servers[life] = server
        self.record(life)

    def _begin_life(self, entry: WorkerEntry, clock_began: float = 1000.0) -> None:
        self.models[entry.life] = WorkerModel(
            entry,
            self._timeline,
            WorkerTimings(lease_limit_s=6.0),
            self._gangs,
            self.checks,
            self._plan_run,
            crash=self._crash_and_replace,
            clock_began=clock_began,
        )
        self._born_ms[entry.life] = time.time_ns() // 1_000_000

    def restart(self, worker: str, away_s: float = 0.0) -> None:
        """End a worker's life and begin the next one under its id and at its address."""
        before = self._servers[worker]
        with self._lock:
            self.models[worker].crash()
        before.close()
        time.sleep(away_s)
        with self._lock:
            self._begin_life(self.models[worker].entry, clock_began=1.0)
        self._servers[worker] = self._serve_again(worker, before.port)
        self.record(worker)

    def _serve_again(self, worker: str, port: int) -> Server:
        """Serve at the port of a server that is closing, once the port is released."""
        end = time.monotonic() + _PORT_RELEASE_TIMEOUT_SECONDS
        while True:
            try:
                return Server(lambda *call: self._handle(worker, *call), port)
            except OSError:
                if time.monotonic() > end:
                    raise
                time.sleep(0.01)

    def _plan_run(self, task: TaskId, _run: int) -> RunPlan:
        if self.steps[task.job][task.step].long_running:
            return self.plan_long_running()
        return RunPlan(self.work_s, task.job in self.failing_jobs, self._crashes_worker(task))

    def find_workers_running(self, task: TaskId) -> list[str]:
        """Return the lives of the workers that run a task."""
        with self._lock:
            return [
                life for life, model in self.models.items() if model.is_up and task in model.running
            ]

    def has_spare_room(self, task: TaskId) -> bool:
        """Check whether some worker has room for a task twice over, and may run it."""
        step = self.steps[task.job][task.step]
        twice = step.room.times(2)
        with self._lock:
            return any(
                model.accepts_runs
                and model.entry.capacity.minus(model.used).holds(twice)
                and not _is_at_spread_limit(model, task, step)
                for model in self.models.values()
            )

    def _crashes_worker(self, task: TaskId) -> bool:
        return task.job in self.crashing_jobs and (task.step, task.index) == (0, 0)

    def mark_crashing(self, job: str) -> None:
        """Make the first task of a job crash each worker that starts it."""
        self.crashing_jobs.add(job)
        self.checks.crashing_tasks.add(TaskId(job, 0, 0, 0))

    def _crash_and_replace(self, life: str) -> None:
        if self.models[life].is_up:
            self.crash(life)
            returned = f"r-{next(self._replacement_numbers)}"
            self._timeline.call_after(_REPLACEMENT_DELAY_SECONDS, lambda: self.add(returned))

    def resize(self, life: str, capacity: Size) -> None:
        """Change a worker's capacity."""
        with self._lock:
            model = self.models[life]
            model.entry = dataclasses.replace(model.entry, capacity=capacity)
            # Starts are checked against a smaller capacity only after a grace period.
            model.enforced_capacity = model.enforced_capacity.elementwise_max(capacity)
            self._timeline.call_after(
                _SHRINK_GRACE_SECONDS, lambda: self._apply_counted_capacity(model, capacity)
            )
        self.record(life)

    @staticmethod
    def _apply_counted_capacity(model: WorkerModel, capacity: Size) -> None:
        if model.entry.capacity == capacity:
            model.enforced_capacity = capacity

    def crash(self, life: str) -> None:
        """End a worker's life and delete its entry."""
        with self._lock:
            self.models[life].crash()
        self._store.put("keyed.servers", life, None)

    def record(self, life: str, state: str = "ready") -> None:
        entry = self.models[life].entry
        room = entry.capacity
        capacity = {"cpu": room.cpu, "mem_mb": room.memory, "gpu": room.accelerators}
        self._store.put(
            "keyed.servers",
            life,
            {
                "service": "pool",
                "address": entry.address,
                "zone": "hall",
                "version": "v1",
                "slots": 8,
                "cold_left_ms": 0,
                "seq": 1,
                "born": self._born_ms[life],
                "state": state,
                "capacity": capacity,
                "labels": ["a", "r1-0"],
            },
        )

    def _run_timeline(self) -> None:
        look_at = 0.0
        while not self._closed:
            time.sleep(0.005)
            with self._lock:
                now = time.monotonic() - self._started_at
                self._timeline.run_until(now)
                if now >= look_at:
                    look_at = now + _STARVATION_CHECK_SECONDS
                    self.starvation.check(self.models.values(), self.accepted_jobs, now)

    def _handle(self, life, method, path, query, body, environ) -> Reply:
        if life in self.unresponsive:
            time.sleep(3)
            return 500, b""
        if environ.get("HTTP_X_EXPECTED_INSTANCE") != life or not self.models[life].is_up:
            return 421, b""
        call = json.loads(body)
        if path == "/v1/hold":
            return self._handle_renew(self.models[life], call)
        with self._lock:
            self._timeline.run_until(time.monotonic() - self._started_at)
            if not self.models[life].is_up:
                # The life ended while the timeline was advanced.
                return 421, b""
            return self._handle_order(self.models[life], path, call)

    def _handle_order(self, model: WorkerModel, path: str, call: dict) -> Reply:
        task = parse_task(call["task"])
        clock = {"clock_ms": model.clock_ms}
        if path == "/v1/run-stop":
            refusal = model.stop(StopOrder(task, call["run"], call["fencing_token"]))
        else:
            order = StartOrder(
                task, call["run"], call["spec"], call["fencing_token"], call["deadline_ms"]
            )
            refusal = model.start(order, self.steps[task.job][task.step]).refusal
            if refusal is None:
                self.starts.append((format_task(task), call["run"], model.entry.life))
        if refusal is None:
            return json_reply(clock)
        reason = {Refusal.FENCED: "fence", Refusal.SUPERSEDED: "old", Refusal.LATE: "late"}
        return json_reply({**clock, "reason": reason[refusal]}, 409)

    def _handle_renew(self, model: WorkerModel, call: dict) -> Reply:
        answers: list = []
        order = RenewOrder(
            call["fencing_token"],
            call["last_seen"],
            call.get("deadline_ms", 0),
            call.get("wait_ms", 0),
            0.0,
        )
        with self._lock:
            self._timeline.run_until(time.monotonic() - self._started_at)
            model.renew(order, answers.append)
            if Refusal.FENCED not in answers and order.lease_until_ms:
                self.renewals.append((model.entry.life, order.lease_until_ms))
        end = time.monotonic() + order.wait_ms / 1000 + 1
        while not answers and time.monotonic() < end:
            time.sleep(0.002)
        if not answers or answers[0] is Refusal.FENCED:
            return json_reply({"clock_ms": model.clock_ms, "reason": "fence"}, 409)
        report = answers[0]
        running = [[format_task(r.task), r.run, r.checkpoint, r.percent, 0] for r in report.running]
        ended = [
            [e.number, format_task(e.task), e.run, e.kind.value, e.checkpoint] for e in report.ended
        ]
        body = {"clock_ms": report.clock_ms, "running": running, "ended": ended}
        return json_reply(body | {"born": self._born_ms[model.entry.life]})


def _is_at_spread_limit(model: WorkerModel, task: TaskId, step: StepSpec) -> bool:
    same = sum((each.job, each.step) == (task.job, task.step) for each in model.running)
    return bool(step.most_per_worker) and same >= step.most_per_worker


class AdviceStandin:
    """The advice service: all workers except those in ``unfit`` are suitable for every step."""

    def __init__(self) -> None:
        self.unfit: set[str] = set()
        self.silent = False
        self.requested_steps: list[str] = []
        self._server = Server(self._handle)
        self.address = self._server.address

    def close(self) -> None:
        self._server.close()

    def _handle(self, method, path, query, body, environ) -> Reply:
        if self.silent:
            time.sleep(3)
        call = json.loads(body)
        self.requested_steps.append(call["step"])
        good = [[life, f"t-{life}"] for life in call["workers"] if life not in self.unfit]
        return json_reply({"good": good, "valid_ms": 2000})

"""A small deployment on loopback addresses: stand-ins of the platform, daemons, and clients.

Written from the users' pages only: store (a partitioned log with keyed topics), workers, advice,
and the platform that starts the daemons with the command of the deploy file, restarts those that
end, and kills those that exceed their memory. The cases 4 to 8 use it.
"""

import base64
import contextlib
import http.client
import http.server
import json
import os
import pathlib
import secrets
import shlex
import signal
import socket
import socketserver
import struct
import subprocess
import sys
import tempfile
import threading
import time
import tomllib
from collections.abc import Callable, Iterable
from urllib.parse import parse_qs, urlsplit

__all__ = [
    "BOUNDS",
    "MEMORY_MB",
    "Client",
    "Deployment",
    "Record",
    "Store",
    "Worker",
    "finish",
    "trouble_is_on",
]

ROOT = pathlib.Path(__file__).resolve().parent.parent

BOUNDS = {
    "contact_ms": 3000,
    "ack_ms": 4000,
    "drain_ms": 2000,
    "grace_s": 6,
    "loss_slack_ms": 200,
    "config_ms": 2000,
    "hold_max_ms": 6000,
    "stop_timeout_ms": 400,
    "gang_timeout_ms": 3000,
    "cancel_ms": 3000,
    "visible_ms": 3000,
    "early_ms": 250,
    "finish_s": 14,
    "status_s": 120,
    "lease_ms": 3000,
}
"""The bounds of `sites/cmp-snowdock.toml`, as `SYSTEM.md` states them."""

MEMORY_MB = 300
"""The memory of a machine of class `edge` in `SYSTEM.md`."""

_PARTS = 12
_HEARTBEAT_SECONDS = 1.5
_RESTART_SECONDS = 0.3
_MEMORY_POLL_SECONDS = 0.05
_PAGE_ITEMS = 500
_MAX_READ_WAIT_SECONDS = 30.0
_START_SECONDS = 25.0

Reply = tuple[int, bytes]


def trouble_is_on() -> bool:
    """Return whether the case is to be run with its disruption."""
    return os.environ.get("TROUBLE", "1") != "0"


class Record:
    """The file `record.txt` of a case: what was sent, answered and run, with times.

    Parameters
    ----------
    folder
        The folder of the case.
    """

    def __init__(self, folder: pathlib.Path) -> None:
        self._file = (folder / "record.txt").open("w", encoding="utf-8")
        self._began = time.monotonic()
        self._lock = threading.Lock()

    @property
    def seconds(self) -> float:
        """Seconds since the record began."""
        return time.monotonic() - self._began

    def write(self, line: str) -> None:
        """Write one line with its time."""
        with self._lock:
            self._file.write(f"{self.seconds:8.3f}  {line}\n")
            self._file.flush()

    def say(self, line: str) -> None:
        """Write one line, and print it."""
        self.write(line)
        print(line, flush=True)


def finish(status: int) -> None:
    """End the process at once with an exit status, whatever threads are left."""
    sys.stdout.flush()
    os._exit(status)


def _json_reply(value: object, status: int = 200) -> Reply:
    return status, json.dumps(value).encode()


class _Server:
    """An HTTP/1.1 server on a free loopback port, with a thread for each connection."""

    def __init__(self, handle: Callable[..., Reply | None], host: str = "127.0.0.1") -> None:
        class Handler(http.server.BaseHTTPRequestHandler):
            protocol_version = "HTTP/1.1"
            disable_nagle_algorithm = True

            def _serve(self) -> None:
                length = int(self.headers.get("Content-Length") or 0)
                body = self.rfile.read(length)
                parts = urlsplit(self.path)
                query = {name: values[0] for name, values in parse_qs(parts.query).items()}
                reply = handle(self.command, parts.path, query, self.headers, body)
                if reply is None:
                    self.close_connection = True
                    return
                status, data = reply
                self.send_response(status)
                self.send_header("Content-Length", str(len(data)))
                self.end_headers()
                self.wfile.write(data)

            do_GET = do_POST = do_DELETE = _serve  # noqa: N815

            def log_message(self, *_: object) -> None:
                return

            def handle(self) -> None:
                with contextlib.suppress(OSError):
                    super().handle()

        # `http.server` would look its own name up.
        class Listener(socketserver.ThreadingTCPServer):
            daemon_threads = True
            request_queue_size = 256
            allow_reuse_address = True

            def handle_error(self, *_: object) -> None:
                return

        self._listener = Listener((host, 0), Handler)
        self.address = f"{host}:{self._listener.server_address[1]}"
        threading.Thread(target=self._listener.serve_forever, daemon=True).start()

    def close(self) -> None:
        """Stop accepting connections."""
        self._listener.shutdown()
        self._listener.server_close()


class _Partition:
    """One partition of a topic."""

    def __init__(self) -> None:
        self.records: list[bytes] = []
        self.newest: dict[bytes, tuple[int, bytes]] = {}
        self.producers: dict[str, tuple[int, int, dict[int, int]]] = {}


class Store:
    """The platform's store. It keeps all records and is linearizable."""

    def __init__(self) -> None:
        self._partitions: dict[tuple[str, int], _Partition] = {}
        self._changed = threading.Condition()
        self._server = _Server(self._handle)
        self.address = self._server.address

    def close(self) -> None:
        """Stop serving."""
        self._server.close()

    def put(self, topic: str, key: str, value: object) -> None:
        """Append a record of the operator or of a worker; None drops the key."""
        data = b"" if value is None else json.dumps(value).encode()
        raw = key.encode()
        with self._changed:
            self._append(self._partition(topic, 0), [bytes((len(raw),)) + raw + data])

    def _partition(self, topic: str, part: int) -> _Partition:
        return self._partitions.setdefault((topic, part), _Partition())

    def _append(self, partition: _Partition, records: list[bytes]) -> int:
        offset = len(partition.records)
        for record in records:
            key, value = record[1 : 1 + record[0]], record[1 + record[0] :]
            if value:
                partition.newest[key] = (len(partition.records), value)
            else:
                partition.newest.pop(key, None)
            partition.records.append(record)
        self._changed.notify_all()
        return offset

    def _handle(self, method: str, path: str, query: dict, headers, body: bytes) -> Reply:
        with self._changed:
            partition = self._partition(query.get("topic", ""), int(query.get("part", 0)))
            if path == "/v1/log-append":
                return self._handle_append(partition, query, body)
            if path == "/v1/log-read":
                return self._handle_read(partition, query)
            if path == "/v1/log-newest":
                return self._handle_newest(partition, query)
            return 404, b""

    def _handle_append(self, partition: _Partition, query: dict, body: bytes) -> Reply:
        records = []
        position = 0
        while position < len(body):
            (length,) = struct.unpack_from(">I", body, position)
            records.append(body[position + 4 : position + 4 + length])
            position += 4 + length
        end = len(partition.records)
        if "as_of" in query and int(query["as_of"]) != end:
            return _json_reply({"end": end}, 412)
        if "producer" not in query:
            offset = self._append(partition, records)
            return _json_reply({"offset": offset, "end": len(partition.records)})
        name, epoch, sequence = query["producer"], int(query["epoch"]), int(query["seq"])
        known_epoch, last, answers = partition.producers.get(name, (-1, -1, {}))
        if epoch < known_epoch:
            return _json_reply({"reason": "fenced", "end": end}, 409)
        if epoch > known_epoch:
            answers = {}
        elif sequence in answers:
            return _json_reply({"offset": answers[sequence], "end": end})
        elif sequence != last + 1:
            return _json_reply({"reason": "seq", "seq": last + 1, "end": end}, 409)
        offset = self._append(partition, records)
        recent = {**answers, sequence: offset}
        recent = dict(sorted(recent.items())[-5:])
        partition.producers[name] = (epoch, sequence, recent)
        return _json_reply({"offset": offset, "end": len(partition.records)})

    def _handle_read(self, partition: _Partition, query: dict) -> Reply:
        start = int(query["from"])
        wait_s = min(_MAX_READ_WAIT_SECONDS, int(query.get("wait_ms", 0)) / 1000)
        self._changed.wait_for(lambda: len(partition.records) > start, wait_s)
        page = [struct.pack(">QQ", len(partition.records), 0)]
        room = int(query.get("max_kb", 1024)) * 1024
        for record in partition.records[start:]:
            room -= len(record) + 4
            if room < 0 and len(page) > 1:
                break
            page.append(struct.pack(">I", len(record)) + record)
        return 200, b"".join(page)

    def _handle_newest(self, partition: _Partition, query: dict) -> Reply:
        after = query.get("after", "").encode()
        keys = sorted(key for key in partition.newest if key > after)
        items = []
        size = 0
        for key in keys[:_PAGE_ITEMS]:
            offset, value = partition.newest[key]
            size += len(value)
            if size > 1_000_000 and items:
                break
            text = base64.b64encode(value).decode()
            items.append({"key": key.decode(), "value": text, "offset": offset})
        has_more = len(items) < len(keys)
        return _json_reply({"items": items, "has_more": has_more, "end": len(partition.records)})


class Worker:
    """One worker, which starts whatever it is told and runs each task for a fixed time.

    Parameters
    ----------
    store
        Where it records itself.
    worker_id
        Its id.
    record
        Gets a line for each start, end and stop.
    work_s
        How long each task works.
    """

    def __init__(self, store: Store, worker_id: str, record: Record, work_s: float = 0.3) -> None:
        self.worker_id = worker_id
        self.starts: list[tuple[str, int, str]] = []
        self._store = store
        self._record = record
        self._work_s = work_s
        self._born_ms = round(time.time() * 1000)
        self._began = time.monotonic()
        self._token = 0
        self._deadline_ms = 0.0
        self._running: dict[tuple[str, int], float] = {}
        self._closed_runs: dict[str, int] = {}
        self._ends: list[list] = []
        self._end_count = 0
        self._changed = threading.Condition()
        self._is_open = True
        self._server = _Server(self._handle)
        self.address = self._server.address
        threading.Thread(target=self._live, daemon=True).start()

    def close(self) -> None:
        """End the worker."""
        self._is_open = False
        self._server.close()

    @property
    def _clock_ms(self) -> int:
        return int((time.monotonic() - self._began) * 1000) + 1000

    def _live(self) -> None:
        sequence = 0
        beat_at = 0.0
        while self._is_open:
            now = time.monotonic()
            if now >= beat_at:
                beat_at = now + _HEARTBEAT_SECONDS
                sequence += 1
                self._store.put("keyed.servers", self.worker_id, self._describe(sequence))
            with self._changed:
                for (task, run), until in list(self._running.items()):
                    if self._clock_ms > self._deadline_ms:
                        self._end(task, run, "lapsed")
                    elif now >= until:
                        self._end(task, run, "done")
            time.sleep(0.01)

    def _describe(self, sequence: int) -> dict:
        return {
            "service": "settle",
            "address": self.address,
            "zone": "tunis-a",
            "version": "v1",
            "slots": 8,
            "state": "ready",
            "cold_left_ms": 0,
            "capacity": {"cpu": 16000, "mem_mb": 65536, "gpu": 0},
            "labels": ["a", "r1-0"],
            "clock_ms": self._clock_ms,
            "born": self._born_ms,
            "seq": sequence,
        }

    def _end(self, task: str, run: int, how: str) -> None:
        del self._running[task, run]
        self._closed_runs[task] = max(run, self._closed_runs.get(task, 0))
        self._end_count += 1
        self._ends.append([self._end_count, task, run, how, ""])
        self._record.write(f"{self.worker_id} ends {task} run {run}: {how}")
        self._changed.notify_all()

    def _handle(self, method: str, path: str, query: dict, headers, body: bytes) -> Reply:
        if headers.get("X-Expected-Instance") != self.worker_id:
            return 421, b""
        call = json.loads(body)
        token = call.get("fencing_token", 0)
        with self._changed:
            if token < self._token:
                return self._refuse("fence")
            self._token = token
            if path == "/v1/run-start":
                return self._handle_start(call)
            if path == "/v1/run-stop":
                return self._handle_stop(call)
            if path == "/v1/hold":
                return self._handle_hold(call)
        return 404, b""

    def _refuse(self, reason: str) -> Reply:
        return _json_reply({"clock_ms": self._clock_ms, "reason": reason}, 409)

    def _extend(self, deadline_ms: float) -> None:
        limit = self._clock_ms + BOUNDS["hold_max_ms"]
        self._deadline_ms = max(self._deadline_ms, min(deadline_ms, limit))

    def _handle_start(self, call: dict) -> Reply:
        task, run = call["task"], call["run"]
        if (task, run) in self._running:
            return _json_reply({"clock_ms": self._clock_ms})
        self._extend(call["deadline_ms"])
        if run <= self._closed_runs.get(task, 0):
            return self._refuse("old")
        if call["deadline_ms"] <= self._clock_ms:
            return self._refuse("late")
        self._running[task, run] = time.monotonic() + self._work_s
        self.starts.append((task, run, call["spec"]))
        self._record.write(f"{self.worker_id} starts {task} run {run}, spec {call['spec'][:40]!r}")
        return _json_reply({"clock_ms": self._clock_ms})

    def _handle_stop(self, call: dict) -> Reply:
        task, run = call["task"], call["run"]
        if (task, run) in self._running:
            self._end(task, run, "stopped")
        else:
            self._closed_runs[task] = max(run, self._closed_runs.get(task, 0))
        return _json_reply({"clock_ms": self._clock_ms})

    def _handle_hold(self, call: dict) -> Reply:
        if "deadline_ms" in call:
            self._extend(call["deadline_ms"])
        self._ends = [end for end in self._ends if end[0] > call["last_seen"]]
        if not self._ends:
            self._changed.wait_for(lambda: bool(self._ends), call.get("wait_ms", 0) / 1000)
        running = [[task, run, "", 50, 0] for task, run in self._running]
        answer = {"clock_ms": self._clock_ms, "running": running, "ended": self._ends[:500]}
        return _json_reply({**answer, "born": self._born_ms})


_SETTINGS = """\
node = "{node}"
role = "entry"
machine_class = "edge"
serves = ["edge"]
ip = "{ip}"
zone = "tunis-a"
region = "tn-north"
port_range = [{peer},{peer}]
seeds = []
bootstrap = true
counts_as_loss = false
discovery = "platform"
entry = "vip"
heartbeat_ms = 1500
contracts = {contracts}
commands = "invoke"
advice = "{advice}"
[listen]
front = "{ip}:{front}"
ready = "{ip}:{ready}"
[limits]
cpu_share = 0.537
cores = 2
memory_mb = {memory_mb}
max_fds = 4200
link_mbps = 1000.0
disk_mb = 0
[bounds]
{bounds}
[platform]
address = "{store}"
form = "log"
writes_per_s = 600
reads_per_s = 2000
parts = {parts}
append_ms = 2.0
part_mb_s = 20.0
read_mb_s = 80.0
record_bytes = 262144
call_bytes = 2097152
keep_s = 300
part_mb = 200
ttl_min_ms = 1000
"""

_CONTRACTS = ["base", "drain", "config", "cost", "recover", "sched", "platform"]


def _free_port(host: str) -> int:
    with socket.socket() as probe:
        probe.bind((host, 0))
        return probe.getsockname()[1]


class Node:
    """One entry daemon, started with the command of the deploy file.

    Parameters
    ----------
    deployment
        The deployment that it belongs to.
    number
        Its number, from 1.
    """

    def __init__(self, deployment: "Deployment", number: int) -> None:
        self.name = f"edge-{number}"
        self.ip = f"127.0.7.{number}"
        self.front = _free_port(self.ip)
        self.ready = _free_port(self.ip)
        self.lives = 0
        self._deployment = deployment
        self._settings = deployment.folder / f"{self.name}.toml"
        self._log = deployment.folder / f"{self.name}.log"
        bounds = "\n".join(f"{name} = {value}" for name, value in BOUNDS.items())
        text = _SETTINGS.format(
            node=self.name,
            ip=self.ip,
            peer=_free_port(self.ip),
            front=self.front,
            ready=self.ready,
            contracts=json.dumps(_CONTRACTS + deployment.contracts),
            advice="127.0.0.1:9",
            memory_mb=MEMORY_MB,
            bounds=bounds,
            store=deployment.store.address,
            parts=_PARTS,
        )
        self._settings.write_text(text)
        self.process: subprocess.Popen | None = None
        self.start()

    def start(self) -> None:
        """Start a process of the node."""
        self.lives += 1
        deploy = tomllib.loads((ROOT / "deploy/system.toml").read_text())
        words = shlex.split(deploy["roles"]["entry"]["run"])
        words[0] = sys.executable if words[0] == "python3" else words[0]
        environment = {
            "PATH": os.environ["PATH"],
            "HOME": os.environ.get("HOME", "/"),
            "LANG": "C.UTF-8",
            "PYTHONPATH": str(ROOT / "target/deps"),
            "SNOWDOCK_CONFIG": str(self._settings),
            "SNOWDOCK_METRICS_PORT": str(_free_port(self.ip)),
        }
        with self._log.open("ab") as log:
            self.process = subprocess.Popen(
                words, cwd=ROOT, env=environment, stdout=log, stderr=log, stdin=subprocess.DEVNULL
            )

    def memory_mb(self) -> float:
        """Return the private memory of the process in MB; 0 if it has ended."""
        try:
            lines = pathlib.Path(f"/proc/{self.process.pid}/status").read_text().splitlines()
        except OSError:
            return 0.0
        return sum(int(line.split()[1]) for line in lines if line.startswith("RssAnon:")) / 1000

    def is_ready(self) -> bool:
        """Return whether the node answers the readiness probe with 200."""
        connection = http.client.HTTPConnection(self.ip, self.ready, timeout=1.0)
        try:
            connection.request("GET", "/v1/readiness")
            return connection.getresponse().status == 200
        except (OSError, http.client.HTTPException):
            return False
        finally:
            connection.close()

    def count_lines(self, event: str) -> int:
        """Return how many lines of an event the node has logged."""
        return self._log.read_text(errors="replace").count(f"event={event} ")

    def tail(self, lines: int = 20) -> list[str]:
        """Return the last lines of the node's log."""
        return self._log.read_text(errors="replace").splitlines()[-lines:]

    def kill(self, number: int = signal.SIGKILL) -> None:
        """Send the process a signal."""
        if self.process.poll() is None:
            self.process.send_signal(number)

    def terminate(self) -> None:
        """Stop the process as planned: SIGTERM, and SIGKILL after `grace_s`."""
        self._deployment.expect_end(self)
        self._deployment.record.write(f"platform sends {self.name} a SIGTERM")
        process = self.process
        self.kill(signal.SIGTERM)
        try:
            process.wait(BOUNDS["grace_s"])
        except subprocess.TimeoutExpired:
            process.kill()


class Deployment:
    """Daemons and the stand-ins of the platform; a context manager that ends all of them.

    Parameters
    ----------
    record
        The record of the case.
    nodes, workers
        Their numbers.
    configuration
        The first configuration.
    contracts
        Contracts beside those of a deployment without keys.
    work_s
        How long each task works.
    """

    def __init__(
        self,
        record: Record,
        nodes: int,
        workers: int,
        configuration: dict,
        contracts: Iterable[str] = (),
        work_s: float = 0.3,
    ) -> None:
        # A script that is asked to end leaves no process behind.
        signal.signal(signal.SIGTERM, signal.default_int_handler)
        self.record = record
        self.contracts = list(contracts)
        self.memory_kills: list[tuple[str, float]] = []
        self.own_ends: list[tuple[str, int]] = []
        self._folder = tempfile.TemporaryDirectory()
        self.folder = pathlib.Path(self._folder.name)
        self._is_closing = False
        self._expected_ends: set[str] = set()
        self.store = Store()
        self.store.put("keyed.op", "config", configuration)
        self.workers = [Worker(self.store, f"i-{n:04x}", record, work_s) for n in range(workers)]
        self.nodes = [Node(self, number + 1) for number in range(nodes)]
        threading.Thread(target=self._look_after_nodes, daemon=True).start()

    def __enter__(self) -> "Deployment":
        return self

    def __exit__(self, *_: object) -> None:
        self._is_closing = True
        for node in self.nodes:
            node.kill()
            node.process.wait()
        for worker in self.workers:
            worker.close()
        self.store.close()
        self._folder.cleanup()

    def expect_end(self, node: Node) -> None:
        """Note that the next end of a node's process is the platform's doing."""
        self._expected_ends.add(node.name)

    def _look_after_nodes(self) -> None:
        """Kill processes that exceed their memory, and restart those that have ended."""
        while not self._is_closing:
            for node in self.nodes:
                status = node.process.poll()
                if status is not None:
                    self._restart(node, status)
                    continue
                memory_mb = node.memory_mb()
                if memory_mb > MEMORY_MB:
                    self.memory_kills.append((node.name, memory_mb))
                    self._expected_ends.add(node.name)
                    self.record.write(
                        f"platform kills {node.name}: {memory_mb:.0f} MB of {MEMORY_MB} MB"
                    )
                    node.kill()
                    node.process.wait()
            time.sleep(_MEMORY_POLL_SECONDS)

    def _restart(self, node: Node, status: int) -> None:
        if node.name in self._expected_ends:
            self._expected_ends.discard(node.name)
        else:
            self.own_ends.append((node.name, status))
            self.record.write(f"{node.name} ended by itself with status {status}")
        time.sleep(_RESTART_SECONDS)
        if not self._is_closing:
            self.record.write(f"platform starts {node.name} again")
            node.start()

    def wait_until_serving(self, probe: Callable[[], bool]) -> bool:
        """Wait until all nodes are ready and a probe of the caller succeeds."""
        end = time.monotonic() + _START_SECONDS
        while time.monotonic() < end:
            if all(node.is_ready() for node in self.nodes) and probe():
                return True
            time.sleep(0.2)
        return False

    def starts_of(self, job: str) -> list[tuple[str, int, str]]:
        """Return the starts of a job's tasks on all workers: task, run and spec."""
        return [
            start
            for worker in self.workers
            for start in list(worker.starts)
            if start[0].startswith(f"{job}.")
        ]


class Client:
    """A client that sends one request at a time, each over a connection of its own.

    Parameters
    ----------
    deployment
        The deployment.
    host, prefix
        Host and path prefix of its route.
    key
        Its API key; empty for none.
    """

    def __init__(self, deployment: Deployment, host: str, prefix: str, key: str = "") -> None:
        self._deployment = deployment
        self._host = host
        self._prefix = prefix
        self._key = key

    @staticmethod
    def new_id() -> str:
        """Return a new id of a job."""
        return secrets.token_hex(8)

    def call(
        self, node: Node, method: str, job: str, body: dict | None = None, deadline_ms: int = 3000
    ) -> tuple[int, dict]:
        """Send a request; return status and decoded body, or status 0 without an answer."""
        headers = {"Host": self._host, "X-Deadline-Ms": str(deadline_ms)}
        data = None
        if body is not None:
            headers["Content-Type"] = "application/json"
            data = json.dumps(body).encode()
        if self._key:
            headers["X-Api-Key"] = self._key
        sent_at = time.monotonic()
        connection = http.client.HTTPConnection(node.ip, node.front, timeout=deadline_ms / 1000)
        try:
            connection.request(method, self._prefix + job, data, headers)
            reply = connection.getresponse()
            status, answer = reply.status, reply.read()
        except (OSError, http.client.HTTPException) as error:
            status, answer = 0, f"no answer: {type(error).__name__}".encode()
        finally:
            connection.close()
        took_ms = (time.monotonic() - sent_at) * 1000
        shown = answer[:100].decode(errors="replace")
        self._deployment.record.write(
            f"client {method} {job} at {node.name}: {status} {shown} after {took_ms:.0f} ms"
        )
        try:
            decoded = json.loads(answer)
        except ValueError:
            decoded = {}
        return status, decoded if isinstance(decoded, dict) else {}

    def submit(self, job: str, body: dict, attempts: int = 4) -> bool:
        """Hand a job in, at another node after each attempt without a 2xx; return whether taken."""
        nodes = self._deployment.nodes
        first = int(job[:4], 16)
        for attempt in range(attempts):
            status, _ = self.call(nodes[(first + attempt) % len(nodes)], "POST", job, body)
            if 200 <= status < 300:
                return True
            time.sleep(0.3)
        return False

    def find_state(self, job: str, attempts: int = 3) -> str:
        """Ask for a job's state, at another node after each attempt without one.

        Returns
        -------
        str
            The state, `gone` for a 410, or `unanswered`.
        """
        nodes = self._deployment.nodes
        first = int(job[:4], 16)
        for attempt in range(attempts):
            status, answer = self.call(nodes[(first + attempt) % len(nodes)], "GET", job)
            if status == 200:
                return str(answer.get("state"))
            if status == 410:
                return "gone"
            time.sleep(0.2)
        return "unanswered"

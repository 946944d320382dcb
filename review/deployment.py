"""A small deployment: entry daemons as processes, stand-ins of the platform, and clients.

The daemons run the command of the deploy file on the packages of its build. Settings and the
configuration are those of the small deployment `casb-ledger`, with loopback addresses.
"""

import asyncio
import contextlib
import json
import logging
import os
import pathlib
import random
import secrets
import signal
import socket
import subprocess
import sys
import tempfile
import time
from collections.abc import Awaitable, Callable, Iterator
from typing import TextIO

from .http_server import call
from .store_standin import StoreLimits, StoreStandin
from .worker_standin import Ledger, WorkerStandin, WorkPlan

__all__ = ["PREFIX", "Deployment", "Outcome", "main", "make_job_id", "wait_until"]

_ROOT = pathlib.Path(__file__).resolve().parent.parent
_COMMAND = ["python3", "-m", "snowdock.entry.daemon"]
_PORTS = range(10_000, 32_000)
_START_SECONDS = 20.0
_HOLD_MAX_MS = 10_000
_STOP_TIMEOUT_MS = 400
_HEARTBEAT_MS = 1500
_HOST = "jobs.example"
_SERVICE = "filing-desk"
PREFIX = "/jobs/"

_SETTINGS = """
node = "{node}"
role = "entry"
machine_class = "edge"
serves = ["edge"]
ip = "{ip}"
zone = "halfway-tree"
region = "kingston"
port_range = [{peer}, {peer}]
seeds = []
bootstrap = true
counts_as_loss = false
discovery = "platform"
entry = "vip"
heartbeat_ms = {heartbeat_ms}
contracts = ["base","drain","config","cost","recover","sched","platform","advice"]
commands = "invoke"
advice = ""
[zones]
halfway-tree = "kingston"
[listen]
front = "{ip}:{front}"
ready = "{ip}:{ready}"
[limits]
cpu_share = 0.537
cores = 2
memory_mb = 300
max_fds = 4100
link_mbps = 1000.0
disk_mb = 0
[bounds]
contact_ms = 3000
ack_ms = 4000
drain_ms = 2000
grace_s = 6
config_ms = 2000
hold_max_ms = {hold_max_ms}
stop_timeout_ms = {stop_timeout_ms}
gang_timeout_ms = 3000
cancel_ms = 3000
visible_ms = 3000
early_ms = 250
finish_s = 14
status_s = 120
checkpoint_s = 0.5
restore_ms = 250
lease_ms = 3000
fencing_enforced = true
[platform]
address = "{store}"
form = "log"
writes_per_s = 800
reads_per_s = 2000
parts = 12
append_ms = 2.0
part_mb_s = 20.0
read_mb_s = 80.0
record_bytes = 262144
call_bytes = 2097152
keep_s = 20
part_mb = 200
ttl_min_ms = 1000
[cloud_api]
"""


class Outcome(Exception):
    """Ends a case: 0 if the rule held, 1 if it was broken, 2 if the case could not run."""

    def __init__(self, status: int, reason: str) -> None:
        super().__init__(reason)
        self.status = status
        self.reason = reason


class _Daemon:
    """One entry daemon as a process of its own."""

    def __init__(self, number: int, folder: pathlib.Path, store: str) -> None:
        self.name = f"edge-halfway-tree-{number}"
        self.ip = f"127.0.3.{number}"
        front, ready, peer = (_free_port(self.ip) for _ in range(3))
        self.front = f"{self.ip}:{front}"
        self.ready = f"{self.ip}:{ready}"
        self.log = folder / f"{self.name}.log"
        settings = folder / f"{self.name}.toml"
        settings.write_text(
            _SETTINGS.format(
                node=self.name,
                ip=self.ip,
                front=front,
                ready=ready,
                peer=peer,
                store=store,
                heartbeat_ms=_HEARTBEAT_MS,
                hold_max_ms=_HOLD_MAX_MS,
                stop_timeout_ms=_STOP_TIMEOUT_MS,
            )
        )
        environment = {
            "PATH": os.environ["PATH"],
            "HOME": os.environ.get("HOME", str(folder)),
            "LANG": "C.UTF-8",
            "PYTHONPATH": str(_ROOT / "target" / "deps"),
            "SNOWDOCK_CONFIG": str(settings),
            "SNOWDOCK_METRICS_PORT": "0",
        }
        with self.log.open("wb") as log:
            self.process = subprocess.Popen(
                _COMMAND, cwd=_ROOT, env=environment, stdout=log, stderr=log
            )

    @property
    def is_running(self) -> bool:
        return self.process.poll() is None

    def end(self) -> None:
        if self.is_running:
            self.process.send_signal(signal.SIGKILL)
        self.process.wait()


def _free_port(ip: str) -> int:
    while True:
        port = random.SystemRandom().choice(_PORTS)
        with socket.socket() as probe:
            try:
                probe.bind((ip, port))
            except OSError:
                continue
        return port


class Deployment:
    """Daemons, stand-ins and clients of one case, and the record of what they do.

    Attributes
    ----------
    plans
        What each job's tasks do, by job: a function of the task's index.
    ledger
        What the workers saw.
    """

    def __init__(self, folder: pathlib.Path, record: TextIO) -> None:
        self._folder = folder
        self._record = record
        self._began_at = time.monotonic()
        self.store = StoreStandin(StoreLimits())
        self.ledger = Ledger(self.note)
        self.workers: list[WorkerStandin] = []
        self.daemons: list[_Daemon] = []
        self.plans: dict[str, Callable[[int], WorkPlan]] = {}

    def note(self, event: str, **fields: object) -> None:
        """Write a line to the record."""
        now = time.monotonic() - self._began_at
        details = " ".join(f"{name}={value}" for name, value in fields.items())
        self._record.write(f"{now:9.3f} {event} {details}\n")

    async def start(self, daemons: int, workers: int) -> None:
        """Start all, and wait until each daemon is ready and one of them leads."""
        await self.store.start("127.0.2.1")
        for _ in range(workers):
            await self.add_worker()
        self.store.put("keyed.op", "config", _CONFIGURATION)
        for number in range(1, daemons + 1):
            self.daemons.append(_Daemon(number, self._folder, self.store.address))
        self.note("daemons started", count=daemons, workers=workers, store=self.store.address)
        is_up = await wait_until(self._is_up, _START_SECONDS)
        if not is_up:
            raise Outcome(2, "the deployment did not start")
        # The leader hears of all workers.
        await asyncio.sleep(3.0)

    async def add_worker(self) -> WorkerStandin:
        """Start a worker; the first one is of kind b, all others of kind a."""
        number = len(self.workers)
        worker = WorkerStandin(
            f"i-{secrets.token_hex(4)}",
            ["a" if number else "b", f"r1-{number // 8}"],
            self.store,
            self.ledger,
            self._find_plan,
            _HOLD_MAX_MS,
            _STOP_TIMEOUT_MS,
        )
        self.workers.append(worker)
        await worker.start("127.0.2.2", _SERVICE, _HEARTBEAT_MS)
        return worker

    async def _is_up(self) -> bool:
        for daemon in self.daemons:
            if (await call(daemon.ready, "GET", "/v1/readiness", {}))[0] != 200:
                return False
        path = PREFIX + make_job_id()
        status, _ = await self.call("GET", path, is_noted=False)
        return status == 410

    def end(self) -> None:
        """End all processes that were started."""
        for daemon in self.daemons:
            daemon.end()

    def find_ended_daemons(self) -> list[str]:
        """Return the names of the daemons that ended by themselves."""
        return [daemon.name for daemon in self.daemons if not daemon.is_running]

    def _find_plan(self, task: str) -> WorkPlan:
        job, _, _, index = task.split(".")
        return self.plans[job](int(index))

    # -- clients ---------------------------------------------------------------------------

    async def call(
        self, method: str, path: str, body: dict | None = None, *, is_noted: bool = True
    ) -> tuple[int, dict]:
        """Send a client's request to a daemon; each request picks one."""
        daemon = random.choice(self.daemons)
        headers = {"Host": _HOST, "X-Deadline-Ms": "3000"}
        data = b""
        if body is not None:
            headers["Content-Type"] = "application/json"
            data = json.dumps(body).encode()
        status, answer = await call(daemon.front, method, path, headers, data)
        try:
            decoded = json.loads(answer) if answer else {}
        except ValueError:
            decoded = {}
        if is_noted:
            self.note("client", method=method, path=path, node=daemon.name, status=status)
        return status, decoded

    async def submit(self, job: str, body: dict, plan: Callable[[int], WorkPlan]) -> bool:
        """Hand a job in, up to five times as a client does; return whether it was accepted."""
        self.plans[job] = plan
        for _ in range(5):
            status, _ = await self.call("POST", PREFIX + job, body)
            if 200 <= status < 300:
                return True
            await asyncio.sleep(0.5)
        return False

    async def state(self, job: str) -> str:
        """Return a job's state as shown to a client, or the status of the answer."""
        status, answer = await self.call("GET", PREFIX + job, is_noted=False)
        state = answer["state"] if status == 200 else str(status)
        self.note("state", job=job, state=state)
        return state


_CONFIGURATION = {
    "version": 7,
    "routes": [
        {
            "name": "r-filing",
            "host": _HOST,
            "path_prefix": PREFIX,
            "kind": "mutating",
            "timeout_ms": 3000,
            "target_latency_ms": 1000,
            "priority": 1,
            "service": _SERVICE,
            "max_attempts": 4,
            "stretch": 2.2,
        }
    ],
    "services": [
        {
            "name": _SERVICE,
            "health_path": "/health",
            "max_conns": 64,
            "protocol": "h1",
            "tls": False,
            "rejects_overload": False,
            "headroom": False,
        }
    ],
    "limits": {
        "max_header_bytes": 16384,
        "max_body_bytes": 262144,
        "header_timeout_ms": 3000,
        "idle_timeout_ms": 15000,
    },
}


def make_job_id() -> str:
    """Return a job identifier as a client chooses it."""
    return secrets.token_hex(8)


async def wait_until(condition: Callable[[], Awaitable[bool]], seconds: float) -> bool:
    """Wait for a condition; return whether it became true in time."""
    deadline = time.monotonic() + seconds
    while time.monotonic() < deadline:
        if await condition():
            return True
        await asyncio.sleep(0.2)
    return False


@contextlib.contextmanager
def _open_record(folder: pathlib.Path) -> Iterator[TextIO]:
    with (folder / "record.txt").open("w", encoding="utf-8") as record:
        yield record


def main(
    play: Callable[[Deployment, bool], Awaitable[None]],
    folder: str,
    daemons: int,
    workers: int,
) -> None:
    """Play a case and exit with its status.

    Parameters
    ----------
    play
        Plays the case; raises `Outcome`. Its second argument tells whether to disturb.
    folder
        The case's folder, which gets the record.
    daemons, workers
        How many of each to start.
    """
    disturbs = os.environ.get("TROUBLE", "1") != "0"
    # Ends the daemons, too.
    signal.signal(signal.SIGTERM, lambda *_: sys.exit(2))
    # Connections that are open at the end are dropped with the loop.
    logging.getLogger("asyncio").setLevel(logging.CRITICAL)
    case_folder = pathlib.Path(folder).resolve()
    with tempfile.TemporaryDirectory() as scratch, _open_record(case_folder) as record:
        deployment = Deployment(pathlib.Path(scratch), record)
        try:
            outcome = asyncio.run(_run(deployment, play, daemons, workers, disturbs))
        finally:
            deployment.end()
            keep = os.environ.get("REVIEW_KEEP_LOGS")
            if keep:
                for daemon in deployment.daemons:
                    pathlib.Path(keep, daemon.log.name).write_bytes(daemon.log.read_bytes())
        deployment.note("outcome", status=outcome.status, reason=outcome.reason)
    print(f"trouble={int(disturbs)} exit={outcome.status}: {outcome.reason}")
    sys.exit(outcome.status)


async def _run(
    deployment: Deployment,
    play: Callable[[Deployment, bool], Awaitable[None]],
    daemons: int,
    workers: int,
    disturbs: bool,
) -> Outcome:
    try:
        await deployment.start(daemons, workers)
        await play(deployment, disturbs)
    except Outcome as outcome:
        return outcome
    except Exception as error:
        # Says nothing about the rule.
        return Outcome(2, f"the case could not run: {error!r}")
    return Outcome(2, "the case came to no conclusion")

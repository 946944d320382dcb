"""Runs real entry daemons as processes against the platform's stand-ins."""

import json
import os
import pathlib
import secrets
import signal
import subprocess
import sys
import tempfile
import time
from collections.abc import Callable

import urllib3

from tests.standins.platform import AdviceStandin, StoreStandin, WorkersStandin
from tests.standins.ports import free_port

SETTINGS = """
node = "{node}"
role = "entry"
ip = "{ip}"
zone = "hall"
port_range = [{peer}, {peer}]
heartbeat_ms = 500
advice = "{advice}"
unknown_field = 1
[listen]
front = "{ip}:{front}"
ready = "{ip}:{ready}"
[platform]
address = "{store}"
parts = 3
[limits]
max_fds = 1500
[bounds]
hold_max_ms = 6000
grace_s = 6
[cloud_api]
"""

_MAX_ATTEMPTS = 3

CONFIGURATION = {
    "version": 3,
    "routes": [
        {
            "name": "jobs",
            "host": "jobs.example",
            "path_prefix": "/jobs/",
            "service": "pool",
            "max_attempts": _MAX_ATTEMPTS,
            "stretch": 2.0,
            "target_latency_ms": 500,
            "timeout_ms": 3000,
            "kind": "mutating",
        },
        {
            "name": "advised",
            "host": "jobs.example",
            "path_prefix": "/jobs/advised/",
            "service": "pool",
            "max_attempts": _MAX_ATTEMPTS,
            "advice": {"decide_ms": 10.0, "each_ms": 0.1, "valid_ms": 2000},
        },
    ],
    "services": [{"name": "pool", "health_path": "/health", "rejects_overload": False}],
    "limits": {"max_header_bytes": 16384, "max_body_bytes": 20_000},
}


def wait_until(condition, seconds: float = 15.0) -> bool:
    """Wait for a condition and return whether it became true within ``seconds``."""
    end = time.monotonic() + seconds
    while time.monotonic() < end:
        if condition():
            return True
        time.sleep(0.02)
    return False


class EntryProcess:
    """One entry daemon as a child process."""

    def __init__(self, cluster: "EntryCluster", number: int) -> None:
        self.number = number
        self.ip = f"127.0.1.{number}"
        self.node = f"node-{number}"
        self.front = free_port(self.ip)
        self.ready = free_port(self.ip)
        self.peer = free_port(self.ip)
        self.settings = pathlib.Path(cluster.folder.name, f"{self.node}.toml")
        self.log = pathlib.Path(cluster.folder.name, f"{self.node}.log")
        self.cluster = cluster
        self.write_settings()
        self.process: subprocess.Popen | None = None
        self.start()

    def write_settings(self) -> None:
        cluster = self.cluster
        text = SETTINGS.format(
            node=self.node,
            ip=self.ip,
            peer=self.peer,
            front=self.front,
            ready=self.ready,
            advice=cluster.advice.address,
            store=cluster.store_address(self.number),
        )
        if cluster.stated_limits is not None:
            stated = "parts = 3\nrecord_bytes = {}\ncall_bytes = {}"
            text = text.replace("parts = 3", stated.format(*cluster.stated_limits))
        self.settings.write_text(text)

    def environment(self) -> dict[str, str]:
        return {
            **os.environ,
            "SNOWDOCK_CONFIG": str(self.settings),
            "SNOWDOCK_METRICS_PORT": "0",
        }

    def start(self) -> None:
        with self.log.open("ab") as log:
            self.process = subprocess.Popen(
                [sys.executable, "-m", "snowdock.entry.daemon"],
                env=self.environment(),
                stdout=log,
                stderr=log,
            )

    def log_lines(self, event: str) -> list[str]:
        text = self.log.read_text(errors="replace")
        return [line for line in text.splitlines() if f"event={event} " in line + " "]

    @property
    def is_leader(self) -> bool:
        return len(self.log_lines("leading")) > len(self.log_lines("deposed")) + len(
            self.log_lines("draining")
        )

    def call(self, method: str, path: str, body=None, headers=None):
        """Send a request; return status, decoded body and headers, or status 0 on an error."""
        data = body if isinstance(body, bytes) or body is None else json.dumps(body).encode()
        request_headers = {
            "Host": "jobs.example",
            "Content-Type": "application/json",
            **(headers or {}),
        }
        pool = urllib3.HTTPConnectionPool(self.ip, self.front, retries=False, timeout=5)
        try:
            reply = pool.request(method, path, body=data, headers=request_headers)
        except urllib3.exceptions.HTTPError:
            return 0, None, {}
        try:
            return reply.status, json.loads(reply.data or b"null"), reply.headers
        except ValueError:
            return reply.status, None, reply.headers

    def probe(self) -> int:
        pool = urllib3.HTTPConnectionPool(self.ip, self.ready, retries=False, timeout=2)
        try:
            return pool.request("GET", "/v1/readiness").status
        except urllib3.exceptions.HTTPError:
            return 0

    def signal(self, number: signal.Signals) -> None:
        self.process.send_signal(number)

    def kill(self) -> None:
        if self.process.poll() is None:
            self.process.kill()
        self.process.wait()


class EntryCluster:
    """Entry daemons and the stand-ins that they connect to.

    ``store_limits`` are the longest record and append that the store takes, in bytes; with
    ``states_limits``, the daemons' settings state them.
    """

    def __init__(
        self,
        nodes: int,
        workers: int = 3,
        work_s: float = 0.1,
        proxies: Callable[[str], object] | None = None,
        make_process: Callable[["EntryCluster", int], EntryProcess] = EntryProcess,
        store_limits: tuple[int, int] | None = None,
        states_limits: bool = True,
    ) -> None:
        self.folder = tempfile.TemporaryDirectory()
        self.store = StoreStandin()
        self.stated_limits = store_limits if states_limits else None
        if store_limits is not None:
            self.store.record_bytes, self.store.call_bytes = store_limits
        self.advice = AdviceStandin()
        self.store_proxies = [proxies(self.store.address) for _ in range(nodes if proxies else 0)]
        self.workers = WorkersStandin(self.store, workers, work_s, proxies)
        self.store.put("keyed.op", "config", CONFIGURATION)
        self.nodes = [make_process(self, number + 1) for number in range(nodes)]

    def close(self) -> None:
        for node in self.nodes:
            node.kill()
        for proxy in self.store_proxies:
            proxy.close()
        self.store.close()
        self.advice.close()
        self.workers.close()
        self.folder.cleanup()

    def store_address(self, number: int) -> str:
        """Return the store's address for a node: that of its proxy, if there are proxies."""
        return self.store_proxies[number - 1].address if self.store_proxies else self.store.address

    def wait_ready(self, seconds: float = 15.0) -> bool:
        return wait_until(
            lambda: all(node.probe() == 200 for node in self.nodes), seconds
        ) and wait_until(lambda: self.leader is not None)

    @property
    def leader(self) -> EntryProcess | None:
        found = [n for n in self.nodes if n.process.poll() is None and n.is_leader]
        return found[-1] if found else None

    def make_job(
        self, steps: list[dict], prefix: str = "/jobs/", **fields: object
    ) -> tuple[str, dict]:
        """Make a job's path and body, and register it with the workers' stand-ins and checks.

        ``fields`` are further ones of the body, such as the times of a timed job.

        A job with a long-running step may have any number of failed runs.
        """
        from snowdock.platform.job_bodies import decode_job

        job = secrets.token_hex(8)
        body = {"spec": f"payload of {job}", "steps": steps, **fields}
        spec = decode_job("jobs", json.dumps(body).encode())
        self.workers.steps[job] = list(spec.steps)
        is_long_running = any(step.long_running for step in spec.steps)
        max_attempts = sys.maxsize if is_long_running else _MAX_ATTEMPTS
        self.workers.checks.record_submission(job, spec, max_attempts)
        return prefix + job, body

    def state(self, node: EntryProcess, path: str) -> str:
        status, body, _ = node.call("GET", path)
        return body["state"] if status == 200 else str(status)

    def wait_state(self, path: str, state: str, seconds: float = 15.0) -> bool:
        def reached() -> bool:
            return any(
                self.state(node, path) == state
                for node in self.nodes
                if node.process.poll() is None
            )

        return wait_until(reached, seconds)

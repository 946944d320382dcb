"""Runs stand-ins and nodes as child processes on free loopback ports."""

import contextlib
import os
import pathlib
import signal
import subprocess
import sys
import tempfile
import time
from collections.abc import Callable, Iterable

import msgspec
import urllib3

from tests.standins.ports import free_port

ROOT = pathlib.Path(__file__).resolve().parents[2]
WAIT_SECONDS = 40
POLL_SECONDS = 0.05
_SHOWN_LOG_CHARACTERS = 2000


class Timeout(AssertionError):
    """A condition did not become true in time."""


def wait_for(
    condition: Callable[[], object],
    what: str,
    seconds: float = WAIT_SECONDS,
    accept: Callable[[object], bool] = bool,
):
    """Wait until ``accept`` is true of a condition's result, and return the result.

    Raises
    ------
    Timeout
        If that did not happen within ``seconds``.
    """
    end = time.monotonic() + seconds
    last = None
    while time.monotonic() < end:
        try:
            last = condition()
            if accept(last):
                return last
        except (urllib3.exceptions.HTTPError, msgspec.MsgspecError) as error:
            last = error
        time.sleep(POLL_SECONDS)
    raise Timeout(f"timed out after {seconds} s: {what} (last: {last!r})")


class Process:
    """One child process that runs a module."""

    def __init__(self, arguments: list[str], log: pathlib.Path, pipe: bool = False) -> None:
        environment = {**os.environ, "PYTHONPATH": f"{ROOT / 'src'}:{ROOT}"}
        self.log = log
        with log.open("ab") as out:
            self._process = subprocess.Popen(
                [sys.executable, "-m", *arguments],
                cwd=ROOT,
                env=environment,
                stdout=subprocess.PIPE if pipe else out,
                stderr=out,
            )

    @property
    def pid(self) -> int:
        return self._process.pid

    @property
    def is_running(self) -> bool:
        return self._process.poll() is None

    def first_line(self) -> str:
        line = self._process.stdout.readline().decode().strip()
        if not line:
            raise Timeout(f"the process printed no line; its log ends: {self.read_log_end()}")
        return line

    def read_log_end(self) -> str:
        """Return the end of the log, which goes with the cluster's folder."""
        return self.log.read_text(errors="replace")[-_SHOWN_LOG_CHARACTERS:]

    def signal(self, number: int) -> None:
        self._process.send_signal(number)

    def wait(self, seconds: float = WAIT_SECONDS) -> int:
        return self._process.wait(timeout=seconds)

    def kill(self) -> None:
        if self._process.poll() is None:
            # A stopped process handles no signal before it is continued.
            self._process.send_signal(signal.SIGCONT)
            self._process.kill()
            self._process.wait()
        if self._process.stdout:
            self._process.stdout.close()


class Cluster:
    """Stand-ins for the platform, workers and minions, and any number of nodes.

    Parameters
    ----------
    workers, minions
        The numbers of workers and minions.
    rack
        The number of workers in a rack.
    timing
        Overrides for the nodes' ``[timing]`` section.
    """

    def __init__(
        self,
        workers: int = 6,
        minions: int = 4,
        group: str = "settlement",
        rack: int = 6,
        halls: int = 2,
        retention: int = 100_000,
        lag_ms: int = 200,
        timing: dict[str, int] | None = None,
        worker_size: tuple[int, int, int] = (16_000, 65_536, 0),
        security: dict[str, str] | None = None,
        token: str = "",
    ) -> None:
        self._folder = tempfile.TemporaryDirectory(prefix="snowdock-")
        self.folder = pathlib.Path(self._folder.name)
        self._http = urllib3.PoolManager(maxsize=128, retries=False)
        self._timing = {
            "poll_ms": 1000,
            "vms_interval_ms": 300,
            "sync_interval_ms": 1000,
            "watch_interval_ms": 300,
            "heartbeat_ms": 300,
            "silence_ms": 1500,
            **(timing or {}),
        }
        self._halls = halls
        self._security = security or {}
        self._token = token
        self.nodes: dict[str, Process] = {}
        self.addresses: dict[str, str] = {}
        self.peers: dict[str, str] = {}
        self._standins: list[Process] = []
        self.log = self._start_standin("logs", "--retention", str(retention))
        self.vms = self._start_standin("vms", "--lag-ms", str(lag_ms))
        self.worker_names = [f"worker-{n:02}" for n in range(workers)]
        self.minion_names = [f"minion-{n:02}" for n in range(minions)]
        cpu, memory, accelerators = worker_size
        self.workers = self._start_standin(
            "workers",
            *("--names", ",".join(self.worker_names), "--cpu", str(cpu)),
            *("--memory", str(memory), "--accelerators", str(accelerators)),
        )
        self.minions = self._start_standin("minions", "--names", ",".join(self.minion_names))
        self._rack = rack
        self._group = group
        self.set_vms([self.worker_vm(name) for name in self.worker_names])
        self.set_vms([self.minion_vm(name) for name in self.minion_names])

    def __enter__(self) -> "Cluster":
        return self

    def __exit__(self, *exception) -> None:
        self.close()

    def close(self) -> None:
        for process in [*self.nodes.values(), *self._standins]:
            process.kill()
        self._folder.cleanup()

    def _start_standin(self, name: str, *options: str) -> str:
        process = Process(
            [f"tests.standins.{name}", *options], self.folder / f"{name}.log", pipe=True
        )
        self._standins.append(process)
        return process.first_line()

    def _hall_name(self, number: int) -> str:
        return f"hall-{number % self._halls}"

    # -- the VM list -----------------------------------------------------------------------

    def worker_vm(self, name: str, state: str = "live") -> dict:
        number = self.worker_names.index(name)
        rack = number // self._rack
        return {
            "name": name,
            "role": "worker",
            "state": state,
            "address": f"{self.workers}/{name}",
            "hall": self._hall_name(rack),
            "rack": f"rack-{rack}",
        }

    def minion_vm(self, name: str, state: str = "live") -> dict:
        return {
            "name": name,
            "role": "minion",
            "state": state,
            "address": f"{self.minions}/{name}",
            "hall": self._hall_name(self.minion_names.index(name)),
            "group": self._group,
        }

    def set_vms(self, vms: list[dict]) -> None:
        self.post(f"{self.vms}/set", vms)

    def remove_vms(self, names: list[str]) -> None:
        self.post(f"{self.vms}/remove", names)

    # -- nodes -----------------------------------------------------------------------------

    def start_node(self, name: str, seeds: Iterable[str] = ()) -> Process:
        api = self.addresses.setdefault(name, f"127.0.0.1:{free_port()}")
        peer = self.peers.setdefault(name, f"127.0.0.1:{free_port()}")
        hall = self._hall_name(len(self.nodes))
        lines = ["[node]", f"name = {name}", f"hall = {hall}", f"api = {api}", f"peer = {peer}"]
        lines += [f"seeds = {', '.join(self.peers[seed] for seed in seeds)}"]
        lines += ["[platform]", f"log = {self.log}", f"vms = {self.vms}", "timeout_ms = 1000"]
        lines += ["[timing]", *(f"{key} = {value}" for key, value in self._timing.items())]
        lines += ["[security]", *(f"{key} = {value}" for key, value in self._security.items())]
        settings = self.folder / f"{name}.ini"
        settings.write_text("\n".join(lines), encoding="utf-8")
        entry = {"name": name, "role": "entry", "state": "live", "address": api, "hall": hall}
        self.set_vms([entry])
        process = Process(
            ["snowdock.node.daemon", "--settings", str(settings)], self.folder / f"{name}.log"
        )
        self.nodes[name] = process
        return process

    def start_nodes(self, count: int = 3) -> None:
        for number in range(count):
            self.start_node(f"node-{number}")
        for name in list(self.nodes):
            self.wait_ready(name)
        wait_for(
            lambda: all(len(self.get(name, "/v1/nodes")) == count for name in self.nodes),
            "all nodes know each other",
        )
        wait_for(
            lambda: all(
                self.get(name, "/v1/status")["workers_live"] == len(self.worker_names)
                for name in self.nodes
            ),
            "all workers are known",
        )

    def wait_ready(self, name: str) -> None:
        try:
            wait_for(lambda: self.request(name, "GET", "/readyz").status == 200, f"{name} is ready")
        except Timeout as error:
            raise Timeout(f"{error}; its log ends: {self.nodes[name].read_log_end()}") from error

    def kill_node(self, name: str, vm_gone: bool = False) -> None:
        self.nodes.pop(name).kill()
        if vm_gone:
            self.remove_vms([name])

    # -- requests --------------------------------------------------------------------------

    def post(self, url: str, value) -> object:
        response = self._http.request("POST", url, body=msgspec.json.encode(value), timeout=10)
        return msgspec.json.decode(response.data)

    def set_faults(self, standin: str, faults: dict[str, dict]) -> None:
        self.post(f"{standin}/faults", faults)

    def ledger(self, standin: str) -> list[dict]:
        return msgspec.json.decode(self._http.request("GET", f"{standin}/ledger", timeout=20).data)

    def request(
        self,
        node: str,
        method: str,
        path: str,
        body: bytes = b"",
        headers: dict[str, str] | None = None,
        timeout: float = 15,
    ):
        return self._http.request(
            method,
            f"http://{self.addresses[node]}{path}",
            body=body or None,
            headers={**self._authorization, **(headers or {})},
            timeout=timeout,
        )

    @property
    def _authorization(self) -> dict[str, str]:
        return {"Authorization": f"Bearer {self._token}"} if self._token else {}

    def get(self, node: str, path: str):
        return msgspec.json.decode(self.request(node, "GET", path).data)

    def call(self, node: str, body: bytes = b"", path: str = "/", **headers: str):
        """Send a request to the endpoint; underscores in header names become dashes."""
        named = {key.replace("_", "-"): value for key, value in headers.items()}
        return self.request(
            node, "POST", f"/call/{self._group}{path}", body, {"Content-Type": "x/y", **named}
        )

    def submit(self, node: str, text: str, key: str) -> list[int]:
        response = self.request(
            node,
            "POST",
            "/v1/work",
            text.encode(),
            {"Content-Type": "text/plain", "Snowdock-Key": key},
        )
        assert response.status == 201, response.data
        return [work["work"] for work in msgspec.json.decode(response.data)]

    def apply(self, node: str, files: dict[str, str], base: int | None = None):
        current = self.get(node, "/v1/version")["version"] if base is None else base
        body = msgspec.json.encode({"base": current, "files": files})
        return self.request(
            node, "POST", "/v1/configuration", body, {"Content-Type": "application/json"}
        )

    def wait_version(self, version: int) -> None:
        for name in list(self.nodes):
            wait_for(
                lambda name=name: self.get(name, "/v1/version")["version"] >= version,
                f"version {version} on {name}",
            )

    def wait_work(self, node: str, number: int, seconds: float = WAIT_SECONDS) -> dict:
        def finished() -> dict | None:
            report = self.get(node, f"/v1/work/{number}")
            return report if report["finished_ms"] else None

        return wait_for(finished, f"work {number} ends", seconds)

    def run_cli(self, *arguments: str) -> subprocess.CompletedProcess:
        """Run the command-line tool."""
        nodes = ",".join(self.addresses[name] for name in self.nodes)
        environment = {**os.environ, "PYTHONPATH": str(ROOT / "src"), "SNOWDOCK_NODES": nodes}
        return subprocess.run(
            [sys.executable, "-m", "snowdock", *arguments],
            cwd=ROOT,
            env=environment,
            capture_output=True,
            text=True,
            timeout=120,
            check=False,
        )

    def print_logs(self) -> None:
        """Print the ends of the nodes' logs, for a failed test."""
        for log in sorted(self.folder.glob("node-*.log")):
            with contextlib.suppress(OSError):
                print(f"--- {log.name}\n{log.read_text(encoding='utf-8')[-4000:]}")

"""Measures lookups of accepted jobs while leaders are killed one after the other.

Run with ``python -m tests.measure_lookups``, or with the delay of the store's answers in seconds.
"""

import dataclasses
import math
import random
import sys
import threading
import time
from collections import Counter
from collections.abc import Sequence

import urllib3

from snowdock.entry.leader_record import decode_leader_record
from snowdock.entry.topics import LEADER_KEY
from snowdock.platform.store import KeyedRecord
from tests.soak_callers import Connections
from tests.soak_threads import CheckedThread
from tests.standins.entry_cluster import EntryCluster, EntryProcess, wait_until
from tests.standins.proxy import Mode, Proxy

_NODES = 4
_JOBS = 40
_KILLS = 10
_CALLERS_PER_NODE = 3
_PAUSE_SECONDS = 0.03
_STEP = {"count": 1, "cpu": 100, "mem_mb": 10, "estimate_ms": 600_000}
_KILL_SECONDS = 4.0
"""How long the lookups after a kill are counted."""


@dataclasses.dataclass(slots=True)
class LookupFigures:
    """Responses to lookups of accepted jobs.

    Attributes
    ----------
    statuses
        The number of lookups by HTTP status; 0 for none.
    slowest_s
        The longest time to a response, in seconds.
    """

    statuses: Counter[int] = dataclasses.field(default_factory=Counter)
    slowest_s: float = 0.0

    def add(self, status: int, seconds: float) -> None:
        """Add the response to one lookup."""
        self.statuses[status] += 1
        self.slowest_s = max(self.slowest_s, seconds)

    def merge(self, other: "LookupFigures") -> None:
        """Add the figures of another caller."""
        self.statuses.update(other.statuses)
        self.slowest_s = max(self.slowest_s, other.slowest_s)

    def __str__(self) -> str:
        total = self.statuses.total()
        return (
            f"{total} lookups, {self.statuses[503]} answered 503 "
            f"({100 * self.statuses[503] / max(1, total):.1f} %), "
            f"{total - self.statuses[200] - self.statuses[503]} otherwise not answered, "
            f"slowest {self.slowest_s:.2f} s"
        )


class _LookupCaller(CheckedThread):
    """Asks one node for random jobs until it is stopped."""

    def __init__(
        self, node: EntryProcess, paths: Sequence[str], seed: int, stopped: threading.Event
    ) -> None:
        super().__init__()
        self.figures = LookupFigures()
        self._node = node
        self._paths = paths
        self._random = random.Random(seed)
        self._stopped = stopped
        self._connections = Connections()

    def work(self) -> None:
        while not self._stopped.wait(_PAUSE_SECONDS):
            began = time.monotonic()
            try:
                status = self._connections.request(
                    self._node, "GET", self._random.choice(self._paths)
                ).status
            except urllib3.exceptions.HTTPError:
                status = 0
            self.figures.add(status, time.monotonic() - began)


def find_leader(cluster: EntryCluster) -> EntryProcess:
    """Return the node that the newest record in the store names; `leader` counts killed ones."""
    _, value = cluster.store.part("keyed.leaders").newest[LEADER_KEY.encode()]
    record = decode_leader_record(KeyedRecord(LEADER_KEY, value))
    return next(node for node in cluster.nodes if node.node == record.node)


def find_takeover_seconds(cluster: EntryCluster, killed_at: float) -> float:
    """Return the time from a wall-clock time until a leader had loaded; NaN if none has."""
    times = [
        float(line.partition("time=")[2].split()[0])
        for node in cluster.nodes
        for line in node.log_lines("leading")
    ]
    return min((each for each in times if each > killed_at), default=math.nan) - killed_at


def measure_kill(cluster: EntryCluster, paths: Sequence[str], seed: int) -> LookupFigures:
    """Kill the leader while all other nodes are asked for jobs; start its node again after it."""
    leader = find_leader(cluster)
    stopped = threading.Event()
    callers = [
        _LookupCaller(node, paths, seed + number, stopped)
        for number in range(_CALLERS_PER_NODE)
        for node in cluster.nodes
        if node is not leader
    ]
    for caller in callers:
        caller.start()
    time.sleep(0.3)
    killed_at = time.time()
    leader.kill()
    time.sleep(_KILL_SECONDS)
    stopped.set()
    figures = LookupFigures()
    for caller in callers:
        caller.join()
        figures.merge(caller.figures)
    print(f"a leader after {find_takeover_seconds(cluster, killed_at):.2f} s;", end=" ")
    leader.start()
    assert cluster.wait_ready()
    return figures


def submit_jobs(cluster: EntryCluster, count: int) -> list[str]:
    """Submit jobs and wait until the leader knows all of them; return their paths."""
    paths = []
    for _ in range(count):
        path, body = cluster.make_job([_STEP])
        assert wait_until(
            lambda path=path, body=body: cluster.nodes[0].call("POST", path, body)[0] == 200
        )
        paths.append(path)
    for path in paths:
        assert wait_until(lambda path=path: cluster.nodes[0].call("GET", path)[0] == 200)
    return paths


def main() -> None:
    """Print the figures of each kill and of all."""
    delay_s = float(sys.argv[1]) if len(sys.argv) > 1 else 0.0
    cluster = EntryCluster(_NODES, work_s=600.0, proxies=Proxy if delay_s else None)
    total = LookupFigures()
    try:
        assert cluster.wait_ready()
        paths = submit_jobs(cluster, _JOBS)
        for proxy in cluster.store_proxies:
            proxy.set(Mode.DELAY, delay_s)
        for number in range(_KILLS):
            figures = measure_kill(cluster, paths, 100 * number)
            print(f"kill {number + 1}: {figures}", flush=True)
            total.merge(figures)
    finally:
        cluster.close()
    print(f"all: {total}")


if __name__ == "__main__":
    main()

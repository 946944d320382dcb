"""Measure the costs behind ``docs/CAPACITY.md``: ``python -m bench.slopes``.

Measures, at several cluster sizes, the marginal cost of a worker, task, start, change or peer for a
node in memory, processor time and bytes, and estimates a node's use at the target size from them.
"""

import gc
import os
import subprocess
import sys
import time
import zlib

import msgspec

from bench.tools import (
    ACCELERATORS,
    CPU,
    HALLS,
    MEMORY,
    TEAMS,
    Feed,
    fill,
    measure_seconds,
    resident_mb,
)
from snowdock.decisions.orders import build_order
from snowdock.declarations import Declarations, Endpoint, Service, Size, Team, WorkSpec
from snowdock.node.peer_messages import Heartbeat, encode_peer_message
from snowdock.platform._http import HttpClient
from snowdock.platform.worker_client import AttemptReport, SyncOrder, SyncReport, WorkerClient
from snowdock.programs import builtin_programs
from snowdock.records import (
    AttemptEnded,
    AttemptStarted,
    Batch,
    ConfigurationProposed,
    Placement,
    TasksPlaced,
    WorkSubmitted,
    decode_batch,
    encode_batch,
)
from snowdock.reducer import Entry, reduce
from snowdock.state import State, digest, encode_state
from tests.standins.cluster import Cluster

SIZES = ((130, 1_300), (325, 3_250), (650, 6_500), (1_300, 13_000))
TARGET_WORKERS = 1_300
TARGET_TASKS = 13_000
TARGET_STARTS = 280
TARGET_JOBS_A_DAY = 13_000
TARGET_CHANGES_A_DAY = 1_100
TARGET_NODES = 9
SYNC_SECONDS = 30
CALLS = 1_000
CPU_BUDGET = 0.019
BYTES_BUDGET = 5_000
MEMORY_BUDGET_MB = 64
DAY = 86_400
HEADER_BYTES = 250
"""Bytes of the headers of a request and its response, as exchanged with the stand-ins."""


def print_figure(what: str, value: float, unit: str) -> None:
    """Print one figure."""
    print(f"  {what:58} {value:12.3f} {unit}", flush=True)


def measure_memory() -> float:
    """Print the state's memory at each size; return the slope in MB per thousand tasks.

    Each size is measured in its own process, since freed memory is rarely returned to the system.
    """
    print("memory of the state (a process for each size)")
    points = []
    for workers, tasks in SIZES:
        points.append((tasks, _grown_mb(f"fill({workers}, {tasks})")))
        print_figure(f"{workers} workers, {tasks} tasks", points[-1][1], "MB")
    (small, low), (large, high) = points[0], points[-1]
    slope = (high - low) / (large - small) * 1000
    print_figure("slope, for a thousand tasks and a hundred workers", slope, "MB")
    for works in (TARGET_JOBS_A_DAY // 4, TARGET_JOBS_A_DAY // 2, TARGET_JOBS_A_DAY):
        grown = _grown_mb(f"slopes.finish(fill(130, 0), {works})")
        print_figure(f"{works} ended works of ten tasks, nearly all folded", grown, "MB")
    return slope


def _grown_mb(expression: str) -> float:
    """Return the growth of a process's memory in MB when it keeps an expression's value."""
    code = (
        "import gc; from bench.tools import fill, resident_mb; from bench import slopes;"
        f"before = resident_mb(); kept = {expression}; gc.collect();"
        "print(resident_mb() - before)"
    )
    out = subprocess.run([sys.executable, "-c", code], capture_output=True, text=True, check=True)
    return float(out.stdout)


def finish(feed: Feed, works: int) -> Feed:
    """Run works of ten tasks each to their end, and return the feed."""
    workers = list(feed.state.workers)
    for number in range(works):
        spec = WorkSpec("batch", f"work-{number}", "team-1", 10, Size(100, 100), run_ms=5000)
        feed.append(WorkSubmitted(f"{number:032x}/work", spec))
        work = next(reversed(feed.state.works))
        spread = [Placement(n, workers[(number + n) % len(workers)]) for n in range(10)]
        feed.append(TasksPlaced(work, spread))
        feed.append(*(AttemptEnded(work, n, 1, "succeeded") for n in range(10)))
    return feed


def task_batches(feed: Feed, works: int, tasks: int) -> list[Batch]:
    """Make the records of works that are submitted, placed, started and ended.

    The batches are reduced as they are made, since later records refer to numbers that are
    assigned by the reducer.
    """
    batches = []
    workers = list(feed.state.workers)

    def append(*records) -> None:
        batch = feed.batch(records)
        batches.append(batch)
        reduce(feed.state, Entry(feed.state.offset + 1, batch))

    for number in range(works):
        spec = WorkSpec("batch", f"w{number}", "team-1", tasks, Size(100, 100), run_ms=5000)
        append(WorkSubmitted(f"{os.urandom(8).hex()}/w", spec))
        work = next(reversed(feed.state.works))
        chosen = [workers[(number * 37 + n * 101) % len(workers)] for n in range(tasks)]
        append(TasksPlaced(work, [Placement(n, name) for n, name in enumerate(chosen)]))
        append(*(AttemptStarted(work, n, 1) for n in range(tasks)))
        append(*(AttemptEnded(work, n, 1, "succeeded") for n in range(tasks)))
    return batches


def measure_log(works: int = 100, tasks: int = 28) -> tuple[float, float]:
    """Print the time and size of a task's records; return seconds and bytes per task."""
    print("the log: a task submitted, placed, started and ended")
    seconds = bytes_a_task = 0.0
    for workers, running in SIZES:
        feed = fill(workers, running)
        snapshot = encode_state(feed.state)
        batches = task_batches(feed, works, tasks)
        # 28 tasks per batch, with a batch every 100 ms, are 280 starts per second.
        data = [encode_batch(batch) for batch in batches]
        state = msgspec.msgpack.decode(snapshot, type=State)
        offset = state.offset
        started = time.process_time()
        for number, raw in enumerate(data):
            reduce(state, Entry(offset + 1 + number, decode_batch(raw)))
        seconds = (time.process_time() - started) / (works * tasks)
        bytes_a_task = sum(map(len, data)) / (works * tasks)
        print_figure(f"{workers} workers: decode and reduce, for a task", seconds * 1e6, "us")
        print_figure(f"{workers} workers: compressed, for a task", bytes_a_task, "bytes")
    return seconds, bytes_a_task


def measure_orders() -> tuple[float, float]:
    """Print the time and size of one call to a worker with ten tasks; return seconds and bytes."""
    print("orders: one call to a worker with ten running tasks")
    state = fill(TARGET_WORKERS, TARGET_TASKS).state
    names = list(state.workers)
    reports = {n: AttemptReport("running", 500, 1024) for n in state.workers[names[0]].attempts}
    seconds = measure_seconds(
        lambda: [build_order(state, name, reports, 0) for name in names]
    ) / len(names)
    order = build_order(state, names[0], reports, 0).order
    body = msgspec.json.encode(order)
    answer = SyncReport(names[0], "0123abcd", CPU, MEMORY, ACCELERATORS)
    total = len(body) + len(msgspec.json.encode(answer)) + HEADER_BYTES
    print_figure("build the order", seconds * 1e6, "us")
    print_figure("bytes of order and answer with heads", total, "bytes")
    return seconds + measure_call(), total


def measure_call() -> float:
    """Print the processor time of one call to a worker's stand-in; return it in seconds."""
    with Cluster(workers=1, minions=1) as cluster:
        client = WorkerClient(HttpClient("bench", timeout=5))
        address = f"{cluster.workers}/{cluster.worker_names[0]}"
        boot = client.status(address).boot
        order = SyncOrder(boot, 30_000, 2**52, [], [], [], [])
        client.sync(address, order)
        started = time.process_time()
        for _ in range(CALLS):
            client.sync(address, order)
        seconds = (time.process_time() - started) / CALLS
    print_figure("send an order over HTTP and read the answer", seconds * 1e6, "us")
    return seconds


def measure_snapshot() -> None:
    """Print the size of snapshots, and the time of encoding them and their digests."""
    print("snapshots")
    for workers, tasks in SIZES:
        state = fill(workers, tasks).state
        data = encode_state(state)
        print_figure(f"{workers} workers: size", len(data) / 1e6, "MB")
        print_figure(f"{workers} workers: compressed", len(zlib.compress(data)) / 1e6, "MB")
        print_figure(
            f"{workers} workers: encode",
            measure_seconds(lambda s=state: encode_state(s)) * 1e3,
            "ms",
        )
        print_figure(
            f"{workers} workers: digest", measure_seconds(lambda s=state: digest(s)) * 1e3, "ms"
        )


def measure_configuration() -> float:
    """Print the size of a change of a large configuration; return it in bytes."""
    print("configuration: 51 teams, 40 services, 7 endpoints, 4 programs in one change")
    declarations = Declarations(
        teams={f"team-{n}": Team(cpu=100 + n, memory_gb=400 + n) for n in range(TEAMS)},
        services={
            f"service-{n}": Service(f"team-{n}", tasks=65, cpu=0.5, memory_gb=1) for n in range(40)
        },
        endpoints={f"endpoint-{n}": Endpoint(f"minions-{n}") for n in range(HALLS)},
        programs=builtin_programs(),
    )
    batch = Batch("bench", "b", 1, 0, 0, [ConfigurationProposed(0, declarations, "operator")])
    data = encode_batch(batch)
    print_figure("bytes on the log", len(data), "bytes")
    print_figure("at 1,100 a day", len(data) * TARGET_CHANGES_A_DAY / DAY, "bytes/s")
    return len(data)


def measure_heartbeat() -> float:
    """Print the size of a heartbeat; return it in bytes."""
    heartbeat = Heartbeat(
        "entry-4", "0123456789ab", 10**7, 10**7, "0123456789abcdef", True, {"settlement": 21}
    )
    size = len(encode_peer_message(heartbeat))
    print("peers")
    print_figure("a heartbeat", size, "bytes")
    return size


def print_estimate(
    memory: float,
    log: tuple[float, float],
    orders: tuple[float, float],
    change_bytes: float,
    heartbeat_bytes: float,
) -> None:
    """Print a node's estimated use at the target size, compared with its budgets."""
    print(f"worked out at the target, a node of {TARGET_NODES}")
    task_seconds, task_bytes = log
    order_seconds, order_bytes = orders
    calls = TARGET_WORKERS / TARGET_NODES / SYNC_SECONDS
    peak_calls = TARGET_STARTS / TARGET_NODES
    lines = (
        (
            "a call for each start at the peak",
            peak_calls * order_bytes,
            peak_calls * order_seconds,
        ),
        ("log at the peak", TARGET_STARTS * task_bytes, TARGET_STARTS * task_seconds),
        (f"workers, a call each {SYNC_SECONDS} s", calls * order_bytes, calls * order_seconds),
        ("configuration", change_bytes * TARGET_CHANGES_A_DAY / DAY, 0.0),
        ("heartbeats out and in, each second", 2 * (TARGET_NODES - 1) * heartbeat_bytes, 0.0),
    )
    for what, rate, share in lines:
        print_figure(f"{what}: bytes a second", rate, "B/s")
        print_figure(f"{what}: part of a core (our own code)", share * 100, "%")
    print_figure("all bytes", sum(rate for _, rate, _ in lines), f"B/s of {BYTES_BUDGET}")
    total_share = sum(share for _, _, share in lines) * 100
    print_figure("all processor time of our own code", total_share, f"% of {CPU_BUDGET * 100:.1f}")
    print_figure("state", memory * TARGET_TASKS / 1000, f"MB of {MEMORY_BUDGET_MB} with all else")


def main() -> None:
    """Run all measurements and print the estimate for the target size."""
    gc.collect()
    print_figure("this process before anything", resident_mb(), "MB")
    memory = measure_memory()
    log = measure_log()
    orders = measure_orders()
    measure_snapshot()
    change_bytes = measure_configuration()
    print_estimate(memory, log, orders, change_bytes, measure_heartbeat())


if __name__ == "__main__":
    main()

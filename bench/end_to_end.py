"""Measure the whole path over real processes: ``python -m bench.end_to_end``.

24 workers, 24 minions, three nodes, and a log that responds in 5 ms. Prints the time from
submission to start, the starts per second, the latency that routing adds to a request, and the
resource use of an idle node.
"""

import concurrent.futures
import os
import time

import msgspec
import urllib3

from bench.tools import percentile
from snowdock.settings import TimingSettings
from tests.standins.cluster import ROOT, Cluster, wait_for
from tests.standins.ledger_checks import check_ledgers

EXAMPLE = ROOT / "examples" / "merchant-settlement"
LOG_DELAY_MS = 5
SINGLE_JOBS = 60
RATE = 280
RATE_SECONDS = 10
STEP_SECONDS = 0.1
REQUESTS = 600
WORK_MS = 10
HALF_LOAD_CALLERS, FULL_LOAD_CALLERS = 8, 16
IDLE_SECONDS = 20
SETTLE_SECONDS = 5
BATCH = "[batch {name}]\nteam = payouts\ntasks = {tasks}\ncpu = 0.5\nmemory_gb = 0.5\n"
BATCH += "run_seconds = {seconds}\n"


def cpu_seconds(pid: int) -> float:
    """Return the processor time in seconds that a process has used."""
    with open(f"/proc/{pid}/stat", encoding="ascii") as stat:
        fields = stat.read().rpartition(")")[2].split()
    return (int(fields[11]) + int(fields[12])) / os.sysconf("SC_CLK_TCK")


def resident_mb(pid: int) -> float:
    """Return a process's resident memory in MB."""
    with open(f"/proc/{pid}/statm", encoding="ascii") as statm:
        return int(statm.read().split()[1]) * os.sysconf("SC_PAGE_SIZE") / 1e6


def measure_idle(cluster: Cluster) -> None:
    """Print the processor and memory use of each idle node."""
    before = {name: cpu_seconds(node.pid) for name, node in cluster.nodes.items()}
    time.sleep(IDLE_SECONDS)
    for name, node in cluster.nodes.items():
        share = (cpu_seconds(node.pid) - before[name]) / IDLE_SECONDS * 100
        print(f"  idle {name}: {share:.2f} % of a core, {resident_mb(node.pid):.1f} MB resident")


def measure_waiting(cluster: Cluster) -> None:
    """Print the time from submission to start of single tasks, submitted one after the other."""
    waits = []
    for number in range(SINGLE_JOBS):
        text = BATCH.format(name="one", tasks=1, seconds=0.05)
        work = cluster.submit(f"node-{number % 3}", text, f"one-{number}")[0]
        report = cluster.wait_work(f"node-{number % 3}", work)
        waits.append(report["started_ms"] - report["submitted_ms"])
    print(
        f"  waiting of single tasks: p50 {percentile(waits, 0.5)} ms, "
        f"p99 {percentile(waits, 0.99)} ms ({SINGLE_JOBS} tasks)"
    )


def measure_starts(cluster: Cluster) -> None:
    """Print waiting times and resource use at the target's peak rate of starts."""
    works = []
    started = time.time()
    before = {name: cpu_seconds(node.pid) for name, node in cluster.nodes.items()}

    def submit(number: int) -> list[int]:
        time.sleep(max(0.0, started + number * STEP_SECONDS - time.time()))
        text = BATCH.format(name="peak", tasks=round(RATE * STEP_SECONDS), seconds=0.3)
        return cluster.submit(f"node-{number % 3}", text, f"peak-{number}")

    with concurrent.futures.ThreadPoolExecutor(8) as callers:
        for made in callers.map(submit, range(round(RATE_SECONDS / STEP_SECONDS))):
            works += made
    reports = [cluster.wait_work("node-0", work) for work in works]
    seconds = time.time() - started
    for name, node in cluster.nodes.items():
        share = (cpu_seconds(node.pid) - before[name]) / seconds * 100
        print(f"  at the peak {name}: {share:.1f} % of a core, {resident_mb(node.pid):.1f} MB")
    waits = [report["started_ms"] - report["submitted_ms"] for report in reports]
    p50, p99 = percentile(waits, 0.5), percentile(waits, 0.99)
    print(f"  waiting at the peak, first task of {len(waits)} works: p50 {p50} ms, p99 {p99} ms")
    ledger = cluster.ledger(cluster.workers)
    starts = sorted(e["at_ms"] for e in ledger if e["event"] == "started")
    starts = [at for at in starts if at >= started * 1000]
    seconds = (starts[-1] - starts[0]) / 1000
    appends = [e for e in cluster.ledger(cluster.log) if e["event"] == "append"]
    during = [e for e in appends if starts[0] <= e["at_ms"] <= starts[-1]]
    size = sum(e["bytes"] for e in during)
    print(
        f"  {len(starts)} starts in {seconds:.2f} s: {len(starts) / seconds:.0f} a second, "
        f"{len(during) / seconds:.0f} appends/s, {size / len(starts):.0f} log bytes a task"
    )


def measure_requests(cluster: Cluster, at_once: int) -> None:
    """Print the latency of requests through the nodes and directly to the minions."""
    pool = urllib3.PoolManager(maxsize=at_once, retries=False)
    names = list(cluster.nodes)
    headers = {"x-work-ms": str(WORK_MS), "X-Request-Id": "direct"}

    def direct(number: int) -> float:
        minion = cluster.minion_names[number % len(cluster.minion_names)]
        began = time.perf_counter()
        pool.request("POST", f"{cluster.minions}/{minion}/", body=b"x", headers=headers)
        return time.perf_counter() - began

    def routed(number: int) -> float:
        began = time.perf_counter()
        answer = cluster.call(names[number % 3], b"x", **{"x-work-ms": str(WORK_MS)})
        assert answer.status == 200, answer.data
        return time.perf_counter() - began

    figures = {}
    with concurrent.futures.ThreadPoolExecutor(at_once) as callers:
        for label, send in (("straight", direct), ("routed", routed)):
            figures[label] = list(callers.map(send, range(REQUESTS)))
    for label, seconds in figures.items():
        p50, p99 = percentile(seconds, 0.5) * 1e3, percentile(seconds, 0.99) * 1e3
        print(f"  {at_once} at once, {label:9}: p50 {p50:6.1f} ms, p99 {p99:6.1f} ms")
    ratio = percentile(figures["routed"], 0.5) / percentile(figures["straight"], 0.5)
    print(f"  {at_once} at once: routed p50 is {ratio:.2f} times the straight one")


def measure_failover(cluster: Cluster) -> None:
    """Print the time from a node's death until work submitted to another node has started."""
    cluster.kill_node("node-0")
    killed = time.time()
    texts = [BATCH.format(name="after", tasks=1, seconds=0.05) for _ in range(12)]
    works = [cluster.submit("node-1", t, f"after-{n}")[0] for n, t in enumerate(texts)]
    waits = [cluster.wait_work("node-1", work)["started_ms"] - killed * 1000 for work in works]
    print(f"  after a kill, 12 tasks submitted at once started within {max(waits):.0f} ms")


def measure_change(cluster: Cluster) -> None:
    """Print the time until a configuration change is applied on all nodes."""
    files = {"cluster.ini": (EXAMPLE / "cluster.ini").read_text(encoding="utf-8")}
    seconds = []
    for _ in range(10):
        began = time.perf_counter()
        answer = cluster.apply("node-0", files)
        assert answer.status == 200, answer.data
        version = int(answer.data.split(b":")[1].strip(b"}"))
        cluster.wait_version(version)
        seconds.append(time.perf_counter() - began)
    print(
        f"  a change in force on all nodes: p50 {percentile(seconds, 0.5) * 1e3:.0f} ms, ", end=""
    )
    print(f"longest {max(seconds) * 1e3:.0f} ms (as asked every 50 ms)")


def measure_idle_cluster() -> None:
    """Print the resource use of idle nodes with the default timing."""
    timing = msgspec.to_builtins(TimingSettings())
    with Cluster(workers=24, minions=24, rack=6, halls=4, timing=timing) as cluster:
        cluster.start_nodes(3)
        cluster.run_cli("apply", str(EXAMPLE), "--wait")
        time.sleep(SETTLE_SECONDS)
        measure_idle(cluster)


def main() -> None:
    """Run all measurements."""
    measure_idle_cluster()
    timing = {"vms_interval_ms": 1000, "heartbeat_ms": 1000, "silence_ms": 3000}
    with Cluster(workers=24, minions=24, rack=6, halls=4, timing=timing) as cluster:
        cluster.set_faults(cluster.log, {"*": {"slow_ms": LOG_DELAY_MS, "path": "/append"}})
        cluster.start_nodes(3)
        done = cluster.run_cli("apply", str(EXAMPLE), "--wait")
        assert done.returncode == 0, done.stderr
        wait_for(
            lambda: all(
                sum(m["shares"].values()) == 8 for m in cluster.get("node-0", "/v1/minions")
            ),
            "the slots are divided",
        )
        measure_waiting(cluster)
        measure_starts(cluster)
        for at_once in (HALF_LOAD_CALLERS, FULL_LOAD_CALLERS):
            measure_requests(cluster, at_once)
        measure_change(cluster)
        measure_failover(cluster)
        print(f"  promises broken: {check_ledgers(cluster)}")


if __name__ == "__main__":
    main()

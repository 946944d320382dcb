"""Measure requests at loads above the minions' capacity: ``python -m bench.overload``.

Three minions with eight slots each and 200 ms of work per request can answer 120 requests per
second. Callers send half, all and three times of that rate, with a deadline of one second.
"""

import collections
import concurrent.futures
import time

from bench.tools import percentile
from tests.standins.cluster import Cluster, wait_for
from tests.standins.ledger_checks import check_ledgers

SLOTS = 24
WORK_MS = 200
CAPACITY = SLOTS * 1000 / WORK_MS
DEADLINE_MS = 1000
SECONDS = 8
LOADS = (0.5, 1.0, 3.0)
CALLERS = 200
DECLARATIONS = "[endpoint settlement]\nminions = settlement\nqueue = 50\n"


def run_load(cluster: Cluster, load: float) -> None:
    """Send requests at a multiple of the capacity and print their outcomes."""
    rate = CAPACITY * load
    started = time.perf_counter()

    def send(number: int) -> tuple[str, float]:
        time.sleep(max(0.0, started + number / rate - time.perf_counter()))
        began = time.perf_counter()
        headers = {"x-work-ms": str(WORK_MS), "snowdock-deadline-ms": str(DEADLINE_MS)}
        answer = cluster.call(f"node-{number % 3}", b"x", **headers)
        return answer.headers["Snowdock-Outcome"], time.perf_counter() - began

    with concurrent.futures.ThreadPoolExecutor(CALLERS) as callers:
        results = list(callers.map(send, range(round(rate * SECONDS))))
    seconds = time.perf_counter() - started
    counts = collections.Counter(outcome for outcome, _ in results)
    in_time = [took for outcome, took in results if outcome == "ran" and took <= 1.0]
    refused = [took for outcome, took in results if outcome == "not-run"]
    print(
        f"  {load:.1f} times: {len(in_time) / seconds:6.1f} answers/s in time "
        f"({len(in_time) / seconds / CAPACITY:.2f} of what the minions bear), "
        f"p50 {percentile(in_time, 0.5) * 1e3:.0f} ms, p99 {percentile(in_time, 0.99) * 1e3:.0f} ms"
    )
    if refused:
        median_ms = percentile(refused, 0.5) * 1e3
        print(f"             {len(refused)} refused as not run, p50 after {median_ms:.0f} ms")
    print(f"             outcomes {dict(counts)}")


def main() -> None:
    """Run all loads on one cluster."""
    with Cluster(workers=1, minions=3) as cluster:
        cluster.start_nodes(3)
        assert cluster.apply("node-0", {"c.ini": DECLARATIONS}).status == 200
        wait_for(
            lambda: all(
                sum(m["shares"].values()) == 8 for m in cluster.get("node-0", "/v1/minions")
            ),
            "the slots are divided",
        )
        for load in LOADS:
            run_load(cluster, load)
        print(f"  promises broken: {check_ledgers(cluster)}")


if __name__ == "__main__":
    main()

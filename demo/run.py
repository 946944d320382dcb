"""Demonstrate the system end to end, with stand-ins and three nodes, one of which is killed.

Prints a summary; the exit status is 1 if any check has failed.
"""

import concurrent.futures
import sys
import time

from tests.standins.cluster import ROOT, Cluster, wait_for
from tests.standins.ledger_checks import check_ledgers

EXAMPLE = ROOT / "examples" / "merchant-settlement"
REQUESTS = 60


class Summary:
    """The results of the checks, one line each, and whether all of them have passed."""

    def __init__(self) -> None:
        self._lines: list[str] = []
        self.is_good = True

    def add_check(self, what: str, good: bool) -> None:
        """Print and record the result of a check."""
        self._lines.append(f"  {'ok  ' if good else 'FAIL'}  {what}")
        print(self._lines[-1], flush=True)
        self.is_good = self.is_good and good


def apply_example(cluster: Cluster, summary: Summary) -> None:
    """Publish the example's declarations."""
    done = cluster.run_cli("apply", str(EXAMPLE), "--wait", "--author", "demo")
    output = done.stdout.strip().replace("\n", "; ") or done.stderr.strip()
    summary.add_check(f"declarations applied: {output}", done.returncode == 0)


def submit_work(cluster: Cluster, summary: Summary) -> dict[str, int]:
    """Submit two batches and a gang, and return their numbers by name."""
    done = cluster.run_cli("submit", str(EXAMPLE / "work" / "payouts.ini"), "--key", "demo")
    works = {name: int(number) for number, name in map(str.split, done.stdout.splitlines())}
    summary.add_check(f"submitted: {', '.join(works)}", len(works) == 3)
    return works


def send_requests(cluster: Cluster, summary: Summary) -> None:
    """Send requests to all nodes and count the complete responses."""
    names = list(cluster.nodes)

    def send(number: int) -> bool:
        body = f"lookup {number}".encode()
        answer = cluster.call(names[number % len(names)], body)
        return answer.status == 200 and answer.data.endswith(body)

    with concurrent.futures.ThreadPoolExecutor(8) as callers:
        whole = sum(callers.map(send, range(REQUESTS)))
    summary.add_check(f"{whole} of {REQUESTS} requests answered whole", whole == REQUESTS)


def kill_a_node(cluster: Cluster, summary: Summary, work: int) -> None:
    """Kill one node while tasks of a work are running."""
    wait_for(
        lambda: cluster.get("node-1", f"/v1/work/{work}")["counts"].get("running"),
        "work runs before a node is killed",
    )
    cluster.kill_node("node-0")
    summary.add_check("node-0 killed while tasks run", True)


def wait_for_works(cluster: Cluster, summary: Summary, works: dict[str, int]) -> None:
    """Wait until all works have ended."""
    for name, number in works.items():
        report = cluster.wait_work("node-1", number)
        seconds = (report["finished_ms"] - report["submitted_ms"]) / 1000
        waited = (report["started_ms"] - report["submitted_ms"]) / 1000
        description = (
            f"{name}: {report['state']}, started after {waited:.2f} s, over in {seconds:.2f} s"
        )
        summary.add_check(description, report["state"] == "succeeded")


def check_service(cluster: Cluster, summary: Summary) -> None:
    """Wait until the declared service runs all its tasks."""

    def running() -> bool:
        works = cluster.get("node-2", "/v1/work")
        services = [w for w in works if w["kind"] == "service"]
        return all(w["counts"] == {"running": 4} for w in services) and bool(services)

    wait_for(running, "the service runs all its tasks")
    summary.add_check("the service runs with all its tasks", True)


def main() -> int:
    """Run the demonstration and return the exit status."""
    started = time.monotonic()
    summary = Summary()
    print("snowdock demo: 24 workers, 24 minions, 3 nodes", flush=True)
    with Cluster(workers=24, minions=24, rack=6, halls=4) as cluster:
        cluster.start_nodes(3)
        apply_example(cluster, summary)
        works = submit_work(cluster, summary)
        send_requests(cluster, summary)
        kill_a_node(cluster, summary, works["payouts-north"])
        wait_for_works(cluster, summary, works)
        check_service(cluster, summary)
        problems = check_ledgers(cluster)
        summary.add_check(
            f"promises checked against the stand-ins' ledgers: {problems}", not problems
        )
    print(f"{'all well' if summary.is_good else 'FAILED'} in {time.monotonic() - started:.1f} s")
    return 0 if summary.is_good else 1


if __name__ == "__main__":
    sys.exit(main())

"""Checks the system's guarantees against the ledgers of the stand-ins."""

from collections import Counter

from tests.standins.cluster import Cluster

_END_EVENTS = ("succeeded", "failed", "lapsed", "stopped")


def check_workers(ledger: list[dict], capacity: tuple[int, int, int]) -> list[str]:
    """Find tasks that run twice, attempts that were started twice, and overloaded workers."""
    problems = []
    places: dict[str, str] = {}
    running: dict[str, dict[str, tuple]] = {}
    starts: Counter = Counter()
    for entry in ledger:
        event = entry["event"]
        worker = entry.get("worker")
        if event == "refused" and entry["reason"] == "no room":
            problems.append(f"{worker} was given more than it has: {entry['attempt']}")
        if event == "rebooted":
            for task in [t for t, w in places.items() if w == worker]:
                del places[task]
            running.pop(worker, None)
        if event == "started":
            starts[(entry["attempt"], entry["boot"])] += 1
            task = entry["attempt"].rsplit(".", 1)[0]
            if task in places:
                problems.append(f"task {task} runs on {places[task]} and {worker}")
            places[task] = worker
            running.setdefault(worker, {})[entry["attempt"]] = entry["size"]
            used = [sum(size[n] for size in running[worker].values()) for n in range(3)]
            if any(have > most for have, most in zip(used, capacity, strict=True)):
                problems.append(f"{worker} runs {used} of {capacity}")
        if event in _END_EVENTS:
            places.pop(entry["attempt"].rsplit(".", 1)[0], None)
            running.get(worker, {}).pop(entry["attempt"], None)
    problems += [f"attempt {name} started {n} times" for name, n in starts.items() if n > 1]
    return problems


def check_minions(ledger: list[dict], once: frozenset[str]) -> list[str]:
    """Find non-repeatable requests that ran twice, and minions that exceeded their slots."""
    ran = Counter(entry["request"] for entry in ledger if entry["event"] == "ran")
    problems = [f"request {name} ran {ran[name]} times" for name in once if ran[name] > 1]
    over = [entry for entry in ledger if entry["event"] == "over_slots"]
    return problems + [f"{entry['minion']} was given more than its slots" for entry in over]


def check_ledgers(
    cluster: Cluster,
    capacity: tuple[int, int, int] = (16_000, 65_536, 0),
    once: frozenset[str] = frozenset(),
) -> list[str]:
    """Check all ledgers of a cluster and return the violations."""
    problems = check_workers(cluster.ledger(cluster.workers), capacity)
    return problems + check_minions(cluster.ledger(cluster.minions), once)

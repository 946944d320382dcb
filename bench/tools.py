"""Helpers for the measurements: synthetic clusters, percentiles, memory and time."""

import resource
import time
from collections.abc import Callable

from snowdock.declarations import Declarations, Limits, Size, Team, WorkSpec
from snowdock.records import (
    AttemptStarted,
    Batch,
    ConfigurationProposed,
    NodeJoined,
    Placement,
    Record,
    TasksPlaced,
    WorkerSeen,
    WorkSubmitted,
)
from snowdock.reducer import Entry, reduce
from snowdock.state import State

TEAMS = 51
CPU = 16_000
MEMORY = 65_536
ACCELERATORS = 8
RACK = 24
HALLS = 7
NOW_MS = 1_000_000


def percentile(values: list[float], fraction: float) -> float:
    """Return the value below which a fraction of the values lies."""
    ordered = sorted(values)
    return ordered[min(len(ordered) - 1, int(fraction * len(ordered)))]


def resident_mb() -> float:
    """Return this process's resident memory in MB."""
    with open("/proc/self/statm", encoding="ascii") as statm:
        return int(statm.read().split()[1]) * resource.getpagesize() / 1e6


def measure_seconds(function: Callable[[], object]) -> float:
    """Return the duration of a call in seconds."""
    started = time.perf_counter()
    function()
    return time.perf_counter() - started


class Feed:
    """Applies records to a state as the batches of one node."""

    def __init__(self) -> None:
        self.state = State()
        self._sequence = 0
        self.append(NodeJoined("bench", "b", "hall-0", "127.0.0.1:1", "127.0.0.1:2"))

    def batch(self, records: tuple[Record, ...]) -> Batch:
        """Make the next batch."""
        self._sequence += 1
        return Batch("bench", "b", self._sequence, self.state.offset, NOW_MS, list(records))

    def append(self, *records: Record) -> list:
        """Reduce a batch of records and return the effects."""
        return reduce(self.state, Entry(self.state.offset + 1, self.batch(records)))


def fill(workers: int, tasks: int, accelerators: int = 0) -> Feed:
    """Make a cluster with running tasks spread evenly over its workers.

    Parameters
    ----------
    workers
        The number of workers.
    tasks
        The number of running tasks: a fifth in services, the rest in batches of ten.
    accelerators
        The total number of accelerators, eight per worker that has any.
    """
    feed = Feed()
    teams = {f"team-{n}": Team(cpu=1e6, memory_gb=1e6, accelerators=10**6) for n in range(TEAMS)}
    limits = Limits(queued_tasks=1_000_000)
    feed.append(ConfigurationProposed(0, Declarations(teams=teams, limits=limits), "bench"))
    with_accelerators = accelerators // ACCELERATORS
    for number in range(workers):
        size = Size(CPU, MEMORY, ACCELERATORS if number < with_accelerators else 0)
        rack = number // RACK
        feed.append(
            WorkerSeen(
                f"w{number:04}",
                f"{number:08x}",
                size,
                f"rack-{rack}",
                f"hall-{rack % HALLS}",
                f"10.0.{number // 256}.{number % 256}:80",
            )
        )
    _run_tasks(feed, workers, tasks)
    return feed


def _run_tasks(feed: Feed, workers: int, tasks: int) -> None:
    per_work = 10
    for start in range(0, tasks, per_work):
        kind = "service" if start % (5 * per_work) == 0 else "batch"
        team = f"team-{start // per_work % TEAMS}"
        size = Size(500, 1024)
        spec = WorkSpec(kind, f"work-{start}", team, per_work, size, run_ms=60_000)
        feed.append(WorkSubmitted(f"key-{start}", spec))
        number = next(reversed(feed.state.works))
        spread = [Placement(n, f"w{(start + n) % workers:04}") for n in range(per_work)]
        feed.append(TasksPlaced(number, spread))
        feed.append(*(AttemptStarted(number, n, 1) for n in range(per_work)))

"""Measure the time of placement decisions at several cluster sizes: ``python -m bench.decisions``.

For each size, the scheduler is compared with two baselines: the first worker that fits, and a
random worker that fits.
"""

import random
import time

from bench.tools import fill, percentile
from snowdock.decisions.capacity_index import CapacityIndex
from snowdock.decisions.placements import place_tasks
from snowdock.declarations import ZERO_SIZE, Size, WorkSpec
from snowdock.policies import PolicySet
from snowdock.records import TasksPlaced
from snowdock.state import State, Task, Work

SIZES = ((24, 240, 0), (240, 2_400, 512), (1_300, 13_000, 2_800))
DECISIONS = 1_500
GANGS = 30
GANG = 64
SHAPES = (Size(500, 1024), Size(1000, 2048), Size(2000, 2048), Size(250, 4096))


def make_index(state: State) -> CapacityIndex:
    """Index all workers of a state."""
    index = CapacityIndex(random.Random(1))
    for worker in state.workers.values():
        index.update(worker)
    return index


def make_work(number: int, size: Size, kind: str = "batch", tasks: int = 1) -> Work:
    """Make queued work that isn't part of the state."""
    spec = WorkSpec(kind, f"bench-{number % 20}", "team-1", tasks, size, run_ms=1000)
    return Work(number, f"bench-{number}", spec, [Task() for _ in range(tasks)], 0)


def measure(state: State, kind: str, count: int, tasks: int) -> tuple[list[float], int]:
    """Time single decisions, releasing room so that the utilization stays constant."""
    index = make_index(state)
    policies = PolicySet(print)
    seconds, placed = [], 0
    allocations: list[tuple[str, Size]] = []
    for number in range(count):
        size = SHAPES[number % len(SHAPES)]
        work = make_work(number, size, kind, tasks)
        started = time.perf_counter()
        result = place_tasks(work, state, index, policies, ZERO_SIZE)
        seconds.append(time.perf_counter() - started)
        if isinstance(result, TasksPlaced):
            placed += 1
            allocations += [(p.worker, size) for p in result.placements]
        while len(allocations) > 2 * len(index):
            index.release(*allocations.pop(0))
    return seconds, placed


def measure_baseline(state: State, pick) -> list[float]:
    """Time a baseline's choices over all workers."""
    free = {worker.name: worker.free for worker in state.workers.values()}
    seconds = []
    allocations: list[tuple[str, Size]] = []
    for number in range(DECISIONS // 5):
        size = SHAPES[number % len(SHAPES)]
        started = time.perf_counter()
        name = pick(free, size)
        free[name] = free[name].minus(size)
        seconds.append(time.perf_counter() - started)
        allocations.append((name, size))
        while len(allocations) > 2 * len(free):
            released_worker, released_size = allocations.pop(0)
            free[released_worker] = free[released_worker].plus(released_size)
    return seconds


def first_fit(free: dict[str, Size], size: Size) -> str:
    """Return the first worker that fits."""
    return next(name for name, room in free.items() if room.holds(size))


def random_fit(free: dict[str, Size], size: Size) -> str:
    """Return a random one of the workers that fit."""
    return random.choice([name for name, room in free.items() if room.holds(size)])


def print_timings(label: str, seconds: list[float], placed: str = "") -> float:
    """Print a line of figures and return the decisions per second."""
    rate = len(seconds) / sum(seconds)
    p50, p99 = percentile(seconds, 0.5) * 1e3, percentile(seconds, 0.99) * 1e3
    print(f"  {label:18} {rate:8.0f} /s   p50 {p50:7.3f} ms   p99 {p99:7.3f} ms   {placed}")
    return rate


def main() -> None:
    """Measure all sizes."""
    for workers, tasks, accelerators in SIZES:
        state = fill(workers, tasks, accelerators).state
        print(f"{workers} workers, {tasks} running tasks, {accelerators} accelerators")
        for kind in ("batch", "service"):
            seconds, placed = measure(state, kind, DECISIONS, 1)
            rate = print_timings(f"{kind}, one task", seconds, f"{placed} of {DECISIONS} placed")
            if kind == "batch":
                batch_rate = rate
        gang = min(GANG, workers)
        seconds, placed = measure(state, "gang", GANGS, gang)
        print_timings(f"gang of {gang}", seconds, f"{placed} of {GANGS} placed")
        base = print_timings("random fit", measure_baseline(state, random_fit))
        print_timings("first fit", measure_baseline(state, first_fit))
        print(f"  batch decisions are {batch_rate / base:.2f} times as fast as a random fit")


if __name__ == "__main__":
    main()

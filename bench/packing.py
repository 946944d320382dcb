"""Measure how densely each policy packs VMs: ``python -m bench.packing``.

Tasks of mixed sizes are placed on 24 empty workers until half of the processors are allocated.
Prints the number of workers used, compared with a lower bound (the sum of sizes) and first fit.
"""

import math
import random

from bench.tools import fill
from snowdock.decisions.capacity_index import CapacityIndex
from snowdock.decisions.placements import place_tasks
from snowdock.declarations import ZERO_SIZE, Declarations, Policy, Size, WorkSpec
from snowdock.policies import PolicySet
from snowdock.records import TasksPlaced
from snowdock.state import Task, Work

WORKERS = 24
HALF_OF_CPU = WORKERS * 16_000 // 2
SEEDS = range(5)
SIZES = (Size(500, 1024), Size(1000, 8192), Size(2000, 2048), Size(4000, 16_384), Size(250, 512))
PROGRAMS = ("packing_first.star", "waiting_first.star", "gang.star", "service_spread.star")


def draw_sizes(seed: int) -> list[Size]:
    """Draw task sizes that add up to half of all processors."""
    source = random.Random(seed)
    sizes, total = [], 0
    while total < HALF_OF_CPU:
        sizes.append(source.choice(SIZES))
        total += sizes[-1].cpu
    return sizes


def used_by_policy(program: str, sizes: list[Size], seed: int) -> int:
    """Place tasks under a policy and return the number of workers used."""
    state = fill(WORKERS, 0).state
    policies = PolicySet(print)
    policies.replace(Declarations(policies={"batch": Policy(program)}))
    index = CapacityIndex(random.Random(seed))
    for worker in state.workers.values():
        index.update(worker)
    used = set()
    for number, size in enumerate(sizes):
        spec = WorkSpec("batch", f"shape-{size.cpu}", "team-1", 1, size)
        result = place_tasks(Work(number, "", spec, [Task()], 0), state, index, policies, ZERO_SIZE)
        if isinstance(result, TasksPlaced):
            used.update(placement.worker for placement in result.placements)
    return len(used)


def used_by_first_fit(sizes: list[Size]) -> int:
    """Return the number of workers that first fit uses."""
    free = [Size(16_000, 65_536)] * WORKERS
    for size in sizes:
        number = next(n for n, room in enumerate(free) if room.holds(size))
        free[number] = free[number].minus(size)
    return sum(room != Size(16_000, 65_536) for room in free)


def min_workers(sizes: list[Size]) -> int:
    """Return a lower bound for the number of workers, from the sums of sizes."""
    cpu, memory = sum(s.cpu for s in sizes), sum(s.memory for s in sizes)
    return max(math.ceil(cpu / 16_000), math.ceil(memory / 65_536))


def main() -> None:
    """Measure all built-in policy programs, averaged over several seeds."""
    streams = [draw_sizes(seed) for seed in SEEDS]
    best = sum(map(min_workers, streams)) / len(streams)
    print(f"{WORKERS} workers, half of the processors promised, mean of {len(streams)} streams")
    print(f"  {'bound':22} {best:5.1f} workers used")
    first = sum(map(used_by_first_fit, streams)) / len(streams)
    print(f"  {'first fit':22} {first:5.1f} workers used, {first / best:.2f} times the bound")
    for program in PROGRAMS:
        counts = [used_by_policy(program, s, n) for n, s in zip(SEEDS, streams, strict=True)]
        mean = sum(counts) / len(counts)
        print(f"  {program:22} {mean:5.1f} workers used, {mean / best:.2f} times the bound")


if __name__ == "__main__":
    main()

"""An index of workers by free capacity, to find a few placement candidates quickly."""

import dataclasses
import itertools
import random
from collections.abc import Callable, Iterator

from sortedcontainers import SortedKeyList

from ..clocks import steady_seconds
from ..declarations import ZERO_SIZE, Size
from ..state import VmState, Worker

__all__ = ["CapacityIndex"]

_MAX_CANDIDATES = 8
_PROBATION_STREAK = 5
"""Consecutive failures after which a worker gets only one task at a time as a probe."""

_PROBE_SECONDS = 10.0
"""A probe that has run for this long without a failure on its worker ends the probation. A
service's task never succeeds, and would keep the worker on probation for as long as it runs."""

_MAX_PROBATION_SHARE = 0.5
"""If a larger share of the workers fails, the work is presumed to be at fault, and failing workers
get further tasks while others run. Without this limit, jobs that always fail have closed all four
workers of a small cluster to everything else."""


@dataclasses.dataclass(frozen=True, slots=True)
class _Probe:
    """An attempt on a worker on probation, the failures before it, and when it was first seen."""

    attempt: str
    failure_streak: int
    started_at: float


class CapacityIndex:
    """Live workers grouped by free accelerators and sorted by free CPU.

    Capacity that this node has proposed to use counts as used until the record is decided;
    see `reserve` and `release`.

    Parameters
    ----------
    random_source
        Samples candidates.
    clock
        Returns the steady time in seconds.
    """

    def __init__(
        self, random_source: random.Random, clock: Callable[[], float] = steady_seconds
    ) -> None:
        self._random = random_source
        self._clock = clock
        self._buckets: dict[int, SortedKeyList] = {}
        self._entries: dict[str, tuple[int, int]] = {}
        self._free: dict[str, Size] = {}
        self._workers: dict[str, Worker] = {}
        self._reserved: dict[str, Size] = {}
        self._failing: set[str] = set()
        self._probes: dict[str, _Probe] = {}

    def __len__(self) -> int:
        return len(self._workers)

    @property
    def workers(self) -> dict[str, Worker]:
        """All workers by name."""
        return self._workers

    def free(self, name: str) -> Size:
        """Return the capacity of a worker that is neither used nor reserved."""
        return self._free[name]

    def update(self, worker: Worker) -> None:
        """Add a worker or update it from its state."""
        self._workers[worker.name] = worker
        if worker.failure_streak >= _PROBATION_STREAK:
            self._failing.add(worker.name)
        else:
            self._failing.discard(worker.name)
        self._update_probe(worker)
        self._refresh(worker.name)

    def _update_probe(self, worker: Worker) -> None:
        """Take the oldest attempt on a failing worker as its probe, until a failure or its end."""
        if worker.name not in self._failing or not worker.attempts:
            self._probes.pop(worker.name, None)
            return
        probe = self._probes.get(worker.name)
        if (
            probe is None
            or probe.attempt not in worker.attempts
            or probe.failure_streak != worker.failure_streak
        ):
            self._probes[worker.name] = _Probe(
                next(iter(worker.attempts)), worker.failure_streak, self._clock()
            )

    def reserve(self, name: str, size: Size) -> None:
        """Count capacity on a worker as used until `release`."""
        self._reserved[name] = self._reserved.get(name, ZERO_SIZE).plus(size)
        self._refresh(name)

    def release(self, name: str, size: Size) -> None:
        """Undo a `reserve` of the same size on the same worker."""
        left = self._reserved[name].minus(size)
        if left == ZERO_SIZE:
            del self._reserved[name]
        else:
            self._reserved[name] = left
        self._refresh(name)

    def _refresh(self, name: str) -> None:
        entry = self._entries.pop(name, None)
        if entry is not None:
            self._buckets[entry[0]].remove((entry[1], name))
        worker = self._workers[name]
        free = worker.free.minus(self._reserved.get(name, ZERO_SIZE))
        self._free[name] = free
        if worker.state != VmState.LIVE or free.cpu <= 0 or free.memory <= 0:
            return
        bucket = self._buckets.setdefault(free.accelerators, SortedKeyList(key=lambda e: e))
        bucket.add((free.cpu, name))
        self._entries[name] = (free.accelerators, free.cpu)

    def candidates(self, size: Size) -> list[str]:
        """Return the names of a few workers with enough free capacity for a size.

        Workers with the fewest sufficient free accelerators come first, to save
        accelerators for tasks that need them. Among these, the tightest fits are followed
        by a random sample, so that nodes that decide concurrently seldom collide.
        """
        found: list[str] = []
        for accelerators in sorted(self._buckets):
            if accelerators < size.accelerators:
                continue
            for name in self._search_bucket(self._buckets[accelerators], size):
                found.append(name)
                if len(found) >= _MAX_CANDIDATES:
                    return found
        return found

    def _search_bucket(self, bucket: SortedKeyList, size: Size) -> Iterator[str]:
        first = bucket.bisect_key_left((size.cpu, ""))
        count = len(bucket) - first
        tight = range(first, min(first + _MAX_CANDIDATES // 2, len(bucket)))
        remaining = range(tight.stop, len(bucket))
        sampled = self._random.sample(remaining, min(_MAX_CANDIDATES // 2, len(remaining)))
        seen = set(sampled)
        yield from self._filter_fitting(bucket, itertools.chain(tight, sampled), size)
        # The order ignores memory, so the sample may miss workers that still fit.
        if count > _MAX_CANDIDATES:
            rest = (n for n in remaining if n not in seen)
            yield from self._filter_fitting(bucket, rest, size)

    def _filter_fitting(self, bucket: SortedKeyList, positions, size: Size) -> Iterator[str]:
        for position in positions:
            name = bucket[position][1]
            if self._free[name].holds(size) and not self._is_being_probed(name):
                yield name

    def _is_being_probed(self, name: str) -> bool:
        """Return whether a worker on probation already has its one task."""
        if name not in self._failing:
            return False
        if name in self._reserved:
            return True
        probe = self._probes.get(name)
        if probe is None or self._clock() - probe.started_at >= _PROBE_SECONDS:
            return False
        return len(self._failing) <= _MAX_PROBATION_SHARE * len(self._workers)

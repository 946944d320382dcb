"""An index of workers by free room, so that a decision looks at a few candidates only."""

import itertools
import random
from collections.abc import Iterator

from sortedcontainers import SortedKeyList

from ..declarations import ZERO, Size
from ..state import VmState, Worker

__all__ = ["CapacityIndex"]

_MAX_CANDIDATES = 8
_PROBATION_STREAK = 5
"""Failures in a row after which a worker gets one task at a time, as a probe."""

_MAX_PROBATION_SHARE = 0.5
"""Where a larger share of the workers has failed so often, it is for what they are given: works
that always fail once closed all four of four workers to everything else."""


class CapacityIndex:
    """Workers that may take tasks, sorted by free processors within free accelerators.

    Room that this node has proposed to use, but whose verdict is not yet known, counts as
    used: ``reserve`` and ``release`` keep it.
    """

    def __init__(self, random_source: random.Random) -> None:
        self._random = random_source
        self._buckets: dict[int, SortedKeyList] = {}
        self._entries: dict[str, tuple[int, int]] = {}
        self._free: dict[str, Size] = {}
        self._workers: dict[str, Worker] = {}
        self._reserved: dict[str, Size] = {}
        self._failing: set[str] = set()

    def __len__(self) -> int:
        return len(self._workers)

    @property
    def workers(self) -> dict[str, Worker]:
        """All workers by name."""
        return self._workers

    def free(self, name: str) -> Size:
        """Tell what is neither promised nor reserved on a worker."""
        return self._free[name]

    def update(self, worker: Worker) -> None:
        """Take over a worker's present state."""
        self._workers[worker.name] = worker
        if worker.failure_streak >= _PROBATION_STREAK:
            self._failing.add(worker.name)
        else:
            self._failing.discard(worker.name)
        self._refresh(worker.name)

    def reserve(self, name: str, size: Size) -> None:
        """Count room as used until `release`."""
        self._reserved[name] = self._reserved.get(name, ZERO).plus(size)
        self._refresh(name)

    def release(self, name: str, size: Size) -> None:
        """Undo a `reserve` of the same size."""
        left = self._reserved[name].minus(size)
        if left == ZERO:
            del self._reserved[name]
        else:
            self._reserved[name] = left
        self._refresh(name)

    def _refresh(self, name: str) -> None:
        entry = self._entries.pop(name, None)
        if entry is not None:
            self._buckets[entry[0]].remove((entry[1], name))
        worker = self._workers[name]
        free = worker.free.minus(self._reserved.get(name, ZERO))
        self._free[name] = free
        if worker.state != VmState.LIVE or free.cpu <= 0 or free.memory <= 0:
            return
        bucket = self._buckets.setdefault(free.accelerators, SortedKeyList(key=lambda e: e))
        bucket.add((free.cpu, name))
        self._entries[name] = (free.accelerators, free.cpu)

    def candidates(self, size: Size) -> list[str]:
        """Give a few workers with room for a size.

        They are the tightest ones, and others at random, so that two nodes that decide at
        the same time seldom choose the same. Workers with no more accelerators than needed
        come first, which keeps accelerators for those that need them.
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
        others = range(tight.stop, len(bucket))
        picked = self._random.sample(others, min(_MAX_CANDIDATES // 2, len(others)))
        seen = set(picked)
        yield from self._filter_fitting(bucket, itertools.chain(tight, picked), size)
        # Where memory is what lacks, the sample may miss the few that still hold the size.
        if count > _MAX_CANDIDATES:
            rest = (n for n in others if n not in seen)
            yield from self._filter_fitting(bucket, rest, size)

    def _filter_fitting(self, bucket: SortedKeyList, positions, size: Size) -> Iterator[str]:
        for position in positions:
            name = bucket[position][1]
            if self._free[name].holds(size) and not self._is_being_probed(name):
                yield name

    def _is_being_probed(self, name: str) -> bool:
        """Whether a failing worker has the one task that shows whether it still fails."""
        if name not in self._failing:
            return False
        if name in self._reserved:
            return True
        is_minority = len(self._failing) <= _MAX_PROBATION_SHARE * len(self._workers)
        return is_minority and bool(self._workers[name].attempts)

"""Workers of each service that are open to placements."""

import dataclasses

from ..declarations import ZERO_SIZE, Size
from .availability import find_exclusion
from .candidates import Caution, caution_for
from .cell import Cell
from .job_state import Step
from .machine_speeds import is_slow
from .workers import Worker

__all__ = ["WorkerPool", "WorkerPools"]


@dataclasses.dataclass(slots=True)
class WorkerPool:
    """Open workers of one service, and the maximum free room among them.

    Bulky steps are searched even if no worker has enough free room, because runs may be
    preempted or resources reserved for them.

    Attributes
    ----------
    workers
        The workers by life.
    max_free_cpu, max_free_memory, max_free_accelerators
        The most free room of any of them, of each kind.
    capacity
        The largest capacity among them, of each kind.
    """

    workers: dict[str, Worker] = dataclasses.field(default_factory=dict)
    _by_free_cpu: list[Worker] | None = None
    _by_speed: dict[bool, list[Worker]] | None = None
    max_free_cpu: int = 0
    max_free_memory: int = 0
    max_free_accelerators: int = 0
    capacity: Size = ZERO_SIZE

    def add(self, worker: Worker) -> None:
        """Add a worker to the pool."""
        free = worker.free
        self.workers[worker.entry.life] = worker
        # Plain comparisons instead of Size methods: every pass calls this for every worker.
        if free.cpu > self.max_free_cpu:
            self.max_free_cpu = free.cpu
        if free.memory > self.max_free_memory:
            self.max_free_memory = free.memory
        if free.accelerators > self.max_free_accelerators:
            self.max_free_accelerators = free.accelerators
        if not self.capacity.holds(worker.entry.capacity):
            self.capacity = self.capacity.elementwise_max(worker.entry.capacity)

    @property
    def by_free_cpu(self) -> list[Worker]:
        """Workers by descending free processors, as of the first access."""
        if self._by_free_cpu is None:
            self._by_free_cpu = sorted(self.workers.values(), key=lambda each: -each.free.cpu)
        return self._by_free_cpu

    def order_by_speed(self, cell: Cell, slow_first: bool) -> list[Worker]:
        """Return the workers with those on slow machines first or last, else by free processors.

        Kept, as many steps ask for it in one pass.
        """
        if self._by_speed is None:
            slow, fast = [], []
            for worker in self.by_free_cpu:
                (slow if is_slow(cell, worker) else fast).append(worker)
            self._by_speed = {True: slow + fast, False: fast + slow}
        return self._by_speed[slow_first]

    def may_hold(self, step: Step) -> bool:
        """Check whether a worker might have enough free room for a task of a step, now or later."""
        if not self.capacity.holds(step.spec.room):
            return False
        max_free = Size(self.max_free_cpu, self.max_free_memory, self.max_free_accelerators)
        return step.is_bulky or max_free.holds(step.spec.room)


_EMPTY_POOL = WorkerPool()


class WorkerPools:
    """Open workers by service, as of one time.

    Parameters
    ----------
    cell
        State of the leader.
    now
        The time in seconds on the steady clock.
    """

    def __init__(self, cell: Cell, now: float) -> None:
        self._cell = cell
        self._now = now
        self._regular = self._build_pools(is_last_resort=False)
        self._last_resort: dict[str, WorkerPool] | None = None

    def pool_for(self, step: Step) -> WorkerPool:
        """Return the open workers for a step; quarantined ones only as a last resort."""
        service = self._cell.queue_of(step.job).service
        if caution_for(self._cell, step, self._now) is not Caution.NONE:
            return self._regular.get(service, _EMPTY_POOL)
        if self._last_resort is None:
            self._last_resort = self._build_pools(is_last_resort=True)
        return self._last_resort.get(service, _EMPTY_POOL)

    def _build_pools(self, is_last_resort: bool) -> dict[str, WorkerPool]:
        pools: dict[str, WorkerPool] = {}
        for worker in self._cell.workers.values():
            if find_exclusion(worker, self._now, is_last_resort) is None:
                pools.setdefault(worker.entry.service, WorkerPool()).add(worker)
        return pools

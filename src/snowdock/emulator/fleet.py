"""The workers of an emulated cluster: their lives, changes of capacity, and store entries."""

import dataclasses
import random
from collections.abc import Callable

from ..declarations import Size
from ..jobs.events import Event, WorkerDelisted, WorkerListed
from ..jobs.lives import format_life, worker_id_of
from ..jobs.model import TaskId
from ..jobs.workers import WorkerEntry
from .checks import Checks
from .options import EmulatorOptions
from .timeline import Timeline
from .worker_model import Gangs, Work, WorkerModel

__all__ = ["Fleet"]

_RETURN_SECONDS = 3.5
"""Delay of the replacement of a worker that a task has crashed."""

_CRASH_KNOWN_SECONDS = 5.0
"""Time within which a leader can detect that a crashed worker's runs have ended: another life
answers at its address, or the leases have expired."""

_ENTRY_GOES_SECONDS = 4.5
"""Time until a crashed worker's entry is deleted: three missed heartbeats."""

_BEGAN_MS = 1_700_000_000_000
"""Wall-clock time of the emulator's start, in ms since 1970."""

_LATEST_CLOCK_SECONDS = 3000.0
"""Upper bound of a steady clock's reading at the start of a worker's next life; it may be below or
above that of the previous life."""

_HEARTBEAT_SECONDS = 1.5
"""Interval at which workers write their entries."""

_SHRUNK_COUNTS_SECONDS = 4.5
"""How long after a change of capacity starts are checked against it: 3 s and one heartbeat."""


class Fleet:
    """The workers of a cluster.

    Parameters
    ----------
    rng
        Random source of the workers' speeds and of delays.
    options
        Options of the cluster.
    timeline
        The virtual clock.
    checks
        Records all starts and ends.
    plan_run
        Returns the plan of a run.
    post
        Called with the leaders' events on workers' entries.
    excuse
        Called with tasks whose jobs are exempt from starvation checks, and until when.

    Attributes
    ----------
    workers
        All workers since the start, by life.
    """

    def __init__(
        self,
        source: random.Random,
        options: EmulatorOptions,
        timeline: Timeline,
        checks: Checks,
        work: Work,
        tell: Callable[[Event], None],
        excuse: Callable[[list[TaskId], float], None],
    ) -> None:
        self.workers: dict[str, WorkerModel] = {}
        self._random = source
        self._options = options
        self._timeline = timeline
        self._checks = checks
        self._work = work
        self._tell = tell
        self._excuse = excuse
        self._gangs = Gangs()
        self._lives = 0
        self._lingering: set[str] = set()
        self._untold: set[str] = set()
        for number in range(options.workers):
            self.add(number)

    def entries(self) -> list[WorkerEntry]:
        """Return the entries that a new leader finds."""
        lingering = self._lingering if self._options.entries_linger else ()
        return [
            model.entry
            for life, model in self.workers.items()
            if (model.is_up and life not in self._untold) or life in lingering
        ]

    def add(self, rack: int, address: str = "") -> str:
        """Add a worker, by default at a new address, and return its life."""
        self._lives += 1
        entry = WorkerEntry(
            life=format_life(f"w-{self._lives}", self._born_ms()),
            service="pool",
            address=address or f"address-{self._lives}",
            hall="",
            rack=f"r1-{rack % self._options.racks}",
            labels=frozenset(),
            capacity=self._options.capacity,
        )
        self._begin_life(entry, self._random.choice((1.0, 1.0, 1.3)))
        self._tell(WorkerListed(entry))
        return entry.life

    def _begin_life(self, entry: WorkerEntry, slowness: float, **terms: float) -> None:
        self.workers[entry.life] = WorkerModel(
            entry,
            self._timeline,
            self._options.terms,
            self._gangs,
            self._checks,
            self._work,
            slowness,
            lambda life: self.crash(life, _RETURN_SECONDS),
            **terms,
        )

    def _born_ms(self) -> int:
        return round(self._timeline.now * 1000) + _BEGAN_MS

    def crash(self, life: str, returns_after: float | None = None) -> None:
        """End a worker's life; its entry is deleted a few seconds later.

        Parameters
        ----------
        life
            The worker's life.
        return_delay_s
            Delay of another worker at the same address, in seconds; None for no other worker.
        """
        model = self.workers[life]
        if not model.is_up:
            return
        self._end_life(model)
        if returns_after is not None:
            self._timeline.after(returns_after, lambda: self._bring_back(model))

    def restart(self, life: str, returns_after: float) -> None:
        """End a worker's life; the next life under the same id begins after a delay."""
        model = self.workers[life]
        if model.is_up:
            self._end_life(model)
            self._timeline.after(returns_after, lambda: self._begin_next_life(model))

    def _end_life(self, model: WorkerModel) -> None:
        self._excuse(model.running, self._timeline.now + _CRASH_KNOWN_SECONDS)
        model.crash()
        self._lingering.add(model.entry.life)
        self._timeline.after(_ENTRY_GOES_SECONDS, lambda: self._delist(model))

    def _delist(self, model: WorkerModel) -> None:
        life = model.entry.life
        if worker_id_of(model.successor) != model.entry.worker:
            self._lingering.discard(life)
            self._tell(WorkerDelisted(life))

    def _begin_next_life(self, model: WorkerModel) -> None:
        """Begin a worker's next life under the same id, without any state.

        Until its first heartbeat, the entry of the previous life stays in the store.
        """
        life = format_life(model.entry.worker, self._born_ms())
        model.successor = life
        began = self._random.uniform(0.001, _LATEST_CLOCK_SECONDS)
        entry = dataclasses.replace(model.entry, life=life)
        self._begin_life(entry, model.slowness, clock_began=began)
        told_after = self._random.uniform(0.0, _HEARTBEAT_SECONDS)
        self._untold.add(life)
        self._timeline.after(told_after, lambda: self._tell_next_life(model, self.workers[life]))

    def _tell_next_life(self, model: WorkerModel, next_life: WorkerModel) -> None:
        self._lingering.discard(model.entry.life)
        self._untold.discard(next_life.entry.life)
        self._tell_entry(next_life)

    def _bring_back(self, model: WorkerModel) -> None:
        rack = int(model.entry.rack.rpartition("-")[2])
        model.successor = self.add(rack, model.entry.address)

    def resize(self, life: str, capacity: Size) -> None:
        """Change a worker's capacity; its entry follows within one heartbeat."""
        model = self.workers[life]
        model.entry = dataclasses.replace(model.entry, capacity=capacity)
        model.counted_capacity = model.counted_capacity.at_least(capacity)
        told_after = self._random.uniform(0.0, _HEARTBEAT_SECONDS)
        self._timeline.after(told_after, lambda: self._tell_entry(model))
        self._timeline.after(_SHRUNK_COUNTS_SECONDS, lambda: self._count_capacity(model, capacity))

    def _tell_entry(self, model: WorkerModel) -> None:
        if model.is_up:
            self._tell(WorkerListed(model.entry))

    @staticmethod
    def _count_capacity(model: WorkerModel, capacity: Size) -> None:
        if model.entry.capacity == capacity:
            model.counted_capacity = capacity

    def drain(self, life: str) -> None:
        """Mark a worker as draining, and end its life some seconds later."""
        model = self.workers[life]
        model.entry = dataclasses.replace(model.entry, draining=True)
        self._tell(WorkerListed(model.entry))
        self._timeline.after(6.0, lambda: self.crash(life))

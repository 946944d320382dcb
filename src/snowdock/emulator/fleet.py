"""The workers of an emulated cluster: their lives, changes of capacity, and store entries."""

import dataclasses
import random
from collections.abc import Callable

from ..declarations import Size
from ..jobs.events import Event, WorkerDelisted, WorkerListed
from ..jobs.lives import format_life, worker_id_of
from ..jobs.model import TaskId
from ..jobs.workers import WorkerEntry
from .checks import InvariantChecker
from .options import EmulatorOptions
from .timeline import Timeline
from .worker_model import GangRegistry, PlanRun, WorkerModel

__all__ = ["Fleet"]

_CRASH_DETECTION_SECONDS = 5.0
"""Time within which a leader can detect that a crashed worker's runs have ended: another life
answers at its address, or the leases have expired."""

_ENTRY_EXPIRY_SECONDS = 4.5
"""Time until a crashed worker's entry is deleted: three missed heartbeats."""

_SHUTDOWN_SECONDS = 6.0
"""How long a worker serves on after it is marked as draining or has deleted its entry."""

_START_TIME_MS = 1_700_000_000_000
"""Wall-clock time of the emulator's start, in ms since 1970."""

_MAX_INITIAL_CLOCK_SECONDS = 3000.0
"""Upper bound of a steady clock's reading at the start of a worker's next life; it may be below or
above that of the previous life."""

_HEARTBEAT_SECONDS = 1.5
"""Interval at which workers write their entries."""

_CAPACITY_CHANGE_SECONDS = 4.5
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
    exempt_tasks
        Called with tasks whose jobs are exempt from starvation checks, and until when.
    record_fault
        Called when a worker drains or its life ends.

    Attributes
    ----------
    workers
        All workers since the start, by life.
    """

    def __init__(
        self,
        rng: random.Random,
        options: EmulatorOptions,
        timeline: Timeline,
        checks: InvariantChecker,
        plan_run: PlanRun,
        post: Callable[[Event], None],
        exempt_tasks: Callable[[list[TaskId], float], None],
        record_fault: Callable[[], None],
    ) -> None:
        self.workers: dict[str, WorkerModel] = {}
        self._random = rng
        self._options = options
        self._timeline = timeline
        self._checks = checks
        self._plan_run = plan_run
        self._post = post
        self._exempt_tasks = exempt_tasks
        self._record_fault = record_fault
        self._gangs = GangRegistry()
        self._life_count = 0
        self._listed_after_end: set[str] = set()
        self._unlisted: set[str] = set()
        for number in range(options.workers):
            self.add(number)

    def list_entries(self) -> list[WorkerEntry]:
        """Return the entries that a new leader finds."""
        listed_after_end = self._listed_after_end if self._options.lists_crashed_workers else ()
        return [
            model.entry
            for life, model in self.workers.items()
            if (model.is_up and life not in self._unlisted) or life in listed_after_end
        ]

    def add(
        self,
        rack: int,
        address: str = "",
        capacity: Size | None = None,
        slowness: float | None = None,
    ) -> str:
        """Add a worker, by default at a new address, and return its life."""
        self._life_count += 1
        entry = WorkerEntry(
            life=format_life(f"w-{self._life_count}", self._born_ms()),
            service="pool",
            address=address or f"address-{self._life_count}",
            hall="",
            rack=f"r1-{rack % self._options.racks}",
            labels=frozenset(),
            capacity=capacity or self._options.capacity_of(self._life_count - 1),
        )
        if slowness is None:
            slowness = self._draw_slowness(self._life_count - 1)
        self._begin_life(entry, slowness)
        self._post(WorkerListed(entry))
        return entry.life

    def _draw_slowness(self, number: int) -> float:
        factors = self._options.lasting_slowness
        return factors[number % len(factors)] if factors else self._random.choice((1.0, 1.0, 1.3))

    def _begin_life(self, entry: WorkerEntry, slowness: float, **terms: float) -> None:
        self.workers[entry.life] = WorkerModel(
            entry,
            self._timeline,
            self._options.timings,
            self._gangs,
            self._checks,
            self._plan_run,
            slowness,
            lambda life: self.crash(life, self._options.replacement_s),
            **terms,
        )

    def _born_ms(self) -> int:
        return round(self._timeline.now * 1000) + _START_TIME_MS

    def crash(self, life: str, return_delay_s: float | None = None) -> None:
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
        self._delist_later(model)
        if return_delay_s is not None:
            self._timeline.call_after(return_delay_s, lambda: self._add_replacement(model))

    def restart(self, life: str, return_delay_s: float) -> None:
        """End a worker's life; the next life under the same id begins after a delay."""
        model = self.workers[life]
        if model.is_up:
            self._end_life(model)
            self._delist_later(model)
            self._timeline.call_after(return_delay_s, lambda: self._begin_next_life(model))

    def _end_life(self, model: WorkerModel, is_planned: bool = False) -> None:
        self._record_fault()
        self._exempt_tasks(model.running, self._timeline.now + _CRASH_DETECTION_SECONDS)
        model.crash(is_planned)

    def _delist_later(self, model: WorkerModel) -> None:
        """Delete the entry of a worker that has ended after three missed heartbeats."""
        if model.entry.life in self._unlisted:
            return
        self._listed_after_end.add(model.entry.life)
        self._timeline.call_after(_ENTRY_EXPIRY_SECONDS, lambda: self._delist(model))

    def _delist(self, model: WorkerModel) -> None:
        life = model.entry.life
        if worker_id_of(model.successor) != model.entry.worker:
            self._listed_after_end.discard(life)
            self._post(WorkerDelisted(life))

    def _begin_next_life(self, model: WorkerModel) -> None:
        """Begin a worker's next life under the same id, without any state.

        Until its first heartbeat, the entry of the previous life stays in the store.
        """
        life = format_life(model.entry.worker, self._born_ms())
        model.successor = life
        initial_clock_s = self._random.uniform(0.001, _MAX_INITIAL_CLOCK_SECONDS)
        entry = dataclasses.replace(model.entry, life=life)
        self._begin_life(entry, model.slowness, clock_began=initial_clock_s)
        listing_delay_s = self._random.uniform(0.0, _HEARTBEAT_SECONDS)
        self._unlisted.add(life)
        self._timeline.call_after(
            listing_delay_s, lambda: self._list_next_life(model, self.workers[life])
        )

    def _list_next_life(self, model: WorkerModel, next_life: WorkerModel) -> None:
        self._listed_after_end.discard(model.entry.life)
        self._unlisted.discard(next_life.entry.life)
        self._list_worker(next_life)

    def _add_replacement(self, model: WorkerModel) -> None:
        rack = int(model.entry.rack.rpartition("-")[2])
        slowness = model.slowness if self._options.lasting_slowness else None
        model.successor = self.add(rack, model.entry.address, model.entry.capacity, slowness)

    def resize(self, life: str, capacity: Size) -> None:
        """Change a worker's capacity; its entry follows within one heartbeat."""
        model = self.workers[life]
        model.entry = dataclasses.replace(model.entry, capacity=capacity)
        model.enforced_capacity = model.enforced_capacity.elementwise_max(capacity)
        listing_delay_s = self._random.uniform(0.0, _HEARTBEAT_SECONDS)
        self._timeline.call_after(listing_delay_s, lambda: self._list_worker(model))
        self._timeline.call_after(
            _CAPACITY_CHANGE_SECONDS, lambda: self._enforce_capacity(model, capacity)
        )

    def _list_worker(self, model: WorkerModel) -> None:
        if model.is_up and model.entry.life not in self._unlisted:
            self._post(WorkerListed(model.entry))

    @staticmethod
    def _enforce_capacity(model: WorkerModel, capacity: Size) -> None:
        if model.entry.capacity == capacity:
            model.enforced_capacity = capacity

    def drain(self, life: str) -> None:
        """Mark a worker as draining, and end its life some seconds later."""
        model = self.workers[life]
        self._record_fault()
        model.entry = dataclasses.replace(model.entry, draining=True)
        self._post(WorkerListed(model.entry))
        self._timeline.call_after(_SHUTDOWN_SECONDS, lambda: self._shut_down(model))

    def leave(self, life: str, return_delay_s: float | None = None) -> None:
        """Delete a worker's entry, and end its life some seconds later, without draining it.

        Another worker at the same address follows after a delay, if there is one.
        """
        model = self.workers[life]
        self._record_fault()
        model.is_leaving = True
        self._unlisted.add(life)
        self._post(WorkerDelisted(life, may_return=False))
        self._timeline.call_after(_SHUTDOWN_SECONDS, lambda: self._shut_down(model))
        if return_delay_s is not None:
            self._timeline.call_after(
                _SHUTDOWN_SECONDS + return_delay_s, lambda: self._add_replacement(model)
            )

    def _shut_down(self, model: WorkerModel) -> None:
        """End a worker's life as planned."""
        if model.is_up:
            self._end_life(model, is_planned=True)
            self._delist_later(model)

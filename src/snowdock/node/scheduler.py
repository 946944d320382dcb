"""The queue of works that this node has to place, and its pending proposals."""

import dataclasses
import random

from ..clocks import steady_seconds
from ..decisions.capacity_index import CapacityIndex
from ..decisions.placements import Unplaced, describe_work, place_tasks
from ..decisions.preemption import choose_preemptions
from ..declarations import ZERO, Size
from ..effects import Accepted, Verdict
from ..policies import PolicySet
from ..records import StopRequested, TasksPlaced
from ..state import State, Work

__all__ = ["Pass", "Scheduler"]

_PREEMPTION_SECONDS = 3.0
_PASS_RECORDS = 200
"""Bounds the duration of a pass, which blocks the state actor."""


@dataclasses.dataclass(slots=True)
class _Queued:
    """A queued work; times are in seconds on the monotonic clock."""

    work: int
    rank: float = 0.0
    not_before: float = 0.0
    next_preemption: float = 0.0


@dataclasses.dataclass(slots=True)
class Pass:
    """The records that one pass over the queue proposes."""

    placements: list[TasksPlaced] = dataclasses.field(default_factory=list)
    stops: list[StopRequested] = dataclasses.field(default_factory=list)


class Scheduler:
    """Places queued works in order of descending rank.

    Parameters
    ----------
    policies
        The policy programs in force.
    rng
        Randomizes choices, so that nodes rarely choose the same worker.
    """

    def __init__(self, policies: PolicySet, random_source: random.Random) -> None:
        self._policies = policies
        self._random = random_source
        self._index = CapacityIndex(random_source)
        self._queue: dict[int, _Queued] = {}
        self._proposed: dict[int, TasksPlaced] = {}
        self._reserved: dict[str, Size] = {}
        self._reasons: dict[int, str] = {}
        self._dirty = True

    @property
    def index(self) -> CapacityIndex:
        """The index of the workers' free capacity, including pending proposals."""
        return self._index

    @property
    def reasons(self) -> dict[int, str]:
        """The reasons why works are waiting, by work number."""
        return self._reasons

    @property
    def queue_length(self) -> int:
        """The number of queued works."""
        return len(self._queue)

    def enqueue(self, work: int) -> None:
        """Add a work to the queue."""
        if work not in self._queue:
            self._queue[work] = _Queued(work)
        self._dirty = True

    def drop(self, work: int) -> None:
        """Remove a work from the queue."""
        self._queue.pop(work, None)
        self._reasons.pop(work, None)

    def keep_only(self, works: set[int]) -> None:
        """Set the queue to exactly the given works."""
        for number in self._queue.keys() - works:
            self.drop(number)
        for number in works - self._queue.keys():
            self.enqueue(number)

    def delay(self, work: Work, failures: int) -> None:
        """Delay a work after a failure by the backoff of its policy."""
        described = describe_work(work.spec, 0)
        seconds = self._policies.call(work.spec.kind, "backoff_seconds", described, failures)
        entry = self._queue.get(work.number)
        if entry is not None:
            entry.not_before = steady_seconds() + float(seconds)

    def note_room(self) -> None:
        """Request another pass, since capacity or quota may have become free."""
        self._dirty = True

    def rerank(self, state: State) -> None:
        """Recompute the rank of each queued work by its policy."""
        for number, entry in self._queue.items():
            work = state.works[number]
            described = describe_work(work.spec, max(0, state.now_ms - work.submitted_ms))
            entry.rank = float(self._policies.call(work.spec.kind, "rank", described))
        self._dirty = True

    def run(self, state: State) -> Pass:
        """Make one pass over the queue.

        Parameters
        ----------
        state
            The shared state.

        Returns
        -------
        Pass
            Records to propose; the caller passes the verdict of each placement to
            `handle_verdict`.
        """
        if not self._dirty:
            return Pass()
        self._dirty = False
        now = steady_seconds()
        result = Pass()
        records = result.placements
        hopeless: dict[tuple, Unplaced] = {}
        for entry in sorted(self._queue.values(), key=lambda e: (-e.rank, e.work)):
            if entry.work in self._proposed:
                continue
            if entry.not_before > now:
                self._reasons[entry.work] = "waits after a failure"
                continue
            placed = self._place(state, entry.work, hopeless)
            if isinstance(placed, TasksPlaced):
                records.append(placed)
            elif placed.needs_capacity and entry.next_preemption <= now:
                # Preempted tasks need time to stop.
                entry.next_preemption = now + _PREEMPTION_SECONDS
                work = state.works[entry.work]
                result.stops += choose_preemptions(work, state, self._policies, self._random)
            if len(records) >= _PASS_RECORDS:
                self._dirty = True
                break
        return result

    def _place(self, state: State, number: int, hopeless: dict[tuple, Unplaced]):
        work = state.works[number]
        spec = work.spec
        # If one work cannot be placed, no other of the same shape can in this pass.
        shape = (spec.kind, spec.team, spec.size, spec.tasks if spec.kind == "gang" else 0)
        if shape in hopeless:
            self._reasons[number] = hopeless[shape].reason
            return hopeless[shape]
        reserved = self._reserved.get(spec.team, ZERO)
        result = place_tasks(work, state, self._index, self._policies, reserved)
        if isinstance(result, Unplaced):
            hopeless[shape] = result
            self._reasons[number] = result.reason
            return result
        self._proposed[number] = result
        self._reserve(spec.team, spec.size, len(result.placements))
        self._reasons.pop(number, None)
        return result

    def _reserve(self, team: str, size: Size, times: int) -> None:
        held = self._reserved.get(team, ZERO)
        self._reserved[team] = Size(
            held.cpu + size.cpu * times,
            held.memory + size.memory * times,
            held.accelerators + size.accelerators * times,
        )

    def judged(self, state: State, record: TasksPlaced, verdict: Verdict | None) -> None:
        """Release the reservation of a placement.

        Parameters
        ----------
        state
            The shared state.
        record
            The proposed placement.
        verdict
            Its verdict, or None if there will be none.
        """
        if self._proposed.pop(record.work, None) is None:
            return
        work = state.works.get(record.work)
        if work is not None:
            self._reserve(work.spec.team, work.spec.size, -len(record.placements))
            for placement in record.placements:
                self._index.release(placement.worker, work.spec.size)
        if not isinstance(verdict, Accepted):
            self._dirty = True
        elif work is not None and not work.queued:
            self.drop(record.work)
        self._dirty = True

    @property
    def next_wake(self) -> float | None:
        """The earliest time of a retry of a delayed work, in seconds on the monotonic clock."""
        times = [entry.not_before for entry in self._queue.values() if entry.not_before]
        return min(times, default=None)

"""The queue of works that this node should place, and what it has proposed for them."""

import dataclasses
import random

from ..clocks import steady_seconds
from ..decisions.capacity_index import CapacityIndex
from ..decisions.placements import Unplaced, describe_work, place_tasks
from ..decisions.preemption import choose_preemptions
from ..declarations import ZERO_SIZE, Size
from ..effects import Accepted, Verdict
from ..policies import PolicySet
from ..records import StopRequested, TasksPlaced
from ..state import State, Work

__all__ = ["Pass", "Scheduler"]

_PREEMPTION_SECONDS = 3.0
_PASS_RECORDS = 200
"""The most records of one pass, so that the node's other matters are not held up."""


@dataclasses.dataclass(slots=True)
class _Queued:
    """A work that waits here; its times are on the monotonic clock, in seconds."""

    work: int
    rank: float = 0.0
    not_before: float = 0.0
    next_preemption: float = 0.0


@dataclasses.dataclass(slots=True)
class Pass:
    """What one pass over the queue proposes."""

    placements: list[TasksPlaced] = dataclasses.field(default_factory=list)
    stops: list[StopRequested] = dataclasses.field(default_factory=list)


class Scheduler:
    """Places queued works, the highest rank first.

    Parameters
    ----------
    policies
        The programs in force.
    random_source
        Spreads the choices of several nodes.
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
        """Free room as this node sees it."""
        return self._index

    @property
    def reasons(self) -> dict[int, str]:
        """Why works wait, by work number."""
        return self._reasons

    @property
    def queue_length(self) -> int:
        """Works that wait here."""
        return len(self._queue)

    def enqueue(self, work: int) -> None:
        """Take a work into the queue."""
        if work not in self._queue:
            self._queue[work] = _Queued(work)
        self._dirty = True

    def drop(self, work: int) -> None:
        """Take a work out of the queue."""
        self._queue.pop(work, None)
        self._reasons.pop(work, None)

    def keep_only(self, works: set[int]) -> None:
        """Make the queue hold exactly these works."""
        for number in self._queue.keys() - works:
            self.drop(number)
        for number in works - self._queue.keys():
            self.enqueue(number)

    def delay(self, work: Work, failures: int) -> None:
        """Hold a work back after a failure, for as long as its policy says."""
        described = describe_work(work.spec, 0)
        seconds = self._policies.call(work.spec.kind, "backoff_seconds", described, failures)
        entry = self._queue.get(work.number)
        if entry is not None:
            entry.not_before = steady_seconds() + float(seconds)

    def note_room(self) -> None:
        """Try again at the next pass: room or quota may have become free."""
        self._dirty = True

    def rerank(self, state: State) -> None:
        """Ask the policies for each queued work's rank."""
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
            Records to propose; `judged` is to be called for each placement.
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
                # What is asked to end needs a while to do so.
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
        # One failed try stands for all works of the same shape in this pass.
        shape = (spec.kind, spec.team, spec.size, spec.tasks if spec.kind == "gang" else 0)
        if shape in hopeless:
            self._reasons[number] = hopeless[shape].reason
            return hopeless[shape]
        reserved = self._reserved.get(spec.team, ZERO_SIZE)
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
        held = self._reserved.get(team, ZERO_SIZE)
        self._reserved[team] = Size(
            held.cpu + size.cpu * times,
            held.memory + size.memory * times,
            held.accelerators + size.accelerators * times,
        )

    def judged(self, state: State, record: TasksPlaced, verdict: Verdict | None) -> None:
        """Give back what a proposal reserved, now that its verdict is known or given up."""
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
        """When the earliest held-back work may be tried again, on the monotonic clock."""
        times = [entry.not_before for entry in self._queue.values() if entry.not_before]
        return min(times, default=None)

"""The queue of works that this node has to place, and its pending proposals."""

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

__all__ = ["PassResult", "Scheduler"]

_PREEMPTION_INTERVAL_SECONDS = 3.0
_MAX_RECORDS_PER_PASS = 200
"""Bounds the duration of a pass, which blocks the state actor."""


@dataclasses.dataclass(slots=True)
class _QueueEntry:
    """A queued work; times are in seconds on the monotonic clock."""

    work: int
    rank: float = 0.0
    not_before: float = 0.0
    next_preemption: float = 0.0


@dataclasses.dataclass(slots=True)
class PassResult:
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

    def __init__(self, policies: PolicySet, rng: random.Random) -> None:
        self._policies = policies
        self._rng = rng
        self._index = CapacityIndex(rng)
        self._queue: dict[int, _QueueEntry] = {}
        self._proposed: dict[int, TasksPlaced] = {}
        self._reserved_by_team: dict[str, Size] = {}
        self._reasons: dict[int, str] = {}
        self._needs_pass = True

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
            self._queue[work] = _QueueEntry(work)
        self._needs_pass = True

    def dequeue(self, work: int) -> None:
        """Remove a work from the queue."""
        self._queue.pop(work, None)
        self._reasons.pop(work, None)

    def set_queue(self, works: set[int]) -> None:
        """Set the queue to exactly the given works."""
        for number in self._queue.keys() - works:
            self.dequeue(number)
        for number in works - self._queue.keys():
            self.enqueue(number)

    def delay(self, work: Work, failures: int) -> None:
        """Delay a work after a failure by the backoff of its policy."""
        work_view = describe_work(work.spec, 0)
        seconds = self._policies.call(work.spec.kind, "backoff_seconds", work_view, failures)
        entry = self._queue.get(work.number)
        if entry is not None:
            entry.not_before = steady_seconds() + float(seconds)

    def request_pass(self) -> None:
        """Request another pass, since capacity or quota may have become free."""
        self._needs_pass = True

    def rerank(self, state: State) -> None:
        """Recompute the rank of each queued work by its policy."""
        for number, entry in self._queue.items():
            work = state.works[number]
            work_view = describe_work(work.spec, max(0, state.now_ms - work.submitted_ms))
            entry.rank = float(self._policies.call(work.spec.kind, "rank", work_view))
        self._needs_pass = True

    def run(self, state: State) -> PassResult:
        """Make one pass over the queue.

        Parameters
        ----------
        state
            The shared state.

        Returns
        -------
        PassResult
            Records to propose; the caller passes the verdict of each placement to
            `handle_verdict`.
        """
        if not self._needs_pass:
            return PassResult()
        self._needs_pass = False
        now = steady_seconds()
        result = PassResult()
        records = result.placements
        unplaced_by_shape: dict[tuple, Unplaced] = {}
        for entry in sorted(self._queue.values(), key=lambda e: (-e.rank, e.work)):
            if entry.work in self._proposed:
                continue
            if entry.not_before > now:
                self._reasons[entry.work] = "waits after a failure"
                continue
            placed = self._place(state, entry.work, unplaced_by_shape)
            if isinstance(placed, TasksPlaced):
                records.append(placed)
            elif placed.needs_capacity and entry.next_preemption <= now:
                # Preempted tasks need time to stop.
                entry.next_preemption = now + _PREEMPTION_INTERVAL_SECONDS
                work = state.works[entry.work]
                result.stops += choose_preemptions(work, state, self._policies, self._rng)
            if len(records) >= _MAX_RECORDS_PER_PASS:
                self._needs_pass = True
                break
        return result

    def _place(self, state: State, number: int, unplaced_by_shape: dict[tuple, Unplaced]):
        work = state.works[number]
        spec = work.spec
        # If one work cannot be placed, no other of the same shape can in this pass.
        shape = (spec.kind, spec.team, spec.size, spec.tasks if spec.kind == "gang" else 0)
        if shape in unplaced_by_shape:
            self._reasons[number] = unplaced_by_shape[shape].reason
            return unplaced_by_shape[shape]
        reserved = self._reserved_by_team.get(spec.team, ZERO_SIZE)
        result = place_tasks(work, state, self._index, self._policies, reserved)
        if isinstance(result, Unplaced):
            unplaced_by_shape[shape] = result
            self._reasons[number] = result.reason
            return result
        self._proposed[number] = result
        self._reserve(spec.team, spec.size, len(result.placements))
        self._reasons.pop(number, None)
        return result

    def _reserve(self, team: str, size: Size, times: int) -> None:
        reserved = self._reserved_by_team.get(team, ZERO_SIZE)
        self._reserved_by_team[team] = Size(
            reserved.cpu + size.cpu * times,
            reserved.memory + size.memory * times,
            reserved.accelerators + size.accelerators * times,
        )

    def handle_verdict(self, state: State, record: TasksPlaced, verdict: Verdict | None) -> None:
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
            self._needs_pass = True
        elif work is not None and not work.queued:
            self.dequeue(record.work)
        self._needs_pass = True

    @property
    def next_retry_at(self) -> float | None:
        """The earliest time of a retry of a delayed work, in seconds on the monotonic clock."""
        times = [entry.not_before for entry in self._queue.values() if entry.not_before]
        return min(times, default=None)

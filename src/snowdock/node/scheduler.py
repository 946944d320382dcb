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

__all__ = ["PassResult", "Scheduler"]

_PREEMPTION_INTERVAL_SECONDS = 3.0
_MAX_RECORDS_PER_PASS = 200
"""The most records of one pass, so that the node's other matters are not held up."""


@dataclasses.dataclass(slots=True)
class _QueueEntry:
    """A work that waits here; its times are on the monotonic clock, in seconds."""

    work: int
    rank: float = 0.0
    not_before: float = 0.0
    next_preemption: float = 0.0


@dataclasses.dataclass(slots=True)
class PassResult:
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
            self._queue[work] = _QueueEntry(work)
        self._needs_pass = True

    def dequeue(self, work: int) -> None:
        """Take a work out of the queue."""
        self._queue.pop(work, None)
        self._reasons.pop(work, None)

    def set_queue(self, works: set[int]) -> None:
        """Make the queue hold exactly these works."""
        for number in self._queue.keys() - works:
            self.dequeue(number)
        for number in works - self._queue.keys():
            self.enqueue(number)

    def delay(self, work: Work, failures: int) -> None:
        """Hold a work back after a failure, for as long as its policy says."""
        work_view = describe_work(work.spec, 0)
        seconds = self._policies.call(work.spec.kind, "backoff_seconds", work_view, failures)
        entry = self._queue.get(work.number)
        if entry is not None:
            entry.not_before = steady_seconds() + float(seconds)

    def request_pass(self) -> None:
        """Try again at the next pass: room or quota may have become free."""
        self._needs_pass = True

    def rerank(self, state: State) -> None:
        """Ask the policies for each queued work's rank."""
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
        Pass
            Records to propose; `judged` is to be called for each placement.
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
                # What is asked to end needs a while to do so.
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
        # One failed try stands for all works of the same shape in this pass.
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
        """Give back what a proposal reserved, now that its verdict is known or given up."""
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
        """When the earliest held-back work may be tried again, on the monotonic clock."""
        times = [entry.not_before for entry in self._queue.values() if entry.not_before]
        return min(times, default=None)

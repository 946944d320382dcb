"""Making room for bulky steps: runs that save their progress yield, and their room is kept for it.

The pieces of room that are left between other work never hold a large gang all at once, and
seldom a task that takes much of a worker. A run
that saves its progress loses little by going on elsewhere a moment later.
"""

import dataclasses
import functools
import heapq
import itertools
from collections.abc import Callable, Iterable

from .candidates import caution_for, count_fitting, is_trusted, max_additional_tasks
from .cell import Cell, Claim
from .job_state import Phase, Step, Task
from .reservations import release_claim
from .runs import stop_run
from .workers import RoomHold, Worker

__all__ = ["has_claim", "preempt_runs", "release_expired_claims"]

_CLAIM_SECONDS = 1.0
"""How long room is kept: a stop takes up to 0.4 s, its report and the record of the
placement some 0.1 s, and tickets hold for 1.5 s or more."""

_MIN_TICKET_SECONDS = 0.7
"""Tickets must hold for at least so long, or they expire before the room is there."""

_CLAIM_RETRY_SECONDS = 2.0
"""Pause after a claim that came to nothing before runs are stopped for the same step again."""

_MAX_PREEMPTIONS = 2
"""A task makes room so many times at most, or it might never end."""

_NEARLY_DONE_PERCENT = 80.0
"""A run that is further than this gives its room back soon anyway."""


@dataclasses.dataclass(frozen=True, slots=True, eq=False)
class _PreemptionOption:
    """A worker, the seats it has free, and what would have to yield for each further seat."""

    worker: Worker
    free_slots: int
    victims: list[list[Task]]


def has_claim(cell: Cell, step: Step, now: float) -> bool:
    """Whether room is being made for a step."""
    claim = cell.claims.get(step.key)
    return claim is not None and claim.is_preemptive and claim.expires_at > now


def preempt_runs(
    cell: Cell, step: Step, workers: Iterable[Worker], wanted: int, now: float
) -> bool:
    """Stop runs that yield to a bulky step, if that makes room; tell whether it did.

    For a gang, room is made for all of it or not at all.

    Parameters
    ----------
    cell
        The leader's state.
    step
        A bulky step that found no room.
    workers
        Workers that may run it.
    wanted
        Its tasks.
    now
        The steady clock, in seconds.
    """
    if now < step.next_claim_at:
        return False
    step.next_claim_at = now + _CLAIM_RETRY_SECONDS
    options = _build_options(cell, step, workers, now)
    missing = wanted - sum(offer.free_slots for offer in options)
    preempted = _choose_preempted_slots(options, missing)
    required = missing if step.spec.gang else 1
    if missing <= 0 or len(preempted) < required:
        return False
    _claim_slots(cell, step, options, preempted, now)
    return True


def _build_options(
    cell: Cell, step: Step, workers: Iterable[Worker], now: float
) -> list[_PreemptionOption]:
    @functools.cache
    def yields(other: Step) -> bool:
        return cell.policy.yields(step, other, now)

    caution = caution_for(cell, step)
    return [
        _build_option(step, worker, _find_preemptible_tasks(cell, worker, yields))
        for worker in workers
        if _has_lasting_ticket(step, worker, now) and is_trusted(cell, worker, caution)
    ]


def _has_lasting_ticket(step: Step, worker: Worker, now: float) -> bool:
    advice = step.advice
    return advice is None or advice.valid_ticket(worker.life, now + _MIN_TICKET_SECONDS) is not None


def _build_option(step: Step, worker: Worker, preemptible: list[Task]) -> _PreemptionOption:
    """Count a worker's free seats for a step, and those that stopping runs there would add."""
    room = step.spec.room
    max_tasks = max_additional_tasks(step, worker)
    free = worker.free_for(step.key, step.rank)
    slots = min(count_fitting(free, room), max_tasks)
    victims: list[list[Task]] = []
    stopped: list[Task] = []
    for task in preemptible:
        if slots + len(victims) >= max_tasks:
            break
        free = free.plus(task.step.spec.room)
        stopped.append(task)
        if count_fitting(free, room) > slots + len(victims):
            victims.append(stopped)
            stopped = []
    return _PreemptionOption(worker, slots, victims)


def _choose_preempted_slots(
    options: list[_PreemptionOption], wanted: int
) -> list[_PreemptionOption]:
    """Give the offer of each of so many seats that are not free, the fewest victims first.

    A worker's seats come in order: what yields for one has to have yielded for those before it.
    """
    heap = [
        (len(option.victims[0]), number, 0)
        for number, option in enumerate(options)
        if option.victims
    ]
    heapq.heapify(heap)
    chosen: list[_PreemptionOption] = []
    while heap and len(chosen) < wanted:
        _, number, slot = heapq.heappop(heap)
        option = options[number]
        chosen.append(option)
        if slot + 1 < len(option.victims):
            heapq.heappush(heap, (len(option.victims[slot + 1]), number, slot + 1))
    return chosen


def _find_preemptible_tasks(
    cell: Cell, worker: Worker, yields: Callable[[Step], bool]
) -> list[Task]:
    """Give the tasks whose runs there may make room, the largest first."""
    found = []
    for task_id, run in worker.preemptible_runs:
        task = cell.find_task(task_id)
        if task is None or task.run != run or task.phase is not Phase.RUNNING:
            continue
        if task.preemptions >= _MAX_PREEMPTIONS or task.percent > _NEARLY_DONE_PERCENT:
            continue
        if yields(task.step):
            found.append(task)
    found.sort(key=lambda task: -task.step.spec.room.cpu)
    return found


def _claim_slots(
    cell: Cell,
    step: Step,
    options: list[_PreemptionOption],
    preempted: list[_PreemptionOption],
    now: float,
) -> None:
    """Keep the seats for the step, and stop what has to yield.

    ``further`` holds an offer once for each of its seats that is not free yet.
    """
    release_claim(cell, step.key)
    stopped = 0
    lives = set()
    for option in options:
        count = preempted.count(option)
        for task in itertools.chain.from_iterable(option.victims[:count]):
            task.preemptions += 1
            stopped += 1
            stop_run(cell, task, now)
        slots = option.free_slots + count
        if slots:
            option.worker.room_holds[step.key] = RoomHold(step.spec.room.times(slots))
            lives.add(option.worker.life)
    cell.claims[step.key] = Claim(now + _CLAIM_SECONDS, frozenset(lives), is_preemptive=True)
    cell.log_decision(
        "room_claimed",
        step.job.id,
        step=step.number,
        tasks=len(step.tasks),
        stopped=stopped,
        workers=len(lives),
        rank=step.rank,
    )


def release_expired_claims(cell: Cell, now: float) -> None:
    """Give the room of claims back that are over."""
    for key, claim in list(cell.claims.items()):
        if claim.expires_at > now and key in cell.waiting_steps:
            continue
        release_claim(cell, key)
        cell.needs_placement = True

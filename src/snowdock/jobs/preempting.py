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

from .cell import Cell, Claim
from .parts import Phase, Step, Task
from .reserving import release_claim
from .runs import stop_run
from .seats import care_of, fitting, may_be_trusted, most_seats
from .workers import Hold, Worker

__all__ = ["drop_claims", "has_claim", "make_room"]

_CLAIM_SECONDS = 1.0
"""How long room is kept: a stop takes up to 0.4 s, its report and the record of the
placement some 0.1 s, and tickets hold for 1.5 s or more."""

_LEAST_VALID_SECONDS = 0.7
"""Tickets must hold for at least so long, or they expire before the room is there."""

_AGAIN_SECONDS = 2.0
"""Pause after a claim that came to nothing before runs are stopped for the same step again."""

_MOST_YIELDS = 2
"""A task makes room so many times at most, or it might never end."""

_NEARLY_DONE_PERCENT = 80.0
"""A run that is further than this gives its room back soon anyway."""


@dataclasses.dataclass(frozen=True, slots=True, eq=False)
class _Offer:
    """A worker, the seats it has free, and what would have to yield for each further seat."""

    worker: Worker
    free: int
    victims: list[list[Task]]


def has_claim(cell: Cell, step: Step, now: float) -> bool:
    """Whether room is being made for a step."""
    claim = cell.claims.get(step.key)
    return claim is not None and claim.is_forced and claim.until > now


def make_room(cell: Cell, step: Step, workers: Iterable[Worker], wanted: int, now: float) -> bool:
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
    if now < step.claim_again_at:
        return False
    step.claim_again_at = now + _AGAIN_SECONDS
    offers = _make_offers(cell, step, workers, now)
    lacking = wanted - sum(offer.free for offer in offers)
    further = _further_seats(offers, lacking)
    enough = lacking if step.spec.gang else 1
    if lacking <= 0 or len(further) < enough:
        return False
    _claim(cell, step, offers, further, now)
    return True


def _make_offers(cell: Cell, step: Step, workers: Iterable[Worker], now: float) -> list[_Offer]:
    @functools.cache
    def yields(other: Step) -> bool:
        return cell.policy.yields(step, other, now)

    care = care_of(cell, step)
    return [
        _offer(step, worker, _yielding_tasks(cell, worker, yields))
        for worker in workers
        if _holds_long(step, worker, now) and may_be_trusted(cell, worker, care)
    ]


def _holds_long(step: Step, worker: Worker, now: float) -> bool:
    advice = step.advice
    return (
        advice is None or advice.valid_ticket(worker.life, now + _LEAST_VALID_SECONDS) is not None
    )


def _offer(step: Step, worker: Worker, yielding: list[Task]) -> _Offer:
    """Count a worker's free seats for a step, and those that stopping runs there would add."""
    room = step.spec.room
    most = most_seats(step, worker)
    free = worker.free_for(step.key, step.rank)
    seats = min(fitting(free, room), most)
    victims: list[list[Task]] = []
    stopped: list[Task] = []
    for task in yielding:
        if seats + len(victims) >= most:
            break
        free = free.plus(task.step.spec.room)
        stopped.append(task)
        if fitting(free, room) > seats + len(victims):
            victims.append(stopped)
            stopped = []
    return _Offer(worker, seats, victims)


def _further_seats(offers: list[_Offer], wanted: int) -> list[_Offer]:
    """Give the offer of each of so many seats that are not free, the fewest victims first.

    A worker's seats come in order: what yields for one has to have yielded for those before it.
    """
    heap = [
        (len(offer.victims[0]), number, 0) for number, offer in enumerate(offers) if offer.victims
    ]
    heapq.heapify(heap)
    chosen: list[_Offer] = []
    while heap and len(chosen) < wanted:
        _, number, seat = heapq.heappop(heap)
        offer = offers[number]
        chosen.append(offer)
        if seat + 1 < len(offer.victims):
            heapq.heappush(heap, (len(offer.victims[seat + 1]), number, seat + 1))
    return chosen


def _yielding_tasks(cell: Cell, worker: Worker, yields: Callable[[Step], bool]) -> list[Task]:
    """Give the tasks whose runs there may make room, the largest first."""
    found = []
    for task_id, run in worker.yielding:
        task = cell.find_task(task_id)
        if task is None or task.run != run or task.phase is not Phase.RUNNING:
            continue
        if task.yields >= _MOST_YIELDS or task.percent > _NEARLY_DONE_PERCENT:
            continue
        if yields(task.step):
            found.append(task)
    found.sort(key=lambda task: -task.step.spec.room.cpu)
    return found


def _claim(cell: Cell, step: Step, offers: list[_Offer], further: list[_Offer], now: float) -> None:
    """Keep the seats for the step, and stop what has to yield.

    ``further`` holds an offer once for each of its seats that is not free yet.
    """
    release_claim(cell, step.key)
    stopped = 0
    lives = set()
    for offer in offers:
        count = further.count(offer)
        for task in itertools.chain.from_iterable(offer.victims[:count]):
            task.yields += 1
            stopped += 1
            stop_run(cell, task, now)
        seats = offer.free + count
        if seats:
            offer.worker.claims[step.key] = Hold(step.spec.room.times(seats))
            lives.add(offer.worker.life)
    cell.claims[step.key] = Claim(now + _CLAIM_SECONDS, frozenset(lives), is_forced=True)
    cell.tell(
        "room_claimed",
        step.job.id,
        step=step.number,
        tasks=len(step.tasks),
        stopped=stopped,
        workers=len(lives),
        rank=step.rank,
    )


def drop_claims(cell: Cell, now: float) -> None:
    """Give the room of claims back that are over."""
    for key, claim in list(cell.claims.items()):
        if claim.until > now and key in cell.waiting:
            continue
        release_claim(cell, key)
        cell.placing_wanted = True

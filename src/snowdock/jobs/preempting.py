"""Preemption of checkpointing runs for bulky steps.

The resources left free between other runs rarely hold a task that needs much of a worker, and
never a whole large gang. A preempted run loses little, as it resumes from its checkpoint on another
worker. The resources that it frees are claimed for the bulky step.
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
"""Time for which freed resources are held for a step. A stop takes up to 0.4 s, its report and
the recording of the placement about 0.1 s, and tickets are valid for 1.5 s or more."""

_LEAST_VALID_SECONDS = 0.7
"""Minimum remaining validity of a ticket, so that it does not expire before the runs end."""

_AGAIN_SECONDS = 2.0
"""Minimum time between two claims for the same step."""

_MOST_YIELDS = 2
"""Maximum number of preemptions of a task; more could keep it from ever ending."""

_NEARLY_DONE_PERCENT = 80.0
"""Runs with more progress than this are not preempted, since they end soon."""


@dataclasses.dataclass(frozen=True, slots=True, eq=False)
class _Offer:
    """A worker's free slots for a step, and the runs to preempt for each further slot."""

    worker: Worker
    free: int
    victims: list[list[Task]]


def has_claim(cell: Cell, step: Step, now: float) -> bool:
    """Check whether runs are being preempted for a step."""
    claim = cell.claims.get(step.key)
    return claim is not None and claim.is_forced and claim.until > now


def make_room(cell: Cell, step: Step, workers: Iterable[Worker], wanted: int, now: float) -> bool:
    """Preempt runs for a bulky step if that lets it be placed; return whether runs are stopped.

    For a gang, runs are preempted only if all its members can be placed.

    Parameters
    ----------
    cell
        State of the leader.
    step
        A bulky step that could not be placed.
    workers
        Workers that may run the step.
    wanted
        Number of tasks to place.
    now
        Current time on the steady clock, in seconds.
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
    """Compute a worker's free slots for a step, and the runs to preempt for each further one."""
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
    """Choose up to ``wanted`` slots to free by preemption, those with the fewest victims first.

    The slots of a worker are chosen in order, as each one also needs the resources freed for the
    previous ones. Returns the option of each chosen slot.
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
    """Return the tasks on a worker whose runs may be preempted, the largest first."""
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
    """Claim the slots for a step, and stop the victims.

    ``preempted`` contains an option once for each of its slots to free.
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
    """Release the claims that have expired or whose step no longer waits."""
    for key, claim in list(cell.claims.items()):
        if claim.until > now and key in cell.waiting:
            continue
        release_claim(cell, key)
        cell.placing_wanted = True

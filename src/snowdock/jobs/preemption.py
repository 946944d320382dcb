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

from .candidates import caution_for, count_fitting, is_trusted, max_additional_tasks
from .cell import Cell, Claim
from .job_state import Phase, Step, Task
from .reservations import release_claim
from .runs import stop_run
from .workers import RoomHold, Worker

__all__ = ["has_claim", "preempt_runs", "release_expired_claims"]

_CLAIM_SECONDS = 1.0
"""Time for which freed resources are held for a step: longer than a stop (up to 0.4 s), its
report and the recording of the placement (about 0.1 s), shorter than a ticket is valid (1.5 s or
more)."""

_MIN_TICKET_SECONDS = 0.7
"""Minimum remaining validity of a ticket, so that it does not expire before the runs end."""

_CLAIM_RETRY_SECONDS = 2.0
"""Minimum time between two claims for the same step."""

_MAX_PREEMPTIONS = 2
"""Maximum number of preemptions of a task; more could keep it from ever ending."""

_NEARLY_DONE_PERCENT = 80.0
"""Runs with more progress than this are not preempted, since they end soon."""


@dataclasses.dataclass(frozen=True, slots=True, eq=False)
class _PreemptionOption:
    """A worker's free slots for a step, and the runs to preempt for each further slot."""

    worker: Worker
    free_slots: int
    victims: list[list[Task]]


def has_claim(cell: Cell, step: Step, now: float) -> bool:
    """Check whether runs are being preempted for a step."""
    claim = cell.claims.get(step.key)
    return claim is not None and claim.is_preemptive and claim.expires_at > now


def preempt_runs(
    cell: Cell, step: Step, workers: Iterable[Worker], wanted: int, now: float
) -> bool:
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
    if now < step.next_claim_at:
        return False
    step.next_claim_at = now + _CLAIM_RETRY_SECONDS
    options = _build_options(cell, step, workers, now)
    missing = wanted - sum(option.free_slots for option in options)
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
    def may_preempt(other: Step) -> bool:
        return cell.policy.may_preempt(step, other, now)

    caution = caution_for(cell, step, now)
    return [
        _build_option(step, worker, _find_preemptible_tasks(cell, worker, may_preempt))
        for worker in workers
        if _has_lasting_ticket(step, worker, now) and is_trusted(worker, caution, now)
    ]


def _has_lasting_ticket(step: Step, worker: Worker, now: float) -> bool:
    advice = step.advice
    return advice is None or advice.valid_ticket(worker.life, now + _MIN_TICKET_SECONDS) is not None


def _build_option(step: Step, worker: Worker, preemptible: list[Task]) -> _PreemptionOption:
    """Compute a worker's free slots for a step, and the runs to preempt for each further one."""
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
    """Choose up to ``wanted`` slots to free by preemption, those with the fewest victims first.

    The slots of a worker are chosen in order, as each one also needs the resources freed for the
    previous ones. Returns the option of each chosen slot.
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
    cell: Cell, worker: Worker, may_preempt: Callable[[Step], bool]
) -> list[Task]:
    """Return the tasks on a worker whose runs may be preempted, the largest first."""
    found = []
    for task_id, run in worker.preemptible_runs:
        task = cell.find_task(task_id)
        if task is None or task.run != run or task.phase is not Phase.RUNNING:
            continue
        if task.preemptions >= _MAX_PREEMPTIONS or task.percent > _NEARLY_DONE_PERCENT:
            continue
        if may_preempt(task.step):
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
    """Claim the slots for a step, and stop the victims.

    ``preempted`` contains an option once for each of its slots to free.
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
        tasks=step.spec.count,
        stopped=stopped,
        workers=len(lives),
        rank=step.rank,
    )


def release_expired_claims(cell: Cell, now: float) -> None:
    """Release the claims that have expired or whose step no longer waits."""
    for key, claim in list(cell.claims.items()):
        if claim.expires_at > now and key in cell.waiting_steps:
            continue
        release_claim(cell, key)
        cell.needs_placement = True

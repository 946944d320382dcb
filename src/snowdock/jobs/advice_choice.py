"""Choice of the workers about which the advice service is asked."""

from collections.abc import Callable, Iterable

from .candidates import (
    available_room,
    caution_for,
    count_startable,
    max_additional_tasks,
)
from .cell import Cell
from .job_state import Advice, Step
from .reservations import find_reservation
from .workers import Worker

__all__ = [
    "MAX_ANSWER_TIME_FACTOR",
    "MAX_WORKERS_PER_REQUEST",
    "choose_workers_to_ask",
    "count_cheap_workers",
    "estimate_answer_seconds",
    "make_slot_counter",
    "max_parallel_requests",
    "shortest_answer_seconds",
]

MAX_WORKERS_PER_REQUEST = 100
"""Maximum number of workers in one request, a limit of the service."""

_UNKNOWN_SLOTS_PER_TASK = 5
"""Slots on workers not asked about yet that are requested for each task: as few as three in
ten workers are fit, and some of the slots are taken before the answer."""

_KNOWN_SLOTS_PER_TASK = 2
"""Slots on workers known to be fit that are requested for each task."""

_CHEAP_TIME_SHARE = 0.5
"""Workers are added to a request as long as they extend it by at most this fraction of its fixed
duration."""

MAX_ANSWER_TIME_FACTOR = 1.5
"""Assumed maximum ratio of an answer's actual to its expected duration: a request may be queued
behind another one."""

_BULKY_PARALLEL_REQUESTS = 4
"""Maximum number of parallel requests for a bulky step. If they were sent one after the other, the
first tickets would expire before the last answer."""

_SlotCounter = Callable[[Worker], int]
"""(worker) -> number of tasks of a step that could start there."""


def shortest_answer_seconds(advice: Advice) -> float:
    """Return the expected time until an answer about a single worker."""
    return estimate_answer_seconds(advice, 1)


def estimate_answer_seconds(advice: Advice, workers: int) -> float:
    """Return the expected time until an answer about a number of workers."""
    return (advice.terms.decide_ms + advice.terms.each_ms * workers) / 1000


def max_parallel_requests(step: Step) -> int:
    """Return how many requests may be pending for a step at a time."""
    return _BULKY_PARALLEL_REQUESTS if step.is_bulky else 1


def count_cheap_workers(step: Step) -> int:
    """Return the number of workers that extend a request's duration only a little."""
    terms = step.advice.terms
    if not terms.each_ms:
        return MAX_WORKERS_PER_REQUEST
    return min(MAX_WORKERS_PER_REQUEST, int(_CHEAP_TIME_SHARE * terms.decide_ms / terms.each_ms))


def choose_workers_to_ask(
    cell: Cell,
    step: Step,
    by_free_cpu: list[Worker],
    fit: list[Worker],
    wanted: int,
    now: float,
) -> tuple[list[Worker], int]:
    """Return the workers to ask about, or none if no answer could help yet.

    Also return the number of workers examined. The search ends with the first workers that have
    enough free room: examining all workers for every step can take longer than tickets are
    valid.
    """
    advice = step.advice
    count_slots = make_slot_counter(cell, step, now)
    known = [
        worker
        for worker in fit
        if advice.valid_ticket(worker.life, now) is None and count_slots(worker)
    ]
    examined = len(fit)
    chosen = _choose_roomiest(step, known, count_slots, wanted * _KNOWN_SLOTS_PER_TASK)
    if not _could_place(step, chosen, count_slots, wanted):
        unknown, unknown_examined = _find_unknown_workers(
            step, by_free_cpu, count_slots, wanted * _UNKNOWN_SLOTS_PER_TASK, cell.is_uneven
        )
        examined += unknown_examined
        if not unknown and not _could_place(step, known, count_slots, wanted):
            chosen = []
        chosen = chosen + unknown
    if not chosen:
        chosen = _find_reserved_workers_due(cell, step, now)
        examined += len(chosen)
    # Fitness never changes, so also ask about workers without free room while that is cheap.
    asked = {worker.life for worker in chosen}
    spare = count_cheap_workers(step) * max_parallel_requests(step) - len(chosen)
    for worker in by_free_cpu:
        if spare <= 0:
            break
        examined += 1
        if advice.is_known(worker.life) or worker.life in asked:
            continue
        if max_additional_tasks(step, worker):
            chosen.append(worker)
            spare -= 1
    return chosen, examined


def _find_unknown_workers(
    step: Step,
    by_free_cpu: list[Worker],
    count_slots: _SlotCounter,
    slots: int,
    is_uneven: bool,
) -> tuple[list[Worker], int]:
    """Return workers with free room whose fitness for a step is unknown.

    They offer at least ``slots`` slots, if possible, and are at least as many as are cheap to ask
    about. Also return the number of workers examined.
    """
    cheap = count_cheap_workers(step)
    found: list[Worker] = []
    examined = 0
    for worker in by_free_cpu:
        if slots <= 0 and len(found) >= cheap:
            break
        if not step.is_bulky and worker.free.cpu < step.spec.room.cpu:
            if is_uneven:
                continue
            # The remaining workers have even fewer free processors.
            break
        examined += 1
        if step.advice.is_known(worker.life):
            continue
        count = count_slots(worker)
        if count:
            found.append(worker)
            slots -= count
    return found, examined


def _find_reserved_workers_due(cell: Cell, step: Step, now: float) -> list[Worker]:
    """Return the workers reserved for a step whose tickets expire before it can use them."""
    claim = find_reservation(cell, step, now)
    if claim is None:
        return []
    advice = step.advice
    workers = (cell.workers.get(life) for life in claim.lives)
    reserved = [
        worker for worker in workers if worker is not None and step.key in worker.room_holds
    ]
    answer_at = now + MAX_ANSWER_TIME_FACTOR * estimate_answer_seconds(advice, len(reserved))
    return [
        worker
        for worker in reserved
        if worker.room_holds[step.key].needed_at <= answer_at
        and advice.valid_ticket(worker.life, answer_at) is None
    ]


def make_slot_counter(cell: Cell, step: Step, now: float) -> _SlotCounter:
    """Return a function that counts the tasks of a step that could start on a worker.

    They would start as soon as an answer about the worker arrives.
    """
    answer_at = now + shortest_answer_seconds(step.advice)
    caution = caution_for(cell, step, answer_at)
    may_use_reserved = _may_use_reserved_room(step)
    counts: dict[str, int] = {}

    def count(worker: Worker) -> int:
        # Each worker is counted several times while the workers to ask about are chosen.
        if worker.life not in counts:
            free = available_room(cell, step, worker, may_use_reserved)
            if step.is_bulky:
                free = free.plus(worker.preemptible_room)
            counts[worker.life] = count_startable(step, worker, free, caution, answer_at)
        return counts[worker.life]

    return count


def _may_use_reserved_room(step: Step) -> bool:
    """Check whether a step may soon use room that is only reserved for other steps.

    One that runs nothing may once it has been blocked for long; a long-running one by its rank.
    """
    if step.is_bulky:
        return step.blocked_since is not None
    return step.is_held_up


def _could_place(
    step: Step, workers: Iterable[Worker], count_slots: _SlotCounter, wanted: int
) -> bool:
    """Check whether workers can take a task of a step, or all tasks of a gang."""
    if not step.spec.gang:
        return any(count_slots(worker) for worker in workers)
    return sum(count_slots(worker) for worker in workers) >= wanted


def _choose_roomiest(
    step: Step, workers: list[Worker], count_slots: _SlotCounter, slots: int
) -> list[Worker]:
    """Return the workers that can take most tasks, until they offer ``slots`` slots.

    At least as many as are cheap to ask about are returned. The number is limited because each
    worker prolongs the request and tickets are valid for a short time only.
    """
    cheap = count_cheap_workers(step)
    chosen: list[Worker] = []
    for worker in sorted(workers, key=lambda each: -min(slots, count_slots(each))):
        if slots <= 0 and len(chosen) >= cheap:
            break
        chosen.append(worker)
        slots -= count_slots(worker)
    return chosen

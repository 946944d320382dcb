"""Advice from outside: which workers may run a step, and when it is worth asking."""

import math
from collections.abc import Iterable

from ..declarations import Size
from .candidates import count_fitting
from .cell import Cell
from .events import AdviceAnswered, AdviceFailed, AskAdvice
from .job_state import Advice, Step
from .orders import AdviceRequest
from .reservations import find_reservation, hold_room
from .timeouts import LONG_ADVICE_REQUEST_MS
from .workers import Worker

__all__ = [
    "apply_advice",
    "handle_advice_failure",
    "may_request_advice",
    "needs_advice",
    "request_advice",
]

_MAX_WORKERS_PER_REQUEST = 100
"""The most workers of one question; the service takes no more."""

_UNKNOWN_SLOTS_PER_TASK = 5
"""Seats that are asked about for each one wanted, of workers not known yet: as few as three in
ten are fit, and some rooms are taken meanwhile."""

_KNOWN_SLOTS_PER_TASK = 2
"""Seats that are asked about for each one wanted, of workers known to be fit."""

_CHEAP_TIME_SHARE = 0.5
"""As many workers are asked about at least as add so much to the time of a question."""

_MAX_ANSWER_TIME_FACTOR = 1.5
"""An answer may take so many times as long as told: some wait for one before them."""

_TICKET_MARGIN_SECONDS = 0.15
"""Tickets are taken to expire this much early: a start is recorded, sent and may wait for the
calls before it to the same worker."""

_ANSWER_SLACK_SECONDS = 0.1
"""How much longer than an answer takes room is kept for it: the way there and back, and a pass."""

_SHORT_REQUESTS_PER_NODE = 2
"""Short questions on their way for each node that can ask: one that is being answered and one
that waits. More would be answered in the order asked, whatever became more urgent meanwhile."""

_LONG_REQUESTS_PER_NODE = 0.75
"""Long questions on their way for each node that can ask: a few more than may be answered at the
same time, counted apart so that they never keep short ones from being asked."""

_BULKY_PARALLEL_REQUESTS = 4
"""Questions about a bulky step that go out together, to as many nodes: asked one after the other,
the first tickets expire before the last workers are known."""

_RETRY_SECONDS = 0.2
"""Pause after a question without an answer."""

_NO_CANDIDATE_RETRY_SECONDS = 0.1
"""Pause after a look at all workers that found none worth a question."""


def needs_advice(cell: Cell, step: Step) -> bool:
    """Whether a step's queue has its placements advised from outside."""
    terms = cell.queue_of(step.job).advice
    if terms is None:
        step.advice = None
        return False
    if step.advice is None:
        step.advice = Advice(terms)
    return True


def may_request_advice(cell: Cell, step: Step, fit: Iterable[Worker], now: float) -> bool:
    """Whether a question about a step could go out now.

    Parameters
    ----------
    cell
        The leader's state.
    step
        The step.
    fit
        Workers that may run it, as far as is known.
    now
        The steady clock, in seconds.
    """
    advice = step.advice
    if now < advice.retry_at:
        return False
    if now < advice.next_search_at and not _has_obtainable_room(step, fit):
        return False
    is_long = _may_be_long(advice)
    requests_per_node = _LONG_REQUESTS_PER_NODE if is_long else _SHORT_REQUESTS_PER_NODE
    pending = sum(each is is_long for each in cell.advice_requests.values())
    return pending < max(1, requests_per_node * cell.advice_node_count)


def request_advice(
    cell: Cell,
    step: Step,
    by_free_cpu: list[Worker],
    fit: list[Worker],
    wanted: int,
    now: float,
) -> int:
    """Ask about workers, where the answer could lead to a placement now.

    Parameters
    ----------
    cell
        The leader's state.
    step
        The step that found no room with the tickets at hand.
    roomiest
        The workers of its service that may take something, those with most room first.
    fit
        Those of them that may run it, as far as is known.
    wanted
        Tasks that are to be placed.
    now
        The steady clock, in seconds.

    Returns
    -------
    int
        How many workers were looked at.
    """
    advice = step.advice
    chosen, examined = _choose_workers_to_ask(cell, step, by_free_cpu, fit, wanted, now)
    if not chosen:
        advice.next_search_at = now + _NO_CANDIDATE_RETRY_SECONDS
        return examined
    parts = _split_into_requests(step, chosen)
    advice.pending_requests += len(parts)
    expected_s = _estimate_answer_seconds(advice, len(parts[0]))
    if not step.is_bulky:
        # Else whoever has a ticket goes first, not who ranks first: large steps have theirs renewed
        # in time, and a small one that ranked higher was passed by four of them in 20 s.
        known = [worker for worker in chosen if worker.life in advice.tickets]
        hold_s = _MAX_ANSWER_TIME_FACTOR * expected_s + _ANSWER_SLACK_SECONDS
        hold_room(cell, step, known, wanted, now, hold_s)
    for part in parts:
        request = AdviceRequest(*step.key, tuple(worker.life for worker in part))
        cell.advice_requests[request] = _may_be_long(advice)
        cell.emit(AskAdvice(request, expected_s * 1000))
    return examined


def _split_into_requests(step: Step, chosen: list[Worker]) -> list[list[Worker]]:
    """Give the workers of each of the questions that go out at the same time."""
    max_workers = min(_MAX_WORKERS_PER_REQUEST, max(1, _count_cheap_workers(step)))
    count = min(_max_parallel_requests(step), math.ceil(len(chosen) / max_workers))
    size = min(_MAX_WORKERS_PER_REQUEST, math.ceil(len(chosen) / count))
    return [chosen[at : at + size] for at in range(0, min(len(chosen), count * size), size)]


def _max_parallel_requests(step: Step) -> int:
    return _BULKY_PARALLEL_REQUESTS if step.is_bulky else 1


def _choose_workers_to_ask(
    cell: Cell,
    step: Step,
    by_free_cpu: list[Worker],
    fit: list[Worker],
    wanted: int,
    now: float,
) -> tuple[list[Worker], int]:
    """Choose the workers to ask about; none where no answer could help yet.

    Gives also how many workers were looked at: a question takes the first that have room, since
    looking at all 270 for each of 150 steps took longer than tickets hold.
    """
    advice = step.advice
    room = step.spec.room
    known = [
        worker
        for worker in fit
        if advice.valid_ticket(worker.life, now) is None
        and _obtainable_room(step, worker).holds(room)
    ]
    examined = len(fit)
    chosen = _choose_roomiest(step, known, wanted * _KNOWN_SLOTS_PER_TASK) if known else []
    if not _could_place(step, chosen, wanted):
        unknown, unknown_examined = _find_unknown_workers(
            step, by_free_cpu, wanted * _UNKNOWN_SLOTS_PER_TASK
        )
        examined += unknown_examined
        if not unknown and not _could_place(step, known, wanted):
            chosen = []
        chosen = chosen + unknown
    if not chosen:
        chosen = _find_reserved_workers_due(cell, step, now)
        examined += len(chosen)
    # Which workers are fit never changes: those without room now are cheap to learn of as well.
    asked = {worker.life for worker in chosen}
    spare = _count_cheap_workers(step) * _max_parallel_requests(step) - len(chosen)
    for worker in by_free_cpu:
        if spare <= 0:
            break
        examined += 1
        if not advice.is_known(worker.life) and worker.life not in asked:
            chosen.append(worker)
            spare -= 1
    return chosen, examined


def _find_unknown_workers(
    step: Step, by_free_cpu: list[Worker], slots: int
) -> tuple[list[Worker], int]:
    """Give workers with room of which it is not known whether they may run a step.

    As many as have so many seats, or as are cheap to ask; gives also how many were looked at.
    """
    room = step.spec.room
    cheap = _count_cheap_workers(step)
    found: list[Worker] = []
    examined = 0
    for worker in by_free_cpu:
        if slots <= 0 and len(found) >= cheap:
            break
        if not step.is_bulky and worker.free.cpu < room.cpu:
            # The others have even less.
            break
        examined += 1
        if step.advice.is_known(worker.life) or not _obtainable_room(step, worker).holds(room):
            continue
        found.append(worker)
        slots -= _count_slots(step, worker, slots)
    return found, examined


def _find_reserved_workers_due(cell: Cell, step: Step, now: float) -> list[Worker]:
    """Give the workers reserved for a step whose tickets are to be renewed in time for it."""
    claim = find_reservation(cell, step, now)
    if claim is None:
        return []
    advice = step.advice
    workers = (cell.workers.get(life) for life in claim.lives)
    held = [worker for worker in workers if worker is not None and step.key in worker.room_holds]
    answer_at = now + _MAX_ANSWER_TIME_FACTOR * _estimate_answer_seconds(advice, len(held))
    return [
        worker
        for worker in held
        if worker.room_holds[step.key].needed_at <= answer_at
        and advice.valid_ticket(worker.life, answer_at) is None
    ]


def _estimate_answer_seconds(advice: Advice, workers: int) -> float:
    return (advice.terms.decide_ms + advice.terms.each_ms * workers) / 1000


def _may_be_long(advice: Advice) -> bool:
    """Whether a question about as many workers as one may name would be a long one."""
    return (
        advice.terms.decide_ms + advice.terms.each_ms * _MAX_WORKERS_PER_REQUEST
        > LONG_ADVICE_REQUEST_MS
    )


def _count_slots(step: Step, worker: Worker, wanted: int) -> int:
    """Count the tasks of a step that a worker's free room holds, up to so many."""
    return min(wanted, count_fitting(_obtainable_room(step, worker), step.spec.room))


def _obtainable_room(step: Step, worker: Worker) -> Size:
    """Give the room that a step may find there.

    What only reservations keep out may be let in to reserved room, and needs tickets then. For a
    bulky one, runs that yield are stopped, too.
    """
    if not step.is_bulky:
        return worker.unreserved_room(step.key)
    if step.blocked_since is not None:
        return worker.unreserved_room(step.key).plus(worker.preemptible_room)
    return worker.free_for(step.key, step.rank).plus(worker.preemptible_room)


def _has_obtainable_room(step: Step, fit: Iterable[Worker]) -> bool:
    return any(_obtainable_room(step, worker).holds(step.spec.room) for worker in fit)


def _could_place(step: Step, workers: list[Worker], wanted: int) -> bool:
    needed = wanted if step.spec.gang else 1
    return sum(_count_slots(step, worker, wanted) for worker in workers) >= needed


def _choose_roomiest(step: Step, workers: list[Worker], slots: int) -> list[Worker]:
    """Give the workers with most room, as many as have so many seats, or as are cheap to ask.

    Each one asked about takes the service time, and its tickets hold for a short time only.
    """
    cheap = _count_cheap_workers(step)
    chosen: list[Worker] = []
    for worker in sorted(workers, key=lambda each: -_count_slots(step, each, slots)):
        if slots <= 0 and len(chosen) >= cheap:
            break
        chosen.append(worker)
        slots -= _count_slots(step, worker, slots)
    return chosen


def _count_cheap_workers(step: Step) -> int:
    """Give how many workers add little to the time of a question that is asked anyway."""
    terms = step.advice.terms
    if not terms.each_ms:
        return _MAX_WORKERS_PER_REQUEST
    return min(_MAX_WORKERS_PER_REQUEST, int(_CHEAP_TIME_SHARE * terms.decide_ms / terms.each_ms))


def apply_advice(cell: Cell, event: AdviceAnswered, now: float) -> None:
    """Take over the service's answer."""
    request = event.result.request
    cell.advice_requests.pop(request, None)
    step = _find_step(cell, request)
    if step is None or step.advice is None:
        return
    advice = step.advice
    _decrement_pending(advice)
    step.next_search_at = 0.0
    step.has_new_advice = True
    expires = now + advice.terms.valid_ms / 1000 - _TICKET_MARGIN_SECONDS
    for life in request.workers:
        ticket = event.result.tickets.get(life)
        if ticket is None:
            advice.unfit.add(life)
            advice.tickets.pop(life, None)
        else:
            advice.tickets[life] = (ticket, expires)
    cell.log_decision(
        "advised",
        request.job,
        step=request.step,
        asked=len(request.workers),
        fit=len(event.result.tickets),
    )
    cell.needs_placement = True


def handle_advice_failure(cell: Cell, event: AdviceFailed, now: float) -> None:
    """Ask again a little later."""
    cell.advice_requests.pop(event.request, None)
    cell.needs_placement = True
    step = _find_step(cell, event.request)
    if step is None or step.advice is None:
        return
    _decrement_pending(step.advice)
    step.advice.retry_at = now + _RETRY_SECONDS
    cell.log_decision("advice_failed", event.request.job, step=event.request.step)


def _decrement_pending(advice: Advice) -> None:
    """Count a question as answered; one asked before the queue's terms changed counts no more."""
    advice.pending_requests = max(0, advice.pending_requests - 1)


def _find_step(cell: Cell, request: AdviceRequest) -> Step | None:
    job = cell.jobs.get(request.job)
    if job is None or request.repetition >= len(job.repetitions):
        return None
    return job.repetitions[request.repetition][request.step]

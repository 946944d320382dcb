"""Requests to the external advice service, which decides which workers may run a step."""

import collections
import math
from collections.abc import Callable, Iterable

from .candidates import (
    available_room,
    caution_for,
    count_startable,
    max_additional_tasks,
)
from .cell import Cell, PendingAdvice
from .events import AdviceAnswered, AdviceFailed, AskAdvice, DropAdvice
from .job_state import Advice, AskObstacle, Step
from .orders import AdviceRequest
from .reservations import find_reservation, hold_room
from .timeouts import LONG_ADVICE_REQUEST_MS
from .workers import Worker

__all__ = [
    "apply_advice",
    "count_free_requests",
    "describe_asking",
    "expire_requests",
    "find_advised_services",
    "find_ask_obstacle",
    "handle_advice_failure",
    "is_long_advice",
    "may_request_early_advice",
    "needs_advice",
    "request_advice",
    "request_early_advice",
    "shortest_answer_seconds",
    "ticket_lifetime_seconds",
]

_MAX_WORKERS_PER_REQUEST = 100
"""Maximum number of workers in one request, a limit of the service."""

_UNKNOWN_SLOTS_PER_TASK = 5
"""Slots on workers not asked about yet that are requested for each task: as few as three in
ten workers are fit, and some of the slots are taken before the answer."""

_KNOWN_SLOTS_PER_TASK = 2
"""Slots on workers known to be fit that are requested for each task."""

_CHEAP_TIME_SHARE = 0.5
"""Workers are added to a request as long as they extend it by at most this fraction of its fixed
duration."""

_MAX_ANSWER_TIME_FACTOR = 1.5
"""Assumed maximum ratio of an answer's actual to its expected duration: a request may be queued
behind another one."""

_TICKET_MARGIN_SECONDS = 0.15
"""Tickets are considered expired this much early, to cover the time to record and send a start,
including earlier calls to the same worker."""

_ANSWER_SLACK_SECONDS = 0.1
"""Time for which resources are held beyond an answer's duration: the network round trip and a
placement pass."""

_SHORT_REQUESTS_PER_NODE = 2
"""Maximum number of pending short requests for each node that can call the service: one in
progress and one queued. Further ones would be answered in the order of sending, even if others
became more urgent meanwhile."""

_LONG_REQUESTS_PER_NODE = 0.75
"""Maximum number of pending long requests for each node that can call the service, slightly more
than can be in progress. They are counted separately so that they never delay short requests."""

_RESERVED_SHARE = 0.5
"""Share of the pending requests that is reserved for the services of waiting steps, in equal parts:
otherwise a crowded service takes all of them, and steps of another one wait beside free room."""

_EARLY_REQUEST_SHARE = 0.5
"""Share of the pending requests up to which requests for steps that do not wait yet are sent. The
others are left to steps that wait."""

_LASTING_OBSTACLES = (
    AskObstacle.PAUSE,
    AskObstacle.QUOTA,
    AskObstacle.ROOM,
    AskObstacle.CLAIM,
    AskObstacle.WORKER,
)
"""No requests are reserved for a service whose waiting steps have these obstacles only: they could
not use them."""

_BULKY_PARALLEL_REQUESTS = 4
"""Maximum number of parallel requests for a bulky step. If they were sent one after the other, the
first tickets would expire before the last answer."""

_EXPIRY_FACTOR = 3.0
_EXPIRY_SECONDS = 0.5
"""A request without an answer no longer counts as pending after its expected duration multiplied by
the factor, plus the seconds: another node is asked after twice that duration, and answers by then.
Users allow three seconds beside free room."""

_RETRY_SECONDS = 0.2
"""Delay before the next request after a failed one."""

_NO_CANDIDATE_RETRY_SECONDS = 0.1
"""Delay before the next search after one that found no worker to ask about."""

_SlotCounter = Callable[[Worker], int]
"""(worker) -> number of tasks of a step that could start there."""


def needs_advice(cell: Cell, step: Step) -> bool:
    """Check whether a step's queue requires external advice for its placements."""
    terms = cell.queue_of(step.job).advice
    if terms is None:
        step.advice = None
        return False
    if step.advice is None:
        step.advice = Advice(terms)
    return True


def find_ask_obstacle(
    cell: Cell, step: Step, fit: Iterable[Worker], now: float
) -> AskObstacle | None:
    """Return why no request about a step may be sent now, or None if one may.

    Parameters
    ----------
    cell
        State of the leader.
    step
        The step.
    fit
        Workers that are known to be fit for the step.
    now
        Current time on the steady clock, in seconds.
    """
    advice = step.advice
    if advice.pending_requests:
        return AskObstacle.PENDING
    if now < advice.retry_at:
        return AskObstacle.RETRY
    if now < advice.next_search_at and not any(map(_make_slot_counter(cell, step, now), fit)):
        return AskObstacle.WORKER
    is_long = is_long_advice(advice)
    limit = _max_pending_requests(cell, is_long)
    pending = _count_pending_requests(cell, is_long)
    if pending.total() >= limit:
        return AskObstacle.LIMIT
    if advice.turn_at == now:
        return None
    if pending.total() + cell.reserved_requests[is_long] >= limit:
        return AskObstacle.SHARE
    others = cell.advised_services - {cell.queue_of(step.job).service}
    share = _RESERVED_SHARE * limit / (1 + len(others))
    reserved = sum(max(0, math.ceil(share) - pending[service]) for service in others)
    return None if pending.total() + min(reserved, limit - 1) < limit else AskObstacle.SHARE


def count_free_requests(cell: Cell, is_long: bool, share: float) -> int:
    """Return how many requests of a kind steps may send now in turn.

    Parameters
    ----------
    cell
        State of the leader.
    is_long
        The kind: long or short requests.
    share
        Share of the pending requests that steps in turn may use; they may always use one.
    """
    limit = math.ceil(_max_pending_requests(cell, is_long))
    pending = [each for each in cell.advice_requests.values() if each.is_long is is_long]
    in_turn = sum(each.is_in_turn for each in pending)
    return max(0, min(limit - len(pending), math.ceil(share * limit) - in_turn))


def describe_asking(cell: Cell, step: Step, now: float) -> dict[str, object]:
    """Return log fields on the requests for a waiting step, and on what holds up the next one.

    Seconds are counted from when the step was enqueued if it was not searched or asked about since.
    """
    fields = {
        "searched_s": now - max(step.last_search_at, step.queued_at),
        "obstacle": step.ask_obstacle.value if step.ask_obstacle else "",
    }
    advice = step.advice
    if advice is None:
        return {"asking": 0, **fields}
    return {
        "asking": advice.pending_requests,
        "asked_s": now - max(advice.asked_at, step.queued_at),
        **fields,
        "pending": _count_pending_requests(cell, is_long_advice(advice)).total(),
        "limit": _max_pending_requests(cell, is_long_advice(advice)),
        "nodes": cell.advice_node_count,
    }


def may_request_early_advice(cell: Cell, step: Step, now: float) -> bool:
    """Check whether a request may be sent now for a step that does not wait yet."""
    advice = step.advice
    if advice.pending_requests or now < max(advice.retry_at, advice.next_search_at):
        return False
    is_long = is_long_advice(advice)
    limit = math.ceil(_max_pending_requests(cell, is_long))
    pending = _count_pending_requests(cell, is_long).total()
    return pending + 1 <= _EARLY_REQUEST_SHARE * limit


def _max_pending_requests(cell: Cell, is_long: bool) -> float:
    """Return the maximum number of pending requests of a kind, long or short."""
    requests_per_node = _LONG_REQUESTS_PER_NODE if is_long else _SHORT_REQUESTS_PER_NODE
    return max(1, requests_per_node * cell.advice_node_count)


def _count_pending_requests(cell: Cell, is_long: bool) -> collections.Counter[str]:
    """Count the pending requests of a kind, long or short, by service."""
    return collections.Counter(
        each.service for each in cell.advice_requests.values() if each.is_long is is_long
    )


def find_advised_services(cell: Cell) -> frozenset[str]:
    """Return the services of the waiting steps that may request advice soon."""
    queues = (
        cell.queue_of(step.job)
        for step in cell.waiting_steps.values()
        if step.ask_obstacle not in _LASTING_OBSTACLES
    )
    return frozenset(queue.service for queue in queues if queue.advice is not None)


def request_advice(
    cell: Cell,
    step: Step,
    by_free_cpu: list[Worker],
    fit: list[Worker],
    wanted: int,
    now: float,
) -> int:
    """Request advice about workers if the answer could lead to a placement.

    Parameters
    ----------
    cell
        State of the leader.
    step
        The step, which could not be placed with its valid tickets.
    by_free_cpu
        Open workers of the step's service, by descending free processors.
    fit
        Those of them that are known to be fit for the step.
    wanted
        Number of tasks to place.
    now
        Current time on the steady clock, in seconds.

    Returns
    -------
    int
        Number of workers examined.
    """
    advice = step.advice
    chosen, examined = _choose_workers_to_ask(cell, step, by_free_cpu, fit, wanted, now)
    if not chosen:
        step.ask_obstacle = AskObstacle.WORKER
        advice.next_search_at = now + _NO_CANDIDATE_RETRY_SECONDS
        return examined
    expected_s = _send_requests(cell, step, chosen)
    if not step.is_bulky:
        # Hold the resources until the answer. Otherwise lower-ranked steps that already have
        # tickets are placed first, such as bulky steps, whose tickets are renewed in advance.
        known = [worker for worker in chosen if worker.life in advice.tickets]
        hold_s = _MAX_ANSWER_TIME_FACTOR * expected_s + _ANSWER_SLACK_SECONDS
        hold_room(cell, step, known, wanted, now, hold_s)
    return examined


def request_early_advice(
    cell: Cell,
    step: Step,
    by_free_cpu: list[Worker],
    fit: list[Worker],
    wanted: int,
    now: float,
) -> None:
    """Request advice for a step that does not wait yet; the parameters are as in `request_advice`.

    No room is held for it, as work that is ready could use the room now.
    """
    chosen, _ = _choose_workers_to_ask(cell, step, by_free_cpu, fit, wanted, now)
    if chosen:
        _send_requests(cell, step, chosen)
    else:
        step.advice.next_search_at = now + _NO_CANDIDATE_RETRY_SECONDS


def shortest_answer_seconds(advice: Advice) -> float:
    """Return the expected time until an answer about a single worker."""
    return _estimate_answer_seconds(advice, 1)


def ticket_lifetime_seconds(advice: Advice) -> float:
    """Return the shortest time from a request until its tickets expire."""
    return (
        _estimate_answer_seconds(advice, 0) + advice.terms.valid_ms / 1000 - _TICKET_MARGIN_SECONDS
    )


def _send_requests(cell: Cell, step: Step, chosen: list[Worker]) -> float:
    """Send requests about workers, and return the expected time until their answers, in seconds."""
    advice = step.advice
    parts = _split_into_requests(step, chosen)
    advice.asked_at = cell.now
    expected_s = _estimate_answer_seconds(advice, len(parts[0]))
    expires_at = cell.now + _EXPIRY_FACTOR * expected_s + _EXPIRY_SECONDS
    service = cell.queue_of(step.job).service
    is_long = is_long_advice(advice)
    is_in_turn = advice.turn_at == cell.now
    if is_in_turn and cell.reserved_requests[is_long]:
        cell.reserved_requests[is_long] -= 1
    for part in parts:
        request = AdviceRequest(*step.key, tuple(worker.life for worker in part))
        advice.pending.add(request)
        pending = PendingAdvice(service, is_long, expires_at, is_in_turn)
        cell.advice_requests[request] = pending
        cell.emit(AskAdvice(request, expected_s * 1000))
    return expected_s


def _split_into_requests(step: Step, chosen: list[Worker]) -> list[list[Worker]]:
    """Split workers into the requests that are sent in parallel."""
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
    """Return the workers to ask about, or none if no answer could help yet.

    Also return the number of workers examined. The search ends with the first workers that have
    enough free room: examining all workers for every step can take longer than tickets are
    valid.
    """
    advice = step.advice
    count_slots = _make_slot_counter(cell, step, now)
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
    spare = _count_cheap_workers(step) * _max_parallel_requests(step) - len(chosen)
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
    cheap = _count_cheap_workers(step)
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
    answer_at = now + _MAX_ANSWER_TIME_FACTOR * _estimate_answer_seconds(advice, len(reserved))
    return [
        worker
        for worker in reserved
        if worker.room_holds[step.key].needed_at <= answer_at
        and advice.valid_ticket(worker.life, answer_at) is None
    ]


def _estimate_answer_seconds(advice: Advice, workers: int) -> float:
    return (advice.terms.decide_ms + advice.terms.each_ms * workers) / 1000


def is_long_advice(advice: Advice) -> bool:
    """Check whether a request about the maximum number of workers would be a long one."""
    return (
        advice.terms.decide_ms + advice.terms.each_ms * _MAX_WORKERS_PER_REQUEST
        > LONG_ADVICE_REQUEST_MS
    )


def _make_slot_counter(cell: Cell, step: Step, now: float) -> _SlotCounter:
    """Return a function that counts the tasks of a step that could start on a worker.

    They would start as soon as an answer about the worker arrives.
    """
    answer_at = now + _estimate_answer_seconds(step.advice, 1)
    caution = caution_for(cell, step, answer_at)
    may_use_reserved = _may_use_reserved_room(step)

    def count(worker: Worker) -> int:
        free = available_room(cell, step, worker, may_use_reserved)
        if step.is_bulky:
            free = free.plus(worker.preemptible_room)
        return count_startable(step, worker, free, caution, answer_at)

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
    cheap = _count_cheap_workers(step)
    chosen: list[Worker] = []
    counts = {worker.life: min(slots, count_slots(worker)) for worker in workers}
    for worker in sorted(workers, key=lambda each: -counts[each.life]):
        if slots <= 0 and len(chosen) >= cheap:
            break
        chosen.append(worker)
        slots -= counts[worker.life]
    return chosen


def _count_cheap_workers(step: Step) -> int:
    """Return the number of workers that extend a request's duration only a little."""
    terms = step.advice.terms
    if not terms.each_ms:
        return _MAX_WORKERS_PER_REQUEST
    return min(_MAX_WORKERS_PER_REQUEST, int(_CHEAP_TIME_SHARE * terms.decide_ms / terms.each_ms))


def apply_advice(cell: Cell, event: AdviceAnswered, now: float) -> None:
    """Apply an answer of the advice service to its step."""
    request = event.result.request
    cell.advice_requests.pop(request, None)
    step = _find_step(cell, request)
    if step is None or step.advice is None:
        return
    advice = step.advice
    advice.pending.discard(request)
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
    """Handle a failed advice request; it is repeated after a delay."""
    if cell.advice_requests.pop(event.request, None) is None:
        return
    cell.needs_placement = True
    step = _find_step(cell, event.request)
    if step is None or step.advice is None:
        return
    step.advice.pending.discard(event.request)
    step.advice.retry_at = now + _RETRY_SECONDS
    cell.log_decision("advice_failed", event.request.job, step=event.request.step)


def expire_requests(cell: Cell, now: float) -> None:
    """Stop counting requests as pending that should have been answered long ago.

    Their steps may request advice again. An answer that comes nevertheless is applied.
    """
    expired = [
        request for request, pending in cell.advice_requests.items() if pending.expires_at <= now
    ]
    for request in expired:
        del cell.advice_requests[request]
        cell.emit(DropAdvice(request))
        step = _find_step(cell, request)
        if step is not None and step.advice is not None:
            step.advice.pending.discard(request)
        cell.log_decision("advice_expired", request.job, step=request.step)
        cell.needs_placement = True


def _find_step(cell: Cell, request: AdviceRequest) -> Step | None:
    job = cell.jobs.get(request.job)
    if job is None or request.repetition >= len(job.repetitions):
        return None
    steps = job.repetitions[request.repetition]
    # A finished repetition may have dropped its steps.
    return steps[request.step] if request.step < len(steps) else None

"""Requests to the external advice service, which decides which workers may run a step."""

import math

from .advice_choice import (
    MAX_ANSWER_TIME_FACTOR,
    MAX_WORKERS_PER_REQUEST,
    choose_workers_to_ask,
    count_cheap_workers,
    estimate_answer_seconds,
    max_parallel_requests,
)
from .advice_limits import is_long_advice
from .cell import Cell, PendingAdvice
from .events import AdviceAnswered, AdviceFailed, AskAdvice, DropAdvice
from .job_state import Advice, AskObstacle, Step
from .orders import AdviceRequest
from .reservations import hold_room
from .workers import Worker

__all__ = [
    "apply_advice",
    "expire_requests",
    "handle_advice_failure",
    "needs_advice",
    "request_advice",
    "request_early_advice",
    "ticket_lifetime_seconds",
]

_TICKET_MARGIN_SECONDS = 0.15
"""Tickets are considered expired this much early, to cover the time to record and send a start,
including earlier calls to the same worker."""

_ANSWER_SLACK_SECONDS = 0.1
"""Time for which resources are held beyond an answer's duration: the network round trip and a
placement pass."""

_EXPIRY_FACTOR = 3.0
_EXPIRY_SECONDS = 0.5
"""A request without an answer no longer counts as pending after its expected duration multiplied by
the factor, plus the seconds: another node is asked after twice that duration, and answers by then.
Users allow three seconds beside free room."""

_RETRY_SECONDS = 0.2
"""Delay before the next request after a failed one."""

_NO_CANDIDATE_RETRY_SECONDS = 0.1
"""Delay before the next search after one that found no worker to ask about."""


def needs_advice(cell: Cell, step: Step) -> bool:
    """Check whether a step's queue requires external advice for its placements."""
    terms = cell.queue_of(step.job).advice
    if terms is None:
        step.advice = None
        return False
    if step.advice is None:
        step.advice = Advice(terms)
    return True


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
    chosen, examined = choose_workers_to_ask(cell, step, by_free_cpu, fit, wanted, now)
    if not chosen:
        step.ask_obstacle = AskObstacle.WORKER
        advice.fruitless_at = now
        advice.next_search_at = now + _NO_CANDIDATE_RETRY_SECONDS
        return examined
    expected_s = _send_requests(cell, step, chosen)
    if not step.is_bulky:
        # Hold the resources until the answer. Otherwise lower-ranked steps that already have
        # tickets are placed first, such as bulky steps, whose tickets are renewed in advance.
        known = [worker for worker in chosen if worker.life in advice.tickets]
        hold_s = MAX_ANSWER_TIME_FACTOR * expected_s + _ANSWER_SLACK_SECONDS
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
    chosen, _ = choose_workers_to_ask(cell, step, by_free_cpu, fit, wanted, now)
    if chosen:
        _send_requests(cell, step, chosen)
    else:
        step.advice.next_search_at = now + _NO_CANDIDATE_RETRY_SECONDS


def ticket_lifetime_seconds(advice: Advice) -> float:
    """Return the shortest time from a request until its tickets expire."""
    return (
        estimate_answer_seconds(advice, 0) + advice.terms.valid_ms / 1000 - _TICKET_MARGIN_SECONDS
    )


def _send_requests(cell: Cell, step: Step, chosen: list[Worker]) -> float:
    """Send requests about workers, and return the expected time until their answers, in seconds."""
    advice = step.advice
    parts = _split_into_requests(step, chosen)
    advice.asked_at = cell.now
    expected_s = estimate_answer_seconds(advice, len(parts[0]))
    expires_at = cell.now + _EXPIRY_FACTOR * expected_s + _EXPIRY_SECONDS
    service = cell.queue_of(step.job).service
    is_long = is_long_advice(advice)
    if not is_long:
        cell.last_short_request_at = cell.now
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
    max_workers = min(MAX_WORKERS_PER_REQUEST, max(1, count_cheap_workers(step)))
    count = min(max_parallel_requests(step), math.ceil(len(chosen) / max_workers))
    size = min(MAX_WORKERS_PER_REQUEST, math.ceil(len(chosen) / count))
    return [chosen[at : at + size] for at in range(0, min(len(chosen), count * size), size)]


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
    return cell.find_step((request.job, request.repetition, request.step))

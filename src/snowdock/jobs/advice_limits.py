"""Limits of the pending requests to the advice service, and which steps may send one."""

import collections
import math
from collections.abc import Iterable

from .advice_choice import MAX_WORKERS_PER_REQUEST, make_slot_counter
from .cell import Cell
from .job_state import Advice, AskObstacle, Step
from .timeouts import ADVICE_MIX_SECONDS, LONG_ADVICE_REQUEST_MS
from .workers import Worker

__all__ = [
    "count_free_requests",
    "describe_asking",
    "find_advised_services",
    "find_ask_obstacle",
    "is_long_advice",
    "may_request_early_advice",
]

_SHORT_REQUESTS_PER_NODE = 2
"""Maximum number of pending short requests for each node that can call the service: one in
progress and one queued. Further ones would be answered in the order of sending, even if others
became more urgent meanwhile."""

_LONG_REQUESTS_PER_NODE = 0.75
"""Maximum number of pending long requests for each node that can call the service, slightly more
than can be in progress beside short ones. They are counted separately so that they never delay
short requests."""

_ONLY_LONG_REQUESTS_PER_NODE = 1.25
"""The same while there are no short requests, so that all nodes are free for long ones."""

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


def is_long_advice(advice: Advice) -> bool:
    """Check whether a request about the maximum number of workers would be a long one."""
    return (
        advice.terms.decide_ms + advice.terms.each_ms * MAX_WORKERS_PER_REQUEST
        > LONG_ADVICE_REQUEST_MS
    )


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
    if now < advice.next_search_at and not any(map(make_slot_counter(cell, step, now), fit)):
        return AskObstacle.WORKER
    is_long = is_long_advice(advice)
    limit = _max_pending_requests(cell, is_long)
    pending = _count_pending_requests(cell, is_long)
    if pending.total() >= limit:
        return AskObstacle.LIMIT
    if advice.turn_at == now and cell.reserved_requests[is_long]:
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
    if not is_long:
        requests_per_node = _SHORT_REQUESTS_PER_NODE
    elif cell.now - cell.last_short_request_at > ADVICE_MIX_SECONDS:
        requests_per_node = _ONLY_LONG_REQUESTS_PER_NODE
    else:
        requests_per_node = _LONG_REQUESTS_PER_NODE
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

"""Turns of waiting steps to request advice, whatever their rank.

Where answers take long, few requests may be pending, and steps of higher rank could use all of
them. So some are left to the steps that have gone longest without one.
"""

import heapq
import math

from .advice_limits import count_free_requests, is_long_advice
from .cell import Cell
from .job_state import AskObstacle, Step
from .placement_advice import needs_advice

__all__ = ["begin_turns", "find_steps_in_turn"]

_TURN_SECONDS = 0.5
"""Time without a request after which it is a step's turn. Users allow three seconds beside free
room; an answer and the next free request take up to 0.8 s each."""

_FRUITLESS_SECONDS = 1.0
"""The additional time for a step whose last search found no worker to ask about: it would probably
find none again."""

_TURN_SHARE = 0.5
"""Share of the pending requests that steps in turn may use; the others are sent by rank."""

_STEPS_PER_REQUEST = 10
"""Steps whose turn it is for each request that they may send: some of them may find no worker to
ask about, and leave the request to the next one."""

_OBSTACLES = (None, AskObstacle.LIMIT, AskObstacle.SHARE)
"""Steps with another obstacle could not use a turn."""


def find_steps_in_turn(cell: Cell, now: float) -> list[Step]:
    """Return the steps whose turn it is to request advice, those longest without one first.

    They are more than may send a request now. Steps that run nothing come first, then long-running
    ones; no others have turns. Requests are kept for them until they are searched, after the steps
    that may be placed before them.
    """
    steps: list[Step] = []
    for is_long in (False, True):
        free = count_free_requests(cell, is_long, _TURN_SHARE)
        in_turn = _find_longest_without_request(cell, is_long, free, now) if free else []
        cell.reserved_requests[is_long] = min(free, len(in_turn))
        steps += in_turn
    return steps


def begin_turns(steps: list[Step], now: float) -> None:
    """Let steps use the requests that are kept for them, even if they were searched just before."""
    for step in steps:
        step.advice.turn_at = now
        step.next_search_at = now


def _find_longest_without_request(
    cell: Cell, is_long: bool, free_requests: int, now: float
) -> list[Step]:
    latest = now - _TURN_SECONDS
    waiting = [
        (_runs_something(step), since, number, step)
        for number, step in enumerate(cell.waiting_steps.values())
        if step.ask_obstacle in _OBSTACLES
        and (since := _last_request_at(cell, step)) <= latest
        and is_long_advice(step.advice) is is_long
        and max(step.not_before, step.next_search_at) <= now
        and step.is_held_up
    ]
    longest = heapq.nsmallest(free_requests * _STEPS_PER_REQUEST, waiting)
    return [step for *_, step in longest]


def _runs_something(step: Step) -> bool:
    return any(task.is_placed for task in step.tasks)


def _last_request_at(cell: Cell, step: Step) -> float:
    """Return when a step last could send a request, or infinity if it needs none now."""
    if not needs_advice(cell, step) or step.advice.pending_requests:
        return math.inf
    fruitless_until = step.advice.fruitless_at + _FRUITLESS_SECONDS
    return max(step.queued_at, step.advice.asked_at, fruitless_until)

"""Requests to the external advice service, which decides which workers may run a step."""

import math
from collections.abc import Iterable

from ..declarations import Size
from .cell import Cell
from .events import AdviceAnswered, AdviceFailed, AskAdvice
from .orders import AdviceWanted
from .parts import Advice, Step
from .reserving import find_reservation, keep_room
from .seats import fitting
from .times import LONG_QUESTION_MS
from .workers import Worker

__all__ = ["may_ask", "needs_advice", "take_advice", "take_advice_failure", "want_advice"]

_MOST_ASKED = 100
"""Maximum number of workers in one request, a limit of the service."""

_SEATS_FOR_ONE_FIT = 5
"""Slots on workers not asked about yet that are requested for each task. As few as 30 % of the
workers are fit, and some of the slots are taken before the answer."""

_SPARE_SEATS = 2
"""Slots on workers known to be fit that are requested for each task."""

_CHEAP_SHARE = 0.5
"""Workers are added to a request as long as they extend it by at most this fraction of its fixed
duration."""

_LATE_FACTOR = 1.5
"""Assumed maximum ratio of an answer's actual to its expected duration: a request may be queued
behind another one."""

_TICKET_MARGIN_SECONDS = 0.15
"""Tickets are considered expired this much early, to cover the time to record and send a start,
including earlier calls to the same worker."""

_ANSWER_SLACK_SECONDS = 0.1
"""Time for which resources are held beyond an answer's duration: the network round trip and a
placement pass."""

_QUESTIONS_A_NODE = 2
"""Maximum number of pending short requests for each node that can call the service: one in
progress and one queued. Further ones would be answered in the order of sending, even if others
became more urgent meanwhile."""

_LONG_QUESTIONS_A_NODE = 0.75
"""Maximum number of pending long requests for each node that can call the service, slightly more
than can be in progress. They are counted separately so that they never delay short requests."""

_QUESTIONS_AT_ONCE = 4
"""Maximum number of parallel requests for a bulky step. If they were sent one after the other, the
first tickets would expire before the last answer."""

_RETRY_SECONDS = 0.2
"""Delay before the next request after a failed one."""

_NO_ROOM_SECONDS = 0.1
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


def may_ask(cell: Cell, step: Step, fit: Iterable[Worker], now: float) -> bool:
    """Check whether a request about a step may be sent now.

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
    if now < advice.retry_at:
        return False
    if now < advice.no_room_until and not _sees_room(step, fit):
        return False
    is_long = _may_be_long(advice)
    most = _LONG_QUESTIONS_A_NODE if is_long else _QUESTIONS_A_NODE
    asked = sum(each is is_long for each in cell.questions.values())
    return asked < max(1, most * cell.askers)


def want_advice(
    cell: Cell,
    step: Step,
    roomiest: list[Worker],
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
    chosen, looks = _choose_asked(cell, step, roomiest, fit, wanted, now)
    if not chosen:
        advice.no_room_until = now + _NO_ROOM_SECONDS
        return looks
    parts = _divide(step, chosen)
    advice.asking += len(parts)
    expected_s = _question_seconds(advice, len(parts[0]))
    if not step.is_bulky:
        # Hold the resources until the answer. Otherwise lower-ranked steps that already have
        # tickets are placed first, such as bulky steps, whose tickets are renewed in advance.
        known = [worker for worker in chosen if worker.life in advice.tickets]
        kept_s = _LATE_FACTOR * expected_s + _ANSWER_SLACK_SECONDS
        keep_room(cell, step, known, wanted, now, kept_s)
    for part in parts:
        wanted_advice = AdviceWanted(*step.key, tuple(worker.life for worker in part))
        cell.questions[wanted_advice] = _may_be_long(advice)
        cell.emit(AskAdvice(wanted_advice, expected_s * 1000))
    return looks


def _divide(step: Step, chosen: list[Worker]) -> list[list[Worker]]:
    """Split workers into the requests that are sent in parallel."""
    most = min(_MOST_ASKED, max(1, _cheap_count(step)))
    count = min(_questions_at_once(step), math.ceil(len(chosen) / most))
    size = min(_MOST_ASKED, math.ceil(len(chosen) / count))
    return [chosen[at : at + size] for at in range(0, min(len(chosen), count * size), size)]


def _questions_at_once(step: Step) -> int:
    return _QUESTIONS_AT_ONCE if step.is_bulky else 1


def _choose_asked(
    cell: Cell,
    step: Step,
    roomiest: list[Worker],
    fit: list[Worker],
    wanted: int,
    now: float,
) -> tuple[list[Worker], int]:
    """Return the workers to ask about, or none if no answer could help yet.

    Also return the number of workers examined. The search ends with the first workers that have
    enough free resources: examining all workers for every step can take longer than tickets are
    valid.
    """
    advice = step.advice
    room = step.spec.room
    known = [
        worker
        for worker in fit
        if advice.valid_ticket(worker.life, now) is None and _reachable(step, worker).holds(room)
    ]
    looks = len(fit)
    chosen = _roomiest(step, known, wanted * _SPARE_SEATS) if known else []
    if not _could_place(step, chosen, wanted):
        unknown, looked = _roomy_strangers(step, roomiest, wanted * _SEATS_FOR_ONE_FIT)
        looks += looked
        if not unknown and not _could_place(step, known, wanted):
            chosen = []
        chosen = chosen + unknown
    if not chosen:
        chosen = _reserved_soon(cell, step, now)
        looks += len(chosen)
    # Fitness never changes, so also ask about workers without free resources while that is cheap.
    asked = {worker.life for worker in chosen}
    most = _cheap_count(step) * _questions_at_once(step) - len(chosen)
    for worker in roomiest:
        if most <= 0:
            break
        looks += 1
        if not advice.knows(worker.life) and worker.life not in asked:
            chosen.append(worker)
            most -= 1
    return chosen, looks


def _roomy_strangers(step: Step, roomiest: list[Worker], seats: int) -> tuple[list[Worker], int]:
    """Return workers with free resources whose fitness for a step is unknown.

    They offer at least ``slots`` slots, if possible, and are at least as many as are cheap to ask
    about. Also return the number of workers examined.
    """
    room = step.spec.room
    cheap = _cheap_count(step)
    found: list[Worker] = []
    looks = 0
    for worker in roomiest:
        if seats <= 0 and len(found) >= cheap:
            break
        if not step.is_bulky and worker.free.cpu < room.cpu:
            # The remaining workers have even fewer free processors.
            break
        looks += 1
        if step.advice.knows(worker.life) or not _reachable(step, worker).holds(room):
            continue
        found.append(worker)
        seats -= _seats(step, worker, seats)
    return found, looks


def _reserved_soon(cell: Cell, step: Step, now: float) -> list[Worker]:
    """Return the workers reserved for a step whose tickets expire before it can use them."""
    claim = find_reservation(cell, step, now)
    if claim is None:
        return []
    advice = step.advice
    workers = (cell.workers.get(life) for life in claim.lives)
    held = [worker for worker in workers if worker is not None and step.key in worker.claims]
    answer_at = now + _LATE_FACTOR * _question_seconds(advice, len(held))
    return [
        worker
        for worker in held
        if worker.claims[step.key].due <= answer_at
        and advice.valid_ticket(worker.life, answer_at) is None
    ]


def _question_seconds(advice: Advice, workers: int) -> float:
    return (advice.terms.decide_ms + advice.terms.each_ms * workers) / 1000


def _may_be_long(advice: Advice) -> bool:
    """Check whether a request about the maximum number of workers would be a long one."""
    return advice.terms.decide_ms + advice.terms.each_ms * _MOST_ASKED > LONG_QUESTION_MS


def _seats(step: Step, worker: Worker, wanted: int) -> int:
    """Return the number of tasks of a step that fit on a worker, at most ``wanted``."""
    return min(wanted, fitting(_reachable(step, worker), step.spec.room))


def _reachable(step: Step, worker: Worker) -> Size:
    """Return the resources of a worker that a step may be able to use.

    They include those that are only reserved for other steps if the step is small or blocked, and
    those of preemptible runs if the step is bulky.
    """
    if not step.is_bulky:
        return worker.unclaimed(step.key)
    if step.kept_since is not None:
        return worker.unclaimed(step.key).plus(worker.yieldable)
    return worker.free_for(step.key, step.rank).plus(worker.yieldable)


def _sees_room(step: Step, fit: Iterable[Worker]) -> bool:
    return any(_reachable(step, worker).holds(step.spec.room) for worker in fit)


def _could_place(step: Step, workers: list[Worker], wanted: int) -> bool:
    needed = wanted if step.spec.gang else 1
    return sum(_seats(step, worker, wanted) for worker in workers) >= needed


def _roomiest(step: Step, workers: list[Worker], seats: int) -> list[Worker]:
    """Return the workers that can take most tasks, until they offer ``slots`` slots.

    At least as many as are cheap to ask about are returned. The number is limited because each
    worker prolongs the request and tickets are valid for a short time only.
    """
    cheap = _cheap_count(step)
    chosen: list[Worker] = []
    for worker in sorted(workers, key=lambda each: -_seats(step, each, seats)):
        if seats <= 0 and len(chosen) >= cheap:
            break
        chosen.append(worker)
        seats -= _seats(step, worker, seats)
    return chosen


def _cheap_count(step: Step) -> int:
    """Return the number of workers that extend a request's duration only a little."""
    terms = step.advice.terms
    if not terms.each_ms:
        return _MOST_ASKED
    return min(_MOST_ASKED, int(_CHEAP_SHARE * terms.decide_ms / terms.each_ms))


def take_advice(cell: Cell, event: AdviceAnswered, now: float) -> None:
    """Apply an answer of the advice service to its step."""
    wanted = event.given.wanted
    cell.questions.pop(wanted, None)
    step = _find_step(cell, wanted)
    if step is None or step.advice is None:
        return
    advice = step.advice
    _note_answered(advice)
    step.look_again_at = 0.0
    step.has_news = True
    expires = now + advice.terms.valid_ms / 1000 - _TICKET_MARGIN_SECONDS
    for life in wanted.workers:
        ticket = event.given.tickets.get(life)
        if ticket is None:
            advice.unfit.add(life)
            advice.tickets.pop(life, None)
        else:
            advice.tickets[life] = (ticket, expires)
    cell.tell(
        "advised",
        wanted.job,
        step=wanted.step,
        asked=len(wanted.workers),
        fit=len(event.given.tickets),
    )
    cell.placing_wanted = True


def take_advice_failure(cell: Cell, event: AdviceFailed, now: float) -> None:
    """Handle a failed advice request; it is repeated after a delay."""
    cell.questions.pop(event.wanted, None)
    cell.placing_wanted = True
    step = _find_step(cell, event.wanted)
    if step is None or step.advice is None:
        return
    _note_answered(step.advice)
    step.advice.retry_at = now + _RETRY_SECONDS
    cell.tell("advice_failed", event.wanted.job, step=event.wanted.step)


def _note_answered(advice: Advice) -> None:
    """Decrement the pending requests; those sent before the queue's terms changed don't count."""
    advice.asking = max(0, advice.asking - 1)


def _find_step(cell: Cell, wanted: AdviceWanted) -> Step | None:
    job = cell.jobs.get(wanted.job)
    if job is None or wanted.repetition >= len(job.repetitions):
        return None
    return job.repetitions[wanted.repetition][wanted.step]

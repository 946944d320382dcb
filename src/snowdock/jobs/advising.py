"""Advice from outside: which workers may run a step, and when it is worth asking."""

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
"""The most workers of one question; the service takes no more."""

_SEATS_FOR_ONE_FIT = 5
"""Seats that are asked about for each one wanted, of workers not known yet: as few as three in
ten are fit, and some rooms are taken meanwhile."""

_SPARE_SEATS = 2
"""Seats that are asked about for each one wanted, of workers known to be fit."""

_CHEAP_SHARE = 0.5
"""As many workers are asked about at least as add so much to the time of a question."""

_LATE_FACTOR = 1.5
"""An answer may take so many times as long as told: some wait for one before them."""

_TICKET_MARGIN_SECONDS = 0.15
"""Tickets are taken to expire this much early: a start is recorded, sent and may wait for the
calls before it to the same worker."""

_ANSWER_SLACK_SECONDS = 0.1
"""How much longer than an answer takes room is kept for it: the way there and back, and a pass."""

_QUESTIONS_A_NODE = 2
"""Short questions on their way for each node that can ask: one that is being answered and one
that waits. More would be answered in the order asked, whatever became more urgent meanwhile."""

_LONG_QUESTIONS_A_NODE = 0.75
"""Long questions on their way for each node that can ask: a few more than may be answered at the
same time, counted apart so that they never keep short ones from being asked."""

_QUESTIONS_AT_ONCE = 4
"""Questions about a bulky step that go out together, to as many nodes: asked one after the other,
the first tickets expire before the last workers are known."""

_RETRY_SECONDS = 0.2
"""Pause after a question without an answer."""

_NO_ROOM_SECONDS = 0.1
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


def may_ask(cell: Cell, step: Step, fit: Iterable[Worker], now: float) -> bool:
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
    chosen, looks = _choose_asked(cell, step, roomiest, fit, wanted, now)
    if not chosen:
        advice.no_room_until = now + _NO_ROOM_SECONDS
        return looks
    parts = _divide(step, chosen)
    advice.asking += len(parts)
    expected_s = _question_seconds(advice, len(parts[0]))
    if not step.is_bulky:
        # Else whoever has a ticket goes first, not who ranks first: large steps have theirs renewed
        # in time, and a small one that ranked higher was passed by four of them in 20 s.
        known = [worker for worker in chosen if worker.life in advice.tickets]
        kept_s = _LATE_FACTOR * expected_s + _ANSWER_SLACK_SECONDS
        keep_room(cell, step, known, wanted, now, kept_s)
    for part in parts:
        wanted_advice = AdviceWanted(*step.key, tuple(worker.life for worker in part))
        cell.questions[wanted_advice] = _may_be_long(advice)
        cell.emit(AskAdvice(wanted_advice, expected_s * 1000))
    return looks


def _divide(step: Step, chosen: list[Worker]) -> list[list[Worker]]:
    """Give the workers of each of the questions that go out at the same time."""
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
    """Choose the workers to ask about; none where no answer could help yet.

    Gives also how many workers were looked at: a question takes the first that have room, since
    looking at all 270 for each of 150 steps took longer than tickets hold.
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
    # Which workers are fit never changes: those without room now are cheap to learn of as well.
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
    """Give workers with room of which it is not known whether they may run a step.

    As many as have so many seats, or as are cheap to ask; gives also how many were looked at.
    """
    room = step.spec.room
    cheap = _cheap_count(step)
    found: list[Worker] = []
    looks = 0
    for worker in roomiest:
        if seats <= 0 and len(found) >= cheap:
            break
        if not step.is_bulky and worker.free.cpu < room.cpu:
            # The others have even less.
            break
        looks += 1
        if step.advice.knows(worker.life) or not _reachable(step, worker).holds(room):
            continue
        found.append(worker)
        seats -= _seats(step, worker, seats)
    return found, looks


def _reserved_soon(cell: Cell, step: Step, now: float) -> list[Worker]:
    """Give the workers reserved for a step whose tickets are to be renewed in time for it."""
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
    """Whether a question about as many workers as one may name would be a long one."""
    return advice.terms.decide_ms + advice.terms.each_ms * _MOST_ASKED > LONG_QUESTION_MS


def _seats(step: Step, worker: Worker, wanted: int) -> int:
    """Count the tasks of a step that a worker's free room holds, up to so many."""
    return min(wanted, fitting(_reachable(step, worker), step.spec.room))


def _reachable(step: Step, worker: Worker) -> Size:
    """Give the room that a step may find there.

    What only reservations keep out may be let in to reserved room, and needs tickets then. For a
    bulky one, runs that yield are stopped, too.
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
    """Give the workers with most room, as many as have so many seats, or as are cheap to ask.

    Each one asked about takes the service time, and its tickets hold for a short time only.
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
    """Give how many workers add little to the time of a question that is asked anyway."""
    terms = step.advice.terms
    if not terms.each_ms:
        return _MOST_ASKED
    return min(_MOST_ASKED, int(_CHEAP_SHARE * terms.decide_ms / terms.each_ms))


def take_advice(cell: Cell, event: AdviceAnswered, now: float) -> None:
    """Take over the service's answer."""
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
    """Ask again a little later."""
    cell.questions.pop(event.wanted, None)
    cell.placing_wanted = True
    step = _find_step(cell, event.wanted)
    if step is None or step.advice is None:
        return
    _note_answered(step.advice)
    step.advice.retry_at = now + _RETRY_SECONDS
    cell.tell("advice_failed", event.wanted.job, step=event.wanted.step)


def _note_answered(advice: Advice) -> None:
    """Count a question as answered; one asked before the queue's terms changed counts no more."""
    advice.asking = max(0, advice.asking - 1)


def _find_step(cell: Cell, wanted: AdviceWanted) -> Step | None:
    job = cell.jobs.get(wanted.job)
    if job is None or wanted.repetition >= len(job.repetitions):
        return None
    return job.repetitions[wanted.repetition][wanted.step]

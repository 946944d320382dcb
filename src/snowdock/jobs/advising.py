"""Advice from outside: which workers may run a step, and when it is worth asking."""

from .cell import Advice, Cell, Step
from .events import AdviceAnswered, AdviceFailed, AskAdvice
from .orders import AdviceWanted
from .workers import Worker

__all__ = ["needs_advice", "take_advice", "take_advice_failure", "ticket_holds", "want_advice"]

_MOST_ASKED = 100
"""The most workers of one question; the service takes no more."""

_SEATS_FOR_ONE_FIT = 5
"""Seats that are asked about for each one wanted, of workers not known yet: as few as three in
ten are fit, and some rooms are taken meanwhile."""

_SPARE_SEATS = 2
"""Seats that are asked about for each one wanted, of workers known to be fit."""

_CHEAP_SHARE = 0.5
"""As many workers are asked about at least as add so much to the time of a question."""

_TICKET_MARGIN_SECONDS = 0.15
"""Tickets are taken to expire this much early: a start is recorded, sent and may wait for the
calls before it to the same worker."""

_QUESTIONS_A_NODE = 2
"""Questions on their way for each node that can ask: one that is being answered and one that
waits. More would be answered in the order asked, whatever became more urgent meanwhile."""

_RETRY_SECONDS = 0.2
"""Pause after a question without an answer."""


def needs_advice(cell: Cell, step: Step) -> bool:
    """Whether a step's queue has its placements advised from outside."""
    terms = cell.queue_of(step.job).advice
    if terms is None:
        step.advice = None
        return False
    if step.advice is None:
        step.advice = Advice(terms)
    return True


def ticket_holds(step: Step, worker: Worker, now: float) -> bool:
    """Whether a start on a worker now would carry a ticket that holds."""
    return step.advice.valid_ticket(worker.life, now) is not None


def want_advice(
    cell: Cell,
    step: Step,
    candidates: list[Worker],
    wanted: int,
    now: float,
) -> None:
    """Ask about workers, where the answer could lead to a placement now.

    Parameters
    ----------
    cell
        The leader's state.
    step
        The step that found no room with the tickets at hand.
    candidates
        Workers that may be fit and have no valid ticket.
    wanted
        Tasks that are to be placed.
    now
        The steady clock, in seconds.
    """
    advice = step.advice
    if now < advice.retry_at or cell.questions >= _QUESTIONS_A_NODE * cell.askers:
        return
    roomy = [worker for worker in candidates if worker.free.holds(step.spec.room)]
    unknown = [worker for worker in roomy if not advice.knows(worker.life)]
    known = [worker for worker in roomy if advice.knows(worker.life)]
    if not unknown and not _could_place(step, known, wanted):
        return
    asked = _roomiest(step, known, wanted * _SPARE_SEATS) if known else []
    if not _could_place(step, asked, wanted):
        asked += _roomiest(step, unknown, wanted * _SEATS_FOR_ONE_FIT)
    lives = tuple(worker.life for worker in asked[:_MOST_ASKED])
    advice.asking = True
    cell.questions += 1
    expected_ms = advice.terms.decide_ms + advice.terms.each_ms * len(lives)
    job, repetition, number = step.key
    cell.emit(AskAdvice(AdviceWanted(job, repetition, number, lives), expected_ms))


def _seats(step: Step, worker: Worker, wanted: int) -> int:
    """Count the tasks of a step that a worker's free room holds, up to so many."""
    room = step.spec.room
    free = worker.free
    return min(
        wanted,
        free.cpu // room.cpu if room.cpu else wanted,
        free.memory // room.memory if room.memory else wanted,
    )


def _could_place(step: Step, workers: list[Worker], wanted: int) -> bool:
    needed = wanted if step.spec.gang else 1
    return sum(_seats(step, worker, wanted) for worker in workers) >= needed


def _roomiest(step: Step, workers: list[Worker], seats: int) -> list[Worker]:
    """Give the workers with most room, as many as have so many seats, or as are cheap to ask.

    Each one asked about takes the service time, and its tickets hold for a short time only.
    """
    terms = step.advice.terms
    cheap = int(_CHEAP_SHARE * terms.decide_ms / terms.each_ms) if terms.each_ms else _MOST_ASKED
    chosen: list[Worker] = []
    for worker in sorted(workers, key=lambda each: -_seats(step, each, seats)):
        if seats <= 0 and len(chosen) >= cheap:
            break
        chosen.append(worker)
        seats -= _seats(step, worker, seats)
    return chosen


def take_advice(cell: Cell, event: AdviceAnswered, now: float) -> None:
    """Take over the service's answer."""
    cell.questions -= 1
    wanted = event.given.wanted
    step = _find_step(cell, wanted)
    if step is None or step.advice is None:
        return
    advice = step.advice
    advice.asking = False
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
    cell.questions -= 1
    cell.placing_wanted = True
    step = _find_step(cell, event.wanted)
    if step is None or step.advice is None:
        return
    step.advice.asking = False
    step.advice.retry_at = now + _RETRY_SECONDS
    cell.tell("advice_failed", event.wanted.job, step=event.wanted.step)


def _find_step(cell: Cell, wanted: AdviceWanted) -> Step | None:
    job = cell.jobs.get(wanted.job)
    if job is None or wanted.repetition >= len(job.repetitions):
        return None
    return job.repetitions[wanted.repetition][wanted.step]

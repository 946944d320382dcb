"""Answers to calls to workers that a leader does not make."""

from .events import (
    RenewAnswered,
    SendRenewal,
    SendStart,
    SendStop,
    StartAnswered,
    StopAnswered,
)
from .orders import Refusal, StartResult

__all__ = ["answer_unsent"]


def answer_unsent(
    effect: SendStart | SendStop | SendRenewal,
) -> StartAnswered | StopAnswered | RenewAnswered:
    """Return the answer to a call that is not made, for lack of a connection or of authority."""
    order = effect.order
    match effect:
        case SendStart():
            result = StartResult(Refusal.UNREACHABLE)
            return StartAnswered(effect.life, order.task, order.run, result)
        case SendStop():
            return StopAnswered(effect.life, order.task, order.run, False)
        case SendRenewal():
            return RenewAnswered(effect.life, order, None)

"""Calls to one worker: orders one after the other, and renewals beside them."""

import collections
import functools
from collections.abc import Callable
from typing import Generic, TypeVar

from ..clocks import steady_seconds
from ..errors import CallUnanswered, PlatformError
from ..jobs.events import Event, RenewAnswered, StartAnswered, StopAnswered
from ..jobs.orders import Refusal, RenewOrder, StartOrder, StartResult, StopOrder, WorkerReport
from ..logs import log_error, log_event
from ..node.metrics import Metrics
from ..platform.call_loop import CallLoop
from ..platform.http_channel import Channel, Greeting, Outcome, Reply
from ..platform.worker_calls import (
    RENEWAL_PATH,
    START_PATH,
    STOP_PATH,
    decode_renewal,
    decode_start,
    decode_stop,
    encode_greeting,
    encode_renewal,
    encode_start,
    encode_stop,
    worker_headers,
)

__all__ = ["WorkerLink"]

_ORDER_TIMEOUT_SECONDS = 0.4
"""How long a start or stop may take: a worker answers in a few ms, and a gang's members wait
for each other for a few seconds only."""

_START_ATTEMPTS = 3
"""A start without an answer is sent again: to the worker it is the same run."""

_GREETING_TIMEOUT_SECONDS = 0.2
_GREETING_ATTEMPTS = 3
"""How long a greeting may take, and over how many connections it is tried for one call."""

_RENEWAL_SLACK_SECONDS = 0.3
"""How much longer than its wait a renewal may take."""

_Order = StartOrder | StopOrder
_Kind = TypeVar("_Kind")


class _CallQueue(Generic[_Kind]):
    """What is to be sent over one channel, one after the other.

    The first of those that wait stays there until it is answered.

    Parameters
    ----------
    channel
        Carries the calls.
    send
        Begins the call for one of them; `go_on` is to be called once it is over.
    """

    def __init__(self, channel: Channel, send: Callable[[_Kind], None]) -> None:
        self.channel = channel
        self._send = send
        self._waiting: collections.deque[_Kind] = collections.deque()

    def put(self, item: _Kind) -> None:
        """Send something after those before it."""
        self._waiting.append(item)
        if len(self._waiting) == 1:
            self._send(item)

    def send_next(self) -> None:
        """Send the next one; none is left where it was closed meanwhile."""
        if self._waiting:
            self._waiting.popleft()
        if self._waiting:
            self._send(self._waiting[0])

    def close(self) -> None:
        """Send nothing more."""
        self._waiting.clear()
        self.channel.close()


class WorkerLink:
    """Carries orders and renewals to one life of a worker, each kind in order.

    A renewal may wait for an end at the worker, so orders have a connection of their own. Each new
    connection is greeted first, so that nothing meant for this life reaches the next one: neither a
    start, nor how many ends may be forgotten.

    Parameters
    ----------
    loop
        Makes the calls.
    life, address
        The worker.
    post
        Called with each answer, on the loop's thread.
    metrics
        Counts and times calls.
    token
        The leader's fencing token.
    """

    def __init__(
        self,
        loop: CallLoop,
        life: str,
        address: str,
        post: Callable[[Event], None],
        metrics: Metrics,
        token: int,
    ) -> None:
        self._loop = loop
        self._life = life
        self._post = post
        self._metrics = metrics
        self._has_next_life = False
        headers = worker_headers(life)
        greeting = Greeting(
            RENEWAL_PATH,
            encode_greeting(token),
            self._check_greeting,
            _GREETING_TIMEOUT_SECONDS,
            _GREETING_ATTEMPTS,
        )
        self._orders = _CallQueue(Channel(loop, address, headers, greeting), self._send_order)
        self._renewals = _CallQueue(Channel(loop, address, headers, greeting), self._send_renewal)

    def order(self, order: _Order) -> None:
        """Send a start or stop after those before it, once the loop is flushed."""
        self._loop.submit(functools.partial(self._orders.put, order))

    def renew(self, order: RenewOrder) -> None:
        """Send a renewal after those before it, once the loop is flushed."""
        self._loop.submit(functools.partial(self._renewals.put, order))

    def close(self) -> None:
        """Send nothing more, once the loop is flushed."""
        self._loop.submit(self._close)

    # -- on the loop's thread --------------------------------------------------------------

    def _close(self) -> None:
        self._orders.close()
        self._renewals.close()

    @property
    def _next_life_refusal(self) -> Refusal | None:
        """What calls are answered with once the worker is known to have begun another life."""
        return Refusal.NEXT_LIFE if self._has_next_life else None

    def _check_greeting(self, reply: Reply) -> Outcome | None:
        """Let calls follow where this life has answered; else give what is true of them."""
        try:
            report = decode_renewal(reply, self._life)
        except PlatformError as error:
            return CallUnanswered(str(error), unsent=True)
        if report is Refusal.NEXT_LIFE:
            self._has_next_life = True
            return CallUnanswered("the worker has begun another life", unsent=True)
        return None if isinstance(report, WorkerReport) else reply

    def _send_order(self, order: _Order) -> None:
        if isinstance(order, StartOrder):
            self._send_start(order, steady_seconds(), 0)
        else:
            on_answer = functools.partial(self._handle_stop_answer, order)
            self._orders.channel.call(
                STOP_PATH, encode_stop(order), _ORDER_TIMEOUT_SECONDS, on_answer
            )

    def _send_start(self, order: StartOrder, started_at: float, previous_attempts: int) -> None:
        on_answer = functools.partial(
            self._handle_start_answer, order, started_at, previous_attempts
        )
        self._orders.channel.call(
            START_PATH, encode_start(order), _ORDER_TIMEOUT_SECONDS, on_answer
        )

    def _handle_start_answer(
        self, order: StartOrder, started_at: float, previous_attempts: int, outcome: Outcome
    ) -> None:
        result = self._decode_start_outcome(outcome)
        if result is None:
            self._drop_other_connection(outcome, self._renewals.channel)
            self._metrics.count("starts_repeated_total", "Starts sent again.")
            if previous_attempts + 1 < _START_ATTEMPTS:
                self._send_start(order, started_at, previous_attempts + 1)
                return
        else:
            result = _conclusive_result(result, previous_attempts)
        self._metrics.time(
            "start_call_seconds", "Time of a start's call.", steady_seconds() - started_at
        )
        outcome_label = "unanswered"
        if result is not None:
            outcome_label = result.refusal.value if result.refusal else "started"
        self._metrics.count("starts_total", "Starts ordered.", outcome=outcome_label)
        self._post(StartAnswered(self._life, order.task, order.run, result))
        self._orders.send_next()

    def _decode_start_outcome(self, outcome: Outcome) -> StartResult | None:
        if self._next_life_refusal:
            return StartResult(self._next_life_refusal)
        if isinstance(outcome, CallUnanswered):
            return StartResult(Refusal.UNREACHABLE) if outcome.unsent else None
        try:
            return decode_start(outcome)
        except PlatformError as error:
            log_event("start_answer_unusable", worker=self._life, reason=str(error))
        except Exception as error:
            log_error("start_failed", error, worker=self._life)
        return None

    def _handle_stop_answer(self, order: StopOrder, outcome: Outcome) -> None:
        refusal, is_answered = None, False
        try:
            refusal = self._next_life_refusal or decode_stop(_require_reply(outcome))
            is_answered = True
        except PlatformError as error:
            self._drop_other_connection(outcome, self._renewals.channel)
            log_event("stop_unanswered", worker=self._life, task=order.task, reason=str(error))
        except Exception as error:
            log_error("stop_failed", error, worker=self._life)
        self._post(StopAnswered(self._life, order.task, order.run, is_answered, refusal))
        self._orders.send_next()

    def _send_renewal(self, order: RenewOrder) -> None:
        seconds = order.wait_ms / 1000 + _RENEWAL_SLACK_SECONDS
        on_answer = functools.partial(self._handle_renewal_answer, order)
        self._renewals.channel.call(RENEWAL_PATH, encode_renewal(order), seconds, on_answer)

    def _handle_renewal_answer(self, order: RenewOrder, outcome: Outcome) -> None:
        report: WorkerReport | Refusal | None = None
        try:
            report = self._next_life_refusal or decode_renewal(_require_reply(outcome), self._life)
        except PlatformError as error:
            self._drop_other_connection(outcome, self._orders.channel)
            self._metrics.count("renewals_failed_total", "Renewals without an answer.")
            log_event("renewal_unanswered", worker=self._life, reason=str(error))
        except Exception as error:
            log_error("renewal_failed", error, worker=self._life)
        self._post(RenewAnswered(self._life, order, report))
        self._renewals.send_next()

    @staticmethod
    def _drop_other_connection(outcome: Outcome, other: Channel) -> None:
        """Use the worker's other connection no more if it may have gone silent as well."""
        if isinstance(outcome, CallUnanswered) and not outcome.unsent:
            other.drop_idle()


def _require_reply(outcome: Outcome) -> Reply:
    if isinstance(outcome, CallUnanswered):
        raise outcome
    return outcome


def _conclusive_result(result: StartResult, previous_attempts: int) -> StartResult | None:
    """Give an answer that can be relied on, or none.

    An earlier try may have been carried out, so a refusal of a later one tells nothing of the
    run, but where the worker's life is over or another node leads.
    """
    conclusive = (None, Refusal.OTHER_LIFE, Refusal.NEXT_LIFE, Refusal.FENCED)
    return result if previous_attempts == 0 or result.refusal in conclusive else None

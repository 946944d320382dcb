"""Calls to one worker: orders in sequence, and renewals in parallel with them."""

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
from ..platform.http_channel import CallOutcome, Handshake, HttpChannel, Reply
from ..platform.worker_calls import (
    RENEWAL_PATH,
    START_PATH,
    STOP_PATH,
    decode_renewal,
    decode_start,
    decode_stop,
    encode_handshake,
    encode_renewal,
    encode_start,
    encode_stop,
    worker_headers,
)

__all__ = ["WorkerLink"]

_ORDER_TIMEOUT_SECONDS = 0.4
"""Timeout of a start or stop. A worker answers in a few ms, and the members of a gang wait for each
other for a few seconds only."""

_START_ATTEMPTS = 3
"""Attempts to send a start. Repeating one is safe, since the worker recognises the run."""

_GREETING_TIMEOUT_SECONDS = 0.2
_GREETING_ATTEMPTS = 3
"""Timeout of a handshake, and the number of connections over which it is tried for one call."""

_RENEWAL_SLACK_SECONDS = 0.3
"""Time in addition to the wait at the worker that a renewal may take."""

_Order = StartOrder | StopOrder
_Kind = TypeVar("_Kind")


class _CallQueue(Generic[_Kind]):
    """Sends calls over one channel, one at a time.

    The call in progress stays at the head of the queue until it is answered.

    Parameters
    ----------
    channel
        The channel.
    send
        Starts the call for an item; `send_next` must be called when the call has ended.
    """

    def __init__(self, channel: HttpChannel, send: Callable[[_Kind], None]) -> None:
        self.channel = channel
        self._send = send
        self._waiting: collections.deque[_Kind] = collections.deque()

    def put(self, item: _Kind) -> None:
        """Queue an item, and send it if no other is in progress."""
        self._waiting.append(item)
        if len(self._waiting) == 1:
            self._send(item)

    def send_next(self) -> None:
        """Remove the item whose call has ended, and send the next one, if any."""
        if self._waiting:
            self._waiting.popleft()
        if self._waiting:
            self._send(self._waiting[0])

    def close(self) -> None:
        """Drop the queued items and close the channel."""
        self._waiting.clear()
        self.channel.close()


class WorkerLink:
    """Sends orders and renewals to one life of a worker, each kind in sequence.

    A renewal may wait at the worker until a run ends, so orders use a separate connection. Each new
    connection starts with a handshake that verifies the worker's life, so that neither a start nor
    an acknowledgement of ended runs reaches a later life of the same worker.

    Parameters
    ----------
    loop
        The thread and event loop that make the calls.
    life, address
        The worker's life and address.
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
        greeting = Handshake(
            RENEWAL_PATH,
            encode_handshake(token),
            self._check_greeting,
            _GREETING_TIMEOUT_SECONDS,
            _GREETING_ATTEMPTS,
        )
        self._orders = _CallQueue(HttpChannel(loop, address, headers, greeting), self._send_order)
        self._renewals = _CallQueue(
            HttpChannel(loop, address, headers, greeting), self._send_renewal
        )

    def order(self, order: _Order) -> None:
        """Queue a start or stop; it is sent once the loop is flushed."""
        self._loop.submit(functools.partial(self._orders.put, order))

    def renew(self, order: RenewOrder) -> None:
        """Queue a renewal; it is sent once the loop is flushed."""
        self._loop.submit(functools.partial(self._renewals.put, order))

    def close(self) -> None:
        """Drop queued calls and close the connections, once the loop is flushed."""
        self._loop.submit(self._close)

    # -- on the loop's thread --------------------------------------------------------------

    def _close(self) -> None:
        self._orders.close()
        self._renewals.close()

    @property
    def _next_life_refusal(self) -> Refusal | None:
        """The refusal of all calls once the worker is known to have begun another life."""
        return Refusal.NEXT_LIFE if self._has_next_life else None

    def _check_greeting(self, reply: Reply) -> CallOutcome | None:
        """Return None if this life has answered, otherwise the outcome of the calls that follow."""
        try:
            report = decode_renewal(reply, self._life)
        except PlatformError as error:
            return CallUnanswered(str(error), unsent=True)
        except Exception as error:
            log_error("greeting_failed", error, worker=self._life)
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
        self, order: StartOrder, started_at: float, previous_attempts: int, outcome: CallOutcome
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

    def _decode_start_outcome(self, outcome: CallOutcome) -> StartResult | None:
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

    def _handle_stop_answer(self, order: StopOrder, outcome: CallOutcome) -> None:
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

    def _handle_renewal_answer(self, order: RenewOrder, outcome: CallOutcome) -> None:
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
    def _drop_other_connection(outcome: CallOutcome, other: HttpChannel) -> None:
        """Close the worker's other connection if it is idle and may be broken as well."""
        if isinstance(outcome, CallUnanswered) and not outcome.unsent:
            other.close_if_idle()


def _require_reply(outcome: CallOutcome) -> Reply:
    if isinstance(outcome, CallUnanswered):
        raise outcome
    return outcome


def _conclusive_result(result: StartResult, previous_attempts: int) -> StartResult | None:
    """Return the result of a start if it is conclusive, otherwise None.

    An earlier attempt may have started the run, so the refusal of a later one is inconclusive,
    unless the worker's life has ended or another node leads.
    """
    conclusive = (None, Refusal.OTHER_LIFE, Refusal.NEXT_LIFE, Refusal.FENCED)
    return result if previous_attempts == 0 or result.refusal in conclusive else None

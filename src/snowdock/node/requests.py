"""Handling of callers' requests: routing to minions, forwarding to peers, and retries.

A request has one of three outcomes: ``ran`` with the complete response, ``not_run`` with a delay
before a retry, or ``unknown`` if it may have run.
"""

import dataclasses
import secrets
import time

import msgspec
import pykka

from ..clocks import steady_seconds
from ..decisions.retries import RetryBudget, backoff_seconds
from ..declarations import Endpoint
from ..effects import Accepted
from ..errors import (
    Draining,
    InvalidInput,
    NotFound,
    Overloaded,
    PlatformError,
    SnowdockError,
    VerdictUnknown,
)
from ..logs import log_event
from ..platform.minions import Exchange, ExchangeResult, MinionClient
from ..records import RequestEnded, RequestIntended
from ..request_ids import request_time_ms
from .answers import AnswerBook
from .in_flight import InFlight
from .messages import Acquire, Granted, LentByPeer, Propose, Refused, Released, View
from .metrics import Metrics
from .parts import Parts
from .peer_messages import (
    AnswerGiven,
    AnswerWanted,
    CallAnswered,
    CallForwarded,
    CallOutcome,
    CallRequest,
)
from .peers import Peers
from .reports import configuration
from .traces import span

__all__ = ["RequestHandler", "outcome_of"]

_MAX_TRIES = 4
_PEER_ASK_SECONDS = 2.0
_LOG_RETRY_SECONDS = 1.0
_MIN_SECONDS = 0.001
_ROUTER_SLACK_SECONDS = 5.0
_THREADS_FOR_CALLS = 0.75
_BUSY = Overloaded.status


def outcome_of(error: SnowdockError) -> CallOutcome:
    """Build the outcome of a request that failed before anything was run."""
    return CallOutcome(
        "not_run",
        error.status,
        code=error.code,
        reason=str(error),
        retry_after_seconds=error.retry_after_seconds or 0.0,
    )


@dataclasses.dataclass(slots=True)
class _Try:
    """The progress of a request; ``deadline`` is in seconds on the monotonic clock."""

    request: CallRequest
    endpoint: Endpoint
    deadline: float
    may_lend: bool
    intended: bool = False
    may_have_run: bool = False
    tries: int = 0
    failed: set[str] = dataclasses.field(default_factory=set)

    @property
    def seconds_left(self) -> float:
        """Seconds until the deadline."""
        return self.deadline - steady_seconds()


class RequestHandler:
    """Handles requests of callers and of peers; thread-safe.

    Parameters
    ----------
    context
        The node's settings and actors.
    client
        The client of the minions.
    metrics
        The node's metrics.
    """

    def __init__(self, parts: Parts, client: MinionClient, metrics: Metrics) -> None:
        self._parts = parts
        self._client = client
        self._metrics = metrics
        self._answers = AnswerBook()
        self._budget = RetryBudget()
        self._peers: Peers | None = None
        self._draining = False
        self._in_flight = InFlight()
        self._most_in_flight = max(1, round(parts.settings.node.threads * _THREADS_FOR_CALLS))

    @property
    def in_flight(self) -> int:
        """The number of requests being handled, including those forwarded by peers."""
        return self._in_flight.count

    def set_peers(self, peers: Peers) -> None:
        """Set the peers; called once before the first request."""
        self._peers = peers

    def drain(self) -> None:
        """Reject new requests; those in flight continue."""
        self._draining = True

    # -- entry points ----------------------------------------------------------------------

    def handle(self, request: CallRequest, may_lend: bool = True) -> CallOutcome:
        """Handle a request.

        Parameters
        ----------
        request
            The request.
        may_forward
            Whether it may be forwarded to a peer; a forwarded request is not forwarded again.

        Returns
        -------
        CallOutcome
            The outcome to report to the caller.
        """
        with span(
            "request", request.trace, request=request.request_id, endpoint=request.endpoint
        ) as current:
            traced = msgspec.structs.replace(request, trace=current.traceparent)
            outcome = self._handle(traced, may_lend)
        self._metrics.count(
            "requests_total",
            "Requests by endpoint and outcome.",
            endpoint=request.endpoint,
            outcome=outcome.outcome,
        )
        return outcome

    def _handle(self, request: CallRequest, may_lend: bool) -> CallOutcome:
        with self._in_flight.one_more():
            return self._handle_counted(request, may_lend)

    def _handle_counted(self, request: CallRequest, may_lend: bool) -> CallOutcome:
        try:
            if self._draining:
                raise Draining("the node is draining; nothing was run")
            # Each waiting request occupies a thread of the HTTP server. If all were occupied, a
            # new request would exceed its deadline in the server's queue before it is rejected.
            if self._in_flight.count > self._most_in_flight:
                raise Overloaded("too many requests are in flight; nothing was run")
            endpoint = self._find_endpoint(request)
            known = self._known(request)
            if known is not None:
                return known
            deadline = steady_seconds() + request.deadline_ms / 1000
            return self._run(_Try(request, endpoint, deadline, may_lend))
        except SnowdockError as error:
            return outcome_of(error)

    def answer_peer(self, question: CallForwarded | AnswerWanted) -> CallAnswered | AnswerGiven:
        """Handle a request of a peer: a forwarded call or a lookup of a cached outcome."""
        if isinstance(question, AnswerWanted):
            return AnswerGiven(question.number, self._answers.find(question.request_id))
        return CallAnswered(question.number, self.handle(question.request, may_lend=False))

    def _find_endpoint(self, request: CallRequest) -> Endpoint:
        found = self._parts.state.ask(
            View(lambda parts: configuration(parts).endpoints.get(request.endpoint))
        )
        if found is None:
            raise NotFound(f"no endpoint {request.endpoint}; nothing was run")
        return found

    # -- at-most-once requests -------------------------------------------------------------

    def _known(self, request: CallRequest) -> CallOutcome | None:
        """Find the outcome of a not-repeatable request whose id is already on the log."""
        if request.repeatable:
            return None
        if request_time_ms(request.request_id) is None:
            raise InvalidInput("the id of a not-repeatable request must be a version 7 UUID")
        found = self._parts.state.ask(
            View(lambda parts: parts.state.requests.get(request.request_id))
        )
        return None if found is None else self._tell_known(request, found)

    def _tell_known(self, request: CallRequest, found) -> CallOutcome:
        if found.outcome == "not_run":
            return CallOutcome(
                "not_run",
                503,
                code="not_run",
                reason="the request was not run; retry with a new id",
            )
        kept = self._kept_answer(request.request_id, found.node)
        if kept is not None:
            return kept
        if found.outcome == "ran":
            return CallOutcome(
                "ran", 410, code="answer_gone", reason="it ran; its response is no longer cached"
            )
        return CallOutcome(
            "unknown",
            504,
            code="outcome_unknown",
            reason="it may have run or may still run; retry with the same id",
            retry_after_seconds=_LOG_RETRY_SECONDS,
        )

    def _kept_answer(self, request_id: str, node: str) -> CallOutcome | None:
        if node == self._parts.settings.node.name:
            return self._answers.find(request_id)
        try:
            given = self._peers.ask(
                node, lambda number: AnswerWanted(number, request_id), _PEER_ASK_SECONDS
            )
        except PlatformError:
            return None
        return given.outcome

    def _intend(self, work: _Try, minion: str) -> CallOutcome | None:
        """Append the intent to run a request to the log.

        Returns
        -------
        CallOutcome or None
            None if the request may be sent to the minion; otherwise its outcome.
        """
        request = work.request
        future = pykka.ThreadingFuture()
        record = RequestIntended(request.request_id, minion)
        self._parts.writer.tell(Propose((record,), future.set))
        try:
            result = future.get(timeout=max(work.seconds_left, _MIN_SECONDS))
        except pykka.Timeout:
            # The intent may still reach the log, but this node will not run the request.
            self._note_end(request, "not_run")
            return _undecided(VerdictUnknown("the log did not answer before the deadline"))
        if isinstance(result, SnowdockError):
            return _undecided(result)
        if isinstance(result[0], Accepted):
            work.intended = True
            return None
        known = self._known(request)
        if known is not None:
            return known
        raise InvalidInput(f"{result[0].reason}; nothing was run")

    def _note_end(self, request: CallRequest, outcome: str) -> None:
        self._parts.writer.tell(Propose((RequestEnded(request.request_id, outcome),)))

    # -- attempts --------------------------------------------------------------------------

    def _run(self, work: _Try) -> CallOutcome:
        outcome = self._run_tries(work)
        if work.intended:
            self._answers.keep(work.request.request_id, outcome)
            self._note_end(work.request, outcome.outcome)
        return outcome

    def _run_tries(self, work: _Try) -> CallOutcome:
        while True:
            slot = self._find_slot(work)
            if isinstance(slot, Refused):
                return _given_up(work, slot.reason, slot.retry_after_seconds)
            if isinstance(slot, LentByPeer):
                outcome = self._forward_to_peer(work, slot.node)
                if outcome is not None:
                    return outcome
                work.may_lend = False
                continue
            outcome = self._try_minion(work, slot)
            if outcome is not None:
                return outcome

    def _find_slot(self, work: _Try):
        request = work.request
        future = pykka.ThreadingFuture()
        self._parts.router.tell(
            Acquire(
                group=work.endpoint.minions,
                queue_limit=work.endpoint.queue,
                priority=request.priority,
                deadline=work.deadline,
                excluded=frozenset(work.failed),
                may_lend=work.may_lend and not work.intended,
                may_wait=work.may_lend or work.tries > 0,
                slot=future,
                wanted=request.session,
            )
        )
        # The router replies by the deadline; the margin covers scheduling delays.
        return future.get(timeout=max(work.seconds_left, 0) + _ROUTER_SLACK_SECONDS)

    def _forward_to_peer(self, work: _Try, node: str) -> CallOutcome | None:
        """Forward a request to a peer.

        Returns
        -------
        CallOutcome or None
            The outcome, or None if the request may be tried here.
        """
        left = work.seconds_left
        request = msgspec.structs.replace(work.request, deadline_ms=max(1, round(left * 1000)))
        try:
            with span("peer", request.trace, peer=node) as current:
                traced = msgspec.structs.replace(request, trace=current.traceparent)
                given = self._peers.ask(
                    node, lambda number: CallForwarded(number, traced), max(left, _MIN_SECONDS)
                )
        except PlatformError as error:
            work.may_have_run = True
            return None if request.repeatable else _unknown(str(error))
        was_refused = given.outcome.outcome == "not_run" and given.outcome.status == _BUSY
        return None if was_refused else given.outcome

    def _try_minion(self, work: _Try, slot: Granted) -> CallOutcome | None:
        request = work.request
        started = steady_seconds()
        exchange = Exchange(ExchangeResult.NOT_RUN, reason="not sent")
        try:
            if not request.repeatable and not work.intended:
                refused = self._intend(work, slot.minion)
                if refused is not None:
                    return refused
            exchange = self._send(work, slot)
        finally:
            # If the request may still be running at the minion, its slot stays occupied for the
            # maximum duration of a request, since closing the connection does not stop it.
            seconds = steady_seconds() - started
            failed = work.tries > 0 and exchange.result != ExchangeResult.RAN
            is_unknown = exchange.result == ExchangeResult.UNKNOWN
            hold = work.endpoint.deadline_ms / 1000 if is_unknown else 0.0
            self._parts.router.tell(Released(slot.minion, failed, seconds, hold))
        return self._judge(work, slot, exchange)

    def _send(self, work: _Try, slot: Granted) -> Exchange:
        request = work.request
        work.tries += 1
        with span("minion", request.trace, minion=slot.minion) as current:
            headers = {**request.headers, "traceparent": current.traceparent}
            return self._client.forward(
                slot.address,
                request.method,
                request.path,
                request.request_id,
                headers,
                request.body,
                max(work.seconds_left, _MIN_SECONDS),
            )

    def _judge(self, work: _Try, slot: Granted, exchange: Exchange) -> CallOutcome | None:
        """Return the outcome after an attempt, or None to retry after a backoff."""
        request = work.request
        if exchange.result == ExchangeResult.RAN:
            self._budget.record_success()
            answer = exchange.answer
            return CallOutcome(
                "ran", answer.status, answer.headers, answer.body, minion=slot.minion
            )
        log_event(
            "try_failed", request=request.request_id, minion=slot.minion, reason=exchange.reason
        )
        if exchange.result == ExchangeResult.UNKNOWN:
            work.may_have_run = True
            if not request.repeatable:
                return _unknown(exchange.reason)
        work.failed.add(slot.minion)
        pause = backoff_seconds(work.tries, secrets.SystemRandom().random())
        is_last = work.tries >= _MAX_TRIES or pause >= work.seconds_left
        if is_last or not self._budget.try_spend():
            return _given_up(work, exchange.reason, _LOG_RETRY_SECONDS)
        self._metrics.count("retries_total", "Tries after the first one.")
        time.sleep(pause)
        return None


def _unknown(reason: str) -> CallOutcome:
    return CallOutcome(
        "unknown",
        504,
        code="outcome_unknown",
        reason=f"{reason}; it may have run: retry with the same id to find out",
        retry_after_seconds=_LOG_RETRY_SECONDS,
    )


def _undecided(error: SnowdockError) -> CallOutcome:
    """Build the outcome of a not-repeatable request without a verdict on its intent.

    It cannot be ``not_run``, although this node sent nothing: the request may be a retry, and
    another node may have run the same id.
    """
    return CallOutcome(
        "unknown",
        503,
        code=error.code,
        reason=f"{error}; this attempt sent nothing, an earlier one with the same id may have: "
        "a retry with the same id is safe",
        retry_after_seconds=error.retry_after_seconds or _LOG_RETRY_SECONDS,
    )


def _given_up(work: _Try, reason: str, retry_after_seconds: float) -> CallOutcome:
    """Build the outcome of a failed request: ``not_run`` only if no attempt may have run."""
    if work.may_have_run:
        return _unknown(reason)
    return outcome_of(Overloaded(f"{reason}; nothing was run", retry_after_seconds))

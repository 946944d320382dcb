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
    CallUnanswered,
    Draining,
    InvalidInput,
    NotFound,
    Overloaded,
    PlatformError,
    SnowdockError,
    VerdictUnknown,
)
from ..logs import log_event
from ..platform.minion_client import ForwardOutcome, ForwardResult, MinionClient
from ..records import RequestEnded, RequestIntended
from ..request_ids import request_time_ms
from .answer_cache import AnswerCache
from .context import NodeContext
from .in_flight import InFlightCounter
from .messages import (
    AcquireSlot,
    Propose,
    Query,
    SlotAtPeer,
    SlotGranted,
    SlotRefused,
    SlotReleased,
)
from .metrics import Metrics
from .peer_messages import (
    CallOutcome,
    CallRequest,
    ForwardedCallRequest,
    ForwardedCallResponse,
    KeptAnswerRequest,
    KeptAnswerResponse,
)
from .peers import Peers
from .reports import configuration
from .traces import span

__all__ = ["RequestHandler", "build_not_run_outcome"]

_MAX_ATTEMPTS = 4
_PEER_TIMEOUT_SECONDS = 2.0
_LOG_RETRY_SECONDS = 1.0
_MIN_TIMEOUT_SECONDS = 0.001
_ROUTER_MARGIN_SECONDS = 5.0
_CALL_THREAD_SHARE = 0.75
_OVERLOADED_STATUS = Overloaded.status


def build_not_run_outcome(error: SnowdockError) -> CallOutcome:
    """Build the outcome of a request that failed before anything was run."""
    return CallOutcome(
        "not_run",
        error.status,
        code=error.code,
        reason=str(error),
        retry_after_seconds=error.retry_after_seconds or 0.0,
    )


@dataclasses.dataclass(slots=True)
class _CallState:
    """The progress of a request.

    Attributes
    ----------
    deadline
        The deadline in seconds on the monotonic clock.
    may_forward
        Whether it may be forwarded to a peer.
    may_wait
        Whether it may wait for a slot here; one that a peer forwarded may not, since that peer can
        let it wait itself.
    """

    request: CallRequest
    endpoint: Endpoint
    deadline: float
    may_forward: bool
    may_wait: bool
    is_intent_recorded: bool = False
    may_have_run: bool = False
    attempts: int = 0
    failed_minions: set[str] = dataclasses.field(default_factory=set)

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

    def __init__(self, context: NodeContext, client: MinionClient, metrics: Metrics) -> None:
        self._context = context
        self._client = client
        self._metrics = metrics
        self._answer_cache = AnswerCache()
        self._retry_budget = RetryBudget()
        self._peers: Peers | None = None
        self._draining = False
        self._in_flight = InFlightCounter()
        self._max_in_flight = max(1, round(context.settings.node.threads * _CALL_THREAD_SHARE))

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

    def handle(self, request: CallRequest, may_forward: bool = True) -> CallOutcome:
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
            outcome = self._handle(traced, may_forward)
        self._metrics.count(
            "requests_total",
            "Requests by endpoint and outcome.",
            endpoint=request.endpoint,
            outcome=outcome.outcome,
        )
        return outcome

    def _handle(self, request: CallRequest, may_forward: bool) -> CallOutcome:
        with self._in_flight.track():
            return self._handle_counted(request, may_forward)

    def _handle_counted(self, request: CallRequest, may_forward: bool) -> CallOutcome:
        try:
            if self._draining:
                raise Draining("the node is draining; nothing was run")
            # Each waiting request occupies a thread of the HTTP server. If all were occupied, a
            # new request would exceed its deadline in the server's queue before it is rejected.
            if self._in_flight.count > self._max_in_flight:
                raise Overloaded("too many requests are in flight; nothing was run")
            endpoint = self._find_endpoint(request)
            known = self._find_known_outcome(request)
            if known is not None:
                return known
            deadline = steady_seconds() + request.deadline_ms / 1000
            return self._run(
                _CallState(request, endpoint, deadline, may_forward, may_wait=may_forward)
            )
        except SnowdockError as error:
            return build_not_run_outcome(error)

    def answer_peer(
        self, peer_request: ForwardedCallRequest | KeptAnswerRequest
    ) -> ForwardedCallResponse | KeptAnswerResponse:
        """Handle a request of a peer: a forwarded call or a lookup of a cached outcome."""
        if isinstance(peer_request, KeptAnswerRequest):
            return KeptAnswerResponse(
                peer_request.number, self._answer_cache.find(peer_request.request_id)
            )
        return ForwardedCallResponse(
            peer_request.number, self.handle(peer_request.request, may_forward=False)
        )

    def _find_endpoint(self, request: CallRequest) -> Endpoint:
        found = self._context.state.ask(
            Query(lambda view: configuration(view).endpoints.get(request.endpoint))
        )
        if found is None:
            raise NotFound(f"no endpoint {request.endpoint}; nothing was run")
        return found

    # -- at-most-once requests -------------------------------------------------------------

    def _find_known_outcome(self, request: CallRequest) -> CallOutcome | None:
        """Find the outcome of a not-repeatable request whose id is already on the log."""
        if request.repeatable:
            return None
        if request_time_ms(request.request_id) is None:
            raise InvalidInput("the id of a not-repeatable request must be a version 7 UUID")
        found = self._context.state.ask(
            Query(lambda view: view.state.requests.get(request.request_id))
        )
        return None if found is None else self._build_known_outcome(request, found)

    def _build_known_outcome(self, request: CallRequest, record) -> CallOutcome:
        if record.outcome == "not_run":
            return CallOutcome(
                "not_run",
                503,
                code="not_run",
                reason="the request was not run; retry with a new id",
            )
        answer = self._find_kept_answer(request.request_id, record.node)
        if answer is not None:
            return answer
        if record.outcome == "ran":
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

    def _find_kept_answer(self, request_id: str, node: str) -> CallOutcome | None:
        if node == self._context.settings.node.name:
            return self._answer_cache.find(request_id)
        try:
            response = self._peers.ask(
                node, lambda number: KeptAnswerRequest(number, request_id), _PEER_TIMEOUT_SECONDS
            )
        except PlatformError:
            return None
        return response.outcome

    def _record_intent(self, call: _CallState, minion: str) -> CallOutcome | None:
        """Append the intent to run a request to the log.

        Returns
        -------
        CallOutcome or None
            None if the request may be sent to the minion; otherwise its outcome.
        """
        request = call.request
        future = pykka.ThreadingFuture()
        record = RequestIntended(request.request_id, minion)
        self._context.writer.tell(Propose((record,), future.set))
        try:
            result = future.get(timeout=max(call.seconds_left, _MIN_TIMEOUT_SECONDS))
        except pykka.Timeout:
            # The intent may still reach the log, but this node will not run the request.
            self._record_end(request, "not_run")
            return _build_undecided_outcome(
                VerdictUnknown("the log did not answer before the deadline")
            )
        if isinstance(result, SnowdockError):
            return _build_undecided_outcome(result)
        if isinstance(result[0], Accepted):
            call.is_intent_recorded = True
            return None
        known = self._find_known_outcome(request)
        if known is not None:
            return known
        raise InvalidInput(f"{result[0].reason}; nothing was run")

    def _record_end(self, request: CallRequest, outcome: str) -> None:
        self._context.writer.tell(Propose((RequestEnded(request.request_id, outcome),)))

    # -- attempts --------------------------------------------------------------------------

    def _run(self, call: _CallState) -> CallOutcome:
        outcome = self._run_attempts(call)
        if call.is_intent_recorded:
            self._answer_cache.store(call.request.request_id, outcome)
            self._record_end(call.request, outcome.outcome)
        return outcome

    def _run_attempts(self, call: _CallState) -> CallOutcome:
        while True:
            slot = self._find_slot(call)
            if isinstance(slot, SlotRefused):
                return _build_failure_outcome(call, slot.reason, slot.retry_after_seconds)
            if isinstance(slot, SlotAtPeer):
                outcome = self._forward_to_peer(call, slot.node)
                if outcome is not None:
                    return outcome
                call.may_forward = False
                continue
            outcome = self._try_minion(call, slot)
            if outcome is not None:
                return outcome

    def _find_slot(self, call: _CallState):
        request = call.request
        future = pykka.ThreadingFuture()
        self._context.router.tell(
            AcquireSlot(
                group=call.endpoint.minions,
                queue_limit=call.endpoint.queue,
                priority=request.priority,
                deadline=call.deadline,
                excluded=frozenset(call.failed_minions),
                may_forward=call.may_forward and not call.is_intent_recorded,
                may_wait=call.may_wait or call.attempts > 0,
                result=future,
                session_minion=request.session,
            )
        )
        # The router replies by the deadline; the margin covers scheduling delays.
        return future.get(timeout=max(call.seconds_left, 0) + _ROUTER_MARGIN_SECONDS)

    def _forward_to_peer(self, call: _CallState, node: str) -> CallOutcome | None:
        """Forward a request to a peer.

        Returns
        -------
        CallOutcome or None
            The outcome, or None if the request may be tried here.
        """
        remaining_s = call.seconds_left
        request = msgspec.structs.replace(
            call.request, deadline_ms=max(1, round(remaining_s * 1000))
        )
        try:
            with span("peer", request.trace, peer=node) as current:
                traced = msgspec.structs.replace(request, trace=current.traceparent)
                response = self._peers.ask(
                    node,
                    lambda number: ForwardedCallRequest(number, traced),
                    max(remaining_s, _MIN_TIMEOUT_SECONDS),
                )
        except PlatformError as error:
            if isinstance(error, CallUnanswered) and error.unsent:
                return None
            call.may_have_run = True
            return None if request.repeatable else _build_unknown_outcome(str(error))
        was_refused = (
            response.outcome.outcome == "not_run" and response.outcome.status == _OVERLOADED_STATUS
        )
        return None if was_refused else response.outcome

    def _try_minion(self, call: _CallState, slot: SlotGranted) -> CallOutcome | None:
        request = call.request
        started_at = steady_seconds()
        exchange = ForwardResult(ForwardOutcome.NOT_RUN, reason="not sent")
        try:
            if not request.repeatable and not call.is_intent_recorded:
                refused = self._record_intent(call, slot.minion)
                if refused is not None:
                    return refused
            exchange = self._send(call, slot)
        finally:
            # If the request may still be running at the minion, its slot stays occupied for the
            # maximum duration of a request, since closing the connection does not stop it.
            duration_s = steady_seconds() - started_at
            failed = call.attempts > 0 and exchange.outcome != ForwardOutcome.RAN
            is_unknown = exchange.outcome == ForwardOutcome.UNKNOWN
            hold_s = call.endpoint.deadline_ms / 1000 if is_unknown else 0.0
            self._context.router.tell(SlotReleased(slot.minion, failed, duration_s, hold_s))
        return self._evaluate_exchange(call, slot, exchange)

    def _send(self, call: _CallState, slot: SlotGranted) -> ForwardResult:
        request = call.request
        call.attempts += 1
        with span("minion", request.trace, minion=slot.minion) as current:
            headers = {**request.headers, "traceparent": current.traceparent}
            return self._client.forward(
                slot.address,
                request.method,
                request.path,
                request.request_id,
                headers,
                request.body,
                max(call.seconds_left, _MIN_TIMEOUT_SECONDS),
            )

    def _evaluate_exchange(
        self, call: _CallState, slot: SlotGranted, exchange: ForwardResult
    ) -> CallOutcome | None:
        """Return the outcome after an attempt, or None to retry after a backoff."""
        request = call.request
        if exchange.outcome == ForwardOutcome.RAN:
            self._retry_budget.record_success()
            answer = exchange.response
            return CallOutcome(
                "ran", answer.status, answer.headers, answer.body, minion=slot.minion
            )
        log_event(
            "try_failed", request=request.request_id, minion=slot.minion, reason=exchange.reason
        )
        if exchange.outcome == ForwardOutcome.UNKNOWN:
            call.may_have_run = True
            if not request.repeatable:
                return _build_unknown_outcome(exchange.reason)
        call.failed_minions.add(slot.minion)
        backoff_s = backoff_seconds(call.attempts, secrets.SystemRandom().random())
        is_last = call.attempts >= _MAX_ATTEMPTS or backoff_s >= call.seconds_left
        if is_last or not self._retry_budget.try_spend():
            return _build_failure_outcome(call, exchange.reason, _LOG_RETRY_SECONDS)
        self._metrics.count("retries_total", "Tries after the first one.")
        time.sleep(backoff_s)
        return None


def _build_unknown_outcome(reason: str) -> CallOutcome:
    return CallOutcome(
        "unknown",
        504,
        code="outcome_unknown",
        reason=f"{reason}; it may have run: retry with the same id to find out",
        retry_after_seconds=_LOG_RETRY_SECONDS,
    )


def _build_undecided_outcome(error: SnowdockError) -> CallOutcome:
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


def _build_failure_outcome(
    call: _CallState, reason: str, retry_after_seconds: float
) -> CallOutcome:
    """Build the outcome of a failed request: ``not_run`` only if no attempt may have run."""
    if call.may_have_run:
        return _build_unknown_outcome(reason)
    return build_not_run_outcome(Overloaded(f"{reason}; nothing was run", retry_after_seconds))

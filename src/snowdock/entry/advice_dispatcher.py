"""Distribution of requests to the advice service over the nodes.

The service handles the calls of a node one at a time, so calls from a single node would queue.
"""

import collections
import concurrent.futures
import contextlib
import dataclasses
import math
import threading
from collections.abc import Callable

from ..clocks import steady_seconds
from ..errors import CallUnanswered, PlatformError
from ..jobs.events import AdviceAnswered, AdviceFailed, AskAdvice, Event
from ..jobs.orders import AdviceRequest, AdviceResult
from ..jobs.timeouts import ADVICE_MIX_SECONDS, LONG_ADVICE_REQUEST_MS
from ..logs import log_error, log_event
from ..node.metrics import Metrics
from ..node.peers import Peers
from ..platform.advice import AdviceClient
from ..threads import ServiceThread
from .adaptive_timeout import AdaptiveTimeout
from .messages import AdviceRelayRequest, AdviceReply

__all__ = ["AdviceDispatcher", "LocalAdviceClient"]

_ANSWER_SLACK_SECONDS = 2.5
"""Time in addition to the expected time after which an answer counts as lost. The service does not
abandon a request whose call has timed out, and the node's next request queues behind it, so a
short timeout would cause each of the following calls to time out as well."""

_PEER_SLACK_SECONDS = 0.3
"""Time in addition to the peer's own timeout, for the round trip."""

_ROUND_TRIP_SECONDS = 0.05
"""Usual time of a round trip. On a busy leader half of them take up to 0.09 s, and 0.2 to 1.1 s on
one that runs at a tenth to a fifth of a core."""

_UNREACHABLE_NODE_SECONDS = 1.0
"""How long no request is given to a node to which there was no connection. It fails at once, and
would otherwise take each request before the nodes that work."""

_FAILED_CALL_PAUSE_SECONDS = 0.5
"""How long no request is given to a node whose call to the service has failed. It may fail at once
as well; if all nodes do, the pause delays the first request after an outage."""

_HEDGE_DELAY_FACTOR = 2.0
_HEDGE_DELAY_SECONDS = 0.15
"""A request without an answer after the expected time multiplied by the factor, plus the seconds,
is also sent by a second node: the first one may have failed, and its timeout takes seconds."""

_CHECK_SECONDS = 0.05
"""Time between checks for late and lost requests."""

_MAX_CHECK_GAP_SECONDS = 0.3
"""After a longer gap between two checks no answer is taken for lost: the process was paused, and
answers that arrived in that time have not been read yet."""

_MAX_ATTEMPTS = 3
"""Maximum number of times that a request is sent before the leader decides anew what to ask."""

_MIN_LOSS_SECONDS = 0.6
"""Minimum time in addition to the expected time after which an answer of a peer counts as lost; the
time is a multiple of what answers take beyond it, at most `_ANSWER_SLACK_SECONDS`. The node is
then free again, but an answer that comes nevertheless is used."""

_LOSS_PAUSE_SECONDS = 0.5
_MAX_LOSS_PAUSE_SECONDS = 4.0
"""How long a node gets no request after a lost answer, doubled with each one in a row. The service
may still work on the request. An answer that comes nevertheless ends the pause."""

_MAX_LONG_SHARE = 0.67
"""Largest share of the nodes that long requests may occupy at a time while there are short ones, so
that these, which belong to interactive jobs, find a free node soon."""


class LocalAdviceClient:
    """Client of the advice service for this node; sends one request at a time."""

    def __init__(self, address: str) -> None:
        self._client = AdviceClient(address)
        self._lock = threading.Lock()

    def set_address(self, address: str) -> None:
        """Use another address for the following requests."""
        self._client = AdviceClient(address)

    def ask(self, request: AdviceRequest, seconds: float) -> AdviceResult:
        """Send a request after those before it are answered.

        Parameters
        ----------
        request
            The request.
        seconds
            Timeout of the call to the service.
        """
        with self._lock:
            return self._client.request_advice(request, seconds)


@dataclasses.dataclass(slots=True, eq=False)
class _PendingRequest:
    """A request that is not answered yet.

    Attributes
    ----------
    effect
        The leader's effect, with the request and its expected time.
    hedge_at
        When another node is to send it as well, in steady seconds; None before an attempt, and once
        the next one is queued.
    attempts, open_attempts
        Number of attempts so far, and of those whose result is not known yet.
    """

    effect: AskAdvice
    hedge_at: float | None = None
    attempts: int = 0
    open_attempts: int = 0

    @property
    def is_long(self) -> bool:
        return self.effect.expected_ms > LONG_ADVICE_REQUEST_MS


@dataclasses.dataclass(slots=True, eq=False)
class _Attempt:
    """A request sent by a node at a time of the steady clock.

    ``is_finished`` is whether it was answered, has failed or counts as lost.
    """

    pending: _PendingRequest
    node: str
    started_at: float
    is_finished: bool = False

    @property
    def expected_s(self) -> float:
        return self.pending.effect.expected_ms / 1000


class AdviceDispatcher:
    """Assigns each request to a free node; a node has one request at a time.

    Requests to other nodes are sent and answered on the peers' thread, without a thread each. A
    leader on a slow VM otherwise spends its processor time on passing answers between threads.

    Parameters
    ----------
    own_node
        This node's name.
    local_client
        Client of the service for this node.
    peers
        Connections to the other nodes.
    live_nodes
        Returns the names of the other nodes that have sent a heartbeat recently.
    post
        Called with each answer or failure.
    metrics
        Records the time of each attempt.
    record_relay_excess
        Called with the seconds that each relayed request took beyond the time at the other node
        and a usual round trip.
    """

    def __init__(
        self,
        own_node: str,
        local_client: LocalAdviceClient,
        peers: Peers,
        live_nodes: Callable[[], list[str]],
        post: Callable[[Event], None],
        metrics: Metrics,
        record_relay_excess: Callable[[float], None],
    ) -> None:
        self._own_node = own_node
        self._local_client = local_client
        self._peers = peers
        self._live_nodes = live_nodes
        self._post = post
        self._metrics = metrics
        self._record_relay_excess = record_relay_excess
        self._short_requests: collections.deque[_PendingRequest] = collections.deque()
        self._last_short_at = -math.inf
        self._long_requests: collections.deque[_PendingRequest] = collections.deque()
        self._pending: dict[AdviceRequest, _PendingRequest] = {}
        self._in_progress: dict[str, _Attempt] = {}
        self._unavailable_until: dict[str, float] = {}
        # By node: answers lost in a row.
        self._losses: collections.Counter[str] = collections.Counter()
        self._loss_timeout = AdaptiveTimeout(_MIN_LOSS_SECONDS, _ANSWER_SLACK_SECONDS)
        self._stopped = threading.Event()
        self._lock = threading.Lock()
        self._own_thread = concurrent.futures.ThreadPoolExecutor(1, "adviser")
        ServiceThread(self._check_late_requests, "advisers", self._stopped.is_set).start()

    def ask(self, effect: AskAdvice) -> None:
        """Queue a request for the next free node."""
        pending = _PendingRequest(effect)
        with self._lock:
            if not pending.is_long:
                self._last_short_at = steady_seconds()
            self._pending[effect.request] = pending
            (self._long_requests if pending.is_long else self._short_requests).append(pending)
        self._dispatch()

    def drop(self, request: AdviceRequest) -> None:
        """Send a request to no further node; an answer that still comes is posted."""
        with self._lock:
            pending = self._pending.get(request)
            if pending is None:
                return
            pending.hedge_at = None
            pending.attempts = _MAX_ATTEMPTS
            self._remove_from_queues(pending)
            if not pending.open_attempts:
                del self._pending[request]

    def stop(self) -> None:
        """Drop all requests and send no more."""
        self._stopped.set()
        with self._lock:
            self._pending.clear()
            self._short_requests.clear()
            self._long_requests.clear()
        self._own_thread.shutdown(wait=False, cancel_futures=True)

    def _dispatch(self) -> None:
        if not self._short_requests and not self._long_requests:
            return
        nodes = self._nodes()
        now = steady_seconds()
        attempts = []
        with self._lock:
            idle = self._find_idle(nodes, now)
            long_count = sum(each.pending.is_long for each in self._in_progress.values())
            max_long = self._max_long_attempts(len(nodes), now)
            while idle and (
                self._short_requests or (self._long_requests and long_count < max_long)
            ):
                pending = (self._short_requests or self._long_requests).popleft()
                long_count += pending.is_long
                attempt = _Attempt(pending, idle.pop(), now)
                self._in_progress[attempt.node] = attempt
                self._record_attempt(pending, now)
                attempts.append(attempt)
        for attempt in attempts:
            if attempt.node != self._own_node:
                self._ask_peer(attempt)
            elif not self._stopped.is_set():
                self._own_thread.submit(self._ask_own, attempt)

    def _max_long_attempts(self, node_count: int, now: float) -> int:
        """Return how many nodes long requests may occupy at a time."""
        if now - self._last_short_at > ADVICE_MIX_SECONDS:
            return node_count
        return max(1, int(node_count * _MAX_LONG_SHARE))

    def _nodes(self) -> list[str]:
        return [*sorted(self._live_nodes()), self._own_node]

    def _find_idle(self, nodes: list[str], now: float) -> list[str]:
        """Return the nodes that may get a request, those that lost the fewest answers last."""
        idle = [
            node
            for node in nodes
            if node not in self._in_progress and self._unavailable_until.get(node, 0.0) <= now
        ]
        if self._losses:
            idle.sort(key=lambda node: -self._losses.get(node, 0))
        return idle

    @staticmethod
    def _record_attempt(pending: _PendingRequest, now: float) -> None:
        pending.attempts += 1
        pending.open_attempts += 1
        if pending.open_attempts == 1 and pending.attempts < _MAX_ATTEMPTS:
            hedge_delay_s = (
                pending.effect.expected_ms / 1000 * _HEDGE_DELAY_FACTOR + _HEDGE_DELAY_SECONDS
            )
            pending.hedge_at = now + hedge_delay_s

    def _check_late_requests(self) -> None:
        """Queue late requests for another node, and free nodes of lost ones, until stopped."""
        checked_at = steady_seconds()
        while not self._stopped.wait(_CHECK_SECONDS):
            now = steady_seconds()
            was_paused = now - checked_at > _MAX_CHECK_GAP_SECONDS
            checked_at = now
            with self._lock:
                late = [
                    each for each in self._pending.values() if each.hedge_at and each.hedge_at < now
                ]
                for each in late:
                    self._queue_first(each)
                lost = [] if was_paused else self._find_lost(now)
                for each in lost:
                    self._loss_timeout.record_timeout()
                    self._record_loss(each.node, now)
            for each in late:
                log_event("advice_late", job=each.effect.request.job, tries=each.open_attempts)
            for each in lost:
                log_event("advice_lost", job=each.pending.effect.request.job, by=each.node)
                self._finish_attempt(each, None, may_retry=True)
            if late or lost or self._unavailable_until or self._long_requests:
                self._dispatch()

    def _find_lost(self, now: float) -> list[_Attempt]:
        """Return the attempts of peers whose answers count as lost."""
        loss_s = self._loss_timeout.limit_s
        return [
            each
            for each in self._in_progress.values()
            if each.node != self._own_node and now - each.started_at - each.expected_s > loss_s
        ]

    def _queue_first(self, pending: _PendingRequest) -> None:
        pending.hedge_at = None
        (self._long_requests if pending.is_long else self._short_requests).appendleft(pending)

    def _ask_own(self, attempt: _Attempt) -> None:
        request = attempt.pending.effect.request
        tickets = None
        try:
            timeout_s = attempt.expected_s + _ANSWER_SLACK_SECONDS
            tickets = self._local_client.ask(request, timeout_s).tickets
        except PlatformError as error:
            log_event("advice_unanswered", job=request.job, by=attempt.node, reason=str(error))
        except Exception as error:
            # The failure is posted, and the leader requests advice for the step again.
            log_error("adviser_failed", error, job=request.job, by=attempt.node)
        has_failed = tickets is None
        if has_failed:
            self._record_failed_call(attempt.node)
        self._record_time(attempt)
        self._finish_attempt(attempt, tickets, may_retry=has_failed, may_wait=has_failed)
        self._dispatch()

    def _ask_peer(self, attempt: _Attempt) -> None:
        request = attempt.pending.effect.request
        timeout_s = attempt.expected_s + _ANSWER_SLACK_SECONDS

        def build_request(number: int) -> AdviceRelayRequest:
            return AdviceRelayRequest(
                number,
                request.job,
                request.repetition,
                request.step,
                list(request.workers),
                timeout_s,
            )

        self._peers.request(
            attempt.node,
            build_request,
            timeout_s + _PEER_SLACK_SECONDS,
            lambda outcome: self._handle_outcome(attempt, outcome),
        )

    def _handle_outcome(self, attempt: _Attempt, outcome: AdviceReply | PlatformError) -> None:
        """Handle the reply of a peer, or its absence; called on the peers' thread."""
        tickets = None
        may_wait = False
        if isinstance(outcome, PlatformError):
            job = attempt.pending.effect.request.job
            log_event("advice_unanswered", job=job, by=attempt.node, reason=str(outcome))
            if isinstance(outcome, CallUnanswered):
                self._record_failure(attempt, outcome)
        elif isinstance(outcome, AdviceReply):
            tickets = outcome.tickets
            self._record_reply(attempt, outcome)
            if tickets is None:
                may_wait = True
                self._record_failed_call(attempt.node)
        self._record_time(attempt)
        may_retry = may_wait or isinstance(outcome, CallUnanswered)
        self._finish_attempt(attempt, tickets, may_retry, may_wait)
        self._dispatch()

    def _record_failure(self, attempt: _Attempt, error: CallUnanswered) -> None:
        now = steady_seconds()
        with self._lock:
            if error.unsent:
                self._unavailable_until[attempt.node] = now + _UNREACHABLE_NODE_SECONDS
            elif not attempt.is_finished:
                self._record_loss(attempt.node, now)

    def _record_failed_call(self, node: str) -> None:
        """Give a node no request for a while, because its call to the service has failed."""
        with self._lock:
            self._unavailable_until[node] = steady_seconds() + _FAILED_CALL_PAUSE_SECONDS

    def _record_reply(self, attempt: _Attempt, reply: AdviceReply) -> None:
        took_s = steady_seconds() - attempt.started_at
        if reply.took_s is not None:
            self._record_relay_excess(max(0.0, took_s - reply.took_s - _ROUND_TRIP_SECONDS))
        with self._lock:
            # The node and its connection work, and the service is done with the request.
            self._losses.pop(attempt.node, None)
            self._unavailable_until.pop(attempt.node, None)
            self._loss_timeout.record_answer(max(0.0, took_s - attempt.expected_s))

    def _record_time(self, attempt: _Attempt) -> None:
        self._metrics.time(
            "advice_seconds", "Time until advice was there.", steady_seconds() - attempt.started_at
        )

    def _finish_attempt(
        self,
        attempt: _Attempt,
        tickets: dict[str, str] | None,
        may_retry: bool = False,
        may_wait: bool = False,
    ) -> None:
        """Free the node, and post the first answer, or a failure once all attempts have failed.

        An attempt that counted as lost has been finished before, but its answer is still used. With
        ``may_retry``, a failed request is sent again if another node is idle; with ``may_wait``,
        also if it has to wait for one that is busy.
        """
        pending = attempt.pending
        request = pending.effect.request
        nodes = self._nodes() if may_retry else []
        with self._lock:
            is_first_result = not attempt.is_finished
            attempt.is_finished = True
            if is_first_result:
                del self._in_progress[attempt.node]
                pending.open_attempts -= 1
            current = self._pending.get(request)
            is_current = current is pending
            is_queued = pending in self._short_requests or pending in self._long_requests
            if may_retry and is_first_result and is_current and not is_queued:
                is_queued = self._may_send_again(pending, nodes, may_wait)
                if is_queued:
                    self._queue_first(pending)
            is_last = is_first_result and not pending.open_attempts and not is_queued
            # The answer also serves a request that was sent again with the same workers.
            is_answered = current is not None and tickets is not None
            if is_answered or (is_current and is_last):
                del self._pending[request]
                self._remove_from_queues(current)
        if is_answered:
            self._post(AdviceAnswered(AdviceResult(request, tickets)))
        elif is_current and is_last:
            self._post(AdviceFailed(request))

    def _may_send_again(self, pending: _PendingRequest, nodes: list[str], may_wait: bool) -> bool:
        if pending.attempts >= _MAX_ATTEMPTS:
            return False
        now = steady_seconds()
        if not may_wait:
            return bool(self._find_idle(nodes, now))
        is_open = pending.open_attempts > 0
        return not is_open and any(self._unavailable_until.get(node, 0.0) <= now for node in nodes)

    def _record_loss(self, node: str, now: float) -> None:
        self._losses[node] += 1
        pause_s = min(_MAX_LOSS_PAUSE_SECONDS, _LOSS_PAUSE_SECONDS * 2 ** (self._losses[node] - 1))
        until = max(self._unavailable_until.get(node, 0.0), now + pause_s)
        self._unavailable_until[node] = until

    def _remove_from_queues(self, pending: _PendingRequest) -> None:
        for request_queue in (self._short_requests, self._long_requests):
            with contextlib.suppress(ValueError):
                request_queue.remove(pending)

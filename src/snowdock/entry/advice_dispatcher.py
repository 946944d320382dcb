"""Distribution of requests to the advice service over the nodes.

The service handles the calls of a node one at a time, so calls from a single node would queue.
"""

import collections
import concurrent.futures
import contextlib
import dataclasses
import threading
from collections.abc import Callable

from ..clocks import steady_seconds
from ..errors import CallUnanswered, PlatformError
from ..jobs.events import AdviceAnswered, AdviceFailed, AskAdvice, Event
from ..jobs.orders import AdviceRequest, AdviceResult
from ..jobs.timeouts import LONG_ADVICE_REQUEST_MS
from ..logs import log_error, log_event
from ..node.metrics import Metrics
from ..node.peers import Peers
from ..platform.advice import AdviceClient
from ..threads import ServiceThread
from .messages import AdviceRelayRequest, AdviceReply

__all__ = ["AdviceDispatcher", "LocalAdviceClient"]

_MAX_THREADS = 64
"""Threads that wait for answers; each node uses at most one at a time."""

_ANSWER_SLACK_SECONDS = 2.5
"""Time in addition to the expected time after which an answer counts as lost. The service does not
abandon a request whose call has timed out, and the node's next request queues behind it, so a
short timeout would cause each of the following calls to time out as well."""

_PEER_SLACK_SECONDS = 0.3
"""Time in addition to the peer's own timeout, for the round trip."""

_UNREACHABLE_NODE_SECONDS = 1.0
"""How long no request is given to a node to which there was no connection. It fails at once, and
would otherwise take each request before the nodes that work."""

_HEDGE_DELAY_FACTOR = 2.0
_HEDGE_DELAY_SECONDS = 0.15
"""A request without an answer after the expected time multiplied by the factor, plus the seconds,
is also sent by a second node: the first one may have failed, and its timeout takes seconds."""

_HEDGE_CHECK_SECONDS = 0.05
"""Time between checks for late requests."""

_MAX_LONG_SHARE = 0.67
"""Largest share of the nodes that long requests may occupy at a time, so that short requests,
which belong to interactive jobs, find a free node soon."""


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
        When a second node is to send it, in steady seconds; None before the first attempt, and once
        the second one is queued.
    open_attempts
        Number of attempts whose result is not known yet.
    """

    effect: AskAdvice
    hedge_at: float | None = None
    open_attempts: int = 0

    @property
    def is_long(self) -> bool:
        return self.effect.expected_ms > LONG_ADVICE_REQUEST_MS


class AdviceDispatcher:
    """Assigns each request to a free node; a node has one request at a time.

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
        self._long_requests: collections.deque[_PendingRequest] = collections.deque()
        self._pending: dict[AdviceRequest, _PendingRequest] = {}
        self._in_progress: dict[str, _PendingRequest] = {}
        self._unreachable_until: dict[str, float] = {}
        self._stopped = threading.Event()
        self._lock = threading.Lock()
        self._pool = concurrent.futures.ThreadPoolExecutor(_MAX_THREADS, "adviser")
        ServiceThread(self._hedge_late_requests, "advisers", self._stopped.is_set).start()

    def ask(self, effect: AskAdvice) -> None:
        """Queue a request for the next free node."""
        pending = _PendingRequest(effect)
        with self._lock:
            self._pending[effect.request] = pending
            (self._long_requests if pending.is_long else self._short_requests).append(pending)
        self._dispatch()

    def stop(self) -> None:
        """Drop all requests and send no more."""
        self._stopped.set()
        with self._lock:
            self._pending.clear()
            self._short_requests.clear()
            self._long_requests.clear()
        self._pool.shutdown(wait=False, cancel_futures=True)

    def _dispatch(self) -> None:
        nodes = [*sorted(self._live_nodes()), self._own_node]
        now = steady_seconds()
        with self._lock:
            idle = [
                node
                for node in nodes
                if node not in self._in_progress and self._unreachable_until.get(node, 0.0) <= now
            ]
            long_count = sum(each.is_long for each in self._in_progress.values())
            max_long = max(1, int(len(nodes) * _MAX_LONG_SHARE))
            while idle and (
                self._short_requests or (self._long_requests and long_count < max_long)
            ):
                pending = (self._short_requests or self._long_requests).popleft()
                long_count += pending.is_long
                node = idle.pop()
                self._in_progress[node] = pending
                self._record_attempt(pending)
                self._pool.submit(self._ask, pending, node)

    @staticmethod
    def _record_attempt(pending: _PendingRequest) -> None:
        pending.open_attempts += 1
        if pending.open_attempts == 1:
            hedge_delay_s = (
                pending.effect.expected_ms / 1000 * _HEDGE_DELAY_FACTOR + _HEDGE_DELAY_SECONDS
            )
            pending.hedge_at = steady_seconds() + hedge_delay_s

    def _hedge_late_requests(self) -> None:
        """Queue late requests for a second node until stopped."""
        while not self._stopped.wait(_HEDGE_CHECK_SECONDS):
            now = steady_seconds()
            with self._lock:
                late = [
                    each for each in self._pending.values() if each.hedge_at and each.hedge_at < now
                ]
                for each in late:
                    each.hedge_at = None
                    (self._long_requests if each.is_long else self._short_requests).appendleft(each)
            for each in late:
                log_event("advice_late", job=each.effect.request.job, tries=each.open_attempts)
            if late:
                self._dispatch()

    def _ask(self, pending: _PendingRequest, node: str) -> None:
        effect = pending.effect
        request = effect.request
        seconds = effect.expected_ms / 1000 + _ANSWER_SLACK_SECONDS
        started_at = steady_seconds()
        try:
            if node == self._own_node:
                tickets = self._local_client.ask(request, seconds).tickets
            else:
                tickets = self._ask_peer(node, effect, seconds)
        except PlatformError as error:
            log_event("advice_unanswered", job=request.job, by=node, reason=str(error))
            if node != self._own_node and isinstance(error, CallUnanswered) and error.unsent:
                self._unreachable_until[node] = steady_seconds() + _UNREACHABLE_NODE_SECONDS
            tickets = None
        except Exception as error:
            # The failure is posted, and the leader requests advice for the step again.
            log_error("adviser_failed", error, job=request.job, by=node)
            tickets = None
        self._metrics.time(
            "advice_seconds", "Time until advice was there.", steady_seconds() - started_at
        )
        self._finish_attempt(pending, node, tickets)
        self._dispatch()

    def _finish_attempt(
        self, pending: _PendingRequest, node: str, tickets: dict[str, str] | None
    ) -> None:
        """Post the first answer to a request, or a failure once all its attempts have failed."""
        request = pending.effect.request
        with self._lock:
            del self._in_progress[node]
            is_first = self._pending.get(request) is pending
            pending.open_attempts -= 1
            is_last = (
                not pending.open_attempts
                and pending not in self._short_requests
                and pending not in self._long_requests
            )
            if is_first and (tickets is not None or is_last):
                del self._pending[request]
                self._remove_from_queues(pending)
        if is_first and tickets is not None:
            self._post(AdviceAnswered(AdviceResult(request, tickets)))
        elif is_first and is_last:
            self._post(AdviceFailed(request))

    def _remove_from_queues(self, pending: _PendingRequest) -> None:
        for request_queue in (self._short_requests, self._long_requests):
            with contextlib.suppress(ValueError):
                request_queue.remove(pending)

    def _ask_peer(self, node: str, effect: AskAdvice, seconds: float) -> dict[str, str] | None:
        request = effect.request

        def build_request(number: int) -> AdviceRelayRequest:
            return AdviceRelayRequest(
                number,
                request.job,
                request.repetition,
                request.step,
                list(request.workers),
                seconds,
            )

        started_at = steady_seconds()
        reply = self._peers.ask(node, build_request, seconds + _PEER_SLACK_SECONDS)
        if not isinstance(reply, AdviceReply):
            return None
        if reply.took_s is not None:
            round_trip_s = steady_seconds() - started_at - reply.took_s
            self._record_relay_excess(max(0.0, round_trip_s - _PEER_SLACK_SECONDS))
        return reply.tickets

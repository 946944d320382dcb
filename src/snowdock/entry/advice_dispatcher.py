"""Spreads questions to the advice service over the nodes.

The service handles one call of a node at a time, in turn, so one node alone would queue.
"""

import collections
import concurrent.futures
import contextlib
import dataclasses
import threading
from collections.abc import Callable

from ..clocks import steady_seconds
from ..errors import PlatformError
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
"""Threads that wait for answers; at most one for each node is busy."""

_ANSWER_SLACK_SECONDS = 2.5
"""How much longer than told an answer may take before it counts as lost. The service goes on
with a question that nobody waits for any more, and the node's next one queues behind it: an
impatient caller would lose each answer in turn."""

_PEER_SLACK_SECONDS = 0.3
"""How much longer than the peer itself waits: the way there and back."""

_HEDGE_DELAY_FACTOR = 2.0
_HEDGE_DELAY_SECONDS = 0.15
"""A question without an answer after so many times what it takes, and so much more, is asked by
another node as well: the node that asks may be gone, and what it says would come seconds later."""

_HEDGE_CHECK_SECONDS = 0.05
"""Time between looks for such questions."""

_MAX_LONG_SHARE = 0.67
"""The most of the nodes that long questions may occupy at a time, so that a short one, for a
job with a person waiting, always finds a node soon."""


class LocalAdviceClient:
    """Asks the service for this node, one question at a time."""

    def __init__(self, address: str) -> None:
        self._client = AdviceClient(address)
        self._lock = threading.Lock()

    def set_address(self, address: str) -> None:
        """Ask at another address from now on."""
        self._client = AdviceClient(address)

    def ask(self, request: AdviceRequest, seconds: float) -> AdviceResult:
        """Ask, waiting for questions before it."""
        with self._lock:
            return self._client.ask(request, seconds)


@dataclasses.dataclass(slots=True, eq=False)
class _PendingQuestion:
    """A question that is not answered yet.

    ``late_at`` is when another node is to ask it too, in steady seconds; None while it waits for
    a node, and once that has been done.
    """

    question: AskAdvice
    hedge_at: float | None = None
    open_attempts: int = 0

    @property
    def is_long(self) -> bool:
        return self.question.expected_ms > LONG_ADVICE_REQUEST_MS


class AdviceDispatcher:
    """Gives each question to a free node; one question a node at a time.

    Parameters
    ----------
    own_node
        This node's name.
    local
        Asks from this node.
    peers
        Reaches the others.
    live_nodes
        Gives the names of the other nodes that were heard of lately.
    post
        Called with each answer or failure.
    metrics
        Times answers.
    """

    def __init__(
        self,
        own_node: str,
        local_client: LocalAdviceClient,
        peers: Peers,
        live_nodes: Callable[[], list[str]],
        post: Callable[[Event], None],
        metrics: Metrics,
    ) -> None:
        self._own_node = own_node
        self._local_client = local_client
        self._peers = peers
        self._live_nodes = live_nodes
        self._post = post
        self._metrics = metrics
        self._short_questions: collections.deque[_PendingQuestion] = collections.deque()
        self._long_questions: collections.deque[_PendingQuestion] = collections.deque()
        self._pending: dict[AdviceRequest, _PendingQuestion] = {}
        self._in_progress: dict[str, _PendingQuestion] = {}
        self._stopped = threading.Event()
        self._lock = threading.Lock()
        self._pool = concurrent.futures.ThreadPoolExecutor(_MAX_THREADS, "adviser")
        ServiceThread(self._hedge_late_questions, "advisers", self._stopped.is_set).start()

    def ask(self, question: AskAdvice) -> None:
        """Have a question asked by some node."""
        pending = _PendingQuestion(question)
        with self._lock:
            self._pending[question.request] = pending
            (self._long_questions if pending.is_long else self._short_questions).append(pending)
        self._dispatch()

    def stop(self) -> None:
        """Ask nothing more."""
        self._stopped.set()
        with self._lock:
            self._pending.clear()
            self._short_questions.clear()
            self._long_questions.clear()
        self._pool.shutdown(wait=False, cancel_futures=True)

    def _dispatch(self) -> None:
        nodes = [*sorted(self._live_nodes()), self._own_node]
        with self._lock:
            idle = [node for node in nodes if node not in self._in_progress]
            long_count = sum(each.is_long for each in self._in_progress.values())
            max_long = max(1, int(len(nodes) * _MAX_LONG_SHARE))
            while idle and (
                self._short_questions or (self._long_questions and long_count < max_long)
            ):
                pending = (self._short_questions or self._long_questions).popleft()
                long_count += pending.is_long
                node = idle.pop()
                self._in_progress[node] = pending
                self._record_attempt(pending)
                self._pool.submit(self._ask, pending, node)

    @staticmethod
    def _record_attempt(pending: _PendingQuestion) -> None:
        pending.open_attempts += 1
        if pending.open_attempts == 1:
            hedge_delay_s = (
                pending.question.expected_ms / 1000 * _HEDGE_DELAY_FACTOR + _HEDGE_DELAY_SECONDS
            )
            pending.hedge_at = steady_seconds() + hedge_delay_s

    def _hedge_late_questions(self) -> None:
        """Have questions that are late asked by another node, too."""
        while not self._stopped.wait(_HEDGE_CHECK_SECONDS):
            now = steady_seconds()
            with self._lock:
                late = [
                    each for each in self._pending.values() if each.hedge_at and each.hedge_at < now
                ]
                for each in late:
                    each.hedge_at = None
                    (self._long_questions if each.is_long else self._short_questions).appendleft(
                        each
                    )
            for each in late:
                log_event("advice_late", job=each.question.request.job, tries=each.open_attempts)
            if late:
                self._dispatch()

    def _ask(self, pending: _PendingQuestion, node: str) -> None:
        question = pending.question
        request = question.request
        seconds = question.expected_ms / 1000 + _ANSWER_SLACK_SECONDS
        started_at = steady_seconds()
        try:
            if node == self._own_node:
                tickets = self._local_client.ask(request, seconds).tickets
            else:
                tickets = self._ask_peer(node, question, seconds)
        except PlatformError as error:
            log_event("advice_unanswered", job=request.job, by=node, reason=str(error))
            tickets = None
        except Exception as error:
            # The node stays usable, and the step is asked about again.
            log_error("adviser_failed", error, job=request.job, by=node)
            tickets = None
        self._metrics.time(
            "advice_seconds", "Time until advice was there.", steady_seconds() - started_at
        )
        self._finish_attempt(pending, node, tickets)
        self._dispatch()

    def _finish_attempt(
        self, pending: _PendingQuestion, node: str, tickets: dict[str, str] | None
    ) -> None:
        """Tell of a question's first answer, or that all who asked it had none."""
        request = pending.question.request
        with self._lock:
            del self._in_progress[node]
            is_first = self._pending.get(request) is pending
            pending.open_attempts -= 1
            is_last = (
                not pending.open_attempts
                and pending not in self._short_questions
                and pending not in self._long_questions
            )
            if is_first and (tickets is not None or is_last):
                del self._pending[request]
                self._remove_from_queues(pending)
        if is_first and tickets is not None:
            self._post(AdviceAnswered(AdviceResult(request, tickets)))
        elif is_first and is_last:
            self._post(AdviceFailed(request))

    def _remove_from_queues(self, pending: _PendingQuestion) -> None:
        for question_queue in (self._short_questions, self._long_questions):
            with contextlib.suppress(ValueError):
                question_queue.remove(pending)

    def _ask_peer(self, node: str, question: AskAdvice, seconds: float) -> dict[str, str] | None:
        request = question.request

        def build_request(number: int) -> AdviceRelayRequest:
            return AdviceRelayRequest(
                number,
                request.job,
                request.repetition,
                request.step,
                list(request.workers),
                seconds,
            )

        reply = self._peers.ask(node, build_request, seconds + _PEER_SLACK_SECONDS)
        return reply.tickets if isinstance(reply, AdviceReply) else None

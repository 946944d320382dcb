"""Distribution of questions to the advice service over the nodes.

The service handles the calls of a node one at a time, so calls from a single node would queue.
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
from ..jobs.orders import AdviceGiven, AdviceWanted
from ..jobs.times import LONG_QUESTION_MS
from ..logs import log_error, log_event
from ..node.metrics import Metrics
from ..node.peers import Peers
from ..platform.advice import AdviceClient
from ..threads import ServiceThread
from .messages import AdviceAsked, AdviceReply

__all__ = ["Advisers", "LocalAdviser"]

_ASKERS = 64
"""Threads that wait for answers; each node uses at most one at a time."""

_SLACK_SECONDS = 2.5
"""Time in addition to the expected time after which an answer counts as lost. The service does not
abandon a question whose call has timed out, and the node's next question queues behind it, so a
short timeout would cause each of the following calls to time out as well."""

_PEER_SLACK_SECONDS = 0.3
"""Time in addition to the peer's own timeout, for the round trip."""

_LATE_FACTOR = 2.0
_LATE_SECONDS = 0.15
"""A question without an answer after the expected time multiplied by the factor, plus the seconds,
is also asked by a second node: the first one may have failed, and its timeout takes seconds."""

_WATCH_SECONDS = 0.05
"""Time between checks for late questions."""

_LONG_SHARE = 0.67
"""Largest share of the nodes that long questions may occupy at a time, so that short questions,
which belong to interactive jobs, find a free node soon."""


class LocalAdviser:
    """Client of the advice service for this node; asks one question at a time."""

    def __init__(self, address: str) -> None:
        self._client = AdviceClient(address)
        self._lock = threading.Lock()

    def move(self, address: str) -> None:
        """Use another address for the following questions."""
        self._client = AdviceClient(address)

    def ask(self, wanted: AdviceWanted, seconds: float) -> AdviceGiven:
        """Ask a question after those before it are answered.

        Parameters
        ----------
        request
            The question.
        seconds
            Timeout of the call to the service.
        """
        with self._lock:
            return self._client.ask(wanted, seconds)


@dataclasses.dataclass(slots=True, eq=False)
class _Open:
    """A question that is not answered yet.

    Attributes
    ----------
    question
        The question.
    hedge_at
        When a second node is to ask it, in steady seconds; None before the first attempt, and once
        the second one is queued.
    open_attempts
        Number of attempts whose result is not known yet.
    """

    question: AskAdvice
    late_at: float | None = None
    tries: int = 0

    @property
    def is_long(self) -> bool:
        return self.question.expected_ms > LONG_QUESTION_MS


class Advisers:
    """Assigns each question to a free node; a node has one question at a time.

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
    """

    def __init__(
        self,
        own_node: str,
        local: LocalAdviser,
        peers: Peers,
        live_nodes: Callable[[], list[str]],
        post: Callable[[Event], None],
        metrics: Metrics,
    ) -> None:
        self._own_node = own_node
        self._local = local
        self._peers = peers
        self._live_nodes = live_nodes
        self._post = post
        self._metrics = metrics
        self._short: collections.deque[_Open] = collections.deque()
        self._long: collections.deque[_Open] = collections.deque()
        self._open: dict[AdviceWanted, _Open] = {}
        self._busy: dict[str, _Open] = {}
        self._stopped = threading.Event()
        self._lock = threading.Lock()
        self._pool = concurrent.futures.ThreadPoolExecutor(_ASKERS, "adviser")
        ServiceThread(self._watch, "advisers", self._stopped.is_set).start()

    def ask(self, question: AskAdvice) -> None:
        """Queue a question for the next free node."""
        opened = _Open(question)
        with self._lock:
            self._open[question.wanted] = opened
            (self._long if opened.is_long else self._short).append(opened)
        self._dispatch()

    def stop(self) -> None:
        """Drop all questions and ask no more."""
        self._stopped.set()
        with self._lock:
            self._open.clear()
            self._short.clear()
            self._long.clear()
        self._pool.shutdown(wait=False, cancel_futures=True)

    def _dispatch(self) -> None:
        nodes = [*sorted(self._live_nodes()), self._own_node]
        with self._lock:
            idle = [node for node in nodes if node not in self._busy]
            long_ones = sum(each.is_long for each in self._busy.values())
            most_long = max(1, int(len(nodes) * _LONG_SHARE))
            while idle and (self._short or (self._long and long_ones < most_long)):
                opened = (self._short or self._long).popleft()
                long_ones += opened.is_long
                node = idle.pop()
                self._busy[node] = opened
                self._note_asked(opened)
                self._pool.submit(self._ask, opened, node)

    @staticmethod
    def _note_asked(opened: _Open) -> None:
        opened.tries += 1
        if opened.tries == 1:
            patience = opened.question.expected_ms / 1000 * _LATE_FACTOR + _LATE_SECONDS
            opened.late_at = steady_seconds() + patience

    def _watch(self) -> None:
        """Queue late questions for a second node until stopped."""
        while not self._stopped.wait(_WATCH_SECONDS):
            now = steady_seconds()
            with self._lock:
                late = [each for each in self._open.values() if each.late_at and each.late_at < now]
                for each in late:
                    each.late_at = None
                    (self._long if each.is_long else self._short).appendleft(each)
            for each in late:
                log_event("advice_late", job=each.question.wanted.job, tries=each.tries)
            if late:
                self._dispatch()

    def _ask(self, opened: _Open, node: str) -> None:
        question = opened.question
        wanted = question.wanted
        seconds = question.expected_ms / 1000 + _SLACK_SECONDS
        began = steady_seconds()
        try:
            if node == self._own_node:
                tickets = self._local.ask(wanted, seconds).tickets
            else:
                tickets = self._ask_peer(node, question, seconds)
        except PlatformError as error:
            log_event("advice_unanswered", job=wanted.job, by=node, reason=str(error))
            tickets = None
        except Exception as error:
            # The failure is posted, and the leader asks about the step again.
            log_error("adviser_failed", error, job=wanted.job, by=node)
            tickets = None
        self._metrics.time(
            "advice_seconds", "Time until advice was there.", steady_seconds() - began
        )
        self._take(opened, node, tickets)
        self._dispatch()

    def _take(self, opened: _Open, node: str, tickets: dict[str, str] | None) -> None:
        """Post the first answer to a question, or a failure once all its attempts have failed."""
        wanted = opened.question.wanted
        with self._lock:
            del self._busy[node]
            is_first = self._open.get(wanted) is opened
            opened.tries -= 1
            is_last = not opened.tries and opened not in self._short and opened not in self._long
            if is_first and (tickets is not None or is_last):
                del self._open[wanted]
                self._drop_waiting(opened)
        if is_first and tickets is not None:
            self._post(AdviceAnswered(AdviceGiven(wanted, tickets)))
        elif is_first and is_last:
            self._post(AdviceFailed(wanted))

    def _drop_waiting(self, opened: _Open) -> None:
        for waiting in (self._short, self._long):
            with contextlib.suppress(ValueError):
                waiting.remove(opened)

    def _ask_peer(self, node: str, question: AskAdvice, seconds: float) -> dict[str, str] | None:
        wanted = question.wanted

        def make(number: int) -> AdviceAsked:
            return AdviceAsked(
                number, wanted.job, wanted.repetition, wanted.step, list(wanted.workers), seconds
            )

        reply = self._peers.ask(node, make, seconds + _PEER_SLACK_SECONDS)
        return reply.tickets if isinstance(reply, AdviceReply) else None

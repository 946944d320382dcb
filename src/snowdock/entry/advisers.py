"""Spreads questions to the advice service over the nodes.

The service handles one call of a node at a time, in turn, so one node alone would queue.
"""

import concurrent.futures
import dataclasses
import threading
import time
from collections.abc import Callable

from ..errors import PlatformError
from ..jobs.events import AdviceAnswered, AdviceFailed, AskAdvice, Event
from ..jobs.orders import AdviceGiven, AdviceWanted
from ..node.logs import log_event
from ..node.metrics import Metrics
from ..node.peers import Peers
from ..platform.advice import AdviceClient
from .messages import AdviceAsked, AdviceReply

__all__ = ["Advisers", "LocalAdviser"]

_SLACK_SECONDS = 0.4
"""How much longer than told an answer may take before another node is asked."""

_MOST_BEHIND_SECONDS = 2.0
"""A question that would begin later than this is not asked yet."""

_ASKERS = 32


class LocalAdviser:
    """Asks the service for this node, one question at a time."""

    def __init__(self, address: str) -> None:
        self._client = AdviceClient(address)
        self._lock = threading.Lock()

    def move(self, address: str) -> None:
        """Ask at another address from now on."""
        self._client = AdviceClient(address)

    def ask(self, wanted: AdviceWanted, seconds: float) -> AdviceGiven:
        """Ask, waiting for questions before it."""
        with self._lock:
            return self._client.ask(wanted, seconds)


@dataclasses.dataclass(slots=True)
class _Asker:
    """A node that can ask, and when it will have answered all it was given."""

    node: str
    busy_until: float = 0.0


class Advisers:
    """Gives each question to the node that is free first.

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
        self._askers: dict[str, _Asker] = {}
        self._lock = threading.Lock()
        self._pool = concurrent.futures.ThreadPoolExecutor(_ASKERS, "adviser")

    def ask(self, question: AskAdvice) -> None:
        """Have a question asked by some node."""
        seconds = question.expected_ms / 1000
        now = time.monotonic()
        with self._lock:
            asker = self._first_free(now)
            begins = max(now, asker.busy_until)
            if begins - now > _MOST_BEHIND_SECONDS:
                self._post(AdviceFailed(question.wanted))
                return
            asker.busy_until = begins + seconds
        self._pool.submit(self._ask, question, asker, begins - now + seconds + _SLACK_SECONDS)

    def stop(self) -> None:
        """Ask nothing more."""
        self._pool.shutdown(wait=False, cancel_futures=True)

    def _first_free(self, now: float) -> _Asker:
        nodes = [*sorted(self._live_nodes()), self._own_node]
        askers = [self._askers.setdefault(node, _Asker(node)) for node in nodes]
        return min(askers, key=lambda asker: max(now, asker.busy_until))

    def _ask(self, question: AskAdvice, asker: _Asker, seconds: float) -> None:
        wanted = question.wanted
        began = time.monotonic()
        try:
            if asker.node == self._own_node:
                tickets = self._local.ask(wanted, seconds).tickets
            else:
                tickets = self._ask_peer(asker.node, question, seconds)
        except PlatformError as error:
            log_event("advice_unanswered", job=wanted.job, by=asker.node, reason=str(error))
            tickets = None
        self._metrics.observe(
            "advice_seconds", "Time until advice was there.", time.monotonic() - began
        )
        if tickets is None:
            asker.busy_until = time.monotonic() + _SLACK_SECONDS
            self._post(AdviceFailed(wanted))
        else:
            self._post(AdviceAnswered(AdviceGiven(wanted, tickets)))

    def _ask_peer(self, node: str, question: AskAdvice, seconds: float) -> dict[str, str] | None:
        wanted = question.wanted

        def make(number: int) -> AdviceAsked:
            return AdviceAsked(
                number, wanted.job, wanted.repetition, wanted.step, list(wanted.workers), seconds
            )

        reply = self._peers.ask(node, make, seconds)
        return reply.tickets if isinstance(reply, AdviceReply) else None

"""Calls to one worker: a thread for its orders and one for its renewals."""

import queue
import threading
import time
from collections.abc import Callable

from ..errors import CallUnanswered, PlatformError
from ..jobs.events import Event, RenewAnswered, StartAnswered, StopAnswered
from ..jobs.orders import Refusal, RenewOrder, StartOrder, StartResult, StopOrder
from ..node.logs import log_error, log_event
from ..node.metrics import Metrics
from ..platform.worker_calls import WorkerClient

__all__ = ["WorkerLink"]

_ORDER_SECONDS = 0.4
"""How long a start or stop may take: a worker answers in a few ms, and a gang's members wait
for each other for a few seconds only."""

_START_TRIES = 3
"""A start without an answer is sent again: to the worker it is the same run."""

_RENEW_SLACK_SECONDS = 0.3
"""How much longer than its wait a renewal may take."""

_CONNECTIONS = 2
"""One for orders, one for renewals."""


class WorkerLink:
    """Carries orders and renewals to one life of a worker, each kind in order.

    Parameters
    ----------
    life, address
        The worker.
    post
        Called with each answer.
    metrics
        Counts and times calls.
    """

    def __init__(
        self, life: str, address: str, post: Callable[[Event], None], metrics: Metrics
    ) -> None:
        self._life = life
        self._client = WorkerClient(life, address, _CONNECTIONS)
        self._post = post
        self._metrics = metrics
        self._orders: queue.SimpleQueue[StartOrder | StopOrder | None] = queue.SimpleQueue()
        self._renewals: queue.SimpleQueue[RenewOrder | None] = queue.SimpleQueue()
        self._closed = False
        for name, target in (("orders", self._run_orders), ("renewals", self._run_renewals)):
            threading.Thread(target=target, name=f"{name}-{life}", daemon=True).start()

    def order(self, order: StartOrder | StopOrder) -> None:
        """Send a start or stop after those before it."""
        self._orders.put(order)

    def renew(self, order: RenewOrder) -> None:
        """Send a renewal."""
        self._renewals.put(order)

    def close(self) -> None:
        """Send nothing more."""
        self._closed = True
        self._orders.put(None)
        self._renewals.put(None)

    def _run_orders(self) -> None:
        while (order := self._orders.get()) is not None and not self._closed:
            if isinstance(order, StartOrder):
                self._start(order)
            else:
                self._stop(order)

    def _start(self, order: StartOrder) -> None:
        began = time.monotonic()
        result = None
        for number in range(_START_TRIES):
            result = self._try_start(order)
            if result is not None:
                result = _certain(result, number)
                break
            self._metrics.count("starts_repeated_total", "Starts sent again.")
        self._metrics.time(
            "start_call_seconds", "Time of a start's call.", time.monotonic() - began
        )
        outcome = "unanswered"
        if result is not None:
            outcome = result.refusal.value if result.refusal else "started"
        self._metrics.count("starts_total", "Starts ordered.", outcome=outcome)
        self._post(StartAnswered(self._life, order.task, order.run, result))

    def _try_start(self, order: StartOrder) -> StartResult | None:
        try:
            return self._client.start(order, _ORDER_SECONDS)
        except CallUnanswered as error:
            return StartResult(Refusal.UNREACHED) if error.unsent else None
        except PlatformError as error:
            log_event("start_answer_unusable", worker=self._life, reason=str(error))
            return None
        except Exception as error:
            log_error("start_failed", error, worker=self._life)
            return None

    def _stop(self, order: StopOrder) -> None:
        refusal, answered = None, False
        try:
            refusal = self._client.stop(order, _ORDER_SECONDS)
            answered = True
        except PlatformError as error:
            log_event("stop_unanswered", worker=self._life, task=order.task, reason=str(error))
        except Exception as error:
            log_error("stop_failed", error, worker=self._life)
        self._post(StopAnswered(self._life, order.task, order.run, answered, refusal))

    def _run_renewals(self) -> None:
        while (order := self._renewals.get()) is not None and not self._closed:
            outcome = None
            try:
                outcome = self._client.renew(order, order.wait_ms / 1000 + _RENEW_SLACK_SECONDS)
            except PlatformError as error:
                self._metrics.count("renewals_failed_total", "Renewals without an answer.")
                log_event("renewal_unanswered", worker=self._life, reason=str(error))
            except Exception as error:
                log_error("renewal_failed", error, worker=self._life)
            self._post(RenewAnswered(self._life, order, outcome))
        self._client.close()


def _certain(result: StartResult, tries_before: int) -> StartResult | None:
    """Give an answer that can be relied on, or none.

    An earlier try may have been carried out, so a refusal of a later one tells nothing of the
    run, but where the worker's life is over or another node leads.
    """
    definite = (None, Refusal.OTHER_LIFE, Refusal.FENCED)
    return result if tries_before == 0 or result.refusal in definite else None

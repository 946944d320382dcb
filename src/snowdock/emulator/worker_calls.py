"""Calls of emulated leaders to modelled workers, with delays and lost messages."""

import random
from collections.abc import Callable

from ..jobs.events import (
    Event,
    RenewAnswered,
    SendRenewal,
    SendStart,
    SendStop,
    StartAnswered,
    StopAnswered,
)
from ..jobs.lives import worker_id_of
from ..jobs.model import StepSpec
from ..jobs.orders import Refusal, StartOrder, StartResult
from .options import Faults
from .timeline import Timeline
from .worker_model import WorkerModel

__all__ = ["Post", "WorkerCalls", "draw_delay"]

_ORDER_TIMEOUT_SECONDS = 0.4
"""Timeout of an order; the same as a real leader's."""

_RENEW_SLACK_SECONDS = 0.3
"""Added to a renewal's wait for its timeout; the same as a real leader's."""

_NO_ANSWER = object()
"""Marks a stop without an answer; an answer itself may be None."""

Post = Callable[[Event], None]
"""Posts the event with a call's answer to the leader that made the call."""


def draw_delay(rng: random.Random, mean: float) -> float:
    """Return a random delay around a typical one, in the same unit."""
    return mean * rng.uniform(0.7, 1.6)


class WorkerCalls:
    """Delivers orders and renewals to workers.

    Parameters
    ----------
    timeline
        The virtual clock.
    rng
        Random source of delays and faults.
    faults
        Faults in effect.
    workers
        All workers, by life.
    typical_call_s
        Typical duration of a call, in seconds.
    find_step
        Returns the step of the task that an order starts.
    can_reach
        Returns whether the leader that makes the calls reaches a worker's life.
    """

    def __init__(
        self,
        timeline: Timeline,
        rng: random.Random,
        faults: Faults,
        workers: dict[str, WorkerModel],
        typical_call_s: float,
        find_step: Callable[[StartOrder], StepSpec],
        can_reach: Callable[[str], bool] = lambda life: True,
    ) -> None:
        self._timeline = timeline
        self._random = rng
        self._faults = faults
        self._workers = workers
        self._typical_call_s = typical_call_s
        self._find_step = find_step
        self._can_reach = can_reach

    def _draw_one_way_delay(self) -> float:
        return draw_delay(self._random, self._typical_call_s / 2)

    def _is_reachable(self, life: str) -> bool:
        return life not in self._faults.unreachable_lives and self._can_reach(life)

    def _find_reachable(self, life: str) -> WorkerModel | None:
        model = self._workers[life]
        return model if model.is_up and self._is_reachable(life) else None

    def _find_refusal(self, life: str) -> Refusal | None:
        """Return the refusal by a later life at a worker's address; None if none answers there."""
        last = self._workers[life]
        while last.successor:
            last = self._workers[last.successor]
        if last.entry.life == life or self._find_reachable(last.entry.life) is None:
            return None
        is_next = last.entry.worker == worker_id_of(life)
        return Refusal.NEXT_LIFE if is_next else Refusal.OTHER_LIFE

    def send_start(self, post: Post, effect: SendStart) -> None:
        """Send a start and post its answer, or that there is none."""
        order = effect.order
        self._send_order(
            post,
            effect.life,
            lambda model: model.start(order, self._find_step(order)),
            lambda result: StartAnswered(effect.life, order.task, order.run, result),
            StartResult,
        )

    def send_stop(self, post: Post, effect: SendStop) -> None:
        """Send a stop and post its answer, or that there is none."""
        order = effect.order

        def make_event(result) -> StopAnswered:
            answered = result is not _NO_ANSWER
            refusal = result if isinstance(result, Refusal) else None
            return StopAnswered(effect.life, order.task, order.run, answered, refusal)

        self._send_order(
            post,
            effect.life,
            lambda model: model.stop(order),
            make_event,
            lambda each: each,
            _NO_ANSWER,
        )

    def _send_order(
        self,
        post: Post,
        life: str,
        execute: Callable[[WorkerModel], object],
        make_event: Callable[[object], Event],
        make_refusal: Callable[[Refusal], object],
        no_answer: object = None,
    ) -> None:
        def time_out() -> None:
            self._timeline.call_after(_ORDER_TIMEOUT_SECONDS, lambda: post(make_event(no_answer)))

        if self._random.random() < self._faults.late_order_share:
            self._execute_later(life, execute, self._random.uniform(2.0, 6.0))
            time_out()
            return

        def arrive() -> None:
            model = self._find_reachable(life)
            if model is None:
                refusal = self._find_refusal(life)
                if refusal is not None:
                    self._timeline.call_after(
                        self._draw_one_way_delay(), lambda: post(make_event(make_refusal(refusal)))
                    )
                else:
                    time_out()
                return
            result = execute(model)
            if self._random.random() < self._faults.lost_answer_share:
                time_out()
                return
            self._timeline.call_after(self._draw_one_way_delay(), lambda: post(make_event(result)))

        self._timeline.call_after(self._draw_one_way_delay(), arrive)

    def _execute_later(
        self, life: str, execute: Callable[[WorkerModel], object], seconds: float
    ) -> None:
        def arrive() -> None:
            model = self._find_reachable(life)
            if model is not None:
                execute(model)

        self._timeline.call_after(seconds, arrive)

    def send_renewal(self, post: Post, effect: SendRenewal) -> None:
        """Send a renewal and post its answer, or that there is none."""
        order = effect.order
        finished = False

        def finish(outcome) -> None:
            nonlocal finished
            if not finished:
                finished = True
                post(RenewAnswered(effect.life, order, outcome))

        self._timeline.call_after(order.wait_ms / 1000 + _RENEW_SLACK_SECONDS, lambda: finish(None))

        def answer(outcome) -> None:
            if not self._is_reachable(effect.life):
                return
            if self._random.random() >= self._faults.lost_answer_share:
                self._timeline.call_after(self._draw_one_way_delay(), lambda: finish(outcome))

        def arrive() -> None:
            model = self._find_reachable(effect.life)
            if model is not None:
                model.renew(order, answer)
                return
            refusal = self._find_refusal(effect.life)
            if refusal is not None:
                self._timeline.call_after(self._draw_one_way_delay(), lambda: finish(refusal))

        self._timeline.call_after(self._draw_one_way_delay(), arrive)

"""The actor that sends orders to the workers driven by this node."""

import concurrent.futures
import dataclasses
import time

import pykka

from ..clocks import steady_seconds
from ..decisions.orders import WorkerOrder, build_order
from ..errors import PlatformError
from ..logs import log_event
from ..platform.workers import AttemptReport, WorkerClient
from .messages import (
    AssignmentChanged,
    LogConfirmed,
    SyncAnswered,
    SyncFailed,
    View,
    WorkerPoked,
)
from .parts import Parts

__all__ = ["WorkerDriver"]

_CALLERS = 8
_PAUSE_SECONDS = 1.5
_RETRY_SECONDS = 1.0


@dataclasses.dataclass(slots=True)
class _Driven:
    """The state of one driven worker.

    Attributes
    ----------
    due_at
        When the next call is due, in seconds on the monotonic clock.
    is_calling
        Whether a call is in progress.
    sync_requested
        Whether another call was requested during the call in progress.
    has_active_order
        Whether the last order renewed, started or stopped attempts.
    reports
        The worker's last reports by attempt.
    """

    due: float
    busy: bool = False
    poked: bool = False
    watched: bool = False
    reports: dict[str, AttemptReport] = dataclasses.field(default_factory=dict)


@dataclasses.dataclass(frozen=True, slots=True)
class _Done:
    """A call to a worker finished; ``reports`` is None if it failed."""

    worker: str
    reports: dict[str, AttemptReport] | None


class WorkerDriver(pykka.ThreadingActor):
    """Calls each worker when it has orders for it, and otherwise at long intervals.

    After a pause of the process, no orders are sent until the log has been read again, since
    the node's state may be too old to renew leases.

    Parameters
    ----------
    context
        The node's settings and actors.
    client
        The client of the workers.
    """

    def __init__(self, parts: Parts, client: WorkerClient) -> None:
        super().__init__()
        self._parts = parts
        self._client = client
        self._interval = parts.settings.timing.sync_interval_ms / 1000
        self._driven: dict[str, _Driven] = {}
        self._last_seen = steady_seconds()
        self._distrusted_since: float | None = None
        self._callers = concurrent.futures.ThreadPoolExecutor(_CALLERS, "worker-call")

    def on_stop(self) -> None:
        """Stop the call threads without waiting for calls in progress."""
        self._callers.shutdown(wait=False, cancel_futures=True)

    def on_receive(self, message: object) -> None:
        """Handle a message, then call the workers that are due."""
        self._notice_pause()
        if isinstance(message, WorkerPoked):
            self._poke(message.worker)
        elif isinstance(message, _Done):
            self._done(message)
        elif isinstance(message, AssignmentChanged):
            self._assign(message)
        elif isinstance(message, LogConfirmed):
            self._trust(message)
        if self._distrusted_since is None:
            self._call_due()

    def _notice_pause(self) -> None:
        now = steady_seconds()
        if now - self._last_seen > _PAUSE_SECONDS:
            self._distrusted_since = now
            log_event("pause_noticed", seconds=now - self._last_seen)
        self._last_seen = now

    def _trust(self, message: LogConfirmed) -> None:
        if self._distrusted_since is not None and message.asked_at > self._distrusted_since:
            self._distrusted_since = None

    def _assign(self, message: AssignmentChanged) -> None:
        now = steady_seconds()
        for name in self._driven.keys() - message.workers:
            if not self._driven[name].busy:
                del self._driven[name]
        for name in message.workers - self._driven.keys():
            self._driven[name] = _Driven(due=now)

    def _poke(self, name: str) -> None:
        driven = self._driven.get(name)
        if driven is None:
            return
        driven.due = 0.0
        driven.poked = driven.busy

    def _call_due(self) -> None:
        now = steady_seconds()
        due = [name for name, d in self._driven.items() if d.due <= now and not d.busy]
        if not due:
            return
        orders = self._parts.state.ask(View(lambda parts: self._build(parts.state, due)))
        for name, order in orders.items():
            driven = self._driven[name]
            if order is None:
                driven.due = now + self._interval
                continue
            driven.busy = True
            driven.watched = bool(order.order.renew or order.order.start or order.order.stop)
            self._callers.submit(self._call, name, order)

    def _build(self, state, names: list[str]) -> dict[str, WorkerOrder | None]:
        now_ms = int(time.time() * 1000)
        return {
            name: build_order(state, name, self._driven[name].reports, now_ms) for name in names
        }

    def _call(self, name: str, order: WorkerOrder) -> None:
        try:
            answer = self._client.sync(order.address, order.order)
        except PlatformError as error:
            self._tell(SyncFailed(name, str(error)), _Done(name, None))
            return
        self._tell(SyncAnswered(name, answer), _Done(name, answer.attempts))

    def _tell(self, result: object, done: _Done) -> None:
        try:
            self._parts.state.tell(result)
            self.actor_ref.tell(done)
        except pykka.ActorDeadError:
            return

    def _done(self, message: _Done) -> None:
        driven = self._driven.get(message.worker)
        if driven is None:
            return
        driven.busy = False
        now = steady_seconds()
        if message.reports is None:
            driven.due = now + _RETRY_SECONDS
        else:
            driven.reports = message.reports
            driven.due = now if driven.poked else now + self._interval_of(driven)
        driven.poked = False

    def _interval_of(self, driven: _Driven) -> float:
        """Return the seconds until the next call, which are fewer while attempts are running."""
        if not driven.watched and not driven.reports:
            return self._interval
        return min(self._interval, self._parts.settings.timing.watch_interval_ms / 1000)

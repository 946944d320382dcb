"""The actor that gives orders to the workers which this node drives."""

import concurrent.futures
import dataclasses
import time

import pykka

from ..clocks import steady_seconds
from ..decisions.orders import WorkerOrder, build_order
from ..errors import PlatformError
from ..logs import log_event
from ..platform.worker_client import AttemptReport, WorkerClient
from .context import NodeContext
from .messages import (
    AssignmentChanged,
    LogConfirmed,
    Query,
    SyncAnswered,
    SyncFailed,
    WorkerSyncRequested,
)

__all__ = ["WorkerDriver"]

_MAX_CALL_THREADS = 8
_PAUSE_THRESHOLD_SECONDS = 1.5
_RETRY_SECONDS = 1.0


@dataclasses.dataclass(slots=True)
class _DrivenWorker:
    """One worker; ``due`` is on the monotonic clock."""

    due_at: float
    is_calling: bool = False
    sync_requested: bool = False
    has_active_order: bool = False
    reports: dict[str, AttemptReport] = dataclasses.field(default_factory=dict)


@dataclasses.dataclass(frozen=True, slots=True)
class _CallFinished:
    """A call to a worker is over."""

    worker: str
    reports: dict[str, AttemptReport] | None


class WorkerDriver(pykka.ThreadingActor):
    """Calls each worker when something is to be done there, and else at long intervals.

    After a pause of the process nothing is ordered until the log was read again: what this
    node knows may be too old to renew anything by.
    """

    def __init__(self, context: NodeContext, client: WorkerClient) -> None:
        super().__init__()
        self._context = context
        self._client = client
        self._interval = context.settings.timing.sync_interval_ms / 1000
        self._workers: dict[str, _DrivenWorker] = {}
        self._last_message_at = steady_seconds()
        self._paused_at: float | None = None
        self._call_pool = concurrent.futures.ThreadPoolExecutor(_MAX_CALL_THREADS, "worker-call")

    def on_stop(self) -> None:
        """End the callers; a call on its way is not waited for."""
        self._call_pool.shutdown(wait=False, cancel_futures=True)

    def on_receive(self, message: object) -> None:
        """Take a change of what is to be driven, the end of a call, or the time."""
        self._detect_pause()
        if isinstance(message, WorkerSyncRequested):
            self._request_sync(message.worker)
        elif isinstance(message, _CallFinished):
            self._handle_call_finished(message)
        elif isinstance(message, AssignmentChanged):
            self._assign(message)
        elif isinstance(message, LogConfirmed):
            self._resume_after_read(message)
        if self._paused_at is None:
            self._call_due()

    def _detect_pause(self) -> None:
        now = steady_seconds()
        if now - self._last_message_at > _PAUSE_THRESHOLD_SECONDS:
            self._paused_at = now
            log_event("pause_noticed", seconds=now - self._last_message_at)
        self._last_message_at = now

    def _resume_after_read(self, message: LogConfirmed) -> None:
        if self._paused_at is not None and message.read_started_at > self._paused_at:
            self._paused_at = None

    def _assign(self, message: AssignmentChanged) -> None:
        now = steady_seconds()
        for name in self._workers.keys() - message.workers:
            if not self._workers[name].is_calling:
                del self._workers[name]
        for name in message.workers - self._workers.keys():
            self._workers[name] = _DrivenWorker(due_at=now)

    def _request_sync(self, name: str) -> None:
        worker = self._workers.get(name)
        if worker is None:
            return
        worker.due_at = 0.0
        worker.sync_requested = worker.is_calling

    def _call_due(self) -> None:
        now = steady_seconds()
        due = [name for name, d in self._workers.items() if d.due_at <= now and not d.is_calling]
        if not due:
            return
        orders = self._context.state.ask(Query(lambda parts: self._build_orders(parts.state, due)))
        for name, order in orders.items():
            worker = self._workers[name]
            if order is None:
                worker.due_at = now + self._interval
                continue
            worker.is_calling = True
            worker.has_active_order = bool(
                order.order.renew or order.order.start or order.order.stop
            )
            self._call_pool.submit(self._call, name, order)

    def _build_orders(self, state, names: list[str]) -> dict[str, WorkerOrder | None]:
        now_ms = int(time.time() * 1000)
        return {
            name: build_order(state, name, self._workers[name].reports, now_ms) for name in names
        }

    def _call(self, name: str, order: WorkerOrder) -> None:
        try:
            answer = self._client.sync(order.address, order.order)
        except PlatformError as error:
            self._report_result(SyncFailed(name, str(error)), _CallFinished(name, None))
            return
        self._report_result(SyncAnswered(name, answer), _CallFinished(name, answer.attempts))

    def _report_result(self, result: object, done: _CallFinished) -> None:
        try:
            self._context.state.tell(result)
            self.actor_ref.tell(done)
        except pykka.ActorDeadError:
            return

    def _handle_call_finished(self, message: _CallFinished) -> None:
        worker = self._workers.get(message.worker)
        if worker is None:
            return
        worker.is_calling = False
        now = steady_seconds()
        if message.reports is None:
            worker.due_at = now + _RETRY_SECONDS
        else:
            worker.reports = message.reports
            worker.due_at = now if worker.sync_requested else now + self._sync_interval_s(worker)
        worker.sync_requested = False

    def _sync_interval_s(self, worker: _DrivenWorker) -> float:
        """Look sooner where something runs whose end somebody waits for."""
        if not worker.has_active_order and not worker.reports:
            return self._interval
        return min(self._interval, self._context.settings.timing.watch_interval_ms / 1000)

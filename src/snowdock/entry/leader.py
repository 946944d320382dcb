"""The leader: an actor that passes events to the reducer and applies its effects."""

import contextlib
import dataclasses
import math
import time
from collections.abc import Callable

import pykka

from ..clocks import steady_seconds
from ..jobs.cell import Cell, CellSettings
from ..jobs.events import (
    AskAdvice,
    CloseWorker,
    DropAdvice,
    DropJobs,
    DropProgress,
    Effect,
    Event,
    ForgetAccepted,
    LogDecision,
    OpenWorker,
    Persist,
    PublishJobRoom,
    PublishLoad,
    PublishStatus,
    RecordPrediction,
    SendRenewal,
    SendStart,
    SendStop,
    StepDown,
    Ticked,
)
from ..jobs.job_room import JobRoom
from ..jobs.load_history import prediction_ratio
from ..jobs.load_summary import LoadSummary
from ..jobs.model import Configuration
from ..jobs.policy import make_policy
from ..jobs.reducer import reduce
from ..jobs.takeover import RecordedJobs, restore
from ..jobs.timeouts import TICK_SECONDS
from ..jobs.unsent_calls import answer_unsent
from ..logs import log_error, log_event
from ..node.metrics import Metrics
from ..platform.call_loop import CallLoop
from ..platform.store import StoreClient
from .advice_dispatcher import AdviceDispatcher
from .job_status_table import JobStatusTable
from .progress_partitions import ProgressPartitions
from .progress_writer import ProgressWriter
from .record_cleaner import RecordCleaner
from .topics import progress_partition_count
from .worker_link import WorkerLink

__all__ = ["Leader", "LeaderContext"]


@dataclasses.dataclass(frozen=True, slots=True)
class LeaderContext:
    """The leader's dependencies on its node.

    Attributes
    ----------
    store, parts
        The store, and the number of partitions of its topics.
    claimed_at
        When the leadership was claimed, in seconds of the steady clock.
    epoch
        The leader's epoch, which is also its fencing token at the workers.
    settings
        The leader's time limits and other settings.
    make_advice_dispatcher
        Returns the dispatcher of requests to the advice service, given the callback for answers.
    count_advice_nodes
        Returns the number of nodes that can query the advice service.
    configuration
        Returns the configuration in force.
    may_send_orders
        Returns whether orders may be sent; false if another node may have become the leader.
    step_down
        Called with the reason when the leader has failed or another node leads.
    record_event_age
        Called with the age of each timer event when it is handled, in seconds.
    metrics
        The node's metrics.
    publish_load
        Publishes a load summary to this node and its peers.
    publish_job_room
        Publishes the room for open jobs in the same way.
    peers_read_all_progress
        Returns whether all known peers would read all partitions of the progress as the leader.
    earlier_authority_s
        Returns how long after the claim earlier leaders may act, in seconds, which becomes shorter
        once they are known to have stopped.
    """

    store: StoreClient
    parts: int
    claimed_at: float
    epoch: int
    settings: CellSettings
    make_advice_dispatcher: Callable[[Callable[[Event], None]], AdviceDispatcher]
    count_advice_nodes: Callable[[], int]
    configuration: Callable[[], Configuration]
    may_send_orders: Callable[[], bool]
    step_down: Callable[[str], None]
    record_event_age: Callable[[float], None]
    metrics: Metrics
    publish_load: Callable[[LoadSummary], None]
    peers_read_all_progress: Callable[[], bool] = lambda: True
    publish_job_room: Callable[[JobRoom], None] = lambda room: None
    earlier_authority_s: Callable[[], float] = lambda: math.inf


class Leader(pykka.ThreadingActor):
    """Owns the leader's state; every message is an event.

    Parameters
    ----------
    context
        The leader's dependencies on its node.
    statuses
        The job statuses shown to callers.
    recorded
        The jobs on record in the store.
    """

    def __init__(
        self, context: LeaderContext, statuses: JobStatusTable, recorded: RecordedJobs
    ) -> None:
        super().__init__()
        self._context = context
        self._statuses = statuses
        self._links: dict[str, WorkerLink] = {}
        self._calls = CallLoop("worker-calls")
        self._stepped_down = False
        self._last_tick_at = 0.0
        post = self._post
        progress_partitions = ProgressPartitions(
            progress_partition_count(context.parts), recorded.progress_partitions
        )
        self._writer = ProgressWriter(
            context.store,
            context.epoch,
            post,
            self._step_down,
            context.metrics,
            progress_partitions,
            context.peers_read_all_progress,
        )
        self._cleaner = RecordCleaner(context.store, context.parts, progress_partitions)
        self._advice_dispatcher = context.make_advice_dispatcher(post)
        now = steady_seconds()
        policy = make_policy(self._log_policy_failure, lambda: self._cell)
        self._cell = Cell(context.settings, context.epoch, policy, now)
        self._cell.leadership_claimed_at = context.claimed_at
        self._cell.configuration = context.configuration()
        statuses.add_unreadable(recorded.unreadable | recorded.unstartable)
        effects = restore(self._cell, recorded, now, _wall_ms())
        self._handlers: dict[type, Callable] = {
            Persist: self._writer.write,
            SendStart: self._send_order,
            SendStop: self._send_order,
            SendRenewal: self._send_renewal,
            AskAdvice: self._advice_dispatcher.ask,
            DropAdvice: lambda effect: self._advice_dispatcher.drop(effect.request),
            OpenWorker: self._open_worker,
            CloseWorker: self._close_worker,
            PublishStatus: self._statuses.publish,
            DropJobs: self._drop_jobs,
            ForgetAccepted: self._cleaner.clean,
            DropProgress: self._cleaner.clean,
            StepDown: lambda effect: self._step_down(effect.reason),
            LogDecision: self._record_decision,
            PublishJobRoom: self._publish_job_room,
            PublishLoad: lambda effect: context.publish_load(effect.summary),
            RecordPrediction: self._record_prediction,
        }
        # Publish the jobs on record before this node answers queries as the leader.
        self._apply_effects(effects)

    def on_start(self) -> None:
        """Start the threads that write progress, call workers and remove records."""
        self._writer.start()
        self._calls.start()
        self._cleaner.start()

    def on_stop(self) -> None:
        """Stop all threads, and close the links to workers."""
        self._writer.stop()
        self._advice_dispatcher.stop()
        for link in self._links.values():
            link.close()
        self._cleaner.stop()
        self._calls.stop()

    def on_receive(self, message: Event) -> None:
        """Handle one event."""
        if self._stepped_down:
            return
        started_at = steady_seconds()
        if isinstance(message, Ticked):
            self._statuses.mark_processed_until(message.sent_at)
            self._context.metrics.time(
                "leader_lag_seconds",
                "Time that an event waited for a leader that was behind.",
                started_at - message.sent_at,
            )
            self._context.record_event_age(started_at - message.sent_at)
            if started_at - self._last_tick_at < TICK_SECONDS / 2:
                # Ticks that were delayed while the leader lagged are dropped except for one.
                return
            self._last_tick_at = started_at
        is_last = self.actor_inbox.empty()
        self._apply_effects(reduce(self._cell, message, started_at, _wall_ms(), is_last))
        self._context.metrics.count(
            "leader_seconds_total",
            "Seconds that the leader's thread spent on events, placing included.",
            steady_seconds() - started_at,
            event=type(message).__name__,
        )

    def _apply_effects(self, effects: list[Effect]) -> None:
        for effect in effects:
            self._handlers[type(effect)](effect)
        if effects:
            # A single wake-up of the call loop for all calls of an event.
            self._calls.flush()

    def on_failure(self, exception_type, exception_value, traceback) -> None:
        """Step down after an unexpected exception; another node continues from the records."""
        log_error("leader_failed", exception_value)
        self._step_down(f"the leader failed: {exception_value}")

    def _post(self, event: Event) -> None:
        """Send an event to this actor; ignored after the actor has stopped."""
        with contextlib.suppress(pykka.ActorDeadError):
            self.actor_ref.tell(event)

    def _log_policy_failure(self, failure) -> None:
        log_event(
            "policy_failed",
            program=failure.program,
            function=failure.function,
            problem=failure.problem,
        )

    def _record_decision(self, effect: LogDecision) -> None:
        fields = dict(effect.fields)
        log_event(effect.decision, subject=effect.subject, **fields)
        metrics = self._context.metrics
        metrics.count("decisions_total", "Decisions of the leader.", decision=effect.decision)
        if effect.decision == "placed":
            metrics.time(
                "placing_wait_seconds", "From taking in to a placement.", fields["waited_s"]
            )
        elif effect.decision == "team_use":
            self._record_team_use(effect.subject, fields)
        elif effect.decision in ("worker_set_aside", "worker_back"):
            metrics.set(
                "workers_aside",
                "Workers on which nothing new is placed for a while.",
                fields["aside"],
                service=fields["service"],
                cause=fields["cause"],
            )
        elif effect.decision == "job_ended":
            metrics.time("job_seconds", "From taking in to the end.", fields["seconds"])

    def _record_prediction(self, effect: RecordPrediction) -> None:
        self._context.metrics.ratio(
            "wait_prediction_ratio",
            "Wait of a job until its first placement, as a multiple of the predicted one.",
            prediction_ratio(effect.predicted_s, effect.observed_s),
            queue=effect.queue,
        )

    def _publish_job_room(self, effect: PublishJobRoom) -> None:
        self._context.publish_job_room(effect.room)
        metrics = self._context.metrics
        metrics.set("job_objects", "Steps and tasks in memory.", effect.objects)
        metrics.set(
            "job_bytes", "Approximate bytes of open jobs' specifications.", effect.held_bytes
        )
        metrics.set(
            "jobs_unexpanded",
            "Jobs with repetitions that are not due, or that wait for room.",
            effect.unexpanded_jobs,
        )

    def _record_team_use(self, team: str, fields: dict[str, object]) -> None:
        metrics = self._context.metrics
        metrics.set(
            "team_quota_used", "Part of a team's quota in use.", fields["of_quota"], team=team
        )
        metrics.set(
            "team_share_used", "How many fair shares a team uses.", fields["of_share"], team=team
        )
        metrics.set("team_waiting", "Steps of a team that wait.", fields["waiting"], team=team)
        metrics.set(
            "team_held", "Steps of a team that its quota holds back.", fields["at_quota"], team=team
        )

    def _step_down(self, reason: str) -> None:
        if not self._stepped_down:
            self._stepped_down = True
            self._context.step_down(reason)

    def _open_worker(self, effect: OpenWorker) -> None:
        self._links[effect.life] = WorkerLink(
            self._calls,
            effect.life,
            effect.address,
            self._post,
            self._context.metrics,
            self._context.epoch,
        )

    def _close_worker(self, effect: CloseWorker) -> None:
        link = self._links.pop(effect.life, None)
        if link is not None:
            link.close()

    def _send_order(self, effect: SendStart | SendStop) -> None:
        link = self._links.get(effect.life)
        if link is not None and self._context.may_send_orders():
            link.order(effect.order)
        else:
            self._post(answer_unsent(effect))

    def _send_renewal(self, effect: SendRenewal) -> None:
        link = self._links.get(effect.life)
        if link is None:
            return
        if self._context.may_send_orders():
            link.renew(effect.order)
        else:
            self._post(answer_unsent(effect))

    def _drop_jobs(self, effect: DropJobs) -> None:
        self._statuses.forget(effect.jobs)
        self._cleaner.clean(effect)


def _wall_ms() -> float:
    return time.time() * 1000

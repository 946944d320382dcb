"""The actor that owns the shared state: it folds the log and decides what follows."""

import dataclasses
import random
import time
from collections.abc import Callable

import pykka

from ..clocks import steady_seconds
from ..decisions import ownership
from ..decisions.shares import view_minions
from ..decisions.worker_reports import derive_records
from ..effects import (
    AttemptAssigned,
    AttemptClosed,
    BatchApplied,
    ConfigurationInForce,
    MembersChanged,
    Rejected,
    SharesChanged,
    StopRequired,
    WorkerAdded,
    WorkerWithdrawn,
    WorkFinished,
    WorkQueued,
)
from ..errors import InvalidInput
from ..leases import earliest_loss_ms
from ..logs import log_error, log_event
from ..policies import PolicyFailure, PolicySet
from ..records import (
    AttemptLost,
    AttemptStarted,
    NodeJoined,
    Record,
    SnapshotPart,
    TasksPlaced,
    decode_batch,
)
from ..reducer import Entry, reduce
from ..state import (
    MemberState,
    Outcome,
    State,
    VmState,
    digest,
    encode_state,
    parse_attempt_id,
)
from .active_nodes import ActiveNodes
from .context import NodeContext
from .messages import (
    AssignmentChanged,
    BatchReadBack,
    EntriesRead,
    HeartbeatReceived,
    LogConfirmed,
    LogFailed,
    MinionsChanged,
    Propose,
    Query,
    StateLoaded,
    SyncAnswered,
    SyncFailed,
    Tick,
    WorkerSyncRequested,
)
from .metrics import Metrics
from .scheduler import Scheduler
from .throttle import ProposalThrottle

__all__ = ["StateActor", "StateView"]

_RERANK_INTERVAL_SECONDS = 2.0
_COOLDOWN_CHECK_SECONDS = 1.0
_MAX_SNAPSHOT_PART_BYTES = 500_000
_DIGEST_INTERVAL_ENTRIES = 500
_REPROPOSE_SECONDS = 30.0


@dataclasses.dataclass(slots=True)
class StateView:
    """What a `View` may look at."""

    state: State
    active: tuple[str, ...]
    scheduler: Scheduler
    policies: PolicySet
    serving: bool
    ready: bool
    log_end: int
    diverged: bool


class StateActor(pykka.ThreadingActor):
    """Owns the state of one node.

    Parameters
    ----------
    parts
        The node's settings, identity and other actors.
    metrics
        The node's metrics.
    """

    def __init__(self, context: NodeContext, metrics: Metrics) -> None:
        super().__init__()
        self._context = context
        self._metrics = metrics
        self._state = State()
        self._policies = PolicySet(self._report_policy_failure)
        self._scheduler = Scheduler(self._policies, random.Random())
        timing = context.settings.timing
        self._active_nodes = ActiveNodes(
            self._name, timing.silence_ms / 1000, lambda: context.reaches_log
        )
        self._throttle = ProposalThrottle(_REPROPOSE_SECONDS)
        self._is_join_proposed = False
        self._is_member = False
        self._initial_log_end: int | None = None
        self._serving = False
        self._log_end = 0
        self._diverged = False
        self._digests: dict[int, str] = {}
        self._next_rerank = 0.0
        self._next_cooldown_check = 0.0
        self._last_snapshot_interval = 0
        self._handlers: dict[type, Callable] = {
            EntriesRead: self._apply_entries,
            StateLoaded: self._load_state,
            Query: self._run_query,
            Tick: self._tick,
            SyncAnswered: self._sync_answered,
            SyncFailed: self._sync_failed,
            HeartbeatReceived: self._handle_heartbeat,
            LogFailed: self._log_failed,
        }
        self._effect_handlers: dict[type, Callable] = {
            BatchApplied: self._on_batch_applied,
            ConfigurationInForce: self._on_configuration,
            WorkQueued: self._on_queued,
            WorkFinished: self._on_finished,
            AttemptAssigned: self._on_assigned,
            AttemptClosed: self._on_closed,
            StopRequired: self._on_stop_required,
            WorkerAdded: self._on_worker,
            WorkerWithdrawn: self._on_worker,
            MembersChanged: self._on_members,
            SharesChanged: self._on_shares,
        }

    @property
    def _name(self) -> str:
        return self._context.settings.node.name

    def on_receive(self, message: object) -> object:
        """Dispatch by the message's type."""
        return self._handlers[type(message)](message)

    def on_failure(self, exception_type, exception_value, traceback) -> None:
        """Say why the actor stopped; the daemon ends with it."""
        log_error("state_actor_failed", repr(exception_value))
        self._context.on_fatal_error()

    # -- the log ---------------------------------------------------------------------------

    def _apply_entries(self, message: EntriesRead) -> None:
        self._context.reads_log = True
        self._log_end = max(self._log_end, message.end)
        if self._initial_log_end is None:
            self._initial_log_end = message.end
        for raw in message.entries:
            try:
                batch = decode_batch(raw.data)
            except InvalidInput as error:
                log_error("entry_unreadable", error, offset=raw.offset)
                continue
            for effect in reduce(self._state, Entry(raw.offset, batch)):
                self._effect_handlers[type(effect)](effect)
            if raw.offset % _DIGEST_INTERVAL_ENTRIES == 0:
                self._record_digest()
        self._context.applied_offset = self._state.offset
        self._context.driver.tell(LogConfirmed(message.read_started_at))
        # A node that shows what it read halfway would fall back behind what the process
        # before it had shown.
        self._serving = self._serving or self._state.offset + 1 >= self._initial_log_end
        if not self._is_join_proposed and self._state.offset + 1 >= message.end:
            self._join()
        self._schedule()

    def _log_failed(self, message: LogFailed) -> None:
        self._context.reads_log = False
        self._metrics.count("log_read_failures_total", "Reads of the log that failed.")

    def _load_state(self, message: StateLoaded) -> None:
        if message.state.offset <= self._state.offset:
            return
        self._state = message.state
        self._serving = True
        self._log_end = max(self._log_end, message.state.offset + 1)
        entries_per_snapshot = self._context.settings.timing.snapshot_entries
        self._last_snapshot_interval = message.state.offset // entries_per_snapshot
        self._policies.replace(self._state.configuration.declarations)
        for worker in self._state.workers.values():
            self._scheduler.index.update(worker)
        self._refresh_queue()
        self._on_members(MembersChanged())

    def _join(self) -> None:
        self._is_join_proposed = True
        node = self._context.settings.node
        self._propose(
            NodeJoined(
                node.name,
                self._context.incarnation,
                node.hall,
                self._context.api_address,
                node.peer,
            )
        )

    def _propose(self, *records: Record) -> None:
        if records and not self._diverged:
            self._context.writer.tell(Propose(records))

    # -- effects ---------------------------------------------------------------------------

    def _on_batch_applied(self, effect: BatchApplied) -> None:
        rejected = [verdict for verdict in effect.verdicts if isinstance(verdict, Rejected)]
        if effect.incarnation != self._context.incarnation:
            return
        if rejected:
            self._metrics.count("voids_total", "Own records found void.", len(rejected))
        if not self._is_member:
            self._is_member = True
            log_event("joined", offset=self._state.offset)
            self._on_members(MembersChanged())
        self._context.writer.tell(BatchReadBack(effect))

    def _on_configuration(self, effect: ConfigurationInForce) -> None:
        log_event("configuration_in_force", version=effect.version)
        self._metrics.set(
            "configuration_version", "Version of the configuration in force.", effect.version
        )
        self._policies.replace(self._state.configuration.declarations)
        self._refresh_queue()
        self._refresh_minions()

    def _on_queued(self, effect: WorkQueued) -> None:
        if self._active_nodes.owns(f"work/{effect.work}"):
            self._scheduler.enqueue(effect.work)
            self._next_rerank = 0.0

    def _on_finished(self, effect: WorkFinished) -> None:
        self._scheduler.dequeue(effect.work)
        work = self._state.works[effect.work]
        log_event("work_finished", work=effect.work, name=work.spec.name)

    def _on_assigned(self, effect: AttemptAssigned) -> None:
        worker = self._state.workers[effect.worker]
        self._scheduler.index.update(worker)
        if not self._state.works[effect.work].queued:
            self._scheduler.dequeue(effect.work)
        self._request_sync(effect.worker)

    def _on_closed(self, effect: AttemptClosed) -> None:
        worker = self._state.workers[effect.worker]
        self._scheduler.index.update(worker)
        work = self._state.works[effect.work]
        if effect.outcome == Outcome.FAILED and work.number in self._scheduler.reasons:
            self._scheduler.delay(work, work.tasks[effect.task].failures)
        self._scheduler.request_pass()

    def _on_stop_required(self, effect: StopRequired) -> None:
        self._request_sync(effect.worker)

    def _on_worker(self, effect: WorkerAdded | WorkerWithdrawn) -> None:
        self._scheduler.index.update(self._state.workers[effect.worker])
        self._scheduler.request_pass()
        self._assign_workers()
        if isinstance(effect, WorkerWithdrawn) and effect.gone:
            # Any batch confirms to have read so far; an idle node has to send one.
            self._context.writer.tell(Propose(()))

    def _on_members(self, effect: MembersChanged) -> None:
        member = self._state.members.get(self._name)
        if self._is_member and (member is None or member.incarnation != self._context.incarnation):
            # Its slots are being given to others, and nothing that it appends counts.
            log_error("superseded", "another process joined as this node, or its VM is gone")
            self._context.on_fatal_error()
        self._active_nodes.refresh(self._state.members)
        self._assign_workers()
        self._refresh_queue()
        self._refresh_minions()
        self._context.on_members_changed(dict(self._state.members))

    def _on_shares(self, effect: SharesChanged) -> None:
        self._refresh_minions()

    # -- who acts --------------------------------------------------------------------------

    def _assign_workers(self) -> None:
        if not self._is_member:
            return
        nodes = self._active_nodes.active
        own = {
            worker.name: worker.address
            for worker in self._state.workers.values()
            if worker.state != VmState.GONE
            and ownership.find_owner(f"worker/{worker.name}", nodes) == self._name
        }
        self._context.driver.tell(AssignmentChanged(own))

    def _refresh_queue(self) -> None:
        """Take over the works that are this node's to place now."""
        nodes = self._active_nodes.active
        own = {
            number
            for number, work in self._state.works.items()
            if not work.finished_ms
            and work.queued
            and ownership.find_owner(f"work/{number}", nodes) == self._name
        }
        self._scheduler.set_queue(own)
        self._next_rerank = 0.0

    def _refresh_minions(self) -> None:
        member = self._state.members.get(self._name)
        may_take = self._is_member and member is not None and member.state == MemberState.LIVE
        views = view_minions(self._state, self._name, int(time.time() * 1000))
        self._context.router.tell(MinionsChanged(views, may_take))

    def _request_sync(self, worker: str) -> None:
        self._context.driver.tell(WorkerSyncRequested(worker))

    # -- time ------------------------------------------------------------------------------

    def _tick(self, message: Tick) -> None:
        now = steady_seconds()
        if self._active_nodes.refresh(self._state.members):
            log_event("active_nodes", nodes=",".join(self._active_nodes.active))
            self._on_members(MembersChanged())
        self._propose_lost_attempts()
        self._write_snapshot_if_due()
        if self._state.cooling_slots and now >= self._next_cooldown_check:
            self._next_cooldown_check = now + _COOLDOWN_CHECK_SECONDS
            self._refresh_minions()
        retry_at = self._scheduler.next_retry_at
        if retry_at is not None and retry_at <= now:
            self._scheduler.request_pass()
        self._schedule()
        self._set_gauges()

    def _set_gauges(self) -> None:
        gauge = self._metrics.set
        gauge("queued_works", "Works that wait here.", self._scheduler.queue_length)
        gauge("queued_tasks", "Tasks of the cluster that wait.", self._state.queued_tasks)
        gauge("members", "Nodes that are members.", len(self._state.members))
        gauge("log_offset", "Offset of the newest entry applied.", self._state.offset)
        gauge("log_lag_entries", "Entries not yet applied.", self._log_end - self._state.offset - 1)

    def _schedule(self) -> None:
        if not self._is_member or self._diverged:
            return
        now = steady_seconds()
        if now >= self._next_rerank:
            self._scheduler.rerank(self._state)
            self._next_rerank = now + _RERANK_INTERVAL_SECONDS
        started = time.perf_counter()
        result = self._scheduler.run(self._state)
        if result.placements:
            seconds = (time.perf_counter() - started) / len(result.placements)
            self._metrics.observe("decision_seconds", "Time of one placement decision.", seconds)
        if result.stops:
            self._metrics.count(
                "preemptions_total", "Attempts ended for others.", len(result.stops)
            )
            self._propose(*result.stops)
        for record in result.placements:
            self._propose_placement(record)

    def _propose_placement(self, record: TasksPlaced) -> None:
        """Propose, and hear of the verdict as a message of its own."""
        ref = self.actor_ref

        def reply(result: object) -> None:
            verdict = result[0] if isinstance(result, tuple) else None
            ref.tell(Query(lambda parts: parts.scheduler.judged(parts.state, record, verdict)))

        self._context.writer.tell(Propose((record,), reply))

    def _propose_lost_attempts(self) -> None:
        """Propose the end of attempts on gone workers, once no lease of theirs can hold."""
        margin = self._state.configuration.declarations.limits.clock_margin_ms
        now_ms = int(time.time() * 1000)
        for worker in self._state.workers.values():
            if worker.state != VmState.GONE or not worker.attempts or not worker.fenced_ms:
                continue
            lease = self._state.longest_lease_ms
            earliest = earliest_loss_ms(worker.fenced_ms, lease, margin)
            if now_ms <= earliest or not self._active_nodes.owns(f"worker/{worker.name}"):
                continue
            lost = (AttemptLost(*parse_attempt_id(name)) for name in worker.attempts)
            self._propose(*(record for record in lost if self._throttle.try_pass(record)))

    def _write_snapshot_if_due(self) -> None:
        entries_per_snapshot = self._context.settings.timing.snapshot_entries
        # Counted in whole intervals of the log, not from this node's start: all nodes have to
        # ask at the same time whose turn it is, or it may be nobody's.
        interval = self._state.offset // entries_per_snapshot
        if interval <= self._last_snapshot_interval or not self._is_member:
            return
        self._last_snapshot_interval = interval
        if not self._active_nodes.owns(f"snapshot/{interval}"):
            return
        data = encode_state(self._state)
        chunks = [
            data[start : start + _MAX_SNAPSHOT_PART_BYTES]
            for start in range(0, len(data), _MAX_SNAPSHOT_PART_BYTES)
        ]
        log_event("snapshot_written", offset=self._state.offset, bytes=len(data))
        for index, piece in enumerate(chunks):
            self._propose(SnapshotPart(self._state.offset, index, len(chunks), piece))

    # -- peers -----------------------------------------------------------------------------

    def _record_digest(self) -> None:
        self._digests[self._state.offset] = digest(self._state)
        while len(self._digests) > 8:
            del self._digests[next(iter(self._digests))]
        self._context.latest_digest = (self._state.offset, self._digests[self._state.offset])

    def _handle_heartbeat(self, message: HeartbeatReceived) -> None:
        member = self._state.members.get(message.node)
        if member is not None and member.incarnation == message.incarnation:
            self._active_nodes.record_heartbeat(message.node, message.reaches_log)
        own = self._digests.get(message.digest_offset)
        if own is not None and own != message.digest and not self._diverged:
            self._diverged = True
            log_error("state_diverged", "digests differ", offset=message.digest_offset)
            self._metrics.set("diverged", "1 where a peer's state differs.", 1)

    # -- workers ---------------------------------------------------------------------------

    def _sync_failed(self, message: SyncFailed) -> None:
        self._metrics.count("worker_sync_failures_total", "Calls to workers that failed.")

    def _sync_answered(self, message: SyncAnswered) -> None:
        records = derive_records(self._state, message.worker, message.answer)
        new_records = [record for record in records if self._throttle.try_pass(record)]
        for record in new_records:
            if isinstance(record, AttemptStarted) and record.attempt == 1:
                self._observe_waiting(record)
        self._propose(*new_records)

    def _observe_waiting(self, record: AttemptStarted) -> None:
        work = self._state.works[record.work]
        seconds = max(0.0, time.time() - work.submitted_ms / 1000)
        self._metrics.observe(
            "waiting_seconds",
            "Time from submission to a task's first start, by kind of work.",
            seconds,
            kind=work.spec.kind,
        )

    def _run_query(self, message: Query) -> object:
        return message.function(
            StateView(
                self._state,
                self._active_nodes.active,
                self._scheduler,
                self._policies,
                self._serving,
                self._is_member and not self._diverged,
                self._log_end,
                self._diverged,
            )
        )

    def _report_policy_failure(self, failure: PolicyFailure) -> None:
        log_error(
            "policy_failed", failure.problem, program=failure.program, function=failure.function
        )
        self._metrics.count("policy_failures_total", "Policy calls that failed.")

"""The leader: an actor that feeds events to the reducer and carries its effects out."""

import concurrent.futures
import dataclasses
import threading
import time
from collections.abc import Callable

import pykka

from ..errors import InvalidInput, PlatformError, ProducerFenced
from ..jobs.cell import Cell, CellSettings
from ..jobs.events import (
    AskAdvice,
    CloseWorker,
    ConfigurationChanged,
    Decided,
    DropJobs,
    Effect,
    Event,
    JobAccepted,
    JobCancelled,
    OpenWorker,
    Persist,
    PublishStatus,
    RenewAnswered,
    SendRenew,
    SendStart,
    SendStop,
    StartAnswered,
    StepDown,
    StopAnswered,
    Ticked,
    WorkerDelisted,
    WorkerListed,
)
from ..jobs.model import Configuration
from ..jobs.orders import Refusal, StartResult
from ..jobs.policy import make_policy
from ..jobs.progress import CANCEL_PREFIX, decode_accepted, decode_progress
from ..jobs.reducer import reduce
from ..jobs.takeover import RecordedJobs, restore
from ..jobs.times import TICK_SECONDS
from ..node.logs import log_error, log_event
from ..node.metrics import Metrics
from ..platform.store import KeyedRecord, StoreClient
from ..platform.worker_list import WORKER_TOPIC, decode_worker_entry
from .advisers import Advisers
from .progress_writer import ProgressWriter, drop_jobs, fence_progress
from .statuses import StatusBook
from .tails import Tail
from .topics import JOBS_TOPIC, PART, PROGRESS_TOPIC
from .worker_link import WorkerLink

__all__ = ["Leader", "LeaderContext", "LeaderHandle", "start_leader"]

_READ_SECONDS = 3.0
_TAKEOVER_RETRY_SECONDS = 0.1
_JOBS_WAIT_SECONDS = 1.0
"""How long one read of new jobs waits: also how stale "no such job" may be."""

_READERS = 6
"""Partitions that a takeover reads at the same time."""

_WORKERS_WAIT_SECONDS = 1.0
_WORKERS_PAUSE_SECONDS = 0.2
"""Entries change often and together; a few tenths later is early enough."""


@dataclasses.dataclass(frozen=True, slots=True)
class LeaderContext:
    """What a leader needs of its node.

    Attributes
    ----------
    store, parts
        The store, and the partitions of its topics.
    epoch
        Its epoch, which is also its fencing token at the workers.
    settings
        The times it goes by.
    make_advisers
        Makes what spreads questions to the advice service, given where answers go.
    count_askers
        Counts the nodes that can ask the advice service.
    configuration
        Gives the configuration in force.
    may_order
        Whether orders may go out: not while the node may have been replaced unknowingly.
    step_down
        Called with the reason when another node leads.
    metrics
        The node's metrics.
    """

    store: StoreClient
    parts: int
    epoch: int
    settings: CellSettings
    make_advisers: Callable[[Callable[[Event], None]], Advisers]
    count_askers: Callable[[], int]
    configuration: Callable[[], Configuration]
    may_order: Callable[[], bool]
    step_down: Callable[[str], None]
    metrics: Metrics


class Leader(pykka.ThreadingActor):
    """Owns the leader's state; every message is an event.

    Parameters
    ----------
    context
        What it needs of its node.
    statuses
        What callers are shown.
    recorded
        What the store keeps of jobs.
    """

    def __init__(
        self, context: LeaderContext, statuses: StatusBook, recorded: RecordedJobs
    ) -> None:
        super().__init__()
        self._context = context
        self._statuses = statuses
        self._links: dict[str, WorkerLink] = {}
        self._stepped_down = False
        post = self.actor_ref.tell
        self._writer = ProgressWriter(
            context.store, context.epoch, post, self._step_down, context.metrics
        )
        self._advisers = context.make_advisers(post)
        now = time.monotonic()
        policy = make_policy(self._raise_alarm, lambda: self._cell)
        self._cell = Cell(context.settings, context.epoch, policy, now)
        self._cell.configuration = context.configuration()
        restored = restore(self._cell, recorded, now, _wall_ms())
        self._handlers: dict[type, Callable] = {
            Persist: self._writer.write,
            SendStart: self._send_order,
            SendStop: self._send_order,
            SendRenew: self._send_renew,
            AskAdvice: self._advisers.ask,
            OpenWorker: self._open,
            CloseWorker: self._close,
            PublishStatus: self._statuses.publish,
            DropJobs: self._drop,
            StepDown: lambda effect: self._step_down(effect.reason),
            Decided: self._note_decision,
        }
        # Before anybody asks this node as the leader, it knows all jobs on record.
        self._carry_out(restored)

    def on_start(self) -> None:
        """Start writing."""
        self._writer.start()

    def on_stop(self) -> None:
        """Order nothing more."""
        self._writer.stop()
        self._advisers.stop()
        for link in self._links.values():
            link.close()

    def on_receive(self, message: Event) -> None:
        """Take one event."""
        if self._stepped_down:
            return
        began = time.monotonic()
        self._carry_out(reduce(self._cell, message, began, _wall_ms()))

    def _carry_out(self, effects: list[Effect]) -> None:
        for effect in effects:
            self._handlers[type(effect)](effect)

    def on_failure(self, exception_type, exception_value, traceback) -> None:
        """Give the leadership up: another node goes on from what is on record."""
        log_error("leader_failed", exception_value)
        self._step_down(f"the leader failed: {exception_value}")

    def _raise_alarm(self, alarm) -> None:
        log_event(
            "policy_failed", program=alarm.program, function=alarm.function, problem=alarm.problem
        )

    def _note_decision(self, effect: Decided) -> None:
        fields = dict(effect.fields)
        log_event(effect.decision, subject=effect.subject, **fields)
        metrics = self._context.metrics
        metrics.count("decisions_total", "Decisions of the leader.", decision=effect.decision)
        if effect.decision == "placed":
            metrics.time(
                "placing_wait_seconds", "From taking in to a placement.", fields["waited_s"]
            )
        elif effect.decision == "job_ended":
            metrics.time("job_seconds", "From taking in to the end.", fields["seconds"])

    def _step_down(self, reason: str) -> None:
        if not self._stepped_down:
            self._stepped_down = True
            self._context.step_down(reason)

    def _open(self, effect: OpenWorker) -> None:
        self._links[effect.life] = WorkerLink(
            effect.life, effect.address, self.actor_ref.tell, self._context.metrics
        )

    def _close(self, effect: CloseWorker) -> None:
        link = self._links.pop(effect.life, None)
        if link is not None:
            link.close()

    def _send_order(self, effect: SendStart | SendStop) -> None:
        link = self._links.get(effect.life)
        order = effect.order
        if link is not None and self._context.may_order():
            link.order(order)
        elif isinstance(effect, SendStart):
            result = StartResult(Refusal.UNREACHED)
            self.actor_ref.tell(StartAnswered(effect.life, order.task, order.run, result))
        else:
            self.actor_ref.tell(StopAnswered(effect.life, order.task, order.run, False))

    def _send_renew(self, effect: SendRenew) -> None:
        link = self._links.get(effect.life)
        if link is None:
            return
        if self._context.may_order():
            link.renew(effect.order)
        else:
            self.actor_ref.tell(RenewAnswered(effect.life, effect.order, None))

    def _drop(self, effect: DropJobs) -> None:
        self._statuses.forget(effect.jobs)
        threading.Thread(target=self._drop_records, args=(effect,), daemon=True).start()

    def _drop_records(self, effect: DropJobs) -> None:
        try:
            drop_jobs(self._context.store, self._context.parts, effect.jobs)
        except PlatformError as error:
            # They stay on record, are final, and cost only room.
            log_event("jobs_not_dropped", count=len(effect.jobs), reason=str(error))


def _wall_ms() -> float:
    return time.time() * 1000


class LeaderHandle:
    """One leadership of this node: its actor, and the threads that feed it."""

    def __init__(self, context: LeaderContext, actor: pykka.ActorRef, statuses: StatusBook) -> None:
        self._context = context
        self._actor = actor
        self._statuses = statuses
        self._listed: set[str] = set()
        self._stopped = threading.Event()
        self._jobs = [
            Tail(
                context.store,
                JOBS_TOPIC,
                part,
                _JOBS_WAIT_SECONDS,
                0.0,
                self._take_job,
                self._take_jobs,
            )
            for part in range(context.parts)
        ]
        self._workers = Tail(
            context.store,
            WORKER_TOPIC,
            PART,
            _WORKERS_WAIT_SECONDS,
            _WORKERS_PAUSE_SECONDS,
            self._take_worker,
            self._take_all_workers,
        )

    @property
    def statuses(self) -> StatusBook:
        """What callers are shown."""
        return self._statuses

    @property
    def jobs_read_at(self) -> float:
        """The steady time up to which all jobs taken in are known, in seconds."""
        return min(tail.read_at for tail in self._jobs)

    def start(self, job_offsets: list[int]) -> None:
        """Start feeding the actor; jobs of each partition from an offset on."""
        self._workers.start()
        for tail, offset in zip(self._jobs, job_offsets, strict=True):
            tail.start(offset)
        threading.Thread(target=self._tick, name="leader-ticks", daemon=True).start()

    def configure(self, configuration: Configuration) -> None:
        """Tell of a newer configuration."""
        self._tell(ConfigurationChanged(configuration))

    def stop(self) -> None:
        """Stop leading."""
        self._stopped.set()
        for tail in self._jobs:
            tail.stop()
        self._workers.stop()
        self._actor.stop(block=False)

    def _tell(self, event: Event) -> None:
        try:
            self._actor.tell(event)
        except pykka.ActorDeadError:
            self._stopped.set()

    def _tick(self) -> None:
        while not self._stopped.wait(TICK_SECONDS):
            self._tell(Ticked(self._context.count_askers()))

    def _take_jobs(self, records: list[KeyedRecord]) -> None:
        for record in records:
            self._take_job(record)

    def _take_job(self, record: KeyedRecord) -> None:
        if record.value is None:
            return
        if record.key.startswith(CANCEL_PREFIX):
            self._tell(JobCancelled(record.key.removeprefix(CANCEL_PREFIX)))
            return
        try:
            self._tell(JobAccepted(record.key, decode_accepted(record.value)))
        except InvalidInput as error:
            log_error("job_record_unusable", error, job=record.key)

    def _take_worker(self, record: KeyedRecord) -> None:
        if record.value is None:
            self._listed.discard(record.key)
            self._tell(WorkerDelisted(record.key))
            return
        try:
            entry = decode_worker_entry(record.key, record.value)
        except PlatformError as error:
            log_error("worker_entry_unusable", error, worker=record.key)
            return
        self._listed.add(record.key)
        self._tell(WorkerListed(entry))

    def _take_all_workers(self, records: list[KeyedRecord]) -> None:
        for life in self._listed - {record.key for record in records}:
            self._tell(WorkerDelisted(life))
        self._listed = set()
        for record in records:
            self._take_worker(record)


def _read_recorded(store: StoreClient, parts: int) -> tuple[RecordedJobs, list[int]]:
    """Read all that is on record of jobs, and from where to follow each partition."""
    progress = {}
    for record in store.newest(PROGRESS_TOPIC, PART, _READ_SECONDS).records:
        if record.value:
            progress[record.key] = decode_progress(record.value)
    with concurrent.futures.ThreadPoolExecutor(_READERS) as pool:
        pages = list(
            pool.map(lambda part: store.newest(JOBS_TOPIC, part, _READ_SECONDS), range(parts))
        )
    accepted, cancelled = {}, set()
    for record in (record for page in pages for record in page.records):
        if record.key.startswith(CANCEL_PREFIX):
            cancelled.add(record.key.removeprefix(CANCEL_PREFIX))
        elif record.value:
            accepted[record.key] = decode_accepted(record.value)
    return RecordedJobs(accepted, cancelled, progress), [page.next_offset for page in pages]


def start_leader(context: LeaderContext, is_wanted: Callable[[], bool]) -> LeaderHandle | None:
    """Take over from earlier leaders and start leading.

    Parameters
    ----------
    context
        What the leader needs of its node.
    is_wanted
        Whether this node still leads in this epoch; asked between tries.

    Returns
    -------
    LeaderHandle or None
        None where another node leads meanwhile.
    """
    began = time.monotonic()
    while is_wanted():
        try:
            fence_progress(context.store, context.epoch, _READ_SECONDS)
            recorded, job_offsets = _read_recorded(context.store, context.parts)
        except ProducerFenced as error:
            context.step_down(str(error))
            return None
        except PlatformError as error:
            log_event("takeover_delayed", epoch=context.epoch, reason=str(error))
            time.sleep(_TAKEOVER_RETRY_SECONDS)
            continue
        statuses = StatusBook()
        actor = Leader.start(context, statuses, recorded)
        handle = LeaderHandle(context, actor, statuses)
        handle.start(job_offsets)
        log_event(
            "leading",
            epoch=context.epoch,
            jobs=len(recorded.accepted),
            seconds=time.monotonic() - began,
        )
        return handle
    return None

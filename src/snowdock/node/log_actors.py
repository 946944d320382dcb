"""The two actors that talk to the platform's log: one appends, one reads."""

import threading
import time
from collections.abc import Callable

import pykka

from ..clocks import steady_seconds
from ..errors import (
    InvalidInput,
    LogExpired,
    LogUnavailable,
    PlatformError,
    SnowdockError,
    VerdictUnknown,
)
from ..logs import log_error, log_event
from ..platform.logs import LogClient, RawEntry
from ..records import (
    AttemptEnded,
    AttemptStarted,
    Batch,
    Record,
    SnapshotPart,
    TasksPlaced,
    decode_batch,
    encode_batch,
)
from ..state import State, decode_state
from .messages import BatchReadBack, EntriesRead, LogFailed, Propose, StateLoaded, Tick

__all__ = ["LogReader", "LogWriter", "find_newest_snapshot"]

_RETRY_SECONDS = 0.2
_MAX_BATCH_RECORDS = 512
_MAX_QUEUED_RECORDS = 20_000
_RECORD_PRIORITIES = {AttemptEnded: 0, AttemptStarted: 1, TasksPlaced: 3}


class LogWriter(pykka.ThreadingActor):
    """Appends batches, one at a time, each until it is surely on the log.

    A batch whose answer was lost is appended again under the same sequence number; the
    reducer finds the second copy void. So the order of a node's records is kept.

    Parameters
    ----------
    log
        The log.
    node, incarnation
        The sender in each batch.
    interval
        Seconds from one append to the next, which keeps the node within its budget.
    read_offset
        Tells how far this node has acted on the log.
    note_answered
        Called after each append with whether it was answered.
    """

    def __init__(
        self,
        log: LogClient,
        node: str,
        incarnation: str,
        interval_s: float,
        read_offset: Callable[[], int],
        on_append_result: Callable[[bool], None],
    ) -> None:
        super().__init__()
        self._log = log
        self._node = node
        self._incarnation = incarnation
        self._interval_s = interval_s
        self._read_offset = read_offset
        self._on_append_result = on_append_result
        self._sequence = 0
        self._queue: list[Propose] = []
        self._queued_records = 0
        self._in_flight: Batch | None = None
        self._awaiting_verdicts: dict[int, list[Propose]] = {}
        self._next_append_at = 0.0
        self._timer_set = False
        self._failing = False

    def on_receive(self, message: object) -> None:
        """Take a proposal, a verdict or the time to append."""
        if isinstance(message, Propose):
            self._enqueue(message)
        elif isinstance(message, BatchReadBack):
            self._handle_applied_batch(message)
        elif isinstance(message, Tick):
            self._timer_set = False
            self._append()
        self._set_timer()

    def on_stop(self) -> None:
        """Tell everyone who still waits that the verdict will not be seen here."""
        for proposals in self._awaiting_verdicts.values():
            for proposal in proposals:
                _reject(proposal, VerdictUnknown("the node stops; ask another with the same key"))
        for proposal in self._queue:
            _reject(proposal, LogUnavailable("the node stops; nothing was recorded"))

    def _enqueue(self, proposal: Propose) -> None:
        # A caller's proposal is refused at once while the log is down: it has not been sent,
        # so "not recorded" is certain. The node's own records wait.
        if self._failing and proposal.on_verdicts is not None:
            _reject(proposal, LogUnavailable("the log is down; nothing was recorded"))
            return
        if self._queued_records + len(proposal.records) > _MAX_QUEUED_RECORDS:
            _reject(proposal, LogUnavailable("too much waits for the log; nothing was recorded"))
            return
        self._queue.append(proposal)
        self._queued_records += len(proposal.records)

    def _set_timer(self) -> None:
        if self._timer_set or not (self._queue or self._in_flight):
            return
        self._timer_set = True
        delay = self._next_append_at - steady_seconds()
        if delay <= 0:
            self.actor_ref.tell(Tick())
        else:
            timer = threading.Timer(delay, self._send_tick)
            timer.daemon = True
            timer.start()

    def _send_tick(self) -> None:
        if self.actor_ref.is_alive():
            self.actor_ref.tell(Tick())

    def _next_batch(self) -> Batch:
        # Ends go first, since they free room, and placements last; records of one kind
        # that stand together also take fewer bytes.
        self._queue.sort(key=_record_priority)
        proposals, records = [], []
        while self._queue and len(records) < _MAX_BATCH_RECORDS:
            proposal = self._queue.pop(0)
            proposals.append(proposal)
            records.extend(proposal.records)
        self._queued_records -= len(records)
        self._sequence += 1
        self._awaiting_verdicts[self._sequence] = proposals
        return self._build_batch(records)

    def _build_batch(self, records: list[Record]) -> Batch:
        return Batch(
            self._node,
            self._incarnation,
            self._sequence,
            self._read_offset(),
            int(time.time() * 1000),
            records,
        )

    def _append(self) -> None:
        if self._in_flight is None:
            if not self._queue:
                return
            self._in_flight = self._next_batch()
        try:
            self._log.append(encode_batch(self._in_flight))
        except PlatformError as error:
            self._on_append_result(False)
            self._handle_append_failure(error)
            return
        self._on_append_result(True)
        if self._failing:
            log_event("log_append_recovered")
        self._failing = False
        self._in_flight = None
        self._next_append_at = steady_seconds() + self._interval_s

    def _handle_append_failure(self, error: PlatformError) -> None:
        self._next_append_at = steady_seconds() + _RETRY_SECONDS
        if self._failing:
            return
        self._failing = True
        log_error("log_append_failed", error, sequence=self._sequence)
        kept = []
        for proposal in self._queue:
            if proposal.on_verdicts is None:
                kept.append(proposal)
            else:
                _reject(proposal, LogUnavailable("the log is down; nothing was recorded"))
        self._queue = kept
        self._queued_records = sum(len(proposal.records) for proposal in kept)

    def _handle_applied_batch(self, message: BatchReadBack) -> None:
        applied = message.applied
        if self._in_flight is not None and applied.sequence == self._sequence:
            # The append's answer was lost, but the batch is there.
            self._in_flight = None
            self._failing = False
            self._on_append_result(True)
        verdicts = list(applied.verdicts)
        for proposal in self._awaiting_verdicts.pop(applied.sequence, []):
            proposal_verdicts = tuple(verdicts[: len(proposal.records)])
            del verdicts[: len(proposal.records)]
            if proposal.on_verdicts is not None:
                proposal.on_verdicts(proposal_verdicts)


def _record_priority(proposal: Propose) -> int:
    first = proposal.records[0] if proposal.records else None
    return _RECORD_PRIORITIES.get(type(first), 2)


def _reject(proposal: Propose, error: SnowdockError) -> None:
    if proposal.on_verdicts is not None:
        proposal.on_verdicts(error)


class LogReader(pykka.ThreadingActor):
    """Reads the log from the start, or from the newest snapshot, and follows it.

    Parameters
    ----------
    log
        The log.
    wait_seconds
        How long one read waits for news.
    target
        The actor that gets `EntriesRead`, `StateLoaded` and `LogFailed`.
    """

    def __init__(self, log: LogClient, poll_timeout_s: float, target: pykka.ActorRef) -> None:
        super().__init__()
        self._log = log
        self._poll_timeout_s = poll_timeout_s
        self._target = target
        self._next_offset = 0
        self._snapshot_search: list[RawEntry] | None = None
        self._failing = False

    def on_receive(self, message: object) -> None:
        """Read once and go on; a `StateLoaded` names the offset to go on from."""
        if isinstance(message, StateLoaded):
            self._next_offset = max(self._next_offset, message.state.offset + 1)
            return
        try:
            self._read()
            self._failing = False
        except LogExpired as expired:
            log_event("log_expired", wanted=self._next_offset, first=expired.first)
            self._next_offset = expired.first
            self._snapshot_search = []
        except PlatformError as error:
            self._handle_read_failure(error)
        self.actor_ref.tell(Tick())

    def _handle_read_failure(self, error: PlatformError) -> None:
        if not self._failing:
            log_error("log_read_failed", error)
        self._failing = True
        self._target.tell(LogFailed(str(error)))
        time.sleep(_RETRY_SECONDS)

    def _read(self) -> None:
        started_at = steady_seconds()
        page = self._log.read(self._next_offset, self._poll_timeout_s)
        if page.entries:
            self._next_offset = page.entries[-1].offset + 1
        if self._snapshot_search is None:
            self._target.tell(EntriesRead(tuple(page.entries), page.end, started_at))
            return
        self._snapshot_search.extend(page.entries)
        if self._next_offset >= page.end:
            self._load_snapshot(page.end, started_at)

    def _load_snapshot(self, end: int, started_at: float) -> None:
        state = find_newest_snapshot(self._snapshot_search)
        if state is None:
            log_error("snapshot_missing", "no whole snapshot on the log", end=end)
            return
        log_event("snapshot_loaded", offset=state.offset)
        later = tuple(entry for entry in self._snapshot_search if entry.offset > state.offset)
        self._snapshot_search = None
        self._target.tell(StateLoaded(state))
        self._target.tell(EntriesRead(later, end, started_at))


def find_newest_snapshot(entries: list[RawEntry]) -> State | None:
    """Find the newest whole snapshot whose next entry is still among the entries.

    Parameters
    ----------
    entries
        All entries that the log still holds, in order.

    Returns
    -------
    State or None
        The decoded snapshot.
    """
    parts: dict[tuple[str, int], dict[int, SnapshotPart]] = {}
    for entry in entries:
        try:
            batch = decode_batch(entry.data)
        except InvalidInput:
            continue
        for record in batch.records:
            if isinstance(record, SnapshotPart):
                snapshot_parts = parts.setdefault((batch.incarnation, record.offset), {})
                snapshot_parts[record.index] = record
    first = entries[0].offset if entries else 0
    complete = [
        found
        for (_, offset), found in parts.items()
        if len(found) == next(iter(found.values())).total and offset + 1 >= first
    ]
    if not complete:
        return None
    newest = max(complete, key=lambda found: found[0].offset)
    return decode_state(b"".join(newest[index].data for index in range(len(newest))))

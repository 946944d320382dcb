"""Puts records of jobs on the store: those that come together go together.

A partition of the store takes its appends in turn. While one append of this node is on its way,
further records for the partition wait and go with the next, so that a store that has become slow
takes as many jobs as come.
"""

import dataclasses
import itertools
import math
import threading
import time

from ..clocks import steady_seconds
from ..errors import CallUnanswered, PlatformError
from ..jobs.model import JobId
from ..logs import log_error, log_event
from ..node.metrics import Metrics
from ..platform.store import KeyedRecord, StoreClient
from .messages import Recording
from .patience import Patience
from .topics import JOBS_TOPIC, job_part

__all__ = ["Recorder"]

_SHORTEST_TRY_SECONDS = 0.8
_LONGEST_TRY_SECONDS = 2.0
"""Bounds of one try to put records on the store. An append takes some 10 ms, that of a store 80
times as slow some 500: one that is given up before is carried out all the same, and its repeat
takes a turn of the partition that others wait for."""

_TRYING_SECONDS = 0.5
"""A record that has been tried for this long is not tried again: callers wait about 3 s, and
their own retries meet other nodes, which may reach the store where this one does not."""

_LEAST_SECONDS = 0.05
"""An append is waited for so long at least: a usual one takes 10 ms."""

_RETRY_SECONDS = 0.05
"""Pause between two tries of a record."""

_DOWN_FAILURES = 2
"""Failures in a row after which the store counts as down; one alone may be chance."""

_DOWN_SECONDS = 0.4
"""How long the store counts as down before one record is tried again."""

_SLOW_SECONDS = 0.1
"""An append that usually takes so long, ten times the usual, is that of a slow store."""

_SLOW_MEMORY_SECONDS = 2.0
"""How long that is remembered: after it one record is tried from here again."""

_HANGING_SECONDS = 0.2
"""An append that has no answer after so long is that of a slow store, whatever was usual: what
comes meanwhile would else add to what the store has to do in turn."""

_MOST_RECORDS = 64
"""The most records of one append: with the longest bodies, a quarter of what a call may hold."""


class _StoreHealth:
    """Whether appends have been failing lately, and how long they take.

    While they fail, one record at a time is tried; all others are refused at once.
    """

    def __init__(self) -> None:
        self._patience = Patience(_SHORTEST_TRY_SECONDS, _LONGEST_TRY_SECONDS)
        self._failures = 0
        self._failed_at = 0.0
        self._noted_at = 0.0
        self._is_probed = False
        self._slow_probe_at = -math.inf
        self._began: dict[int, float] = {}
        self._numbers = itertools.count()
        self._lock = threading.Lock()

    def begin(self) -> int:
        """Take note of an append that begins; give the number by which it ends."""
        with self._lock:
            number = next(self._numbers)
            self._began[number] = steady_seconds()
            return number

    def end(self, number: int) -> None:
        """Take note that an append is over."""
        with self._lock:
            del self._began[number]

    @property
    def try_seconds(self) -> float:
        """How long one try may take."""
        return self._patience.limit

    @property
    def is_slow(self) -> bool:
        """Whether appends take long, or have usually taken long as far as that was seen lately."""
        now = steady_seconds()
        with self._lock:
            oldest = min(self._began.values(), default=now)
        if now - oldest > _HANGING_SECONDS:
            return True
        if now - self._noted_at > _SLOW_MEMORY_SECONDS:
            return False
        return self._patience.usual > _SLOW_SECONDS

    def avoids_appends(self) -> bool:
        """Tell whether a record should better go another way than by an append from here.

        A store that was slow some time ago is tried with one record, not with all that come until
        its answer is there.
        """
        if self.is_slow:
            return True
        now = steady_seconds()
        with self._lock:
            if self._patience.usual <= _SLOW_SECONDS:
                return False
            if now - self._slow_probe_at < _SLOW_MEMORY_SECONDS:
                return True
            self._slow_probe_at = now
            return False

    def admit(self, answered_at: float) -> bool:
        """Tell whether a record may be tried; one that may has to tell how it went.

        ``answered_at`` tells when the store last answered any call, in steady seconds: where
        that is after the last failure, the next failure alone decides.
        """
        with self._lock:
            if answered_at > self._failed_at:
                self._failures = min(self._failures, _DOWN_FAILURES - 1)
            if self._failures < _DOWN_FAILURES:
                return True
            if self._is_probed or steady_seconds() - self._failed_at < _DOWN_SECONDS:
                return False
            self._is_probed = True
            return True

    def note_success(self, seconds: float) -> None:
        """Take over the time of an append that was answered."""
        with self._lock:
            self._failures = 0
            self._is_probed = False
            self._noted_at = steady_seconds()
            self._patience.note(seconds)

    def note_untried(self) -> None:
        """Take over that a record which was let try did not."""
        with self._lock:
            self._is_probed = False

    def note_failure(self) -> None:
        """Take over an append without a good answer."""
        with self._lock:
            self._failures += 1
            self._is_probed = False
            self._patience.miss()
            self._noted_at = self._failed_at = steady_seconds()


@dataclasses.dataclass(slots=True, eq=False)
class _Waiting:
    """A record that waits, and how its append went; None while that is not known.

    It is woken when its append is over, or when it is its turn to append for all that wait.
    """

    record: KeyedRecord
    woken: threading.Event = dataclasses.field(default_factory=threading.Event)
    outcome: Recording | None = None


class _Partition:
    """What waits for one partition; ``is_busy`` while an append of this node is on its way."""

    def __init__(self) -> None:
        self.lock = threading.Lock()
        self.waiting: list[_Waiting] = []
        self.is_busy = False


class Recorder:
    """Appends records of jobs; many threads may call it at the same time.

    Parameters
    ----------
    store, parts
        The store, and the partitions of its topics.
    metrics
        Counts and times appends.
    """

    def __init__(self, store: StoreClient, parts: int, metrics: Metrics) -> None:
        self._store = store
        self._metrics = metrics
        self._health = _StoreHealth()
        self._partitions = [_Partition() for _ in range(parts)]

    @property
    def is_slow(self) -> bool:
        """Whether appends of this node have been slow lately, or have failed."""
        return self._health.is_slow

    def avoids_appends(self) -> bool:
        """Tell whether a record should better go by way of the leader."""
        return self._health.avoids_appends()

    def record(self, job: JobId, record: KeyedRecord, seconds: float) -> Recording:
        """Put a record on the store from this node, waiting for its append.

        Parameters
        ----------
        job, record
            The job, and its record.
        seconds
            The longest wait.
        """
        part = job_part(job, len(self._partitions))
        outcome = Recording.NOT_DONE
        began = steady_seconds()
        while steady_seconds() - began < min(_TRYING_SECONDS, seconds):
            if not self._health.admit(self._store.answered_at):
                return outcome
            left = seconds - (steady_seconds() - began)
            tried = self._try(part, record, max(_LEAST_SECONDS, left))
            if tried is Recording.DONE:
                return tried
            outcome = max(outcome, tried)
            log_event("record_failed", job=job, part=part, outcome=tried.name.lower())
            time.sleep(_RETRY_SECONDS)
        return outcome

    def _try(self, part: int, record: KeyedRecord, seconds: float) -> Recording:
        """Try a record once: with another thread's append, or with an own one for all that wait."""
        partition = self._partitions[part]
        own = _Waiting(record)
        with partition.lock:
            partition.waiting.append(own)
            is_turn = not partition.is_busy
            partition.is_busy = True
        end = steady_seconds() + seconds
        if not is_turn and not own.woken.wait(seconds):
            with partition.lock:
                if own.outcome is None and not own.woken.is_set():
                    return self._give_up(partition, own)
        if own.outcome is None:
            self._append_waiting(part, partition, end - steady_seconds())
        return own.outcome

    def _give_up(self, partition: _Partition, own: _Waiting) -> Recording:
        """Take a record back that waits no longer; call with the partition's lock held."""
        if own not in partition.waiting:
            return Recording.UNKNOWN
        partition.waiting.remove(own)
        # It was let try, and will not.
        self._health.note_untried()
        return Recording.NOT_DONE

    def _append_waiting(self, part: int, partition: _Partition, seconds: float) -> None:
        """Append what waits, and wake the next that comes after it."""
        with partition.lock:
            batch = partition.waiting[:_MOST_RECORDS]
            del partition.waiting[:_MOST_RECORDS]
        outcome = self._append(part, [each.record for each in batch], seconds)
        for each in batch:
            each.outcome = outcome
            each.woken.set()
        with partition.lock:
            partition.is_busy = bool(partition.waiting)
            if partition.waiting:
                partition.waiting[0].woken.set()

    def _append(self, part: int, records: list[KeyedRecord], seconds: float) -> Recording:
        began = steady_seconds()
        # Others wait for it too: whoever has little time left may not spoil it for them.
        limit = max(_SHORTEST_TRY_SECONDS, min(seconds, self._health.try_seconds))
        number = self._health.begin()
        try:
            self._store.append(JOBS_TOPIC, part, records, limit)
        except PlatformError as error:
            self._health.note_failure()
            self._metrics.count("store_appends_total", "Appends to the store.", outcome=error.code)
            log_event("append_failed", part=part, records=len(records), reason=str(error))
            is_unsure = isinstance(error, CallUnanswered) and not error.unsent
            return Recording.UNKNOWN if is_unsure else Recording.NOT_DONE
        except Exception as error:
            # Nobody knows how far it came; those that wait for it have to be told.
            self._health.note_failure()
            log_error("append_failed", error, part=part, records=len(records))
            return Recording.UNKNOWN
        finally:
            self._health.end(number)
        taken = steady_seconds() - began
        self._health.note_success(taken)
        self._metrics.count("store_appends_total", "Appends to the store.", outcome="done")
        self._metrics.time("store_append_seconds", "Time of an append that was answered.", taken)
        return Recording.DONE

"""The partitions that hold progress records: sequence numbers, open appends and each record's key.

Pure bookkeeping for `ProgressWriter` and `RecordCleaner`. It serves the load of a store of which
single partitions reset, refuse or hang while the others answer.

An append without an answer may be carried out at any later time of the leader's term. So its
sequence number stays bound to its batch: on a return to the partition, that append is repeated
until it is answered before anything else is appended there. Under another batch, the store could
report the number as used and drop the newer records.
"""

import dataclasses
import threading
from collections.abc import Iterable, Mapping

from ..jobs.events import Persist
from .topics import DEFAULT_PARTITION

__all__ = ["FENCE_SEQUENCE", "ProgressAppend", "ProgressPartitions"]

FENCE_SEQUENCE = 0
"""Sequence number of the fencing append; the batches in each partition follow it."""

_SWITCH_SECONDS = 0.6
"""How long appends to a partition may fail before the next one is used. A very slow store answers
an append in about 0.6 s, and with a second attempt the placements wait for about a second."""


@dataclasses.dataclass(frozen=True, slots=True, eq=False)
class ProgressAppend:
    """A batch under its sequence number in a partition."""

    partition: int
    sequence: int
    batch: Persist


class ProgressPartitions:
    """Chooses the partition of each append; safe to call from the writer and the cleaner.

    Parameters
    ----------
    count
        Number of partitions that may hold progress.
    key_partitions
        For each key on record, the partitions that hold a record of it, with the newest last.
    """

    def __init__(
        self, count: int, key_partitions: Mapping[str, tuple[int, ...]] | None = None
    ) -> None:
        self._count = count
        self._current = DEFAULT_PARTITION
        self._tried_since = 0.0
        self._sequences = [FENCE_SEQUENCE] * count
        self._open: list[ProgressAppend | None] = [None] * count
        # Most records are in one partition, so that the tuples are shared.
        self._key_partitions = dict(key_partitions or {})
        self._lock = threading.Lock()

    @property
    def count(self) -> int:
        """Number of partitions that may hold progress."""
        return self._count

    @property
    def current(self) -> int:
        """The partition to which batches are appended."""
        return self._current

    def begin(self, now: float) -> None:
        """Record that the attempts of a new batch start."""
        self._tried_since = now

    def seconds_until_switch(self, now: float) -> float:
        """Return the time until the current partition has failed for too long."""
        return self._tried_since + _SWITCH_SECONDS - now

    def switch(self, now: float) -> None:
        """Continue with the next partition."""
        self._current = (self._current + 1) % self._count
        self._tried_since = now

    def next_append(self, batch: Persist) -> ProgressAppend:
        """Return what must be appended next to the current partition, in order to append a batch.

        That is the partition's open append if there is one, and the batch otherwise.
        """
        with self._lock:
            part = self._current
            append = self._open[part]
            if append is None:
                self._sequences[part] += 1
                append = ProgressAppend(part, self._sequences[part], batch)
                self._open[part] = append
                for record in batch.records:
                    self._mark_newest(record.key, part)
            return append

    def _mark_newest(self, key: str, part: int) -> None:
        known = self._key_partitions.get(key, ())
        if not known or known[-1] != part:
            others = tuple(each for each in known if each != part)
            self._key_partitions[key] = (*others, part)

    def is_open(self, append: ProgressAppend) -> bool:
        """Check whether an append has not been answered yet."""
        return self._open[append.partition] is append

    def settle(self, append: ProgressAppend) -> None:
        """Record that an append was carried out, and stay in its partition."""
        with self._lock:
            if self._open[append.partition] is append:
                self._open[append.partition] = None
        self._current = append.partition

    def is_open_elsewhere(self, append: ProgressAppend) -> bool:
        """Check whether another partition has an open append of the same batch."""
        with self._lock:
            return any(
                other is not None and other is not append and other.batch is append.batch
                for other in self._open
            )

    def withdraw(self, append: ProgressAppend) -> None:
        """Record that an append was rejected, so that its sequence number is still to be used."""
        with self._lock:
            if self._open[append.partition] is append:
                self._open[append.partition] = None
                self._sequences[append.partition] -= 1

    def deletable_from(self, key: str) -> tuple[int, ...]:
        """Return the partitions from which to delete the records of a key, in this order.

        The newest record goes last, since an older one would count if it remained alone. Nothing
        may be deleted while an open append has a record of the key: it would bring that record
        back.
        """
        with self._lock:
            for append in self._open:
                if append is not None and any(r.key == key for r in append.batch.records):
                    return ()
            return self._key_partitions.get(key, (DEFAULT_PARTITION,))

    def forget(self, keys: Iterable[str]) -> None:
        """Forget keys whose records are deleted."""
        with self._lock:
            for key in keys:
                self._key_partitions.pop(key, None)

"""The partition of the store that tells who leads: read on, and appended to on condition."""

from ..errors import LogExpired, PlatformError
from ..logs import log_error
from ..platform.store import KeyedRecord, StoreClient
from .leader_record import LeaderRecord, decode_leader_record, encode_leader_record
from .topics import DEFAULT_PARTITION, LEADER_KEY, LEADERS_TOPIC

__all__ = ["LeaderLog"]


class LeaderLog:
    """One node's place in the leaders' partition.

    Parameters
    ----------
    store
        The store.
    """

    def __init__(self, store: StoreClient) -> None:
        self._store = store
        self._next_offset: int | None = None

    @property
    def has_position(self) -> bool:
        """Whether it is known from where to read on."""
        return self._next_offset is not None

    @property
    def next_epoch(self) -> int:
        """The epoch of a leader whose claim is appended next."""
        return self._next_offset + 1

    def reset_position(self) -> None:
        """Begin again from the newest record."""
        self._next_offset = None

    def read_newest(self, seconds: float) -> list[LeaderRecord]:
        """Give the newest record, if there is one, and read on from there."""
        page = self._store.newest(LEADERS_TOPIC, DEFAULT_PARTITION, seconds)
        self._next_offset = page.next_offset
        return _decode_records(page.records)

    def read_new(self, seconds: float) -> list[LeaderRecord] | None:
        """Give the records since the last look, waiting a while for the first.

        None where the store keeps them no more, and where it is not known from where to read on;
        the place is then forgotten.
        """
        if self._next_offset is None:
            return None
        try:
            page = self._store.read(LEADERS_TOPIC, DEFAULT_PARTITION, self._next_offset, seconds)
        except LogExpired:
            self.reset_position()
            return None
        self._next_offset = page.next_offset
        return _decode_records(page.records)

    def append(self, record: LeaderRecord, seconds: float) -> None:
        """Append a record, on condition that nobody has appended since the last look.

        Raises
        ------
        AppendConflict
            If somebody has.
        StoreRefused, CallUnanswered
            If it was not done, or may not have been.
        PlatformError
            If it is not known where the partition ends, so that there is no condition.
        """
        if self._next_offset is None:
            raise PlatformError("it is not known where the leaders' partition ends")
        offset = self._store.append(
            LEADERS_TOPIC,
            DEFAULT_PARTITION,
            [KeyedRecord(LEADER_KEY, encode_leader_record(record))],
            seconds,
            expected_end=self._next_offset,
        )
        self._next_offset = offset + 1


def _decode_records(records: list[KeyedRecord]) -> list[LeaderRecord]:
    found = []
    for record in records:
        if record.key != LEADER_KEY or not record.value:
            continue
        try:
            found.append(decode_leader_record(record))
        except PlatformError as error:
            # It names nobody; whoever leads finds that its condition holds no more, and one claims.
            log_error("leader_record_unusable", error, offset=record.offset)
    return found

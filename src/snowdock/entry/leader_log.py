"""Reads of and conditional appends to the store partition that holds the leader's records."""

from ..errors import LogExpired, PlatformError
from ..logs import log_error
from ..platform.store import KeyedRecord, StoreClient
from .leader_record import LeaderRecord, decode_leader_record, encode_leader_record
from .topics import DEFAULT_PARTITION, LEADER_KEY, LEADERS_TOPIC

__all__ = ["LeaderLog"]


class LeaderLog:
    """One node's read position in the leaders' partition, and its appends at that position.

    Parameters
    ----------
    store
        The store.
    """

    def __init__(self, store: StoreClient) -> None:
        self._store = store
        self._next_offset: int | None = None
        self._newest_is_readable = True

    @property
    def newest_is_readable(self) -> bool:
        """Whether the newest record read or appended could be decoded; true if there was none."""
        return self._newest_is_readable

    @property
    def has_position(self) -> bool:
        """Whether the offset of the next read is known."""
        return self._next_offset is not None

    @property
    def next_epoch(self) -> int:
        """The epoch of a claim that is appended at the current position."""
        return self._next_offset + 1

    def reset_position(self) -> None:
        """Discard the position; the next read has to be `read_newest`."""
        self._next_offset = None

    def read_newest(self, seconds: float) -> list[LeaderRecord]:
        """Return the newest record, if there is one, and move the position behind it."""
        page = self._store.newest(LEADERS_TOPIC, DEFAULT_PARTITION, seconds)
        self._next_offset = page.next_offset
        return self._decode(page.records)

    def read_new(self, seconds: float) -> list[LeaderRecord] | None:
        """Return all records after the position, and move the position behind them.

        Parameters
        ----------
        seconds
            How long to wait for the first record.

        Returns
        -------
        list of LeaderRecord or None
            None if the position is unknown, or if the store no longer has the records; the
            position is reset in that case.
        """
        if self._next_offset is None:
            return None
        records: list[KeyedRecord] = []
        is_cut = True
        while is_cut:
            try:
                page = self._store.read(
                    LEADERS_TOPIC, DEFAULT_PARTITION, self._next_offset, seconds
                )
            except LogExpired:
                self.reset_position()
                return None
            self._next_offset = page.next_offset
            records += page.records
            is_cut = page.is_cut
        return self._decode(records)

    def append(self, record: LeaderRecord, seconds: float) -> None:
        """Append a record, provided that the partition ends at the position.

        Raises
        ------
        AppendConflict
            If another record was appended since the last read.
        StoreRefused, CallUnanswered
            If the record was not appended, or may not have been.
        PlatformError
            If the position is unknown.
        """
        if self._next_offset is None:
            raise PlatformError("the end of the leaders' partition is unknown")
        offset = self._store.append(
            LEADERS_TOPIC,
            DEFAULT_PARTITION,
            [KeyedRecord(LEADER_KEY, encode_leader_record(record))],
            seconds,
            expected_end=self._next_offset,
        )
        self._next_offset = offset + 1
        self._newest_is_readable = True

    def _decode(self, records: list[KeyedRecord]) -> list[LeaderRecord]:
        leaders = []
        for record in records:
            if record.key != LEADER_KEY or not record.value:
                continue
            try:
                leaders.append(decode_leader_record(record))
                self._newest_is_readable = True
            except PlatformError as error:
                # The record is skipped; the leader's next renewal conflicts, and a node claims.
                log_error("leader_record_unusable", error, offset=record.offset)
                self._newest_is_readable = False
        return leaders

"""The record that tells who leads, as it is kept in the store."""

import dataclasses

import msgspec

from ..errors import UNREADABLE, PlatformError
from ..platform.store import KeyedRecord

__all__ = ["LeaderRecord", "NodeIdentity", "decode_leader_record", "encode_leader_record"]


class LeaderRecord(msgspec.Struct, frozen=True, array_like=True):
    """Who leads: its node, process and peer address, its epoch, and whether it has resigned.

    One that has resigned may name the node that is to claim next. ``turnover`` counts the
    leaderships just before this one that were taken over soon after their beginning.
    """

    node: str
    incarnation: str
    address: str
    epoch: int
    resigned: bool = False
    successor: str = ""
    turnover: int = 0


@dataclasses.dataclass(frozen=True, slots=True)
class NodeIdentity:
    """A node, one start of its process, and where its peers connect."""

    node: str
    incarnation: str
    address: str

    def make_record(
        self, epoch: int, resigned: bool = False, successor: str = "", turnover: int = 0
    ) -> LeaderRecord:
        """Make the record that this node leads, or has resigned."""
        return LeaderRecord(
            self.node, self.incarnation, self.address, epoch, resigned, successor, turnover
        )


def encode_leader_record(record: LeaderRecord) -> bytes:
    """Encode a leader's record."""
    return msgspec.msgpack.encode(record)


def decode_leader_record(record: KeyedRecord) -> LeaderRecord:
    """Decode a leader's record as it was read from the store.

    Raises
    ------
    PlatformError
        If the record does not fit.
    """
    try:
        return msgspec.msgpack.decode(record.value, type=LeaderRecord)
    except UNREADABLE as error:
        raise PlatformError(f"a leader's record does not fit: {error}") from error

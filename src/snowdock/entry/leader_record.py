"""The leader's record as it is kept in the store, and the identity of a node."""

import dataclasses

import msgspec

from ..errors import DECODE_ERRORS, PlatformError
from ..jobs.timeouts import ISOLATION_TIMEOUT_SECONDS
from ..platform.addresses import split_address
from ..platform.store import KeyedRecord

__all__ = ["LeaderRecord", "NodeIdentity", "decode_leader_record", "encode_leader_record"]

_UNSTATED_ISOLATION_SECONDS = 3.0
"""Isolation timeout of the releases whose records do not state it."""

_MAX_ISOLATION_SECONDS = 60.0
"""Longest isolation timeout taken from a record; a successor waits for it, and no release states
more than a quarter of it."""

_MAX_COUNT = 2**53
"""Highest epoch or turnover taken from a record, so that later ones fit into 64 bits too."""


class LeaderRecord(msgspec.Struct, frozen=True, array_like=True):
    """The leader as recorded in the store by a claim, a renewal or a resignation.

    Attributes
    ----------
    node, incarnation, address
        The leader's node, its process, and the address where its peers connect.
    epoch
        The epoch in which it leads.
    resigned
        Whether it has resigned.
    successor
        The node that is to claim next, named by a resignation; empty for none.
    turnover
        The number of consecutive short terms immediately before this one; see `turnover`.
    isolation_s
        For how long this leader, or one just before it, may send orders after it lost contact with
        the store and all peers, in seconds.
    was_behind
        Whether it resigned because it had fallen behind; see `leader_lag`.
    """

    node: str
    incarnation: str
    address: str
    epoch: int
    resigned: bool = False
    successor: str = ""
    turnover: int = 0
    isolation_s: float = _UNSTATED_ISOLATION_SECONDS
    was_behind: bool = False


@dataclasses.dataclass(frozen=True, slots=True)
class NodeIdentity:
    """The name of a node, the incarnation of its process, and the address of its peer socket."""

    node: str
    incarnation: str
    address: str

    def make_record(
        self,
        epoch: int,
        resigned: bool = False,
        successor: str = "",
        turnover: int = 0,
        isolation_s: float = ISOLATION_TIMEOUT_SECONDS,
        was_behind: bool = False,
    ) -> LeaderRecord:
        """Return a record that this node leads or, with ``resigned``, has resigned."""
        return LeaderRecord(
            self.node,
            self.incarnation,
            self.address,
            epoch,
            resigned,
            successor,
            turnover,
            isolation_s,
            was_behind,
        )


def encode_leader_record(record: LeaderRecord) -> bytes:
    """Encode a leader's record for the store."""
    return msgspec.msgpack.encode(record)


def decode_leader_record(record: KeyedRecord) -> LeaderRecord:
    """Decode a leader's record that was read from the store.

    Raises
    ------
    PlatformError
        If the record is malformed.
    """
    try:
        leader = msgspec.msgpack.decode(record.value, type=LeaderRecord)
    except DECODE_ERRORS as error:
        raise PlatformError(f"malformed leader record: {error}") from error
    _check_values(leader)
    return leader


def _check_values(leader: LeaderRecord) -> None:
    """Check what the types of a leader's record leave open.

    Raises
    ------
    PlatformError
        If its address, epoch, turnover or isolation timeout cannot be a leader's.
    """
    split_address(leader.address)
    if not (0 <= leader.epoch <= _MAX_COUNT and 0 <= leader.turnover <= _MAX_COUNT):
        raise PlatformError(f"leader record with epoch {leader.epoch}, turnover {leader.turnover}")
    if not 0 <= leader.isolation_s <= _MAX_ISOLATION_SECONDS:
        raise PlatformError(f"leader record with an isolation timeout of {leader.isolation_s} s")

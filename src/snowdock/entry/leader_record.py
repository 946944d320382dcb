"""The leader's record as it is kept in the store, and the identity of a node."""

import dataclasses
from typing import Annotated

import msgspec
from msgspec import Meta

from ..errors import DECODE_ERRORS, PlatformError
from ..jobs.timeouts import AUTHORITY_SECONDS, OUTAGE_AUTHORITY_SECONDS
from ..platform.addresses import split_address
from ..platform.store import KeyedRecord

__all__ = [
    "EarlierLeader",
    "LeaderRecord",
    "NodeIdentity",
    "decode_leader_record",
    "encode_leader_record",
    "unknown_leader",
]

_UNSTATED_AUTHORITY_SECONDS = 3.0
"""The bound of the releases whose records do not state it."""

_UNSTATED_ROSTER = -1
"""Stands for the roster in records of releases without one."""

_MAX_AUTHORITY_SECONDS = 60.0
"""Longest bound taken from a record; a successor waits for it, and no release states more than a
quarter of it."""

_MAX_COUNT = 2**53
"""Highest epoch, turnover or roster taken from a record, so that later ones fit into 64 bits."""

_Count = Annotated[int, Meta(ge=0, le=_MAX_COUNT)]
_Roster = Annotated[int, Meta(ge=_UNSTATED_ROSTER, le=_MAX_COUNT)]
_Bound = Annotated[float, Meta(ge=0, le=_MAX_AUTHORITY_SECONDS)]


class EarlierLeader(msgspec.Struct, frozen=True, array_like=True):
    """A leader before another one, which may still act.

    Attributes
    ----------
    node, incarnation, epoch
        Its node and process, and the epoch in which it led; empty and 0 if unknown.
    authority_s
        For how long it may act, in seconds.
    """

    node: str
    incarnation: str
    epoch: int
    authority_s: _Bound


def unknown_leader(authority_s: float) -> EarlierLeader:
    """Return a leader whose node is not known, so that no node can tell that it has ended."""
    return EarlierLeader("", "", 0, authority_s)


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
    authority_s
        How long after this record the leader, or one before it, may act, unless the claimant knows
        of a shorter bound, in seconds.
    was_behind
        Whether it resigned because it had fallen behind; see `leader_lag`.
    roster
        The version of the leader's roster; 0 if it has no authority beyond its renewals.
    earlier
        The leaders before this one that may act after this record.
    """

    node: str
    incarnation: str
    address: str
    epoch: _Count
    resigned: bool = False
    successor: str = ""
    turnover: _Count = 0
    authority_s: _Bound = _UNSTATED_AUTHORITY_SECONDS
    was_behind: bool = False
    roster: _Roster = _UNSTATED_ROSTER
    earlier: tuple[EarlierLeader, ...] = ()

    def list_earlier(self) -> tuple[EarlierLeader, ...]:
        """Return the leaders before this one that may act after this record.

        Releases without a roster pass their predecessors' bound on as their own.
        """
        if self.roster == _UNSTATED_ROSTER:
            return (unknown_leader(self.authority_s),)
        return self.earlier


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
        was_behind: bool = False,
        roster: int = 0,
        earlier: tuple[EarlierLeader, ...] = (),
    ) -> LeaderRecord:
        """Return a record that this node leads or, with ``resigned``, has resigned."""
        authority_s = OUTAGE_AUTHORITY_SECONDS if roster else AUTHORITY_SECONDS
        return LeaderRecord(
            self.node,
            self.incarnation,
            self.address,
            epoch,
            resigned,
            successor,
            turnover,
            max([authority_s, *(leader.authority_s for leader in earlier)]),
            was_behind,
            roster,
            earlier,
        )


def encode_leader_record(record: LeaderRecord) -> bytes:
    """Encode a leader's record for the store."""
    return msgspec.msgpack.encode(record)


def decode_leader_record(record: KeyedRecord) -> LeaderRecord:
    """Decode a leader's record that was read from the store.

    Raises
    ------
    PlatformError
        If the record is malformed, or its address cannot be a leader's.
    """
    try:
        leader = msgspec.msgpack.decode(record.value, type=LeaderRecord)
    except DECODE_ERRORS as error:
        raise PlatformError(f"malformed leader record: {error}") from error
    split_address(leader.address)
    return leader

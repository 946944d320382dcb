"""Messages between entry VMs, encoded as MessagePack arrays by msgspec."""

import enum

import msgspec

from ..errors import DECODE_ERRORS, InvalidInput
from ..jobs.job_room import JobRoom
from ..jobs.model import JobId, JobStatus
from ..node.peers import PeerMessages

__all__ = [
    "ENTRY_MESSAGES",
    "AdviceRelayRequest",
    "AdviceReply",
    "ConfigurationNotice",
    "CountReply",
    "CountRequest",
    "EntryMessage",
    "Heartbeat",
    "RecordNotice",
    "RecordOutcome",
    "RecordReply",
    "RecordRequest",
    "Statement",
    "StatusReply",
    "StatusRequest",
]


class _EntryMessage(msgspec.Struct, array_like=True, frozen=True, tag=True):
    """Base class of the messages; ``number`` matches a reply with its request."""


class Statement(msgspec.Struct, array_like=True, frozen=True):
    """What a node knows of the leaders on record; see `authority`.

    Attributes
    ----------
    incarnation, sent_at
        The sender's process, and its steady clock in seconds.
    heard_incarnation, heard_at
        The receiver's process and its clock, as in the newest statement that the sender has of it:
        a leader names the newest one that it has accepted. An empty process for none.
    newest_epoch
        The newest epoch in which the sender leads or knows a leader; 0 for none.
    may_have_claimed
        Whether a claim of the sender may be on record without its knowledge.
    roster
        For a leader: the newest version of its roster that includes the receiver; 0 for none.
    """

    incarnation: str
    sent_at: float
    heard_incarnation: str
    heard_at: float
    newest_epoch: int
    may_have_claimed: bool
    roster: int = 0


class Heartbeat(_EntryMessage, tag="b"):
    """The heartbeat that a node sends to its peers.

    Attributes
    ----------
    node, address
        The sender's name, and the address where its peers connect.
    epoch
        The epoch in which the sender leads; 0 if it is not the leader.
    renewal_age_s
        For a leader: seconds since its leadership was last recorded in the store.
    resigned
        Whether the sender has just resigned its leadership.
    claim_delay_s
        How long the sender waits before a claim, to let stronger nodes claim first, in seconds.
    reaches_store
        Whether the store has answered the sender recently.
    renewals_rejected
        For a leader: whether the store has rejected its last renewals.
    due_s
        Seconds until the sender's next heartbeat to this receiver.
    heard_s
        Seconds since the sender last received a heartbeat of the receiver; None for never.
    store_is_slow
        Whether the sender's recent appends to the store have been slow.
    configuration
        The version of the configuration in force at the sender; 0 for none.
    reads_all_progress
        Whether the sender would read all partitions of the progress as the leader; earlier versions
        read only the first.
    load
        For a leader: the encoded load summary; empty if none is due.
    callers
        Encoded news of callers that were refused, or whose job may be recorded; empty if none.
    statement
        What the sender knows of the leaders on record; None from earlier releases.
    job_room
        For a leader: its room for open jobs; None if it is not known yet, or from earlier releases.
    """

    node: str
    address: str
    epoch: int
    renewal_age_s: float
    resigned: bool = False
    claim_delay_s: float = 0.0
    reaches_store: bool = True
    renewals_rejected: bool = False
    due_s: float = 0.2
    heard_s: float | None = None
    configuration: int = 0
    store_is_slow: bool = False
    reads_all_progress: bool = False
    load: bytes = b""
    callers: bytes = b""
    statement: Statement | None = None
    job_room: JobRoom | None = None


class StatusRequest(_EntryMessage, tag="s"):
    """Request for the status of a team's job; no team if the caller needed no key.

    With ``may_wait``, a leader that still loads the jobs on record replies after it has.
    """

    number: int
    job: JobId
    team: str = ""
    may_wait: bool = False


class StatusReply(_EntryMessage, tag="S"):
    """A job's status; None if it is unknown, and ``is_certain`` if that is certain.

    ``doubt`` is why it is not certain; empty if it is, or if the sender gives no reason. ``leads``
    is whether the sender leads and has loaded the jobs on record. If not, ``leader`` is the leader
    that it knows of, itself if it still loads, with the address where its peers connect and its
    epoch; empty if it knows none.
    """

    number: int
    status: JobStatus | None
    is_certain: bool
    doubt: str = ""
    leads: bool = True
    leader: str = ""
    leader_address: str = ""
    leader_epoch: int = 0


class CountRequest(_EntryMessage, tag="c"):
    """Request for the number of waiting jobs of a queue."""

    number: int
    queue: str


class CountReply(_EntryMessage, tag="C"):
    """The number of waiting jobs; ``is_certain`` unless the sender is not the leader."""

    number: int
    waiting: int
    is_certain: bool


class AdviceRelayRequest(_EntryMessage, tag="a"):
    """Request of the leader that a node query the advice service."""

    number: int
    job: JobId
    repetition: int
    step: int
    workers: list[str]
    timeout_s: float


class AdviceReply(_EntryMessage, tag="A"):
    """The answer of the advice service: tickets by worker; None if there was no answer.

    ``took_s`` is how long the sender had the request; None in messages of older releases.
    """

    number: int
    tickets: dict[str, str] | None
    took_s: float | None = None


class RecordNotice(_EntryMessage, tag="n"):
    """Notice to the leader of a job's record that was appended to the store.

    The leader can apply the record before it reads it from the store.
    """

    key: str
    value: bytes


class ConfigurationNotice(_EntryMessage, tag="v"):
    """A configuration as stored, sent to a node that has an older one."""

    data: bytes


class RecordOutcome(enum.IntEnum):
    """Outcome of an attempt to append a record to the store."""

    DONE = 0
    NOT_DONE = 1
    """The record is not stored and will not be."""
    UNKNOWN = 2
    """The record may be stored, or may be stored later."""


class RecordRequest(_EntryMessage, tag="r"):
    """Request of a node that cannot reach the store to append a job's record for it.

    ``timeout_s`` is how long the append may take, in seconds.
    """

    number: int
    job: JobId
    key: str
    value: bytes
    timeout_s: float


class RecordReply(_EntryMessage, tag="R"):
    """The outcome of a relayed append."""

    number: int
    outcome: RecordOutcome


EntryMessage = (
    Heartbeat
    | StatusRequest
    | StatusReply
    | CountRequest
    | CountReply
    | AdviceRelayRequest
    | AdviceReply
    | RecordRequest
    | RecordNotice
    | RecordReply
    | ConfigurationNotice
)

_encoder = msgspec.msgpack.Encoder()
_decoder = msgspec.msgpack.Decoder(EntryMessage)


def _decode(data: bytes) -> EntryMessage:
    try:
        return _decoder.decode(data)
    except DECODE_ERRORS as error:
        raise InvalidInput(f"not an entry message: {error}") from error


ENTRY_MESSAGES = PeerMessages(
    encode=_encoder.encode,
    decode=_decode,
    heartbeat=Heartbeat,
    requests=(
        StatusRequest,
        CountRequest,
        AdviceRelayRequest,
        RecordRequest,
        RecordNotice,
        ConfigurationNotice,
    ),
    responses=(StatusReply, CountReply, AdviceReply, RecordReply),
    lookups=(StatusRequest, CountRequest),
)

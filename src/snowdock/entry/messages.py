"""Messages between entry VMs, encoded as arrays by msgspec."""

import enum

import msgspec

from ..errors import UNREADABLE, InvalidInput
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
    "StatusReply",
    "StatusRequest",
]


class _EntryMessage(msgspec.Struct, array_like=True, frozen=True, tag=True):
    """Base of the messages; ``number`` ties a reply to its question."""


class Heartbeat(_EntryMessage, tag="b"):
    """A node is alive.

    Attributes
    ----------
    node, address
        Who, and where its peers connect.
    epoch
        The epoch in which it leads; 0 where it does not.
    renewed_s
        For a leader: seconds since its leadership was last on record.
    resigned
        Whether it has just given its leadership back.
    claim_delay_s
        How long it leaves it to stronger nodes to claim the leadership, in seconds.
    reaches_store
        Whether the store has answered it lately.
    turned_away
        For a leader: whether the store has turned its last renewals away.
    due_s
        In how many seconds the receiver gets the next one.
    heard_s
        How many seconds ago the sender heard of the receiver; None for never.
    store_is_slow
        Whether the sender's appends have taken long lately.
    configuration
        The version that is in force at the sender; 0 for none.
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


class StatusRequest(_EntryMessage, tag="s"):
    """Where does a team's job stand; no team where no key was needed."""

    number: int
    job: JobId
    team: str = ""


class StatusReply(_EntryMessage, tag="S"):
    """A job's status; none where it is unknown, and ``is_sure`` if that can be relied on."""

    number: int
    status: JobStatus | None
    is_sure: bool


class CountRequest(_EntryMessage, tag="c"):
    """How many jobs of a queue wait."""

    number: int
    queue: str


class CountReply(_EntryMessage, tag="C"):
    """The count; ``is_sure`` unless the sender does not lead or lags."""

    number: int
    waiting: int
    is_sure: bool


class AdviceRelayRequest(_EntryMessage, tag="a"):
    """The leader has a node ask the advice service."""

    number: int
    job: JobId
    repetition: int
    step: int
    workers: list[str]
    timeout_s: float


class AdviceReply(_EntryMessage, tag="A"):
    """The service's answer: tickets by worker; none where there was no answer."""

    number: int
    tickets: dict[str, str] | None


class RecordNotice(_EntryMessage, tag="n"):
    """A job's record is on the store; the leader need not wait until it reads it there."""

    key: str
    value: bytes


class ConfigurationNotice(_EntryMessage, tag="v"):
    """A configuration as the store holds it, for a node that has only an older one."""

    data: bytes


class RecordOutcome(enum.IntEnum):
    """How putting a record on the store went."""

    DONE = 0
    NOT_DONE = 1
    """Surely not, and it never will be."""
    UNKNOWN = 2
    """It may be on record, or may still get there."""


class RecordRequest(_EntryMessage, tag="r"):
    """A node that does not reach the store asks another to put a job's record there.

    ``seconds`` is how long that may take.
    """

    number: int
    job: JobId
    key: str
    value: bytes
    timeout_s: float


class RecordReply(_EntryMessage, tag="R"):
    """How that went."""

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
    except UNREADABLE as error:
        raise InvalidInput(f"not an entry message: {error}") from error


ENTRY_MESSAGES = PeerMessages(
    encode=_encoder.encode,
    decode=_decode,
    heartbeat=Heartbeat,
    questions=(
        StatusRequest,
        CountRequest,
        AdviceRelayRequest,
        RecordRequest,
        RecordNotice,
        ConfigurationNotice,
    ),
    answers=(StatusReply, CountReply, AdviceReply, RecordReply),
)

"""Messages between nodes, encoded as arrays by msgspec."""

import msgspec

from ..errors import InvalidInput
from .peers import PeerMessages

__all__ = [
    "NODE_MESSAGES",
    "CallOutcome",
    "CallRequest",
    "ForwardedCallRequest",
    "ForwardedCallResponse",
    "Heartbeat",
    "KeptAnswerRequest",
    "KeptAnswerResponse",
    "PeerMessage",
    "StateRequest",
    "StateResponse",
    "decode_peer_message",
    "encode_peer_message",
]


class CallOutcome(msgspec.Struct, array_like=True, frozen=True):
    """What a caller is told of a request.

    ``outcome`` is ``ran``, ``not_run`` or ``unknown``; ``code`` names a failure.
    """

    outcome: str
    status: int
    headers: dict[str, str] = {}
    body: bytes = b""
    code: str = ""
    reason: str = ""
    retry_after_seconds: float = 0.0
    minion: str = ""


class CallRequest(msgspec.Struct, array_like=True, frozen=True):
    """A caller's request; ``deadline_ms`` is what is left of its time."""

    request_id: str
    endpoint: str
    method: str
    path: str
    headers: dict[str, str]
    body: bytes
    deadline_ms: int
    priority: int
    repeatable: bool
    session: str = ""
    trace: str = ""


class _PeerMessage(msgspec.Struct, array_like=True, frozen=True, tag=True):
    """Base of the messages between nodes; ``number`` ties an answer to its question."""


class Heartbeat(_PeerMessage, tag="h"):
    """A node is alive and has applied the log up to ``offset``.

    ``reaches_log`` tells whether its last read and its last append were answered.
    """

    node: str
    incarnation: str
    offset: int
    digest_offset: int
    digest: str
    reaches_log: bool
    idle_slots: dict[str, int]


class StateRequest(_PeerMessage, tag="s"):
    """A starting node that cannot read the log asks for the state."""

    number: int


class StateResponse(_PeerMessage, tag="S"):
    """The whole state, encoded."""

    number: int
    data: bytes


class ForwardedCallRequest(_PeerMessage, tag="c"):
    """A request for which the sender has no idle slot."""

    number: int
    request: CallRequest


class ForwardedCallResponse(_PeerMessage, tag="C"):
    """The end of a forwarded request."""

    number: int
    outcome: CallOutcome


class KeptAnswerRequest(_PeerMessage, tag="a"):
    """A caller asks again for a not-repeatable request that the receiver ran."""

    number: int
    request_id: str


class KeptAnswerResponse(_PeerMessage, tag="A"):
    """The kept answer, or None where it is not kept any more."""

    number: int
    outcome: CallOutcome | None


PeerMessage = (
    Heartbeat
    | StateRequest
    | StateResponse
    | ForwardedCallRequest
    | ForwardedCallResponse
    | KeptAnswerRequest
    | KeptAnswerResponse
)

_encoder = msgspec.msgpack.Encoder()
_decoder = msgspec.msgpack.Decoder(PeerMessage)


def encode_peer_message(message: PeerMessage) -> bytes:
    """Encode a message."""
    return _encoder.encode(message)


def decode_peer_message(data: bytes) -> PeerMessage:
    """Decode a message.

    Raises
    ------
    InvalidInput
        If the bytes are not one.
    """
    try:
        return _decoder.decode(data)
    except msgspec.MsgspecError as error:
        raise InvalidInput(f"not a peer message: {error}") from error


NODE_MESSAGES = PeerMessages(
    encode=encode_peer_message,
    decode=decode_peer_message,
    heartbeat=Heartbeat,
    requests=(StateRequest, ForwardedCallRequest, KeptAnswerRequest),
    responses=(StateResponse, ForwardedCallResponse, KeptAnswerResponse),
)

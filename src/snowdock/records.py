"""Records of the log, the only way to change the shared state.

A record is a proposal, which the reducer accepts or rejects by the state at the record's
offset, equally on every node. Records are array-encoded, so batches contain no field names.
"""

import itertools
import typing
import zlib

import msgspec

from .columns import from_columns, to_columns
from .declarations import Declarations, Size, WorkSpec
from .errors import InvalidInput

__all__ = [
    "AttemptEnded",
    "AttemptLost",
    "AttemptStarted",
    "Batch",
    "ConfigurationProposed",
    "MinionGone",
    "MinionLeaving",
    "MinionSeen",
    "NodeDraining",
    "NodeGone",
    "NodeJoined",
    "NodeLeft",
    "Placement",
    "Record",
    "RequestEnded",
    "RequestIntended",
    "SlotsReturned",
    "SlotsTaken",
    "SnapshotPart",
    "StopRequested",
    "TasksPlaced",
    "WorkCancelled",
    "WorkSubmitted",
    "WorkerGone",
    "WorkerLeaving",
    "WorkerSeen",
    "decode_batch",
    "encode_batch",
]

_MAX_BATCH_BYTES = 16 * 1024 * 1024


class _Record(msgspec.Struct, array_like=True, frozen=True, tag=True):
    """Base of all records."""


class NodeJoined(_Record, tag="nj"):
    """A node process has started with a new incarnation."""

    node: str
    incarnation: str
    hall: str
    api_address: str
    peer_address: str


class NodeDraining(_Record, tag="nd"):
    """A node accepts no new work and finishes its requests in flight."""

    node: str


class NodeLeft(_Record, tag="nl"):
    """A node has finished its requests and stops; its slots are free."""

    node: str


class NodeGone(_Record, tag="ng"):
    """The VM list says that the node's VM is gone and a lease duration has passed since."""

    node: str
    incarnation: str


class ConfigurationProposed(_Record, tag="cp"):
    """An operator's configuration, based on version ``base``."""

    base: int
    declarations: Declarations
    author: str


class WorkerSeen(_Record, tag="ws"):
    """A worker has reported its capacity; ``boot`` identifies one boot of its VM."""

    worker: str
    boot: str
    capacity: Size
    rack: str
    hall: str
    address: str


class WorkerLeaving(_Record, tag="wl"):
    """The VM list says that the worker is leaving; no new tasks are placed on it."""

    worker: str


class WorkerGone(_Record, tag="wg"):
    """The VM list no longer contains the worker's VM; its leases must not be renewed."""

    worker: str
    boot: str


class WorkSubmitted(_Record, tag="su"):
    """A caller submits work; ``key`` identifies repeated submissions of the same work."""

    key: str
    spec: WorkSpec


class WorkCancelled(_Record, tag="ca"):
    """A caller cancels a work."""

    work: int


class Placement(msgspec.Struct, array_like=True, frozen=True):
    """The assignment of a task to a worker."""

    task: int
    worker: str


class TasksPlaced(_Record, tag="tp"):
    """Placements of tasks of one work, which are accepted or rejected as a whole."""

    work: int
    placements: list[Placement]


class AttemptStarted(_Record, tag="as"):
    """A worker has reported that an attempt runs."""

    work: int
    task: int
    attempt: int


class AttemptEnded(_Record, tag="ae"):
    """A worker has reported that an attempt has ended and cannot be started again.

    ``outcome`` is one of the values of `snowdock.state.Outcome`.
    """

    work: int
    task: int
    attempt: int
    outcome: str


class AttemptLost(_Record, tag="al"):
    """An attempt on a gone worker has certainly ended; see ``docs/design/protocol.md``."""

    work: int
    task: int
    attempt: int


class StopRequested(_Record, tag="sr"):
    """A running attempt is to be preempted; ``how`` is ``checkpoint`` or ``stop``."""

    work: int
    task: int
    attempt: int
    how: str


class MinionSeen(_Record, tag="ms"):
    """The VM list contains a minion of a group."""

    minion: str
    group: str
    hall: str
    address: str


class MinionLeaving(_Record, tag="ml"):
    """The VM list says that the minion is leaving; no new requests are sent to it."""

    minion: str


class MinionGone(_Record, tag="mg"):
    """The VM list no longer contains the minion."""

    minion: str


class SlotsTaken(_Record, tag="st"):
    """The sending node claims free slots of a minion."""

    minion: str
    slots: int


class SlotsReturned(_Record, tag="sv"):
    """The sending node releases slots of a minion."""

    minion: str
    slots: int


class RequestIntended(_Record, tag="ri"):
    """The sending node is about to forward a non-repeatable request."""

    request: str
    minion: str


class RequestEnded(_Record, tag="re"):
    """A non-repeatable request has ended; ``outcome`` is ``ran``, ``not_run`` or ``unknown``."""

    request: str
    outcome: str


class SnapshotPart(_Record, tag="sn"):
    """A part of the encoded state after ``offset``: part ``index`` of ``total``, from 0."""

    offset: int
    index: int
    total: int
    data: bytes


Record = (
    NodeJoined
    | NodeDraining
    | NodeLeft
    | NodeGone
    | ConfigurationProposed
    | WorkerSeen
    | WorkerLeaving
    | WorkerGone
    | WorkSubmitted
    | WorkCancelled
    | TasksPlaced
    | AttemptStarted
    | AttemptEnded
    | AttemptLost
    | StopRequested
    | MinionSeen
    | MinionLeaving
    | MinionGone
    | SlotsTaken
    | SlotsReturned
    | RequestIntended
    | RequestEnded
    | SnapshotPart
)


class Batch(msgspec.Struct, array_like=True, frozen=True):
    """The records that one node appends to the log together.

    Attributes
    ----------
    node, incarnation
        The sender.
    sequence
        Number of the batch among the sender's batches, from 1; repeated batches are ignored.
    read_offset
        The offset up to which the sender had acted on the log when it sent the batch.
    sent_ms
        The sender's clock in milliseconds since the epoch.
    records
        The records, in order.
    """

    node: str
    incarnation: str
    sequence: int
    read_offset: int
    sent_ms: int
    records: list[Record]


class _ColumnRun(msgspec.Struct, array_like=True, frozen=True):
    """Consecutive records of one type in columnar encoding."""

    tag: str
    count: int
    columns: list


class _WireBatch(msgspec.Struct, array_like=True, frozen=True):
    """The encoded form of a batch."""

    node: str
    incarnation: str
    sequence: int
    read_offset: int
    sent_ms: int
    runs: list[_ColumnRun]


_KINDS = {kind.__struct_config__.tag: kind for kind in typing.get_args(Record)}
_MAX_RECORDS = 4096
_RAW_DEFLATE = -zlib.MAX_WBITS
"""Raw deflate without header and checksum, since the log preserves its data."""

_encoder = msgspec.msgpack.Encoder()
_decoder = msgspec.msgpack.Decoder(_WireBatch)


def encode_batch(batch: Batch) -> bytes:
    """Encode and compress a batch.

    Parameters
    ----------
    batch
        The batch.

    Returns
    -------
    bytes
        The body of one append.
    """
    runs = []
    for kind, group in itertools.groupby(batch.records, type):
        records = list(group)
        tag = kind.__struct_config__.tag
        runs.append(_ColumnRun(tag, len(records), to_columns(kind, records)))
    wire = _WireBatch(
        batch.node, batch.incarnation, batch.sequence, batch.read_offset, batch.sent_ms, runs
    )
    deflater = zlib.compressobj(zlib.Z_BEST_COMPRESSION, zlib.DEFLATED, _RAW_DEFLATE)
    return deflater.compress(_encoder.encode(wire)) + deflater.flush()


def decode_batch(data: bytes) -> Batch:
    """Decode the body of one append.

    Parameters
    ----------
    data
        The result of `encode_batch`.

    Returns
    -------
    Batch
        The decoded batch.

    Raises
    ------
    InvalidInput
        If the bytes are not a batch, or would expand beyond 16 MiB or 4096 records.
    """
    try:
        inflater = zlib.decompressobj(_RAW_DEFLATE)
        raw = inflater.decompress(data, _MAX_BATCH_BYTES)
        if not inflater.eof:
            raise InvalidInput("the batch is truncated or too large")
        wire = _decoder.decode(raw)
    except (zlib.error, msgspec.MsgspecError) as error:
        raise InvalidInput(f"not a batch: {error}") from error
    records: list[Record] = []
    for run in wire.runs:
        if run.tag not in _KINDS or not 0 <= run.count <= _MAX_RECORDS - len(records):
            raise InvalidInput("the batch has an unknown record type or too many records")
        records.extend(from_columns(_KINDS[run.tag], run.columns, run.count))
    return Batch(
        wire.node, wire.incarnation, wire.sequence, wire.read_offset, wire.sent_ms, records
    )

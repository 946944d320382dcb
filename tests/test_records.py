"""Tests of the encoding of batches of records."""

import os
import unittest

from hypothesis import given
from hypothesis import strategies as st

from snowdock.declarations import Declarations, Size, Team, WorkSpec
from snowdock.errors import InvalidInput
from snowdock.records import (
    AttemptEnded,
    Batch,
    ConfigurationProposed,
    NodeLeft,
    Placement,
    SnapshotPart,
    TasksPlaced,
    WorkSubmitted,
    decode_batch,
    encode_batch,
)

NUMBERS = st.integers(min_value=-(2**62), max_value=2**62)
TEXTS = st.text(max_size=20)
SPECS = st.builds(WorkSpec, TEXTS, TEXTS, TEXTS, NUMBERS, st.builds(Size, NUMBERS, NUMBERS))
RECORDS = st.one_of(
    st.builds(AttemptEnded, NUMBERS, NUMBERS, NUMBERS, TEXTS),
    st.builds(TasksPlaced, NUMBERS, st.lists(st.builds(Placement, NUMBERS, TEXTS), max_size=4)),
    st.builds(WorkSubmitted, TEXTS, SPECS),
    st.builds(SnapshotPart, NUMBERS, NUMBERS, NUMBERS, st.binary(max_size=30)),
    st.builds(NodeLeft, TEXTS),
)


def make_batch(records: list) -> Batch:
    return Batch("n", "i", 1, 2, 3, records)


class TestBatchCodec(unittest.TestCase):
    @given(st.lists(RECORDS, max_size=12))
    def test_round_trip(self, records: list) -> None:
        """Decoding returns the encoded records for any mixture of types, in order."""
        self.assertEqual(decode_batch(encode_batch(make_batch(records))), make_batch(records))

    def test_configuration_round_trip(self) -> None:
        """A record with nested structs survives encoding and decoding."""
        declarations = Declarations(teams={"t": Team(cpu=1, memory_gb=2)}, programs={"a": "b\n"})
        batch = make_batch([ConfigurationProposed(3, declarations, "me")])
        self.assertEqual(decode_batch(encode_batch(batch)), batch)

    @given(st.binary(max_size=200), st.integers(0, 60))
    def test_damaged_batch_raises_invalid_input(self, garbage: bytes, cut: int) -> None:
        """Random bytes and damaged batches either decode or raise `InvalidInput`."""
        encoded = encode_batch(make_batch([AttemptEnded(1, 2, 3, "failed"), NodeLeft("n")]))
        for data in (garbage, encoded[:cut], encoded[:cut] + garbage + encoded[cut:]):
            try:
                decode_batch(data)
            except InvalidInput:
                continue

    def test_oversized_batch_is_rejected(self) -> None:
        """A batch that would decompress beyond the size limit is rejected."""
        part = SnapshotPart(0, 0, 1, bytes(20 * 1024 * 1024))
        with self.assertRaises(InvalidInput):
            decode_batch(encode_batch(make_batch([part])))

    def test_snapshot_data_round_trip(self) -> None:
        """The binary data of a snapshot part is unchanged by encoding and decoding."""
        part = SnapshotPart(5, 0, 1, os.urandom(1000))
        self.assertEqual(decode_batch(encode_batch(make_batch([part]))).records, [part])

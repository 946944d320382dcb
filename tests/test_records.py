"""Tests of the records' codec."""

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
        """Any mixture of records, in any order, comes back as it was."""
        self.assertEqual(decode_batch(encode_batch(make_batch(records))), make_batch(records))

    def test_configuration_round_trip(self) -> None:
        """A record with nested models comes back as it was."""
        declarations = Declarations(teams={"t": Team(cpu=1, memory_gb=2)}, programs={"a": "b\n"})
        made = make_batch([ConfigurationProposed(3, declarations, "me")])
        self.assertEqual(decode_batch(encode_batch(made)), made)

    @given(st.binary(max_size=200), st.integers(0, 60))
    def test_damaged_batch_raises_invalid_input(self, noise: bytes, at: int) -> None:
        """Foreign bytes and damaged batches bring a batch or the typed failure, nothing else."""
        good = encode_batch(make_batch([AttemptEnded(1, 2, 3, "failed"), NodeLeft("n")]))
        for data in (noise, good[:at], good[:at] + noise + good[at:]):
            try:
                decode_batch(data)
            except InvalidInput:
                continue

    def test_oversized_batch_is_rejected(self) -> None:
        """Bytes that would expand beyond the bound are refused."""
        part = SnapshotPart(0, 0, 1, bytes(20 * 1024 * 1024))
        with self.assertRaises(InvalidInput):
            decode_batch(encode_batch(make_batch([part])))

    def test_snapshot_data_round_trip(self) -> None:
        """Binary data of snapshots is kept to the byte."""
        part = SnapshotPart(5, 0, 1, os.urandom(1000))
        self.assertEqual(decode_batch(encode_batch(make_batch([part]))).records, [part])

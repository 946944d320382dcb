"""Tests of the store client against a fake store."""

import unittest
from unittest import mock

from snowdock.errors import (
    AppendConflict,
    AppendRejected,
    CallUnanswered,
    LogExpired,
    PlatformError,
    ProducerFenced,
    StoreRefused,
)
from snowdock.platform.store import AppendLimits, KeyedRecord, Producer, StoreClient
from tests.standins.platform import StoreStandin, json_reply

TOPIC = "keyed.test"


def record(key: str, value: bytes | None = b"v") -> KeyedRecord:
    return KeyedRecord(key, value)


class TestStoreClient(unittest.TestCase):
    def setUp(self) -> None:
        self.store = StoreStandin()
        self.client = StoreClient(self.store.address, 4)

    def tearDown(self) -> None:
        self.store.close()

    def append(self, *records: KeyedRecord, **options) -> int:
        return self.client.append(TOPIC, 0, list(records), 2.0, **options)

    def test_records_are_read_back_in_order(self) -> None:
        """Keys, values and offsets are read back; a record without a value deletes its key."""
        self.assertEqual(self.append(record("a"), record("b", b"\x00\xff")), 0)
        self.assertEqual(self.append(record("a", None)), 2)
        page = self.client.read(TOPIC, 0, 0, 0.0)
        self.assertEqual(
            [(r.key, r.value, r.offset) for r in page.records],
            [("a", b"v", 0), ("b", b"\x00\xff", 1), ("a", None, 2)],
        )
        self.assertEqual(page.next_offset, 3)
        newest = self.client.newest(TOPIC, 0, 2.0)
        self.assertEqual([r.key for r in newest.records], ["b"])
        self.assertEqual(newest.next_offset, 3)

    def test_newest_reads_all_pages(self) -> None:
        """All keys are returned when they take several pages."""
        self.append(*(record(f"k{number:03}") for number in range(120)))
        self.assertEqual(len(self.client.newest(TOPIC, 0, 2.0).records), 120)

    def test_page_that_is_cut(self) -> None:
        """A page that ends before the partition says so, and reading on finds the rest."""
        self.append(*(record(f"k{number}", b"x" * 200_000) for number in range(8)))
        first = self.client.read(TOPIC, 0, 0, 0.0)
        self.assertEqual((len(first.records), first.is_cut), (5, True))
        rest = self.client.read(TOPIC, 0, first.next_offset, 0.0)
        self.assertEqual((len(rest.records), rest.is_cut), (3, False))
        self.assertFalse(self.client.read(TOPIC, 0, rest.next_offset, 0.0).is_cut)
        self.assertEqual(len(self.client.newest(TOPIC, 0, 2.0).records), 8)

    def test_empty_page_that_is_not_the_last(self) -> None:
        """A list of keys that breaks off is not taken for all keys."""
        page = {"items": [], "has_more": True, "end": 3}
        with (
            mock.patch.object(self.store, "_read_newest", lambda part, query: json_reply(page)),
            self.assertRaisesRegex(PlatformError, "has no items but more"),
        ):
            self.client.newest(TOPIC, 0, 2.0)

    def test_append_beyond_the_limits(self) -> None:
        """A record or an append that is too long is rejected without a call, and at the store."""
        limits = AppendLimits(record_bytes=50, call_bytes=120)
        self.client.set_limits(limits)
        for records in ([record("a", b"x" * 49)], [record("a", b"x" * 40)] * 3):
            with self.assertRaises(AppendRejected):
                self.append(*records)
        self.assertEqual(self.store.calls, [])
        self.append(record("a", b"x" * 48))
        self.append(*[record("a", b"x" * 34)] * 3)
        self.client.set_limits(AppendLimits())
        self.store.record_bytes, self.store.call_bytes = limits.record_bytes, limits.call_bytes
        for records in ([record("a", b"x" * 49)], [record("a", b"x" * 40)] * 3):
            with self.assertRaises(AppendRejected):
                self.append(*records)
        self.assertEqual(self.store.rejected, [51, 42])
        self.assertEqual(self.store.part(TOPIC).end, 4)

    def test_expected_end(self) -> None:
        """An append with a wrong expected end fails and reports the actual end."""
        self.append(record("a"), expected_end=0)
        with self.assertRaises(AppendConflict) as caught:
            self.append(record("b"), expected_end=0)
        self.assertEqual(caught.exception.end, 1)

    def test_producers(self) -> None:
        """Repeats return the first offset, gaps are refused, lower epochs are fenced off."""
        first = Producer("p", 5, 1)
        self.assertEqual(self.append(record("a"), producer=first), 0)
        self.assertEqual(self.append(record("a"), producer=first), 0)
        with self.assertRaises(AppendConflict):
            self.append(record("a"), producer=Producer("p", 5, 7))
        self.append(producer=Producer("p", 6, 0))
        with self.assertRaises(ProducerFenced):
            self.append(record("a"), producer=Producer("p", 5, 2))
        self.assertEqual(self.append(record("b"), producer=Producer("p", 6, 1)), 1)

    def test_expired_records(self) -> None:
        """Reading expired records reports the first offset that is still stored."""
        self.append(record("a"))
        self.store.discard_history(TOPIC)
        with self.assertRaises(LogExpired) as caught:
            self.client.read(TOPIC, 0, 0, 0.0)
        self.assertEqual(caught.exception.first, 1)
        self.assertEqual(len(self.client.newest(TOPIC, 0, 2.0).records), 1)

    def test_refused_differs_from_unanswered(self) -> None:
        """Refused, unanswered and unsent appends raise distinct errors."""
        self.store.refuse = True
        with self.assertRaises(StoreRefused):
            self.append(record("a"))
        self.store.refuse, self.store.lose = False, True
        with self.assertRaises(CallUnanswered) as caught:
            self.client.append(TOPIC, 0, [record("a")], 0.2)
        self.assertFalse(caught.exception.unsent)
        self.assertEqual(self.store.part(TOPIC).end, 1)
        nowhere = StoreClient("127.0.0.1:1", 1)
        with self.assertRaises(CallUnanswered) as caught:
            nowhere.append(TOPIC, 0, [record("a")], 0.2)
        self.assertTrue(caught.exception.unsent)


if __name__ == "__main__":
    unittest.main()

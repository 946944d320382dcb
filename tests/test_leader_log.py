"""Tests of reads of and conditional appends to the leaders' partition."""

import unittest

from snowdock.entry.leader_log import LeaderLog
from snowdock.entry.leader_record import NodeIdentity
from snowdock.errors import AppendConflict, PlatformError
from snowdock.platform.store import KeyedRecord, StoreClient
from tests.standins.platform import StoreStandin

FIRST = NodeIdentity("n1", "n1-1", "127.0.0.1:1")
SECOND = NodeIdentity("n2", "n2-1", "127.0.0.1:2")


class TestLeaderLog(unittest.TestCase):
    def setUp(self) -> None:
        self.store = StoreStandin()
        self.addCleanup(self.store.close)

    def open_log(self) -> LeaderLog:
        """Return a log of one node, positioned behind the newest record."""
        log = LeaderLog(StoreClient(self.store.address, 2))
        log.read_newest(2.0)
        return log

    def test_only_one_of_two_claims_is_appended(self) -> None:
        """Of two claims at the same position, the second conflicts."""
        first, second = self.open_log(), self.open_log()
        first.append(FIRST.make_record(first.next_epoch), 2.0)
        with self.assertRaises(AppendConflict):
            second.append(SECOND.make_record(second.next_epoch), 2.0)
        self.assertEqual(second.read_new(0.0), [FIRST.make_record(1)])
        second.append(SECOND.make_record(second.next_epoch), 2.0)
        self.assertEqual(first.read_new(0.0), [SECOND.make_record(2)])

    def test_records_beyond_one_page(self) -> None:
        """A leader's claim that the first page leaves out is read as well."""
        log, other = self.open_log(), self.open_log()
        filler = KeyedRecord("other", b"x" * 200_000)
        StoreClient(self.store.address, 2).append("keyed.leaders", 0, [filler] * 8, 2.0)
        other.read_new(0.0)
        other.append(SECOND.make_record(other.next_epoch), 2.0)
        self.assertEqual(log.read_new(0.0), [SECOND.make_record(9)])

    def test_append_without_position_fails(self) -> None:
        """A node without a position cannot claim before it has read the newest record."""
        log = self.open_log()
        log.reset_position()
        with self.assertRaises(PlatformError):
            log.append(FIRST.make_record(1), 2.0)
        self.assertEqual(self.open_log().read_newest(2.0), [])

    def test_position_is_reset_when_history_expired(self) -> None:
        """A node whose next records have expired continues from the newest record."""
        behind, ahead = self.open_log(), self.open_log()
        for epoch in (1, 2, 3):
            ahead.append(FIRST.make_record(epoch), 2.0)
        self.store.part("keyed.leaders").first = 2
        self.assertIsNone(behind.read_new(0.0))
        self.assertFalse(behind.has_position)
        self.assertEqual(behind.read_newest(2.0), [FIRST.make_record(3)])


if __name__ == "__main__":
    unittest.main()

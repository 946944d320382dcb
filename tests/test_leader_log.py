"""Tests of reads of and conditional appends to the leaders' partition."""

import unittest

from snowdock.entry.leader_log import LeaderLog
from snowdock.entry.leader_record import Identity
from snowdock.errors import AppendConflict, PlatformError
from snowdock.platform.store import StoreClient
from tests.standins.platform import StoreStandin

FIRST = Identity("n1", "n1-1", "127.0.0.1:1")
SECOND = Identity("n2", "n2-1", "127.0.0.1:2")


class TestLeaderLog(unittest.TestCase):
    def setUp(self) -> None:
        self.store = StoreStandin()
        self.addCleanup(self.store.close)

    def open(self) -> LeaderLog:
        """Return a log of one node, positioned behind the newest record."""
        log = LeaderLog(StoreClient(self.store.address, 2))
        log.read_newest(2.0)
        return log

    def test_of_two_claims_one_is_granted(self) -> None:
        """Of two claims at the same position, the second conflicts."""
        first, second = self.open(), self.open()
        first.append(FIRST.lead(first.next_epoch), 2.0)
        with self.assertRaises(AppendConflict):
            second.append(SECOND.lead(second.next_epoch), 2.0)
        self.assertEqual(second.read_on(0.0), [FIRST.lead(1)])
        second.append(SECOND.lead(second.next_epoch), 2.0)
        self.assertEqual(first.read_on(0.0), [SECOND.lead(2)])

    def test_nothing_is_appended_without_a_condition(self) -> None:
        """A node without a position cannot claim before it has read the newest record."""
        log = self.open()
        log.forget_place()
        with self.assertRaises(PlatformError):
            log.append(FIRST.lead(1), 2.0)
        self.assertEqual(self.open().read_newest(2.0), [])

    def test_place_is_lost_with_the_history(self) -> None:
        """A node whose next records have expired continues from the newest record."""
        behind, ahead = self.open(), self.open()
        for epoch in (1, 2, 3):
            ahead.append(FIRST.lead(epoch), 2.0)
        self.store.part("keyed.leaders").first = 2
        self.assertIsNone(behind.read_on(0.0))
        self.assertFalse(behind.has_place)
        self.assertEqual(behind.read_newest(2.0), [FIRST.lead(3)])


if __name__ == "__main__":
    unittest.main()

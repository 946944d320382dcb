"""Tests of following a topic of the store."""

import threading
import unittest

from snowdock.entry.tails import Tail
from snowdock.errors import CallUnanswered, LogExpired
from snowdock.platform.store import KeyedRecord, StorePage
from tests.standins.entry_cluster import wait_until


class ScriptedStore:
    """A store with scripted answers that records the wait time of each read."""

    def __init__(self, *answers) -> None:
        self.answers = list(answers)
        self.waits: list[float] = []
        self.newest_reads = 0
        self.finished = threading.Event()

    def newest(self, topic: str, part: int, seconds: float) -> StorePage:
        self.newest_reads += 1
        return StorePage([KeyedRecord("all", b"x", 0)], 1)

    def read(self, topic: str, part: int, offset: int, wait_seconds: float) -> StorePage:
        self.waits.append(wait_seconds)
        if not self.answers:
            self.finished.set()
            threading.Event().wait(0.05)
            return StorePage([], offset)
        answer = self.answers.pop(0)
        if isinstance(answer, Exception):
            raise answer
        return StorePage([KeyedRecord(answer, b"x", offset)], offset + 1)


class TestTail(unittest.TestCase):
    def follow(self, store: ScriptedStore) -> tuple[list[str], list[str]]:
        handled: list[str] = []
        snapshots: list[str] = []
        tail = Tail(
            store,
            "keyed.t",
            0,
            1.0,
            0.0,
            lambda record: handled.append(record.key),
            lambda records: snapshots.extend(record.key for record in records),
        )
        tail.start()
        self.assertTrue(store.finished.wait(10))
        tail.stop()
        return handled, snapshots

    def test_new_records_are_handled_in_order(self) -> None:
        """The newest records of all keys are read first, then new records in order."""
        self.assertEqual(self.follow(ScriptedStore("a", "b")), (["a", "b"], ["all"]))

    def test_failing_store_is_read_without_waiting(self) -> None:
        """After a failure, reads do not wait until one has succeeded."""
        lost = CallUnanswered("lost", False)
        store = ScriptedStore("a", lost, lost, "b", "c")
        handled, _ = self.follow(store)
        self.assertEqual(store.waits[:5], [1.0, 1.0, 0.0, 0.0, 1.0])
        self.assertEqual(handled, ["a", "b", "c"])

    def test_expired_offset_causes_a_snapshot_read(self) -> None:
        """When the offset has expired, the newest records of all keys are read again."""
        store = ScriptedStore("a", LogExpired("gone", 5), "b")
        handled, snapshots = self.follow(store)
        self.assertEqual((handled, snapshots), (["a", "b"], ["all", "all"]))

    def test_failing_record_does_not_stop_the_tail(self) -> None:
        """An unexpected error in handling one record does not affect the next ones."""
        store = ScriptedStore("bad", "good")
        handled: list[str] = []

        def on_record(record: KeyedRecord) -> None:
            if record.key == "bad":
                raise RuntimeError("bad record")
            handled.append(record.key)

        tail = Tail(store, "keyed.t", 0, 1.0, 0.0, on_record, lambda records: None)
        tail.start()
        self.assertTrue(wait_until(lambda: handled == ["good"]))
        tail.stop()


if __name__ == "__main__":
    unittest.main()

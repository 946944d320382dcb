"""Tests of following a topic of the store."""

import threading
import unittest

from snowdock.entry.tails import Tail
from snowdock.errors import CallUnanswered, LogExpired
from snowdock.platform.store import KeyedRecord, StorePage
from tests.standins.entry_cluster import wait_until


class ScriptedStore:
    """Answers reads as told, and notes how long each would have waited."""

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
        """The newest records first, then what follows them."""
        self.assertEqual(self.follow(ScriptedStore("a", "b")), (["a", "b"], ["all"]))

    def test_failing_store_is_read_without_waiting(self) -> None:
        """After a failure no read waits, until one was answered."""
        lost = CallUnanswered("lost", False)
        store = ScriptedStore("a", lost, lost, "b", "c")
        taken, _ = self.follow(store)
        self.assertEqual(store.waits[:5], [1.0, 1.0, 0.0, 0.0, 1.0])
        self.assertEqual(taken, ["a", "b", "c"])

    def test_expired_offset_causes_a_snapshot_read(self) -> None:
        """Where records are gone, the newest of each key are taken."""
        store = ScriptedStore("a", LogExpired("gone", 5), "b")
        taken, whole = self.follow(store)
        self.assertEqual((taken, whole), (["a", "b"], ["all", "all"]))

    def test_failing_record_does_not_stop_the_tail(self) -> None:
        """An unforeseen failure in taking one record leaves the others."""
        store = ScriptedStore("bad", "good")
        taken: list[str] = []

        def take(record: KeyedRecord) -> None:
            if record.key == "bad":
                raise RuntimeError("bad record")
            taken.append(record.key)

        tail = Tail(store, "keyed.t", 0, 1.0, 0.0, take, lambda records: None)
        tail.start()
        self.assertTrue(wait_until(lambda: taken == ["good"]))
        tail.stop()


if __name__ == "__main__":
    unittest.main()

"""Tests of following a topic of the store."""

import math
import threading
import types
import unittest
from unittest import mock

from snowdock.clocks import steady_seconds
from snowdock.entry import tails
from snowdock.entry.configuration_watcher import ConfigurationWatcher
from snowdock.entry.job_status_table import JobStatusTable
from snowdock.entry.leader_handle import LeaderHandle
from snowdock.entry.tails import Tail
from snowdock.errors import CallUnanswered, LogExpired, PlatformError
from snowdock.platform.store import KeyedRecord, StoreClient, StorePage
from tests.standins.entry_cluster import wait_until
from tests.standins.platform import StoreStandin


class ScriptedStore:
    """A store with scripted answers that records the wait time of each read.

    An answer is a record's key, the keys of a page's records, or an error.
    """

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
        keys = answer if isinstance(answer, tuple) else (answer,)
        records = [KeyedRecord(key, b"x", offset + number) for number, key in enumerate(keys)]
        return StorePage(records, offset + len(keys))


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

    def test_record_that_fails_hides_the_rest_of_its_page(self) -> None:
        """Whatever handling a record raises, the later records of its page are handled."""
        odd = {
            "value": ValueError("x"),
            "platform": PlatformError("x"),
            "expired": LogExpired("x", 0),
            "nested": RecursionError("x"),
            "memory": MemoryError("x"),
        }
        keys = [key for kind in odd for key in (kind, f"after-{kind}")]
        store = ScriptedStore(tuple(keys), "later")
        handled: list[str] = []

        def on_record(record: KeyedRecord) -> None:
            if record.key in odd:
                raise odd[record.key]
            handled.append(record.key)

        tail = Tail(store, "keyed.t", 0, 1.0, 0.0, on_record, lambda records: None)
        tail.start()
        self.assertTrue(store.finished.wait(10))
        tail.stop()
        self.assertEqual(handled, [*(key for key in keys if key not in odd), "later"])
        self.assertEqual((store.newest_reads, tail.seconds_since_failure), (1, math.inf))


class TestSnapshots(unittest.TestCase):
    """The readers of the newest records of all keys, where handling one record fails."""

    RECORDS = tuple(KeyedRecord(key, b"x", number) for number, key in enumerate("abc"))

    def check(self, owner, handler: str, handle_all) -> None:
        """Check that all records are handled although the second one fails."""
        handled: list[str] = []

        def handle(record: KeyedRecord) -> None:
            handled.append(record.key)
            if record.key == "b":
                raise ValueError("odd record")

        with mock.patch.object(owner, handler, handle):
            handle_all(list(self.RECORDS))
        self.assertEqual(handled, ["a", "b", "c"])

    def test_record_that_fails_hides_the_rest_of_a_snapshot(self) -> None:
        """Workers, jobs and the configuration after the record were never handed over."""
        context = types.SimpleNamespace(store=None, parts=1)
        handle = LeaderHandle(context, None, JobStatusTable())
        self.check(handle, "_apply_worker_record", handle._replace_workers)
        self.check(handle, "apply_job_record", handle._apply_job_records)
        watcher = ConfigurationWatcher(None, None, None)
        self.check(watcher, "_handle_record", watcher._handle_records)


class WaitingStore:
    """A store without new records that answers one read after a time, with an end of its own.

    ``now`` is the clock; only the wait of that read advances it.
    """

    def __init__(self, answer_after_s: float, end: int = 1) -> None:
        self.now = 100.0
        self.next_read_began = threading.Event()
        self.is_closed = threading.Event()
        self._answer_after_s = answer_after_s
        self._end = end
        self._reads = 0

    def read(self, topic: str, part: int, offset: int, wait_seconds: float) -> StorePage:
        self._reads += 1
        if self._reads > 1:
            self.next_read_began.set()
            self.is_closed.wait()
        self.now += self._answer_after_s
        return StorePage([], self._end)


class TestReadAt(unittest.TestCase):
    """The time up to which a tail knows all records, after a read without new records."""

    WAIT_SECONDS = 0.3

    def assert_known_until(self, store: WaitingStore, seconds: float) -> None:
        """Check that after one read the records are known up to a time after its begin."""
        began_at = store.now
        clock = mock.patch.object(tails, "steady_seconds", lambda: store.now)
        clock.start()
        self.addCleanup(clock.stop)
        tail = Tail(
            store, "keyed.t", 0, self.WAIT_SECONDS, 0.0, lambda record: None, lambda records: None
        )
        tail.start(next_offset=1)
        self.addCleanup(store.is_closed.set)
        self.addCleanup(tail.stop)
        self.assertTrue(store.next_read_began.wait(10))
        self.assertAlmostEqual(tail.read_at - began_at, seconds)

    def test_end_of_the_wait_counts(self) -> None:
        """A read that waited without new records proves that there were none until then."""
        self.assert_known_until(WaitingStore(self.WAIT_SECONDS + 0.05), self.WAIT_SECONDS)

    def test_time_after_the_wait_does_not_count(self) -> None:
        """A record may be appended while the answer is on its way."""
        self.assert_known_until(WaitingStore(self.WAIT_SECONDS + 0.5), self.WAIT_SECONDS)

    def test_early_answer_proves_nothing_beyond_its_begin(self) -> None:
        """An empty answer before the end of the wait counts from the begin of the read."""
        self.assert_known_until(WaitingStore(0.05), 0.0)

    def test_empty_answer_with_a_later_end_counts_from_its_begin(self) -> None:
        """An empty answer proves nothing if the partition ends after the read offset."""
        self.assert_known_until(WaitingStore(self.WAIT_SECONDS + 0.05, end=2), 0.0)

    def test_cut_page_does_not_count(self) -> None:
        """A job that a page left out was reported as nonexistent while the rest was being read."""
        standin = StoreStandin()
        self.addCleanup(standin.close)
        client = StoreClient(standin.address, 2)
        client.append("keyed.t", 0, [KeyedRecord("k", b"x" * 200_000)] * 8, 5.0)
        read_ats: list[float] = []
        began_at = steady_seconds() - 10.0
        tail = Tail(
            client,
            "keyed.t",
            0,
            self.WAIT_SECONDS,
            0.0,
            lambda record: read_ats.append(tail.read_at),
            lambda records: None,
        )
        tail.start(next_offset=0, read_at=began_at)
        self.addCleanup(tail.stop)
        self.assertTrue(wait_until(lambda: tail.read_at > began_at))
        self.assertEqual(read_ats, [began_at] * 8)

    def test_read_counts_once_its_records_are_handled(self) -> None:
        """A read does not count while its records, which may be older, are handled."""
        store = ScriptedStore("a", "b")
        handled: list[tuple[float, float]] = []
        tail = Tail(
            store,
            "keyed.t",
            0,
            1.0,
            0.0,
            lambda record: handled.append((tail.read_at, steady_seconds())),
            lambda records: None,
        )
        tail.start(next_offset=1)
        self.assertTrue(store.finished.wait(10))
        tail.stop()
        (_, first_handled_at), (second_read_at, _) = handled
        self.assertLess(second_read_at, first_handled_at)

    def test_read_after_an_outage_counts_from_the_snapshot(self) -> None:
        """The first read after a long outage does not count, since a snapshot read replaces it."""
        store = ScriptedStore("a", CallUnanswered("lost", False), "b")
        handled_at: list[float] = []
        snapshot_read_at: list[float] = []
        tail = Tail(
            store,
            "keyed.t",
            0,
            1.0,
            0.0,
            lambda record: handled_at.append(steady_seconds()),
            lambda records: snapshot_read_at.append(tail.read_at),
        )
        with mock.patch.object(tails, "_SNAPSHOT_AFTER_SECONDS", 0.0):
            tail.start()
            self.assertTrue(store.finished.wait(10))
            tail.stop()
        self.assertEqual(len(snapshot_read_at), 2)
        self.assertLess(snapshot_read_at[1], handled_at[0])


if __name__ == "__main__":
    unittest.main()

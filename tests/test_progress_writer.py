"""Tests of appending the leader's progress batches to the store."""

import queue
import threading
import time
import unittest

from snowdock.entry.messages import Heartbeat
from snowdock.entry.peer_directory import PeerDirectory
from snowdock.entry.progress_partitions import ProgressPartitions
from snowdock.entry.progress_writer import ProgressWriter, fence_progress
from snowdock.errors import (
    AppendConflict,
    AppendRejected,
    CallUnanswered,
    ProducerFenced,
    StoreRefused,
)
from snowdock.jobs.events import BatchRejected, Persist, Persisted, ProgressRecord
from snowdock.node.metrics import Metrics
from snowdock.platform.store import KeyedRecord, Producer, StoreClient
from tests.standins.entry_cluster import wait_until
from tests.standins.platform import StoreStandin

JOB = "0123456789abcdef"
TOPIC = "keyed.progress"


def make_batch(number: int, job: str = JOB) -> Persist:
    return Persist(number, (ProgressRecord(job, b"batch %d" % number),))


BATCH = make_batch(1)
TIMED_OUT = CallUnanswered("no answer", False)


class ScriptedStore:
    """A store whose appends raise the next error, succeed on None, or wait for the next event."""

    def __init__(self, *steps) -> None:
        self.steps = list(steps)
        self.sequences: list[int] = []
        self._lock = threading.Lock()

    def append(self, topic, part, records, seconds, *, producer) -> int:
        with self._lock:
            self.sequences.append(producer.sequence)
            step = self.steps.pop(0) if self.steps else None
        if isinstance(step, threading.Event):
            step.wait(20.0)
            raise AppendConflict("too late", 9)
        if step is not None:
            raise step
        return 0


class TestProgressWriter(unittest.TestCase):
    def start(self, store: ScriptedStore) -> queue.SimpleQueue:
        """Start a writer with one batch; return the queue of its callbacks' arguments."""
        events: queue.SimpleQueue = queue.SimpleQueue()
        writer = ProgressWriter(store, 5, events.put, events.put, Metrics())
        writer.start()
        self.addCleanup(writer.stop)
        writer.write(BATCH)
        self.writer = writer
        return events

    def test_batch_is_retried_until_it_is_recorded(self) -> None:
        """Every attempt has the same sequence number."""
        store = ScriptedStore(TIMED_OUT, TIMED_OUT, TIMED_OUT)
        events = self.start(store)
        self.assertEqual(events.get(timeout=15), Persisted(1))
        self.assertEqual(store.sequences, [1, 1, 1, 1])

    def test_hanging_attempt_does_not_delay_the_next(self) -> None:
        """The next attempt runs in parallel with a hanging one, whose late result is ignored."""
        hanging = threading.Event()
        store = ScriptedStore(TIMED_OUT, hanging)
        events = self.start(store)
        self.assertEqual(events.get(timeout=15), Persisted(1))
        hanging.set()
        with self.assertRaises(queue.Empty):
            events.get(timeout=0.3)

    def test_rejected_batch_is_given_back(self) -> None:
        """A batch that the store never takes was repeated for ever; the next one has its number."""
        store = ScriptedStore(AppendRejected("too long"))
        events = self.start(store)
        self.assertEqual(events.get(timeout=15), BatchRejected(1))
        self.writer.write(make_batch(2))
        self.assertEqual(events.get(timeout=15), Persisted(2))
        self.assertEqual(store.sequences, [1, 1])

    def test_batch_rejected_after_an_outage(self) -> None:
        """A batch that was certainly not stored before is given back as well."""
        refused = StoreRefused("down")
        store = ScriptedStore(refused, refused, AppendRejected("too long"))
        events = self.start(store)
        self.assertEqual(events.get(timeout=15), BatchRejected(1))
        self.writer.write(make_batch(2))
        self.assertEqual(events.get(timeout=15), Persisted(2))
        self.assertEqual(store.sequences, [1, 1, 1, 1])

    def test_rejected_batch_that_may_be_stored(self) -> None:
        """Its number may be taken: under it, the store would drop the records of the next batch."""
        store = ScriptedStore(TIMED_OUT, AppendRejected("too long"))
        events = self.start(store)
        self.assertIn("may be stored", events.get(timeout=15))

    def test_fenced_writer_reports_it_once_and_stops(self) -> None:
        """The fence may be found by the first attempt or by a later one."""
        for steps in ((ProducerFenced("later"),), (TIMED_OUT, ProducerFenced("later"))):
            store = ScriptedStore(*steps)
            events = self.start(store)
            self.assertIn("later", events.get(timeout=15))
            with self.assertRaises(queue.Empty):
                events.get(timeout=0.3)


class TestFence(unittest.TestCase):
    """Tests of fencing earlier leaders."""

    def setUp(self) -> None:
        self.standin = StoreStandin()
        self.addCleanup(self.standin.close)
        self.store = StoreClient(self.standin.address, 2)

    def test_repeated_fence(self) -> None:
        """Repeating a fence succeeds, and an older epoch stays fenced, in any partition."""
        for part in (0, 2):
            for _ in range(3):
                fence_progress(self.store, 29, 5.0, part)
            first = Producer("leader", 29, 1)
            self.store.append(TOPIC, part, [KeyedRecord("k", b"x")], 5.0, producer=first)
            with self.assertRaises(ProducerFenced):
                fence_progress(self.store, 28, 5.0, part)

    def test_later_leader(self) -> None:
        """A fence fails if a later leader has already set its own."""
        fence_progress(self.store, 30, 5.0, 0)
        with self.assertRaises(ProducerFenced):
            fence_progress(self.store, 29, 5.0, 0)


class TestPartitions(unittest.TestCase):
    """A writer with two partitions on the store's stand-in."""

    def setUp(self) -> None:
        self.standin = StoreStandin()
        self.addCleanup(self.standin.close)
        self.store = StoreClient(self.standin.address, 8)
        for part in (0, 1):
            fence_progress(self.store, 5, 5.0, part)
        self.events: queue.SimpleQueue = queue.SimpleQueue()
        self.partitions = ProgressPartitions(2)
        self.may_switch = True
        writer = ProgressWriter(
            self.store,
            5,
            self.events.put,
            self.events.put,
            Metrics(),
            self.partitions,
            lambda: self.may_switch,
        )
        writer.start()
        self.addCleanup(writer.stop)
        self.writer = writer

    def write(self, number: int, job: str = JOB) -> float:
        """Write a batch, and return the seconds until it was persisted."""
        started_at = time.monotonic()
        self.writer.write(make_batch(number, job))
        self.assertEqual(self.events.get(timeout=10), Persisted(number))
        return time.monotonic() - started_at

    def read(self, part: int) -> dict[str, bytes]:
        self.standin.part_faults = {}
        return {each.key: each.value for each in self.store.newest(TOPIC, part, 5.0).records}

    def test_failing_partition_is_left(self) -> None:
        """A batch waits for about a second, and the later ones do not wait."""
        for fault in ("reset", "refuse", "silent"):
            with self.subTest(fault):
                self.setUp()
                self.write(1)
                self.standin.part_faults[TOPIC, 0] = fault
                self.assertLess(self.write(2), 1.2)
                self.assertLess(self.write(3), 0.2)
                self.assertEqual(self.read(1), {JOB: b"batch 3"})

    def test_late_append_keeps_its_sequence_number(self) -> None:
        """On a return, the open append is repeated first; otherwise a newer batch would be lost."""
        self.write(1)
        self.standin.part_faults[TOPIC, 0] = "late"
        self.write(2)
        self.assertEqual(self.partitions.deletable_from(JOB), ())
        self.write(3)
        self.assertTrue(wait_until(lambda: len(self.standin.part(TOPIC).records) == 2))
        self.standin.part_faults = {(TOPIC, 1): "reset"}
        self.write(4)
        self.assertEqual(self.read(0), {JOB: b"batch 4"})
        self.assertEqual(self.read(1), {JOB: b"batch 3"})
        self.assertEqual(self.partitions.current, 0)

    def test_return_to_a_partition_that_lost_the_append(self) -> None:
        """An open append that was never carried out leaves no gap in the sequence."""
        self.standin.part_faults[TOPIC, 0] = "refuse"
        self.write(1)
        self.standin.part_faults = {(TOPIC, 1): "refuse"}
        self.write(2, "another")
        self.write(3, "another")
        self.assertEqual(self.read(0), {JOB: b"batch 1", "another": b"batch 3"})

    def test_both_partitions_lost_and_back(self) -> None:
        """The batch is recorded once the store is back, and the next ones do not wait."""
        self.standin.silent = True
        timer = threading.Timer(2.0, lambda: setattr(self.standin, "silent", False))
        timer.start()
        self.assertLess(self.write(1), 2.6)
        self.assertLess(self.write(2), 0.2)

    def test_rejected_batch_leaves_no_gap(self) -> None:
        """The batch that follows one that was too long is stored under the same number."""
        self.write(1)
        self.standin.record_bytes = 100
        self.writer.write(Persist(2, (ProgressRecord(JOB, b"x" * 100),)))
        self.assertEqual(self.events.get(timeout=10), BatchRejected(2))
        self.write(3)
        self.assertEqual(self.read(0), {JOB: b"batch 3"})

    def test_rejection_beside_an_open_append(self) -> None:
        """A batch that may be stored in another partition is not taken for one that is not."""
        self.write(1)
        self.standin.part_faults[TOPIC, 0] = "late"
        self.standin.record_bytes = 100
        self.writer.write(Persist(2, (ProgressRecord(JOB, b"x" * 100),)))
        self.assertIn("may be stored", self.events.get(timeout=10))

    def test_switch_that_is_not_allowed(self) -> None:
        """While a peer would not read the other partition, the writer stays in the first."""
        self.may_switch = False
        self.standin.part_faults[TOPIC, 0] = "reset"
        timer = threading.Timer(1.2, self.standin.part_faults.clear)
        timer.start()
        self.assertGreater(self.write(1), 1.1)
        self.assertEqual(self.read(1), {})


class TestPeersOfAnEarlierVersion(unittest.TestCase):
    def test_one_peer_that_reads_only_the_first_partition(self) -> None:
        """As the next leader, such a peer would place again what is on record elsewhere."""
        directory = PeerDirectory()
        self.assertTrue(directory.all_read_progress())
        directory.record_heartbeat(Heartbeat("new", "a:1", 0, 0.0, reads_all_progress=True))
        self.assertTrue(directory.all_read_progress())
        directory.record_heartbeat(Heartbeat("old", "a:2", 0, 0.0))
        self.assertFalse(directory.all_read_progress())


class TestDeletionOrder(unittest.TestCase):
    def test_newest_last(self) -> None:
        """A job's newest partition comes last, also after a return to an earlier one."""
        partitions = ProgressPartitions(3, {JOB: (1, 0)})
        self.assertEqual(partitions.deletable_from(JOB), (1, 0))
        partitions.switch(0.0)
        append = partitions.next_append(BATCH)
        self.assertEqual(partitions.deletable_from(JOB), ())
        partitions.settle(append)
        self.assertEqual(partitions.deletable_from(JOB), (0, 1))
        partitions.forget([JOB])
        self.assertEqual(partitions.deletable_from(JOB), (0,))


if __name__ == "__main__":
    unittest.main()

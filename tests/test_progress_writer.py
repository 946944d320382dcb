"""Tests of appending the leader's progress batches to the store."""

import queue
import threading
import unittest

from snowdock.entry.progress_writer import ProgressWriter, fence_progress
from snowdock.errors import AppendConflict, CallUnanswered, ProducerFenced
from snowdock.jobs.events import Persist, Persisted, ProgressRecord
from snowdock.node.metrics import Metrics
from snowdock.platform.store import KeyedRecord, Producer, StoreClient
from tests.standins.platform import StoreStandin

BATCH = Persist(1, (ProgressRecord("0123456789abcdef", b"x"),))
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
        """Repeating a fence succeeds, and an older epoch stays fenced."""
        for _ in range(3):
            fence_progress(self.store, 29, 5.0)
        first = Producer("leader", 29, 1)
        self.store.append("keyed.progress", 0, [KeyedRecord("k", b"x")], 5.0, producer=first)
        with self.assertRaises(ProducerFenced):
            fence_progress(self.store, 28, 5.0)

    def test_later_leader(self) -> None:
        """A fence fails if a later leader has already set its own."""
        fence_progress(self.store, 30, 5.0)
        with self.assertRaises(ProducerFenced):
            fence_progress(self.store, 29, 5.0)


if __name__ == "__main__":
    unittest.main()

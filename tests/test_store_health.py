"""Tests of judging the store from the outcomes of a node's calls, by a clock set by the test."""

import math
import threading
import unittest

from snowdock.clocks import steady_seconds
from snowdock.entry.messages import RecordOutcome
from snowdock.entry.recorder import Recorder
from snowdock.entry.store_health import Admission, StoreHealth
from snowdock.errors import CallUnanswered
from snowdock.node.metrics import Metrics
from snowdock.platform.store import KeyedRecord
from tests.standins.entry_cluster import wait_until

LONG_WAIT_SECONDS = 15.0
"""A wait of callers far beyond the time after which a store counts as silent."""


class TestSilence(unittest.TestCase):
    def setUp(self) -> None:
        self.now = 100.0
        self.answered_at = 100.0
        self.renewal_is_overdue = False
        self.health = StoreHealth(lambda: self.now, lambda: self.renewal_is_overdue)

    def is_silent_at(self, now: float) -> bool:
        self.now = now
        return self.health.is_silent(self.answered_at)

    def admit_at(self, now: float) -> Admission:
        self.now = now
        return self.health.admit(self.answered_at, 0.4)

    def test_hanging_append_without_any_answer(self) -> None:
        """The store is silent after 0.6 s, also once the append has timed out."""
        appends = [self.health.start_append() for _ in range(3)]
        self.assertFalse(self.is_silent_at(100.5))
        self.assertTrue(self.is_silent_at(100.7))
        for append in appends:
            self.health.record_failure()
            self.health.finish_append(append, timed_out=True)
        for now in (100.8, 103.0):
            self.assertTrue(self.is_silent_at(now))

    def test_answer_to_another_call(self) -> None:
        """Any answer ends the state: a single partition that hangs does not make it silent."""
        append = self.health.start_append()
        self.assertTrue(self.is_silent_at(100.7))
        self.answered_at = 100.7
        self.assertFalse(self.is_silent_at(100.8))
        self.health.finish_append(append, timed_out=True)
        self.answered_at = 100.9
        self.assertFalse(self.is_silent_at(110.0))

    def test_overdue_renewal(self) -> None:
        """An append that hangs for 0.3 s is enough if the leader has no answer, either."""
        self.health.start_append()
        self.renewal_is_overdue = True
        self.assertFalse(self.is_silent_at(100.2))
        self.assertTrue(self.is_silent_at(100.4))

    def test_no_append_or_no_answer_ever(self) -> None:
        """Without an append, or on a node that has never had an answer, nothing is concluded."""
        self.renewal_is_overdue = True
        self.assertFalse(self.is_silent_at(110.0))
        self.answered_at = 0.0
        self.health.start_append()
        self.assertFalse(self.is_silent_at(120.0))

    def test_slow_store(self) -> None:
        """Where appends take half a second, one that hangs for as long again does not count."""
        for _ in range(20):
            self.health.record_success(0.45)
        self.health.start_append()
        self.assertFalse(self.is_silent_at(100.85))
        self.assertTrue(self.is_silent_at(101.1))

    def test_refusals_and_resets(self) -> None:
        """A store that fails at once is not silent."""
        for responded in (True, False):
            append = self.health.start_append()
            self.now += 0.01
            self.health.record_failure(responded=responded)
            self.health.finish_append(append)
        self.assertFalse(self.is_silent_at(105.0))

    def test_probes(self) -> None:
        """One record at a time is sent, 0.4 s after the last probe was lost, until an answer."""
        self.health.start_append()
        self.assertIs(self.admit_at(100.5), Admission.SEND)
        self.assertIs(self.admit_at(101.0), Admission.PROBE)
        self.assertIs(self.admit_at(103.0), Admission.REFUSE)
        self.health.finish_silence_probe()
        self.assertIs(self.admit_at(103.3), Admission.REFUSE)
        self.assertIs(self.admit_at(103.5), Admission.PROBE)
        self.answered_at = 103.6
        self.assertIs(self.admit_at(103.6), Admission.SEND)


class SilentStore:
    """A store whose appends hang while it is silent, and go on hanging after its return."""

    def __init__(self) -> None:
        self.is_silent = True
        self.answered_at = steady_seconds()
        self.sent: list[str] = []
        self.released = threading.Event()

    def append(self, topic: str, part: int, records: list[KeyedRecord], seconds: float) -> int:
        self.sent += [record.key for record in records]
        if self.is_silent:
            self.released.wait(20.0)
            raise CallUnanswered("no answer", False)
        self.answered_at = steady_seconds()
        return 0


class TestRecorderOnASilentStore(unittest.TestCase):
    def setUp(self) -> None:
        self.store = SilentStore()
        self.recorder = Recorder(self.store, 1, Metrics())
        self.outcomes: dict[str, RecordOutcome] = {}
        self.threads: list[threading.Thread] = []
        self.start("first")
        self.assertTrue(wait_until(lambda: self.store.sent == ["first"]))

    def tearDown(self) -> None:
        self.store.released.set()
        for thread in self.threads:
            thread.join(5.0)

    def record(self, name: str, wait_s: float = 2.0) -> RecordOutcome:
        self.outcomes[name] = self.recorder.record("0" * 16, KeyedRecord(name, b"x"), wait_s)
        return self.outcomes[name]

    def start(self, name: str, wait_s: float = 2.0) -> None:
        self.threads.append(threading.Thread(target=self.record, args=(name, wait_s)))
        self.threads[-1].start()

    def test_waiting_records_are_withdrawn(self) -> None:
        """What waits for a hanging append is refused long before its wait ends, and never sent."""
        self.store.answered_at = math.inf
        for number in range(5):
            self.start(f"waiting {number}", LONG_WAIT_SECONDS)
        # One that comes once the store is silent would be its probe.
        partition = self.recorder._partitions[0]
        self.assertTrue(wait_until(lambda: len(partition.pending) == 5))
        self.store.answered_at = steady_seconds()
        self.assertTrue(wait_until(lambda: len(self.outcomes) == 5, LONG_WAIT_SECONDS / 2))
        self.assertEqual(set(self.outcomes.values()), {RecordOutcome.NOT_DONE})
        self.assertEqual(self.store.sent, ["first"])
        self.store.released.set()
        self.assertTrue(wait_until(lambda: self.outcomes.get("first") is RecordOutcome.UNKNOWN))

    def test_hanging_appends_delay_nothing_after_the_return(self) -> None:
        """Once the store has answered any call, a record does not wait for what still hangs."""
        self.assertTrue(
            wait_until(lambda: self.recorder._health.is_silent(self.store.answered_at), 1.0)
        )
        self.start("probe")
        self.assertTrue(wait_until(lambda: self.store.sent == ["first", "probe"], 0.5))
        self.assertIs(self.record("refused"), RecordOutcome.NOT_DONE)
        self.store.is_silent = False
        self.store.answered_at = started_at = steady_seconds()
        self.assertIs(self.record("late"), RecordOutcome.DONE)
        self.assertLess(steady_seconds() - started_at, 0.3)


if __name__ == "__main__":
    unittest.main()

"""Test of submitting jobs on several nodes while the store is about 60 times slower than usual."""

import concurrent.futures
import math
import threading
import time
import unittest

from snowdock.clocks import steady_seconds
from snowdock.entry.caller_api import CallerApi, CallerApiDependencies
from snowdock.entry.messages import RecordOutcome
from snowdock.entry.recorder import Recorder
from snowdock.errors import CallUnanswered, StoreRefused
from snowdock.jobs.model import Configuration, Queue
from snowdock.node.metrics import Metrics
from snowdock.platform.store import KeyedRecord
from tests.test_keys import CallerApiHarness

RESPONSE_DELAY_S = 0.45
APPEND_S = 0.15
MAX_QUEUE_WAIT_S = 2.0
PARTITIONS = 3
NODES = 6
JOBS = 90
SUBMIT_PERIOD_S = 2.0


class SlowStore:
    """A store that applies appends to a partition one at a time, including those timed out."""

    def __init__(self) -> None:
        self.appends = 0
        self.recorded_keys: set[str] = set()
        self.answered_at = 0.0
        self._free_at = [0.0] * PARTITIONS
        self._lock = threading.Lock()

    def append(self, topic: str, part: int, records: list[KeyedRecord], seconds: float) -> int:
        now = steady_seconds()
        with self._lock:
            self.appends += 1
            starts_at = max(now, self._free_at[part])
            if starts_at - now > MAX_QUEUE_WAIT_S:
                raise StoreRefused("queue is full")
            self._free_at[part] = starts_at + APPEND_S
            self.recorded_keys |= {record.key for record in records}
        answer_s = starts_at - now + APPEND_S + RESPONSE_DELAY_S
        time.sleep(min(answer_s, seconds))
        if answer_s > seconds:
            raise CallUnanswered("no answer in time", False)
        self.answered_at = steady_seconds()
        return 0


class TestSlowStore(unittest.TestCase):
    def test_all_callers_are_served(self) -> None:
        """Every submission succeeds, with fewer appends than jobs."""
        store = SlowStore()
        leader = Recorder(store, PARTITIONS, Metrics())
        nodes = [self.make_node(store, leader) for _ in range(NODES)]

        def submit(number: int) -> int:
            time.sleep(number / JOBS * SUBMIT_PERIOD_S)
            return CallerApiHarness.call(
                nodes[number % NODES], "POST", f"/q/{number * 7:08x}00000000"
            )[0]

        with concurrent.futures.ThreadPoolExecutor(JOBS) as pool:
            statuses = list(pool.map(submit, range(JOBS)))
        self.assertEqual({status: statuses.count(status) for status in set(statuses)}, {200: JOBS})
        self.assertEqual(len(store.recorded_keys), JOBS)
        self.assertLess(store.appends, JOBS)

    @staticmethod
    def make_node(store: SlowStore, leader: Recorder) -> CallerApiHarness:
        """Return the API of a node whose leader relays its records."""

        def relay(job: str, record: KeyedRecord, seconds: float) -> RecordOutcome:
            return leader.record(job, record, seconds)

        queue = Queue("q", "", "/q/", "pool", is_public=True)
        harness = CallerApiHarness()
        harness.caller_api = CallerApi(
            CallerApiDependencies(
                Recorder(store, PARTITIONS, Metrics()),
                lambda: Configuration(1, (queue,)),
                lambda: 0.0,
                math.inf,
                harness.find_status,
                lambda queue, seconds: 0,
                lambda: leader.is_slow,
                relay,
                lambda record: None,
                Metrics(),
            )
        )
        return harness

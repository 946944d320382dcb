"""Tests of reading the records of an earlier leader at a takeover."""

import threading
import time
import types
import unittest
from unittest import mock

from snowdock.clocks import steady_seconds
from snowdock.entry.leader import LeaderContext
from snowdock.entry.leader_queries import LeaderQueries
from snowdock.entry.takeover import fence_and_read, start_leader
from snowdock.entry.topics import JOBS_TOPIC, PROGRESS_TOPIC, job_partition
from snowdock.errors import CallUnanswered, ProducerFenced
from snowdock.jobs.events import SendStart
from snowdock.jobs.model import Configuration, JobStatus
from snowdock.jobs.progress import JobProgress, TaskProgress, encode
from snowdock.node.metrics import Metrics
from snowdock.platform.store import KeyedRecord, Producer, StoreClient
from tests.jobs_tools import SETTINGS, SMALL, Bench, make_accepted_job
from tests.standins.platform import StoreStandin

PARTS = 3
JOB = "0000000100000000"
PROGRESS_PART = 2
"""The partition to which the earlier leader writes; the last one is fenced like the first."""

EARLIER_EPOCH, EPOCH = 4, 5
TIMEOUT_SECONDS = 2.0
FENCE_DELAY_SECONDS = 0.5
"""How long the fence is delayed for reads of jobs that don't wait for it."""


PROGRESS_SECONDS = 2.0
"""Longer than an unknown job may be reported as nonexistent after a read of the jobs."""


class DelayedFenceStore(StoreClient):
    """A store client whose fence is delayed until all jobs were read, but not for long.

    Just before the fence, a job is accepted, and the earlier leader records that it was placed.
    """

    def __init__(self, address: str, earlier_leader: StoreClient) -> None:
        super().__init__(address, PARTS)
        self._earlier_leader = earlier_leader
        self._unread_parts = PARTS
        self._jobs_were_read = threading.Event()
        self._lock = threading.Lock()

    def newest(self, topic, part, timeout_s):
        page = super().newest(topic, part, timeout_s)
        if topic == JOBS_TOPIC:
            with self._lock:
                self._unread_parts -= 1
                if not self._unread_parts:
                    self._jobs_were_read.set()
        return page

    def append(self, topic, part, records, timeout_s, *, producer=None, expected_end=None):
        if producer is not None and part == PROGRESS_PART:
            self._jobs_were_read.wait(FENCE_DELAY_SECONDS)
            submit_and_place(self._earlier_leader)
        return super().append(
            topic, part, records, timeout_s, producer=producer, expected_end=expected_end
        )


def submit_and_place(store: StoreClient) -> None:
    """Accept a job, and record its second run, as an earlier leader does."""
    record = KeyedRecord(JOB, encode(make_accepted_job(SMALL)))
    store.append(JOBS_TOPIC, job_partition(JOB, PARTS), [record], TIMEOUT_SECONDS)
    record_run(store, 2)


def record_run(store: StoreClient, run: int) -> None:
    """Record a run of the job as the earlier leader's batch of that number."""
    progress = JobProgress(JobStatus.RUNNING, [TaskProgress(0, 0, 0, run, "w", failed_runs=[1])])
    store.append(
        PROGRESS_TOPIC,
        PROGRESS_PART,
        [KeyedRecord(JOB, encode(progress))],
        TIMEOUT_SECONDS,
        producer=Producer("leader", EARLIER_EPOCH, run),
    )


class TestJobAcceptedBeforeTheFence(unittest.TestCase):
    """A job that is accepted and placed by the earlier leader during a takeover."""

    def setUp(self) -> None:
        self.store = StoreStandin()
        self.earlier_leader = StoreClient(self.store.address, PARTS)
        client = DelayedFenceStore(self.store.address, self.earlier_leader)
        self.recorded, self.offsets = fence_and_read(client, PARTS, EPOCH)

    def tearDown(self) -> None:
        self.store.close()

    def test_submission_is_read_with_its_progress(self) -> None:
        """Every job with recorded progress is read with its submission."""
        self.assertEqual(self.recorded.progress[JOB].tasks[0].run, 2)
        self.assertIn(JOB, self.recorded.accepted)
        self.assertEqual(sum(self.offsets), 1)

    def test_run_is_not_started_again(self) -> None:
        """The new leader takes the run over, with its number and failures."""
        bench = Bench(EPOCH)
        bench.restore(self.recorded)
        bench.add_worker("other")
        self.assertEqual([e for e in bench.tick(1.0) if isinstance(e, SendStart)], [])
        (task,) = bench.cell.jobs[JOB].all_tasks()
        self.assertEqual((task.run, task.life, task.failed_runs), (2, "w", {1}))

    def test_earlier_leader_is_fenced(self) -> None:
        """The earlier leader cannot record progress after the takeover."""
        with self.assertRaises(ProducerFenced):
            record_run(self.earlier_leader, 3)


class TestRecordsInSeveralPartitions(unittest.TestCase):
    """Records of one job in several partitions of the progress."""

    def setUp(self) -> None:
        standin = StoreStandin()
        self.addCleanup(standin.close)
        self.store = StoreClient(standin.address, PARTS)

    def put(self, part: int, run: int, *version: int) -> None:
        progress = JobProgress(JobStatus.RUNNING, [TaskProgress(0, 0, 0, run, "w")], "", *version)
        self.store.append(PROGRESS_TOPIC, part, [KeyedRecord(JOB, encode(progress))], 5.0)

    def test_highest_epoch_and_batch_count(self) -> None:
        """A late record of a lower batch or epoch does not count, wherever it is."""
        cases = (
            {0: (4, 7), 1: (4, 8), 2: ()},
            {0: (5, 1), 1: (4, 900)},
            {2: (4, 1), 0: ()},
            {1: (4, 2), 0: (4, 1)},
        )
        for versions in cases:
            with self.subTest(versions):
                for part in range(PARTS):
                    self.store.append(PROGRESS_TOPIC, part, [KeyedRecord(JOB, None)], 5.0)
                for part, version in versions.items():
                    self.put(part, part + 1, *version)
                recorded, _ = fence_and_read(self.store, PARTS, EPOCH)
                oldest_first = sorted(versions, key=versions.get)
                self.assertEqual(recorded.progress[JOB].tasks[0].run, oldest_first[-1] + 1)
                self.assertEqual(recorded.progress_partitions[JOB], tuple(oldest_first))

    def test_malformed_record_in_one_partition(self) -> None:
        """The malformed record may be the newest, so the job is neither started nor unknown."""
        self.put(0, 1, 4, 1)
        self.store.append(PROGRESS_TOPIC, 1, [KeyedRecord(JOB, b"\xc1")], 5.0)
        recorded, _ = fence_and_read(self.store, PARTS, EPOCH)
        self.assertEqual((recorded.unreadable, recorded.progress), ({JOB}, {}))


class SlowProgressStore(StoreClient):
    """A store client that is slow to read the progress, and whose reads of new jobs hang."""

    def __init__(self, address: str) -> None:
        super().__init__(address, PARTS)
        self.is_closed = threading.Event()

    def newest(self, topic, part, timeout_s):
        page = super().newest(topic, part, timeout_s)
        if topic == PROGRESS_TOPIC:
            time.sleep(PROGRESS_SECONDS)
        return page

    def read(self, topic, part, offset, wait_seconds):
        self.is_closed.wait()
        raise CallUnanswered("closed", False)


class TestLookupAfterASlowTakeover(unittest.TestCase):
    def test_unknown_job_is_uncertain_until_new_jobs_are_read(self) -> None:
        """A job accepted while the progress was read is not reported as nonexistent."""
        standin = StoreStandin()
        self.addCleanup(standin.close)
        store = SlowProgressStore(standin.address)
        self.addCleanup(store.is_closed.set)
        handle = start_leader(make_context(store), lambda: True)
        self.addCleanup(handle.stop)
        election = types.SimpleNamespace(renewed_s=0.1)
        leadership = types.SimpleNamespace(handle=handle)
        queries = LeaderQueries("node", election, leadership, None)
        self.assertEqual(queries.local_status(JOB), (None, False))


def make_context(store: StoreClient) -> LeaderContext:
    """Return the context of a leader without workers and without advice."""
    return LeaderContext(
        store=store,
        parts=PARTS,
        claimed_at=steady_seconds(),
        epoch=EPOCH,
        settings=SETTINGS,
        make_advice_dispatcher=lambda post: mock.Mock(),
        count_advice_nodes=lambda: 1,
        configuration=lambda: Configuration(1),
        may_send_orders=lambda: False,
        step_down=lambda reason: None,
        record_event_age=lambda seconds: None,
        metrics=Metrics(),
        publish_load=lambda summary: None,
    )


if __name__ == "__main__":
    unittest.main()

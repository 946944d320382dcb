"""Tests of admission control on a node, with the leader and the store replaced by functions."""

import unittest

import msgspec

from snowdock.admission.caller_history import CallerEntry, CallerNews, decode_news, encode_news
from snowdock.clocks import steady_seconds
from snowdock.declarations import Size
from snowdock.entry.admission_gate import AdmissionGate, Submission
from snowdock.entry.load_view import LoadReading, LoadView
from snowdock.entry.messages import Heartbeat
from snowdock.errors import (
    GangTooLarge,
    JobUnplaceable,
    LoadUnknown,
    LogUnavailable,
    NoRoomForJob,
    ServiceOverloaded,
    TeamBeyondShare,
    VerdictUnknown,
)
from snowdock.jobs.job_room import JobRoom
from snowdock.jobs.load_summary import LoadSummary, QueueLoad, ServiceLoad, TeamLoad, encode_summary
from snowdock.jobs.model import JobSpec, Queue, StepSpec
from snowdock.jobs.progress import AcceptedJob
from snowdock.node.metrics import Metrics

QUEUE = Queue("q", "", "/", "pool", stretch=2.0, target_latency_ms=500)
ACCEPTED_MS = 1_700_000_000_000
WORKER = Size(16_000, 65_536)


def make_summary(waiting_core_s: float = 0.0, hot_core_s: float = 0.0) -> LoadSummary:
    service = ServiceLoad("pool", Size(100_000, 10**6), Size(0, 0), WORKER, 100.0, 100.0)
    queue = QueueLoad("q", "pool", 0, waiting_core_s, waiting_core_s, started_rate=100.0)
    teams = (TeamLoad("hot", 0.5, 0.0, 0.0, hot_core_s), TeamLoad("other", 0.5, 0.0, 0.0, 50.0))
    return LoadSummary(1, 1, 1.0, True, (service,), (queue,), teams)


def submission(
    job: str = "a", team: str = "other", cpu: int = 1000, age_s: float = 0.0
) -> Submission:
    accepted = AcceptedJob(
        JobSpec("q", "", (StepSpec(1, Size(cpu, 100), 1000),)), ACCEPTED_MS, "pool", 0, 1, team
    )
    return Submission(job * 16, accepted, QUEUE, steady_seconds() - age_s, 3.0)


class Fixture:
    """A gate whose dependencies are attributes."""

    def __init__(self, is_enabled: bool = True) -> None:
        self.summary: LoadSummary | None = make_summary()
        self.summary_age_s = 0.0
        self.recorded: bool | None = False
        self.lookups = 0
        self.node_count = 1
        self.records: list[AcceptedJob] = []
        self.failure: Exception | None = None
        self.metrics = Metrics()
        self.room: JobRoom | None = None
        self.gate = AdmissionGate(
            lambda: is_enabled,
            lambda: self.find_load(),
            self.find_recorded,
            lambda: self.node_count,
            self.metrics,
            lambda: self.room,
            lambda: 100,
        )

    def find_load(self) -> LoadReading | None:
        return self.summary and LoadReading(self.summary, self.summary_age_s)

    def find_recorded(self, job: str, team: str, seconds: float) -> bool | None:
        self.lookups += 1
        return self.recorded

    def record(self, accepted: AcceptedJob) -> None:
        if self.failure is not None:
            raise self.failure
        self.records.append(accepted)

    def submit(self, *arguments, **named) -> bool:
        return self.gate.submit(submission(*arguments, **named), self.record)


class TestRoom(unittest.TestCase):
    """Jobs that the leader could not carry were accepted, whatever they expanded to."""

    def submit(self, fixture: Fixture, spec: JobSpec) -> bool:
        accepted = AcceptedJob(spec, ACCEPTED_MS, "pool", 0, 1, "other")
        return fixture.gate.submit(
            Submission("a" * 16, accepted, QUEUE, steady_seconds(), 3.0), fixture.record
        )

    def test_large_gang_is_refused(self) -> None:
        """A gang that could only start as a whole is refused for good, and not recorded."""
        for is_enabled in (True, False):
            fixture = Fixture(is_enabled)
            step = StepSpec(101, Size(1, 1), gang=True)
            with self.assertRaises(GangTooLarge) as refused:
                self.submit(fixture, JobSpec("q", "", (StepSpec(101, Size(1, 1)), step)))
            self.assertEqual(refused.exception.status, 400)
            self.assertIn("step 1 is a gang with a count of 101", str(refused.exception))
            self.assertEqual(fixture.records, [])
            smaller = msgspec.structs.replace(step, count=100)
            self.assertTrue(self.submit(fixture, JobSpec("q", "", (smaller,))))

    def test_large_job_is_refused_while_room_is_short(self) -> None:
        """The refusal names the quantity and the time; a small job is accepted meanwhile."""
        for is_enabled in (True, False):
            fixture = Fixture(is_enabled)
            fixture.room = JobRoom(0.8, 0.01)
            step = StepSpec(1, Size(1, 1))
            timed = JobSpec("q", "", (step,), repetitions=5000)
            with self.assertRaises(NoRoomForJob) as refused:
                self.submit(fixture, timed)
            self.assertEqual(refused.exception.status, 503)
            self.assertAlmostEqual(refused.exception.retry_after_seconds, 5.0)
            self.assertIn("80%", str(refused.exception))
            self.assertIn("5000 tasks", str(refused.exception))
            self.assertTrue(self.submit(fixture, JobSpec("q", "", (step,))))
            fixture.room = None
            self.assertTrue(self.submit(fixture, timed))
            self.assertEqual(len(fixture.records), 2)
            text = fixture.metrics.render()[0].decode()
            self.assertIn('snowdock_refusals_total{reason="no_room",team="other"} 1', text)

    def test_repeated_submission_of_an_accepted_job(self) -> None:
        """A job that is on record is not refused, and neither is one of which that is unknown."""
        fixture = Fixture()
        fixture.room = JobRoom(1.0)
        step = StepSpec(1, Size(1, 1))
        fixture.recorded = True
        self.assertFalse(self.submit(fixture, JobSpec("q", "", (step,))))
        self.assertEqual(fixture.records, [])
        fixture.recorded = None
        self.assertTrue(self.submit(fixture, JobSpec("q", "", (step,))))
        gang = msgspec.structs.replace(step, count=101, gang=True)
        with self.assertRaises(VerdictUnknown):
            self.submit(fixture, JobSpec("q", "", (gang,)))


class TestAdmissionGate(unittest.TestCase):
    def test_errors_carry_status_and_retry_time(self) -> None:
        """Guards against a refusal without its status, or with a job that is recorded."""
        fixture = Fixture()
        with self.assertRaises(JobUnplaceable) as unplaceable:
            fixture.submit(cpu=17_000)
        self.assertEqual(unplaceable.exception.retry_after_seconds, 60.0)
        fixture.summary = make_summary(700.0, 650.0)
        with self.assertRaises(ServiceOverloaded) as overloaded:
            fixture.submit("b")
        fixture.summary = make_summary(300.0, 650.0)
        with self.assertRaises(TeamBeyondShare) as beyond:
            fixture.submit("c", "hot")
        statuses = [each.exception.status for each in (unplaceable, overloaded, beyond)]
        self.assertEqual(statuses, [503, 503, 429])
        self.assertTrue(fixture.submit("d"))
        self.assertEqual(len(fixture.records), 1)
        text = fixture.metrics.render()[0].decode()
        self.assertIn('snowdock_refusals_total{reason="beyond_share",team="hot"} 1', text)

    def test_team_held_back_is_not_refused_without_overload(self) -> None:
        """Guards against refusing a team whose own work waits while the queue is not overloaded."""
        fixture = Fixture()
        held_back = TeamLoad("hot", 0.5, 10.0, 10.0, 650.0, is_held_back=True)
        queue = QueueLoad("q", "pool", waiting_core_s=650.0, recent_wait_s=0.1)
        fixture.summary = msgspec.structs.replace(
            make_summary(), queues=(queue,), teams=(held_back,)
        )
        self.assertTrue(fixture.submit(team="hot"))

    def test_empty_queue_is_not_closed_by_earlier_waits(self) -> None:
        """Guards against a queue that refuses everything, so that its recent waits never change."""
        fixture = Fixture()
        queue = QueueLoad("q", "pool", recent_wait_s=60.0)
        fixture.summary = msgspec.structs.replace(make_summary(), queues=(queue,))
        self.assertTrue(fixture.submit())

    def test_nothing_is_refused_without_the_contract(self) -> None:
        """Guards against admission control in a deployment that has not asked for it."""
        fixture = Fixture(is_enabled=False)
        fixture.summary = make_summary(700.0, 650.0)
        fixture.failure = VerdictUnknown("x")
        with self.assertRaises(VerdictUnknown):
            fixture.submit(cpu=17_000)
        fixture.failure = None
        self.assertTrue(fixture.submit(cpu=17_000))
        self.assertEqual(fixture.records[0].first_seen_ms, 0)
        self.assertEqual(fixture.gate.make_news(0.6, leads=True), b"")

    def test_accepted_identifier_is_not_refused(self) -> None:
        """Guards against a refusal of a job that the leader knows, or may know."""
        fixture = Fixture()
        fixture.recorded = True
        self.assertFalse(fixture.submit(cpu=17_000))
        self.assertEqual((fixture.lookups, fixture.records), (1, []))
        fixture.recorded = None
        self.assertTrue(fixture.submit(cpu=17_000))
        self.assertEqual((fixture.lookups, len(fixture.records)), (2, 1))

    def test_unknown_outcome_is_never_refused_afterwards(self) -> None:
        """Guards against a 503 after a 504, also if another node gave the 504."""
        fixture, other = Fixture(), Fixture()
        fixture.failure = VerdictUnknown("x")
        with self.assertRaises(VerdictUnknown):
            fixture.submit()
        news = fixture.gate.make_news(0.6, leads=False)
        other.gate.handle_heartbeat(Heartbeat("peer", "", 0, 0.0, callers=news))
        for node in (fixture, other):
            node.failure = None
            self.assertTrue(node.submit(cpu=17_000))
            self.assertEqual(node.lookups, 0)

    def test_store_outage_does_not_deny_an_unknown_outcome(self) -> None:
        """Guards against a 503 of a store that is down for a job that may be recorded."""
        fixture = Fixture()
        for failure in (VerdictUnknown("x"), LogUnavailable("x")):
            fixture.failure = failure
            with self.assertRaises(VerdictUnknown):
                fixture.submit()
        with self.assertRaises(LogUnavailable):
            fixture.submit("b")

    def test_summary_of_another_epoch_or_version_is_not_used(self) -> None:
        """Guards against decisions by the load that an earlier leader has seen."""
        fixture, view = Fixture(), LoadView()
        fixture.find_load = view.read
        current = msgspec.structs.replace(make_summary(700.0), epoch=5)
        view.receive(encode_summary(current))
        with self.assertRaises(ServiceOverloaded):
            fixture.submit()
        view.follow(6)
        view.receive(encode_summary(msgspec.structs.replace(current, made_at=2.0)))
        view.receive(encode_summary(msgspec.structs.replace(current, version=9, epoch=6)))
        self.assertTrue(fixture.submit())

    def test_attempt_that_is_still_recorded_is_not_denied(self) -> None:
        """Guards against a refusal while an earlier attempt's record is on its way."""
        fixture = Fixture()

        def come_back(accepted: AcceptedJob) -> None:
            self.assertTrue(fixture.submit(cpu=17_000))

        fixture.gate.submit(submission(), come_back)
        self.assertEqual((fixture.lookups, len(fixture.records)), (0, 1))
        with self.assertRaises(JobUnplaceable):
            fixture.submit(cpu=17_000)

    def test_time_of_the_first_attempt_is_recorded(self) -> None:
        """Guards against a caller that counts as new after an outage of the store."""
        fixture = Fixture()
        fixture.failure = LogUnavailable("x")
        with self.assertRaises(LogUnavailable):
            fixture.submit(age_s=0.4)
        fixture.failure = None
        news = encode_news(CallerNews([CallerEntry(b"k", 1)], 3))
        fixture.gate.handle_heartbeat(Heartbeat("leader", "", 1, 0.0, callers=news))
        self.assertTrue(fixture.submit())
        age_ms = ACCEPTED_MS - fixture.records[0].first_seen_ms
        self.assertAlmostEqual(age_ms, 400, delta=80)
        self.assertTrue(fixture.submit("b"))
        self.assertEqual(fixture.records[1].first_seen_ms, 0)

    def test_node_without_summary_admits_by_its_bucket(self) -> None:
        """Guards against a node that refuses all, or admits a burst, without load information."""
        for summary, age_s in ((None, 0.0), (make_summary(700.0), 3.5)):
            fixture = Fixture()
            fixture.summary, fixture.summary_age_s, fixture.node_count = summary, age_s, 10
            admitted = 0
            for number in range(100):
                try:
                    admitted += fixture.submit(f"{number:x}")
                except LoadUnknown as error:
                    self.assertEqual(error.retry_after_seconds // 1, error.retry_after_seconds)
            self.assertAlmostEqual(admitted, 60, delta=4)

    def test_bucket_follows_the_last_known_capacity(self) -> None:
        """Guards against a limit by jobs where the capacity and the number of nodes are known."""
        fixture = Fixture()
        news = encode_news(CallerNews([], 10))
        fixture.gate.handle_heartbeat(Heartbeat("leader", "", 1, 0.0, callers=news))
        fixture.submit()
        fixture.summary = None
        admitted = 0
        for _ in range(100):
            try:
                admitted += fixture.submit()
            except LoadUnknown:
                break
        # Twice 100 cores for 3 s, divided among 10 nodes; each job is one core-second.
        self.assertAlmostEqual(admitted, 60, delta=2)

    def test_news_are_bounded_and_malformed_ones_dropped(self) -> None:
        """Guards against heartbeats that grow with refusals, and against a peer's bad data."""
        fixture = Fixture()
        fixture.failure = LogUnavailable("x")
        for number in range(300):
            with self.assertRaises(LogUnavailable):
                fixture.submit(f"{number:03}")
        own = fixture.gate.make_news(0.6, leads=False)
        forwarded = fixture.gate.make_news(0.6, leads=True)
        self.assertEqual(len(decode_news(own).entries), 64)
        self.assertEqual(decode_news(forwarded).node_count, 1)
        self.assertLess(len(forwarded), 2100)
        for data in (b"x", b"\x92\x91\x01\x00", own[:-1]):
            fixture.gate.handle_heartbeat(Heartbeat("peer", "", 0, 0.0, callers=data))
        fixture.failure = None
        self.assertTrue(fixture.submit("new"))


if __name__ == "__main__":
    unittest.main()

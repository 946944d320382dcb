"""Tests that the state of one worker life is not applied to another."""

import itertools
import types
import unittest

import msgspec

from snowdock.declarations import Size
from snowdock.entry.job_status_table import JobStatusTable
from snowdock.entry.leader_handle import LeaderHandle
from snowdock.errors import PlatformError
from snowdock.jobs.events import (
    LogDecision,
    RenewAnswered,
    SendStop,
    StopAnswered,
    WorkerDelisted,
    WorkerListed,
)
from snowdock.jobs.job_state import Phase
from snowdock.jobs.lives import format_life, worker_id_of
from snowdock.jobs.model import JobStatus
from snowdock.jobs.orders import AdviceRequest, Refusal, WorkerReport
from snowdock.jobs.progress import decode_progress
from snowdock.jobs.takeover import RecordedJobs
from snowdock.platform.advice import AdviceClient
from snowdock.platform.http_channel import Reply
from snowdock.platform.store import KeyedRecord
from snowdock.platform.worker_calls import decode_renewal
from snowdock.platform.worker_entries import decode_worker_entry
from tests.jobs_tools import DONE, SMALL, Bench, filter_by_type, make_accepted_job
from tests.standins.platform import AdviceStandin

FIRST, SECOND, BEFORE_FIRST = (
    format_life("i-1", 100),
    format_life("i-1", 200),
    format_life("i-1", 50),
)

ENTRY = {
    "service": "pool",
    "address": "1.2.3.4:5",
    "zone": "z",
    "version": "v1",
    "slots": 8,
    "state": "ready",
    "cold_left_ms": 0,
    "capacity": {"cpu": 4000, "mem_mb": 9000, "gpu": 0},
    "labels": ["a", "r1-3"],
    "seq": 1,
}
INVALID_BORN = (-1, 1.5, "100", None, True, [100])


def entry(**fields: object) -> bytes:
    return msgspec.json.encode(ENTRY | fields)


def runs_reply(**fields: object) -> Reply:
    told = {"clock_ms": 1, "running": [], "ended": []}
    return Reply(200, msgspec.json.encode(told | fields))


class TestDecoding(unittest.TestCase):
    def test_identifiers(self) -> None:
        """A life's identifier contains the worker's id, and differs with the life's start."""
        self.assertNotEqual(FIRST, SECOND)
        self.assertEqual({worker_id_of(FIRST), worker_id_of(SECOND), worker_id_of("i-1")}, {"i-1"})
        self.assertEqual(worker_id_of("odd@name"), "odd@name")

    def test_life_of_an_entry(self) -> None:
        """An entry's life is derived from its start; without one, the id identifies the life."""
        self.assertEqual(decode_worker_entry("i-1", entry(born=100)).life, FIRST)
        self.assertEqual(decode_worker_entry("i-1", entry(born=100)).worker, "i-1")
        self.assertEqual(decode_worker_entry("i-1", entry()).life, "i-1")

    def test_invalid_start(self) -> None:
        """An entry or report whose start is not a non-negative integer is rejected."""
        for born in INVALID_BORN:
            with self.subTest(born=born):
                with self.assertRaises(PlatformError):
                    decode_worker_entry("i-1", entry(born=born))
                with self.assertRaises(PlatformError):
                    decode_renewal(runs_reply(born=born), FIRST)

    def test_report_of_another_life(self) -> None:
        """A report of another life is detected if both starts are known."""
        self.assertIs(decode_renewal(runs_reply(born=200), FIRST), Refusal.NEXT_LIFE)
        for reply, life in (
            (runs_reply(born=100), FIRST),
            (runs_reply(), FIRST),
            (runs_reply(born=9), "i-1"),
        ):
            self.assertIsInstance(decode_renewal(reply, life), WorkerReport)


class TestAdvice(unittest.TestCase):
    def test_service_knows_workers_by_id(self) -> None:
        """Requests contain worker ids, and the answer applies to the requested lives."""
        service = AdviceStandin()
        self.addCleanup(service.close)
        service.unfit = {"i-2"}
        client = AdviceClient(service.address)
        lives = (SECOND, format_life("i-2", 300))
        given = client.request_advice(AdviceRequest("a" * 16, 0, 0, lives), 5.0)
        self.assertEqual(given.tickets, {SECOND: "t-i-1"})


class TestWorkerList(unittest.TestCase):
    def setUp(self) -> None:
        self.events: list = []
        actor = types.SimpleNamespace(tell=self.events.append)
        context = types.SimpleNamespace(store=types.SimpleNamespace(), parts=1, metrics=None)
        self.handle = LeaderHandle(context, actor, JobStatusTable())

    def apply_entry(self, value: bytes | None, offset: int) -> None:
        self.handle._apply_worker_record(KeyedRecord("i-1", value, offset))

    def test_removed_entry_delists_the_listed_life(self) -> None:
        """A removed entry, whose key has only the worker's id, ends the life listed last."""
        self.apply_entry(entry(born=100), 0)
        self.apply_entry(entry(born=200), 1)
        self.apply_entry(None, 2)
        lives = [event.entry.life for event in filter_by_type(self.events, WorkerListed)]
        self.assertEqual(lives, [FIRST, SECOND])
        self.assertEqual(
            [each.life for each in filter_by_type(self.events, WorkerDelisted)], [SECOND]
        )

    def test_older_entry_read_again_is_ignored(self) -> None:
        """Older entries that are read again after a newer page are ignored."""
        self.handle._replace_workers([KeyedRecord("i-1", entry(born=200), 7)])
        self.apply_entry(entry(born=100), 5)
        self.apply_entry(None, 6)
        self.apply_entry(entry(born=200), 7)
        lives = [event.entry.life for event in filter_by_type(self.events, WorkerListed)]
        self.assertEqual((lives, len(self.events)), ([SECOND, SECOND], 2))


class TestNextLife(unittest.TestCase):
    def setUp(self) -> None:
        self.bench = Bench()
        self.bench.add_worker(FIRST)

    def start_next_life(self, life: str = SECOND, is_synced: bool = True) -> None:
        self.bench._ends = itertools.count(1)
        self.bench.add_worker(life, is_synced=is_synced)

    def start(self):
        self.job = self.bench.submit()
        self.bench.tick(0.2)
        (start,) = self.bench.new_starts()
        return start

    def test_ends_of_the_next_life_count(self) -> None:
        """Ends of the next life are numbered from 1 and count, after ends of the previous one."""
        for _ in range(3):
            order = self.start().order
            self.bench.report(FIRST, ended=[(order.task, order.run, DONE)])
        self.start_next_life()
        start = self.start()
        self.assertEqual(start.life, SECOND)
        self.assertEqual(self.bench.renewals[SECOND].last_recorded_end, 0)
        self.bench.report(SECOND, ended=[(start.order.task, start.order.run, DONE)])
        self.assertIs(self.bench.cell.jobs[self.job].status, JobStatus.COMPLETED)

    def test_run_restarts_in_the_next_life(self) -> None:
        """Runs of the previous life start again as soon as the next life is listed."""
        start = self.start()
        self.bench.confirm(start)
        self.start_next_life()
        self.bench.tick(0.2)
        (again,) = self.bench.new_starts()
        self.assertEqual((again.life, again.order.run), (SECOND, 2))
        self.assertNotIn(FIRST, self.bench.cell.workers)

    def test_late_answer_of_the_previous_life(self) -> None:
        """Answers of the previous life do not affect the next one."""
        order = self.start().order
        late = self.bench.await_renewal(FIRST)
        self.start_next_life()
        before = self.bench.cell.workers[SECOND].last_processed_end
        report = WorkerReport(self.bench.now * 1000, [], [])
        self.bench.feed(RenewAnswered(FIRST, late, report))
        self.bench.feed(StopAnswered(FIRST, order.task, order.run, True))
        self.assertEqual(self.bench.cell.workers[SECOND].last_processed_end, before)

    def test_wall_clock_set_back_between_lives(self) -> None:
        """A life with an earlier start counts once the one before no longer answers as itself."""
        order = self.bench.await_renewal(FIRST)
        self.start_next_life(BEFORE_FIRST, is_synced=False)
        self.assertEqual(list(self.bench.cell.workers), [FIRST])
        self.bench.feed(RenewAnswered(FIRST, order, Refusal.NEXT_LIFE))
        self.assertEqual(list(self.bench.cell.workers), [BEFORE_FIRST])
        self.assertIn(BEFORE_FIRST, self.bench.renewals)

    def test_ended_life_stays_ended(self) -> None:
        """An entry of an ended life does not bring it back; the next life's entry is accepted."""
        self.bench.feed(RenewAnswered(FIRST, self.bench.await_renewal(FIRST), Refusal.NEXT_LIFE))
        self.bench.add_worker(FIRST, is_synced=False)
        self.assertEqual(list(self.bench.cell.workers), [])
        self.start_next_life()
        self.assertEqual(list(self.bench.cell.workers), [SECOND])
        self.assertEqual(self.bench.cell.ended_lives, set())

    def test_state_of_removed_workers_is_dropped(self) -> None:
        """No state is kept of a removed worker that has ended."""
        self.start_next_life()
        self.bench.feed(WorkerDelisted(SECOND, False))
        self.bench.tick(16.0)
        cell = self.bench.cell
        self.assertEqual((cell.workers, cell.newest_lives, cell.ended_lives), ({}, {}, set()))


class TestUnansweredStart(unittest.TestCase):
    """An unanswered start on a worker that then restarts under its id."""

    def setUp(self) -> None:
        self.bench = Bench()
        self.bench.add_worker(FIRST)
        self.job = self.bench.submit()
        (self.first,) = self.bench.new_starts()
        refused = RenewAnswered(FIRST, self.bench.await_renewal(FIRST), Refusal.NEXT_LIFE)
        self.bench.feed(refused)
        self.bench.tick(0.5)
        self.assertEqual(self.bench.new_starts(), [])
        self.bench.add_worker(SECOND, is_synced=False)

    def test_run_continues_in_the_next_life(self) -> None:
        """If the next life executes the start, the run continues and no other one begins."""
        order = self.first.order
        self.bench.report(SECOND, running=[(order.task, order.run, 10)])
        self.bench.tick(0.5)
        self.assertEqual(self.bench.new_starts(), [])
        self.bench.report(SECOND, ended=[(order.task, order.run, DONE)])
        self.assertIs(self.bench.cell.jobs[self.job].status, JobStatus.COMPLETED)

    def test_next_life_does_not_have_it(self) -> None:
        """If the next life does not have the run, it is stopped there before the task restarts."""
        self.bench.report(SECOND)
        (stop,) = filter_by_type(self.bench.all_effects, SendStop)
        self.assertEqual((stop.life, stop.order.run), (SECOND, self.first.order.run))
        self.assertEqual(self.bench.new_starts(), [])
        self.bench.feed(StopAnswered(SECOND, stop.order.task, stop.order.run, True))
        self.bench.report(SECOND)
        self.bench.tick(0.6)
        self.bench.report(SECOND)
        self.bench.tick(1.0)
        (again,) = self.bench.new_starts()
        self.assertEqual(again.order.run, 2)

    def test_unanswered_start_is_charged_once(self) -> None:
        """The loss is charged when the first life ends, and not again with the next one."""
        charged = [
            e
            for e in filter_by_type(self.bench.decisions, LogDecision)
            if e.decision == "task_charged"
        ]
        self.assertEqual(len(charged), 1)

    def test_no_next_life_is_listed(self) -> None:
        """If no next life is listed, the task restarts elsewhere once the leases have expired."""
        bench = Bench()
        bench.tick(20.0)
        bench.add_worker(FIRST)
        bench.submit()
        bench.new_starts()
        bench.feed(RenewAnswered(FIRST, bench.await_renewal(FIRST), Refusal.NEXT_LIFE))
        bench.add_worker("other", address="b:1")
        bench.tick(9.0)
        self.assertEqual(bench.new_starts(), [])
        bench.tick(3.0)
        self.assertEqual([start.life for start in bench.new_starts()], ["other"])


class TestTakeover(unittest.TestCase):
    """A new leader that restores recorded runs."""

    def restore_bench(self, recorded_life: str) -> Bench:
        before = Bench()
        before.add_worker(recorded_life)
        job = before.submit()
        (start,) = before.new_starts()
        before.confirm(start)
        progress = {name: decode_progress(data) for name, data in before.recorded.items()}
        after = Bench(token=2)
        after.now = before.now + 0.5
        after.restore(RecordedJobs({job: make_accepted_job(SMALL)}, set(), progress))
        self.task = after.cell.jobs[job].repetitions[0][0].tasks[0]
        return after

    def test_run_of_a_previous_life(self) -> None:
        """A run of a previous life ends when the next life refuses it, and is charged once."""
        bench = self.restore_bench(FIRST)
        bench.add_worker(SECOND)
        (stop,) = filter_by_type(bench.all_effects, SendStop)
        bench.feed(StopAnswered(SECOND, stop.order.task, stop.order.run, True))
        bench.report(SECOND)
        bench.tick(0.6)
        bench.report(SECOND)
        bench.tick(2.0)
        (again,) = bench.new_starts()
        self.assertEqual((again.order.run, self.task.lost_runs), (2, {1}))

    def test_record_without_a_start(self) -> None:
        """A run recorded for a worker id without a start continues in the life that has it."""
        bench = self.restore_bench("i-1")
        bench.add_worker(FIRST, is_synced=False)
        bench.report(FIRST, running=[(self.task.id, 1, 30)])
        self.assertEqual((self.task.life, self.task.phase), (FIRST, Phase.RUNNING))
        self.assertEqual(self.task.lost_runs, set())
        self.assertEqual(filter_by_type(bench.all_effects, SendStop), [])
        self.assertEqual(bench.cell.workers[FIRST].used, Size(1000, 1000))


if __name__ == "__main__":
    unittest.main()

"""Tests of reservations for bulky steps, and of advice requests in time for them."""

import dataclasses
import unittest
from unittest import mock

import msgspec

from snowdock.declarations import Size
from snowdock.jobs import reservations
from snowdock.jobs.events import AdviceAnswered, AskAdvice, SendStart, SendStop
from snowdock.jobs.model import AdviceTerms
from snowdock.jobs.orders import AdviceResult
from tests.jobs_tools import DONE, SMALL, Bench, filter_by_type

BULKY = msgspec.structs.replace(SMALL, size=Size(4000, 100), estimate_ms=2000)
QUICK = msgspec.structs.replace(SMALL, estimate_ms=100)


class TestReservations(unittest.TestCase):
    """Tests on a worker of four cores, with two runs of one core and one second each."""

    def setUp(self) -> None:
        self.bench = Bench()
        self.bench.cell.policy = dataclasses.replace(
            self.bench.cell.policy,
            rank=lambda step, now: float(step.spec.size.cpu),
        )
        self.bench.add_worker("w", cpu=4000)
        self.bench.submit(msgspec.structs.replace(SMALL, count=2))
        self.running = self.bench.starts()
        for start in self.running:
            self.bench.confirm(start)
        self.bench.now += 0.1

    def submit(self, spec) -> list[SendStart]:
        """Submit a job of one step, and return its starts."""
        self.bench.now += 0.01
        job = self.bench.submit(spec)
        return [start for start in self.bench.starts() if start.order.task.job == job]

    def end_running(self) -> None:
        self.bench.now += 0.01
        ends = [(start.order.task, start.order.run, DONE) for start in self.running]
        self.bench.report("w", ended=ends)

    def test_smaller_work_does_not_take_reserved_room(self) -> None:
        """A task that would end after the start of a reservation waits for the bulky task."""
        self.assertEqual(self.submit(BULKY), [])
        self.assertEqual(self.submit(SMALL), [])
        self.end_running()
        (start,) = self.bench.starts()
        self.assertEqual(start.order.task.job, f"{2:016x}")

    def test_run_that_ends_in_time_may_use_reserved_room(self) -> None:
        """Reserved room is used by runs that end before the reservation starts."""
        self.assertEqual(self.submit(BULKY), [])
        self.assertEqual(len(self.submit(QUICK)), 1)

    def test_higher_rank_may_use_reserved_room(self) -> None:
        """A reservation does not block steps with a higher rank."""
        self.assertEqual(self.submit(BULKY), [])
        self.bench.cell.policy = dataclasses.replace(
            self.bench.cell.policy, rank=lambda step, now: 1e6
        )
        self.assertEqual(len(self.submit(SMALL)), 1)

    def test_reservation_ends_with_its_job(self) -> None:
        """A reservation is released once its step no longer waits."""
        self.submit(BULKY)
        self.assertTrue(self.bench.cell.workers["w"].room_holds)
        self.end_running()
        self.assertEqual(self.bench.cell.claims, {})
        self.assertEqual(self.bench.cell.workers["w"].room_holds, {})

    def test_overdue_run_blocks_others_briefly(self) -> None:
        """If a run does not end when expected, small tasks are placed after as long again."""
        self.submit(BULKY)
        self.submit(SMALL)
        job = f"{3:016x}"
        self.bench.tick(0.5)
        self.assertNotIn(
            job, [each.order.task.job for each in self.bench.starts(self.bench.all_effects)]
        )
        self.bench.tick(3.0)
        self.assertIn(
            job, [each.order.task.job for each in self.bench.starts(self.bench.all_effects)]
        )

    def test_reservation_blocks_a_step_without_runs_briefly(self) -> None:
        """A step that only reservations block has one task placed after a bounded time."""
        long = msgspec.structs.replace(SMALL, size=Size(1000, 100), estimate_ms=60_000)
        self.end_running()
        (running,) = self.submit(long)
        self.bench.confirm(running)
        self.submit(BULKY)
        self.submit(msgspec.structs.replace(long, count=3, estimate_ms=100_000))
        job = f"{4:016x}"
        self.bench.tick(0.5)
        self.assertNotIn(
            job, [each.order.task.job for each in self.bench.starts(self.bench.all_effects)]
        )
        self.bench.tick(2.0)
        started = [each.order.task.job for each in self.bench.starts(self.bench.all_effects)]
        self.assertEqual(started.count(job), 1)

    def test_bulky_task_preempts_runs(self) -> None:
        """Checkpointing runs are preempted for a single bulky task, too."""
        self.bench.cell.policy = dataclasses.replace(
            self.bench.cell.policy, may_preempt=lambda step, other, now: True
        )
        self.end_running()
        preemptible = msgspec.structs.replace(SMALL, count=4, checkpointing=True)
        for start in self.submit(preemptible):
            self.bench.confirm(start)
        self.submit(BULKY)
        self.assertEqual(len(filter_by_type(self.bench.effects, SendStop)), 4)


class TestAdviceInTime(unittest.TestCase):
    TERMS = AdviceTerms(decide_ms=500, each_ms=5, valid_ms=2000)

    def setUp(self) -> None:
        self.bench = Bench(advice=self.TERMS)
        self.bench.add_worker("w1", cpu=4000)
        self.bench.add_worker("w2", cpu=4000)

    def answer(self, asked: AskAdvice, *fit: str) -> None:
        self.bench.now += 0.01
        tickets = {life: "t" for life in fit}
        self.bench.feed(AdviceAnswered(AdviceResult(asked.request, tickets)))

    def asked(self) -> list[AskAdvice]:
        return filter_by_type(self.bench.effects, AskAdvice)

    def fill_worker(self, life: str) -> SendStart:
        """Fill a worker with a bulky run."""
        self.bench.now += 0.01
        self.bench.submit(BULKY)
        (asked,) = self.asked()
        self.answer(asked, life)
        (start,) = self.bench.starts()
        self.bench.confirm(start)
        return start

    def test_request_includes_workers_without_room(self) -> None:
        """A request includes workers without free room while that adds little to its cost."""
        self.fill_worker("w1")
        self.bench.now += 0.01
        self.bench.submit(BULKY)
        (asked,) = self.asked()
        self.assertEqual(set(asked.request.workers), {"w1", "w2"})

    def test_ticket_is_renewed_before_room_becomes_free(self) -> None:
        """The ticket for a reserved worker is renewed before its resources become free."""
        running = self.fill_worker("w1")
        self.bench.now += 0.01
        self.bench.submit(BULKY)
        self.answer(self.asked()[0], "w1")
        # The first ticket expires after 1.85 s, the run takes 2 s.
        renewed = filter_by_type(self.bench.tick(1.9), AskAdvice)
        self.assertEqual([each.request.workers for each in renewed], [("w1",)])
        self.answer(renewed[0], "w1")
        self.bench.now += 0.01
        self.bench.report("w1", ended=[(running.order.task, running.order.run, DONE)])
        self.assertEqual(len(self.bench.starts()), 1)


class TestRankWithTickets(unittest.TestCase):
    """A higher-ranked step is placed first even if another step gets its ticket earlier."""

    CHECK = msgspec.structs.replace(SMALL, size=Size(1000, 100), estimate_ms=1000)
    LONG = msgspec.structs.replace(BULKY, estimate_ms=60_000)

    def setUp(self) -> None:
        self.bench = Bench(advice=TestAdviceInTime.TERMS)
        self.fit: dict[str, tuple[str, ...]] = {}
        self.started: list[str] = []
        self.asked: list[tuple[float, AskAdvice]] = []

    def rank_by(self, rank) -> None:
        self.bench.cell.policy = dataclasses.replace(
            self.bench.cell.policy, rank=lambda step, now: float(rank(step))
        )

    def process_effects(self, effects) -> None:
        """Confirm starts, and schedule the answers to advice requests after 0.5 s."""
        self.asked += [(self.bench.now + 0.5, each) for each in filter_by_type(effects, AskAdvice)]
        for start in self.bench.starts(effects):
            self.started.append(start.order.task.job)
            self.process_effects(self.bench.confirm(start))

    def advance(self, seconds: float) -> None:
        for _ in range(round(seconds * 10)):
            self.process_effects(self.bench.tick(0.1))
            due = [each for at, each in self.asked if at <= self.bench.now]
            self.asked = [(at, each) for at, each in self.asked if at > self.bench.now]
            for asked in due:
                tickets = {life: "t" for life in self.fit[asked.request.job]}
                given = AdviceResult(asked.request, tickets)
                self.process_effects(self.bench.feed(AdviceAnswered(given)))

    def submit(self, spec, *fit: str) -> str:
        self.bench.now += 0.01
        job = self.bench.submit(spec)
        self.fit[job] = fit
        self.process_effects(self.bench.effects)
        return job

    def end_run(self, life: str, job: str) -> None:
        task = self.bench.cell.jobs[job].repetitions[0][0].tasks[0]
        self.bench.now += 0.01
        self.process_effects(self.bench.report(life, ended=[(task.id, task.run, DONE)]))

    def test_small_step_beside_large_ones_with_tickets(self) -> None:
        """A small step is placed before a later bulky one whose ticket was renewed in advance."""
        self.rank_by(lambda step: -step.spec.size.cpu)
        self.bench.add_worker("w1", cpu=4000)
        self.bench.add_worker("w2", cpu=4000)
        first = self.submit(BULKY, "w1")
        self.advance(0.8)
        self.assertEqual(self.started, [first])
        check = self.submit(self.CHECK, "w1")
        late = self.submit(BULKY, "w1")
        # The small step's ticket expires meanwhile; that of the large step is renewed in advance.
        self.advance(2.6)
        self.end_run("w1", first)
        self.advance(1.2)
        self.assertEqual(self.started[1], check)
        self.assertNotIn(late, self.started)

    def test_room_held_for_a_request_is_released(self) -> None:
        """If the service does not answer, a lower-ranked step is placed after a bounded time."""
        self.rank_by(lambda step: -step.spec.size.cpu)
        self.bench.add_worker("w1", cpu=4000)
        first = self.submit(BULKY, "w1")
        self.advance(0.8)
        self.submit(self.CHECK, "w1")
        late = self.submit(BULKY, "w1")
        self.advance(2.6)
        self.end_run("w1", first)
        self.asked.clear()
        self.process_effects(self.bench.tick(1.5))
        self.assertIn(late, self.started)

    def test_large_step_beside_reserved_room(self) -> None:
        """A reservation blocks a large step for a bounded time, even with short-lived tickets."""
        self.bench = Bench(advice=AdviceTerms(decide_ms=500, each_ms=5, valid_ms=1000))
        self.rank_by(lambda step: step.spec.count)
        for life in ("w1", "w2", "w3"):
            self.bench.add_worker(life, cpu=4000)
        running = self.submit(self.LONG, "w2")
        self.advance(0.8)
        self.assertEqual(self.started, [running])
        gang = msgspec.structs.replace(self.LONG, count=2, gang=True)
        self.submit(gang, "w1", "w2")
        self.advance(1.5)
        lower = self.submit(msgspec.structs.replace(self.LONG, estimate_ms=100_000), "w1")
        self.advance(4.0)
        self.assertIn(lower, self.started)


class TestUnholdableTasks(unittest.TestCase):
    def test_jobs_that_no_worker_can_hold(self) -> None:
        """Room was searched for tasks larger than any worker, which took up each placement pass."""
        bench = Bench()
        bench.add_worker("w1", cpu=4000)
        with mock.patch.object(reservations, "find_earliest_slots", return_value=[]) as find:
            for _ in range(3):
                bench.submit(msgspec.structs.replace(BULKY, size=Size(10**9, 1)))
            bench.tick(1.0)
        find.assert_not_called()
        small = bench.submit(BULKY)
        bench.tick(0.2)
        self.assertEqual([start.order.task.job for start in bench.new_starts()], [small])

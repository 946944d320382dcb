"""Tests of placement: bounds of a pass, fairness between steps, and expired tickets."""

import dataclasses
import math
import unittest

import msgspec

from snowdock.declarations import Size
from snowdock.jobs.events import (
    AdviceAnswered,
    AskAdvice,
    Effect,
    JobAccepted,
    JobCancelled,
    Persist,
    Persisted,
    SendStop,
    Ticked,
    WorkerListed,
)
from snowdock.jobs.model import AdviceTerms, Configuration, Queue, Service, StepSpec
from snowdock.jobs.orders import AdviceResult
from snowdock.jobs.reducer import reduce
from snowdock.jobs.workers import WorkerEntry
from tests.jobs_tools import SMALL, Bench, filter_by_type, make_accepted_job


class TestBacklog(unittest.TestCase):
    """Placement passes over a long backlog are bounded in time."""

    WORKERS = 80
    STEPS = 400

    def setUp(self) -> None:
        self.bench = Bench()
        self.scored = 0
        usual = self.bench.cell.policy

        def score(step, worker, step_runs) -> float:
            self.scored += 1
            return usual.score(step, worker, step_runs)

        self.ranked = 0

        def rank(step, now) -> float:
            self.ranked += 1
            return usual.rank(step, now)

        self.bench.cell.policy = dataclasses.replace(usual, score=score, rank=rank)
        for number in range(self.WORKERS):
            self.bench.add_worker(f"w{number}")

    def submit_backlog(self) -> None:
        gang = msgspec.structs.replace(SMALL, count=self.WORKERS * 4 + 1, gang=True)
        for _ in range(self.STEPS):
            self.bench.submit(gang)

    def test_one_pass_is_bounded(self) -> None:
        """A pass over many steps that cannot be placed examines a bounded number of workers."""
        self.submit_backlog()
        self.bench.now += 1.0
        self.scored = 0
        self.bench.feed(Ticked(2))
        self.assertGreater(self.scored, 0)
        self.assertLessEqual(self.scored, 1_600)

    def test_passes_take_a_bounded_share_of_the_time(self) -> None:
        """Examining workers takes at most 30 % of the time, however many events arrive."""
        self.submit_backlog()
        self.scored = 0
        for _ in range(1000):
            self.bench.now += 0.001
            self.bench.cell.needs_placement = True
            self.bench.feed(JobCancelled("no-such-job"))
        self.assertLessEqual(self.scored, 1.0 * 0.3 / 10e-6 + 1_600)

    def test_every_step_is_eventually_searched(self) -> None:
        """A small job is placed although many higher-ranked steps cannot be placed."""
        self.submit_backlog()
        small = self.bench.submit()
        self.bench.tick(self.STEPS * self.WORKERS / 750 * 0.1 + 0.5)
        self.assertIn(
            small, [start.order.task.job for start in self.bench.starts(self.bench.all_effects)]
        )

    def test_ranks_are_refreshed_a_few_at_a_time(self) -> None:
        """All ranks are refreshed in turn, a limited number in each tick."""
        self.submit_backlog()
        self.bench.tick(1.0)
        self.ranked = 0
        self.bench.tick(0.1)
        self.assertLessEqual(self.ranked, 40)
        self.bench.tick(self.STEPS / 20 * 0.1 + 0.5)
        oldest = min(step.ranked_at for step in self.bench.cell.waiting_steps.values())
        self.assertGreater(oldest, self.bench.now - 3.0)

    def test_placement_is_delayed_while_events_wait(self) -> None:
        """While further events are queued, the placement is delayed and covers all of them."""
        bench = self.bench
        bench.now += 1.0
        bench.feed(Ticked(2))
        bench.submit()
        bench.now += 0.01
        event = JobAccepted("00000000000000ff", make_accepted_job())
        effects = reduce(bench.cell, event, bench.now, bench.now * 1000, is_last=False)
        self.assertEqual(filter_by_type(effects, Persist), [])
        bench.now += 0.02
        late = JobAccepted("00000000000000fe", make_accepted_job())
        effects = reduce(bench.cell, late, bench.now, bench.now * 1000, is_last=False)
        (batch,) = filter_by_type(effects, Persist)
        self.assertEqual(len(bench.starts(bench.feed(Persisted(batch.number)))), 2)


class TestBacklogAfterOutage(unittest.TestCase):
    """300 gangs that need advice wait at once, as after an outage of the store."""

    def seconds_until_all_are_asked(self, pass_time_share: float) -> float:
        bench = Bench(advice=AdviceTerms(decide_ms=10, each_ms=0.1, valid_ms=2000))
        bench.cell.settings = dataclasses.replace(
            bench.cell.settings, pass_time_share=pass_time_share
        )
        for number in range(176):
            bench.add_worker(f"w{number}", cpu=16_000)
        bench.feed(Ticked(97))
        gang = msgspec.structs.replace(SMALL, count=20, size=Size(4500, 100), gang=True)
        started_at = bench.now
        effects = [effect for _ in range(300) for effect in self.submit(bench, gang)]
        asked: set[str] = set()
        answers: list[tuple[float, AskAdvice]] = []
        while True:
            for ask in filter_by_type(effects, AskAdvice):
                asked.add(ask.request.job)
                answers.append((bench.now + ask.expected_ms / 1000, ask))
            if len(asked) == 300:
                return bench.now - started_at
            bench.now += 0.01
            due = [ask.request for at, ask in answers if at <= bench.now]
            answers = [answer for answer in answers if answer[0] > bench.now]
            effects = bench.feed(Ticked(97))
            for request in due:
                tickets = dict.fromkeys(request.workers, "t")
                effects = effects + bench.feed(AdviceAnswered(AdviceResult(request, tickets)))

    @staticmethod
    def submit(bench: Bench, gang: StepSpec) -> list[Effect]:
        bench.submit(gang)
        return bench.effects

    def test_reference_leader_asks_about_a_backlog_sooner(self) -> None:
        """The time until the last step is asked about follows the time for placement passes."""
        weak, reference = (self.seconds_until_all_are_asked(share) for share in (0.3, 0.5))
        self.assertLess(reference, 0.75 * weak)
        self.assertLess(reference, 7.0)


def make_bench_of_services(*names: str) -> Bench:
    """Return a bench with a worker and a queue of each service, whose advice takes long."""
    terms = AdviceTerms(500, 5, 2000)
    bench = Bench(advice=terms)
    queues = tuple(
        Queue(name, "", f"/{name}/", name, max_attempts=3, advice=terms) for name in names
    )
    bench.cell.configuration = Configuration(2, queues, tuple(Service(name) for name in names))
    for name in names:
        size = Size(64_000, 64_000, 0)
        bench.feed(WorkerListed(WorkerEntry(name, name, "a:1", "hall", "r1", frozenset(), size)))
        bench.report(name)
    return bench


class TestAdviceRequests(unittest.TestCase):
    def test_long_requests_do_not_delay_short_ones(self) -> None:
        """A short request is sent immediately, however many long ones are pending."""
        bench = Bench()
        slow, quick = AdviceTerms(500, 5, 2000), AdviceTerms(5, 0.1, 2000)
        queues = [
            Queue(name, "", f"/{name}/", "pool", max_attempts=3, advice=terms)
            for name, terms in (("slow", slow), ("quick", quick))
        ]
        bench.cell.configuration = Configuration(2, tuple(queues), (Service("pool"),))
        bench.add_worker(cpu=64_000)
        for number in range(20):
            bench.now += 0.01
            bench.feed(JobAccepted(f"{number:016x}", make_accepted_job(queue="slow")))
        asked = len(filter_by_type(bench.all_effects, AskAdvice))
        self.assertLess(asked, 20)
        bench.now += 0.01
        bench.feed(JobAccepted("f" * 16, make_accepted_job(queue="quick")))
        bench.tick(0.1)
        self.assertIn(
            "f" * 16, [each.request.job for each in filter_by_type(bench.all_effects, AskAdvice)]
        )

    def test_long_requests_without_short_ones(self) -> None:
        """Fewer long requests are pending while short ones may need a free node."""
        pending = []
        for last_short_request_at in (-math.inf, 1e9):
            bench = Bench(advice=AdviceTerms(500, 5, 2000))
            bench.cell.advice_node_count = 8
            bench.cell.last_short_request_at = last_short_request_at
            bench.add_worker(cpu=64_000)
            for number in range(20):
                bench.now += 0.01
                bench.feed(JobAccepted(f"{number:016x}", make_accepted_job(queue="q")))
            pending.append(len(bench.cell.advice_requests))
        self.assertEqual(pending, [10, 6])

    def test_crowded_service_takes_all_requests(self) -> None:
        """Steps of another service get requests, however many of the crowded one rank higher."""
        bench = make_bench_of_services("crowded", "free")
        bench.cell.policy = dataclasses.replace(
            bench.cell.policy, rank=lambda step, now: float(step.job.queue == "crowded")
        )
        bench.tick(0.1)
        for number in range(40):
            bench.feed(JobAccepted(f"{number:016x}", make_accepted_job(queue="crowded")))
        bench.feed(JobAccepted("f" * 16, make_accepted_job(queue="free")))
        requests = []
        for _ in range(10):
            asked = filter_by_type(bench.all_effects, AskAdvice)
            requests += [each.request for each in asked if each.request not in requests]
            pending = next(iter(bench.cell.advice_requests))
            bench.feed(AdviceAnswered(AdviceResult(pending, {})))
            bench.tick(0.3)
        self.assertIn("f" * 16, [request.job for request in requests])

    def test_service_that_cannot_ask_keeps_requests(self) -> None:
        """No requests are reserved for a service none of whose steps may use one."""
        bench = make_bench_of_services("standing", "crowded")
        standing = msgspec.structs.replace(SMALL, label="x")
        bench.feed(JobAccepted("f" * 16, make_accepted_job(standing, queue="standing")))
        for number in range(4):
            bench.feed(JobAccepted(f"{number:016x}", make_accepted_job(queue="crowded")))
        bench.tick(0.3)
        pending = [each.service for each in bench.cell.advice_requests.values()]
        self.assertEqual(pending, ["crowded"] * 3)


class TestExpiredTickets(unittest.TestCase):
    TERMS = AdviceTerms(decide_ms=10, each_ms=1, valid_ms=2000)

    def place_with_expired_tickets(self, count: int, gang: bool) -> Bench:
        """Place a step while the store is so slow that the tickets expire."""
        bench = Bench(advice=self.TERMS)
        for number in range(count):
            bench.add_worker(f"w{number}", cpu=1000)
        bench.submit(msgspec.structs.replace(SMALL, count=count, gang=gang))
        (asked,) = filter_by_type(bench.all_effects, AskAdvice)
        bench.is_store_paused = True
        bench.now += 0.01
        tickets = {f"w{number}": "t" for number in range(count)}
        bench.feed(AdviceAnswered(AdviceResult(asked.request, tickets)))
        (batch,) = filter_by_type(bench.effects, Persist)
        bench.now += 2.5
        bench.feed(Persisted(batch.number))
        return bench

    def test_start_is_not_sent(self) -> None:
        """A start whose ticket has expired is not sent, and the task is requeued."""
        bench = self.place_with_expired_tickets(1, gang=False)
        self.assertEqual(bench.starts(bench.all_effects), [])
        self.assertEqual(filter_by_type(bench.all_effects, SendStop), [])
        self.assertEqual(len(bench.cell.waiting_steps), 1)

    def test_no_member_of_a_gang_is_sent(self) -> None:
        """No member of a gang is started if a ticket has expired."""
        bench = self.place_with_expired_tickets(3, gang=True)
        self.assertEqual(bench.starts(bench.all_effects), [])
        self.assertEqual(filter_by_type(bench.all_effects, SendStop), [])
        self.assertEqual(len(bench.cell.waiting_steps), 1)

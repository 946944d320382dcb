"""Tests of which steps get requests to the advice service while these are scarce."""

import collections
import dataclasses
import math
import random
import unittest
from unittest import mock

from snowdock.declarations import Size
from snowdock.jobs.events import (
    AdviceAnswered,
    AskAdvice,
    Effect,
    Event,
    JobAccepted,
    Persist,
    Persisted,
    RenewAnswered,
    SendRenewal,
    SendStart,
    Ticked,
)
from snowdock.jobs.job_state import Advice
from snowdock.jobs.model import AdviceTerms, Configuration, Queue, Service, StepSpec
from snowdock.jobs.orders import AdviceRequest, AdviceResult, RunningRun, WorkerReport
from snowdock.jobs.reducer import reduce
from tests.jobs_tools import FAILED, Bench, make_accepted_job

TOLERATED_IDLE_SECONDS = 3.0
"""How long a job may run nothing beside free room."""

MAX_TURN_SECONDS = 2.2
"""How long a step waits for its turn to request advice, the answer, and its start."""

TICK_SECONDS = 0.05
ROUND_TRIP_SECONDS = 0.01
NODES = 9
WORKERS = 19

WATCHERS = AdviceTerms(560.0, 8.0, 2000.0)
REVIEWS = AdviceTerms(170.0, 2.4, 2000.0)
CHECKS = AdviceTerms(13.0, 0.19, 2000.0)
FIT_SHARES = {"watchers": 0.3, "reviews": 0.45, "checks": 0.7}

REVIEW_ANSWER_SECONDS = 0.2
"""Slightly less than an answer about a review takes."""

REQUESTS_PER_NODE = 0.75
"""Long requests that may be pending for each node."""

SIZE = Size(500, 50)
STANDING = StepSpec(count=WORKERS, size=SIZE, long_running=True, most_per_worker=1)
"""A step that few workers may run, one task each: the others of its tasks wait for ever."""

WATCHER = StepSpec(count=2, size=SIZE, long_running=True)
REVIEW = StepSpec(count=4, size=SIZE, estimate_ms=60_000)
OTHER_REVIEW = StepSpec(count=3, size=SIZE, estimate_ms=60_000)

BLOCKER = StepSpec(count=3, size=Size(300_000, 50), estimate_ms=600_000, most_per_worker=1)
GANG_WITHOUT_ROOM = StepSpec(count=WORKERS, size=Size(400_000, 50), estimate_ms=60_000, gang=True)
"""A gang that needs each worker, on three of which a blocker runs."""


class AdvisedService(Bench):
    """A service whose workers confirm all starts, with an advice service that answers in time.

    No run ends. Room is never short.
    """

    def __init__(self, nodes: int = NODES) -> None:
        super().__init__()
        self.nodes = nodes
        self.asked: collections.Counter[str] = collections.Counter()
        self.answers_lost_of: set[str] = set()
        self._submitted_at: dict[str, float] = {}
        self._started_at: dict[str, float] = {}
        self._answers: list[tuple[float, AdviceRequest]] = []
        self._runs: dict[str, list] = collections.defaultdict(list)
        self._unconfirmed: list[SendStart] = []
        queues = (
            Queue("watchers", "", "/w/", "pool", 1, 3, target_latency_ms=1000, advice=WATCHERS),
            Queue("reviews", "", "/r/", "pool", 2, 3, target_latency_ms=3000, advice=REVIEWS),
            Queue("checks", "", "/c/", "pool", 0, 3, target_latency_ms=300, advice=CHECKS),
        )
        self.cell.configuration = Configuration(2, queues, (Service("pool"),))
        for number in range(WORKERS):
            self.add_worker(f"w{number}", cpu=640_000, address=f"a{number}:1")

    def submit_to(self, queue: str, step: StepSpec) -> str:
        job = f"{len(self._submitted_at) + 1:016x}"
        self._submitted_at[job] = self.now
        self.feed(JobAccepted(job, make_accepted_job(step, queue=queue)))
        return job

    def run_for(self, seconds: float) -> None:
        for _ in range(round(seconds / TICK_SECONDS)):
            self.now += TICK_SECONDS
            self._answer_requests()
            for life in list(self.renewals):
                self._report_runs(life)
            self.feed(Ticked(self.nodes))
            self._confirm_starts()

    def _report_runs(self, life: str) -> None:
        rows = [RunningRun(task, run, "", 1.0, 0.0) for task, run in self._runs[life]]
        report = WorkerReport(self.now * 1000, rows, [])
        self.feed(RenewAnswered(life, self.renewals.pop(life), report))

    def waited_seconds(self, job: str) -> float:
        """Return the time until a job's first start, or until now if it runs nothing."""
        return self._started_at.get(job, self.now) - self._submitted_at[job]

    def feed(self, event: Event) -> list[Effect]:
        effects = reduce(self.cell, event, self.now, self.now * 1000)
        for effect in effects:
            match effect:
                case Persist(number):
                    self.feed(Persisted(number))
                case SendRenewal(life, order):
                    self.renewals[life] = order
                case AskAdvice():
                    self._record_request(effect)
                case SendStart(life, order):
                    self._started_at.setdefault(order.task.job, self.now)
                    self._runs[life].append((order.task, order.run))
                    self._unconfirmed.append(effect)
        return effects

    def _record_request(self, effect: AskAdvice) -> None:
        job = effect.request.job
        self.asked[job] += 1
        if job not in self.answers_lost_of:
            at = self.now + effect.expected_ms / 1000 + ROUND_TRIP_SECONDS
            self._answers.append((at, effect.request))

    def fail_run(self, job: str) -> str:
        """Let a run of a job fail, and return its worker."""
        for life, runs in self._runs.items():
            for task, run in runs:
                if task.job == job:
                    runs.remove((task, run))
                    running = [(*each, 1.0) for each in runs]
                    self.report(life, running=running, ended=[(task, run, FAILED)])
                    return life
        raise AssertionError(f"no run of {job}")

    def _confirm_starts(self) -> None:
        while self._unconfirmed:
            self.confirm(self._unconfirmed.pop())

    def _answer_requests(self) -> None:
        due = [request for at, request in self._answers if at <= self.now]
        self._answers = [each for each in self._answers if each[0] > self.now]
        for request in due:
            tickets = {life: "t" for life in request.workers if self._may_run(request.job, life)}
            self.feed(AdviceAnswered(AdviceResult(request, tickets)))

    def _may_run(self, job: str, life: str) -> bool:
        share = FIT_SHARES[self.cell.jobs[job].queue]
        return random.Random(f"{job}/{life}").random() < share


class TestStandingSteps(unittest.TestCase):
    """Steps with tasks that no worker may take, as each has its one task of the step."""

    def setUp(self) -> None:
        self.service = AdvisedService()

    def submit_standing(self, count: int) -> list[str]:
        jobs = []
        for _ in range(count):
            jobs.append(self.service.submit_to("watchers", STANDING))
            self.service.run_for(0.5)
        self.service.run_for(5.0)
        return jobs

    def test_step_at_its_limit_asks_for_ever(self) -> None:
        """A step that has its limit of tasks on each fit worker requests no more advice."""
        (job,) = self.submit_standing(1)
        self.assertLess(self.service.waited_seconds(job), TOLERATED_IDLE_SECONDS)
        self.service.asked.clear()
        self.service.run_for(10.0)
        self.assertEqual(self.service.asked[job], 0)

    def test_step_at_its_limit_asks_again_once_a_run_ends(self) -> None:
        """A step that stopped asking asks again as soon as one of its tasks may be placed."""
        (job,) = self.submit_standing(1)
        self.service.run_for(5.0)
        self.service.asked.clear()
        life = self.service.fail_run(job)
        self.service.run_for(2.0)
        self.assertEqual(self.service.asked[job], 1)
        self.assertTrue(self.service.cell.workers[life].runs)

    def test_new_steps_stand_behind_steps_at_their_limit(self) -> None:
        """Steps that wait at their limit keep no new one from being asked about."""
        self.submit_standing(36)
        jobs = []
        for number in range(12):
            if number % 3:
                jobs.append(self.service.submit_to("reviews", REVIEW))
            else:
                jobs.append(self.service.submit_to("watchers", WATCHER))
            self.service.run_for(0.5)
        self.service.run_for(TOLERATED_IDLE_SECONDS)
        longest = max(self.service.waited_seconds(job) for job in jobs)
        self.assertLess(longest, TOLERATED_IDLE_SECONDS)

    def test_steps_beside_running_tasks_ask_first_after_a_takeover(self) -> None:
        """While all advice is asked for anew, steps that run nothing have their turn first."""
        self.submit_standing(36)
        for step in self.service.cell.waiting_steps.values():
            step.advice = Advice(step.advice.terms)
        jobs = [self.service.submit_to("watchers", WATCHER) for _ in range(8)]
        self.service.run_for(2 * TOLERATED_IDLE_SECONDS)
        longest = max(self.service.waited_seconds(job) for job in jobs)
        self.assertLess(longest, TOLERATED_IDLE_SECONDS)


class TestTurns(unittest.TestCase):
    """Steps of higher rank that could use all requests."""

    def assert_waits_briefly(self, nodes: int, queue: str, step: StepSpec) -> None:
        """Check the wait of a step that ranks below slightly more reviews than may ask."""
        service = AdvisedService(nodes)
        service.cell.policy = dataclasses.replace(
            service.cell.policy, rank=lambda step, now: float(step.spec == REVIEW)
        )
        requests = math.ceil(max(1, REQUESTS_PER_NODE * nodes))
        job = ""
        for number in range(40):
            if number == 10:
                job = service.submit_to(queue, step)
            for _ in range(requests):
                service.submit_to("reviews", REVIEW)
            service.run_for(REVIEW_ANSWER_SECONDS)
        self.assertLess(service.waited_seconds(job), MAX_TURN_SECONDS)

    def test_step_of_low_rank_never_asks(self) -> None:
        """A step gets its turn to request advice within a bound, whatever arrives above it."""
        for nodes in (0, 1, 2, NODES):
            for queue, step in (("reviews", OTHER_REVIEW), ("watchers", WATCHER)):
                with self.subTest(nodes=nodes, queue=queue):
                    self.assert_waits_briefly(nodes, queue, step)

    @mock.patch.dict(FIT_SHARES, reviews=1.0)
    def test_turns_are_spent_on_gangs_that_fit_nowhere(self) -> None:
        """Steps that have no worker to ask about keep no turn from a step that has one."""
        service = AdvisedService(2)
        service.cell.policy = dataclasses.replace(
            service.cell.policy, rank=lambda step, now: float(step.spec == REVIEW)
        )
        service.submit_to("reviews", BLOCKER)
        service.run_for(2.0)
        for _ in range(100):
            service.submit_to("reviews", GANG_WITHOUT_ROOM)
            service.run_for(0.1)
        for number in range(40):
            if number == 10:
                job = service.submit_to("reviews", OTHER_REVIEW)
            for _ in range(2):
                service.submit_to("reviews", REVIEW)
            service.run_for(REVIEW_ANSWER_SECONDS)
        self.assertLess(service.waited_seconds(job), TOLERATED_IDLE_SECONDS)


class TestLostAnswers(unittest.TestCase):
    """Requests that are neither answered nor reported as failed."""

    def setUp(self) -> None:
        self.service = AdvisedService()

    def test_requests_that_never_return_keep_their_places(self) -> None:
        """Steps are asked about although as many requests as may be pending were lost."""
        lost = [f"{number + 1:016x}" for number in range(math.ceil(REQUESTS_PER_NODE * NODES))]
        self.service.answers_lost_of = set(lost)
        for _ in lost:
            self.service.submit_to("reviews", REVIEW)
        self.service.run_for(0.5)
        job = self.service.submit_to("reviews", REVIEW)
        self.service.run_for(TOLERATED_IDLE_SECONDS)
        self.assertLess(self.service.waited_seconds(job), MAX_TURN_SECONDS)

    def test_step_whose_answer_is_lost_never_asks_again(self) -> None:
        """A step whose request never returns sends another one."""
        self.service.answers_lost_of = {f"{1:016x}"}
        job = self.service.submit_to("reviews", REVIEW)
        self.service.run_for(0.5)
        self.service.answers_lost_of = set()
        self.service.run_for(TOLERATED_IDLE_SECONDS)
        self.assertLess(self.service.waited_seconds(job), MAX_TURN_SECONDS)


if __name__ == "__main__":
    unittest.main()

"""Tests that what runs or waits elsewhere keeps a long-running task waiting for a bounded time."""

import dataclasses
import unittest

import msgspec

from snowdock.declarations import Size
from snowdock.jobs.events import AdviceAnswered, AskAdvice
from snowdock.jobs.model import AdviceTerms, StepSpec
from snowdock.jobs.orders import AdviceRequest, AdviceResult, EndKind
from tests.jobs_tools import SMALL, Bench, charge_task, filter_by_type
from tests.test_jobs_long_running import TOLERATED_WAIT_SECONDS, LongRunningTestCase

TOLERATED_FIRST_WAIT_SECONDS = 6.0
"""How long it may take after the acceptance of its job until that time begins."""

LONG_RUNNING = StepSpec(count=1, size=Size(1000, 1000), long_running=True)


class BoundsTestCase(LongRunningTestCase):
    """A cluster whose workers the test adds."""

    workers = ()

    def rank_long_running_last(self) -> None:
        self.bench.cell.policy = dataclasses.replace(
            self.bench.cell.policy, rank=lambda step, now: -float(step.spec.long_running)
        )


class TestTaskBesideIsolatedRun(BoundsTestCase):
    def test_long_running_task_stands_beside_isolated_run(self) -> None:
        """A run that needs a worker of its own keeps others away for a short time only."""
        for life in ("w1", "w2"):
            self.bench.add_worker(life, address=life)
        suspect = self.bench.submit(LONG_RUNNING)
        self.run_for(0.3)
        (task,) = self.running
        charge_task(self.bench.cell.find_task(task), 101, 102)
        self.end_run(task, EndKind.STOPPED)
        self.run_for(0.3)
        self.assertEqual({each.job for each in self.running}, {suspect})
        other_life = ({"w1", "w2"} - {self.running[task].life}).pop()
        self.bench.drain(other_life)
        other = self.bench.submit(LONG_RUNNING)
        self.run_for(2 * TOLERATED_WAIT_SECONDS)
        self.assertIn(other, {each.job for each in self.running})


class TestTaskBesideFailingSiblings(BoundsTestCase):
    def test_long_running_task_stands_behind_a_failing_sibling(self) -> None:
        """A task whose runs fail at once doesn't take the next slot before one that waits."""
        self.bench.add_worker("w1", address="w1")
        self.bench.submit(msgspec.structs.replace(LONG_RUNNING, count=2, most_per_worker=1))
        self.run_for(0.3)
        (task,) = self.running
        self.end_run(task)
        self.run_for(0.3)
        (second,) = self.running
        self.assertNotEqual(second, task)


class TestTaskBehindOthersInTheQueue(BoundsTestCase):
    def test_long_running_task_is_never_searched(self) -> None:
        """A few steps that can't be placed don't use up each pass before a lower-ranked one."""
        self.rank_long_running_last()
        for number in range(200):
            self.bench.add_worker(f"w{number}", address=f"w{number}", cpu=1000)
        for _ in range(8):
            self.bench.submit(StepSpec(count=1, size=Size(1000, 8999), label="x"))
        job = self.bench.submit(LONG_RUNNING)
        self.run_for(TOLERATED_WAIT_SECONDS)
        self.assertIn(job, {each.job for each in self.running})


class TestOthersBehindLongRunningTasks(BoundsTestCase):
    def test_long_running_tasks_without_room_delay_no_other(self) -> None:
        """Long-running tasks that can't be placed don't use up each pass before other steps."""
        for number in range(200):
            self.bench.add_worker(f"w{number}", address=f"w{number}", cpu=1000)
        for _ in range(20):
            self.bench.submit(msgspec.structs.replace(LONG_RUNNING, label="x"))
        self.run_for(2.0)
        for _ in range(3):
            job = self.bench.submit(SMALL)
            self.run_for(0.3)
            self.assertIn(job, {each.job for each in self.running})


class TestTaskBehindOthersForAdvice(BoundsTestCase):
    """A stream of higher-ranked steps that takes all requests to the advice service."""

    def setUp(self) -> None:
        super().setUp()
        self.requests: list[AdviceRequest] = []
        self.rank_long_running_last()
        for life in ("w1", "w2"):
            self.bench.add_worker(life, address=life)

    def make_bench(self) -> Bench:
        return Bench(advice=AdviceTerms(560.0, 8.0, 2000.0))

    def accept_starts(self) -> None:
        effects = filter_by_type(self.bench.all_effects, AskAdvice)
        self.requests += [effect.request for effect in effects]
        super().accept_starts()

    def answer_oldest_request(self, job: str) -> None:
        """Answer the oldest request; only the steps of one job may run anywhere."""
        if self.requests:
            request = self.requests.pop(0)
            tickets = {life: "t" for life in request.workers if request.job == job}
            self.bench.feed(AdviceAnswered(AdviceResult(request, tickets)))

    def test_long_running_task_never_gets_a_request(self) -> None:
        """A waiting long-running task gets a request before others of higher rank."""
        for _ in range(4):
            self.bench.submit(SMALL)
        job = self.bench.submit(LONG_RUNNING)
        for _ in range(round(TOLERATED_FIRST_WAIT_SECONDS / 0.3)):
            self.bench.submit(SMALL)
            self.answer_oldest_request(job)
            self.run_for(0.3)
        self.assertIn(job, {each.job for each in self.running})


if __name__ == "__main__":
    unittest.main()

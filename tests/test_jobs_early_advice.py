"""Tests that advice is at hand when a long-running task's run is declared lost."""

import unittest

import msgspec

from snowdock.declarations import Size
from snowdock.jobs.events import AdviceAnswered, AskAdvice, RenewAnswered, SendStart
from snowdock.jobs.job_state import Task
from snowdock.jobs.model import AdviceTerms, StepSpec, TaskId
from snowdock.jobs.orders import AdviceResult
from snowdock.jobs.progress import decode_progress
from snowdock.jobs.takeover import RecordedJobs
from tests.jobs_tools import SETTINGS, Bench, filter_by_type

ADVICE = AdviceTerms(decide_ms=560.0, each_ms=8.0, valid_ms=2000.0)
ANSWER_SECONDS = (0.8, 1.7)
"""Shortest and longest time until an answer of the advice service."""

MAX_RESTART_SECONDS = 0.15
"""Time in which a lost task starts again: a tick, and the record of its placement."""

MAX_REQUEST_AGE_SECONDS = 2.5
"""Longest time before the loss of a run in which a request is of use: its answer and the time for
which the tickets in it are valid."""

TICK_SECONDS = 0.1
LONG_RUNNING = StepSpec(count=1, size=Size(1000, 1000), long_running=True)


class EarlyAdviceTestCase(unittest.TestCase):
    """A leader with two advice nodes; workers answer at once unless they are silent."""

    def setUp(self) -> None:
        self.start_cluster(ANSWER_SECONDS[0])

    def start_cluster(self, answer_s: float) -> None:
        self.answer_s = answer_s
        self.bench = Bench(advice=ADVICE)
        self.silent: set[str] = set()
        self.pending_advice: list[tuple[float, AskAdvice]] = []
        self.requested_at: list[tuple[float, str]] = []
        self.started: list[tuple[float, SendStart]] = []
        self.lost_at: list[float] = []
        for life in ("w1", "w2", "w3"):
            self.bench.add_worker(life, address=life)

    def run_for(self, seconds: float) -> None:
        for _ in range(round(seconds / TICK_SECONDS)):
            self.bench.tick(TICK_SECONDS)
            self.handle_effects()
            self.answer_advice()
            for life in list(self.bench.renewals):
                self.renew(life)
            self.handle_effects()

    def handle_effects(self) -> None:
        now = self.bench.now
        for asked in filter_by_type(self.bench.all_effects, AskAdvice):
            self.pending_advice.append((now + self.answer_s, asked))
            self.requested_at.append((now, asked.request.job))
        for start in self.bench.new_starts():
            self.started.append((now, start))
            self.bench.confirm(start)
        losses = ("orphan_lost", "run_lost")
        self.lost_at += [now for each in self.bench.decisions if each.decision in losses]
        self.bench.decisions.clear()

    def answer_advice(self) -> None:
        for at, asked in list(self.pending_advice):
            if at <= self.bench.now:
                self.pending_advice.remove((at, asked))
                tickets = dict.fromkeys(asked.request.workers, "t")
                self.bench.feed(AdviceAnswered(AdviceResult(asked.request, tickets)))

    def renew(self, life: str) -> None:
        if life in self.silent:
            self.bench.feed(RenewAnswered(life, self.bench.renewals.pop(life), None))
            return
        current = {start.order.task: start for _, start in self.started}
        running = [
            (task, start.order.run, 1.0) for task, start in current.items() if start.life == life
        ]
        self.bench.report(life, running=running)

    def run_long_task(self, spec: StepSpec = LONG_RUNNING) -> str:
        """Run a long-running task on a worker, and return the worker's life."""
        self.job = self.bench.submit(spec)
        self.run_for(5.0)
        life = self.started[-1][1].life
        self.started_before_loss = len(self.started)
        self.requested_at.clear()
        return life

    def lose_leader(self, life: str, loading_s: float = 0.5) -> None:
        """Replace the leader by one that never learns of a worker."""
        before = self.bench
        progress = {job: decode_progress(data) for job, data in before.recorded.items()}
        self.bench = Bench(2, advice=ADVICE)
        self.bench.recorded = before.recorded
        self.bench.now = before.now + 1.1 + loading_s
        self.bench.cell.started_at = self.bench.cell.now = self.bench.now
        self.bench.cell.leadership_claimed_at = self.bench.now - loading_s
        accepted = {job: each.accepted for job, each in before.cell.jobs.items()}
        self.bench.restore(RecordedJobs(accepted, set(), progress))
        for other in before.cell.workers.keys() - {life}:
            self.bench.add_worker(other, address=other, is_synced=False)

    def find_task(self) -> Task:
        return self.bench.cell.find_task(TaskId(self.job, 0, 0, 0))

    def seconds_until_restart(self) -> float:
        """Return the time from the loss of the runs until all their tasks started again."""
        self.assertTrue(self.lost_at)
        self.assertEqual(len(self.started), self.started_before_loss + len(self.lost_at))
        return self.started[-1][0] - self.lost_at[0]


class TestLossWithLeader(EarlyAdviceTestCase):
    def test_restart_waits_for_advice_after_the_leaders_loss(self) -> None:
        """A task whose worker and leader are lost together starts as soon as its run is lost."""
        for answer_s in ANSWER_SECONDS:
            with self.subTest(answer_s=answer_s):
                self.start_cluster(answer_s)
                self.lose_leader(self.run_long_task())
                self.run_for(SETTINGS.unreached_run_expiry_s + 3.0)
                self.assertLessEqual(self.seconds_until_restart(), MAX_RESTART_SECONDS)

    def test_several_tasks_of_a_step(self) -> None:
        """Tasks of one step that are lost together start together, after one request."""
        life = self.run_long_task(msgspec.structs.replace(LONG_RUNNING, count=2))
        self.assertEqual({start.life for _, start in self.started}, {life})
        self.lose_leader(life)
        self.run_for(SETTINGS.unreached_run_expiry_s + 3.0)
        self.assertEqual(len(self.lost_at), 2)
        self.assertLessEqual(self.seconds_until_restart(), MAX_RESTART_SECONDS)
        self.assertEqual(len(self.requested_at), 1)

    def test_restart_waits_for_isolation_after_a_slow_takeover(self) -> None:
        """Time in which a leader loads records counts as waited, so that isolation has ended."""
        life = self.run_long_task()
        self.lose_leader(life, loading_s=8.0)
        for worker in self.bench.cell.workers.values():
            task = Task(TaskId("other", 0, 0, 0), self.find_task().step)
            worker.suspects[task.id, 1] = task
        self.run_for(6.0)
        self.assertLessEqual(self.seconds_until_restart(), MAX_RESTART_SECONDS)


class TestSilentWorker(EarlyAdviceTestCase):
    def test_restart_waits_for_advice_after_the_lease(self) -> None:
        """A task on a worker that stops answering starts as soon as the leases have expired."""
        for answer_s in ANSWER_SECONDS:
            with self.subTest(answer_s=answer_s):
                self.start_cluster(answer_s)
                self.silent.add(self.run_long_task())
                self.run_for(9.0)
                self.assertLessEqual(self.seconds_until_restart(), MAX_RESTART_SECONDS)

    def test_worker_that_answers_again(self) -> None:
        """A task whose worker answers again in time isn't started elsewhere."""
        life = self.run_long_task()
        self.silent.add(life)
        self.run_for(4.0)
        self.assertTrue(self.requested_at)
        self.silent.clear()
        self.run_for(9.0)
        self.assertEqual(self.lost_at, [])
        self.assertEqual(len(self.started), self.started_before_loss)

    def test_tickets_expire_before_the_loss(self) -> None:
        """No request is sent so early that its tickets expire before they can be used."""
        self.silent.add(self.run_long_task())
        self.run_for(9.0)
        self.assertEqual(len(self.requested_at), 1)
        self.assertLess(self.lost_at[0] - self.requested_at[0][0], MAX_REQUEST_AGE_SECONDS)


class TestRequestsOfOthers(EarlyAdviceTestCase):
    def test_early_requests_take_those_of_waiting_steps(self) -> None:
        """Half of the requests remain for steps that wait while others are about to be lost."""
        lives = {self.run_long_task(), self.run_long_task(), self.run_long_task()}
        self.answer_s = 60.0
        self.silent |= lives
        self.bench.add_worker("w4", address="w4")
        self.requested_at.clear()
        self.run_for(4.0)
        self.assertEqual(len(self.requested_at), 1)
        job = self.bench.submit(StepSpec(count=1, size=Size(1000, 1000), estimate_ms=1000))
        self.run_for(0.2)
        self.assertEqual([each for _, each in self.requested_at][1:], [job])

    def test_early_requests_for_other_runs(self) -> None:
        """Advice is requested early for single long-running tasks only."""
        for spec in (
            msgspec.structs.replace(LONG_RUNNING, long_running=False, estimate_ms=60_000),
            msgspec.structs.replace(LONG_RUNNING, gang=True),
        ):
            with self.subTest(spec=spec):
                self.start_cluster(ANSWER_SECONDS[0])
                self.silent.add(self.run_long_task(spec))
                self.run_for(9.0)
                self.assertGreaterEqual(self.requested_at[0][0], self.lost_at[0])


if __name__ == "__main__":
    unittest.main()

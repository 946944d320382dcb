"""Tests of waiting long-running tasks beside steps of a higher rank."""

import itertools
import unittest

from snowdock.declarations import Size
from snowdock.jobs.events import AdviceAnswered, AskAdvice, JobAccepted, SendStart
from snowdock.jobs.model import AdviceTerms, Configuration, Queue, Service, StepSpec, TaskId
from snowdock.jobs.orders import AdviceResult, EndKind
from snowdock.jobs.policy import make_policy
from tests.jobs_tools import Bench, filter_by_type, make_accepted_job

TOLERATED_WAIT_SECONDS = 9.0
"""How long a long-running task may wait after its last run: three seconds, counted from six
seconds after that run."""

ANSWER_SECONDS = 0.6
ADVICE = AdviceTerms(decide_ms=560.0, each_ms=8.0, valid_ms=2000.0)

TICK_SECONDS = 0.1
WORKERS = ("w1", "w2", "w3")
SLOTS_PER_WORKER = 4
SLOT = Size(1000, 1000)
LONG_RUNNING = StepSpec(count=2, size=SLOT, long_running=True, most_per_worker=1)
BATCH = StepSpec(count=1, size=SLOT, estimate_ms=500)
BATCH_SECONDS = 0.5
WAITING_BATCHES = 8


class TestTaskBesideRankedWork(unittest.TestCase):
    """A service on which some slot becomes free every tenth of a second and is taken again."""

    def setUp(self) -> None:
        self.bench = Bench(advice=ADVICE)
        queues = (
            Queue("q", "", "/q/", "pool", max_attempts=3, target_latency_ms=100, advice=ADVICE),
            Queue("batch", "", "/batch/", "pool", max_attempts=3, target_latency_ms=3000),
        )
        self.bench.cell.configuration = Configuration(1, queues, (Service("pool"),))
        self.bench.cell.policy = make_policy(self.fail, lambda: self.bench.cell)
        self.running: dict[TaskId, SendStart] = {}
        self.batch_ends: dict[TaskId, float] = {}
        self.pending_advice: list[tuple[float, AskAdvice]] = []
        self.batch_numbers = itertools.count(1)
        self.long_job = ""
        for life in WORKERS:
            self.bench.add_worker(life, cpu=SLOTS_PER_WORKER * SLOT.cpu, address=life)

    def run_for(self, seconds: float, with_batches: bool) -> None:
        """Let time pass; each batch task ends after half a second."""
        for _ in range(round(seconds / TICK_SECONDS)):
            if with_batches:
                self.submit_batches()
            self.bench.tick(TICK_SECONDS)
            self.handle_effects()
            self.answer_advice()
            for life in list(self.bench.renewals):
                self.report(life)

    def submit_batches(self) -> None:
        steps = self.bench.cell.waiting_steps.values()
        waiting = sum(step.job.id != self.long_job for step in steps)
        for _ in range(WAITING_BATCHES - waiting):
            job = f"{next(self.batch_numbers):016x}"
            self.bench.feed(JobAccepted(f"b{job[1:]}", make_accepted_job(BATCH, queue="batch")))

    def handle_effects(self) -> None:
        asked = filter_by_type(self.bench.all_effects, AskAdvice)
        self.pending_advice += [(self.bench.now + ANSWER_SECONDS, each) for each in asked]
        for start in self.bench.new_starts():
            self.bench.confirm(start)
            task = start.order.task
            self.running[task] = start
            if task.job != self.long_job:
                # Ends are spread over the ticks.
                late_s = TICK_SECONDS * (len(self.batch_ends) % 3)
                self.batch_ends[task] = self.bench.now + BATCH_SECONDS + late_s

    def answer_advice(self) -> None:
        due = [each for at, each in self.pending_advice if at <= self.bench.now]
        self.pending_advice = [each for each in self.pending_advice if each[0] > self.bench.now]
        for asked in due:
            tickets = dict.fromkeys(asked.request.workers, "t")
            self.bench.feed(AdviceAnswered(AdviceResult(asked.request, tickets)))

    def report(self, life: str, failed: TaskId | None = None) -> None:
        ended = []
        for task, start in list(self.running.items()):
            if start.life != life:
                continue
            if task == failed:
                ended.append((task, start.order.run, EndKind.FAILED))
                del self.running[task]
            elif self.batch_ends.get(task, self.bench.now + 1) <= self.bench.now:
                ended.append((task, start.order.run, EndKind.DONE))
                del self.running[task], self.batch_ends[task]
        running = [
            (task, start.order.run, 1.0)
            for task, start in self.running.items()
            if start.life == life
        ]
        self.bench.report(life, running=running, ended=ended)

    def test_long_running_task_beside_batches(self) -> None:
        """A long-running task gets one of the many slots that become free while it waits."""
        self.long_job = self.bench.submit(LONG_RUNNING)
        self.run_for(1.5, with_batches=False)
        tasks = [task for task in self.running if task.job == self.long_job]
        self.assertEqual(len(tasks), LONG_RUNNING.count)
        self.run_for(3.0, with_batches=True)
        failed = tasks[0]
        self.report(self.running[failed].life, failed=failed)
        self.run_for(TOLERATED_WAIT_SECONDS, with_batches=True)
        self.assertIn(failed, self.running)


if __name__ == "__main__":
    unittest.main()

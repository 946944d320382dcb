"""Tests of tasks that crash the workers that run them.

Two tasks of one deployment ended each worker that started them, within some 10 ms, and were started
again for as long as the day lasted: thirteen and sixteen times, a worker lost each time with the
four to fifteen other runs on it. A run that is lost with its worker counted as no attempt, so
nothing ever added up. What settled it: one leader alone gave the task runs 8 to 13, and no end of
any of them was ever told, only

    worker_silent subject=i-3ac1fba86a runs=9
    runs_lost subject=i-3ac1fba86a count=9 reason="another life answered at its address"
    placed step=0 tasks=2 run=2 workers=["i-8aa64f5f5b"]

3.5 s apart, over and over.
"""

import unittest

from snowdock.jobs.events import RenewAnswered, SendStart
from snowdock.jobs.model import JobStatus
from snowdock.jobs.orders import Refusal
from snowdock.jobs.progress import decode_progress
from snowdock.jobs.takeover import RecordedJobs
from tests.jobs_tools import DONE, SMALL, Bench, accepted, of_type

MOST_STARTS = 5
"""After three crashes under a task, fewer than three more starts."""

ROUNDS = 12


class Crashes:
    """Workers that one task ends whenever it starts there; all other tasks end well.

    Workers return as another life at the same address.
    """

    def __init__(self, guilty: int = 0) -> None:
        self.bench = Bench()
        self.guilty = guilty
        self.starts = 0
        self._lives = 0
        for _ in range(6):
            self.add_worker()

    def add_worker(self) -> None:
        self._lives += 1
        self.bench.add_worker(f"w{self._lives}")

    def carry_out(self, starts: list[SendStart]) -> bool:
        """Start runs as ordered; tell whether a worker crashed."""
        crashed = set()
        for start in starts:
            if start.order.task.index == self.guilty:
                self.starts += 1
                crashed.add(start.life)
        for start in starts:
            if start.life not in crashed:
                self.bench.confirm(start)
                run = (start.order.task, start.order.run, DONE)
                self.bench.report(start.life, ended=[run])
        for life in crashed:
            renewal = self.bench.renewal(life)
            self.bench.feed(RenewAnswered(life, renewal, None))
            self.bench.tick(3.5)
            renewal = self.bench.renewal(life)
            self.bench.feed(RenewAnswered(life, renewal, Refusal.OTHER_LIFE))
            self.add_worker()
        return bool(crashed)

    def new_starts(self) -> list[SendStart]:
        found = of_type(self.bench.seen, SendStart)
        self.bench.seen.clear()
        return found

    def play(self, after_crash=lambda: None) -> None:
        """Go on until nothing is started any more, or for a number of rounds."""
        for _ in range(ROUNDS):
            if self.carry_out(self.new_starts()):
                after_crash()
            self.bench.tick(3.0)


class TestCrashingTask(unittest.TestCase):
    def status(self, bench: Bench, job: str) -> JobStatus:
        return bench.cell.jobs[job].status

    def test_it_is_given_up(self) -> None:
        """A task that ends each worker that starts it is given up, and its job has failed."""
        crashes = Crashes()
        job = crashes.bench.submit(SMALL)
        crashes.play()
        self.assertLessEqual(crashes.starts, MOST_STARTS)
        self.assertEqual(self.status(crashes.bench, job), JobStatus.FAILED)

    def test_successors_count_on(self) -> None:
        """It is given up as soon where another leader takes over after each crash."""
        crashes = Crashes()
        spec = accepted(SMALL)
        job = crashes.bench.submit(SMALL)
        token = 1

        def take_over() -> None:
            nonlocal token
            token += 1
            cell = crashes.bench.cell
            progress = _recorded(crashes.bench, job)
            crashes.bench = Bench(token)
            crashes.bench.now = cell.now
            crashes.bench.restore(RecordedJobs({job: spec}, set(), {job: progress}))
            for life in cell.workers:
                crashes.bench.add_worker(life)

        crashes.play(take_over)
        self.assertLessEqual(crashes.starts, MOST_STARTS)
        self.assertEqual(self.status(crashes.bench, job), JobStatus.FAILED)


def _recorded(bench: Bench, job: str):
    """Give a job's progress as the last batch has put it on record."""
    return decode_progress(bench.recorded[job])


if __name__ == "__main__":
    unittest.main()

"""Tests of the model of run times by queue, and of what a run in the tail changes."""

import math
import random
import unittest

from snowdock.jobs.forecast import remaining_seconds
from snowdock.jobs.run_times import QueueTimes
from snowdock.jobs.speeds import has_tail, typical_seconds
from tests.jobs_tools import SMALL, Bench


def make_times(tail_share: float, estimate_error: float = 0.9) -> QueueTimes:
    rng = random.Random(1)
    times = QueueTimes()
    for _ in range(500):
        ratio = rng.uniform(0.8, 1.25) / rng.uniform(1 - estimate_error / 2, 1 + estimate_error)
        times.observe(math.log(ratio * (7 if rng.random() < tail_share else 1)), 0.0)
    return times


class TestQueueTimes(unittest.TestCase):
    def test_tail_is_found_beside_estimates_that_are_off(self) -> None:
        """Bad estimates taken for a tail would change decisions where there is none."""
        self.assertFalse(make_times(0.0).has_tail)
        times = make_times(0.05)
        self.assertTrue(times.has_tail)
        self.assertAlmostEqual(7.0, math.exp(times.mean_log_tail), delta=2.0)

    def test_absurd_ratios_and_first_runs_have_no_effect(self) -> None:
        times = QueueTimes()
        for log_ratio in (20.0, -20.0, 0.0):
            self.assertLessEqual(abs(times.observe(log_ratio, 0.0)), 1.2)
        self.assertFalse(times.has_tail)


class TestRunInTheTail(unittest.TestCase):
    def setUp(self) -> None:
        self.bench = bench = Bench()
        bench.add_worker()
        bench.submit(SMALL)
        (start,) = bench.new_starts()
        bench.confirm(start)
        self.worker = bench.cell.workers["w"]
        self.task = bench.cell.find_task(start.order.task)

    def report(self, percents: range) -> None:
        """Report progress each 0.3 s."""
        for percent in percents:
            self.bench.report("w", running=[(self.task.id, 1, percent)])
            self.bench.now += 0.3

    def test_run_in_the_tail_ends_by_its_rate_and_leaves_its_worker_normal(self) -> None:
        """A worker taken for slow, or free soon, would be avoided or waited for in vain."""
        found = []
        for times in (QueueTimes(), make_times(0.05)):
            self.setUp()
            self.bench.cell.queue_times["q"] = times
            self.report(range(0, 40, 3))
            typical = typical_seconds(self.task.step)
            left = remaining_seconds(self.bench.cell, self.worker, self.task, self.bench.now)
            found.append((self.worker.slowness, typical, left))
        (slowness, typical, _), (tail_slowness, tail_typical, tail_left) = found
        self.assertLess(tail_slowness, slowness)
        self.assertGreater(typical, 3.0)
        self.assertAlmostEqual(1.0, tail_typical, msg="other tasks of the step are not longer")
        self.assertAlmostEqual(6.4, tail_left, delta=1.0)

    def test_progress_that_runs_backwards_is_no_measurement(self) -> None:
        self.report(range(0, 40, 10))
        before = self.worker.log_slowness
        self.report(range(5, 6))
        self.assertEqual(before, self.worker.log_slowness)
        self.assertFalse(has_tail(self.bench.cell, self.task.step))

"""Tests of placement by expected finish in pools with fast and slow machines."""

import dataclasses
import math
import unittest

import msgspec

from snowdock.declarations import Size
from snowdock.jobs.machine_speeds import MachineSpeed, update_unevenness
from snowdock.jobs.model import StepSpec
from tests.jobs_tools import POLICY, Bench

FAST, SLOW = 0.7, 1.7
ONE = StepSpec(count=1, size=Size(4000, 1000), estimate_ms=1000)
GANG = msgspec.structs.replace(ONE, count=2, gang=True)


class TestPlacement(unittest.TestCase):
    """Workers w0 to w5 are fast and w6 to w8 slow; each holds one task."""

    def setUp(self) -> None:
        self.bench = bench = Bench()
        self.slow = {f"w{number}" for number in (6, 7, 8)}
        for number in range(9):
            slowness = SLOW if number > 5 else FAST
            speed = MachineSpeed(math.log(slowness), is_known=True)
            bench.cell.machine_speeds[f"a:{number}"] = speed
        update_unevenness(bench.cell, bench.now + 1)
        for number in range(9):
            bench.add_worker(f"w{number}", address=f"a:{number}")
        bench.now += 1.0
        bench.cell.policy = dataclasses.replace(
            POLICY, score=lambda step, worker, step_runs: -worker.slowness
        )

    def set_stretch(self, stretch: float) -> None:
        cell = self.bench.cell
        (queue,) = cell.configuration.queues
        queue = type(queue)(
            "q", "", "/q/", "pool", max_attempts=3, target_latency_ms=100, stretch=stretch
        )
        cell.configuration = type(cell.configuration)(2, (queue,), cell.configuration.services)

    def place(self, spec: StepSpec) -> list[str]:
        """Submit a job of one step, and return the lives on which it starts soon."""
        self.bench.submit(spec)
        return self.next_starts(0.1)

    def next_starts(self, seconds: float) -> list[str]:
        """Return the lives on which tasks start within a time."""
        self.bench.tick(seconds)
        starts = self.bench.new_starts()
        for start in starts:
            self.bench.confirm(start)
        return [start.life for start in starts]

    def test_step_with_slack_starts_on_a_slow_worker(self) -> None:
        """On a fast one, it would displace work that has to be there."""
        self.set_stretch(4.0)
        self.assertLessEqual(set(self.place(ONE)), self.slow)

    def test_urgent_step_and_gang_start_on_fast_workers(self) -> None:
        self.set_stretch(1.5)
        self.assertNotIn(self.place(ONE)[0], self.slow)
        self.assertFalse(set(self.place(GANG)) & self.slow)

    def test_gang_waits_for_fast_workers_that_are_free_soon(self) -> None:
        """With one slow member, it would take 1.7 s in place of 0.7 s after a wait of 0.7 s."""
        self.set_stretch(1.5)
        for _ in range(5):
            self.place(msgspec.structs.replace(ONE, estimate_ms=500))
        self.assertEqual([], self.place(GANG))
        self.assertEqual(2, len(self.next_starts(1.5)), "it waits for no longer than it gains")

    def test_gang_does_not_wait_for_fast_workers_that_are_busy_for_long(self) -> None:
        self.set_stretch(1.5)
        for _ in range(5):
            self.place(msgspec.structs.replace(ONE, estimate_ms=20_000))
        self.assertEqual(2, len(self.place(GANG)))

    def test_step_that_would_be_late_on_a_slow_worker_waits_for_a_fast_one(self) -> None:
        self.set_stretch(1.5)
        for _ in range(6):
            self.place(msgspec.structs.replace(ONE, estimate_ms=400))
        self.assertEqual([], self.place(ONE))
        self.assertEqual(1, len(self.next_starts(1.5)))

"""Tests of lasting speeds: what is learned, from which runs, and what it is used for."""

import math
import unittest
from types import SimpleNamespace

from snowdock.declarations import Size
from snowdock.jobs.job_state import Phase
from snowdock.jobs.machine_speeds import (
    MachineSpeed,
    is_slow,
    lasting_slowness,
    learn_from_end,
    update_unevenness,
)
from snowdock.jobs.orders import EndKind
from snowdock.jobs.speeds import decay_idle_slowness
from tests.jobs_tools import SMALL, Bench

SLOW = math.log(1.7)


def observe(machine: MachineSpeed, log_slowness: float, began_at: float, seconds: float) -> None:
    """Add two runs a second."""
    for number in range(round(seconds * 2)):
        machine.observe(log_slowness, began_at + number / 2)


class TestMachineSpeed(unittest.TestCase):
    def test_slowdown_of_six_seconds_does_not_become_lasting(self) -> None:
        """A worker taken for slow for good would be avoided long after it is fast again."""
        for sound_before_s in (0.0, 0.7, 1.9, 5.0, 20.0):
            machine = MachineSpeed()
            observe(machine, 0.0, 100.0, sound_before_s)
            observe(machine, math.log(3), 100.0 + sound_before_s, 6.0)
            observe(machine, 0.0, 106.0 + sound_before_s, 3.0)
            self.assertLess(machine.log_slowness, 0.1)

    def test_lasting_slowness_is_learned_from_few_runs_and_changes(self) -> None:
        machine = MachineSpeed()
        for second in range(0, 10, 2):
            machine.observe(SLOW, 100.0 + second)
        self.assertTrue(machine.is_known)
        self.assertAlmostEqual(SLOW, machine.log_slowness)
        observe(machine, 0.0, 120.0, 14.0)
        self.assertAlmostEqual(0.0, machine.log_slowness)


class TestLearning(unittest.TestCase):
    def setUp(self) -> None:
        self.bench = Bench()
        self.cell = self.bench.cell

    def learn(self, slowness: float, estimate_ms: int = 1000, **changes: object) -> None:
        """Let many runs end on one of two machines."""
        fields = {"gang": False, "long_running": False, "size": Size(1, 1), **changes}
        whole = fields.pop("is_whole_run", True)
        step = SimpleNamespace(
            spec=SimpleNamespace(estimate_ms=estimate_ms, **fields), job=SimpleNamespace(queue="q")
        )
        for number in range(60):
            now = 100.0 + number / 2
            for address, seconds in (("fast", 1.0), ("slow", slowness)):
                worker = SimpleNamespace(entry=SimpleNamespace(address=address))
                task = SimpleNamespace(
                    phase=Phase.RUNNING, is_whole_run=whole, step=step, phase_since=now - seconds
                )
                learn_from_end(self.cell, worker, task, now)

    def test_slow_machine_is_told_from_a_fast_one_whatever_the_estimates(self) -> None:
        for estimate_ms in (1, 700, 10**9):
            self.cell.machine_speeds.clear()
            self.cell.queue_times.clear()
            self.learn(1.7, estimate_ms)
            found = {key: each.log_slowness for key, each in self.cell.machine_speeds.items()}
            self.assertAlmostEqual(SLOW, found["slow"] - found["fast"], delta=0.05)

    def test_paced_resumed_and_accelerated_runs_and_estimates_of_zero_teach_nothing(self) -> None:
        """Their time says nothing about the machine: it would be avoided without a reason."""
        self.learn(1.7, gang=True)
        self.learn(1.7, long_running=True)
        self.learn(1.7, is_whole_run=False)
        self.learn(1.7, size=Size(1, 1, 1))
        self.learn(1.7, estimate_ms=0)
        self.assertEqual({}, self.cell.machine_speeds)

    def test_report_of_a_finished_run_teaches_and_of_a_crashed_one_does_not(self) -> None:
        self.bench.add_worker()
        self.bench.submit(SMALL)
        for kind, known in ((EndKind.FAILED, []), (EndKind.DONE, ["w:1"])):
            (start,) = self.bench.new_starts()
            self.bench.confirm(start)
            self.bench.now += 1.0
            self.bench.report("w", ended=[(start.order.task, start.order.run, kind)])
            self.bench.tick(0.1)
            self.assertEqual(known, list(self.cell.machine_speeds))


class TestUse(unittest.TestCase):
    def set_speeds(self, slow: float, count: int = 9) -> Bench:
        bench = Bench()
        for number in range(count):
            bench.add_worker(f"w{number}", address=f"a:{number}")
            log_slowness = math.log(slow) if number % 3 == 2 else 0.0
            bench.cell.machine_speeds[f"a:{number}"] = MachineSpeed(log_slowness, is_known=True)
        update_unevenness(bench.cell, bench.now + 1)
        return bench

    def test_speeds_that_hardly_differ_have_no_effect(self) -> None:
        bench = self.set_speeds(1.15)
        self.assertFalse(bench.cell.is_uneven)
        self.assertEqual(
            {0.0}, {lasting_slowness(bench.cell, w) for w in bench.cell.workers.values()}
        )

    def test_idle_worker_keeps_its_lasting_slowness(self) -> None:
        """A worker whose slowness is forgotten while it idles is given urgent work again."""
        bench = self.set_speeds(1.7)
        for _ in range(100):
            decay_idle_slowness(bench.cell)
        self.assertAlmostEqual(1.7, bench.cell.workers["w2"].slowness, delta=0.1)
        self.assertTrue(is_slow(bench.cell, bench.cell.workers["w2"]))

    def test_another_machine_under_the_same_id_has_its_own_speed(self) -> None:
        bench = self.set_speeds(1.7)
        bench.add_worker("w2@2", is_synced=False, address="a:90")
        self.assertEqual(1.0, bench.cell.workers["w2@2"].slowness)
        bench.add_worker("w1@3", is_synced=False, address="a:2")
        self.assertAlmostEqual(1.7, bench.cell.workers["w1@3"].slowness)

"""Replay of an overloaded pool with fast and slow machines, and of a change of leader on it."""

import unittest

from bench.uneven import SECONDS, WasteWatch, make_day
from snowdock.emulator import Emulator
from snowdock.jobs.job_state import Task


def placed_tasks(emulator: Emulator) -> list[Task]:
    """Return the newest leader's tasks that have a run."""
    jobs = emulator.leader_cell.jobs.values()
    return [task for job in jobs for task in job.all_tasks() if task.life]


class TestUnevenDay(unittest.TestCase):
    def test_little_work_is_thrown_away(self) -> None:
        """Runs were stopped on machines whose slowness was known, or for a run in the tail.

        On this day, 211 core-seconds were thrown away without lasting speeds, and 60 with them.
        """
        emulator, _ = make_day(1, 1.3, False, 44)
        waste = WasteWatch(emulator)
        emulator.run_until(SECONDS + 10)
        self.assertTrue(emulator.leader_cell.is_uneven)
        self.assertLess(waste.core_s, 120)
        self.assertEqual([], emulator.checks.violations)

    def test_next_leader_learns_again_and_not_from_inherited_runs(self) -> None:
        """The length of an inherited run is unknown: it would make its machine look fast."""
        emulator, _ = make_day(1, 1.0, False, 12)
        emulator.run_until(5.0)
        started = {(task.id, task.run) for task in placed_tasks(emulator)}
        emulator.kill_leader(0.5)
        emulator.run_until(5.6)
        cell = emulator.leader_cell
        self.assertEqual({}, cell.machine_speeds)
        inherited = [task for task in placed_tasks(emulator) if (task.id, task.run) in started]
        self.assertTrue(inherited)
        self.assertFalse(any(task.is_whole_run for task in inherited))
        emulator.run_until(9.0)
        self.assertTrue(cell.machine_speeds)
        self.assertEqual([], emulator.checks.violations)

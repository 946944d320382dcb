"""Emulations of heavy load: bursts on many workers, and wide steps beside many small jobs."""

import unittest

from snowdock.declarations import Size
from snowdock.emulator import Emulator, EmulatorOptions, WorkloadOptions, draw_workload
from snowdock.emulator.report import QueueReport, make_report
from snowdock.emulator.workload import Burst, crowded_mixes, uneven_teams, wide_mixes

SECONDS = 22.0
DRAIN_SECONDS = 12.0
BURSTS = (Burst("lookups", 4.0, 4.0, 2.3), Burst("payouts", 12.0, 4.0, 1.8))


class TestCrowdedCluster(unittest.TestCase):
    """Bursts without injected faults, on workers whose processors are never all in use."""

    reports: dict[str, QueueReport]

    @classmethod
    def setUpClass(cls) -> None:
        workload = WorkloadOptions(SECONDS, 1.0, crowded_mixes(), BURSTS)
        options = EmulatorOptions(workload, workers=270, racks=23, askers=97)
        jobs = draw_workload(1, workload)
        emulator = Emulator(1, options, jobs)
        emulator.run_until(SECONDS + DRAIN_SECONDS)
        report = make_report(emulator, jobs)
        cls.violations = report.violations
        cls.reports = {each.queue: each for each in report.queues}

    def test_no_invariant_is_violated(self) -> None:
        """No task runs twice or on an unfit worker, and no worker is overcommitted."""
        self.assertEqual(self.violations, 0)

    def test_wide_steps_are_not_starved(self) -> None:
        """Wide steps are searched while their tickets are valid, however many steps wait."""
        self.assertGreater(self.reports["recons"].worth, 0.95)
        self.assertGreater(self.reports["payouts"].worth, 0.95)

    def test_small_jobs_beside_wide_steps(self) -> None:
        """Small interactive jobs are served through a burst that doubles their number."""
        self.assertGreater(self.reports["lookups"].worth, 0.85)


class TestTeams(unittest.TestCase):
    """A burst of gangs that few workers may run, from 20 teams with quotas on 176 workers."""

    def test_gangs_are_placed_in_time(self) -> None:
        """Gangs are placed in time, which requires parallel advice requests about all workers."""
        capacity = Size(32_000, 131_072, 0)
        teams = uneven_teams(20, capacity.times(176).scaled(1.6))
        bursts = (Burst("payouts", 6.0, 4.0, 1.7),)
        workload = WorkloadOptions(16.0, 1.1, wide_mixes(), bursts, teams)
        options = EmulatorOptions(workload, 176, capacity, racks=15, askers=45)
        jobs = draw_workload(1, workload)
        emulator = Emulator(1, options, jobs)
        emulator.run_until(16.0 + 14.0)
        report = make_report(emulator, jobs)
        self.assertEqual(report.violations, 0)
        (payouts,) = [each for each in report.queues if each.queue == "payouts"]
        self.assertGreater(payouts.worth, 0.78)


if __name__ == "__main__":
    unittest.main()

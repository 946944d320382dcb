"""Replays of the worst load: bursts on 270 workers, wide steps beside a flood of small work."""

import unittest

from snowdock.emulator import Emulator, EmulatorOptions, WorkloadOptions, draw_workload
from snowdock.emulator.report import QueueReport, make_report
from snowdock.emulator.workload import Burst, crowded_mixes

SECONDS = 22.0
DRAIN_SECONDS = 12.0
BURSTS = (Burst("lookups", 4.0, 4.0, 2.3), Burst("payouts", 12.0, 4.0, 1.8))


class TestCrowd(unittest.TestCase):
    """Nothing fails but what is drawn to fail; the processors are never all in use."""

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

    def test_no_promise_is_broken(self) -> None:
        """No task runs twice, none where it may not, no worker is overfull."""
        self.assertEqual(self.violations, 0)

    def test_wide_steps_are_not_passed_over(self) -> None:
        """Steps are looked at while the advice about them holds, however many wait."""
        self.assertGreater(self.reports["recons"].worth, 0.95)
        self.assertGreater(self.reports["payouts"].worth, 0.95)

    def test_small_work_beside_them(self) -> None:
        """Callers who wait are served through a burst that doubles their number."""
        self.assertGreater(self.reports["lookups"].worth, 0.85)


if __name__ == "__main__":
    unittest.main()

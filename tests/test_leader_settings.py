"""When a new leader takes runs as over whose worker it never learns of."""

import pathlib
import tempfile
import unittest

from snowdock.entry.leader_settings import cell_settings
from snowdock.jobs.cell import CellSettings
from snowdock.jobs.model import JobStatus
from snowdock.jobs.progress import JobProgress, TaskProgress
from snowdock.jobs.takeover import RecordedJobs
from snowdock.jobs.timeouts import ISOLATION_TIMEOUT_SECONDS, LEASE_SECONDS
from snowdock.platform.node_settings import read_node_environment
from tests.jobs_tools import Bench, make_accepted_job
from tests.standins.entry_cluster import SETTINGS

JOB = "a" * 16


def leader_settings(hold_max_ms: int) -> CellSettings:
    """Give the times of a leader where workers grant leases up to a bound."""
    text = SETTINGS.replace("hold_max_ms = 6000", f"hold_max_ms = {hold_max_ms}")
    names = ("node", "ip", "advice", "store")
    ports = ("peer", "front", "ready")
    text = text.format(**dict.fromkeys(names, "x"), **dict.fromkeys(ports, 1))
    with tempfile.TemporaryDirectory() as folder:
        path = pathlib.Path(folder, "settings.toml")
        path.write_text(text)
        return cell_settings(read_node_environment(str(path)))


class TestTakeoverLapse(unittest.TestCase):
    def test_lease_is_capped_at_requested_length(self) -> None:
        """What workers would grant beyond it was never asked."""
        found = leader_settings(hold_max_ms=10_000)
        self.assertEqual(found.lease_s, LEASE_SECONDS)
        self.assertGreater(
            found.unreached_run_expiry_s, ISOLATION_TIMEOUT_SECONDS + LEASE_SECONDS / 0.98
        )
        self.assertLess(
            found.unreached_run_expiry_s, ISOLATION_TIMEOUT_SECONDS + LEASE_SECONDS + 1.0
        )

    def test_shorter_worker_limit_shortens_lapse(self) -> None:
        """Workers that grant less than is asked for bound it as well."""
        found = leader_settings(hold_max_ms=2000)
        self.assertEqual(found.lease_s, 2.0)
        self.assertLess(found.unreached_run_expiry_s, ISOLATION_TIMEOUT_SECONDS + 3.0)


class TestLapseAfterClaim(unittest.TestCase):
    def make_bench(self, claimed_before_s: float) -> Bench:
        """Make a leader that has read all records so long after its claim."""
        bench = Bench(token=9)
        bench.cell.leadership_claimed_at = bench.now - claimed_before_s
        progress = JobProgress(JobStatus.RUNNING, [TaskProgress(0, 0, 0, run=3, life="gone")])
        bench.restore(RecordedJobs({JOB: make_accepted_job()}, set(), {JOB: progress}))
        bench.add_worker("w")
        return bench

    def test_lapse_starts_at_claim(self) -> None:
        """Since then no earlier leader could renew but one that is cut off."""
        bench = self.make_bench(4.0)
        self.assertEqual(bench.starts(bench.tick(5.5)), [])
        self.assertEqual(len(bench.starts(bench.tick(1.0))), 1)

    def test_runs_are_lost_only_after_worker_reports(self) -> None:
        """However long the takeover took, workers that live tell of their runs before."""
        bench = self.make_bench(30.0)
        self.assertEqual(bench.starts(bench.tick(1.5)), [])
        self.assertEqual(len(bench.starts(bench.tick(1.0))), 1)


if __name__ == "__main__":
    unittest.main()

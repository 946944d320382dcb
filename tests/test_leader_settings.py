"""Tests of when a new leader counts runs as lost whose worker it does not know."""

import dataclasses
import pathlib
import tempfile
import types
import unittest

import msgspec

from snowdock.entry.leader_settings import cell_settings
from snowdock.jobs.cell import CellSettings
from snowdock.jobs.model import JobStatus
from snowdock.jobs.progress import JobProgress, TaskProgress
from snowdock.jobs.takeover import RecordedJobs
from snowdock.jobs.timeouts import AUTHORITY_SECONDS, LEASE_SECONDS
from snowdock.platform.node_settings import StoreSettings, read_node_environment
from tests.jobs_tools import DONE, SMALL, Bench, make_accepted_job
from tests.standins.entry_cluster import SETTINGS

JOB = "a" * 16


def leader_settings(
    hold_max_ms: int, *earlier_authority_s: float, contracts: list[str] | None = None
) -> CellSettings:
    """Return the leader settings for a given limit on the leases that workers grant."""
    text = SETTINGS.replace("hold_max_ms = 6000", f"hold_max_ms = {hold_max_ms}")
    names = ("node", "ip", "advice", "store")
    ports = ("peer", "front", "ready")
    text = text.format(**dict.fromkeys(names, "x"), **dict.fromkeys(ports, 1))
    if contracts is not None:
        text = f"contracts = {contracts}\n{text}"
    with tempfile.TemporaryDirectory() as folder:
        path = pathlib.Path(folder, "settings.toml")
        path.write_text(text)
        return cell_settings(read_node_environment(str(path)), *earlier_authority_s)


class TestContracts(unittest.TestCase):
    def test_load_is_summarized_by_contract_only(self) -> None:
        """Guards against new behaviour in deployments whose settings do not call for it."""
        self.assertFalse(leader_settings(6000).summarizes_load)
        self.assertFalse(leader_settings(6000, contracts=["other"]).summarizes_load)
        self.assertTrue(leader_settings(6000, contracts=["other", "pressure"]).summarizes_load)


class TestRunExpiry(unittest.TestCase):
    def test_lease_is_capped_at_requested_length(self) -> None:
        """A larger worker limit does not extend the expiry beyond the requested lease."""
        settings = leader_settings(hold_max_ms=10_000)
        self.assertEqual(settings.lease_s, LEASE_SECONDS)
        self.assertGreater(
            settings.unreached_run_expiry_s, AUTHORITY_SECONDS + LEASE_SECONDS / 0.98
        )
        self.assertLess(settings.unreached_run_expiry_s, AUTHORITY_SECONDS + LEASE_SECONDS + 1.0)

    def test_longer_earlier_authority_extends_expiry(self) -> None:
        """A leader waits for as long as earlier leaders may act."""
        usual = leader_settings(hold_max_ms=10_000).unreached_run_expiry_s
        extended = leader_settings(10_000, AUTHORITY_SECONDS + 1.5).unreached_run_expiry_s
        self.assertAlmostEqual(extended - usual, 1.5)

    def test_shorter_worker_limit_shortens_expiry(self) -> None:
        """A worker limit below the requested lease shortens the expiry."""
        settings = leader_settings(hold_max_ms=2000)
        self.assertEqual(settings.lease_s, 2.0)
        self.assertLess(settings.unreached_run_expiry_s, AUTHORITY_SECONDS + 3.0)


class TestPassTimeShare(unittest.TestCase):
    def test_share_follows_the_cores(self) -> None:
        """A weak leader spends no more time on placement than before, a reference one more."""
        for cores, share in ((0.387, 0.3), (0.75, 0.3), (1.125, 0.4), (1.5, 0.5), (8.0, 0.5)):
            environment = types.SimpleNamespace(
                cpu_cores=cores,
                lease_limit_s=6.0,
                gang_wait_s=3.0,
                early_s=0.25,
                stop_s=0.4,
                status_s=60.0,
                quota_overage=0.0,
                contracts=(),
                store=StoreSettings("127.0.0.1:1", record_bytes=1000, call_bytes=5000),
                max_job_objects=20_000,
                max_job_bytes=30_000,
            )
            settings = cell_settings(environment)
            self.assertAlmostEqual(settings.pass_time_share, share)
            self.assertAlmostEqual(settings.examination_s, 10e-6 / max(1.0, cores))
            limits = (settings.max_record_bytes, settings.max_append_bytes)
            self.assertEqual(limits, (1000, 5000))
            self.assertEqual((settings.max_job_objects, settings.max_job_bytes), (20_000, 30_000))


class TestRunExpiryAfterClaim(unittest.TestCase):
    def make_bench(self, claim_age_s: float) -> Bench:
        """Return a leader that has read all records the given time after its claim."""
        bench = Bench(token=9)
        bench.cell.leadership_claimed_at = bench.now - claim_age_s
        progress = JobProgress(JobStatus.RUNNING, [TaskProgress(0, 0, 0, run=3, life="gone")])
        bench.restore(RecordedJobs({JOB: make_accepted_job()}, set(), {JOB: progress}))
        bench.add_worker("w")
        return bench

    def test_expiry_starts_at_claim(self) -> None:
        """Runs expire at a time after the claim, not after the records were read."""
        bench = self.make_bench(4.0)
        self.assertEqual(bench.starts(bench.tick(5.5)), [])
        self.assertEqual(len(bench.starts(bench.tick(1.0))), 1)

    def test_long_running_task_of_a_lost_worker_waits_for_ranked_work(self) -> None:
        """A long-running task whose run is lost after a takeover is placed before other work."""
        bench = Bench(token=9)
        bench.cell.policy = dataclasses.replace(
            bench.cell.policy, rank=lambda step, now: float(not step.spec.long_running)
        )
        lasting = msgspec.structs.replace(SMALL, long_running=True)
        progress = JobProgress(JobStatus.RUNNING, [TaskProgress(0, 0, 0, run=3, life="gone")])
        bench.restore(RecordedJobs({JOB: make_accepted_job(lasting)}, set(), {JOB: progress}))
        bench.add_worker("w", cpu=1000)
        for _ in range(2):
            bench.submit()
        (first,) = bench.new_starts()
        bench.confirm(first)
        bench.tick(10.5)
        bench.report("w", ended=[(first.order.task, first.order.run, DONE)])
        bench.tick(0.2)
        self.assertEqual([start.order.task.job for start in bench.new_starts()], [JOB])

    def test_runs_are_lost_only_after_worker_reports(self) -> None:
        """Live workers can report their runs first, even if the takeover took longer."""
        bench = self.make_bench(30.0)
        self.assertEqual(bench.starts(bench.tick(1.5)), [])
        self.assertEqual(len(bench.starts(bench.tick(1.0))), 1)


if __name__ == "__main__":
    unittest.main()

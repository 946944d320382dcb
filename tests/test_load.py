"""Tests of the collection of the load summary and of the errors of its predictions."""

import dataclasses
import unittest

import msgspec

from snowdock.declarations import Size
from snowdock.emulator import Emulator, EmulatorOptions, WorkloadOptions, draw_workload
from snowdock.emulator.workload import Burst, default_mixes, uneven_teams
from snowdock.jobs.events import JobAccepted, PublishLoad, RecordPrediction, Ticked
from snowdock.jobs.load_history import LoadHistory, WaitPrediction, is_accurate
from snowdock.jobs.load_summary import LoadSummary, predict_wait
from snowdock.jobs.model import Configuration, JobStatus, Queue, Service, StepSpec
from snowdock.jobs.progress import JobProgress, decode_accepted
from snowdock.jobs.reducer import reduce
from snowdock.jobs.takeover import RecordedJobs
from snowdock.teams import Team, TeamRegistry
from tests.jobs_tools import Bench, filter_by_type, make_accepted_job

QUOTA = Size(2**40, 2**40)
TEAMS = (Team("a", 3.0, QUOTA), Team("b", 1.0, QUOTA), Team("idle", 0.0, QUOTA))
STEP = StepSpec(count=2, size=Size(2000, 1000), estimate_ms=3000)


def make_bench() -> Bench:
    """Return a bench with teams, a queue without a target, and a leader that summarizes load."""
    bench = Bench()
    bench.cell.load_history = LoadHistory(bench.now)
    queue = Queue("q", "", "/q/", "pool", max_attempts=3)
    teams = TeamRegistry(TEAMS)
    bench.cell.configuration = Configuration(2, (queue,), (Service("pool"),), teams=teams)
    return bench


def submit(bench: Bench, number: int, team: str = "", step: StepSpec = STEP) -> None:
    accepted = msgspec.structs.replace(make_accepted_job(step), team=team)
    bench.feed(JobAccepted(f"{number:016x}", accepted))


def summarize(bench: Bench) -> LoadSummary:
    return filter_by_type(bench.tick(0.6), PublishLoad)[-1].summary


class TestCollection(unittest.TestCase):
    def test_sums(self):
        """Guards against a summary that misses work, counts it twice, or misnames it."""
        bench = make_bench()
        bench.add_worker("w1", 4000)
        for number, team in enumerate(("a", "b", "b"), 1):
            submit(bench, number, team)
        summary = summarize(bench)
        service, queue = summary.service("pool"), summary.queue("q")
        self.assertEqual((service.usable.cpu, service.used.cpu), (4000, 4000))
        self.assertEqual(service.largest.cpu, 4000)
        self.assertEqual(queue.waiting_steps, 2)
        self.assertAlmostEqual(queue.waiting_core_s, 24.0)
        self.assertGreater(queue.longest_wait_s, 0.4)
        loads = {team.name: team for team in summary.teams}
        self.assertEqual((loads["a"].share, loads["a"].running_cores), (0.75, 4.0))
        self.assertAlmostEqual(loads["b"].waiting_core_s, 24.0)
        self.assertEqual(loads["b"].running_core_s, 0.0)
        self.assertAlmostEqual(loads["a"].running_core_s, 12.0, delta=4.0)
        self.assertEqual(summary.epoch, bench.cell.token)

    def test_unusable_workers(self):
        """Guards against counting capacity that cannot be used as usable."""
        bench = make_bench()
        for life, cpu in (("w1", 4000), ("draining", 9000), ("quarantined", 8000)):
            bench.add_worker(life, cpu, address=f"{life}:1")
        bench.add_worker("silent", 7000, is_synced=False, address="silent:1")
        bench.drain("draining")
        bench.cell.workers["quarantined"].quarantined_until = bench.now + 9.0
        service = summarize(bench).service("pool")
        self.assertEqual((service.usable.cpu, service.largest.cpu), (4000, 8000))

    def test_unknown_team_and_weight_0(self):
        """Guards against failures for a team that was removed and one without a share."""
        bench = make_bench()
        for number, team in enumerate(("gone", "idle", ""), 1):
            submit(bench, number, team)
        summary = summarize(bench)
        self.assertEqual(
            {(each.name, each.share) for each in summary.teams}, {("gone", 0.0), ("idle", 0.0)}
        )
        for team in ("gone", "idle", ""):
            self.assertGreaterEqual(predict_wait(summary, "q", STEP.size, team), 0.0)

    def test_nothing_without_the_contract(self):
        """Guards against a change of messages where the settings do not call for it."""
        bench = Bench()
        bench.add_worker("w1", 4000)
        submit(bench, 1)
        effects = bench.tick(2.0) + bench.all_effects
        self.assertEqual(filter_by_type(effects, PublishLoad), [])
        self.assertEqual(filter_by_type(effects, RecordPrediction), [])

    def test_wall_clock_jump(self):
        """Guards against waits and intervals measured by a clock that jumps."""
        bench = make_bench()
        submit(bench, 1, "a")
        before = summarize(bench)
        bench.now += 0.6
        effects = reduce(bench.cell, Ticked(2), bench.now, 10**15)
        after = filter_by_type(effects, PublishLoad)[0].summary
        waited = after.queue("q").longest_wait_s - before.queue("q").longest_wait_s
        self.assertAlmostEqual(waited, after.made_at - before.made_at)


class TestReplacedLeader(unittest.TestCase):
    def test_rebuilt_in_a_burst(self):
        """Guards against a new leader that rejects or admits by a summary unlike the old one."""
        teams = uneven_teams(5, Size(2**40, 2**40))
        burst = Burst("recons", 2.0, 4.0, 6.0)
        # Without failing runs, as quarantines are not rebuilt.
        mixes = tuple(dataclasses.replace(mix, failing_share=0.0) for mix in default_mixes())
        workload = WorkloadOptions(6.0, 1.0, mixes, (burst,), teams)
        options = EmulatorOptions(workload, workers=12, summarizes_load=True)
        summaries = []
        for is_replaced in (False, True):
            emulator = Emulator(3, options, draw_workload(3, workload))
            emulator.run_until(5.0)
            if is_replaced:
                emulator.depose_leader()
            emulator.run_until(5.75)
            summaries.append(emulator.leader_cell.load_history.summary)
        old, new = summaries
        self.assertGreater(new.epoch, old.epoch)
        self.assertFalse(new.is_reliable)
        self.assertEqual(new.service("pool").usable, old.service("pool").usable)
        for each in old.queues:
            rebuilt = new.queue(each.name)
            margin = 0.1 * old.queue("recons").waiting_core_s
            self.assertAlmostEqual(rebuilt.waiting_core_s, each.waiting_core_s, delta=margin)
            self.assertAlmostEqual(rebuilt.longest_wait_s, each.longest_wait_s, delta=0.5)
        for each in old.teams:
            self.assertEqual(new.team(each.name).share, each.share)
            self.assertAlmostEqual(
                new.team(each.name).waiting_core_s, each.waiting_core_s, delta=margin
            )


class TestPredictionErrors(unittest.TestCase):
    def test_is_accurate(self):
        """Guards against a tolerance of only one kind, or in one direction."""
        for predicted, observed in ((0.0, 0.25), (0.25, 0.0), (1.0, 2.0), (2.0, 1.0)):
            self.assertTrue(is_accurate(predicted, observed))
        for predicted, observed in ((0.0, 0.3), (0.6, 0.2), (1.0, 2.1)):
            self.assertFalse(is_accurate(predicted, observed))

    def test_reliability(self):
        """Guards against rejections by predictions that are few, or of which many are wrong."""
        history = LoadHistory(0.0)
        for count in range(1, 46):
            history.judge_placement(WaitPrediction(1.0, 0.0), 1.0)
            self.assertEqual(history.is_reliable, count >= 20)
        for count in range(1, 7):
            history.judge_placement(WaitPrediction(1.0, 0.0), 3.0)
            self.assertEqual(history.is_reliable, count <= 5)

    def test_exceeded_wait_counts_at_once(self):
        """Guards against reliable predictions while a sudden overload lets nothing be placed."""
        history = LoadHistory(0.0)
        for _ in range(30):
            history.judge_placement(WaitPrediction(0.1, 0.0), 0.1)
        waiting = [WaitPrediction(0.1, 0.0) for _ in range(4)]
        for now in (0.2, 1.0, 2.0):
            for prediction in waiting:
                history.judge_waiting(prediction, now)
            self.assertEqual(history.is_reliable, now < 1.0)
        for prediction in waiting:
            history.judge_placement(prediction, 2.0)
        for _ in range(6):
            history.judge_placement(WaitPrediction(0.1, 0.0), 0.1)
        self.assertTrue(history.is_reliable)

    def test_observed_at_first_placement(self):
        """Guards against predictions that are never compared, or more than once for a job."""
        bench = make_bench()
        bench.add_worker("w1", 2000)
        summarize(bench)
        submit(bench, 1, "a", StepSpec(count=2, size=Size(1500, 1000), estimate_ms=1000))
        observed = filter_by_type(bench.all_effects, RecordPrediction)
        self.assertEqual([(each.queue, each.observed_s) for each in observed], [("q", 0.0)])
        lines = [each for each in bench.decisions if each.decision == "wait_prediction"]
        self.assertEqual(len(lines), 1)
        bench.tick(1.0)
        self.assertGreater(summarize(bench).queue("q").started_rate, 0.0)


class TestFirstAttempt(unittest.TestCase):
    def test_wait_counts_from_the_first_attempt(self):
        """Guards against ranking the job of a returning caller as new."""
        bench = make_bench()
        for first_seen_ms, waited_s in ((0, 0.0), (97_500, 2.5), (101_000, 0.0), (1, 30.0)):
            accepted = msgspec.structs.replace(make_accepted_job(), first_seen_ms=first_seen_ms)
            bench.feed(JobAccepted(f"{first_seen_ms:016x}", accepted))
            job = bench.cell.jobs[f"{first_seen_ms:016x}"]
            self.assertAlmostEqual(bench.now - job.submitted_at, waited_s)

    def test_restored_wait(self):
        """Guards against losing the caller's wait with the leader."""
        for progress in ({}, {"1": JobProgress(JobStatus.RUNNING, [])}):
            bench = make_bench()
            accepted = msgspec.structs.replace(make_accepted_job(), first_seen_ms=97_500)
            bench.now += 1.0
            bench.restore(RecordedJobs({"1": accepted}, set(), progress))
            self.assertAlmostEqual(bench.now - bench.cell.jobs["1"].submitted_at, 3.5)

    def test_old_record(self):
        """Guards against records of the previous version that no longer decode."""
        accepted = make_accepted_job()
        fields = msgspec.to_builtins(accepted)[:-1]
        self.assertEqual(decode_accepted(msgspec.msgpack.encode(fields)), accepted)

"""Tests of fair shares: which team goes first when resources are scarce."""

import unittest

import msgspec

from snowdock.declarations import Size
from snowdock.jobs.cell import Cell
from snowdock.jobs.events import JobAccepted, LogDecision
from snowdock.jobs.model import Configuration, Queue, Service, StepSpec
from snowdock.jobs.policy import make_policy
from snowdock.jobs.shares import share_used
from snowdock.teams import UNBOUNDED, Team, TeamBook
from tests.jobs_tools import DONE, SETTINGS, Bench, filter_by_type, make_accepted_job

ONE = StepSpec(count=1, size=Size(1000, 100), estimate_ms=1000)
FREE = Size(UNBOUNDED, UNBOUNDED, UNBOUNDED)


def fail_on_alarm(alarm) -> None:
    raise AssertionError(alarm)


class ShareBench(Bench):
    """A harness with the shipped programs and two teams with weights 3 and 1."""

    def __init__(self) -> None:
        super().__init__()
        queue = Queue("q", "", "/q/", "pool", stretch=3.0, target_latency_ms=60_000.0)
        self.cell = Cell(SETTINGS, 1, make_policy(fail_on_alarm, lambda: self.cell), self.now)
        teams = TeamBook([Team("large", 3.0, FREE), Team("small", 1.0, FREE)])
        self.cell.configuration = Configuration(1, (queue,), (Service("pool"),), teams=teams)

    def submit_as(self, name: str) -> str:
        job = f"{next(self._jobs):016x}"
        self.feed(JobAccepted(job, msgspec.structs.replace(make_accepted_job(ONE), team=name)))
        return job


class TestShares(unittest.TestCase):
    def setUp(self) -> None:
        self.bench = ShareBench()
        self.bench.add_worker(cpu=4000)

    def start_jobs(self, name: str, count: int) -> None:
        for _ in range(count):
            self.bench.submit_as(name)
            self.bench.tick(0.1)
        for start in self.bench.starts(self.bench.all_effects)[-count:]:
            self.bench.confirm(start)

    def end_first_run(self) -> None:
        first = self.bench.starts(self.bench.all_effects)[0].order
        self.bench.report("w", ended=[(first.task, 1, DONE)])
        self.bench.tick(0.6)

    @property
    def newest_job(self) -> str:
        return self.bench.starts(self.bench.all_effects)[-1].order.task.job

    def test_share_is_weighted(self) -> None:
        """Half of all resources is twice the share of a team with a quarter of the weight."""
        self.start_jobs("small", 2)
        self.assertAlmostEqual(share_used(self.bench.cell, "small"), 2.0)
        self.assertEqual(share_used(self.bench.cell, "large"), 0.0)
        self.assertEqual(share_used(self.bench.cell, ""), 0.0)

    def test_idle_room_may_exceed_the_share(self) -> None:
        """A team may use idle resources beyond its share."""
        self.start_jobs("small", 4)
        self.assertEqual(len(self.bench.starts(self.bench.all_effects)), 4)

    def test_free_room_goes_to_the_team_below_its_share(self) -> None:
        """On a full worker, a team below its share goes first, although it submitted last."""
        self.start_jobs("small", 4)
        for _ in range(36):
            self.bench.submit_as("small")
        late = self.bench.submit_as("large")
        self.bench.tick(0.6)
        self.end_first_run()
        self.assertEqual(self.newest_job, late)

    def test_team_usage_is_logged(self) -> None:
        """The usage of each team with waiting steps is logged every second."""
        self.start_jobs("small", 4)
        self.bench.submit_as("small")
        logged = [
            e for e in filter_by_type(self.bench.tick(1.2), LogDecision) if e.decision == "team_use"
        ]
        fields = dict(logged[-1].fields)
        self.assertEqual((logged[-1].subject, fields["waiting"]), ("small", 1))
        self.assertAlmostEqual(fields["of_share"], 4.0)

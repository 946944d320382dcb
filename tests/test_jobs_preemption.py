"""Tests of preemption for gangs: the choice of victims, and claims on the freed resources."""

import dataclasses
import unittest

import msgspec

from snowdock.declarations import Size
from snowdock.jobs.candidates import count_fitting
from snowdock.jobs.events import SendStart, SendStop
from snowdock.jobs.orders import EndKind
from tests.jobs_tools import SMALL, Bench, filter_by_type

PREEMPTIBLE = msgspec.structs.replace(SMALL, checkpointing=True)
GANG = msgspec.structs.replace(SMALL, gang=True)


class TestPreemption(unittest.TestCase):
    def setUp(self) -> None:
        self.bench = Bench()
        self.may_preempt = True
        self.bench.cell.policy = dataclasses.replace(
            self.bench.cell.policy,
            may_preempt=lambda step, other, now: self.may_preempt,
            rank=lambda step, now: 1.0 if step.spec.gang else 0.0,
        )
        for life in ("w1", "w2"):
            self.bench.add_worker(life, cpu=2000)

    def fill_workers(self, spec=PREEMPTIBLE, count: int = 4) -> list[SendStart]:
        """Fill the workers with confirmed runs of one step."""
        self.bench.submit(msgspec.structs.replace(spec, count=count))
        starts = self.bench.starts()
        for start in starts:
            self.bench.confirm(start)
        return starts

    def submit_gang(self, count: int = 3) -> list[SendStop]:
        self.bench.now += 0.01
        self.bench.submit(msgspec.structs.replace(GANG, count=count))
        return filter_by_type(self.bench.effects, SendStop)

    def end_stopped_runs(self, stops: list[SendStop]) -> list[SendStart]:
        """Report the ends of stopped runs, and return the resulting starts."""
        before = len(self.bench.starts(self.bench.all_effects))
        for life in sorted({stop.life for stop in stops}):
            self.bench.now += 0.01
            ends = [
                (stop.order.task, stop.order.run, EndKind.STOPPED)
                for stop in stops
                if stop.life == life
            ]
            self.bench.report(life, ended=ends)
        self.bench.tick(0.2)
        return self.bench.starts(self.bench.all_effects)[before:]

    def test_preempted_runs_free_room(self) -> None:
        """As many runs are stopped as a gang needs, and the gang starts once they have ended."""
        self.fill_workers()
        stops = self.submit_gang()
        self.assertEqual(len(stops), 3)
        started = self.end_stopped_runs(stops)
        gang = [start for start in started if start.order.task.job.endswith("2")]
        self.assertEqual(len(gang), 3)
        # The preempted step may have reservations; the gang keeps no claim.
        kept = [self.bench.cell.claims]
        kept += [worker.room_holds for worker in self.bench.cell.workers.values()]
        gangs = {start.order.task.job for start in gang}
        self.assertEqual([key for keys in kept for key in keys if key[0] in gangs], [])

    def test_nothing_is_stopped_without_enough_room(self) -> None:
        """No run is stopped if preempting all eligible runs would not suffice."""
        self.fill_workers()
        self.assertEqual(self.submit_gang(count=5), [])

    def test_runs_without_checkpoints_are_not_preempted(self) -> None:
        """A run without checkpoints is not preempted, as it would lose its progress."""
        self.fill_workers(SMALL)
        self.assertEqual(self.submit_gang(), [])

    def test_policy_may_forbid_preemption(self) -> None:
        """No run is preempted if the policy program does not permit it."""
        self.may_preempt = False
        self.fill_workers()
        self.assertEqual(self.submit_gang(), [])

    def test_claimed_room_is_kept(self) -> None:
        """Claimed room is not used by other steps."""
        self.fill_workers(count=2)
        stops = self.submit_gang(count=4)
        self.assertEqual(len(stops), 2)
        before = len(self.bench.starts(self.bench.all_effects))
        self.bench.now += 0.01
        self.bench.submit()
        self.bench.tick(0.2)
        self.assertEqual(len(self.bench.starts(self.bench.all_effects)), before)

    def test_unused_claim_expires(self) -> None:
        """A claim expires if the stopped runs do not end in time."""
        self.fill_workers(count=2)
        self.submit_gang(count=4)
        before = len(self.bench.starts(self.bench.all_effects))
        self.bench.submit()
        self.bench.tick(2.0)
        self.assertEqual(len(self.bench.starts(self.bench.all_effects)), before + 1)

    def test_fewest_runs_are_stopped(self) -> None:
        """The workers with the fewest victims are chosen."""
        half = msgspec.structs.replace(PREEMPTIBLE, size=Size(500, 100))
        self.bench.cell.workers["w2"].quarantined_until = self.bench.now + 0.005
        self.fill_workers(half, count=4)
        self.bench.now += 0.01
        self.fill_workers(PREEMPTIBLE, count=2)
        stops = self.submit_gang(count=2)
        self.assertEqual([stop.life for stop in stops], ["w2", "w2"])

    def test_worker_on_probation_offers_no_room(self) -> None:
        """Neither free room nor preemptible runs of a worker on probation are considered."""
        self.fill_workers(count=1)
        (busy,) = [w for w in self.bench.cell.workers.values() if w.runs]
        busy.probation_run = next(iter(busy.runs))
        busy.probation_until = self.bench.now + 60
        self.assertEqual(self.submit_gang(count=3), [])
        self.assertEqual(self.bench.cell.claims, {})

    def test_preemptions_of_a_task_are_bounded(self) -> None:
        """A task that was preempted twice is not preempted again."""
        starts = self.fill_workers()
        for start in starts:
            self.bench.cell.find_task(start.order.task).preemptions = 2
        self.assertEqual(self.submit_gang(), [])

    def test_negative_room_fits_no_task(self) -> None:
        """The number of fitting tasks is zero if the free room is negative."""
        self.assertEqual(count_fitting(Size(-1500, 100, 0), Size(1000, 10, 0)), 0)

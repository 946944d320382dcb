"""Tests of making room for gangs: who yields, what is kept, and what is given back."""

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
        self.yields = True
        self.bench.cell.policy = dataclasses.replace(
            self.bench.cell.policy,
            yields=lambda step, other, now: self.yields,
            rank=lambda step, now: 1.0 if step.spec.gang else 0.0,
        )
        for life in ("w1", "w2"):
            self.bench.add_worker(life, cpu=2000)

    def fill_workers(self, spec=PREEMPTIBLE, count: int = 4) -> list[SendStart]:
        """Have all room taken by runs of one step, as their workers report."""
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
        """Have workers list the ends of stopped runs; give the starts that follow."""
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

    def test_yielding_runs_make_room(self) -> None:
        """As many runs are stopped as the gang needs, and it starts once they have ended."""
        self.fill_workers()
        stops = self.submit_gang()
        self.assertEqual(len(stops), 3)
        started = self.end_stopped_runs(stops)
        gang = [start for start in started if start.order.task.job.endswith("2")]
        self.assertEqual(len(gang), 3)
        # What has yielded waits for room to come and may have reserved it; the gang keeps none.
        kept = [self.bench.cell.claims]
        kept += [worker.room_holds for worker in self.bench.cell.workers.values()]
        gangs = {start.order.task.job for start in gang}
        self.assertEqual([key for keys in kept for key in keys if key[0] in gangs], [])

    def test_nothing_is_stopped_without_enough_room(self) -> None:
        """Where all that yields would not be enough, nothing is stopped."""
        self.fill_workers()
        self.assertEqual(self.submit_gang(count=5), [])

    def test_runs_without_checkpoints_are_not_preempted(self) -> None:
        """A run without checkpoints would have to begin again; it is left alone."""
        self.fill_workers(SMALL)
        self.assertEqual(self.submit_gang(), [])

    def test_policy_decides(self) -> None:
        """What the operators' program does not name yields to nobody."""
        self.yields = False
        self.fill_workers()
        self.assertEqual(self.submit_gang(), [])

    def test_claimed_room_is_kept(self) -> None:
        """Room that is being made goes to nobody else meanwhile."""
        self.fill_workers(count=2)
        stops = self.submit_gang(count=4)
        self.assertEqual(len(stops), 2)
        before = len(self.bench.starts(self.bench.all_effects))
        self.bench.now += 0.01
        self.bench.submit()
        self.bench.tick(0.2)
        self.assertEqual(len(self.bench.starts(self.bench.all_effects)), before)

    def test_claim_without_an_outcome_ends(self) -> None:
        """Room is given back where the stopped runs do not end in time."""
        self.fill_workers(count=2)
        self.submit_gang(count=4)
        before = len(self.bench.starts(self.bench.all_effects))
        self.bench.submit()
        self.bench.tick(2.0)
        self.assertEqual(len(self.bench.starts(self.bench.all_effects)), before + 1)

    def test_fewest_runs_are_stopped(self) -> None:
        """Of workers with room to make, those are taken where the fewest runs have to yield."""
        half = msgspec.structs.replace(PREEMPTIBLE, size=Size(500, 100))
        self.bench.cell.workers["w2"].quarantined_until = self.bench.now + 0.005
        self.fill_workers(half, count=4)
        self.bench.now += 0.01
        self.fill_workers(PREEMPTIBLE, count=2)
        stops = self.submit_gang(count=2)
        self.assertEqual([stop.life for stop in stops], ["w2", "w2"])

    def test_worker_on_trial_offers_no_room(self) -> None:
        """Room on a worker that is being proved is not counted as free, nor made there."""
        self.fill_workers(count=1)
        (busy,) = [w for w in self.bench.cell.workers.values() if w.runs]
        busy.probation_run = next(iter(busy.runs))
        busy.probation_until = self.bench.now + 60
        self.assertEqual(self.submit_gang(count=3), [])
        self.assertEqual(self.bench.cell.claims, {})

    def test_preemptions_of_a_task_are_bounded(self) -> None:
        """A task that was stopped twice to make room is left alone."""
        starts = self.fill_workers()
        for start in starts:
            self.bench.cell.find_task(start.order.task).preemptions = 2
        self.assertEqual(self.submit_gang(), [])

    def test_room_is_never_negative(self) -> None:
        """Where more is claimed than is free, nothing fits; it does not count backwards."""
        self.assertEqual(count_fitting(Size(-1500, 100, 0), Size(1000, 10, 0)), 0)

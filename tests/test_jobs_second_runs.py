"""Tests that no proof of a run's end holds while the run may still start or go on."""

import types
import unittest

from snowdock.entry.leadership import Leadership
from snowdock.jobs.events import RenewAnswered, WorkerDelisted
from snowdock.jobs.lives import format_life
from snowdock.jobs.model import JobStatus
from snowdock.jobs.orders import Refusal
from snowdock.node.metrics import Metrics
from tests.jobs_tools import DONE, Bench, disconnect_worker
from tests.standins.entry_cluster import wait_until

UNDATED, EARLIER, KNOWN, LATER = "i-1", *(format_life("i-1", born) for born in (100, 200, 300))


class TestEpochs(unittest.TestCase):
    """A leader's epoch is its token and its producer epoch, so that each leader needs its own."""

    def setUp(self) -> None:
        self.contexts: list[int] = []
        self.step_downs: list[str] = []
        self.election = types.SimpleNamespace(own_epoch=0, turnover=0, step_down=self.step_down)
        self.leadership = Leadership(self.election, object, self.make_context, Metrics())
        self.leadership.start()

    def step_down(self, reason: str) -> None:
        self.election.own_epoch = 0
        self.step_downs.append(reason)

    def make_context(self, epoch: int) -> object:
        self.contexts.append(epoch)
        self.election.own_epoch = 0
        return types.SimpleNamespace()

    def elect(self, epoch: int) -> None:
        self.election.own_epoch = epoch
        self.leadership.begin(epoch)

    def test_second_leader_in_the_same_epoch(self) -> None:
        """An epoch that this node reads back as its own starts no second leader."""
        self.elect(7)
        self.assertTrue(wait_until(lambda: self.contexts == [7]))
        self.elect(7)
        self.assertEqual(len(self.step_downs), 1)
        self.elect(9)
        self.assertTrue(wait_until(lambda: len(self.contexts) > 1))
        self.assertEqual(self.contexts, [7, 9])


class TestListedLives(unittest.TestCase):
    """An entry proves the end of the life before only if it states a later start."""

    def setUp(self) -> None:
        self.bench = Bench()
        self.bench.add_worker(KNOWN)
        self.job = self.bench.submit()
        (start,) = self.bench.new_starts()
        self.bench.confirm(start)
        self.order = start.order
        self.bench.add_worker("other")

    def list_life(self, life: str) -> None:
        self.bench.add_worker(life, is_synced=False)

    def report(self, percent: int) -> None:
        self.bench.report(KNOWN, running=[(self.order.task, self.order.run, percent)])

    def test_run_is_placed_again_beside_a_life_that_goes_on(self) -> None:
        """An entry without a start, or with an earlier one, doesn't end the life that answers."""
        for life in (UNDATED, EARLIER):
            with self.subTest(life=life):
                self.list_life(life)
                for percent in range(10, 40):
                    self.report(percent)
                    self.bench.tick(0.2)
                self.assertEqual(self.bench.new_starts(), [])
                self.assertNotIn(life, self.bench.cell.workers)
        self.list_life(KNOWN)
        self.bench.report(KNOWN, ended=[(self.order.task, self.order.run, DONE)])
        self.assertIs(self.bench.cell.jobs[self.job].status, JobStatus.COMPLETED)
        self.assertEqual(self.bench.cell.unproven_entries, {})

    def test_earlier_start_counts_once_the_life_before_has_ended(self) -> None:
        """After a clock was set back, the worker's answer proves the next life at once."""
        order = self.bench.await_renewal(KNOWN)
        self.list_life(EARLIER)
        self.bench.feed(RenewAnswered(KNOWN, order, Refusal.NEXT_LIFE))
        self.assertEqual(list(self.bench.cell.workers), ["other", EARLIER])
        self.bench.tick(0.2)
        (again,) = self.bench.new_starts()
        self.assertEqual(again.order.run, 2)

    def test_life_before_is_asked_at_once(self) -> None:
        """A life whose end is not proven is looked at, if no call to it is on its way."""
        self.bench.cell.workers[KNOWN].is_renewing = False
        self.bench.renewals.clear()
        self.list_life(EARLIER)
        self.assertIn(KNOWN, self.bench.renewals)

    def test_life_before_stays_silent(self) -> None:
        """An earlier start counts once the leases of the silent life before have expired."""
        self.list_life(EARLIER)
        disconnect_worker(self.bench, KNOWN, 3.0)
        self.assertEqual(self.bench.new_starts(), [])
        disconnect_worker(self.bench, KNOWN, 4.0)
        self.assertEqual(list(self.bench.cell.workers), ["other", EARLIER])
        self.assertEqual([each.order.run for each in self.bench.new_starts()], [2])

    def test_entry_that_proves_nothing_goes(self) -> None:
        """With its entry, a life that was never proven is forgotten."""
        self.list_life(EARLIER)
        self.bench.feed(WorkerDelisted(EARLIER, False))
        self.bench.feed(RenewAnswered(KNOWN, self.bench.await_renewal(KNOWN), Refusal.OTHER_LIFE))
        cell = self.bench.cell
        self.assertEqual((list(cell.workers), cell.unproven_entries), (["other"], {}))

    def test_later_start_is_proof(self) -> None:
        """An entry with a later start ends the life before at once."""
        self.list_life(LATER)
        self.bench.tick(0.2)
        self.assertEqual([each.order.run for each in self.bench.new_starts()], [2])


if __name__ == "__main__":
    unittest.main()

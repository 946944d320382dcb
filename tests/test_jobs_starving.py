"""Tests of the log events of starving jobs, quarantines and overdue runs."""

import unittest

from snowdock.jobs.events import Decided
from snowdock.jobs.model import JobStatus
from snowdock.jobs.orders import EndKind
from snowdock.jobs.set_aside import set_aside
from snowdock.jobs.workers import AsideCause
from tests.jobs_tools import Bench, of_type


def told(effects, decision: str) -> list[dict]:
    found = of_type(effects, Decided)
    return [dict(each.fields) for each in found if each.decision == decision]


class TestSight(unittest.TestCase):
    def setUp(self) -> None:
        self.bench = Bench(attempts=4)
        self.bench.add_worker("w")

    def test_worker_set_aside_and_back(self) -> None:
        """Both are logged with the cause and the number of workers quarantined for it."""
        worker = self.bench.cell.workers["w"]
        set_aside(self.bench.cell, worker, AsideCause.REFUSED, 1.0, self.bench.now)
        self.bench.tick(0.1)
        (aside,) = told(self.bench.seen, "worker_set_aside")
        self.assertEqual((aside["cause"], aside["aside"], aside["workers"]), ("refused", 1, 1))
        self.assertEqual(told(self.bench.seen, "worker_back"), [])
        (back,) = told(self.bench.tick(1.5), "worker_back")
        self.assertEqual((back["cause"], back["aside"]), ("refused", 0))

    def test_job_that_starves(self) -> None:
        """A starving job is logged after a second, with the reasons that exclude workers."""
        self.bench.cell.workers["w"].aside_until = self.bench.now + 60
        job = self.bench.submit()
        self.assertEqual(told(self.bench.tick(0.9), "job_starves"), [])
        first = told(self.bench.tick(2.0), "job_starves")[0]
        self.assertEqual((first["open"], first["aside"], first["idle_steps"]), (0, 1, 1))
        self.assertEqual(self.bench.cell.jobs[job].status.name, "PENDING")

    def test_job_that_waits_for_room_does_not_starve(self) -> None:
        """Jobs that wait because too little room is free are not logged as starving."""
        self.bench.add_worker("busy", cpu=1000)
        for life in ("w", "busy"):
            self.bench.cell.workers[life].aside_until = self.bench.now + 60
        self.bench.cell.workers["w"].used = self.bench.cell.workers["w"].entry.capacity
        self.bench.submit()
        self.assertEqual(told(self.bench.tick(3.0), "job_starves"), [])

    def test_run_that_takes_too_long(self) -> None:
        """An overdue run is logged with its phase, its age and that of the last report."""
        self.bench.submit()
        (start,) = self.bench.new_starts()
        self.bench.confirm(start)
        self.assertEqual(told(self.bench.tick(9.0), "run_overdue"), [])
        found = told(self.bench.tick(6.0), "run_overdue")[0]
        self.assertEqual((found["phase"], found["worker"], found["overdue"]), ("running", "w", 1))
        self.assertGreater(found["since_s"], 10.0)
        self.assertGreater(found["heard_s"], 9.0)

    def test_run_counts_as_there_though_its_worker_lists_its_end(self) -> None:
        """An end with a processed number is logged and applied if its run is still tracked."""
        job = self.bench.submit()
        (start,) = self.bench.new_starts()
        self.bench.confirm(start)
        self.bench.cell.workers["w"].known_ends = 7
        order = start.order
        self.bench.report("w", ended=[(order.task, order.run, EndKind.DONE)])
        (found,) = told(self.bench.effects, "end_passed_over")
        self.assertEqual((found["run"], found["number"], found["known_ends"]), (1, 1, 7))
        self.assertIs(self.bench.cell.jobs[job].status, JobStatus.COMPLETED)


if __name__ == "__main__":
    unittest.main()

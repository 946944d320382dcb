"""Tests of the log events of starving jobs, quarantines and overdue runs."""

import unittest

from snowdock.declarations import Size
from snowdock.jobs.events import LogDecision
from snowdock.jobs.model import AdviceTerms, JobStatus, StepSpec
from snowdock.jobs.orders import EndKind
from snowdock.jobs.quarantine import quarantine
from snowdock.jobs.workers import QuarantineCause, RoomHold
from tests.jobs_tools import Bench, filter_by_type


def decision_fields(effects, decision: str) -> list[dict]:
    found = filter_by_type(effects, LogDecision)
    return [dict(each.fields) for each in found if each.decision == decision]


class TestStarvationLog(unittest.TestCase):
    def setUp(self) -> None:
        self.bench = Bench(attempts=4)
        self.bench.add_worker("w")

    def test_quarantine_and_release_are_logged(self) -> None:
        """Both are logged with the cause and the number of workers quarantined for it."""
        worker = self.bench.cell.workers["w"]
        quarantine(self.bench.cell, worker, QuarantineCause.REFUSED, 1.0, self.bench.now)
        self.bench.tick(0.1)
        (aside,) = decision_fields(self.bench.all_effects, "worker_set_aside")
        self.assertEqual((aside["cause"], aside["aside"], aside["workers"]), ("refused", 1, 1))
        self.assertEqual(decision_fields(self.bench.all_effects, "worker_back"), [])
        (back,) = decision_fields(self.bench.tick(1.5), "worker_back")
        self.assertEqual((back["cause"], back["aside"]), ("refused", 0))

    def test_starving_job_is_logged(self) -> None:
        """A starving job is logged after a second, with the reasons that exclude workers."""
        self.bench.cell.workers["w"].quarantined_until = self.bench.now + 60
        job = self.bench.submit()
        self.assertEqual(decision_fields(self.bench.tick(0.9), "job_starves"), [])
        first = decision_fields(self.bench.tick(2.0), "job_starves")[0]
        self.assertEqual((first["open"], first["aside"], first["idle_steps"]), (0, 1, 1))
        self.assertEqual(self.bench.cell.jobs[job].status.name, "PENDING")

    def test_job_waiting_for_room_is_not_logged(self) -> None:
        """Jobs that wait because too little room is free are not logged as starving."""
        self.bench.add_worker("busy", cpu=1000)
        for life in ("w", "busy"):
            self.bench.cell.workers[life].quarantined_until = self.bench.now + 60
        self.bench.cell.workers["w"].used = self.bench.cell.workers["w"].entry.capacity
        self.bench.submit()
        self.assertEqual(decision_fields(self.bench.tick(3.0), "job_starves"), [])

    def test_waiting_long_running_task_is_logged(self) -> None:
        """A long-running task that waits beside room is logged, although other tasks run."""
        for life in ("w2", "w3"):
            self.bench.add_worker(life, address=life)
        step = StepSpec(count=2, size=Size(1000, 1000), long_running=True, most_per_worker=1)
        self.bench.submit(step)
        kept, ended = self.bench.new_starts()
        for start in (kept, ended):
            self.bench.confirm(start)
        for worker in self.bench.cell.workers.values():
            quarantine(self.bench.cell, worker, QuarantineCause.UNANSWERED, 60.0, self.bench.now)
        order = ended.order
        self.bench.report(ended.life, ended=[(order.task, order.run, EndKind.FAILED)])
        self.assertEqual(decision_fields(self.bench.tick(1.8), "long_running_task_waits"), [])
        found = decision_fields(self.bench.tick(1.5), "long_running_task_waits")[0]
        self.assertEqual(found["task"], order.task)
        self.assertEqual((found["tasks"], found["running"]), (1, 1))
        self.assertEqual((found["open"], found["aside"]), (0, 3))
        self.assertEqual(decision_fields(self.bench.all_effects, "job_starves"), [])

    def test_wait_of_a_task_without_any_run(self) -> None:
        """The wait of a task that never ran is counted from its job's acceptance."""
        for life in ("w2", "w3"):
            self.bench.add_worker(life, address=life)
            self.bench.cell.workers[life].quarantined_until = self.bench.now + 60
        step = StepSpec(count=3, size=Size(1000, 1000), long_running=True, most_per_worker=1)
        self.bench.submit(step)
        (start,) = self.bench.new_starts()
        self.bench.confirm(start)
        self.assertEqual(decision_fields(self.bench.tick(1.8), "long_running_task_waits"), [])
        found = decision_fields(self.bench.tick(1.5), "long_running_task_waits")[0]
        self.assertLess(found["waiting_s"], 3.4)

    def test_starving_job_without_a_request_is_logged(self) -> None:
        """A job that may not ask yet is logged with the requests that are pending instead."""
        bench = Bench(advice=AdviceTerms(560.0, 8.0, 2000.0))
        bench.add_worker("w")
        asking, _, _, held_up = (bench.submit() for _ in range(4))
        bench.tick(2.1)
        lines = {
            effect.subject: dict(effect.fields)
            for effect in filter_by_type(bench.all_effects, LogDecision)
            if effect.decision == "job_starves"
        }
        first, second = lines[asking], lines[held_up]
        self.assertEqual((first["asking"], first["obstacle"]), (1, "pending"))
        self.assertEqual((second["asking"], second["obstacle"]), (0, "limit"))
        self.assertEqual((second["pending"], second["limit"], second["nodes"]), (3, 2.5, 2))
        self.assertLess(second["searched_s"], 0.2)
        self.assertGreater(second["asked_s"], 1.0)

    def test_reserved_room_is_logged_before_a_missing_ticket(self) -> None:
        """A worker whose room is reserved counts as such, although its ticket is missing too."""
        bench = Bench(advice=AdviceTerms(170.0, 2.4, 2000.0))
        bench.add_worker("w")
        bench.submit()
        worker = bench.cell.workers["w"]
        worker.room_holds["other", 0, 0] = RoomHold(worker.entry.capacity)
        line = decision_fields(bench.tick(2.2), "job_starves")[0]
        self.assertEqual(line["reserved"], 1)
        self.assertNotIn("ticket", line)

    def test_steps_beside_running_tasks_are_not_idle(self) -> None:
        """Waiting tasks of a job that runs others are not counted as idle."""
        step = StepSpec(count=2, size=Size(1000, 1000), most_per_worker=1)
        self.bench.submit(step)
        (start,) = self.bench.new_starts()
        self.bench.confirm(start)
        self.bench.cell.workers["w"].quarantined_until = self.bench.now + 60
        self.bench.submit()
        line = decision_fields(self.bench.tick(2.2), "job_starves")[0]
        self.assertEqual(line["idle_steps"], 1)

    def test_overdue_run_is_logged(self) -> None:
        """An overdue run is logged with its phase, its age and that of the last report."""
        self.bench.submit()
        (start,) = self.bench.new_starts()
        self.bench.confirm(start)
        self.assertEqual(decision_fields(self.bench.tick(9.0), "run_overdue"), [])
        found = decision_fields(self.bench.tick(6.0), "run_overdue")[0]
        self.assertEqual((found["phase"], found["worker"], found["overdue"]), ("running", "w", 1))
        self.assertGreater(found["since_s"], 10.0)
        self.assertGreater(found["heard_s"], 9.0)

    def test_passed_over_end_is_logged_and_applied(self) -> None:
        """An end with a processed number is logged and applied if its run is still tracked."""
        job = self.bench.submit()
        (start,) = self.bench.new_starts()
        self.bench.confirm(start)
        self.bench.cell.workers["w"].last_processed_end = 7
        order = start.order
        self.bench.report("w", ended=[(order.task, order.run, EndKind.DONE)])
        (found,) = decision_fields(self.bench.effects, "end_passed_over")
        self.assertEqual((found["run"], found["number"], found["known_ends"]), (1, 1, 7))
        self.assertIs(self.bench.cell.jobs[job].status, JobStatus.COMPLETED)


if __name__ == "__main__":
    unittest.main()

"""Tests of sync orders for workers and of the records derived from their answers."""

import unittest

from snowdock.decisions.orders import build_order
from snowdock.decisions.worker_reports import derive_records
from snowdock.declarations import Size, WorkSpec
from snowdock.platform.workers import AttemptReport, StopOrder, SyncAnswer
from snowdock.records import AttemptEnded, AttemptStarted, WorkerSeen
from snowdock.state import State, Task, TaskState, VmState, Work, Worker

SIZE = Size(1000, 1024)


def make_answer(boot: str = "b", **attempts: str) -> SyncAnswer:
    named = {name.strip("_").replace("_", "."): AttemptReport(t) for name, t in attempts.items()}
    return SyncAnswer("w", boot, 4000, 4096, 0, named)


class OrderCase(unittest.TestCase):
    def setUp(self) -> None:
        tasks = [
            Task(TaskState.PLACED, 1, "w"),
            Task(TaskState.RUNNING, 2, "w"),
            Task(TaskState.RUNNING, 1, "w", stopping=True),
            Task(TaskState.QUEUED, 3),
        ]
        spec = WorkSpec("batch", "x", "t", len(tasks), SIZE)
        held = {"7.0.1": SIZE, "7.1.2": SIZE, "7.2.1": SIZE}
        worker = Worker("w", "b", Size(4000, 4096), "r", "h", "http://w", attempts=held)
        self.state = State(
            works={7: Work(7, "k", spec, tasks, 0, open_tasks=4)}, workers={"w": worker}
        )


class TestBuildOrder(OrderCase):
    def test_order_starts_renews_and_stops_attempts(self) -> None:
        """Placed attempts are started, running ones renewed, stopping ones stopped."""
        order = build_order(self.state, "w", {}, 5).order
        self.assertEqual([start.attempt for start in order.start], ["7.0.1"])
        self.assertEqual(order.renew, ["7.1.2"])
        self.assertEqual(order.stop, [StopOrder("7.2.1", "checkpoint")])
        self.assertEqual(order.boot, "b")

    def test_a_gone_worker_gets_no_order(self) -> None:
        """Leases on a worker that the log records as gone are not renewed."""
        self.state.workers["w"].state = VmState.GONE
        self.assertIsNone(build_order(self.state, "w", {}, 5))

    def test_only_closed_attempts_are_stopped(self) -> None:
        """A lagging node does not stop attempts whose records it has not read yet."""
        running = AttemptReport("running")
        reports = {"7.3.3": running, "7.3.4": running, "9.0.1": running, "junk": running}
        reports["7.3.2"] = AttemptReport("succeeded")
        order = build_order(self.state, "w", reports, 5).order
        self.assertEqual(order.stop[1:], [StopOrder("7.3.3", "stop")])
        self.assertEqual(order.forget, ["7.3.2"])


class TestDeriveRecords(OrderCase):
    def derive(self, sync_answer: SyncAnswer) -> list:
        return derive_records(self.state, "w", sync_answer)

    def test_starts_and_ends_are_recorded_once(self) -> None:
        """Records are derived only for changes that the state does not contain yet."""
        answer = make_answer(
            _7_0_1="running", _7_1_2="running", _7_2_1="stopped", _7_3_3="succeeded"
        )
        self.assertEqual(
            self.derive(answer), [AttemptStarted(7, 0, 1), AttemptEnded(7, 2, 1, "stopped")]
        )

    def test_answer_of_another_boot_records_only_the_boot(self) -> None:
        """If a worker has rebooted, only its new boot is recorded."""
        answer = make_answer("c", _7_1_2="absent")
        seen = WorkerSeen("w", "c", Size(4000, 4096, 0), "r", "h", "http://w")
        self.assertEqual(self.derive(answer), [seen])

    def test_unknown_attempts_are_ignored(self) -> None:
        """No records are derived for unknown workers, works and tasks or invalid ids."""
        self.assertEqual(
            self.derive(make_answer(_9_0_1="failed", _7_9_1="failed", junk="failed")), []
        )
        self.assertEqual(derive_records(self.state, "unknown", make_answer()), [])

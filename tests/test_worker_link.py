"""Tests of the calls to one worker, against a server that misbehaves."""

import json
import queue
import unittest

from snowdock.entry.worker_link import WorkerLink
from snowdock.jobs.events import RenewAnswered, StartAnswered, StopAnswered
from snowdock.jobs.model import TaskId
from snowdock.jobs.orders import Refusal, RenewOrder, StartOrder, StopOrder, WorkerReport
from snowdock.node.metrics import Metrics
from tests.standins.platform import Server, as_json

TASK = TaskId("a" * 16, 0, 0, 0)
START = StartOrder(TASK, 1, "payload", 7, 5000, "saved", "ticket")
STOP = StopOrder(TASK, 1, 7)
RENEW = RenewOrder(7, 3, 5000, 0, 0.0)


class TestWorkerLink(unittest.TestCase):
    def setUp(self) -> None:
        self.answers: list = []
        self.calls: list[dict] = []
        self.server = Server(self.answer)
        self.posted: queue.Queue = queue.Queue()
        self.link = WorkerLink("i-1", self.server.address, self.posted.put, Metrics())

    def tearDown(self) -> None:
        self.link.close()
        self.server.close()

    def answer(self, method, path, query, body, environ):
        call = json.loads(body) | {"life": environ["HTTP_X_EXPECTED_INSTANCE"], "path": path}
        self.calls.append(call)
        return self.answers.pop(0)

    def next(self):
        return self.posted.get(timeout=10)

    def test_start_carries_everything(self) -> None:
        """Token, lease, checkpoint, ticket and the life that is meant are sent."""
        self.answers = [as_json({"clock_ms": 12})]
        self.link.order(START)
        event = self.next()
        self.assertIsInstance(event, StartAnswered)
        self.assertEqual((event.result.refusal, event.result.clock_ms), (None, 12))
        call = self.calls[0]
        self.assertEqual(call["task"], f"{TASK.job}.0.0.0")
        self.assertEqual(
            (call["fencing_token"], call["deadline_ms"], call["checkpoint"], call["ticket"]),
            (7, 5000, "saved", "ticket"),
        )
        self.assertEqual(call["life"], "i-1")

    def test_refusals(self) -> None:
        """Each refusal has its type."""
        cases = [
            (as_json({"reason": "fence"}, 409), Refusal.FENCED),
            (as_json({"reason": "old"}, 409), Refusal.SUPERSEDED),
            (as_json({"reason": "late"}, 409), Refusal.LATE),
            (as_json({"reason": "room"}, 409), Refusal.NO_ROOM),
            (as_json({"reason": "ticket"}, 409), Refusal.TICKET),
            ((421, b""), Refusal.OTHER_LIFE),
            ((503, b""), Refusal.UNWELL),
            ((429, b""), Refusal.UNWELL),
            ((400, b""), Refusal.MALFORMED),
        ]
        for answer, refusal in cases:
            self.answers = [answer]
            self.link.order(START)
            self.assertEqual(self.next().result.refusal, refusal)

    def test_unanswered_start_is_sent_again(self) -> None:
        """A start without a usable answer is repeated as it was, and then counts as started."""
        self.answers = [(500, b""), as_json({"clock_ms": 1})]
        self.link.order(START)
        self.assertIsNone(self.next().result.refusal)
        self.assertEqual(self.calls[0], self.calls[1])

    def test_refusal_of_a_repeated_start_is_no_evidence(self) -> None:
        """The first try may have been carried out, so the run's fate stays open."""
        self.answers = [(500, b""), as_json({"reason": "old"}, 409)]
        self.link.order(START)
        self.assertIsNone(self.next().result)

    def test_start_that_never_gets_an_answer(self) -> None:
        """After some tries the start is told as unanswered."""
        self.answers = [(500, b"")] * 3
        self.link.order(START)
        self.assertIsNone(self.next().result)
        self.assertEqual(len(self.calls), 3)

    def test_unreached_worker(self) -> None:
        """Without a connection nothing was sent."""
        link = WorkerLink("i-2", "127.0.0.1:1", self.posted.put, Metrics())
        link.order(START)
        self.assertEqual(self.next().result.refusal, Refusal.UNREACHED)
        link.close()

    def test_stop(self) -> None:
        """A stop tells whether it was answered."""
        self.answers = [as_json({"clock_ms": 1}), (500, b"")]
        for answered in (True, False):
            self.link.order(STOP)
            event = self.next()
            self.assertIsInstance(event, StopAnswered)
            self.assertEqual(event.answered, answered)

    def test_renewal(self) -> None:
        """Runs and ends are decoded; rows that do not fit count as no answer."""
        name = f"{TASK.job}.0.0.0"
        good = {"clock_ms": 9, "running": [[name, 1, "", 40, 3]], "ended": []}
        good["ended"] = [[4, name, 1, "done", ""], [5, name, 2, "something new", "s"]]
        self.answers = [as_json(good), as_json({"clock_ms": 9, "running": [["x"]]})]
        self.link.renew(RENEW)
        event = self.next()
        self.assertIsInstance(event, RenewAnswered)
        self.assertIsInstance(event.outcome, WorkerReport)
        self.assertEqual(event.outcome.running[0].percent, 40)
        self.assertEqual([end.number for end in event.outcome.ended], [4, 5])
        self.assertEqual(self.calls[0]["last_seen"], 3)
        self.link.renew(RENEW)
        self.assertIsNone(self.next().outcome)


if __name__ == "__main__":
    unittest.main()

"""Tests of the calls to one worker, against a server with scripted answers."""

import errno
import json
import queue
import threading
import time
import unittest
from collections.abc import Callable
from unittest import mock

from snowdock.entry import worker_link
from snowdock.entry.worker_link import WorkerLink
from snowdock.jobs.events import RenewAnswered, StartAnswered, StopAnswered
from snowdock.jobs.model import TaskId
from snowdock.jobs.orders import Refusal, RenewOrder, StartOrder, StopOrder, WorkerReport
from snowdock.node.metrics import Metrics
from snowdock.platform import http_channel
from snowdock.platform.call_loop import CallLoop
from tests.odd_values import ODD_ADDRESSES, ODD_VALUES, replace_field
from tests.standins.platform import Server, json_reply

TASK = TaskId("a" * 16, 0, 0, 0)
START = StartOrder(TASK, 1, "payload", 7, 5000, "saved", "ticket")
STOP = StopOrder(TASK, 1, 7)
RENEW = RenewOrder(7, 3, 5000, 0, 0.0)
EMPTY_REPORT = {"clock_ms": 1, "running": [], "ended": []}
NAME = f"{TASK.job}.0.0.0"
REPORT = {
    "clock_ms": 482_113,
    "running": [[NAME, 2, "saved", 41.5, 0.5]],
    "ended": [[58, NAME, 1, "done", "saved"]],
    "born": 1_700_000_000_000,
}
ODD_TASKS = (
    "", "a", "a.0.0", "a.0.0.x", "a.0.0.-1", "a.0.0.+1", "a.0.0.1_0", "a.0.0. 1", "a.0.0.\u0663",
    f"{TASK.job}.0.0." + "9" * 400, f"{TASK.job}.0.0." + "9" * 5000, f"{TASK.job}.0.0.{2**63}",
)  # fmt: skip


def _odd_reports() -> list[bytes]:
    """Return reports with a value that does not fit, one at a time."""
    numbers = {"400_digits", "5000_digits", "1e999", "NaN", "2**64", "1e300", "negative", "text"}
    no_numbers = {"1e999", "NaN", "400_digits", "5000_digits", "text", "text_of_nan", "list"}
    rows = {"object", "text", "list", "list_of_lists", "list_of_null", "nested_arrays"}
    wrong = {
        ("clock_ms",): numbers | {"null", "true", "list"},
        ("born",): numbers | {"fraction", "null", "true", "list"},
        ("running",): rows | {"null", "true", "list_of_an_object"},
        ("ended",): rows | {"null", "true", "list_of_an_object"},
        ("running", 0): rows | {"null", "empty_list"},
        ("ended", 0): rows | {"null", "empty_list"},
        ("running", 0, 0): numbers | {"null", "list", "object", "lone_surrogate", "invalid_utf8"},
        ("running", 0, 1): numbers | {"fraction", "null", "text_of_a_number"},
        ("running", 0, 2): {"list", "object", "nested_objects", "lone_surrogate", "1e300"},
        ("running", 0, 3): no_numbers | {"null"},
        ("running", 0, 4): no_numbers,
        ("ended", 0, 0): numbers | {"fraction", "null", "text_of_a_number"},
        ("ended", 0, 1): numbers | {"null", "list", "object", "lone_surrogate", "invalid_utf8"},
        ("ended", 0, 2): numbers | {"fraction", "null", "text_of_a_number"},
        ("ended", 0, 3): {"list", "object", "null", "nested_objects", "lone_surrogate"},
        ("ended", 0, 4): {"list", "object", "nested_objects", "lone_surrogate", "1e300"},
    }
    reports = [
        replace_field(REPORT, path, ODD_VALUES[name])
        for path, names in wrong.items()
        for name in sorted(names)
    ]
    reports += [replace_field(REPORT, ("running", 0, 0), json.dumps(n).encode()) for n in ODD_TASKS]
    reports += [replace_field(REPORT, ("ended", 0, 1), json.dumps(n).encode()) for n in ODD_TASKS]
    return [*reports, b"", b"null", ODD_VALUES["nested_arrays"], ODD_VALUES["nested_objects"]]


ODD_REPORTS = _odd_reports()


class TestWorkerLink(unittest.TestCase):
    def setUp(self) -> None:
        self.answers: list = []
        self.calls: list[dict] = []
        self.greetings: list[dict] = []
        self.greeting_answer = json_reply(EMPTY_REPORT)
        self.delay_greeting: Callable[[], object] = lambda: None
        self.server = Server(self.answer)
        self.posted: queue.Queue = queue.Queue()
        self.loop = CallLoop("worker-calls")
        self.loop.start()
        self.link = self.make_link("i-1", self.server.address)

    def tearDown(self) -> None:
        self.loop.stop()
        self.server.close()

    def make_link(self, life: str, address: str) -> WorkerLink:
        return WorkerLink(self.loop, life, address, self.posted.put, Metrics(), token=7)

    def order(self, order) -> None:
        self.link.order(order)
        self.loop.flush()

    def renew(self, order) -> None:
        self.link.renew(order)
        self.loop.flush()

    def answer(self, method, path, query, body, environ):
        call = json.loads(body) | {"life": environ["HTTP_X_EXPECTED_INSTANCE"], "path": path}
        if call.get("last_seen") == 0:
            self.greetings.append(call)
            self.delay_greeting()
            return self.greeting_answer
        self.calls.append(call)
        answer = self.answers.pop(0)
        return answer() if callable(answer) else answer

    def next_event(self):
        return self.posted.get(timeout=10)

    def test_start_sends_all_fields(self) -> None:
        """A start has the token, lease, checkpoint, ticket and the expected life."""
        self.answers = [json_reply({"clock_ms": 12})]
        self.order(START)
        event = self.next_event()
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
        """Each refusal of a start is decoded to its `Refusal`."""
        cases = [
            (json_reply({"reason": "fence"}, 409), Refusal.FENCED),
            (json_reply({"reason": "old"}, 409), Refusal.SUPERSEDED),
            (json_reply({"reason": "late"}, 409), Refusal.LATE),
            (json_reply({"reason": "room"}, 409), Refusal.NO_ROOM),
            (json_reply({"reason": "ticket"}, 409), Refusal.TICKET),
            ((421, b""), Refusal.OTHER_LIFE),
            ((503, b""), Refusal.UNHEALTHY),
            ((429, b""), Refusal.UNHEALTHY),
            ((400, b""), Refusal.MALFORMED),
        ]
        for answer, refusal in cases:
            self.answers = [answer]
            self.order(START)
            self.assertEqual(self.next_event().result.refusal, refusal)

    def test_unanswered_start_is_sent_again(self) -> None:
        """A start without a usable answer is repeated unchanged, and may then succeed."""
        self.answers = [(500, b""), json_reply({"clock_ms": 1})]
        self.order(START)
        self.assertIsNone(self.next_event().result.refusal)
        self.assertEqual(self.calls[0], self.calls[1])

    def test_refusal_of_a_repeated_start_is_inconclusive(self) -> None:
        """The first attempt may have started the run, so the result is unknown."""
        self.answers = [(500, b""), json_reply({"reason": "old"}, 409)]
        self.order(START)
        self.assertIsNone(self.next_event().result)

    def test_start_without_any_answer(self) -> None:
        """After three attempts the start is reported as unanswered."""
        self.answers = [(500, b"")] * 3
        self.order(START)
        self.assertIsNone(self.next_event().result)
        self.assertEqual(len(self.calls), 3)

    def test_unreachable_worker(self) -> None:
        """A start without a connection is reported as not sent."""
        self.link = self.make_link("i-2", "127.0.0.1:1")
        self.order(START)
        self.assertEqual(self.next_event().result.refusal, Refusal.UNREACHABLE)

    def test_unreachable_worker_with_many_orders(self) -> None:
        """Each of many queued orders is reported, without deep recursion."""
        self.link = self.make_link("i-2", "127.0.0.1:1")
        for _ in range(1000):
            self.link.order(START)
        self.loop.flush()
        results = [self.next_event().result.refusal for _ in range(1000)]
        self.assertEqual(set(results), {Refusal.UNREACHABLE})

    def test_start_is_not_sent_to_the_next_life(self) -> None:
        """Neither the start nor any later call reaches the next life under the same id."""
        self.link = self.make_link("i-1@100", self.server.address)
        self.greeting_answer = json_reply(EMPTY_REPORT | {"born": 200})
        self.order(START)
        self.assertEqual(self.next_event().result.refusal, Refusal.NEXT_LIFE)
        self.renew(RENEW)
        self.assertIs(self.next_event().outcome, Refusal.NEXT_LIFE)
        self.order(STOP)
        self.assertEqual(self.next_event().refusal, Refusal.NEXT_LIFE)
        self.assertEqual(self.calls, [])

    def test_worker_restarts_between_two_starts(self) -> None:
        """A new connection is greeted before the next start is sent."""
        self.link = self.make_link("i-1@100", self.server.address)
        self.greeting_answer = json_reply(EMPTY_REPORT | {"born": 100})
        self.answers = [json_reply({"clock_ms": 1})]
        self.order(START)
        self.assertIsNone(self.next_event().result.refusal)
        self.greeting_answer = json_reply(EMPTY_REPORT | {"born": 200})
        self.loop.submit(self.link._orders.channel.close_if_idle)
        self.order(START)
        self.assertEqual(self.next_event().result.refusal, Refusal.NEXT_LIFE)
        self.assertEqual(len(self.calls), 1)

    def test_repeated_start_meets_the_next_life(self) -> None:
        """A repeated start is reported as refused, since the life that received it has ended."""
        self.link = self.make_link("i-1@100", self.server.address)
        self.greeting_answer = json_reply(EMPTY_REPORT | {"born": 100})

        def hang() -> tuple[int, bytes]:
            self.greeting_answer = json_reply(EMPTY_REPORT | {"born": 200})
            time.sleep(1.0)
            return 500, b""

        self.answers = [hang]
        self.order(START)
        self.assertEqual(self.next_event().result.refusal, Refusal.NEXT_LIFE)

    def test_greeting(self) -> None:
        """A handshake is sent once per connection; it has no lease and acknowledges no ends."""
        self.link = self.make_link("i-1@100", self.server.address)
        self.greeting_answer = json_reply(EMPTY_REPORT | {"born": 100})
        self.answers = [json_reply({"clock_ms": 1})] * 2
        for _ in range(2):
            self.order(START)
            self.assertIsNone(self.next_event().result.refusal)
        (greeting,) = self.greetings
        self.assertEqual((greeting["life"], greeting["fencing_token"]), ("i-1", 7))
        self.assertNotIn("deadline_ms", greeting)

    def test_greeting_without_a_usable_answer(self) -> None:
        """If the handshake fails, the start is reported as not sent."""
        for answer in ((200, b"{}"), (200, b"no"), (500, b"")):
            self.greeting_answer = answer
            self.order(START)
            self.assertIs(self.next_event().result.refusal, Refusal.UNREACHABLE, answer)
        self.greeting_answer = json_reply({"reason": "fence"}, 409)
        self.order(START)
        self.assertIs(self.next_event().result.refusal, Refusal.FENCED)
        self.assertEqual(self.calls, [])

    def test_greeting_is_repeated(self) -> None:
        """A handshake without an answer is repeated over another connection before the start."""
        waits = [1.0, 1.0]
        self.delay_greeting = lambda: time.sleep(waits.pop() if waits else 0.0)
        self.answers = [json_reply({"clock_ms": 1})]
        self.order(START)
        self.assertIsNone(self.next_event().result.refusal)
        self.assertEqual((len(self.greetings), len(self.calls)), (3, 1))

    def test_greeting_that_hangs(self) -> None:
        """A start whose handshake has no answer in time is reported as not sent."""
        released = threading.Event()
        self.addCleanup(released.set)
        self.delay_greeting = lambda: released.wait(10)
        self.order(START)
        self.assertIs(self.next_event().result.refusal, Refusal.UNREACHABLE)
        self.assertEqual(self.calls, [])

    def test_odd_report_in_a_greeting_ends_the_loop(self) -> None:
        """The loop ended with AttributeError, and the whole process with it."""
        for report in ODD_REPORTS:
            self.greeting_answer = (200, report)
            self.order(START)
            event = self.next_event()
            self.assertIsInstance(event, StartAnswered, report[:200])
            self.assertIsNotNone(event.result.refusal, report[:200])
        self.greeting_answer = json_reply(EMPTY_REPORT)
        self.answers = [json_reply({"clock_ms": 12})]
        self.order(START)
        self.assertIsNone(self.next_event().result.refusal)

    def test_odd_report_in_a_renewal(self) -> None:
        """An odd report counts as no answer; the next renewal is sent."""
        for report in ODD_REPORTS:
            self.answers = [(200, report)]
            self.renew(RENEW)
            self.assertEqual(self.next_event().outcome, None, report[:200])
        self.answers = [json_reply(EMPTY_REPORT)]
        self.renew(RENEW)
        self.assertIsInstance(self.next_event().outcome, WorkerReport)

    def test_address_that_cannot_be_connected_to(self) -> None:
        """Making a link to an odd address raised in the leader, or its call ended the loop."""
        for address in (*ODD_ADDRESSES, "10.1.2.3:8\ud800"):
            self.link = self.make_link("i-1", address)
            self.order(START)
            self.assertIs(self.next_event().result.refusal, Refusal.UNREACHABLE, address[:60])

    def test_node_without_free_descriptors(self) -> None:
        """A call that finds no free descriptor fails; the loop ended with OSError."""
        exhausted = mock.patch("socket.socket", side_effect=OSError(errno.EMFILE, "too many"))
        with exhausted:
            self.order(START)
            self.assertIs(self.next_event().result.refusal, Refusal.UNREACHABLE)
        self.answers = [json_reply({"clock_ms": 12})]
        self.order(START)
        self.assertIsNone(self.next_event().result.refusal)

    def test_defect_in_the_check_of_a_greeting(self) -> None:
        """An unexpected error in checking a greeting fails the call, not the loop."""
        with mock.patch.object(worker_link, "decode_renewal", side_effect=ValueError("defect")):
            self.order(START)
            self.assertIs(self.next_event().result.refusal, Refusal.UNREACHABLE)
        self.answers = [json_reply({"clock_ms": 12})]
        self.order(START)
        self.assertIsNone(self.next_event().result.refusal)

    def test_answer_that_is_too_long(self) -> None:
        """The answer was collected without limit; the call fails, and the next one is made."""
        long_report = json.dumps(EMPTY_REPORT).encode() + b" " * 300_000
        self.answers = [(200, long_report), json_reply(EMPTY_REPORT)]
        with mock.patch.object(http_channel, "_MAX_REPLY_BYTES", 200_000):
            self.renew(RENEW)
            self.assertIsNone(self.next_event().outcome)
            self.renew(RENEW)
            self.assertIsInstance(self.next_event().outcome, WorkerReport)
        self.assertEqual(len(self.greetings), 2)

    def test_percent_beyond_100(self) -> None:
        """A percent outside 0 to 100 is limited to that range."""
        for value, expected in ((b"1e300", 100.0), (b"-1", 0.0), (b"41", 41.0)):
            self.answers = [(200, replace_field(REPORT, ("running", 0, 3), value))]
            self.renew(RENEW)
            self.assertEqual(self.next_event().outcome.running[0].percent, expected)

    def test_orders_are_sent_in_sequence(self) -> None:
        """A stop is sent after the start before it has been answered."""
        self.answers = [json_reply({"clock_ms": 1})] * 6
        for _ in range(3):
            self.link.order(START)
            self.link.order(STOP)
        self.loop.flush()
        kinds = [type(self.next_event()) for _ in range(6)]
        self.assertEqual(kinds, [StartAnswered, StopAnswered] * 3)
        self.assertEqual([call["path"][-5:] for call in self.calls], ["start", "-stop"] * 3)

    def test_stopped_loop(self) -> None:
        """Calls to a stopped loop have no effect."""
        self.loop.stop()
        self.loop._thread.join(10)
        self.assertFalse(self.loop._thread.is_alive())
        self.order(START)
        self.link.close()
        self.loop.stop()
        self.assertTrue(self.posted.empty())

    def test_closed_link(self) -> None:
        """Queued calls of a closed link are not sent."""
        self.answers = [json_reply({"clock_ms": 1})] * 2
        self.link.order(START)
        self.link.close()
        self.link.order(START)
        self.loop.flush()
        self.assertIsInstance(self.next_event(), StartAnswered)
        self.assertTrue(self.posted.empty())

    def test_stop(self) -> None:
        """The event of a stop shows whether it was answered."""
        self.answers = [json_reply({"clock_ms": 1}), (500, b"")]
        for answered in (True, False):
            self.order(STOP)
            event = self.next_event()
            self.assertIsInstance(event, StopAnswered)
            self.assertEqual(event.answered, answered)

    def test_renewal(self) -> None:
        """Runs and ends are decoded; a malformed report counts as no answer."""
        name = f"{TASK.job}.0.0.0"
        good = {"clock_ms": 9, "running": [[name, 1, "", 40, 3]], "ended": []}
        good["ended"] = [[4, name, 1, "done", ""], [5, name, 2, "something new", "s"]]
        self.answers = [json_reply(good), json_reply({"clock_ms": 9, "running": [["x"]]})]
        self.renew(RENEW)
        event = self.next_event()
        self.assertIsInstance(event, RenewAnswered)
        self.assertIsInstance(event.outcome, WorkerReport)
        self.assertEqual(event.outcome.running[0].percent, 40)
        self.assertEqual([end.number for end in event.outcome.ended], [4, 5])
        self.assertEqual(self.calls[0]["last_seen"], 3)
        self.renew(RENEW)
        self.assertIsNone(self.next_event().outcome)


if __name__ == "__main__":
    unittest.main()

"""Tests of the log event for room in use and its table."""

import dataclasses
import unittest

import msgspec

from snowdock.cli.room_table import format_room, read_room
from snowdock.declarations import Size
from snowdock.jobs.events import AdviceAnswered, AskAdvice, LogDecision
from snowdock.jobs.model import AdviceTerms
from snowdock.jobs.orders import AdviceResult
from snowdock.logs import format_line
from tests.jobs_tools import FAILED, SMALL, Bench, filter_by_type

HALF = msgspec.structs.replace(SMALL, size=Size(2000, 3000), estimate_ms=60_000)
WHOLE = msgspec.structs.replace(SMALL, size=Size(4000, 3000), estimate_ms=60_000)


def logged_fields(effects) -> list[dict]:
    """Return the fields of the room log events among effects."""
    lines = [each for each in filter_by_type(effects, LogDecision) if each.decision == "room_use"]
    return [dict(each.fields) for each in lines]


class TestRoomUse(unittest.TestCase):
    def test_shares_and_lack_of_room(self) -> None:
        """Half of the CPU is in use, and a step that needs a whole worker lacks room."""
        bench = Bench()
        bench.add_worker("w", cpu=4000)
        bench.submit(HALF)
        bench.confirm(bench.starts()[0])
        bench.submit(WHOLE)
        (fields,) = logged_fields(bench.tick(1.1))
        self.assertEqual((fields["cpu"], round(fields["memory"], 2)), (0.5, 0.33))
        self.assertEqual((fields["waiting"], fields["room"]), (1, 1))
        self.assertEqual(fields["ticket"] + fields["both"] + fields["turn"], 0)

    def test_logged_once_a_second(self) -> None:
        """The event is logged once a second, independent of the tick interval."""
        bench = Bench()
        bench.add_worker()
        # Ticks are 0.1 s apart, and rounding may delay an event to the next one.
        self.assertIn(len(logged_fields(bench.tick(6.0))), (5, 6))

    def test_lack_of_tickets(self) -> None:
        """Steps that lack a ticket, room and ticket, and room only are told apart."""
        bench = Bench(advice=AdviceTerms(10.0, 0.1, 60_000))
        bench.add_worker("w", cpu=4000)
        bench.submit(WHOLE)
        (fields,) = logged_fields(bench.tick(1.1))
        self.assertEqual((fields["ticket"], fields["both"]), (1, 0))
        (asked,) = filter_by_type(bench.all_effects, AskAdvice)
        bench.feed(AdviceAnswered(AdviceResult(asked.request, {"w": "t"})))
        bench.tick(0.1)
        bench.confirm(bench.starts(bench.all_effects)[0])
        bench.submit(WHOLE)
        (fields,) = logged_fields(bench.tick(1.0))
        self.assertEqual((fields["ticket"], fields["both"]), (0, 1))
        question = next(iter(bench.cell.advice_requests), None)
        if question is not None:
            bench.feed(AdviceAnswered(AdviceResult(question, {"w": "t"})))
        (fields,) = logged_fields(bench.tick(1.0))
        self.assertEqual((fields["room"], fields["both"]), (1, 0))

    def test_pause_after_a_failure(self) -> None:
        """A step that is delayed after a failure counts under `pause`."""
        bench = Bench()
        bench.add_worker("w")
        bench.cell.policy = with_pause(bench)
        bench.submit()
        (start,) = bench.starts()
        bench.confirm(start)
        bench.report("w", ended=[(start.order.task, 1, FAILED)])
        (fields,) = logged_fields(bench.tick(1.1))
        self.assertEqual((fields["waiting"], fields["pause"]), (1, 1))


def with_pause(bench: Bench):
    """Return the bench's policy with a long pause after each failure."""
    return dataclasses.replace(bench.cell.policy, backoff_seconds=lambda step, failures: 30.0)


class TestRoomTable(unittest.TestCase):
    def line(self, at: float, cpu: float, waiting: int, ticket: int) -> str:
        message = {
            "timestamp": at,
            "message_type": "room_use",
            "subject": "pool",
            "cpu": cpu,
            "waiting": waiting,
            "ticket": ticket,
        }
        return format_line(message)

    def test_averages_over_two_seconds(self) -> None:
        """Lines of the same two seconds are averaged into one row."""
        lines = [self.line(10.0, 0.4, 4, 1), self.line(11.0, 0.6, 6, 3), self.line(12.5, 0.9, 0, 0)]
        title, first, second = format_room(read_room([*lines, "time=1 event=other node=n"]))
        self.assertIn("ticket", title)
        self.assertEqual(first.split()[:3], ["pool", "0", "0.50"])
        self.assertEqual(first.split()[5:8], ["5.00", "0.00", "2.00"])
        self.assertEqual(second.split()[:3], ["pool", "2", "0.90"])

    def test_logs_without_room_events(self) -> None:
        """Logs without room events yield an empty table."""
        self.assertEqual(format_room(read_room(["time=1 event=other node=n"])), [])


if __name__ == "__main__":
    unittest.main()

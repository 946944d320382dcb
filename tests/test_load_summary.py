"""Tests of the load summary's encoding and of predictions from it."""

import math
import unittest

import msgspec

from snowdock.declarations import Size
from snowdock.errors import InvalidInput, UnknownSummaryVersion
from snowdock.jobs.load_summary import (
    LoadSummary,
    QueueLoad,
    ServiceLoad,
    TeamLoad,
    decode_summary,
    encode_summary,
    predict_wait,
)

CORE = Size(1000, 1000)
FULL = Size(2_816_000, 11_534_336)


def make_summary(teams: int = 2, **queue: float) -> LoadSummary:
    service = ServiceLoad("pool", FULL, FULL, Size(16_000, 65_536), 2400.0, 5632.0)
    queues = tuple(
        QueueLoad(name, "pool", 1, **({"waiting_core_s": 9000.0, "started_rate": 1500.0} | queue))
        for name in ("settlements", "screenings", "checks")
    )
    loads = tuple(TeamLoad(f"team-{n}", 1 / teams, 280.5, 700.4, 930.1) for n in range(teams))
    return LoadSummary(1, 7, 123_456.789, True, (service,), queues, loads)


class TestSummary(unittest.TestCase):
    def test_decoded_equals_encoded(self):
        """Guards against fields that are lost or scaled wrongly on the way."""
        summary = make_summary(recent_wait_s=1.25, longest_wait_s=3.5)
        decoded = decode_summary(encode_summary(summary))
        self.assertAlmostEqual(decoded.made_at, summary.made_at)
        self.assertAlmostEqual(decoded.teams[0].running_core_s, 700.4)
        self.assertEqual(encode_summary(decoded), encode_summary(summary))

    def test_size_is_bounded(self):
        """Guards against heartbeats that take much of a leader's link, with many nodes."""
        loads = {"longest_wait_s": 30.0, "recent_wait_s": 3.0, "preceding_core_s": 6000.0}
        self.assertLess(len(encode_summary(make_summary(20, **loads))), 600)
        self.assertLess(len(encode_summary(make_summary(51, **loads))), 1_250)

    def test_unknown_version_is_a_typed_error(self):
        """Guards against misreading the summary of a node with another version."""
        for data in (msgspec.msgpack.encode([2, {"other": 1}]), msgspec.msgpack.encode([])):
            with self.assertRaises(UnknownSummaryVersion):
                decode_summary(data)

    def test_invalid_data_is_a_typed_error(self):
        """Guards against a malformed heartbeat that ends the thread that receives it."""
        negative = msgspec.msgpack.encode([1, 7, -5, True])
        for data in (b"", b"\xff", b"\xc1", msgspec.msgpack.encode([1, "x"]), negative):
            with self.assertRaises(InvalidInput):
                decode_summary(data)


class TestPrediction(unittest.TestCase):
    def test_waits_as_recent_jobs(self):
        """Guards against a prediction from the backlog although recent waits are known."""
        summary = make_summary(preceding_core_s=3000.0, recent_wait_s=0.6)
        self.assertAlmostEqual(predict_wait(summary, "checks", CORE, "team-1"), 0.6)

    def test_waits_for_preceding_work(self):
        """Guards against a prediction that ignores the backlog after a change of leader."""
        summary = make_summary(preceding_core_s=3000.0)
        self.assertAlmostEqual(predict_wait(summary, "checks", CORE, "team-1"), 2.0)

    def test_held_back_team_waits_for_its_own_work(self):
        """Guards against the same prediction for a team that waits at its quota."""
        summary = make_summary(20, recent_wait_s=0.6)
        hot = TeamLoad("hot", 0.05, 300.0, 900.0, 1500.0, True)
        summary = msgspec.structs.replace(summary, teams=(hot,))
        self.assertAlmostEqual(predict_wait(summary, "checks", CORE, "hot"), 5.0)

    def test_unknown_names(self):
        """Guards against failures for a new queue, a new team and a team of weight 0."""
        summary = make_summary(preceding_core_s=3000.0)
        self.assertEqual(predict_wait(summary, "new", CORE, "team-0"), 0.0)
        self.assertEqual(predict_wait(LoadSummary(), "checks", CORE), 0.0)
        idle = msgspec.structs.replace(summary, teams=(TeamLoad("idle", 0.0, 9000.0),))
        for team in ("", "new", "idle"):
            self.assertAlmostEqual(predict_wait(idle, "checks", CORE, team), 2.0)

    def test_no_usable_worker(self):
        """Guards against a division by zero, and a finite wait, while all workers are lost."""
        lost = msgspec.structs.replace(make_summary().services[0], usable=Size(0, 0))
        summary = msgspec.structs.replace(make_summary(), services=(lost,))
        self.assertEqual(predict_wait(summary, "checks", CORE), math.inf)

    def test_large_gang_waits_for_room(self):
        """Guards against predicting no wait for a gang that needs more than is free."""
        summary = make_summary(waiting_core_s=0.0)
        self.assertEqual(predict_wait(summary, "checks", Size(0, 0)), 0.0)
        self.assertAlmostEqual(predict_wait(summary, "checks", Size(281_600, 0)), 0.4)

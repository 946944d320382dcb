"""Tests of the holder of the newest load summary, and of its transport in heartbeats."""

import unittest
from unittest import mock

import msgspec

from snowdock.entry import load_view
from snowdock.entry.load_view import LoadView
from snowdock.entry.messages import ENTRY_MESSAGES, Heartbeat, Statement
from snowdock.jobs.job_room import JobRoom
from snowdock.jobs.load_summary import LoadSummary, encode_summary


def encoded(epoch: int, made_at: float) -> bytes:
    return encode_summary(LoadSummary(epoch=epoch, made_at=made_at))


class TestLoadView(unittest.TestCase):
    def setUp(self) -> None:
        self.now = 1000.0
        patched = mock.patch.object(load_view, "steady_seconds", lambda: self.now)
        patched.start()
        self.addCleanup(patched.stop)
        self.view = LoadView()

    def held(self) -> tuple[int, float, float] | None:
        reading = self.view.read()
        if reading is None:
            return None
        return reading.summary.epoch, reading.summary.made_at, reading.age_s

    def test_newest_is_kept(self) -> None:
        """Guards against an older summary that arrives late, and a repeated one that looks new."""
        self.assertIsNone(self.held())
        self.view.receive(encoded(3, 50.0))
        self.now += 1.0
        for data in (encoded(3, 50.0), encoded(3, 49.0), encoded(2, 99.0), b""):
            self.view.receive(data)
            self.assertEqual(self.held(), (3, 50.0, 1.0))
        self.view.receive(encoded(3, 51.0))
        self.assertEqual(self.held(), (3, 51.0, 0.0))
        # The steady clock of another node may be behind that of the previous leader.
        self.view.receive(encoded(4, 7.0))
        self.assertEqual(self.held(), (4, 7.0, 0.0))

    def test_dropped_with_its_leader(self) -> None:
        """Guards against decisions by the load of an earlier leader."""
        self.view.receive(encoded(3, 50.0))
        self.view.follow(3)
        self.assertIsNotNone(self.held())
        self.view.follow(4)
        self.view.receive(encoded(3, 60.0))
        self.assertIsNone(self.held())
        self.view.follow(3)
        self.view.publish(LoadSummary(epoch=3, made_at=70.0))
        self.assertIsNone(self.held())

    def test_unusable_data_is_ignored(self) -> None:
        """Guards against a peer of another version that ends the thread for heartbeats."""
        self.view.receive(encoded(3, 50.0))
        for data in (b"\xc1", msgspec.msgpack.encode([2, "later"])):
            with mock.patch.object(load_view, "log_event") as log:
                self.view.receive(data)
                self.view.receive(data)
            self.assertEqual(log.call_count, 1)
        self.assertEqual(self.held()[:2], (3, 50.0))

    def test_sent_once_a_second_to_each_peer(self) -> None:
        """Guards against a leader that spends its link on summaries, and one that sends none."""
        self.view.publish(LoadSummary(epoch=3, made_at=50.0))
        self.assertEqual(self.held(), (3, 50.0, 0.0))
        sent = {"a": 0, "b": 0}
        for _ in range(50):
            self.now += 0.2
            sent["a"] += bool(self.view.data_for("a", 3))
        for _ in range(17):
            self.now += 0.6
            sent["b"] += bool(self.view.data_for("b", 3))
        self.assertEqual(sent, {"a": 10, "b": 9})

    def test_only_the_leader_sends(self) -> None:
        """Guards against a deposed leader that still spreads its summary."""
        self.view.publish(LoadSummary(epoch=3, made_at=50.0))
        self.assertEqual(self.view.data_for("a", 0), b"")
        self.assertEqual(self.view.data_for("a", 4), b"")
        self.assertTrue(self.view.data_for("a", 3))
        self.view.follow(5)
        self.view.publish(LoadSummary(epoch=5, made_at=10.0))
        self.assertEqual(self.view.data_for("a", 5), encoded(5, 10.0))


class TestHeartbeat(unittest.TestCase):
    def test_versions_decode_each_other(self) -> None:
        """Guards against nodes of two releases that do not hear each other."""
        statement = Statement("n-1", 1.0, "m-1", 2.0, 3, False, 4)
        heartbeat = Heartbeat(
            "n",
            "a:1",
            3,
            0.0,
            load=encoded(3, 50.0),
            callers=b"c",
            statement=statement,
            job_room=JobRoom(0.5, 0.25),
        )
        self.assertEqual(ENTRY_MESSAGES.decode(ENTRY_MESSAGES.encode(heartbeat)), heartbeat)
        fields = msgspec.msgpack.decode(ENTRY_MESSAGES.encode(heartbeat))
        without_room = msgspec.structs.replace(heartbeat, job_room=None)
        without_statement = msgspec.structs.replace(without_room, statement=None)
        without_callers = msgspec.structs.replace(without_statement, callers=b"")
        without_load = msgspec.structs.replace(without_callers, load=b"")
        earlier = (without_room, without_statement, without_callers, without_load)
        for left_out, expected in enumerate(earlier, start=1):
            older = ENTRY_MESSAGES.decode(msgspec.msgpack.encode(fields[:-left_out]))
            self.assertEqual(older, expected)

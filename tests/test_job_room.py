"""Tests of the statement about the room for open jobs, and of what nodes conclude from it."""

import unittest
from unittest import mock

from snowdock.declarations import Size
from snowdock.entry import job_room_view
from snowdock.entry.job_room_view import JobRoomView
from snowdock.jobs.job_room import JobRoom, RoomHistory, find_room_delay
from snowdock.jobs.model import JobSpec, StepSpec

SMALL = JobSpec("q", "", (StepSpec(10, Size(1, 1)),))
WIDE = JobSpec("q", "", (StepSpec(1000, Size(1, 1)),))
TIMED = JobSpec("q", "", (StepSpec(1, Size(1, 1)),), repetitions=1000)
LONG = JobSpec("q", "x" * 20_000, (StepSpec(1, Size(1, 1)),))


class TestRoomDelay(unittest.TestCase):
    def test_small_jobs_are_refused_last(self) -> None:
        """Large jobs of any kind are refused while there is room for small ones."""
        for used, refuses_large, refuses_small in (
            (0.7, False, False),
            (0.8, True, False),
            (0.9, True, True),
            (2.0, True, True),
        ):
            room = JobRoom(used)
            self.assertEqual(find_room_delay(room, SMALL) is not None, refuses_small)
            for spec in (WIDE, TIMED, LONG):
                self.assertEqual(find_room_delay(room, spec) is not None, refuses_large)

    def test_delay_follows_from_the_fall(self) -> None:
        """The stated time is that at which the share in use has fallen far enough."""
        self.assertAlmostEqual(find_room_delay(JobRoom(0.95, 0.01), WIDE), 20.0)
        self.assertAlmostEqual(find_room_delay(JobRoom(0.925, 0.01), SMALL), 5.0)
        self.assertEqual(find_room_delay(JobRoom(0.95, 0.0), WIDE), 60.0)
        self.assertEqual(find_room_delay(JobRoom(0.95, 1e-9), WIDE), 60.0)

    def test_fall_of_the_last_seconds(self) -> None:
        """Only a fall counts, and only that of the last ten seconds."""
        history = RoomHistory()
        self.assertEqual(history.add(0.5, 100.0), JobRoom(0.5, 0.0))
        self.assertEqual(history.add(0.9, 101.0), JobRoom(0.9, 0.0))
        self.assertAlmostEqual(history.add(0.7, 111.0).falls_per_s, 0.02)
        self.assertAlmostEqual(history.add(0.5, 115.0).falls_per_s, 0.05)


class TestJobRoomView(unittest.TestCase):
    def setUp(self) -> None:
        self.now = 100.0
        clock = mock.patch.object(job_room_view, "steady_seconds", lambda: self.now)
        clock.start()
        self.addCleanup(clock.stop)
        self.view = JobRoomView()

    def test_statement_of_an_earlier_leader(self) -> None:
        """A deposed leader's statement replaces none of its successor's."""
        self.view.receive(3, JobRoom(0.9))
        self.view.receive(0, JobRoom(0.1))
        self.assertEqual(self.view.read(), JobRoom(0.9))
        self.view.receive(4, None)
        self.assertIsNone(self.view.read())
        self.view.receive(3, JobRoom(0.9))
        self.assertIsNone(self.view.read())
        self.view.receive(4, JobRoom(0.2))
        self.assertEqual(self.view.data_for(4), JobRoom(0.2))
        self.assertIsNone(self.view.data_for(3))
        self.assertIsNone(self.view.data_for(0))

    def test_old_statement(self) -> None:
        """Nothing is refused by what a leader stated long ago."""
        self.view.receive(3, JobRoom(0.9))
        self.now += 3.1
        self.assertIsNone(self.view.read())


if __name__ == "__main__":
    unittest.main()

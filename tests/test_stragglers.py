"""Tests of moves: their reason, their expected gain, their bound, and runs that stay."""

import math
import unittest

import msgspec

from snowdock.jobs.events import LogDecision
from snowdock.jobs.machine_speeds import MachineSpeed, update_unevenness
from snowdock.jobs.stragglers import find_move
from tests.jobs_tools import SMALL, Bench, filter_by_type
from tests.test_run_times import make_times

SAVING = msgspec.structs.replace(SMALL, checkpointing=True)
PACED = msgspec.structs.replace(SMALL, checkpointing=True, gang=True)


class TestMoves(unittest.TestCase):
    """A run begins on a slow machine; fast workers join afterwards."""

    def start(self, spec=SAVING, has_tail: bool = True) -> None:
        self.bench = bench = Bench()
        cell = bench.cell
        for number in range(9):
            speed = MachineSpeed(math.log(1.7 if number < 3 else 0.7), is_known=True)
            cell.machine_speeds[f"a:{number}"] = speed
        update_unevenness(cell, bench.now + 1)
        cell.queue_times["q"] = make_times(0.05 if has_tail else 0.0)
        bench.add_worker("w0", address="a:0")
        bench.submit(spec)
        (start,) = bench.new_starts()
        bench.confirm(start)
        self.task = cell.find_task(start.order.task)
        bench.add_worker("w8", address="a:8")

    def report(self, percents: list[int]) -> list[dict]:
        """Report progress each 0.3 s, and return the fields of `run_moved` lines."""
        moved = []
        for percent in percents:
            found = self.bench.report("w0", running=[(self.task.id, self.task.run, percent)])
            lines = filter_by_type(found, LogDecision)
            moved += [dict(e.fields) for e in lines if e.decision == "run_moved"]
            self.bench.now += 0.3
        return moved

    def test_long_run_moves_from_a_slow_to_a_fast_machine(self) -> None:
        """On the slow machine, it would take 2.4 times as long for the rest."""
        self.start()
        (move, *_) = self.report([0, 2, 4, 6, 8])
        self.assertEqual("long_run", move["reason"])
        self.assertGreater(move["gain_s"], 3.0)

    def test_run_as_long_as_its_machine_explains_stays(self) -> None:
        self.start()
        self.assertEqual([], self.report([0, 17, 34, 51, 68]))

    def test_long_run_stays_if_it_saves_no_progress_or_is_paced(self) -> None:
        for spec in (SMALL, PACED):
            self.start(spec)
            self.assertEqual([], self.report([0, 2, 4, 6, 8]))

    def test_moves_are_bounded(self) -> None:
        """A task that moved at each report would never end."""
        self.start()
        self.report([0, 2])
        self.task.moves = 2
        worker = self.bench.cell.workers["w0"]
        self.assertIsNone(find_move(self.bench.cell, worker, self.task, self.bench.now))

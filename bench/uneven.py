"""Compare scheduler settings on uneven workers: ``python -m bench.uneven WAY ... [--seeds N]``.

Ways are as in `bench.ways`. All ways run the same seeds on the emulator: a radio log service on 176
workers, of which each third takes 1.7 times as long and the others 0.7 times; 3 tasks in 100 take
seven times as long, and estimates are off by up to 90%. With ``--even``, the workers' speeds and
the tasks' run times are as in other days. The leader's processor time isn't modelled.
"""

import argparse
import collections
import dataclasses
import statistics

from bench.ways import apply_settings, format_queue_worths, run_day, run_paired
from snowdock.declarations import Size
from snowdock.emulator import Emulator, EmulatorOptions, WorkloadOptions, draw_workload
from snowdock.emulator.report import Report, make_report
from snowdock.emulator.worker_model import WorkerTimings
from snowdock.emulator.workload import log_mixes
from snowdock.jobs.events import LogDecision
from snowdock.jobs.model import TaskId
from snowdock.jobs.orders import EndKind

SECONDS, DRAIN_SECONDS = 30.0, 35.0
WORKERS = 176
CAPACITY = Size(16_000, 65_536, 0)
SLOWNESS = (0.7, 0.7, 1.7)
EVEN_SLOWNESS = (1.0, 1.1, 0.95)


@dataclasses.dataclass(frozen=True, slots=True)
class Outcome:
    """Results of one day: its report, core-seconds thrown away, moves, and mean processor use."""

    report: Report
    wasted_core_s: float
    moves: int
    used_share: float

    @property
    def worth(self) -> float:
        """The earned share of the worth of all jobs."""
        return self.report.worth


class WasteWatch:
    """Adds up the core-seconds of runs whose work is thrown away.

    Work up to a checkpoint that a stopped run saves is kept.
    """

    def __init__(self, emulator: Emulator) -> None:
        self.core_s = 0.0
        self._checks = emulator.checks
        self._began_at: dict[tuple[TaskId, int, str], float] = {}
        self._check_start = emulator.checks.check_start
        self._record_end = emulator.checks.record_end
        emulator.checks.check_start = self.check_start
        emulator.checks.record_end = self.record_end

    def check_start(self, task: TaskId, run: int, life: str, *rest: object) -> None:
        """Note the start of a run."""
        self._began_at[task, run, life] = rest[2]
        self._check_start(task, run, life, *rest)

    def record_end(self, task: TaskId, run: int, life: str, kind: EndKind, at: float) -> None:
        """Count a run that ended without success."""
        began_at = self._began_at.pop((task, run, life), at)
        step = self._checks.find_step(task)
        if kind is not EndKind.DONE and not (kind is EndKind.STOPPED and step.checkpointing):
            self.core_s += (at - began_at) * step.size.cpu / 1000
        self._record_end(task, run, life, kind, at)


def make_day(seed: int, load: float, is_even: bool, workers: int) -> tuple[Emulator, list]:
    """Return the emulator of a day, and its jobs; the load is in proportion to the workers."""
    mixes = log_mixes()
    if is_even:
        mixes = tuple(dataclasses.replace(mix, tail_share=0.0) for mix in mixes)
    workload = WorkloadOptions(SECONDS, load * workers / WORKERS, mixes)
    options = EmulatorOptions(
        workload,
        workers,
        CAPACITY,
        racks=15,
        advice_node_count=45,
        timings=WorkerTimings(gangs_share_pace=True),
        lasting_slowness=EVEN_SLOWNESS if is_even else SLOWNESS,
    )
    jobs = draw_workload(seed, workload)
    return Emulator(seed, options, jobs), jobs


def run_seed(way: str, seed: int, load: float, is_even: bool = False) -> Outcome:
    """Run one seed with a way's settings."""
    apply_settings(way)
    emulator, jobs = make_day(seed, load, is_even, WORKERS)
    waste = WasteWatch(emulator)
    decisions: collections.Counter[str] = collections.Counter()

    def count(effect: LogDecision) -> None:
        decisions[effect.decision] += 1

    emulator.set_effect_handler(LogDecision, count)
    used_share = run_day(emulator, SECONDS, DRAIN_SECONDS, CAPACITY.times(WORKERS))
    return Outcome(make_report(emulator, jobs), waste.core_s, decisions["run_moved"], used_share)


def main() -> None:
    """Run all ways and print a table."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("ways", nargs="+", help="standing, or MODULE.CONSTANT=VALUE[,...]")
    parser.add_argument("--seeds", type=int, default=2)
    parser.add_argument("--load", type=float, default=1.0)
    parser.add_argument("--even", action="store_true", help="even speeds, and no tails")
    parser.add_argument("--processes", type=int, default=2)
    options = parser.parse_args()
    outcomes = run_paired(
        run_seed, options.ways, options.seeds, options.processes, options.load, options.even
    )
    first = outcomes[options.ways[0]]
    print(f"{'way':<48} worth  (difference, spread)  queues' worth; thrown away; moves; in use")
    for way, of_way in outcomes.items():
        reports = [outcome.report for outcome in of_way]
        gains = [each.worth - before.worth for each, before in zip(of_way, first, strict=True)]
        print(
            f"{way:<48} {statistics.mean(each.worth for each in of_way):.4f}"
            f"  ({statistics.mean(gains):+.4f}, {statistics.pstdev(gains):.4f})"
            f"  {format_queue_worths(reports)};"
            f" {statistics.mean(each.wasted_core_s for each in of_way):.0f} core s;"
            f" {statistics.mean(each.moves for each in of_way):.0f};"
            f" {statistics.mean(each.used_share for each in of_way):.2f};"
            f" {sum(each.report.violations for each in of_way)}"
        )


if __name__ == "__main__":
    main()

"""Compare ways to decide, paired: ``python -m bench.ways WAY ... [--seeds N]``.

A way is ``standing``, or settings of the decisions such as ``quotas._RESERVES_QUOTA=False``, joined
by commas: the constants of modules of ``snowdock.jobs``. All ways play the same seeds on the
emulator: a settlement service on 176 workers with 20 teams, one of which sends many times its
usual, a burst of lookups and one of payouts. A leader's own processor time is not modelled.
"""

import argparse
import ast
import concurrent.futures
import importlib
import statistics
import time
from collections.abc import Callable

from snowdock.declarations import Size
from snowdock.emulator import Emulator, EmulatorOptions, WorkloadOptions, draw_workload
from snowdock.emulator.report import Report, make_report
from snowdock.emulator.workload import Burst, uneven_teams, wide_mixes

SECONDS = 30.0
DRAIN_SECONDS = 25.0
BURSTS = (Burst("lookups", 6.0, 4.0, 2.0), Burst("payouts", 17.0, 4.0, 1.7))
CAPACITY = Size(32_000, 131_072, 0)
WORKERS = 176
TEAMS = 20
QUOTA_FACTOR = 1.6
HOT_TEAM = ("team-2", 10.0)
STANDING = "standing"


def put_in_force(way: str) -> None:
    """Set the constants that a way names."""
    for setting in way.split(",") if way != STANDING else ():
        name, _, value = setting.partition("=")
        module, _, constant = name.rpartition(".")
        found = importlib.import_module(f"snowdock.jobs.{module}")
        if not hasattr(found, constant):
            raise SystemExit(f"no such setting: {name}")
        setattr(found, constant, ast.literal_eval(value))


def play_paired(
    play: Callable, ways: list[str], seeds: int, processes: int, *given: object
) -> dict[str, list]:
    """Play all ways on the same seeds, from 1; give what came of each, by way.

    Parameters
    ----------
    play
        (way, seed, *given) -> what came of a day; it puts the way in force.
    ways, seeds
        The ways, and how many seeds each plays.
    processes
        How many days are played at the same time.
    given
        What else each play gets.
    """
    # A process for each play: settings of one way may not stay in force for the next.
    with concurrent.futures.ProcessPoolExecutor(processes, max_tasks_per_child=1) as pool:
        runs = {
            way: [pool.submit(play, way, seed, *given) for seed in range(1, seeds + 1)]
            for way in ways
        }
        return {way: [run.result() for run in of_way] for way, of_way in runs.items()}


def format_worth(outcomes: list, first: list) -> str:
    """Write the mean worth of a way's days, and how it differs from the first way's."""
    gains = [day.worth - before.worth for day, before in zip(outcomes, first, strict=True)]
    mean = statistics.mean(day.worth for day in outcomes)
    return f"{mean:.3f} ({statistics.mean(gains):+.3f}, {statistics.pstdev(gains):.3f})"


def play(way: str, seed: int, load: float) -> tuple[str, int, Report, float, float]:
    """Play a day; give its report, the mean use of processors under load, and the time taken."""
    put_in_force(way)
    whole = CAPACITY.times(WORKERS)
    teams = uneven_teams(TEAMS, whole.scaled(QUOTA_FACTOR))
    workload = WorkloadOptions(SECONDS, load, wide_mixes(), BURSTS, teams, HOT_TEAM)
    options = EmulatorOptions(workload, WORKERS, CAPACITY, racks=15, askers=45)
    jobs = draw_workload(seed, workload)
    began = time.perf_counter()
    emulator = Emulator(seed, options, jobs)
    used = []
    for second in range(int(SECONDS + DRAIN_SECONDS)):
        emulator.run_until(second + 1.0)
        if 5 <= second < SECONDS:
            busy = sum(worker.used_cpu for worker in emulator.workers.values())
            used.append(busy / whole.cpu)
    # What a team sends far beyond its weight is not owed.
    report = make_report(emulator, [job for job in jobs if job.team != HOT_TEAM[0]])
    return way, seed, report, statistics.mean(used), time.perf_counter() - began


def main() -> None:
    """Play all ways and print a table."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("ways", nargs="+", help="standing, or MODULE.CONSTANT=VALUE[,...]")
    parser.add_argument("--seeds", type=int, default=3)
    parser.add_argument("--load", type=float, default=1.0)
    parser.add_argument("--processes", type=int, default=4)
    options = parser.parse_args()
    seeds = range(1, options.seeds + 1)
    days = play_paired(play, options.ways, options.seeds, options.processes, options.load)
    played = [day for of_way in days.values() for day in of_way]
    first: dict[int, float] = {}
    print(f"{'way':<48} worth  (difference, spread)  queues' worth; worst teams; in use; broken")
    for way in options.ways:
        of_way = [each for each in played if each[0] == way]
        worths = {seed: report.worth for _, seed, report, _, _ in of_way}
        first = first or worths
        gains = [worths[seed] - first[seed] for seed in seeds]
        spread = statistics.stdev(gains) if len(gains) > 1 else 0.0
        reports = [report for _, _, report, _, _ in of_way]
        queues = " ".join(
            f"{queue.queue} {statistics.mean(r.queues[number].worth for r in reports):.3f}"
            for number, queue in enumerate(reports[0].queues)
        )
        print(
            f"{way:<48} {statistics.mean(worths.values()):.3f}"
            f"  ({statistics.mean(gains):+.3f}, {spread:.3f})  {queues};"
            f" {statistics.mean(r.worst_teams for r in reports):.3f};"
            f" {statistics.mean(use for _, _, _, use, _ in of_way):.2f};"
            f" {sum(r.violations for r in reports)}"
        )
    longest = max(seconds for *_, seconds in played)
    print(f"the longest play took {longest:.0f} s")


if __name__ == "__main__":
    main()

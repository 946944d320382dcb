"""Compare scheduler settings on the same seeds: ``python -m bench.ways WAY ... [--seeds N]``.

A way is ``standing`` (the defaults), or comma-separated settings such as
``quotas._RESERVES_QUOTA=False``, which set constants of modules of ``snowdock.jobs``. All ways run
the same seeds on the emulator: a settlement service on 176 workers with 20 teams, one of which
sends ten times its usual load, a burst of lookups and one of payouts. The leader's processor time
isn't modelled.
"""

import argparse
import ast
import concurrent.futures
import importlib
import statistics
import time
from collections.abc import Callable, Sequence

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


def apply_settings(way: str) -> None:
    """Set the constants that are named in a way.

    Raises
    ------
    SystemExit
        If there is no such constant.
    """
    for setting in way.split(",") if way != STANDING else ():
        name, _, value = setting.partition("=")
        module, _, constant = name.rpartition(".")
        settings_module = importlib.import_module(f"snowdock.jobs.{module}")
        if not hasattr(settings_module, constant):
            raise SystemExit(f"no such setting: {name}")
        setattr(settings_module, constant, ast.literal_eval(value))


def run_paired(
    run_seed: Callable, ways: list[str], seeds: int, processes: int, *arguments: object
) -> dict[str, list]:
    """Run all ways on the same seeds, counted from 1; return the results by way.

    Parameters
    ----------
    run_seed
        Called with a way, a seed and ``arguments``; it applies the way's settings, runs the seed
        and returns the result.
    ways, seeds
        The ways, and the number of seeds for each.
    processes
        The number of concurrent runs.
    arguments
        Further arguments of ``run_seed``.
    """
    # Each run has its own process, so that settings don't carry over to the next run.
    with concurrent.futures.ProcessPoolExecutor(processes, max_tasks_per_child=1) as pool:
        runs = {
            way: [pool.submit(run_seed, way, seed, *arguments) for seed in range(1, seeds + 1)]
            for way in ways
        }
        return {way: [run.result() for run in of_way] for way, of_way in runs.items()}


def format_worth(outcomes: list, first: list) -> str:
    """Format the mean worth of a way's runs, and its difference from the first way's."""
    gains = [result.worth - before.worth for result, before in zip(outcomes, first, strict=True)]
    mean = statistics.mean(result.worth for result in outcomes)
    return f"{mean:.3f} ({statistics.mean(gains):+.3f}, {statistics.pstdev(gains):.3f})"


def run_seed(way: str, seed: int, load: float) -> tuple[str, int, Report, float, float]:
    """Run one seed; return way, seed, report, mean processor use under load, and seconds taken."""
    apply_settings(way)
    total_capacity = CAPACITY.times(WORKERS)
    teams = uneven_teams(TEAMS, total_capacity.scaled(QUOTA_FACTOR))
    workload = WorkloadOptions(SECONDS, load, wide_mixes(), BURSTS, teams, HOT_TEAM)
    options = EmulatorOptions(workload, WORKERS, CAPACITY, racks=15, advice_node_count=45)
    jobs = draw_workload(seed, workload)
    began = time.perf_counter()
    emulator = Emulator(seed, options, jobs)
    used_share = run_day(emulator, SECONDS, DRAIN_SECONDS, total_capacity)
    # The overloading team's jobs aren't counted, since they exceed its share.
    report = make_report(emulator, [job for job in jobs if job.team != HOT_TEAM[0]])
    return way, seed, report, used_share, time.perf_counter() - began


def run_day(emulator: Emulator, seconds: float, drain_seconds: float, capacity: Size) -> float:
    """Run a day and its drain; return the mean share of the processors in use from second 5 on."""
    used = []
    for second in range(int(seconds + drain_seconds)):
        emulator.run_until(second + 1.0)
        if 5 <= second < seconds:
            busy = sum(worker.used_cpu for worker in emulator.workers.values())
            used.append(busy / capacity.cpu)
    return statistics.mean(used)


def format_queue_worths(reports: Sequence[Report]) -> str:
    """Return the mean worth of each queue."""
    return " ".join(
        f"{queue.queue} {statistics.mean(r.queues[number].worth for r in reports):.3f}"
        for number, queue in enumerate(reports[0].queues)
    )


def main() -> None:
    """Run all ways and print a table."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("ways", nargs="+", help="standing, or MODULE.CONSTANT=VALUE[,...]")
    parser.add_argument("--seeds", type=int, default=3)
    parser.add_argument("--load", type=float, default=1.0)
    parser.add_argument("--processes", type=int, default=4)
    options = parser.parse_args()
    seeds = range(1, options.seeds + 1)
    results_by_way = run_paired(
        run_seed, options.ways, options.seeds, options.processes, options.load
    )
    results = [result for of_way in results_by_way.values() for result in of_way]
    first: dict[int, float] = {}
    print(f"{'way':<48} worth  (difference, spread)  queues' worth; worst teams; in use; broken")
    for way in options.ways:
        of_way = [each for each in results if each[0] == way]
        worths = {seed: report.worth for _, seed, report, _, _ in of_way}
        first = first or worths
        gains = [worths[seed] - first[seed] for seed in seeds]
        spread = statistics.stdev(gains) if len(gains) > 1 else 0.0
        reports = [report for _, _, report, _, _ in of_way]
        print(
            f"{way:<48} {statistics.mean(worths.values()):.3f}"
            f"  ({statistics.mean(gains):+.3f}, {spread:.3f})  {format_queue_worths(reports)};"
            f" {statistics.mean(r.worst_teams for r in reports):.3f};"
            f" {statistics.mean(use for _, _, _, use, _ in of_way):.2f};"
            f" {sum(r.violations for r in reports)}"
        )
    longest = max(seconds for *_, seconds in results)
    print(f"the longest play took {longest:.0f} s")


if __name__ == "__main__":
    main()

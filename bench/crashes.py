"""Compare settings for the detection of crashing tasks: ``python -m bench.crashes WAY ...``.

A way is ``standing`` (the defaults) or settings, as in `bench.ways`. All ways run the same seeds
on the emulator: a settlement service on 24 workers, where one job in a hundred has a task that
crashes each worker that starts it, or with ``--small-pool`` short jobs on four workers. With
``--flaps``, a share of the workers goes down and comes back every few seconds, independently of
tasks; with ``--changes``, the leader changes every second or two and workers drain.
"""

import argparse
import dataclasses
import random
import statistics

from bench.ways import apply_settings, format_worth, run_paired
from snowdock.emulator import Emulator, EmulatorOptions, WorkloadOptions, draw_workload
from snowdock.emulator.report import make_report
from snowdock.emulator.small_pool import small_pool_options
from snowdock.emulator.workload import DrawnJob, default_mixes
from snowdock.jobs.model import JobStatus

SECONDS = 30.0
DRAIN_SECONDS = 30.0
LOAD = 0.55
CRASHING_SHARE = 0.01
FLAP_EVERY_SECONDS = 6.0
FLAP_SHARE = 0.15
RETURN_SECONDS = 3.5
CHANGE_EVERY_SECONDS = (0.5, 2.5)
LEADERLESS_SECONDS = (0.1, 2.0)
DRAIN_SHARE = 0.35
MIN_WORKERS = 15
"""The interval of leader changes and drains, the time without a leader, the share of drains among
the changes, and the least number of workers that accept work."""


@dataclasses.dataclass(frozen=True, slots=True)
class Outcome:
    """The results of one run.

    Attributes
    ----------
    crashing_jobs, detected_jobs
        Jobs with a crashing task, and those of them that were reported as failed.
    wrongly_failed
        Other jobs that were reported as failed.
    crashes
        Workers that were crashed by tasks.
    report_delay_s
        Median seconds until the callers of a job with a crashing task learned of its end.
    worth
        The worth of all other jobs, as a share of their greatest possible worth.
    violations
        The number of violations.
    """

    crashing_jobs: int
    detected_jobs: int
    wrongly_failed: int
    crashes: int
    report_delay_s: float
    worth: float
    violations: int


def run_seed(
    way: str, seed: int, share: float, small_pool: bool, flaps: bool, changes: bool
) -> Outcome:
    """Run one seed with one way's settings."""
    apply_settings(way)
    options = small_pool_options(share) if small_pool else _make_options(share, changes)
    jobs = draw_workload(seed, options.workload)
    emulator = Emulator(seed, options, jobs)
    emulator.checks.is_undisturbed = False
    if flaps:
        _schedule_flap(emulator, random.Random(f"flaps of {seed}"))
    if changes:
        _schedule_leader_change(emulator, random.Random(f"changes of {seed}"))
    emulator.run_until(SECONDS + DRAIN_SECONDS)
    return _evaluate(emulator, jobs)


def _make_options(share: float, changes: bool) -> EmulatorOptions:
    mixes = [dataclasses.replace(mix, crashing_share=share) for mix in default_mixes()]
    workload = WorkloadOptions(SECONDS, LOAD, tuple(mixes))
    return EmulatorOptions(workload, lists_crashed_workers=changes)


def _schedule_flap(emulator: Emulator, source: random.Random) -> None:
    """Repeatedly crash a share of the workers, which return after a delay."""

    def flap() -> None:
        if emulator.timeline.now > SECONDS:
            return
        lives = [life for life, model in emulator.workers.items() if model.is_up]
        for life in source.sample(lives, round(FLAP_SHARE * len(lives))):
            emulator.fleet.crash(life, RETURN_SECONDS)
        _schedule_flap(emulator, source)

    emulator.timeline.call_after(FLAP_EVERY_SECONDS, flap)


def _schedule_leader_change(emulator: Emulator, source: random.Random) -> None:
    """Repeatedly change the leader or drain a worker."""

    def change() -> None:
        if emulator.timeline.now > SECONDS:
            return
        lives = [life for life, model in emulator.workers.items() if model.accepts_runs]
        if source.random() < DRAIN_SHARE:
            if len(lives) > MIN_WORKERS:
                emulator.fleet.drain(source.choice(lives))
                emulator.fleet.add(0)
        else:
            emulator.kill_leader(source.uniform(*LEADERLESS_SECONDS))
        _schedule_leader_change(emulator, source)

    emulator.timeline.call_after(source.uniform(*CHANGE_EVERY_SECONDS), change)


def _evaluate(emulator: Emulator, jobs: list[DrawnJob]) -> Outcome:
    crashing_jobs = [job for job in jobs if job.crashing]
    failed = {job for job, status in emulator.statuses.items() if status is JobStatus.FAILED}
    other_jobs = [job for job in jobs if not job.crashing]
    waits = [emulator.finished_at[job.job] - job.at for job in crashing_jobs if job.job in failed]
    return Outcome(
        crashing_jobs=len(crashing_jobs),
        detected_jobs=sum(job.job in failed for job in crashing_jobs),
        wrongly_failed=sum(job.job in failed and not job.is_hopeless for job in other_jobs),
        crashes=sum(emulator.checks.count_crashes(job.crashing) for job in crashing_jobs),
        report_delay_s=statistics.median(waits) if waits else 0.0,
        worth=make_report(emulator, other_jobs).worth,
        violations=len(emulator.checks.violations),
    )


def main() -> None:
    """Run all ways and print a table."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("ways", nargs="+", help="standing, or MODULE.CONSTANT=VALUE[,...]")
    parser.add_argument("--seeds", type=int, default=8)
    parser.add_argument("--share", type=float, default=CRASHING_SHARE)
    parser.add_argument("--small-pool", action="store_true")
    parser.add_argument("--flaps", action="store_true")
    parser.add_argument("--changes", action="store_true")
    parser.add_argument("--processes", type=int, default=4)
    options = parser.parse_args()
    arguments = (options.share, options.small_pool, options.flaps, options.changes)
    outcomes_by_way = run_paired(
        run_seed, options.ways, options.seeds, options.processes, *arguments
    )
    print(f"{'way':<60} bad ended innocent crashes/bad heard_s worth (difference, spread) broken")
    first = outcomes_by_way[options.ways[0]]
    for way, outcomes in outcomes_by_way.items():
        crashing_jobs = sum(outcome.crashing_jobs for outcome in outcomes)
        print(
            f"{way:<60} {crashing_jobs:3d} {sum(outcome.detected_jobs for outcome in outcomes):5d}"
            f" {sum(outcome.wrongly_failed for outcome in outcomes):8d}"
            f" {sum(outcome.crashes for outcome in outcomes) / max(1, crashing_jobs):11.2f}"
            f" {statistics.mean(outcome.report_delay_s for outcome in outcomes):7.1f}"
            f" {format_worth(outcomes, first)}"
            f" {sum(outcome.violations for outcome in outcomes):4d}"
        )


if __name__ == "__main__":
    main()

"""Compare settings for the handling of failed runs: ``python -m bench.failures WAY ...``.

A way is ``standing`` (the defaults) or settings, as in `bench.ways`. All ways run the same seeds
on the emulator: a settlement service on 24 workers, where a share of the jobs always fails and a
share of the workers fails every run from second 3 to 12. Without ``--failing``, the pairs of
shares in `SHARES` are used.
"""

import argparse
import dataclasses
import statistics

from bench.ways import apply_settings, format_worth, run_paired
from snowdock.emulator import Emulator, EmulatorOptions, WorkloadOptions, draw_workload
from snowdock.emulator.report import make_report
from snowdock.emulator.workload import DrawnJob, default_mixes
from snowdock.jobs.events import LogDecision
from snowdock.jobs.model import JobStatus

SECONDS = 20.0
DRAIN_SECONDS = 30.0
LOAD = 0.5
SPOILS_FROM, SPOILS_UNTIL = 3.0, 12.0
SHARES = ((0.03, 0.0), (0.3, 0.0), (0.6, 0.0), (0.03, 0.25), (0.3, 0.25), (0.1, 0.33))


@dataclasses.dataclass(frozen=True, slots=True)
class Outcome:
    """The results of one run.

    Attributes
    ----------
    starved, longest_s
        Jobs that ran nothing for 3 s despite free room, and the longest such time in seconds.
    innocent
        Good jobs that were reported as failed.
    spoiled
        Runs of good jobs that failed on failing workers.
    aside_s, sound_aside_s
        Mean seconds in quarantine of failing workers while they failed, and of healthy workers.
    heard_s
        Median seconds until the callers of a failing job learned of its end.
    worth
        The worth of the good jobs, as a share of their greatest possible worth.
    broken
        The number of violations.
    """

    starved: int
    longest_s: float
    innocent: int
    spoiled: int
    quarantined_s: float
    healthy_quarantined_s: float
    report_delay_s: float
    worth: float
    broken: int


class _Simulation:
    """One emulator run, with the counts taken from its leader's decisions."""

    def __init__(self, seed: int, failing: float, spoiling: float) -> None:
        mixes = [dataclasses.replace(mix, hopeless_share=failing) for mix in default_mixes()]
        workload = WorkloadOptions(SECONDS, LOAD, tuple(mixes))
        self.jobs = draw_workload(seed, workload)
        self.emulator = Emulator(seed, EmulatorOptions(workload), self.jobs)
        self.emulator.set_effect_handler(LogDecision, self._count_spoiled_run)
        lives = list(self.emulator.workers)
        self.spoiling = set(lives[: round(spoiling * len(lives))])
        self.quarantined_s: dict[str, float] = dict.fromkeys(lives, 0.0)
        self._good = {job.job for job in self.jobs if not job.is_hopeless}
        self.spoiled = 0

    def _count_spoiled_run(self, decided: LogDecision) -> None:
        fields = dict(decided.fields)
        if decided.decision == "run_ended" and fields["how"] == "failed":
            spoils = SPOILS_FROM <= self.emulator.timeline.now <= SPOILS_UNTIL + 1
            is_theirs = spoils and fields["worker"] in self.spoiling
            self.spoiled += is_theirs and decided.subject in self._good

    def play(self) -> None:
        """Run the emulator and sample which workers are in quarantine."""
        emulator = self.emulator
        at = 0.0
        while at < SECONDS + DRAIN_SECONDS:
            at = round(at + 0.1, 1)
            spoils = SPOILS_FROM <= at < SPOILS_UNTIL
            for life in self.spoiling:
                emulator.workers[life].fails_all_runs = spoils
            emulator.run_until(at)
            for life, worker in emulator.leader_cell.workers.items():
                if worker.quarantined_until > at and (spoils or life not in self.spoiling):
                    self.quarantined_s[life] += 0.1


def play(way: str, seed: int, failing: float, spoiling: float) -> Outcome:
    """Run one seed with one way's settings."""
    apply_settings(way)
    day = _Simulation(seed, failing, spoiling)
    day.play()
    return _evaluate(day)


def _evaluate(day: _Simulation) -> Outcome:
    emulator = day.emulator
    bad = [job for job in day.jobs if job.is_hopeless]
    good = [job for job in day.jobs if not job.is_hopeless]
    failed = {job for job, status in emulator.statuses.items() if status is JobStatus.FAILED}
    starved = emulator.starvation.starved_jobs.values()
    sound = [seconds for life, seconds in day.quarantined_s.items() if life not in day.spoiling]
    spoiling = [day.quarantined_s[life] for life in day.spoiling]
    return Outcome(
        starved=len(starved),
        longest_s=max((each.seconds for each in starved), default=0.0),
        innocent=sum(job.job in failed for job in good),
        spoiled=day.spoiled,
        quarantined_s=statistics.mean(spoiling) if spoiling else 0.0,
        healthy_quarantined_s=statistics.mean(sound),
        report_delay_s=statistics.median(_report_delays(emulator, bad) or [0.0]),
        worth=make_report(emulator, good).worth,
        broken=len(emulator.checks.violations),
    )


def _report_delays(emulator: Emulator, bad: list[DrawnJob]) -> list[float]:
    shown = emulator.finished_at
    return [shown[job.job] - job.at for job in bad if job.job in shown]


def main() -> None:
    """Run all ways and print a table for each pair of shares."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("ways", nargs="+", help="standing, or MODULE.CONSTANT=VALUE[,...]")
    parser.add_argument("--seeds", type=int, default=8)
    parser.add_argument("--failing", type=float)
    parser.add_argument("--spoiling", type=float, default=0.0)
    parser.add_argument("--processes", type=int, default=4)
    options = parser.parse_args()
    chosen = SHARES if options.failing is None else ((options.failing, options.spoiling),)
    print("starved longest innocent spoiled aside_s sound_s heard_s worth (gain, spread) broken")
    for failing, spoiling in chosen:
        print(f"{failing:.2f} of the jobs fail, {spoiling:.2f} of the workers spoil")
        given = (failing, spoiling)
        _print_table(run_paired(play, options.ways, options.seeds, options.processes, *given))


def _print_table(days: dict[str, list[Outcome]]) -> None:
    first = next(iter(days.values()))
    for way, outcomes in days.items():
        print(
            f"{sum(day.starved for day in outcomes):7d}"
            f" {max(day.longest_s for day in outcomes):7.1f}"
            f" {sum(day.innocent for day in outcomes):8d}"
            f" {sum(day.spoiled for day in outcomes):7d}"
            f" {statistics.mean(day.quarantined_s for day in outcomes):7.2f}"
            f" {statistics.mean(day.healthy_quarantined_s for day in outcomes):7.2f}"
            f" {statistics.mean(day.report_delay_s for day in outcomes):7.2f}"
            f" {format_worth(outcomes, first)}"
            f" {sum(day.broken for day in outcomes):4d}  {way}",
            flush=True,
        )


if __name__ == "__main__":
    main()

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
    wrongly_failed
        Good jobs that were reported as failed.
    spoiled_runs
        Runs of good jobs that failed on failing workers.
    quarantined_s, healthy_quarantined_s
        Mean seconds in quarantine of failing workers while they failed, and of healthy workers.
    report_delay_s
        Median seconds until the callers of a failing job learned of its end.
    worth
        The worth of the good jobs, as a share of their greatest possible worth.
    violations
        The number of violations.
    """

    starved: int
    longest_s: float
    wrongly_failed: int
    spoiled_runs: int
    quarantined_s: float
    healthy_quarantined_s: float
    report_delay_s: float
    worth: float
    violations: int


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
        self.spoiled_runs = 0

    def _count_spoiled_run(self, decided: LogDecision) -> None:
        fields = dict(decided.fields)
        if decided.decision == "run_ended" and fields["how"] == "failed":
            spoils = SPOILS_FROM <= self.emulator.timeline.now <= SPOILS_UNTIL + 1
            is_on_failing_worker = spoils and fields["worker"] in self.spoiling
            self.spoiled_runs += is_on_failing_worker and decided.subject in self._good

    def run(self) -> None:
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


def run_seed(way: str, seed: int, failing: float, spoiling: float) -> Outcome:
    """Run one seed with one way's settings."""
    apply_settings(way)
    simulation = _Simulation(seed, failing, spoiling)
    simulation.run()
    return _evaluate(simulation)


def _evaluate(simulation: _Simulation) -> Outcome:
    emulator = simulation.emulator
    failing_jobs = [job for job in simulation.jobs if job.is_hopeless]
    other_jobs = [job for job in simulation.jobs if not job.is_hopeless]
    failed = {job for job, status in emulator.statuses.items() if status is JobStatus.FAILED}
    starved = emulator.starvation.starved_jobs.values()
    healthy = [
        seconds
        for life, seconds in simulation.quarantined_s.items()
        if life not in simulation.spoiling
    ]
    spoiling = [simulation.quarantined_s[life] for life in simulation.spoiling]
    return Outcome(
        starved=len(starved),
        longest_s=max((each.seconds for each in starved), default=0.0),
        wrongly_failed=sum(job.job in failed for job in other_jobs),
        spoiled_runs=simulation.spoiled_runs,
        quarantined_s=statistics.mean(spoiling) if spoiling else 0.0,
        healthy_quarantined_s=statistics.mean(healthy),
        report_delay_s=statistics.median(_report_delays(emulator, failing_jobs) or [0.0]),
        worth=make_report(emulator, other_jobs).worth,
        violations=len(emulator.checks.violations),
    )


def _report_delays(emulator: Emulator, failing_jobs: list[DrawnJob]) -> list[float]:
    shown = emulator.finished_at
    return [shown[job.job] - job.at for job in failing_jobs if job.job in shown]


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
        _print_table(run_paired(run_seed, options.ways, options.seeds, options.processes, *given))


def _print_table(outcomes_by_way: dict[str, list[Outcome]]) -> None:
    first = next(iter(outcomes_by_way.values()))
    for way, outcomes in outcomes_by_way.items():
        print(
            f"{sum(outcome.starved for outcome in outcomes):7d}"
            f" {max(outcome.longest_s for outcome in outcomes):7.1f}"
            f" {sum(outcome.wrongly_failed for outcome in outcomes):8d}"
            f" {sum(outcome.spoiled_runs for outcome in outcomes):7d}"
            f" {statistics.mean(outcome.quarantined_s for outcome in outcomes):7.2f}"
            f" {statistics.mean(outcome.healthy_quarantined_s for outcome in outcomes):7.2f}"
            f" {statistics.mean(outcome.report_delay_s for outcome in outcomes):7.2f}"
            f" {format_worth(outcomes, first)}"
            f" {sum(outcome.violations for outcome in outcomes):4d}  {way}",
            flush=True,
        )


if __name__ == "__main__":
    main()

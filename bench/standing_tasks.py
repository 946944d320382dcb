"""Count long-running tasks that wait beside room: ``python -m bench.standing_tasks [KIND ...]``.

Each day runs the line imaging service on the emulator. The kinds of days differ in their faults.
"""

import argparse
import collections
import concurrent.futures
import dataclasses
import random
import statistics
import time
from collections.abc import Callable

from snowdock.emulator import Emulator, WorkloadOptions, draw_workload
from snowdock.emulator.imaging import imaging_mixes, imaging_options
from snowdock.emulator.report import make_report
from snowdock.emulator.waiting_tasks import WaitingTask
from snowdock.emulator.worker_model import WorkerModel
from snowdock.emulator.workload import Burst
from snowdock.jobs.events import LogDecision
from snowdock.jobs.model import TaskId

WARMUP_SECONDS, DRAIN_SECONDS = 5, 8
CHECK_SECONDS = 0.05
ALLOWED_RESTART_SECONDS = 9.0
BURSTS = (Burst("checks", 8.0, 3.0, 2.0), Burst("checks", 30.0, 3.0, 2.0))
REASONS = (
    "open", "silent", "leaving", "aside", "alone", "on_trial", "doubtful", "suspect", "reserved",
    "ticket",
)  # fmt: skip


@dataclasses.dataclass(frozen=True, slots=True)
class Restart:
    """Seconds from a task's loss until it ran again, and those after the leader declared it."""

    seconds: float
    seconds_after_declaration: float


@dataclasses.dataclass(frozen=True, slots=True)
class Outcome:
    """Results of one day.

    Attributes
    ----------
    kind, seed
        The kind of day, and its seed.
    waits
        Long-running tasks that waited beside room for too long, longest first.
    tasks
        Number of all long-running tasks.
    starved
        Number of jobs that ran nothing beside free room.
    worths
        Worth by queue.
    violations
        Number of violated invariants.
    used_share
        Mean share of the processors in use.
    lines
        Time and fields of the `long_running_task_waits` lines.
    restarts
        Restarts of long-running tasks that were lost with their worker.
    cpu_s
        Processor time of the emulation, in seconds.
    """

    kind: str
    seed: int
    waits: list[WaitingTask]
    tasks: int
    starved: int
    worths: dict[str, float]
    violations: int
    used_share: float
    lines: list[tuple[float, dict[str, object]]]
    restarts: list[Restart]
    cpu_s: float


class RestartWatch:
    """Measures for how long long-running tasks that are lost with their worker don't run.

    Tasks of jobs that end meanwhile are left out.

    Attributes
    ----------
    restarts
        The restarts so far.
    """

    def __init__(self, emulator: Emulator) -> None:
        self.restarts: list[Restart] = []
        self._emulator = emulator
        self._running: dict[str, list[TaskId]] = {}
        self._lost_at: dict[TaskId, float] = {}
        self._known_at: dict[TaskId, float] = {}
        self._check()

    def record_known_loss(self, task: TaskId) -> None:
        """Record that the leader has declared a task's run lost."""
        self._known_at[task] = self._emulator.timeline.now

    def _check(self) -> None:
        timeline, checks = self._emulator.timeline, self._emulator.checks
        for life, model in self._emulator.workers.items():
            if model.is_up:
                self._running[life] = [
                    task for task in model.running if checks.find_step(task).long_running
                ]
            else:
                lost = self._running.pop(life, [])
                self._lost_at.update(dict.fromkeys(lost, timeline.now))
        for task, lost_at in list(self._lost_at.items()):
            is_running = checks.idle_since(task) is None
            if is_running:
                known_at = max(lost_at, self._known_at.get(task, lost_at))
                self.restarts.append(Restart(timeline.now - lost_at, timeline.now - known_at))
            if is_running or checks.has_ended(task.job):
                del self._lost_at[task]
        timeline.call_after(CHECK_SECONDS, self._check)


def fail_workers(emulator: Emulator, rng: random.Random) -> None:
    """Let a tenth of the workers fail all runs for half of the day."""
    lives = rng.sample(list(emulator.workers), 13)

    def set_failing(is_failing: bool) -> None:
        for life in lives:
            emulator.workers[life].fails_all_runs = is_failing

    emulator.timeline.call_after(6.0, lambda: set_failing(True))
    emulator.timeline.call_after(36.0, lambda: set_failing(False))


def drain_and_crash(emulator: Emulator, rng: random.Random) -> None:
    """Drain 13 workers, replace the leader and crash 6 workers."""
    lives = rng.sample(list(emulator.workers), 19)

    def drain() -> None:
        for life in lives[:13]:
            emulator.fleet.drain(life)

    def replace() -> None:
        for number in range(13):
            emulator.fleet.add(number)

    def crash() -> None:
        for life in lives[13:]:
            emulator.fleet.crash(life, 3.5)

    emulator.timeline.call_after(5.0, drain)
    emulator.timeline.call_after(11.0, replace)
    emulator.timeline.call_after(25.0, lambda: emulator.kill_leader(1.0))
    emulator.timeline.call_after(38.0, crash)


def runs_long_tasks(emulator: Emulator, model: WorkerModel) -> bool:
    """Check whether a worker is up and runs a long-running task."""
    running = (emulator.checks.find_step(task) for task in model.running)
    return model.is_up and any(step.long_running for step in running)


def crash_often(emulator: Emulator, rng: random.Random) -> None:
    """Crash a worker with long-running tasks each second, until second 24."""

    def crash() -> None:
        lives = [
            life for life, model in emulator.workers.items() if runs_long_tasks(emulator, model)
        ]
        if lives:
            emulator.fleet.crash(rng.choice(lives), 3.5)

    for second in range(6, 24):
        emulator.timeline.call_after(float(second), crash)


def crash_with_leader(emulator: Emulator, rng: random.Random) -> None:
    """Crash six workers for good together with the leader, at 15 s and 35 s."""

    def crash() -> None:
        up = [life for life, model in emulator.workers.items() if model.is_up]
        for life in rng.sample(up, 6):
            emulator.fleet.crash(life)
        emulator.kill_leader(1.0)

    emulator.timeline.call_after(15.0, crash)
    emulator.timeline.call_after(35.0, crash)


def lose_together(emulator: Emulator, rng: random.Random) -> None:
    """Crash eight workers with long-running tasks together with the leader, three times."""

    def crash() -> None:
        lives = [
            life for life, model in emulator.workers.items() if runs_long_tasks(emulator, model)
        ]
        for life in rng.sample(lives, min(8, len(lives))):
            emulator.fleet.crash(life)
        emulator.kill_leader(rng.uniform(1.1, 2.5))

    for second in (14, 28, 42):
        emulator.timeline.call_after(float(second), crash)


def do_nothing(_: Emulator, __: random.Random) -> None:
    """Inject no fault."""


@dataclasses.dataclass(frozen=True)
class Kind:
    """Kind of day: how faults are injected, the advice nodes and their delays, and the workers."""

    inject: Callable[[Emulator, random.Random], None] = do_nothing
    advice_nodes: int = 32
    has_equal_workers: bool = False
    advice_delay_factor: float = 1.0


KINDS = {
    "quiet": Kind(),
    "failing": Kind(fail_workers),
    "faults": Kind(drain_and_crash),
    "crashes": Kind(crash_often),
    "takeovers": Kind(crash_with_leader),
    "together": Kind(lose_together),
    "together_slow": Kind(lose_together, advice_delay_factor=2.0),
    "few_nodes": Kind(advice_nodes=6),
    "equal": Kind(has_equal_workers=True),
    "equal_hard": Kind(fail_workers, 6, has_equal_workers=True),
}
"""Kinds of days. Among equal workers, more steps are bulky and reserve room."""


def run_day(kind: str, seed: int, load: float, seconds: float) -> Outcome:
    """Run one day."""
    terms = KINDS[kind]
    workload = WorkloadOptions(seconds, load, imaging_mixes(), BURSTS)
    jobs = draw_workload(seed, workload)
    options = dataclasses.replace(
        imaging_options(workload, advice_node_count=terms.advice_nodes),
        max_advice_delay_factor=terms.advice_delay_factor,
    )
    if terms.has_equal_workers:
        options = dataclasses.replace(options, capacities=())
    emulator = Emulator(seed, options, jobs)
    lines: list[tuple[float, dict[str, object]]] = []

    def collect(effect: LogDecision) -> None:
        fields = dict(effect.fields)
        if effect.decision == "long_running_task_waits":
            lines.append((emulator.timeline.now, fields))
        elif effect.decision in ("run_lost", "orphan_lost"):
            watch.record_known_loss(fields["task"])

    watch = RestartWatch(emulator)
    emulator.set_effect_handler(LogDecision, collect)
    terms.inject(emulator, random.Random(seed))
    began = time.process_time()
    used = []
    for second in range(int(seconds) + DRAIN_SECONDS):
        emulator.run_until(second + 1.0)
        models = [each for each in emulator.workers.values() if each.accepts_runs]
        capacity = sum(each.entry.capacity.cpu for each in models)
        used.append(sum(each.used_cpu for each in models) / capacity)
    report = make_report(emulator, jobs)
    waits = sorted(emulator.waiting_tasks.waiting_tasks.values(), key=lambda each: -each.seconds)
    return Outcome(
        kind=kind,
        seed=seed,
        waits=waits,
        tasks=sum(job.spec.steps[0].count for job in jobs if job.cancel_after is not None),
        starved=len(emulator.starvation.starved_jobs),
        worths={each.queue: each.worth for each in report.queues},
        violations=report.violations,
        used_share=statistics.mean(used[WARMUP_SECONDS:]),
        lines=lines,
        restarts=watch.restarts,
        cpu_s=time.process_time() - began,
    )


def count_reasons(outcome: Outcome) -> collections.Counter:
    """Count the logged waits by each reason for which some worker is excluded.

    Workers that the advice service rejects, or that have no room, are left out. A missing ticket
    hides that a worker has no room.
    """
    counts: collections.Counter = collections.Counter()
    for _, fields in outcome.lines:
        present = [reason for reason in REASONS if fields.get(reason)]
        if fields.get("asking"):
            present.append("asking")
        counts.update(present)
    return counts


def main() -> None:
    """Run all days and print a line for each."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("kinds", nargs="*", default=list(KINDS))
    parser.add_argument("--first-seed", type=int, default=1)
    parser.add_argument("--seeds", type=int, default=2)
    parser.add_argument("--load", type=float, default=1.0)
    parser.add_argument("--seconds", type=float, default=60.0)
    parser.add_argument("--processes", type=int, default=4)
    options = parser.parse_args()
    seeds = range(options.first_seed, options.first_seed + options.seeds)
    with concurrent.futures.ProcessPoolExecutor(options.processes) as pool:
        runs = [
            pool.submit(run_day, kind, seed, options.load, options.seconds)
            for kind in options.kinds
            for seed in seeds
        ]
        for run in runs:
            print_outcome(run.result())


def format_restarts(restarts: list[Restart]) -> str:
    """Format the number of restarts, and the median and maximum of their times."""
    if not restarts:
        return "0"
    seconds = [each.seconds for each in restarts]
    declared = [each.seconds_after_declaration for each in restarts]
    late = sum(each > ALLOWED_RESTART_SECONDS for each in seconds)
    return (
        f"{len(restarts)} after {statistics.median(seconds):.2f} s, at most {max(seconds):.2f} s,"
        f" {late} late; {statistics.median(declared):.2f} s after the loss is declared, at most"
        f" {max(declared):.2f} s"
    )


def print_outcome(outcome: Outcome) -> None:
    """Print a day's standing tasks, their longest wait, and the other results."""
    longest = outcome.waits[0].seconds if outcome.waits else 0.0
    search_gap_s = max((fields["searched_s"] for _, fields in outcome.lines), default=0.0)
    worths = " ".join(f"{queue} {worth:.3f}" for queue, worth in outcome.worths.items())
    print(
        f"{outcome.kind:<10} {outcome.seed:>3} standing {len(outcome.waits)}/{outcome.tasks}"
        f" longest {longest:.1f} s; starved {outcome.starved}; in use"
        f" {outcome.used_share:.2f}; {worths}; broken {outcome.violations};"
        f" run again {format_restarts(outcome.restarts)};"
        f" lines {len(outcome.lines)} {dict(count_reasons(outcome))}; searched {search_gap_s:.1f} s"
        f" ago at most; {outcome.cpu_s:.0f} s",
        flush=True,
    )


if __name__ == "__main__":
    main()

"""Report on an emulated day: the value of its jobs, by queue."""

import collections
import dataclasses
import statistics

from ..jobs.model import JobStatus
from .emulator import Emulator
from .workload import DrawnJob

__all__ = ["QueueReport", "Report", "format_report", "make_report"]

_LATE_SHARE = 0.2
"""Share of its worth that a late job earns."""

_LATE_FACTOR = 3.0
"""A job that takes longer than this multiple of its objective earns nothing."""


@dataclasses.dataclass(frozen=True, slots=True)
class QueueReport:
    """Results of one queue; times are from submission to the published end, in seconds.

    A job with long-running tasks earns the share of time during which they ran.
    """

    queue: str
    jobs: int
    in_time: int
    late: int
    unfinished: int
    worth: float
    median_s: float


@dataclasses.dataclass(frozen=True, slots=True)
class Report:
    """Results of a day.

    Attributes
    ----------
    queues
        Results by queue.
    worth
        Earned share of the worth of all jobs.
    violations
        Number of violated invariants.
    worst_teams
        Mean earned share of the tenth of the teams with the lowest shares.
    """

    queues: list[QueueReport]
    worth: float
    violations: int
    worst_teams: float


def _objective_s(job: DrawnJob) -> float:
    specs = job.spec.steps
    longest = [max(seconds) for seconds in job.work_s]
    for number in range(len(specs)):
        earlier = [longest[other] for other in specs[number].after]
        longest[number] += max(earlier, default=0.0)
    queue = job.mix.queue
    return (queue.stretch * max(longest) * 1000 + queue.target_latency_ms) / 1000


def _compute_earned_share(emulator: Emulator, job: DrawnJob) -> float:
    if job.cancel_after is not None:
        return emulator.waiting_tasks.running_share(job.job)
    finished = emulator.finished_at.get(job.job)
    status = emulator.statuses.get(job.job)
    wanted = JobStatus.FAILED if job.is_hopeless or job.crashing else JobStatus.COMPLETED
    if finished is None or status is not wanted:
        return 0.0
    taken = finished - job.at
    objective = _objective_s(job)
    if taken <= objective:
        return 1.0
    return _LATE_SHARE if taken <= _LATE_FACTOR * objective else 0.0


def make_report(emulator: Emulator, jobs: list[DrawnJob]) -> Report:
    """Compute the report on an emulated day."""
    queues = []
    teams: dict[str, list[float]] = collections.defaultdict(lambda: [0.0, 0.0])
    earned_total = possible_total = 0.0
    for name in sorted({job.mix.queue.name for job in jobs}):
        queue_jobs = [job for job in jobs if job.mix.queue.name == name]
        earned = [_compute_earned_share(emulator, job) for job in queue_jobs]
        times = [
            emulator.finished_at[job.job] - job.at
            for job in queue_jobs
            if job.job in emulator.finished_at
        ]
        queues.append(
            QueueReport(
                queue=name,
                jobs=len(queue_jobs),
                in_time=earned.count(1.0),
                late=earned.count(_LATE_SHARE),
                unfinished=len(queue_jobs) - len(times),
                worth=sum(earned) / len(queue_jobs),
                median_s=statistics.median(times) if times else 0.0,
            )
        )
        earned_total += sum(
            share * job.mix.worth for share, job in zip(earned, queue_jobs, strict=True)
        )
        possible_total += sum(job.mix.worth for job in queue_jobs)
        for share, job in zip(earned, queue_jobs, strict=True):
            teams[job.team][0] += share * job.mix.worth
            teams[job.team][1] += job.mix.worth
    worth = earned_total / possible_total if possible_total else 0.0
    shares = sorted(earned / owed for earned, owed in teams.values() if owed)
    worst = shares[: max(1, len(shares) // 10)]
    worst_teams = statistics.mean(worst) if worst else 0.0
    return Report(queues, worth, len(emulator.checks.violations), worst_teams)


def format_report(report: Report) -> str:
    """Return a report as a table."""
    lines = [
        f"{'queue':<16}{'jobs':>6}{'in time':>9}{'late':>6}{'open':>6}{'worth':>8}{'p50 s':>8}"
    ]
    for queue in report.queues:
        lines.append(
            f"{queue.queue:<16}{queue.jobs:>6}{queue.in_time:>9}{queue.late:>6}"
            f"{queue.unfinished:>6}{queue.worth:>8.3f}{queue.median_s:>8.2f}"
        )
    lines.append(
        f"worth {report.worth:.3f}; worst teams {report.worst_teams:.3f};"
        f" {report.violations} promises broken"
    )
    return "\n".join(lines)

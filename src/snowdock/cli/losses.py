"""A table for each queue of what its jobs spent their time on, read from the nodes' logs.

The lines about a job divide the time from its acceptance to its end into intervals. Each interval
counts for the reason that belongs to the line at its end, so a job's intervals add up to its whole
duration. An interval before a job's end counts as not explained if lines are missing there.

A job is in time if it took no longer than its queue allows for the work that the logs show, failed
runs included. A run on a slow worker therefore counts as work; `run_moved` lines show those runs.
"""

import collections
import dataclasses
from collections.abc import Iterable

from .explain import LogLine, parse_line

__all__ = ["JobWay", "QueueLosses", "format_losses", "sum_losses", "trace_jobs"]

_REASONS = {
    "job_accepted": "put on record",
    "job_taken": "no leader knows it",
    "advised": "advice",
    "advice_failed": "advice",
    "placed": "room",
    "room_claimed": "room",
    "run_moved": "moved or yielded",
    "start_refused": "start failed",
    "start_unanswered": "start failed",
    "ticket_expired": "start failed",
    "run_void": "start failed",
    "gang_given_up": "start failed",
    "run_lost": "run lost",
    "task_given_up": "run lost",
    "run_vanished": "run lost",
    "orphan_lost": "run lost",
    "job_ended": "end put on record",
}
"""What a job waited for before a line of each event."""

_LOST_RUN = "run lost"
_WORK = "work"
_FAILED_RUN = "failed run"
_UNEXPLAINED = "not explained"
_USED_UP = "attempts used up"
_GIVEN_UP = "workers crashed"
_AFTER_A_RUN = ("run_ended", "run_lost", "task_given_up", "job_ended")
"""The events that precede a job's end, unless lines were left out."""


@dataclasses.dataclass(slots=True)
class JobWay:
    """What one job spent its time on, from its acceptance to its end.

    Attributes
    ----------
    job, queue
        The job's identifier and the name of its queue.
    began, ended
        Time of its submission and of its end in seconds; an end of None if it has not ended.
    status
        Final status; empty if it has not ended.
    stretch, target_s
        The job is in time if it takes at most ``stretch`` times its work plus ``target_s`` seconds.
    lasts
        Whether its tasks run until it is cancelled; such a job is in time once it had room.
    is_given_up
        Whether one of its tasks was given up because workers crashed.
    spent
        Seconds by reason.
    """

    job: str
    queue: str = ""
    began: float = 0.0
    ended: float | None = None
    status: str = ""
    stretch: float = 0.0
    target_s: float = 0.0
    lasts: bool = False
    is_given_up: bool = False
    spent: dict[str, float] = dataclasses.field(default_factory=dict)

    @property
    def allowed_s(self) -> float:
        """The longest time in seconds in which the job is in time, by the work that logs show."""
        work = self.spent.get(_WORK, 0.0) + self.spent.get(_FAILED_RUN, 0.0)
        return self.stretch * work + self.target_s

    @property
    def is_lost(self) -> bool:
        """Whether it failed, was late or has not ended; a cancelled job is not lost."""
        if self.status == "cancelled":
            return False
        if self.lasts:
            return "room" not in self.spent
        if self.ended is None or self.status != "completed":
            return True
        return self.ended - self.began > self.allowed_s

    @property
    def main_reason(self) -> str:
        """The reason with the most time besides work, or why the job failed."""
        if self.status == "failed":
            return _GIVEN_UP if self.is_given_up else _USED_UP
        waits = {reason: spent for reason, spent in self.spent.items() if reason != _WORK}
        return max(waits, key=waits.get) if waits else _UNEXPLAINED


@dataclasses.dataclass(slots=True)
class QueueLosses:
    """The outcomes of a queue's jobs, and the time and main reasons of those that were lost."""

    queue: str
    jobs: int = 0
    in_time: int = 0
    late: int = 0
    failed: int = 0
    unended: int = 0
    reasons: collections.Counter = dataclasses.field(default_factory=collections.Counter)
    spent: collections.Counter = dataclasses.field(default_factory=collections.Counter)

    def add(self, way: JobWay) -> None:
        """Add one job."""
        self.jobs += 1
        if not way.is_lost:
            self.in_time += 1
            return
        if way.ended is None:
            self.unended += 1
        elif way.status == "failed":
            self.failed += 1
        else:
            self.late += 1
        self.reasons[way.main_reason] += 1
        self.spent.update(way.spent)


def trace_jobs(texts: Iterable[str]) -> list[JobWay]:
    """Build the traces of all jobs that were accepted.

    Parameters
    ----------
    texts
        Lines of all nodes' logs, in any order.
    """
    by_job: dict[str, list[LogLine]] = collections.defaultdict(list)
    last = 0.0
    for line in map(parse_line, texts):
        if line is None:
            continue
        last = max(last, line.time)
        job = _job_of(line)
        if job:
            by_job[job].append(line)
    ways = [_trace(job, lines, last) for job, lines in by_job.items()]
    return [way for way in ways if way.queue]


def _job_of(line: LogLine) -> str:
    if line.event not in _REASONS and line.event != "run_ended":
        return ""
    return line.fields.get("job") or line.fields.get("subject", "")


def _trace(job: str, lines: list[LogLine], last: float) -> JobWay:
    lines.sort(key=lambda line: line.time)
    way = JobWay(job, began=lines[0].time - _number(lines[0], "ms") / 1000)
    before = way.began
    event_before = ""
    for line in lines:
        way.queue = line.fields.get("queue", way.queue)
        way.stretch = _number(line, "stretch") or way.stretch
        way.target_s = _number(line, "target_s") or way.target_s
        way.lasts = way.lasts or line.fields.get("lasts") == "True"
        if way.ended is not None:
            break
        _spend(way, _reason(line, event_before), line.time - before)
        before = line.time
        event_before = line.event
        way.is_given_up = way.is_given_up or line.event == "task_given_up"
        if line.event == "job_ended":
            way.ended = line.time
            way.status = line.fields.get("status", "")
    if way.ended is None:
        _spend(way, _UNEXPLAINED, last - before)
    return way


def _reason(line: LogLine, event_before: str) -> str:
    if line.event == "run_ended":
        reasons = {"done": _WORK, "failed": _FAILED_RUN, "stopped": "moved or yielded"}
        return reasons.get(line.fields.get("how", ""), _LOST_RUN)
    if line.event == "job_ended" and event_before not in _AFTER_A_RUN:
        return _UNEXPLAINED
    return _REASONS[line.event]


def _spend(way: JobWay, reason: str, seconds: float) -> None:
    way.spent[reason] = way.spent.get(reason, 0.0) + seconds


def _number(line: LogLine, field: str) -> float:
    try:
        return float(line.fields.get(field, ""))
    except ValueError:
        return 0.0


def sum_losses(ways: Iterable[JobWay]) -> list[QueueLosses]:
    """Sum jobs by queue; the queue with the most jobs comes first."""
    queues: dict[str, QueueLosses] = {}
    for way in ways:
        queues.setdefault(way.queue, QueueLosses(way.queue)).add(way)
    return sorted(queues.values(), key=lambda losses: -losses.jobs)


def format_losses(losses: list[QueueLosses]) -> list[str]:
    """Format a table with a row for each queue, followed by a row for each reason."""
    told = [f"{'queue':<24} {'jobs':>6} {'in time':>8} {'late':>6} {'failed':>7} {'unended':>8}"]
    for queue in losses:
        told.append(
            f"{queue.queue:<24} {queue.jobs:>6} {queue.in_time:>8} {queue.late:>6}"
            f" {queue.failed:>7} {queue.unended:>8}"
        )
        for reason in sorted(queue.spent, key=lambda reason: -queue.spent[reason]):
            told.append(
                f"    {reason:<20} {queue.reasons[reason]:>6} jobs mainly,"
                f" {queue.spent[reason]:8.1f} s of all lost jobs"
            )
        for reason in (_USED_UP, _GIVEN_UP):
            if queue.reasons[reason]:
                told.append(f"    {reason:<20} {queue.reasons[reason]:>6} jobs")
    return told

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

__all__ = ["JobTrace", "QueueLosses", "format_losses", "sum_losses", "trace_jobs"]

_REASON_BY_EVENT = {
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
_ATTEMPTS_USED_UP = "attempts used up"
_WORKERS_CRASHED = "workers crashed"
_RUN_END_EVENTS = ("run_ended", "run_lost", "task_given_up", "job_ended")
"""The events that precede a job's end, unless lines were left out."""


@dataclasses.dataclass(slots=True)
class JobTrace:
    """What one job spent its time on, from its acceptance to its end.

    Attributes
    ----------
    job, queue
        The job's identifier and the name of its queue.
    started_at, ended_at
        Time of its submission and of its end in seconds; an end of None if it has not ended.
    status
        Final status; empty if it has not ended.
    stretch, target_s
        The job is in time if it takes at most ``stretch`` times its work plus ``target_s`` seconds.
    is_long_running
        Whether its tasks run until it is cancelled; such a job is in time once it had room.
    is_given_up
        Whether one of its tasks was given up because workers crashed.
    seconds_by_reason
        Seconds by reason.
    """

    job: str
    queue: str = ""
    started_at: float = 0.0
    ended_at: float | None = None
    status: str = ""
    stretch: float = 0.0
    target_s: float = 0.0
    is_long_running: bool = False
    is_given_up: bool = False
    seconds_by_reason: dict[str, float] = dataclasses.field(default_factory=dict)

    @property
    def allowed_s(self) -> float:
        """The longest time in seconds in which the job is in time, by the work that logs show."""
        work = self.seconds_by_reason.get(_WORK, 0.0) + self.seconds_by_reason.get(_FAILED_RUN, 0.0)
        return self.stretch * work + self.target_s

    @property
    def is_lost(self) -> bool:
        """Whether it failed, was late or has not ended; a cancelled job is not lost."""
        if self.status == "cancelled":
            return False
        if self.is_long_running:
            return "room" not in self.seconds_by_reason
        if self.ended_at is None or self.status != "completed":
            return True
        return self.ended_at - self.started_at > self.allowed_s

    @property
    def main_reason(self) -> str:
        """The reason with the most time besides work, or why the job failed."""
        if self.status == "failed":
            return _WORKERS_CRASHED if self.is_given_up else _ATTEMPTS_USED_UP
        waits = {
            reason: seconds for reason, seconds in self.seconds_by_reason.items() if reason != _WORK
        }
        return max(waits, key=waits.get) if waits else _UNEXPLAINED


@dataclasses.dataclass(slots=True)
class QueueLosses:
    """The outcomes of a queue's jobs, and the time and main reasons of those that were lost."""

    queue: str
    jobs: int = 0
    in_time: int = 0
    late: int = 0
    failed: int = 0
    unfinished: int = 0
    main_reasons: collections.Counter = dataclasses.field(default_factory=collections.Counter)
    lost_seconds: collections.Counter = dataclasses.field(default_factory=collections.Counter)

    def add(self, trace: JobTrace) -> None:
        """Add one job."""
        self.jobs += 1
        if not trace.is_lost:
            self.in_time += 1
            return
        if trace.ended_at is None:
            self.unfinished += 1
        elif trace.status == "failed":
            self.failed += 1
        else:
            self.late += 1
        self.main_reasons[trace.main_reason] += 1
        self.lost_seconds.update(trace.seconds_by_reason)


def trace_jobs(texts: Iterable[str]) -> list[JobTrace]:
    """Build the traces of all jobs that were accepted.

    Parameters
    ----------
    texts
        Lines of all nodes' logs, in any order.
    """
    by_job: dict[str, list[LogLine]] = collections.defaultdict(list)
    last_time = 0.0
    for line in map(parse_line, texts):
        if line is None:
            continue
        last_time = max(last_time, line.time)
        job = _find_job_id(line)
        if job:
            by_job[job].append(line)
    traces = [_trace_job(job, lines, last_time) for job, lines in by_job.items()]
    return [trace for trace in traces if trace.queue]


def _find_job_id(line: LogLine) -> str:
    if line.event not in _REASON_BY_EVENT and line.event != "run_ended":
        return ""
    return line.fields.get("job") or line.fields.get("subject", "")


def _trace_job(job: str, lines: list[LogLine], last_time: float) -> JobTrace:
    lines.sort(key=lambda line: line.time)
    trace = JobTrace(job, started_at=lines[0].time - _parse_number(lines[0], "ms") / 1000)
    previous_time = trace.started_at
    previous_event = ""
    for line in lines:
        trace.queue = line.fields.get("queue", trace.queue)
        trace.stretch = _parse_number(line, "stretch") or trace.stretch
        trace.target_s = _parse_number(line, "target_s") or trace.target_s
        trace.is_long_running = trace.is_long_running or line.fields.get("lasts") == "True"
        if trace.ended_at is not None:
            break
        _add_seconds(trace, _find_reason(line, previous_event), line.time - previous_time)
        previous_time = line.time
        previous_event = line.event
        trace.is_given_up = trace.is_given_up or line.event == "task_given_up"
        if line.event == "job_ended":
            trace.ended_at = line.time
            trace.status = line.fields.get("status", "")
    if trace.ended_at is None:
        _add_seconds(trace, _UNEXPLAINED, last_time - previous_time)
    return trace


def _find_reason(line: LogLine, previous_event: str) -> str:
    if line.event == "run_ended":
        reasons = {"done": _WORK, "failed": _FAILED_RUN, "stopped": "moved or yielded"}
        return reasons.get(line.fields.get("how", ""), _LOST_RUN)
    if line.event == "job_ended" and previous_event not in _RUN_END_EVENTS:
        return _UNEXPLAINED
    return _REASON_BY_EVENT[line.event]


def _add_seconds(trace: JobTrace, reason: str, seconds: float) -> None:
    trace.seconds_by_reason[reason] = trace.seconds_by_reason.get(reason, 0.0) + seconds


def _parse_number(line: LogLine, field: str) -> float:
    try:
        return float(line.fields.get(field, ""))
    except ValueError:
        return 0.0


def sum_losses(traces: Iterable[JobTrace]) -> list[QueueLosses]:
    """Sum jobs by queue; the queue with the most jobs comes first."""
    queues: dict[str, QueueLosses] = {}
    for trace in traces:
        queues.setdefault(trace.queue, QueueLosses(trace.queue)).add(trace)
    return sorted(queues.values(), key=lambda losses: -losses.jobs)


def format_losses(losses: list[QueueLosses]) -> list[str]:
    """Format a table with a row for each queue, followed by a row for each reason."""
    rows = [f"{'queue':<24} {'jobs':>6} {'in time':>8} {'late':>6} {'failed':>7} {'unended':>8}"]
    for queue in losses:
        rows.append(
            f"{queue.queue:<24} {queue.jobs:>6} {queue.in_time:>8} {queue.late:>6}"
            f" {queue.failed:>7} {queue.unfinished:>8}"
        )
        for reason in sorted(queue.lost_seconds, key=lambda reason: -queue.lost_seconds[reason]):
            rows.append(
                f"    {reason:<20} {queue.main_reasons[reason]:>6} jobs mainly,"
                f" {queue.lost_seconds[reason]:8.1f} s of all lost jobs"
            )
        for reason in (_ATTEMPTS_USED_UP, _WORKERS_CRASHED):
            if queue.main_reasons[reason]:
                rows.append(f"    {reason:<20} {queue.main_reasons[reason]:>6} jobs")
    return rows

"""Where jobs lost their time: a table for each queue, told from the nodes' logs.

The lines about a job part the time from its being taken in to its end. Each part counts for the
reason that the line at its end names, so the parts of a job add up to all of its time. Where a
node has left lines out, the part before its next line is not explained.

A job is in time if it took no longer than its queue allows for the work that was seen, its failed
runs included. So a run on a slow worker passes for work; `run_moved` tells of those.
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
"""What a job waited for until a line of an event."""

_LOST_RUN = "run lost"
_WORK = "work"
_FAILED_RUN = "failed run"
_UNEXPLAINED = "not explained"
_ATTEMPTS_USED_UP = "attempts used up"
_WORKERS_CRASHED = "workers crashed"
_RUN_END_EVENTS = ("run_ended", "run_lost", "task_given_up", "job_ended")
"""What a job's end follows, unless lines were left out."""


@dataclasses.dataclass(slots=True)
class JobTrace:
    """One job's way from its being taken in to its end.

    Attributes
    ----------
    job, queue
        Which job, of which queue.
    began, ended
        When it was first heard of and when it ended, in seconds; no end where there was none.
    status
        How it ended; empty where it has not.
    stretch, target_s
        It is to be done within so many times its work, and so many seconds more.
    lasts
        Whether its tasks run until it is cancelled; it is in time once it has run.
    is_given_up
        Whether that was because workers crashed under a task of it.
    spent
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
        """Within how many seconds it was to be done, by the work that was seen."""
        work = self.seconds_by_reason.get(_WORK, 0.0) + self.seconds_by_reason.get(_FAILED_RUN, 0.0)
        return self.stretch * work + self.target_s

    @property
    def is_lost(self) -> bool:
        """Whether it did not end well in time; a cancelled job is not lost."""
        if self.status == "cancelled":
            return False
        if self.is_long_running:
            return "room" not in self.seconds_by_reason
        if self.ended_at is None or self.status != "completed":
            return True
        return self.ended_at - self.started_at > self.allowed_s

    @property
    def main_reason(self) -> str:
        """What it spent most time on besides its work."""
        if self.status == "failed":
            return _WORKERS_CRASHED if self.is_given_up else _ATTEMPTS_USED_UP
        waits = {
            reason: seconds for reason, seconds in self.seconds_by_reason.items() if reason != _WORK
        }
        return max(waits, key=waits.get) if waits else _UNEXPLAINED


@dataclasses.dataclass(slots=True)
class QueueLosses:
    """What became of a queue's jobs, and what those that were lost waited for."""

    queue: str
    jobs: int = 0
    in_time: int = 0
    late: int = 0
    failed: int = 0
    unfinished: int = 0
    main_reasons: collections.Counter = dataclasses.field(default_factory=collections.Counter)
    lost_seconds: collections.Counter = dataclasses.field(default_factory=collections.Counter)

    def add(self, trace: JobTrace) -> None:
        """Count one job in."""
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
    """Put together the ways of all jobs that were taken in.

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
    """Sum jobs up by queue, the queue with most jobs first."""
    queues: dict[str, QueueLosses] = {}
    for trace in traces:
        queues.setdefault(trace.queue, QueueLosses(trace.queue)).add(trace)
    return sorted(queues.values(), key=lambda losses: -losses.jobs)


def format_losses(losses: list[QueueLosses]) -> list[str]:
    """Write a table: a line for each queue, and below it one for each reason."""
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

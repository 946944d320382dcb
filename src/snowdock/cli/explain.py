"""The timeline of one job or task, read from the nodes' logs."""

import dataclasses
import itertools
import re
from collections.abc import Iterable

import msgspec

from ..jobs.availability import ExclusionReason

__all__ = ["JobTimeline", "LogLine", "build_timeline", "format_timeline", "parse_line"]

_PAIR = re.compile(r'(\w+)=("(?:[^"\\]|\\.)*"|\S*)')
_RELATED_SECONDS = 5.0
"""A lost dependency is related to lines that its node logs within this time after it."""

_DEPENDENCY_EVENTS = ("dependency_lost", "renewal_failed", "election_call_failed", "deposed")
_WORKER_COUNT_KEYS = ("open", *(reason.value for reason in ExclusionReason))
_JOB_KEYS = ("job", "subject", "task", "path")


@dataclasses.dataclass(frozen=True, slots=True)
class LogLine:
    """One parsed line of a log."""

    time: float
    event: str
    node: str
    fields: dict[str, str]

    def mentions(self, job: str) -> bool:
        """Check whether the line names a job or one of its tasks."""
        return any(job in self.fields.get(key, "") for key in _JOB_KEYS)


@dataclasses.dataclass(frozen=True, slots=True)
class JobTimeline:
    """A job's log lines in order, related losses of dependencies, and the cause of its outcome."""

    job: str
    lines: list[LogLine]
    related: list[LogLine]
    cause: str


def parse_line(text: str) -> LogLine | None:
    """Parse a line of key=value pairs; anything before ``time=`` is skipped."""
    start = text.find("time=")
    if start < 0:
        return None
    fields = {key: _unquote(value) for key, value in _PAIR.findall(text[start:])}
    try:
        time = float(fields.pop("time"))
    except ValueError:
        return None
    return LogLine(time, fields.pop("event", ""), fields.pop("node", ""), fields)


def _unquote(value: str) -> str:
    if not value.startswith('"'):
        return value
    try:
        return msgspec.json.decode(value, type=str)
    except msgspec.MsgspecError:
        return value


def build_timeline(job: str, texts: Iterable[str]) -> JobTimeline:
    """Build the timeline of a job from the logs of all nodes.

    Parameters
    ----------
    job
        The job's identifier.
    texts
        Lines of all nodes' logs, in any order.
    """
    parsed = [line for line in map(parse_line, texts) if line is not None]
    job_lines = sorted((line for line in parsed if line.mentions(job)), key=lambda line: line.time)
    dependency_lines = [line for line in parsed if line.event in _DEPENDENCY_EVENTS]
    related = [line for line in dependency_lines if _is_related(line, job_lines)]
    return JobTimeline(
        job, job_lines, sorted(related, key=lambda line: line.time), _find_cause(job_lines, related)
    )


def _is_related(dependency_line: LogLine, job_lines: list[LogLine]) -> bool:
    return any(
        line.node == dependency_line.node
        and 0 <= line.time - dependency_line.time <= _RELATED_SECONDS
        for line in job_lines
    )


def _find_cause(lines: list[LogLine], related: list[LogLine]) -> str:
    if not lines:
        return "no log names it: it reached no node, or its lines were left out"
    was_accepted = any(line.event in ("job_accepted", "job_taken") for line in lines)
    refusals = [line for line in lines if line.event in ("request_refused", "request_failed")]
    ended = [line for line in lines if line.event == "job_ended"]
    starvation = _explain_starvation(lines)
    if not was_accepted and refusals:
        return _explain_refusal(refusals[-1], related)
    if not ended:
        last = f"it has not ended; the last decision was {lines[-1].event} on {lines[-1].node}"
        return last + starvation
    status = ended[-1].fields.get("status", "")
    if status == "failed":
        return _explain_failure(lines)
    if status == "cancelled":
        return "it was cancelled"
    return _explain_duration(lines, ended[-1]) + starvation


def _explain_starvation(lines: list[LogLine]) -> str:
    """Describe why workers were excluded at the longest wait of a job that starved."""
    starving = [line for line in lines if line.event == "job_starves"]
    if not starving:
        return ""
    longest = max(starving, key=lambda line: float(line.fields.get("waiting_s", 0)))
    counts = {
        reason: longest.fields[reason] for reason in _WORKER_COUNT_KEYS if reason in longest.fields
    }
    workers = ", ".join(f"{count} {reason}" for reason, count in counts.items())
    waited_s = float(longest.fields.get("waiting_s", 0))
    return f"; it ran nothing beside free room for {waited_s:.1f} s, the workers being: {workers}"


def _explain_refusal(line: LogLine, related: list[LogLine]) -> str:
    if line.event == "request_failed":
        return f"a fault of snowdock on {line.node}: {line.fields.get('problem', '')}"
    cause = f"refused by {line.node}: {line.fields.get('reason', '')}"
    lost = [
        loss
        for loss in sorted(related, key=lambda loss: loss.time)
        if loss.node == line.node and loss.time <= line.time
    ]
    if lost:
        ago = line.time - lost[-1].time
        cause += f"; {lost[-1].event} there {ago:.1f} s before: {lost[-1].fields.get('reason', '')}"
    return cause


def _explain_failure(lines: list[LogLine]) -> str:
    given_up = [line for line in lines if line.event == "task_given_up"]
    if given_up:
        return _explain_abandoned_task(given_up[-1], lines)
    failed = [
        line for line in lines if line.event == "run_ended" and line.fields.get("how") == "failed"
    ]
    workers = [line.fields.get("worker", "") for line in failed]
    count = "one worker" if len(set(workers)) == 1 else f"{len(set(workers))} workers"
    return f"{len(failed)} runs failed, on {count} ({', '.join(workers)}): its attempts are used up"


def _explain_abandoned_task(given_up: LogLine, lines: list[LogLine]) -> str:
    task = given_up.fields.get("task", "")
    workers: dict[str, None] = {}
    for line in lines:
        if line.fields.get("task", "") != task:
            continue
        worker = line.fields.get("worker", "")
        if line.event == "task_charged":
            workers[worker] = None
        elif line.event == "charge_taken_back":
            workers.pop(worker, None)
    counts = {
        name: given_up.fields.get(name, "0")
        for name in ("crashes", "possible_crashes", "early_ends", "losses")
    }
    return (
        f"task {task} was given up: {counts['crashes']} workers surely crashed under it and"
        f" {counts['possible_crashes']} may have, {counts['early_ends']} starts after three of"
        f" these ended at once, and {counts['losses']} runs were lost, which does not count"
        f" ({', '.join(workers)}): see evidence and silent_after_s of its run_lost lines"
    )


def _explain_duration(lines: list[LogLine], ended: LogLine) -> str:
    """Describe the longest time between two of the job's lines."""
    until_end = [line for line in lines if line.time <= ended.time]
    pairs = itertools.pairwise(until_end)
    gaps = [(after.time - before.time, before, after) for before, after in pairs]
    if not gaps:
        return f"completed in {ended.fields.get('seconds', '?')} s"
    longest, before, after = max(gaps, key=lambda gap: gap[0])
    unsuccessful_runs = sum(
        line.event == "run_ended" and line.fields.get("how") != "done" for line in until_end
    )
    return (
        f"completed in {ended.fields.get('seconds', '?')} s; the longest wait, {longest:.2f} s,"
        f" was from {before.event} to {after.event}; {unsuccessful_runs} runs did not end well"
    )


def format_timeline(timeline: JobTimeline) -> list[str]:
    """Format a timeline as one row for each line, followed by the cause."""
    if not timeline.lines:
        return [f"cause: {timeline.cause}"]
    start = timeline.lines[0].time
    rows = []
    for line in sorted([*timeline.lines, *timeline.related], key=lambda line: line.time):
        fields = " ".join(f"{k}={v}" for k, v in line.fields.items() if k != "level")
        rows.append(f"{line.time - start:+9.3f} s  {line.node:<24} {line.event:<20} {fields}")
    rows.append(f"cause: {timeline.cause}")
    return rows

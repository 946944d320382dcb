"""The timeline of one job or task, read from the nodes' logs."""

import dataclasses
import itertools
import re
from collections.abc import Iterable

import msgspec

from ..jobs.availability import ExclusionReason

__all__ = ["LogLine", "Story", "format_story", "parse_line", "tell_story"]

_PAIR = re.compile(r'(\w+)=("(?:[^"\\]|\\.)*"|\S*)')
_NEAR_SECONDS = 5.0
"""A lost dependency is related to lines that its node logs within this time after it."""

_DEPENDENCIES = ("dependency_lost", "renewal_failed", "election_call_failed", "deposed")
_CLOSED = ("open", *(reason.value for reason in ExclusionReason))
_ABOUT = ("job", "subject", "task", "path")


@dataclasses.dataclass(frozen=True, slots=True)
class LogLine:
    """One parsed line of a log."""

    time: float
    event: str
    node: str
    fields: dict[str, str]

    def is_about(self, job: str) -> bool:
        """Check whether the line names a job or one of its tasks."""
        return any(job in self.fields.get(key, "") for key in _ABOUT)


@dataclasses.dataclass(frozen=True, slots=True)
class Story:
    """A job's log lines in order, related losses of dependencies, and the cause of its outcome."""

    job: str
    lines: list[LogLine]
    nearby: list[LogLine]
    cause: str


def parse_line(text: str) -> LogLine | None:
    """Parse a line of key=value pairs; anything before ``time=`` is skipped."""
    start = text.find("time=")
    if start < 0:
        return None
    fields = {key: _unquote(value) for key, value in _PAIR.findall(text[start:])}
    try:
        at = float(fields.pop("time"))
    except ValueError:
        return None
    return LogLine(at, fields.pop("event", ""), fields.pop("node", ""), fields)


def _unquote(value: str) -> str:
    if not value.startswith('"'):
        return value
    try:
        return msgspec.json.decode(value, type=str)
    except msgspec.MsgspecError:
        return value


def tell_story(job: str, texts: Iterable[str]) -> Story:
    """Build the timeline of a job from the logs of all nodes.

    Parameters
    ----------
    job
        The job's identifier.
    texts
        Lines of all nodes' logs, in any order.
    """
    parsed = [line for line in map(parse_line, texts) if line is not None]
    about = sorted((line for line in parsed if line.is_about(job)), key=lambda line: line.time)
    troubles = [line for line in parsed if line.event in _DEPENDENCIES]
    nearby = [line for line in troubles if _explains(line, about)]
    return Story(job, about, sorted(nearby, key=lambda line: line.time), _find_cause(about, nearby))


def _explains(trouble: LogLine, about: list[LogLine]) -> bool:
    return any(
        line.node == trouble.node and 0 <= line.time - trouble.time <= _NEAR_SECONDS
        for line in about
    )


def _find_cause(lines: list[LogLine], nearby: list[LogLine]) -> str:
    if not lines:
        return "no log names it: it reached no node, or its lines were left out"
    taken = any(line.event in ("job_accepted", "job_taken") for line in lines)
    refused = [line for line in lines if line.event in ("request_refused", "request_failed")]
    ended = [line for line in lines if line.event == "job_ended"]
    starved = _explain_starving(lines)
    if not taken and refused:
        return _explain_refusal(refused[-1], nearby)
    if not ended:
        last = f"it has not ended; the last decision was {lines[-1].event} on {lines[-1].node}"
        return last + starved
    status = ended[-1].fields.get("status", "")
    if status == "failed":
        return _explain_failure(lines)
    if status == "cancelled":
        return "it was cancelled"
    return _explain_time(lines, ended[-1]) + starved


def _explain_starving(lines: list[LogLine]) -> str:
    """Describe why workers were excluded at the longest wait of a job that starved."""
    starving = [line for line in lines if line.event == "job_starves"]
    if not starving:
        return ""
    worst = max(starving, key=lambda line: float(line.fields.get("waiting_s", 0)))
    counts = {reason: worst.fields[reason] for reason in _CLOSED if reason in worst.fields}
    workers = ", ".join(f"{count} {reason}" for reason, count in counts.items())
    waited_s = float(worst.fields.get("waiting_s", 0))
    return f"; it ran nothing beside free room for {waited_s:.1f} s, the workers being: {workers}"


def _explain_refusal(line: LogLine, nearby: list[LogLine]) -> str:
    if line.event == "request_failed":
        return f"a fault of snowdock on {line.node}: {line.fields.get('problem', '')}"
    cause = f"refused by {line.node}: {line.fields.get('reason', '')}"
    lost = [
        trouble
        for trouble in sorted(nearby, key=lambda trouble: trouble.time)
        if trouble.node == line.node and trouble.time <= line.time
    ]
    if lost:
        ago = line.time - lost[-1].time
        cause += f"; {lost[-1].event} there {ago:.1f} s before: {lost[-1].fields.get('reason', '')}"
    return cause


def _explain_failure(lines: list[LogLine]) -> str:
    given_up = [line for line in lines if line.event == "task_given_up"]
    if given_up:
        return _explain_giving_up(given_up[-1], lines)
    failed = [
        line for line in lines if line.event == "run_ended" and line.fields.get("how") == "failed"
    ]
    where = [line.fields.get("worker", "") for line in failed]
    once = "one worker" if len(set(where)) == 1 else f"{len(set(where))} workers"
    return f"{len(failed)} runs failed, on {once} ({', '.join(where)}): its attempts are used up"


def _explain_giving_up(decision: LogLine, lines: list[LogLine]) -> str:
    task = decision.fields.get("task", "")
    workers: dict[str, None] = {}
    for line in lines:
        if line.fields.get("task", "") != task:
            continue
        worker = line.fields.get("worker", "")
        if line.event == "task_charged":
            workers[worker] = None
        elif line.event == "charge_taken_back":
            workers.pop(worker, None)
    crashes, losses = decision.fields.get("crashes", "?"), decision.fields.get("losses", "?")
    return (
        f"task {task} was given up after {losses} of its starts went with their workers, or ended"
        f" at once after three that did; {crashes} of these workers surely crashed"
        f" ({', '.join(workers)}): see silent_after_s of its run_lost lines"
    )


def _explain_time(lines: list[LogLine], ended: LogLine) -> str:
    """Describe the longest time between two of the job's lines."""
    way = [line for line in lines if line.time <= ended.time]
    steps = itertools.pairwise(way)
    gaps = [(after.time - before.time, before, after) for before, after in steps]
    if not gaps:
        return f"completed in {ended.fields.get('seconds', '?')} s"
    longest, before, after = max(gaps, key=lambda gap: gap[0])
    repeats = sum(line.event == "run_ended" and line.fields.get("how") != "done" for line in way)
    return (
        f"completed in {ended.fields.get('seconds', '?')} s; the longest wait, {longest:.2f} s,"
        f" was from {before.event} to {after.event}; {repeats} runs did not end well"
    )


def format_story(story: Story) -> list[str]:
    """Format a timeline as one row for each line, followed by the cause."""
    if not story.lines:
        return [f"cause: {story.cause}"]
    began = story.lines[0].time
    told = []
    for line in sorted([*story.lines, *story.nearby], key=lambda line: line.time):
        fields = " ".join(f"{k}={v}" for k, v in line.fields.items() if k != "level")
        told.append(f"{line.time - began:+9.3f} s  {line.node:<24} {line.event:<20} {fields}")
    told.append(f"cause: {story.cause}")
    return told

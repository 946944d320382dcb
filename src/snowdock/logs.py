"""Logging with eliot, as one line of key=value pairs for each event.

A separate thread writes the lines, and the rate of each kind of event is limited, so a full pipe
or a burst of events drops lines but never blocks the node.
"""

import json
import queue
import sys
import threading
from typing import TextIO

import eliot
import msgspec

from .clocks import steady_seconds

__all__ = ["LogSink", "format_line", "log_error", "log_event", "start_logging"]

_OMITTED_KEYS = ("task_uuid", "task_level", "message_type")

_MAX_QUEUED_LINES = 5000
"""Lines queued for the stream: a few seconds of the busiest node, about 1 MB."""

_EVENT_LINES_PER_SECOND = 400
"""Maximum number of lines of one kind per second; the leader of 270 workers logs about 300 ends of
runs in that time. With a limit of 100, half of the time that late jobs took was not explained."""

_ERROR_LINES_PER_SECOND = 800
"""Lines of one kind of error per second; higher because operators look for errors."""

_CLOSE_TIMEOUT_SECONDS = 0.5
"""Time limit of each of the two waits for the last lines when the sink is closed."""


def _format_value(value: object) -> str:
    if isinstance(value, float):
        return f"{value:.3f}"
    if isinstance(value, int | bool):
        return str(value)
    if not isinstance(value, str):
        value = msgspec.json.encode(value, enc_hook=str).decode()
    if value and value.isprintable() and not any(character in value for character in ' "='):
        return value
    # Escapes all line separators, and lone surrogates, which the stream does not take.
    return json.dumps(value)


def format_line(message: dict) -> str:
    """Format an eliot message as one line of key=value pairs."""
    pairs = {
        "time": message.get("timestamp", 0.0),
        "event": message.get("message_type", message.get("action_type", "")),
    }
    pairs |= {key: v for key, v in message.items() if key not in (*_OMITTED_KEYS, "timestamp")}
    return " ".join(f"{key}={_format_value(value)}" for key, value in pairs.items())


class _RateLimiter:
    """Limits the lines of each kind per second and counts those that were dropped."""

    def __init__(self) -> None:
        self._second = 0
        self._admitted: dict[str, int] = {}
        self._dropped: dict[str, int] = {}
        self._lock = threading.Lock()

    def admit(self, event: str, limit: int) -> tuple[bool, dict[str, int]]:
        """Check whether a line is within its limit.

        Returns
        -------
        tuple
            Whether the line may be written, and the counts of dropped lines by kind that have
            not been reported yet; these are returned once, by the first call in a second.
        """
        second = int(steady_seconds())
        with self._lock:
            dropped: dict[str, int] = {}
            if second != self._second:
                self._second = second
                dropped, self._dropped = self._dropped, {}
                self._admitted.clear()
            used = self._admitted.get(event, 0)
            self._admitted[event] = used + 1
            if used >= limit:
                self._dropped[event] = self._dropped.get(event, 0) + 1
            return used < limit, dropped


_rate_limiter = _RateLimiter()


class LogSink:
    """Writes lines to a stream on a separate thread.

    Parameters
    ----------
    stream
        The output stream. While it blocks, lines are queued; lines beyond the limit are dropped.
    """

    def __init__(self, stream: TextIO) -> None:
        self._stream = stream
        self._lines: queue.Queue[str | None] = queue.Queue(_MAX_QUEUED_LINES)
        self._dropped = 0
        self._thread = threading.Thread(target=self._run, name="logs", daemon=True)
        self._thread.start()

    @property
    def dropped(self) -> int:
        """Number of lines that were dropped because the queue was full."""
        return self._dropped

    def write(self, line: str) -> None:
        """Queue a line without blocking."""
        try:
            self._lines.put_nowait(line)
        except queue.Full:
            self._dropped += 1

    def close(self) -> None:
        """Write the queued lines and stop the thread, within a time limit."""
        try:
            self._lines.put(None, timeout=_CLOSE_TIMEOUT_SECONDS)
        except queue.Full:
            return
        self._thread.join(_CLOSE_TIMEOUT_SECONDS)

    def _run(self) -> None:
        reported = 0
        while (line := self._lines.get()) is not None:
            dropped = self._dropped
            try:
                if dropped > reported:
                    self._stream.write(f"event=log_lines_dropped count={dropped - reported}\n")
                    reported = dropped
                self._stream.write(line + "\n")
                if self._lines.empty():
                    self._stream.flush()
            except (OSError, ValueError):
                # The reader has closed the stream, so the error cannot be logged either.
                return


def start_logging(node: str, stream: TextIO = sys.stderr) -> LogSink:
    """Log all events to a stream, each with the node's name."""
    sink = LogSink(stream)
    eliot.add_global_fields(node=node)
    eliot.add_destinations(lambda message: sink.write(format_line(message)))
    return sink


def _log(event: str, limit: int, fields: dict[str, object]) -> None:
    # Each outcome has its own limit, so many successes do not suppress the lines of failures.
    limit_key = f"{event}/{fields.get('how', fields.get('status', ''))}"
    admitted, dropped = _rate_limiter.admit(limit_key, limit)
    if dropped:
        eliot.log_message(message_type="log_lines_left_out", level="info", counts=dropped)
    if admitted:
        eliot.log_message(message_type=event, **fields)


def log_event(event: str, **fields: object) -> None:
    """Log an informational event."""
    _log(event, _EVENT_LINES_PER_SECOND, {"level": "info", **fields})


def log_error(event: str, error: object, **fields: object) -> None:
    """Log an event that needs an operator's attention."""
    problem = f"{type(error).__name__}: {error}" if isinstance(error, Exception) else str(error)
    _log(event, _ERROR_LINES_PER_SECOND, {"level": "error", "problem": problem, **fields})

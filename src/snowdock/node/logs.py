"""Logs by eliot, written as one line of key=value pairs for each event."""

import sys
from typing import TextIO

import eliot
import msgspec

__all__ = ["log_error", "log_event", "start_logging"]

_LEFT_OUT = ("task_uuid", "task_level", "message_type")


def _format_value(value: object) -> str:
    if isinstance(value, float):
        return f"{value:.3f}"
    if isinstance(value, int | bool):
        return str(value)
    if not isinstance(value, str):
        value = msgspec.json.encode(value, enc_hook=str).decode()
    if value and not any(character in value for character in ' "=\n'):
        return value
    return msgspec.json.encode(value).decode()


def format_line(message: dict) -> str:
    """Write an eliot message as one line of key=value pairs."""
    pairs = {
        "time": message.get("timestamp", 0.0),
        "event": message.get("message_type", message.get("action_type", "")),
    }
    pairs |= {key: v for key, v in message.items() if key not in (*_LEFT_OUT, "timestamp")}
    return " ".join(f"{key}={_format_value(value)}" for key, value in pairs.items())


def start_logging(node: str, stream: TextIO = sys.stderr) -> None:
    """Send all events to a stream, each with the node's name."""
    eliot.add_global_fields(node=node)
    eliot.add_destinations(lambda message: print(format_line(message), file=stream, flush=True))


def log_event(event: str, **fields: object) -> None:
    """Log an ordinary event."""
    eliot.log_message(message_type=event, level="info", **fields)


def log_error(event: str, error: object, **fields: object) -> None:
    """Log an event that an operator should look at."""
    problem = f"{type(error).__name__}: {error}" if isinstance(error, Exception) else str(error)
    eliot.log_message(message_type=event, level="error", problem=problem, **fields)

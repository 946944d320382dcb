"""A table of the room in use over time and of waiting steps, read from a leader's log."""

import collections
import dataclasses
from collections.abc import Iterable

from .explain import parse_line

__all__ = ["RoomSample", "format_room", "read_room_samples"]

_WINDOW_SECONDS = 2.0
"""Length of the time window that one row averages."""

_COLUMNS = ("cpu", "memory", "accelerators", "waiting", "room", "ticket", "both", "turn", "pause")


@dataclasses.dataclass(frozen=True, slots=True)
class RoomSample:
    """One service at one time: shares of its room in use, waiting steps, and what they lack."""

    time: float
    service: str
    values: dict[str, float]


def read_room_samples(texts: Iterable[str]) -> list[RoomSample]:
    """Read the ``room_use`` lines from logs and sort them by time."""
    samples = []
    for line in map(parse_line, texts):
        if line is None or line.event != "room_use":
            continue
        values = {name: float(line.fields.get(name, 0)) for name in _COLUMNS}
        samples.append(RoomSample(line.time, line.fields.get("subject", ""), values))
    return sorted(samples, key=lambda sample: sample.time)


def format_room(samples: list[RoomSample]) -> list[str]:
    """Format a table with a row for each service and time window."""
    if not samples:
        return []
    first = samples[0].time
    windows: dict[tuple[str, int], list[RoomSample]] = collections.defaultdict(list)
    for sample in samples:
        windows[sample.service, int((sample.time - first) / _WINDOW_SECONDS)].append(sample)
    titles = "".join(f"{name:>13}" for name in _COLUMNS)
    rows = [f"{'service':<20}{'second':>8}{titles}"]
    for (service, window), window_samples in sorted(windows.items()):
        means = [
            sum(sample.values[name] for sample in window_samples) / len(window_samples)
            for name in _COLUMNS
        ]
        row = "".join(f"{mean:>13.2f}" for mean in means)
        rows.append(f"{service:<20}{window * _WINDOW_SECONDS:>8.0f}{row}")
    return rows

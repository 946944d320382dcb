"""How full the workers were over time, and what waiting steps lacked, told from a leader's log."""

import collections
import dataclasses
from collections.abc import Iterable

from .explain import parse_line

__all__ = ["RoomSample", "format_room", "read_room_samples"]

_WINDOW_SECONDS = 2.0
"""The mean of so many seconds stands in one row."""

_COLUMNS = ("cpu", "memory", "accelerators", "waiting", "room", "ticket", "both", "turn", "pause")


@dataclasses.dataclass(frozen=True, slots=True)
class RoomSample:
    """One service's room at a time: shares in use, steps that wait, and what they lack."""

    time: float
    service: str
    values: dict[str, float]


def read_room_samples(texts: Iterable[str]) -> list[RoomSample]:
    """Read the lines about room from logs; other lines are passed over."""
    samples = []
    for line in map(parse_line, texts):
        if line is None or line.event != "room_use":
            continue
        values = {name: float(line.fields.get(name, 0)) for name in _COLUMNS}
        samples.append(RoomSample(line.time, line.fields.get("subject", ""), values))
    return sorted(samples, key=lambda sample: sample.time)


def format_room(samples: list[RoomSample]) -> list[str]:
    """Write a table with a row for each service and window of time."""
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

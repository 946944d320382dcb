"""A table of the room in use over time and of waiting steps, read from a leader's log."""

import collections
import dataclasses
from collections.abc import Iterable

from .explain import parse_line

__all__ = ["RoomUse", "format_room", "read_room"]

_WINDOW_SECONDS = 2.0
"""Length of the time window that one row averages."""

_COLUMNS = ("cpu", "memory", "accelerators", "waiting", "room", "ticket", "both", "turn", "pause")


@dataclasses.dataclass(frozen=True, slots=True)
class RoomUse:
    """One service at one time: shares of its room in use, waiting steps, and what they lack."""

    time: float
    service: str
    figures: dict[str, float]


def read_room(texts: Iterable[str]) -> list[RoomUse]:
    """Read the ``room_use`` lines from logs and sort them by time."""
    found = []
    for line in map(parse_line, texts):
        if line is None or line.event != "room_use":
            continue
        figures = {name: float(line.fields.get(name, 0)) for name in _COLUMNS}
        found.append(RoomUse(line.time, line.fields.get("subject", ""), figures))
    return sorted(found, key=lambda use: use.time)


def format_room(uses: list[RoomUse]) -> list[str]:
    """Format a table with a row for each service and time window."""
    if not uses:
        return []
    first = uses[0].time
    windows: dict[tuple[str, int], list[RoomUse]] = collections.defaultdict(list)
    for use in uses:
        windows[use.service, int((use.time - first) / _WINDOW_SECONDS)].append(use)
    titles = "".join(f"{name:>13}" for name in _COLUMNS)
    told = [f"{'service':<20}{'second':>8}{titles}"]
    for (service, window), found in sorted(windows.items()):
        means = [sum(use.figures[name] for use in found) / len(found) for name in _COLUMNS]
        row = "".join(f"{mean:>13.2f}" for mean in means)
        told.append(f"{service:<20}{window * _WINDOW_SECONDS:>8.0f}{row}")
    return told

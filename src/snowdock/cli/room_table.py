"""How full the workers were over time, and what waiting steps lacked, told from a leader's log."""

import collections
import dataclasses
from collections.abc import Iterable

from .explain import parse_line

__all__ = ["RoomUse", "format_room", "read_room"]

_WINDOW_SECONDS = 2.0
"""The mean of so many seconds stands in one row."""

_COLUMNS = ("cpu", "memory", "accelerators", "waiting", "room", "ticket", "both", "turn", "pause")


@dataclasses.dataclass(frozen=True, slots=True)
class RoomUse:
    """One service's room at a time: shares in use, steps that wait, and what they lack."""

    time: float
    service: str
    figures: dict[str, float]


def read_room(texts: Iterable[str]) -> list[RoomUse]:
    """Read the lines about room from logs; other lines are passed over."""
    found = []
    for line in map(parse_line, texts):
        if line is None or line.event != "room_use":
            continue
        figures = {name: float(line.fields.get(name, 0)) for name in _COLUMNS}
        found.append(RoomUse(line.time, line.fields.get("subject", ""), figures))
    return sorted(found, key=lambda use: use.time)


def format_room(uses: list[RoomUse]) -> list[str]:
    """Write a table with a row for each service and window of time."""
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

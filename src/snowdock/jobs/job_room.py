"""How much of the leader's room for open jobs is in use, and which further jobs it has room for.

Nodes decide about a job before it is recorded, from what the leader has stated last.
"""

import collections
import dataclasses

import msgspec

from .model import JobSpec

__all__ = ["JobRoom", "RoomHistory", "find_room_delay"]

_SMALL_JOB_OBJECTS = 128
_SMALL_JOB_BYTES = 16_384
"""A job with at most so many steps and tasks, of so many bytes, counts as small."""

_MAX_USED_BY_LARGE = 0.75
_MAX_USED = 0.875
"""Share in use from which large jobs, and all jobs, are refused. The rest is for what several nodes
accept until they hear of it, and for a leader with less memory."""

_MAX_DELAY_SECONDS = 60.0
"""The delay if the share in use does not fall, so that no time can be told."""

_HISTORY_SECONDS = 10.0
"""Time over which the fall of the share in use is measured."""


class JobRoom(msgspec.Struct, frozen=True, array_like=True):
    """A leader's statement about its room for open jobs.

    Attributes
    ----------
    used
        Share in use of the limit that is closest to being reached.
    falls_per_s
        By how much that share has fallen in a second; 0 if it has not.
    """

    used: float = 0.0
    falls_per_s: float = 0.0


@dataclasses.dataclass(slots=True)
class RoomHistory:
    """The shares in use of the last seconds, by time."""

    samples: collections.deque[tuple[float, float]] = dataclasses.field(
        default_factory=collections.deque
    )

    def add(self, used: float, now: float) -> JobRoom:
        """Add the share in use at a time, and return the statement that follows."""
        self.samples.append((now, used))
        while now - self.samples[0][0] > _HISTORY_SECONDS:
            self.samples.popleft()
        since, before = self.samples[0]
        fall = (before - used) / (now - since) if now > since else 0.0
        return JobRoom(used, max(0.0, fall))


def find_room_delay(room: JobRoom, spec: JobSpec) -> float | None:
    """Return after how many seconds there may be room for a job; None if there is now."""
    is_small = spec.object_count <= _SMALL_JOB_OBJECTS and spec.held_bytes <= _SMALL_JOB_BYTES
    max_used = _MAX_USED if is_small else _MAX_USED_BY_LARGE
    if room.used < max_used:
        return None
    if room.falls_per_s <= 0.0:
        return _MAX_DELAY_SECONDS
    return min(_MAX_DELAY_SECONDS, (room.used - max_used) / room.falls_per_s)

"""Which records hold the progress of a job that takes more than one record."""

import bisect
import dataclasses
from collections.abc import Iterable

from .progress import Version

__all__ = ["ProgressLayout"]


@dataclasses.dataclass(slots=True)
class ProgressLayout:
    """The blocks of a job's progress that may be on record, and its finished repetitions.

    Attributes
    ----------
    since
        The version from which the blocks on record count; None if the job's progress is in a single
        record, so that none of them counts.
    finished
        Ranges of finished repetitions, by their first and last numbers; ascending and never
        adjacent.
    open_repetitions
        Numbers of the repetitions created so far that are in no range.
    created
        The number of repetitions created so far.
    blocks
        By repetition and key, the encoded tasks that were last written to a block; None if they are
        unknown.
    """

    since: Version | None = None
    finished: list[tuple[int, int]] = dataclasses.field(default_factory=list)
    open_repetitions: set[int] = dataclasses.field(default_factory=set)
    created: int = 0
    blocks: dict[int, dict[str, bytes | None]] = dataclasses.field(default_factory=dict)

    @property
    def keys(self) -> list[str]:
        """The keys of all blocks that may be on record."""
        return [key for blocks in self.blocks.values() for key in blocks]

    @property
    def finished_end(self) -> int:
        """The number that follows that of the last finished repetition."""
        return self.finished[-1][1] + 1 if self.finished else 0

    def is_finished(self, repetition: int) -> bool:
        """Check whether a repetition is finished."""
        position = bisect.bisect_right(self.finished, repetition, key=lambda each: each[0])
        return position > 0 and repetition <= self.finished[position - 1][1]

    def open_created(self, count: int) -> None:
        """Record that a number of repetitions have been created, of which some may be finished."""
        self.open_repetitions.update(
            number for number in range(self.created, count) if not self.is_finished(number)
        )
        self.created = count

    def finish(self, repetition: int, max_ranges: int) -> bool:
        """Add a repetition to the finished ones, unless that would make too many ranges."""
        position = bisect.bisect_right(self.finished, repetition, key=lambda each: each[0])
        first = last = repetition
        start = end = position
        if position and self.finished[position - 1][1] == repetition - 1:
            start -= 1
            first = self.finished[start][0]
        if position < len(self.finished) and self.finished[position][0] == repetition + 1:
            end += 1
            last = self.finished[position][1]
        if start == end and len(self.finished) >= max_ranges:
            return False
        self.finished[start:end] = [(first, last)]
        self.open_repetitions.discard(repetition)
        return True

    def drop_finished(self) -> list[str]:
        """Remove the blocks of finished repetitions, and return their keys."""
        finished = [number for number in self.blocks if self.is_finished(number)]
        return [key for number in finished for key in self.blocks.pop(number)]

    def forget_content(self) -> None:
        """Have all blocks written again, since it is unknown which of them are on record."""
        for blocks in self.blocks.values():
            blocks.update(dict.fromkeys(blocks))

    def add_known(self, repetition: int, keys: Iterable[str]) -> None:
        """Record that blocks of a repetition with unknown content may be on record."""
        self.blocks.setdefault(repetition, {}).update(dict.fromkeys(keys))

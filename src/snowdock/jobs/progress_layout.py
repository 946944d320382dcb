"""Which records hold the progress of a job that takes more than one record."""

import dataclasses
from collections.abc import Iterable

from .number_ranges import Range, add_number, contains
from .progress import Version, parse_block_position

__all__ = ["ProgressLayout"]


@dataclasses.dataclass(slots=True)
class ProgressLayout:
    """The blocks of a job's progress that may be on record, and what of the job is finished.

    Attributes
    ----------
    since
        The version from which the blocks on record count; None if the job's progress is in a single
        record, so that none of them counts.
    finished
        Ranges of finished repetitions, see `number_ranges`.
    open_repetitions
        Numbers of the repetitions created so far that are in no range.
    finished_blocks
        By number of an open repetition, ranges of its blocks of which all tasks are done.
    blocks
        By repetition and key, the encoded tasks that were last written to a block; None if they are
        unknown.
    """

    since: Version | None = None
    finished: list[Range] = dataclasses.field(default_factory=list)
    open_repetitions: set[int] = dataclasses.field(default_factory=set)
    finished_blocks: dict[int, list[Range]] = dataclasses.field(default_factory=dict)
    blocks: dict[int, dict[str, bytes | None]] = dataclasses.field(default_factory=dict)

    @property
    def keys(self) -> list[str]:
        """The keys of all blocks that may be on record."""
        return [key for blocks in self.blocks.values() for key in blocks]

    def is_finished(self, repetition: int) -> bool:
        """Check whether a repetition is finished."""
        return contains(self.finished, repetition)

    def is_block_finished(self, key: str) -> bool:
        """Check whether all tasks of a block are done and no longer recorded, by its key."""
        repetition, block = parse_block_position(key)
        finished = contains(self.finished_blocks.get(repetition, ()), block)
        return finished or self.is_finished(repetition)

    def add_open(self, repetitions: Iterable[int]) -> None:
        """Record that repetitions have been created, of which some may be finished."""
        self.open_repetitions.update(
            number for number in repetitions if not self.is_finished(number)
        )

    def finish(self, repetition: int, max_ranges: int) -> bool:
        """Add a repetition to the finished ones, unless that would make too many ranges."""
        if not add_number(self.finished, repetition, max_ranges):
            return False
        self.open_repetitions.discard(repetition)
        return True

    def drop_finished(self) -> list[str]:
        """Remove the finished blocks, and return their keys."""
        dropped = [key for key in self.keys if self.is_block_finished(key)]
        for key in dropped:
            repetition, _ = parse_block_position(key)
            del self.blocks[repetition][key]
            if not self.blocks[repetition]:
                del self.blocks[repetition]
        return dropped

    def forget_content(self) -> None:
        """Have all blocks written again, since it is unknown which of them are on record."""
        for blocks in self.blocks.values():
            blocks.update(dict.fromkeys(blocks))

    def add_known(self, repetition: int, keys: Iterable[str]) -> None:
        """Record that blocks of a repetition with unknown content may be on record."""
        self.blocks.setdefault(repetition, {}).update(dict.fromkeys(keys))

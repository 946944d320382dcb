"""Sets of numbers as ranges, each of a first and a last number; ascending and never adjacent."""

import bisect
import math
from collections.abc import Callable, Iterable, Iterator, Sequence

__all__ = [
    "Range",
    "add_number",
    "contains",
    "count_numbers",
    "find_misplaced",
    "next_free",
    "next_outside",
    "numbers_between",
]

Range = tuple[int, int]


def contains(ranges: Sequence[Range], number: int) -> bool:
    """Check whether a number is in one of the ranges."""
    position = _position_after(ranges, number)
    return position > 0 and number <= ranges[position - 1][1]


def next_outside(ranges: Sequence[Range], number: int) -> int:
    """Return the smallest number from a given one on that is in none of the ranges."""
    position = _position_after(ranges, number)
    if position and number <= ranges[position - 1][1]:
        return ranges[position - 1][1] + 1
    return number


def next_free(ranges: Sequence[Range], number: int, is_taken: Callable[[int], bool]) -> int:
    """Return the smallest number from a given one on that is in no range and not taken."""
    following = next_outside(ranges, number)
    while is_taken(following):
        following = next_outside(ranges, following + 1)
    return following


def find_misplaced(ranges: Iterable[Range], end: int) -> Range | None:
    """Return the first range that is out of order or reaches ``end``, or None."""
    following = 0
    for first, last in ranges:
        if not following <= first <= last < end:
            return first, last
        following = last + 1
    return None


def count_numbers(ranges: Iterable[Range]) -> int:
    """Return how many numbers are in the ranges."""
    return sum(last + 1 - first for first, last in ranges)


def numbers_between(ranges: Sequence[Range], first: int, end: int) -> Iterator[int]:
    """Yield the numbers from ``first`` to before ``end`` that are in the ranges."""
    position = max(0, _position_after(ranges, first) - 1)
    while position < len(ranges) and ranges[position][0] < end:
        low, last = ranges[position]
        yield from range(max(first, low), min(end, last + 1))
        position += 1


def add_number(ranges: list[Range], number: int, max_ranges: float = math.inf) -> bool:
    """Add a number, unless that would make more ranges than ``max_ranges``; return whether it did.

    The number must be in none of the ranges.
    """
    position = _position_after(ranges, number)
    first = last = number
    start = end = position
    if position and ranges[position - 1][1] == number - 1:
        start -= 1
        first = ranges[start][0]
    if position < len(ranges) and ranges[position][0] == number + 1:
        end += 1
        last = ranges[position][1]
    if start == end and len(ranges) >= max_ranges:
        return False
    ranges[start:end] = [(first, last)]
    return True


def _position_after(ranges: Sequence[Range], number: int) -> int:
    return bisect.bisect_right(ranges, number, key=lambda each: each[0])

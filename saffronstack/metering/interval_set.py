"""Sets of integers as intervals, so that the known records of a worker take little memory. No I/O."""

from __future__ import annotations

from bisect import bisect_right
from collections.abc import Iterable
from dataclasses import dataclass, field
from typing import NamedTuple

ABOVE_ANY_NUMBER = 1 << 62  # greater than any sequence number


@dataclass(slots=True)
class IntervalSet:
    """A set of integers, stored as disjoint intervals in ascending order that include both ends."""

    intervals: list[tuple[int, int]] = field(default_factory=list)

    def __contains__(self, number: int) -> bool:
        position = bisect_right(self.intervals, (number, ABOVE_ANY_NUMBER)) - 1
        return position >= 0 and self.intervals[position][0] <= number <= self.intervals[position][1]

    def add(self, low: int, high: int) -> None:
        """Add all integers from ``low`` to ``high``."""
        first = bisect_right(self.intervals, (low, ABOVE_ANY_NUMBER))
        if first and self.intervals[first - 1][1] >= low - 1:
            first -= 1
            low = self.intervals[first][0]
        end = first
        while end < len(self.intervals) and self.intervals[end][0] <= high + 1:
            high = max(high, self.intervals[end][1])
            end += 1
        self.intervals[first:end] = [(low, high)]

    def overlap(self, other: IntervalSet) -> int:
        """Return how many integers both sets contain."""
        count = 0
        mine, theirs = iter(self.intervals), iter(other.intervals)
        left, right = next(mine, None), next(theirs, None)
        while left is not None and right is not None:
            count += max(0, min(left[1], right[1]) - max(left[0], right[0]) + 1)
            if left[1] < right[1]:
                left = next(mine, None)
            else:
                right = next(theirs, None)
        return count


class IncarnationInterval(NamedTuple):
    """Consecutive sequence numbers of one incarnation, including both ends."""

    incarnation: str
    low: int
    high: int


def group_into_intervals(numbers: Iterable[tuple[str, int]]) -> list[IncarnationInterval]:
    """Group pairs of incarnation and sequence number into intervals without gaps."""
    intervals: list[IncarnationInterval] = []
    for incarnation, number in sorted(numbers):
        last = intervals[-1] if intervals else None
        if last is not None and last.incarnation == incarnation and last.high == number - 1:
            intervals[-1] = IncarnationInterval(incarnation, last.low, number)
        else:
            intervals.append(IncarnationInterval(incarnation, number, number))
    return intervals

"""Whole numbers as spans: which of a worker's records are known takes a few numbers, not one each. No I/O."""

from __future__ import annotations

from bisect import bisect_right
from collections.abc import Iterable
from dataclasses import dataclass, field


@dataclass(slots=True)
class IntervalSet:
    """Whole numbers, kept as spans without gaps."""

    spans: list[tuple[int, int]] = field(default_factory=list)  # both ends belong to it

    def __contains__(self, number: int) -> bool:
        place = bisect_right(self.spans, (number, 1 << 62)) - 1
        return place >= 0 and self.spans[place][0] <= number <= self.spans[place][1]

    def add(self, low: int, high: int) -> None:
        """All numbers from ``low`` to ``high``."""
        place = bisect_right(self.spans, (low, 1 << 62))
        first = place
        if first and self.spans[first - 1][1] >= low - 1:
            first -= 1
            low = self.spans[first][0]
        last = first
        while last < len(self.spans) and self.spans[last][0] <= high + 1:
            high = max(high, self.spans[last][1])
            last += 1
        self.spans[first:last] = [(low, high)]

    def overlap(self, other: IntervalSet) -> int:
        """How many numbers both hold."""
        count = 0
        mine, theirs = iter(self.spans), iter(other.spans)
        a, b = next(mine, None), next(theirs, None)
        while a is not None and b is not None:
            count += max(0, min(a[1], b[1]) - max(a[0], b[0]) + 1)
            if a[1] < b[1]:
                a = next(mine, None)
            else:
                b = next(theirs, None)
        return count


def group_into_intervals(numbers: Iterable[tuple[str, int]]) -> list[tuple[str, int, int]]:
    """Numbers of incarnations as spans without gaps."""
    spans: list[tuple[str, int, int]] = []
    for incarnation, seq in sorted(numbers):
        if spans and spans[-1][0] == incarnation and spans[-1][2] == seq - 1:
            spans[-1] = incarnation, spans[-1][1], seq
        else:
            spans.append((incarnation, seq, seq))
    return spans

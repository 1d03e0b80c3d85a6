"""A heap of what comes due; owned by the decision thread alone."""

from __future__ import annotations

import heapq
from collections.abc import Callable
from itertools import count
from typing import Generic, TypeVar

T = TypeVar("T")


class Timers(Generic[T]):
    """Things with a time, given back in order of time and, at one time, of setting."""

    def __init__(self) -> None:
        self._heap: list[tuple[float, int, T]] = []
        self._ticket = count()

    def __len__(self) -> int:
        return len(self._heap)

    def set(self, due_s: float, what: T) -> None:
        """Give ``what`` back at ``due_s`` (clock time, seconds)."""
        heapq.heappush(self._heap, (due_s, next(self._ticket), what))

    def next_s(self, stands: Callable[[T], bool] | None = None) -> float | None:
        """When the next comes due; those at the head that do not stand any more are dropped unseen."""
        heap = self._heap
        if stands is not None:
            while heap and not stands(heap[0][2]):
                heapq.heappop(heap)
        return heap[0][0] if heap else None

    def due(self, now: float) -> T | None:
        """One that is due, or None."""
        if self._heap and self._heap[0][0] <= now:
            return heapq.heappop(self._heap)[2]
        return None

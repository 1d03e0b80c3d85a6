"""Items with due times, in a heap that only its owner's thread uses."""

from __future__ import annotations

import heapq
from collections.abc import Callable
from itertools import count
from typing import Generic, TypeVar

Item = TypeVar("Item")


class Timers(Generic[Item]):
    """Items in the order of their due times; items with the same time keep their insertion order."""

    def __init__(self) -> None:
        self._heap: list[tuple[float, int, Item]] = []
        self._sequence = count()

    def __len__(self) -> int:
        return len(self._heap)

    def add(self, due_s: float, item: Item) -> None:
        """Add an item that is due at a time on the owner's clock."""
        heapq.heappush(self._heap, (due_s, next(self._sequence), item))

    def next_due_s(self, is_pending: Callable[[Item], bool] | None = None) -> float | None:
        """Return the time at which the next item is due, or None.

        Args:
            is_pending: Returns whether an item is still needed; items at the head that are not are dropped.
        """
        heap = self._heap
        if is_pending is not None:
            while heap and not is_pending(heap[0][2]):
                heapq.heappop(heap)
        return heap[0][0] if heap else None

    def pop_due(self, now: float) -> Item | None:
        """Remove and return an item that is due, or None."""
        if self._heap and self._heap[0][0] <= now:
            return heapq.heappop(self._heap)[2]
        return None

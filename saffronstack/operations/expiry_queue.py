"""Remembered operations in the order in which their deduplication windows end. No I/O."""

from __future__ import annotations

from collections import deque
from collections.abc import Iterator
from heapq import merge

Expiry = tuple[float, bytes]  # when a window ends (Unix seconds), and the operation's digest


class ExpiryQueue:
    """Expiries of operations; one first-in-first-out queue for each length of window keeps them in order."""

    def __init__(self) -> None:
        self._by_window: dict[float, deque[Expiry]] = {}

    def __len__(self) -> int:
        return sum(map(len, self._by_window.values()))

    def __iter__(self) -> Iterator[Expiry]:
        """Iterate over all expiries, the earliest first."""
        return merge(*self._by_window.values())

    def add(self, window_s: float, expires_s: float, digest: bytes) -> None:
        """Add an operation whose window of ``window_s`` seconds ends at ``expires_s``."""
        self._by_window.setdefault(window_s, deque()).append((expires_s, digest))

    def pop_expired(self, now: float) -> Iterator[Expiry]:
        """Remove and yield what has expired by ``now``."""
        for queue in self._by_window.values():
            while queue and queue[0][0] <= now:
                yield queue.popleft()

    def pop_earliest(self) -> Expiry | None:
        """Remove and return the earliest expiry; None where there is none."""
        queues = (queue for queue in self._by_window.values() if queue)
        earliest = min(queues, key=lambda queue: queue[0][0], default=None)
        return earliest.popleft() if earliest is not None else None

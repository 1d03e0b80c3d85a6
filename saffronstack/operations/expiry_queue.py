"""A queue of stored operations, ordered by the end of their deduplication windows. No I/O."""

from __future__ import annotations

from collections import deque
from collections.abc import Iterator
from heapq import merge

Expiry = tuple[float, bytes]  # the end of the window (Unix seconds) and the operation's digest


class ExpiryQueue:
    """Expiry times of operations. One first-in-first-out queue for each window length keeps them in order."""

    def __init__(self) -> None:
        self._by_window: dict[float, deque[Expiry]] = {}

    def __len__(self) -> int:
        return sum(map(len, self._by_window.values()))

    def __iter__(self) -> Iterator[Expiry]:
        """Iterate over all expiry times, earliest first."""
        return merge(*self._by_window.values())

    def add(self, window_s: float, expires_s: float, digest: bytes) -> None:
        """Add an operation whose window of ``window_s`` seconds ends at ``expires_s``."""
        self._by_window.setdefault(window_s, deque()).append((expires_s, digest))

    def pop_expired(self, now: float) -> Iterator[Expiry]:
        """Remove and yield the operations that have expired by ``now``."""
        for queue in self._by_window.values():
            while queue and queue[0][0] <= now:
                yield queue.popleft()

    def pop_earliest(self) -> Expiry | None:
        """Remove and return the operation that expires first; None if the queue is empty."""
        queues = (queue for queue in self._by_window.values() if queue)
        earliest = min(queues, key=lambda queue: queue[0][0], default=None)
        return earliest.popleft() if earliest is not None else None

"""Recent usage of tenants with a budget, in buckets of sliding windows. No I/O.

A bucket is a sixtieth of a window, at a fixed position on a clock without steps. A bucket expires as a whole
when its start leaves the window, so amounts expire at most a sixtieth of the window early and never late.
Amounts may be subtracted again, and times may be out of order. Archived buckets add to those in memory.
"""

from __future__ import annotations

import threading
from collections import OrderedDict
from collections.abc import Callable, Iterator, Mapping
from dataclasses import dataclass, field
from typing import NamedTuple

BUCKETS_PER_WINDOW = 60
MAX_CACHED_TENANTS = 10_000  # whose archived buckets are cached
Buckets = dict[float, int]  # amount by start


class WindowBucket(NamedTuple):
    """A bucket of a tenant's window, or with an empty tenant of all tenants with that window length."""

    tenant: str
    window_s: float
    start_s: float
    amount: int


@dataclass(slots=True)
class SlidingWindow:
    """A sliding window and the sum of its buckets."""

    buckets: Buckets = field(default_factory=dict)
    total: int = 0
    oldest_start_s: float = float("inf")

    def add(self, start_s: float, amount: int) -> None:
        """Add an amount to the bucket with this start."""
        self.buckets[start_s] = self.buckets.get(start_s, 0) + amount
        self.total += amount
        if start_s < self.oldest_start_s:
            self.oldest_start_s = start_s

    def expire(self, before_s: float) -> None:
        """Remove the buckets that start at this time or earlier."""
        while self.oldest_start_s <= before_s:
            self.total -= self.buckets.pop(self.oldest_start_s)
            self.oldest_start_s = min(self.buckets, default=float("inf"))

    def move_future_buckets(self, now_s: float) -> None:
        """Merge the buckets that start after ``now_s`` into one that starts then."""
        for start_s in [start_s for start_s in self.buckets if start_s > now_s]:
            amount = self.buckets.pop(start_s)
            self.buckets[now_s] = self.buckets.get(now_s, 0) + amount
        self.oldest_start_s = min(self.buckets, default=float("inf"))


class SlidingWindows:
    """The windows of all tenants with a budget.

    The account's thread adds amounts; any thread may query. Times are Unix seconds without clock steps.
    """

    def __init__(
        self,
        window_lengths: Mapping[str, float],
        archived_buckets: Callable[[str], Iterator[tuple[float, int]]] | None = None,
    ) -> None:
        """Create empty windows.

        Args:
            window_lengths: Window length of each tenant in seconds.
            archived_buckets: Yields start and amount of a tenant's archived buckets.
        """
        self._window_lengths = dict(window_lengths)
        self._archived_buckets = archived_buckets
        self._lock = threading.Lock()  # guards the attributes below
        self._windows: dict[str, SlidingWindow] = {}
        self._sums_by_length: dict[float, SlidingWindow] = {
            length_s: SlidingWindow() for length_s in set(self._window_lengths.values())
        }
        self._archive_cache: OrderedDict[str, SlidingWindow] = OrderedDict()
        self._is_archive_used = False
        self._latest_s = 0.0
        self.bucket_count = 0  # in memory; may include expired buckets

    def resume_at(self, now_s: float) -> None:
        """Set the time after a restart. Usage after this time, by a clock that was ahead, counts from now."""
        with self._lock:
            self._latest_s = now_s
            for window in (*self._windows.values(), *self._sums_by_length.values()):
                window.move_future_buckets(now_s)

    def add(self, tenant: str, at_s: float, amount: int) -> None:
        """Add an amount that was used at a time; a negative amount subtracts."""
        length_s = self._window_lengths.get(tenant)
        if length_s is None:
            return
        bucket_s = length_s / BUCKETS_PER_WINDOW
        start_s = at_s // bucket_s * bucket_s
        with self._lock:
            self._latest_s = max(self._latest_s, at_s)
            if start_s <= self._latest_s - length_s:
                return
            window = self._windows.get(tenant)
            if window is None:
                window = self._windows[tenant] = SlidingWindow()
            if start_s not in window.buckets:
                self.bucket_count += 1
                self._expire(window, self._latest_s - length_s)
            window.add(start_s, amount)
            total = self._sums_by_length[length_s]
            total.expire(self._latest_s - length_s)
            total.add(start_s, amount)

    def buckets_in_window(self, tenant: str, now_s: float) -> list[tuple[float, int]]:
        """Return start and amount of the buckets in a tenant's window, oldest first."""
        buckets: Buckets = {}
        with self._lock:
            for window in self._current_windows(tenant, now_s - self._window_lengths[tenant]):
                for start_s, amount in window.buckets.items():
                    buckets[start_s] = buckets.get(start_s, 0) + amount
        return sorted(buckets.items())

    def total(self, tenant: str, now_s: float) -> int:
        """Return the usage of a tenant in its window."""
        with self._lock:
            windows = self._current_windows(tenant, now_s - self._window_lengths[tenant])
            return sum(window.total for window in windows)

    def total_of_all_tenants(self, now_s: float) -> int:
        """Return the usage of all tenants with a budget, each in its own window."""
        with self._lock:
            for length_s, window in self._sums_by_length.items():
                window.expire(now_s - length_s)
            return sum(window.total for window in self._sums_by_length.values())

    def is_in_window(self, tenant: str, start_s: float) -> bool:
        """Return whether a bucket is in its tenant's window at the time of the latest amount."""
        length_s = self._window_lengths.get(tenant)
        return length_s is not None and start_s > self._latest_s - length_s

    # ---- state

    def clear(self) -> None:
        """Reset to no usage and no archive."""
        with self._lock:
            self._forget_buckets()
            self._archive_cache.clear()
            self._is_archive_used = False

    def snapshot(self) -> Iterator[WindowBucket]:
        """Yield the buckets in memory: first those of each tenant, then the sums by window length."""
        with self._lock:
            for tenant, window in self._windows.items():
                yield from self._buckets_of_window(tenant, self._window_lengths[tenant], window)
            for length_s, window in self._sums_by_length.items():
                yield from self._buckets_of_window("", length_s, window)

    def restore(self, tenant: str, window_s: float, start_s: float, amount: int) -> None:
        """Add a bucket from a snapshot. Buckets of tenants that no longer have a budget are dropped.

        A window length of 0 removes all buckets instead: the snapshot's buckets follow.
        """
        with self._lock:
            if not window_s:
                self._forget_buckets()
            elif not tenant:
                if window_s in self._sums_by_length:
                    self._sums_by_length[window_s].add(start_s, amount)
            elif tenant in self._window_lengths:
                window = self._windows.setdefault(tenant, SlidingWindow())
                self.bucket_count += start_s not in window.buckets
                window.add(start_s, amount)

    def buckets_in_memory(self) -> list[WindowBucket]:
        """Return the buckets to write to a run."""
        with self._lock:
            return [
                bucket
                for tenant, window in self._windows.items()
                for bucket in self._buckets_of_window(tenant, self._window_lengths[tenant], window)
            ]

    def move_buckets_to_archive(self) -> None:
        """Forget the buckets in memory, which were written to a run."""
        with self._lock:
            self._is_archive_used = True
            for tenant, window in self._windows.items():
                cached = self._archive_cache.get(tenant)
                if cached is not None:
                    for start_s, amount in window.buckets.items():
                        cached.add(start_s, amount)
            self._windows.clear()
            self.bucket_count = 0

    def mark_archive_used(self) -> None:
        """Record that the archive has runs, which may contain buckets."""
        self._is_archive_used = True

    # ---- helpers, called under the lock

    def _buckets_of_window(
        self, tenant: str, length_s: float, window: SlidingWindow
    ) -> Iterator[WindowBucket]:
        for start_s, amount in window.buckets.items():
            if start_s > self._latest_s - length_s and amount:
                yield WindowBucket(tenant, length_s, start_s, amount)

    def _current_windows(self, tenant: str, before_s: float) -> list[SlidingWindow]:
        """Return a tenant's windows in memory and from the archive, without expired buckets."""
        window = self._windows.get(tenant)
        windows = []
        if window is not None:
            self._expire(window, before_s)
            windows.append(window)
        if self._is_archive_used and self._archived_buckets is not None:
            cached = self._read_archived(tenant, self._archived_buckets)
            cached.expire(before_s)
            windows.append(cached)
        return windows

    def _read_archived(
        self, tenant: str, archived_buckets: Callable[[str], Iterator[tuple[float, int]]]
    ) -> SlidingWindow:
        cached = self._archive_cache.get(tenant)
        if cached is None:
            cached = SlidingWindow()
            for start_s, amount in archived_buckets(tenant):
                cached.add(start_s, amount)
            self._archive_cache[tenant] = cached
            if len(self._archive_cache) > MAX_CACHED_TENANTS:
                self._archive_cache.popitem(last=False)
        self._archive_cache.move_to_end(tenant)
        return cached

    def _expire(self, window: SlidingWindow, before_s: float) -> None:
        count = len(window.buckets)
        window.expire(before_s)
        self.bucket_count -= count - len(window.buckets)

    def _forget_buckets(self) -> None:
        self._windows.clear()
        self._sums_by_length = {length_s: SlidingWindow() for length_s in self._sums_by_length}
        self.bucket_count = 0

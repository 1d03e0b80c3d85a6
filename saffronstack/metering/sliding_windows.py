"""What tenants with a budget used lately, in parts of their sliding windows. No I/O.

A window's parts are its sixtieths, at fixed positions on a clock that no step moves. A part leaves as a whole
when its start has left the window, so that amounts can leave a sixtieth of the window early, and never late.
Amounts may be subtracted again; times may come out of order. Parts that were archived add to those in memory.
"""

from __future__ import annotations

import threading
from collections import OrderedDict
from collections.abc import Callable, Iterator, Mapping
from dataclasses import dataclass, field
from typing import NamedTuple

PARTS_PER_WINDOW = 60
MAX_CACHED_TENANTS = 10_000  # whose archived parts are cached
Parts = dict[float, int]  # start: amount


class WindowPart(NamedTuple):
    """A part of a tenant's window; of all tenants with that window where none is named."""

    tenant: str
    window_s: float
    start_s: float
    amount: int


@dataclass(slots=True)
class SlidingWindow:
    """One sliding window."""

    parts: Parts = field(default_factory=dict)
    total: int = 0
    oldest_start_s: float = float("inf")

    def add(self, start_s: float, amount: int) -> None:
        """Add an amount to the part that starts then."""
        self.parts[start_s] = self.parts.get(start_s, 0) + amount
        self.total += amount
        if start_s < self.oldest_start_s:
            self.oldest_start_s = start_s

    def expire(self, before_s: float) -> None:
        """Remove the parts that start at this time or earlier."""
        while self.oldest_start_s <= before_s:
            self.total -= self.parts.pop(self.oldest_start_s)
            self.oldest_start_s = min(self.parts, default=float("inf"))

    def move_future_parts(self, now_s: float) -> None:
        """Move the parts that start after now to now."""
        for start_s in [start_s for start_s in self.parts if start_s > now_s]:
            amount = self.parts.pop(start_s)
            self.parts[now_s] = self.parts.get(now_s, 0) + amount
        self.oldest_start_s = min(self.parts, default=float("inf"))


class SlidingWindows:
    """The windows of all tenants with a budget.

    Amounts come from the account's thread, questions from any; times are steady Unix seconds.
    """

    def __init__(
        self,
        lengths: Mapping[str, float],
        archived_parts: Callable[[str], Iterator[tuple[float, int]]] | None = None,
    ) -> None:
        """Create empty windows.

        Args:
            lengths: Each tenant's window in seconds.
            archived_parts: Returns start and amount of a tenant's archived parts.
        """
        self._lengths = dict(lengths)
        self._archived_parts = archived_parts
        self._lock = threading.Lock()  # guards all below
        self._windows: dict[str, SlidingWindow] = {}
        self._sums: dict[float, SlidingWindow] = {
            length_s: SlidingWindow() for length_s in set(self._lengths.values())
        }
        self._archive_cache: OrderedDict[str, SlidingWindow] = OrderedDict()
        self._is_archive_used = False
        self._latest_s = 0.0
        self.parts = 0  # in memory; an upper bound

    def begin(self, now_s: float) -> None:
        """After a restart: what was noted by a clock that stood later counts from now."""
        with self._lock:
            self._latest_s = now_s
            for window in (*self._windows.values(), *self._sums.values()):
                window.move_future_parts(now_s)

    def add(self, tenant: str, at_s: float, amount: int) -> None:
        """Add an amount that was used then; a negative one subtracts."""
        length_s = self._lengths.get(tenant)
        if length_s is None:
            return
        part_s = length_s / PARTS_PER_WINDOW
        start_s = at_s // part_s * part_s
        with self._lock:
            self._latest_s = max(self._latest_s, at_s)
            if start_s <= self._latest_s - length_s:
                return
            window = self._windows.get(tenant)
            if window is None:
                window = self._windows[tenant] = SlidingWindow()
            if start_s not in window.parts:
                self.parts += 1
                self._expire(window, self._latest_s - length_s)
            window.add(start_s, amount)
            total = self._sums[length_s]
            total.expire(self._latest_s - length_s)
            total.add(start_s, amount)

    def used(self, tenant: str, now_s: float) -> list[tuple[float, int]]:
        """Return start and amount of a tenant's parts that are in its window now, oldest first."""
        parts: Parts = {}
        with self._lock:
            for window in self._current_windows(tenant, now_s - self._lengths[tenant]):
                for start_s, amount in window.parts.items():
                    parts[start_s] = parts.get(start_s, 0) + amount
        return sorted(parts.items())

    def total(self, tenant: str, now_s: float) -> int:
        """Return what a tenant used in its window."""
        with self._lock:
            windows = self._current_windows(tenant, now_s - self._lengths[tenant])
            return sum(window.total for window in windows)

    def whole(self, now_s: float) -> int:
        """Return what all tenants with a budget used, each in its own window."""
        with self._lock:
            for length_s, window in self._sums.items():
                window.expire(now_s - length_s)
            return sum(window.total for window in self._sums.values())

    def is_in_window(self, tenant: str, start_s: float) -> bool:
        """Return whether a part is in its tenant's window, as far as the latest amount tells."""
        length_s = self._lengths.get(tenant)
        return length_s is not None and start_s > self._latest_s - length_s

    # ---- state

    def clear(self) -> None:
        """Forget everything: nothing was used, and nothing was archived."""
        with self._lock:
            self._forget_parts()
            self._archive_cache.clear()
            self._is_archive_used = False

    def snapshot(self) -> Iterator[WindowPart]:
        """Yield the parts in memory, by tenant and then of all tenants by length."""
        with self._lock:
            for tenant, window in self._windows.items():
                yield from self._parts_of_window(tenant, self._lengths[tenant], window)
            for length_s, window in self._sums.items():
                yield from self._parts_of_window("", length_s, window)

    def restore(self, tenant: str, window_s: float, start_s: float, amount: int) -> None:
        """Add a part of a snapshot; one of a tenant that has no budget any more is dropped.

        Without a tenant and a window: the parts that follow are all there are.
        """
        with self._lock:
            if not window_s:
                self._forget_parts()
            elif not tenant:
                if window_s in self._sums:
                    self._sums[window_s].add(start_s, amount)
            elif tenant in self._lengths:
                window = self._windows.setdefault(tenant, SlidingWindow())
                self.parts += start_s not in window.parts
                window.add(start_s, amount)

    def parts_in_memory(self) -> list[WindowPart]:
        """Return the parts that a run would hold."""
        with self._lock:
            return [
                part
                for tenant, window in self._windows.items()
                for part in self._parts_of_window(tenant, self._lengths[tenant], window)
            ]

    def move_parts_to_archive(self) -> None:
        """Forget the parts in memory, which a run holds now."""
        with self._lock:
            self._is_archive_used = True
            for tenant, window in self._windows.items():
                cached = self._archive_cache.get(tenant)
                if cached is not None:
                    for start_s, amount in window.parts.items():
                        cached.add(start_s, amount)
            self._windows.clear()
            self.parts = 0

    def mark_archive_used(self) -> None:
        """Note that there are runs, which may hold parts."""
        self._is_archive_used = True

    # ---- inside, under the lock

    def _parts_of_window(self, tenant: str, length_s: float, window: SlidingWindow) -> Iterator[WindowPart]:
        for start_s, amount in window.parts.items():
            if start_s > self._latest_s - length_s and amount:
                yield WindowPart(tenant, length_s, start_s, amount)

    def _current_windows(self, tenant: str, before_s: float) -> list[SlidingWindow]:
        """Return a tenant's window in memory and the archived one, without what has expired."""
        window = self._windows.get(tenant)
        windows = []
        if window is not None:
            self._expire(window, before_s)
            windows.append(window)
        if self._is_archive_used and self._archived_parts is not None:
            cached = self._read_archived(tenant, self._archived_parts)
            cached.expire(before_s)
            windows.append(cached)
        return windows

    def _read_archived(
        self, tenant: str, archived_parts: Callable[[str], Iterator[tuple[float, int]]]
    ) -> SlidingWindow:
        cached = self._archive_cache.get(tenant)
        if cached is None:
            cached = SlidingWindow()
            for start_s, amount in archived_parts(tenant):
                cached.add(start_s, amount)
            self._archive_cache[tenant] = cached
            if len(self._archive_cache) > MAX_CACHED_TENANTS:
                self._archive_cache.popitem(last=False)
        self._archive_cache.move_to_end(tenant)
        return cached

    def _expire(self, window: SlidingWindow, before_s: float) -> None:
        count = len(window.parts)
        window.expire(before_s)
        self.parts -= count - len(window.parts)

    def _forget_parts(self) -> None:
        self._windows.clear()
        self._sums = {length_s: SlidingWindow() for length_s in self._sums}
        self.parts = 0

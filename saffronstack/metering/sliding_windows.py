"""What tenants with a budget used lately, in parts of their sliding windows. No I/O.

A window's parts are its sixtieths, at fixed places on a clock that no step moves. A part leaves as a whole
when its start has left the window, so that amounts can leave a sixtieth of the window early, and never late.
Amounts may be taken back; times may come out of order. Parts that were moved to a run add to those in memory.
"""

from __future__ import annotations

import threading
from collections import OrderedDict
from collections.abc import Callable, Iterator, Mapping
from dataclasses import dataclass, field

PARTS_PER_WINDOW = 60
MOVED_KEPT = 10_000  # tenants whose moved parts are remembered
Parts = dict[float, int]  # start: amount


@dataclass(slots=True)
class SlidingWindow:
    """One sliding window."""

    parts: Parts = field(default_factory=dict)
    total: int = 0
    oldest: float = float("inf")

    def add(self, start: float, amount: int) -> None:
        """An amount for the part that starts there."""
        self.parts[start] = self.parts.get(start, 0) + amount
        self.total += amount
        if start < self.oldest:
            self.oldest = start

    def leave(self, before: float) -> None:
        """Parts that start then or earlier are out of it."""
        while self.oldest <= before:
            self.total -= self.parts.pop(self.oldest)
            self.oldest = min(self.parts, default=float("inf"))


class SlidingWindows:
    """Amounts come from the account's thread, questions from any; times are steady Unix seconds."""

    def __init__(
        self, lengths: Mapping[str, float], moved: Callable[[str], Iterator[tuple[float, int]]] | None = None
    ) -> None:
        """``lengths``: each tenant's window in seconds. ``moved`` tells parts of a tenant's that left
        memory."""
        self._lengths = dict(lengths)
        self._moved = moved
        self._windows: dict[str, SlidingWindow] = {}
        self._whole: dict[float, SlidingWindow] = {
            length: SlidingWindow() for length in set(self._lengths.values())
        }
        self._cache: OrderedDict[str, SlidingWindow] = OrderedDict()
        self._any_moved = False
        self._latest = 0.0
        self._lock = threading.Lock()
        self.parts = 0  # in memory; an upper bound

    def begin(self, now: float) -> None:
        """After a restart: what was noted by a clock that stood later counts from now."""
        with self._lock:
            self._latest = now
            for window in (*self._windows.values(), *self._whole.values()):
                for start in [start for start in window.parts if start > now]:
                    amount = window.parts.pop(start)
                    window.parts[now] = window.parts.get(now, 0) + amount
                window.oldest = min(window.parts, default=float("inf"))

    def add(self, tenant: str, at: float, amount: int) -> None:
        """An amount used then; a negative one takes back."""
        length = self._lengths.get(tenant)
        if length is None:
            return
        step_s = length / PARTS_PER_WINDOW
        start = at // step_s * step_s
        with self._lock:
            self._latest = max(self._latest, at)
            if start <= self._latest - length:
                return
            window = self._windows.get(tenant)
            if window is None:
                window = self._windows[tenant] = SlidingWindow()
            if start not in window.parts:
                self.parts += 1
                self._let_go(window, self._latest - length)
            window.add(start, amount)
            whole = self._whole[length]
            whole.leave(self._latest - length)
            whole.add(start, amount)

    def used(self, tenant: str, now: float) -> list[tuple[float, int]]:
        """A tenant's parts that stand in its window now, oldest first."""
        length = self._lengths[tenant]
        found: Parts = {}
        with self._lock:
            for window in self._both(tenant, now - length):
                for start, amount in window.parts.items():
                    found[start] = found.get(start, 0) + amount
        return sorted(found.items())

    def total(self, tenant: str, now: float) -> int:
        """What a tenant used in its window."""
        with self._lock:
            return sum(window.total for window in self._both(tenant, now - self._lengths[tenant]))

    def whole(self, now: float) -> int:
        """What all tenants with a budget used, each in its own window."""
        with self._lock:
            for length, window in self._whole.items():
                window.leave(now - length)
            return sum(window.total for window in self._whole.values())

    def _both(self, tenant: str, before: float) -> list[SlidingWindow]:
        """What stands in memory and what was moved, without what has left; under the lock."""
        window = self._windows.get(tenant)
        windows = []
        if window is not None:
            self._let_go(window, before)
            windows.append(window)
        if self._any_moved and self._moved is not None:
            cached = self._cache.get(tenant)
            if cached is None:
                cached = SlidingWindow()
                for start, amount in self._moved(tenant):
                    cached.add(start, amount)
                self._cache[tenant] = cached
                if len(self._cache) > MOVED_KEPT:
                    self._cache.popitem(last=False)
            self._cache.move_to_end(tenant)
            cached.leave(before)
            windows.append(cached)
        return windows

    def _let_go(self, window: SlidingWindow, before: float) -> None:
        held = len(window.parts)
        window.leave(before)
        self.parts -= held - len(window.parts)

    def _forget(self) -> None:
        self._windows.clear()
        self._whole = {length: SlidingWindow() for length in self._whole}
        self.parts = 0

    def stands(self, tenant: str, start: float) -> bool:
        """Whether a part is in its tenant's window, as far as the latest amount tells."""
        length = self._lengths.get(tenant)
        return length is not None and start > self._latest - length

    # ---- state

    def clear(self) -> None:
        """Nothing was used, and nothing was moved."""
        with self._lock:
            self._forget()
            self._cache.clear()
            self._any_moved = False

    def snapshot(self) -> Iterator[tuple[str, float, float, int]]:
        """Tenant (none for all of a length), window, start and amount of each part in memory."""
        with self._lock:
            for tenant, window in self._windows.items():
                length = self._lengths[tenant]
                for start, amount in window.parts.items():
                    if start > self._latest - length and amount:
                        yield tenant, length, start, amount
            for length, window in self._whole.items():
                for start, amount in window.parts.items():
                    if start > self._latest - length and amount:
                        yield "", length, start, amount

    def restore(self, tenant: str, length: float, start: float, amount: int) -> None:
        """A part from a snapshot. One of a tenant that has no budget any more is dropped. No tenant and no
        length: the parts that follow are all there are."""
        with self._lock:
            if not length:
                self._forget()
            elif not tenant:
                if length in self._whole:
                    self._whole[length].add(start, amount)
            elif tenant in self._lengths:
                window = self._windows.setdefault(tenant, SlidingWindow())
                self.parts += start not in window.parts
                window.add(start, amount)

    def in_memory(self) -> Iterator[tuple[str, float, int]]:
        """Tenant, start and amount of the parts that a run would take over."""
        with self._lock:
            kept = [
                (tenant, start, amount)
                for tenant, window in self._windows.items()
                for start, amount in window.parts.items()
                if start > self._latest - self._lengths[tenant] and amount
            ]
        return iter(kept)

    def moved(self) -> None:
        """All parts in memory now stand in a run."""
        with self._lock:
            self._any_moved = True
            for tenant, window in self._windows.items():
                cached = self._cache.get(tenant)
                if cached is not None:
                    for start, amount in window.parts.items():
                        cached.add(start, amount)
            self._windows.clear()
            self.parts = 0

    def know_moved(self) -> None:
        """There are runs: parts may stand in them."""
        self._any_moved = True

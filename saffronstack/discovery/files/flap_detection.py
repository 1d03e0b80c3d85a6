"""Detects workers that come and go too often; they count as draining until they are stable. No I/O."""

from __future__ import annotations

from collections import deque
from dataclasses import dataclass


@dataclass(frozen=True, slots=True)
class FlapSettings:
    """When a worker flaps.

    Attributes:
        changes: So many changes of state within the window are flapping.
        window_s: Length of the window, in seconds.
        stable_s: Seconds without a change after which it flaps no longer.
    """

    changes: int = 4
    window_s: float = 60.0
    stable_s: float = 30.0


class FlapDetector:
    """Remembers the latest changes of each worker; times in seconds of any one clock."""

    def __init__(self, settings: FlapSettings) -> None:
        """Start without changes; ``settings`` say when a worker flaps."""
        self._settings = settings
        self._changes: dict[str, deque[float]] = {}  # times of the latest changes, by worker
        self._last_change_s: dict[str, float] = {}  # of workers that flap

    def record_change(self, worker: str, now: float) -> None:
        """Note that a worker was added, removed, or changed between ready and draining."""
        changes = self._changes.setdefault(worker, deque(maxlen=self._settings.changes))
        changes.append(now)
        is_full = len(changes) == self._settings.changes
        if (is_full and now - changes[0] <= self._settings.window_s) or worker in self._last_change_s:
            self._last_change_s[worker] = now

    def find_flapping(self, now: float) -> set[str]:
        """Return the workers that flap, and forget changes that no longer matter."""
        for worker, last_s in list(self._last_change_s.items()):
            if now - last_s >= self._settings.stable_s:
                del self._last_change_s[worker]
        for worker, changes in list(self._changes.items()):
            if now - changes[-1] > self._settings.window_s and worker not in self._last_change_s:
                del self._changes[worker]
        return set(self._last_change_s)

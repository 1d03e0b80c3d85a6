"""Detects flapping workers. They count as draining until they are stable. No I/O."""

from __future__ import annotations

from collections import deque
from dataclasses import dataclass


@dataclass(frozen=True, slots=True)
class FlapSettings:
    """Thresholds of flap detection.

    Attributes:
        changes: Number of state changes within the window from which a worker is flapping.
        window_s: Length of the window, in seconds.
        stable_s: Seconds without a change after which a worker is no longer flapping.
    """

    changes: int = 4
    window_s: float = 60.0
    stable_s: float = 30.0


class FlapDetector:
    """Tracks the latest state changes of each worker. All times are seconds of the same clock."""

    def __init__(self, settings: FlapSettings) -> None:
        """Start without changes. ``settings`` has the thresholds."""
        self._settings = settings
        self._changes: dict[str, deque[float]] = {}  # times of the latest changes, by worker
        self._last_change_s: dict[str, float] = {}  # of flapping workers

    def record_change(self, worker: str, now: float) -> None:
        """Record that a worker was added, removed, or changed between ready and draining."""
        changes = self._changes.setdefault(worker, deque(maxlen=self._settings.changes))
        changes.append(now)
        is_full = len(changes) == self._settings.changes
        if (is_full and now - changes[0] <= self._settings.window_s) or worker in self._last_change_s:
            self._last_change_s[worker] = now

    def find_flapping(self, now: float) -> set[str]:
        """Return the flapping workers, and discard outdated changes."""
        for worker, last_s in list(self._last_change_s.items()):
            if now - last_s >= self._settings.stable_s:
                del self._last_change_s[worker]
        for worker, changes in list(self._changes.items()):
            if now - changes[-1] > self._settings.window_s and worker not in self._last_change_s:
                del self._changes[worker]
        return set(self._last_change_s)

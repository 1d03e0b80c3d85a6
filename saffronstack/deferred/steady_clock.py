"""Unix time that is not affected by steps of the system clock."""

from __future__ import annotations

from collections.abc import Callable


class SteadyClock:
    """Unix time that follows the monotonic clock, so that setting the system clock does not change it."""

    def __init__(self, monotonic_clock: Callable[[], float], wall_clock: Callable[[], float]) -> None:
        """Read ``wall_clock`` (Unix seconds) once; ``monotonic_clock`` (seconds) is read from then on."""
        self.monotonic_now = monotonic_clock
        self._offset_s = wall_clock() - monotonic_clock()

    def now(self) -> float:
        """Return the current Unix time."""
        return self.monotonic_now() + self._offset_s

    def to_monotonic(self, unix_s: float) -> float:
        """Convert a Unix time to a time of the monotonic clock."""
        return unix_s - self._offset_s

    def to_unix(self, monotonic_s: float) -> float:
        """Convert a time of the monotonic clock to a Unix time."""
        return monotonic_s + self._offset_s

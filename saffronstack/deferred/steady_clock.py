"""Unix time that never steps."""

from __future__ import annotations

from collections.abc import Callable


class SteadyClock:
    """Unix time that follows the monotonic clock, whatever the system's time is set to meanwhile."""

    def __init__(self, monotonic_clock: Callable[[], float], wall_clock: Callable[[], float]) -> None:
        """Read ``wall_clock`` (Unix seconds) once; ``monotonic_clock`` (seconds) is read from then on."""
        self.monotonic_now = monotonic_clock
        self._offset_s = wall_clock() - monotonic_clock()

    def now(self) -> float:
        """Return the present Unix time."""
        return self.monotonic_now() + self._offset_s

    def to_monotonic(self, unix_s: float) -> float:
        """Return the monotonic time of a Unix time."""
        return unix_s - self._offset_s

    def to_unix(self, monotonic_s: float) -> float:
        """Return the Unix time of a monotonic time."""
        return monotonic_s + self._offset_s

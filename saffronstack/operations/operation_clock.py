"""The clock of operations: Unix seconds, which records on disk need, that never step."""

from __future__ import annotations

from collections.abc import Callable


class OperationClock:
    """Unix seconds that follow the monotonic clock from the process's start on."""

    def __init__(self, monotonic: Callable[[], float], wall: Callable[[], float]) -> None:
        """Create the clock from a monotonic clock and one of Unix seconds."""
        self.monotonic = monotonic
        self._offset_s = wall() - monotonic()

    def now(self) -> float:
        """Return the time in Unix seconds."""
        return self.monotonic() + self._offset_s

    def to_unix(self, monotonic_s: float) -> float:
        """Convert a time of the monotonic clock to Unix seconds."""
        return monotonic_s + self._offset_s

    def to_monotonic(self, unix_s: float) -> float:
        """Convert Unix seconds to a time of the monotonic clock."""
        return unix_s - self._offset_s

"""The clock of operations. It returns Unix seconds for records on disk, and never steps."""

from __future__ import annotations

from collections.abc import Callable


class OperationClock:
    """Returns Unix seconds, read once at the start and advanced by the monotonic clock from then on."""

    def __init__(self, monotonic: Callable[[], float], wall: Callable[[], float]) -> None:
        """Create the clock; ``monotonic`` is a monotonic clock, ``wall`` returns Unix seconds."""
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

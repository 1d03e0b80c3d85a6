"""Bounds the share of the reading thread's processor time that one client connection uses. No I/O, no clock.

One thread reads all client connections. Without a bound, a client that sends at full speed delays the others.
"""

from __future__ import annotations

MAX_READ_SHARE = 0.25  # of the thread's processor time
BURST_S = 0.02  # processor time that a connection may use at once, beyond its share
MAX_PAUSE_S = 0.05  # a longer pause would delay the cancellation of calls


class ReadPacing:
    """The processor time that one connection has used recently."""

    __slots__ = ("_updated_s", "_used_s")

    def __init__(self, now: float) -> None:
        """Start with no processor time used."""
        self._used_s = 0.0
        self._updated_s = now

    def record(self, now: float, used_s: float) -> float:
        """Record that reading the connection took ``used_s`` seconds of processor time.

        Returns:
            Seconds for which the connection is not to be read; 0 if it may be read at once.
        """
        allowed_s = MAX_READ_SHARE * (now - self._updated_s)
        self._used_s = max(0.0, self._used_s - allowed_s) + used_s
        self._updated_s = now
        excess_s = self._used_s - BURST_S
        return min(MAX_PAUSE_S, excess_s / MAX_READ_SHARE) if excess_s > 0 else 0.0


class PausedConnections:
    """Descriptors of the connections that are not read until a time."""

    def __init__(self) -> None:
        self._until_s: dict[int, float] = {}

    def pause(self, descriptor: int, until_s: float) -> None:
        """Pause a connection, or change the end of its pause."""
        self._until_s[descriptor] = until_s

    def remove(self, descriptor: int) -> None:
        """Forget a connection, paused or not."""
        self._until_s.pop(descriptor, None)

    def remaining_s(self, now: float, default_s: float) -> float:
        """Return the seconds until the next pause ends, at most ``default_s``."""
        if not self._until_s:
            return default_s
        return max(0.0, min(default_s, min(self._until_s.values()) - now))

    def pop_due(self, now: float) -> list[int]:
        """Remove and return the descriptors whose pauses are over."""
        due = [descriptor for descriptor, until_s in self._until_s.items() if until_s <= now]
        for descriptor in due:
            del self._until_s[descriptor]
        return due

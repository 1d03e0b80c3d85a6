"""In which order client connections make room for new ones. No I/O of its own, and no clock."""

from __future__ import annotations

import math
from collections import deque
from collections.abc import Callable, Iterable

from saffronstack.platform.idle_order import ClientConnectionView, IdleOrder

# How often all connections are looked at for ones that their clients have ended: done for each of some
# hundred newcomers a second it takes the whole processor.
CLOSED_SCAN_INTERVAL_S = 0.02
# By the protocol a client sends once more what crosses the close of its connection within this time.
IDLE_MIN_S = 0.05

FindClosed = Callable[[Iterable[ClientConnectionView]], Iterable[ClientConnectionView]]


class EvictionOrder:
    """Of the connections with nothing open those that their clients have ended go first; then those that
    never said anything, since a client that will say something does so at once; then the others; longest idle
    first.
    """

    def __init__(self, silent_reserve: int = 1, find_closed: FindClosed = list) -> None:
        """Create it without connections.

        Args:
            silent_reserve: How many connections accepted just now may stay silent at one time.
            find_closed: Finds those that may have been ended by their clients, cheaply.
        """
        self.scans = 0  # how often all connections were looked at
        self._silent_reserve = silent_reserve
        self._find_closed = find_closed
        self._without_data: dict[ClientConnectionView, None] = {}  # in the order they came
        self._with_data = IdleOrder()
        self._closed_by_clients: deque[ClientConnectionView] = deque()
        self._scanned_s = -math.inf

    def __len__(self) -> int:
        return len(self._without_data) + len(self._with_data)

    def add(self, connection: ClientConnectionView) -> None:
        """It was accepted."""
        self._without_data[connection] = None

    def touch(self, connection: ClientConnectionView) -> None:
        """Something of it was read."""
        if connection.has_sent_data and connection in self._without_data:
            del self._without_data[connection]
            self._with_data.add(connection)

    def remove(self, connection: ClientConnectionView) -> None:
        """It was closed."""
        self._without_data.pop(connection, None)
        self._with_data.remove(connection)

    def next_victim(self, now: float) -> ClientConnectionView | None:
        """The next one to close, however short a time it has been idle; None where none may be closed."""
        return (
            self._next_closed(now)
            or self._oldest_silent(math.inf)
            or self._with_data.longest_idle(now, math.inf)
        )  # fmt: skip

    def next_idle_victim(self, now: float, overdue: bool) -> ClientConnectionView | None:
        """The next one to close of those that are not in use; None where there is none. Silent ones that came
        just now are left a moment to speak; at the reserve they make room for each other alone, and where the
        newcomer is ``overdue`` at once.
        """
        latest_s = now - IDLE_MIN_S
        if len(self._without_data) < self._silent_reserve:
            return (
                self._next_closed(now)
                or self._oldest_silent(latest_s)
                or self._with_data.longest_idle(now, latest_s)
            )
        return self._next_closed(now) or self._oldest_silent(math.inf if overdue else latest_s)

    def next_served_victim(self, now: float, accepted_by_s: float) -> ClientConnectionView | None:
        """The longest idle one that has spoken and was accepted by then, however recently it was used."""
        return self._with_data.longest_idle(now, math.inf, accepted_by_s)

    def has_idle(self) -> bool:
        """Whether any has nothing open, however short a time it has been so."""
        return bool(self._without_data) or any(connection.idle for connection in self._with_data)

    def next_idle_s(self, now: float) -> float | None:
        """When the next connection will have been idle for long enough, unless it is used again; None where
        none is idle.
        """
        since_s = [connection.idle_since(now) for connection in self._with_data if connection.idle]
        since_s += [connection.accepted_s for connection in self._without_data]
        return min(since_s) + IDLE_MIN_S if since_s else None

    def _oldest_silent(self, latest_s: float) -> ClientConnectionView | None:
        for connection in self._without_data:
            if connection.accepted_s > latest_s:
                return None
            if connection.is_evictable():
                return connection
        return None

    def _next_closed(self, now: float) -> ClientConnectionView | None:
        if now - self._scanned_s >= CLOSED_SCAN_INTERVAL_S:
            self.scans += 1
            self._scanned_s = now
            self._closed_by_clients = deque(self._find_closed(self._with_data))
        while self._closed_by_clients:
            connection = self._closed_by_clients.popleft()
            if connection in self._with_data and connection.is_closed_by_client():
                return connection
        return None
